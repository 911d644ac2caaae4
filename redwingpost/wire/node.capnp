@0xb3c5d1c1f0a9e7d2;
# RPC interfaces between the processes of the system. Each interface covers
# one concern; Node, the bootstrap interface, returns the others.

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct GroupView {
  group @0 :Text;
  term @1 :UInt64;
  primary @2 :Text;
  history @3 :List(Position);
}

struct Beat {
  # A VM's heartbeat; the one with the highest (incarnation, sequence) is
  # the newest.
  vm @0 :Text;
  dataCentre @1 :Text;
  ip @2 :Text;
  agentPort @3 :UInt16;
  proxyPort @4 :UInt16;
  incarnation @5 :UInt64;
  sequence @6 :UInt64;
  configVersion @7 :UInt64;
  configHash @8 :Text;
  withdrawals @9 :UInt32;
  draining @10 :Bool;
  ageMs @11 :UInt32;
  proxyVersion @12 :UInt64;  # configuration in force at the VM's proxy
  proxyAttached @13 :Bool;   # the proxy polls its agent
  gone @14 :Bool;            # its data centre's relay receives no heartbeats
  relay @15 :Bool;           # acts as its data centre's relay
}

struct Withdrawal {
  organisation @0 :Text;
  keyHash @1 :Text;
}

struct Digest {
  configVersion @0 :UInt64;
  configHash @1 :Text;
  withdrawals @2 :UInt32;
  views @3 :List(GroupView);
  viewsMark @4 :UInt32;      # checksum of all known views
  confirmedMs @5 :UInt32;    # age of the last key confirmation
  membersMark @6 :UInt32;    # checksum of all present VMs
}

struct Configuration {
  version @0 :UInt64;
  hash @1 :Text;
  body @2 :Data;  # deflated
}

interface Fleet {
  # Membership, configuration, withdrawals (between agents).
  beat @0 (beats :List(Beat), digest :Digest)
      -> (beats :List(Beat), digest :Digest);
  configuration @1 (above :UInt64) -> (configuration :Configuration);
  withdrawals @2 (known :List(Withdrawal))
      -> (known :List(Withdrawal));
  accepted @3 (configuration :Configuration) -> ();
  members @4 () -> (beats :List(Beat), digest :Digest);
  views @5 (known :List(GroupView)) -> (known :List(GroupView));
  drain @6 (vm :Text) -> ();
}

struct Observation {
  member @0 :Text;
  silentMs @1 :UInt32;
  term @2 :UInt64;
  role @3 :Text;
  ageMs @4 :UInt32;
}

interface Watch {
  # Health of group members and promotions (between agents).
  observations @0 (group :Text)
      -> (vm :Text, dataCentre :Text, seen :List(Observation));
  announce @1 (views :List(GroupView)) -> ();
}

struct Feed {
  # State that an agent sends to its VM's proxy.
  configuration @0 :Configuration;
  withdrawals @1 :List(Withdrawal);
  views @2 :List(GroupView);
  peers @3 :List(Beat);
  shares @4 :List(BaseShare);
  draining @5 :Bool;
  confirmedMs @6 :UInt32;
  revision @7 :UInt64;
}

struct BaseShare {
  # A share of an organisation's rate, granted by the table service.
  organisation @0 :Text;
  partsPerMillion @1 :UInt32;
  epoch @2 :UInt64;
  validMs @3 :UInt32;
}

interface Local {
  # Between a VM's agent and its proxy.
  feed @0 (revision :UInt64, waitMs :UInt32) -> (feed :Feed);
  report @1 (suspects :List(Text), ready :Bool, connections :UInt32,
             activeOrganisations :List(Text)) -> ();
}

struct Loan {
  loan @0 :UInt64;
  organisation @1 :Text;
  partsPerMillion @2 :UInt32;
  microTokens @3 :UInt64;
  validMs @4 :UInt32;
}

interface Lending {
  # Loans of rate shares (between proxies).
  borrow @0 (vm :Text, incarnation :UInt64, organisation :Text,
             partsPerMillion :UInt32, microTokens :UInt64) -> (loan :Loan);
  giveBack @1 (vm :Text, loan :UInt64, partsPerMillion :UInt32,
               microTokens :UInt64) -> ();
  renew @2 (vm :Text, loan :UInt64) -> (validMs :UInt32);
}

struct GroupPosition {
  group @0 :Text;
  position @1 :Position;
}

struct ForwardedStatement {
  # sql may hold bytes that are not UTF-8; marks is a MessagePack map of
  # texts, in the form of query attributes. whole is set if the session never
  # used the groups that positions doesn't list.
  sql @0 :Data;
  marks @1 :Data;
  autocommit @2 :Bool;
  positions @3 :List(GroupPosition);
  whole @4 :Bool;
  sentMs @5 :UInt32;
  expiresAt @6 :Float64;
  # Reading of the home's clock from which on the home sends the statement to
  # no member; 0: no limit but the deadline.
}

struct ForwardedAnswer {
  # Code 0 is success; result then holds columns and rows in MessagePack.
  code @0 :UInt16;
  message @1 :Text;
  retryAfterMs @2 :UInt32;
  result @3 :Data;
  inTransaction @4 :Bool;
  positions @5 :List(GroupPosition);
  whole @6 :Bool;
  clockS @7 :Float64;
  # Reading of the home's clock when it answered; 0 from VMs without it.
}

interface ForwardedSession {
  # One caller's connection, served by a home VM of its group. Releasing
  # the capability ends it, and an open transaction is rolled back.
  run @0 (statement :ForwardedStatement) -> (answer :ForwardedAnswer);
  end @1 () -> ();
  readClock @2 () -> (clockS :Float64);
}

interface Forward {
  # Forwards statements from the caller's VM to a home of the group.
  open @0 (organisation :Text, keyHash :Text, group :Text,
           connection :UInt64) ->
          (session :ForwardedSession, clockS :Float64);
}

interface Node {
  # The bootstrap interface of every process.
  fleet @0 () -> (fleet :Fleet);
  watch @1 () -> (watch :Watch);
  local @2 () -> (local :Local);
  lending @3 () -> (lending :Lending);
  forward @4 () -> (forward :Forward);
}

@0xb0f5c1d27e9a4361;

# Messages between VMs: a statement for a home of its group to run, and its
# outcome.

struct Message {
  union {
    work @0 :Work;
    done @1 :Done;
    busy @2 :Busy;
    resume @3 :Resume;
    resumed @4 :Resumed;
    askClock @5 :Void;
    # Asks for a message with a reading of the receiver's clock.
  }
}

struct Resume {
  # The sender's connection of this number has gone silent. This connection
  # takes its place once the sender has confirmed that, on the answer to a
  # first message; the messages of these numbers are still pending.
  channel @0 :UInt64;
  numbers @1 :List(UInt64);
  confirms @2 :Bool;
}

struct Resumed {
  # Whether the receiver knew the connection. It has received the messages up
  # to the last one; those of these numbers run, or their outcomes follow.
  isKnown @0 :Bool;
  last @1 :UInt64;
  numbers @2 :List(UInt64);
}

struct Busy {
  # The sender is alive, and this many statements are running there.
  statements @0 :UInt32;
  loads @1 :List(Load);
  clockS @2 :Float64;
  # Reading of the sender's clock when it was sent; 0 from VMs without it.
}

struct Load {
  # How long a new statement of the group would wait at the sender, for reads
  # and for the primary. The maximum value: it can't run such a statement.
  group @0 :Text;
  readWaitMs @1 :UInt32;
  primaryWaitMs @2 :UInt32;
}

struct Work {
  number @0 :UInt64;
  action @1 :Text;
  transaction @2 :UInt64;
  organisation @3 :Text;
  route @4 :Route;
  replicas @5 :UInt16;
  statement @6 :Statement;
  begin @7 :Statement;
  # The transaction's BEGIN, sent with its first statement only.
  values @8 :List(Value);
  written @9 :Position;
  waitedMs @10 :UInt32;
  withdrawn @11 :UInt64;
  # Number of a read that the sender has given up, or 0. The message itself
  # has the action "roll-back" and no transaction: a home that doesn't know
  # this field has nothing to roll back.
  channel @12 :UInt64;
  # Number of the connection, for Resume; 0 from VMs that don't resume.
  expiresAt @13 :Float64;
  # Reading of the receiver's clock from which on it sends the statement to no
  # member; 0: no limit but the route's.
  key @14 :Text;
  rulesVersion @15 :UInt64;
  # The caller's key, which was the organisation's by the configuration of
  # this version; 0 from VMs that don't tell.
}

struct Route {
  database @0 :Text;
  group @1 :Text;
  consistency @2 :Text;
  timeoutS @3 :Float64;
  targetLatencyS @4 :Float64;
  priority @5 :Int32;
  maxStalenessS @6 :Float64;
  isPublic @7 :Bool;
  regions @8 :List(Text);
  # Regions to which the statement is restricted, valid if isRestricted.
  isRestricted @9 :Bool;
}

struct Statement {
  request @0 :Text;
  kind @1 :Text;
  text @2 :Text;
  name @3 :Text;
  argument @4 :Text;
  shape @5 :Text;
  # Text of the prepared statement, valid if hasShape.
  hasShape @6 :Bool;
  shapeWrites @7 :Bool;
}

struct Value {
  name @0 :Text;
  value @1 :Text;
}

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Done {
  number @0 :UInt64;
  union {
    answer @1 :Answer;
    failure @2 :Failure;
    refusal @3 :Refusal;
  }
  written @4 :Position;
  isOver @5 :Bool;
  mayHaveRun @6 :Bool;
  member @7 :Text;
  tries @8 :UInt16;
  waitedS @9 :Float64;
  ranS @10 :Float64;
  load @11 :Load;
  # Of the statement's group; its name is empty if the home doesn't know it.
  clockS @12 :Float64;
  # Reading of the sender's clock when it was sent; 0 from VMs without it.
}

struct Answer {
  rows @0 :List(Text);
  proof @1 :Text;
}

struct Failure {
  kind @0 :Text;
  word @1 :Text;
  detail @2 :Text;
}

struct Refusal {
  code @0 :UInt32;
  detail @1 :Text;
  retryAfterMs @2 :UInt32;
}

@0xd6a1f0c27b8e4935;

# Heartbeats between VMs: one datagram each.

struct Heartbeat {
  vm @0 :Text;
  boot @1 :UInt64;
  configVersion @2 :UInt64;
  usages @3 :List(Usage);
  primaries @4 :List(Primary);
  clockMs @5 :UInt64;
  # The sender's steady clock as it sent this.
  echo @6 :Echo;
  # The receiver's clock, as it was last heard.
  isBrief @7 :Bool;
  # Without primaries: what was last said of them still holds.
}

struct Echo {
  # A clock that was heard, and for how long it was held; 0 for none.
  clockMs @0 :UInt64;
  heldMs @1 :UInt32;
}

struct Usage {
  # Operations at the VM since its start.
  organisation @0 :Text;
  admitted @1 :UInt64;
  offered @2 :UInt64;
  returned @3 :UInt64;
  tokens @4 :Float32;
  # The whole bucket as the VM sees it, if isTold.
  isTold @5 :Bool;
}

struct Primary {
  # How a primary does by the VM's experience, in milliseconds.
  member @0 :Text;
  silentMs @1 :UInt32;
  stuckMs @2 :UInt32;
  ackedMs @3 :UInt32;
  failingMs @4 :UInt32;
  sampleTerm @5 :UInt64;
  sampleIndex @6 :UInt64;
  sampleAgeMs @7 :UInt32;
  # All that was acknowledged before the age is in the position; an age of
  # 0 means that there is none.
}

@0xd6a1f0c27b8e4935;

# Heartbeats between VMs: one datagram each.

struct Beacon {
  vm @0 :Text;
  boot @1 :UInt64;
  ip @2 :Text;
  configVersion @3 :UInt64;
  usages @4 :List(Usage);
  primaries @5 :List(Primary);
  clockMs @6 :UInt64;
  # The sender's steady clock as it sent this.
  echoes @7 :List(Echo);
  samples @8 :List(Sample);
}

struct Echo {
  # The last clock heard from a VM, and for how long it was held.
  vm @0 :Text;
  clockMs @1 :UInt64;
  heldMs @2 :UInt32;
}

struct Sample {
  # All that was acknowledged before ageMs ago is in the position.
  group @0 :Text;
  member @1 :Text;
  term @2 :UInt64;
  index @3 :UInt64;
  ageMs @4 :UInt32;
}

struct Usage {
  # Operations that the VM admitted since its start.
  organisation @0 :Text;
  admitted @1 :UInt64;
}

struct Primary {
  # How long a primary has not answered the VM.
  member @0 :Text;
  silentMs @1 :UInt32;
}

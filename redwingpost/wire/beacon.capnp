@0xd6a1f0c27b8e4935;

# Heartbeats between VMs: one datagram each.

struct Beacon {
  vm @0 :Text;
  boot @1 :UInt64;
  ip @2 :Text;
  configVersion @3 :UInt64;
  usages @4 :List(Usage);
  primaries @5 :List(Primary);
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

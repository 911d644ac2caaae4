@0xd6a1f0c27b8e4935;

# Messages between VMs: heartbeats, and the digests that gatherers merge
# from them. Each message is one datagram.

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    digest @1 :Digest;
  }
}

struct Heartbeat {
  vm @0 :Text;
  boot @1 :UInt64;
  configVersion @2 :UInt64;
  usages @3 :List(Usage);
  primaries @4 :List(Primary);
  clockMs @5 :UInt64;
  # The sender's monotonic clock when it sent this message.
  echo @6 :Echo;
  # The receiver's clock as last received from it.
  isBrief @7 :Bool;
  # Without the health of primaries, because all are well.
  wantsUsages @8 :Bool;
  # The receiver should send the sender the other VMs' usage.
  isUrgent @9 :Bool;
  # Much was admitted recently, and the other VMs must know soon.
}

struct Digest {
  vm @0 :Text;
  boot @1 :UInt64;
  isFleet @2 :Bool;
  # The digest covers all cells, for the VMs that report to the sender;
  # otherwise only the sender's own cell.
  isBrief @3 :Bool;
  clockMs @4 :UInt64;
  cells @5 :List(Cell);
  primaries @6 :List(MergedPrimary);
  samples @7 :List(Sample);
  echoVms @8 :List(UInt32);
  # Numbers of the receivers; the next two lists hold, for each of them,
  # its clock as last received and the milliseconds since then.
  echoClocksMs @9 :List(UInt64);
  echoHeldMs @10 :List(UInt32);
  usages @11 :Usages;
  isUrgent @12 :Bool;
  # To be forwarded without delay.
}

struct Cell {
  name @0 :Text;
  ageMs @1 :UInt32;
  vms @2 :List(UInt32);
  # Numbers of the cell's VMs; empty if they are the same as when they
  # were last sent with this vmsNumber.
  configVersion @3 :UInt64;
  configIp @4 :Text;
  reached @5 :UInt16;
  vmsNumber @6 :UInt32;
}

struct MergedPrimary {
  member @0 :Text;
  silentMs @1 :UInt32;
  stuckMs @2 :UInt32;
  ackedMs @3 :UInt32;
  failingMs @4 :List(UInt32);
  observers @5 :UInt16;
}

struct Sample {
  member @0 :Text;
  term @1 :UInt64;
  index @2 :UInt64;
  ageMs @3 :UInt32;
}

struct Usages {
  # A table: one entry of each list below is one row.
  vms @0 :List(Text);
  boots @1 :List(UInt64);
  organisations @2 :List(Text);
  vmPlaces @3 :List(UInt16);
  organisationPlaces @4 :List(UInt16);
  admitted @5 :List(UInt64);
  offered @6 :List(UInt64);
  returned @7 :List(UInt64);
  tokens @8 :List(Float32);
  # The VM's estimate of the whole token bucket; NaN if it has none.
  newlyUsed @9 :List(UInt32);
  newlyOffered @10 :List(UInt32);
  # newlyUsed and newlyOffered count since the VM's previous report.
}

struct Echo {
  # A clock as last received, and the milliseconds since then; a clockMs
  # of 0 means that there is none.
  clockMs @0 :UInt64;
  heldMs @1 :UInt32;
}

struct Usage {
  # Counts of operations at the VM since its start.
  organisation @0 :Text;
  admitted @1 :UInt64;
  offered @2 :UInt64;
  returned @3 :UInt64;
  tokens @4 :Float32;
  # The VM's estimate of the whole token bucket, valid if isTold.
  isTold @5 :Bool;
  newlyUsed @6 :UInt32;
  newlyOffered @7 :UInt32;
  # newlyUsed and newlyOffered count since the VM's previous report.
}

struct Primary {
  # A primary's health as the VM observes it, in milliseconds.
  member @0 :Text;
  silentMs @1 :UInt32;
  stuckMs @2 :UInt32;
  ackedMs @3 :UInt32;
  failingMs @4 :UInt32;
  sampleTerm @5 :UInt64;
  sampleIndex @6 :UInt64;
  sampleAgeMs @7 :UInt32;
  # The sampled position includes every transaction acknowledged before
  # the sample was taken; an age of 0 means that there is no sample.
}

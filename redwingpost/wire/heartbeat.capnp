@0xd6a1f0c27b8e4935;

# Between VMs: heartbeats, and what gatherers make of them. One datagram
# each.

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
  # The sender's steady clock as it sent this.
  echo @6 :Echo;
  # The receiver's clock, as it was last heard.
  isBrief @7 :Bool;
  # Without primaries: what was last said of them still holds.
  wantsUsages @8 :Bool;
  # The reader is to tell the sender what the others have used.
  isUrgent @9 :Bool;
  # Much was admitted lately: the others must know soon.
}

struct Digest {
  vm @0 :Text;
  boot @1 :UInt64;
  isFleet @2 :Bool;
  # Of all cells, for those that report to the sender; else of its own.
  isBrief @3 :Bool;
  clockMs @4 :UInt64;
  cells @5 :List(Cell);
  primaries @6 :List(MergedPrimary);
  samples @7 :List(Sample);
  echoVms @8 :List(UInt32);
  # Numbers of the readers, and for each its clock as it was last heard.
  echoClocksMs @9 :List(UInt64);
  echoHeldMs @10 :List(UInt32);
  usages @11 :Usages;
  isUrgent @12 :Bool;
  # To be passed on soon.
}

struct Cell {
  name @0 :Text;
  ageMs @1 :UInt32;
  vms @2 :List(UInt32);
  # Empty where they are those that were last told with vmsNumber.
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
  # The whole bucket as the VM sees it; not a number where it doesn't say.
  newlyUsed @9 :List(UInt32);
  newlyOffered @10 :List(UInt32);
  # Since the VM's report before this one.
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
  newlyUsed @6 :UInt32;
  newlyOffered @7 :UInt32;
  # Since the VM's report before this one.
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

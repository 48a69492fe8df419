@0xb2f6c8e0d5a14973;
# Messages between the leader and the other instances.

struct LinkMessage {
  union {
    hello @0 :Hello;
    report @1 :Report;
    plan @2 :PlanUpdate;
    beat @3 :Beat;
    change @4 :PlanChange;
    servers @5 :ServerUpdate;
    pause @6 :RangePause;
    instances @7 :InstanceUpdate;
    resync @8 :Resync;
  }
}

struct Instance {
  instance @0 :Text;
  # Address for messages between instances.
  address @1 :Text;
  failureDomain @2 :Text;
}

struct Hello {
  record @0 :Instance;
  incarnation @1 :Text;
  # Version of the plan that the instance has; -1 if none.
  planVersion @2 :Int64;
  instancesDigest @3 :UInt64;
}

struct Resync {
  # What the leader should send in full.
  servers @0 :Bool;
  plan @1 :Bool;
}

struct InstanceUpdate {
  present @0 :List(Instance);
  removed @1 :List(Text);
  # `present` is all that the leader knows.
  complete @2 :Bool;
}

struct KeyCount {
  key @0 :UInt16;
  count @1 :UInt16;
}

struct ServiceKeys {
  service @0 :Text;
  keys @1 :List(KeyCount);
}

struct ServerTime {
  server @0 :Text;
  bornMs @1 :UInt64;
  meanMs @2 :Float32;
}

struct Report {
  services @0 :List(ServiceKeys);
  servers @1 :List(ServerTime);
}

struct PlanUpdate {
  document @0 :Data;
}

struct Beat {
  # Time since the store last confirmed the leader.
  storeAgeMs @0 :UInt32;
  # Version of the configuration that the leader has, 0 if it has none.
  configuration @1 :UInt64;
  # Time since the leader read the servers' registrations.
  serversAgeMs @2 :UInt32;
  # Digest of the registrations that the leader knows.
  serversDigest @3 :UInt64;
  # -1 if there is no plan.
  planVersion @4 :Int64;
}

struct OwnerChange {
  service @0 :Text;
  first @1 :UInt16;
  last @2 :UInt16;
  server @3 :Text;
  bornMs @4 :UInt64;
}

struct PlanChange {
  # Version of the plan that the change applies to; -1 if there was none.
  base @0 :Int64;
  version @1 :UInt64;
  owners @2 :List(OwnerChange);
}

struct ServerRow {
  server @0 :Text;
  service @1 :Text;
  address @2 :Text;
  failureDomain @3 :Text;
  slots @4 :UInt32;
  draining @5 :Bool;
  warmupLeftMs @6 :UInt32;
  bornMs @7 :UInt64;
  sequence @8 :UInt64;
  removed @9 :Bool;
}

struct ServerUpdate {
  rows @0 :List(ServerRow);
  # The rows are all servers that the leader knows.
  complete @1 :Bool;
}

struct RangePause {
  service @0 :Text;
  first @1 :UInt16;
  last @2 :UInt16;
  fence @3 :UInt64;
}

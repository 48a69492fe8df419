@0xb2f6c8e0d5a14973;

using Limits = import "../gateway/limits.capnp";

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
    suspects @9 :Suspects;
  }
}

struct Instance {
  instance @0 :Text;
  # Address for messages between instances.
  address @1 :Text;
  failureDomain @2 :Text;
  # Thousandths of a core.
  capacity @3 :UInt32;
  # Address for connections that the instance relays to servers.
  relayAddress @4 :Text;
  # Identity of the build that the instance runs; empty in records of earlier builds.
  build @5 :Text;
}

struct Hello {
  record @0 :Instance;
  incarnation @1 :Text;
  # Version of the plan that the instance has; -1 if none.
  planVersion @2 :Int64;
  instancesDigest @3 :UInt64;
}

struct Resync {
  # All registrations, the whole plan, or both are requested from the leader.
  servers @0 :Bool;
  plan @1 :Bool;
}

struct InstanceUpdate {
  present @0 :List(Instance);
  removed @1 :List(Text);
  # `present` lists all instances.
  complete @2 :Bool;
}

struct KeyCount {
  key @0 :UInt16;
  count @1 :UInt16;
  # Work of the requests, in requests of mean cost of the service; 0 if not stated.
  work @2 :Float32;
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

struct LostRequest {
  fingerprint @0 :UInt64;
  # Server incarnation whose connection was lost.
  server @1 :Text;
  bornMs @2 :UInt64;
}

struct Report {
  services @0 :List(ServiceKeys);
  servers @1 :List(ServerTime);
  lost @2 :List(LostRequest);
  # Fingerprints of watched requests that have succeeded.
  cleared @3 :List(UInt64);
  # Server incarnations that have announced in an answer that they are leaving.
  leaving @4 :List(ServerStart);
  # Limits that servers have named, or no longer name, in their answers.
  limits @5 :List(Limits.LimitNotice);
}

struct ServerStart {
  server @0 :Text;
  bornMs @1 :UInt64;
}

struct Suspects {
  # Fingerprints of requests that crash servers.
  watched @0 :List(UInt64);
  quarantined @1 :List(UInt64);
}

struct PlanUpdate {
  document @0 :Data;
}

struct Beat {
  # Time since the store last confirmed the leader.
  storeAgeMs @0 :UInt32;
  # Version of the leader's configuration, 0 if it has none.
  configuration @1 :UInt64;
  # Time since the leader read the servers' registrations.
  serversAgeMs @2 :UInt32;
  # Digest of the leader's registrations.
  serversDigest @3 :UInt64;
  # -1 if there is no plan.
  planVersion @4 :Int64;
  # One more than the time since the leader's configuration was known to be the newest; 0 if that is
  # unknown, as in heartbeats of earlier builds.
  configurationAgeMs @5 :UInt32;
  # The leader's clock when it sent this; 0 in heartbeats of earlier builds.
  sentMs @6 :UInt64;
  # Random number of the leader's term of office; 0 in heartbeats of earlier builds.
  term @7 :UInt64;
  # Number of processes that share the extra retries.
  retrySharers @8 :UInt32;
  # Failure domains that the operator has evacuated.
  evacuated @9 :List(Text);
  # Position up to which the operator's topic states them: the store's era, and one more than the
  # offset; an offset of 0 means not stated, as in heartbeats of earlier builds.
  evacuatedEra @10 :UInt64;
  evacuatedOffset @11 :UInt64;
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
  # The server has announced in an answer that it is leaving; `draining` is set too.
  leaving @10 :Bool;
}

struct ServerUpdate {
  rows @0 :List(ServerRow);
  # The rows list all servers.
  complete @1 :Bool;
}

struct RangePause {
  service @0 :Text;
  first @1 :UInt16;
  last @2 :UInt16;
  fence @3 :UInt64;
}

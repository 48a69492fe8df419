@0xd3a1f0b7c4e85526;
using Limits = import "limits.capnp";

# Datagrams between an instance that has a request and the instance that keeps the servers' queue.

struct QueueMessage {
  # Chosen by the asking instance and repeated in replies.
  ticket @0 :UInt32;
  union {
    ask @1 :Ask;
    reply @2 :Reply;
    done @3 :Done;
    taken @4 :Void;
    leads @5 :Leads;
  }
}

struct Ask {
  service @0 :Text;
  # Server that owns the request's key, and its start time. Empty for the queue of a failure domain.
  server @1 :Text;
  bornMs @2 :UInt64;
  failureDomain @3 :Text;
  priority @4 :UInt16;
  # Time left until the target latency and until the deadline.
  targetMs @5 :UInt32;
  deadlineMs @6 :UInt32;
  # Longest predicted wait with which the request may be queued: 0 for none, the maximum value for
  # any.
  mostWaitMs @7 :UInt32;
  tried @8 :List(Text);
  # Limits of the queue's servers, as the sender has read them in answers.
  limits @9 :List(Limits.LimitNotice);
  # Time that a server of mean speed is expected to work on the request; 0 if not stated.
  costMs @10 :Float32;
}

enum State {
  queued @0;
  granted @1;
  rejected @2;
  # The instance can't keep the queue.
  declined @3;
}

struct Reply {
  state @0 :State;
  # Predicted wait; with a grant, until a slot of the server is free.
  waitMs @1 :UInt32;
  server @2 :Text;
  bornMs @3 :UInt64;
  # The servers' own limits determine the wait of a rejected request.
  limited @4 :Bool;
  # Time between the receipt of the ask and the grant.
  heldMs @5 :UInt32;
  # The granted server is cold, so that the grant must be used at once.
  cold @6 :Bool;
}

enum Failure {
  none @0;
  uncertain @1;
  certain @2;
}

struct Leads {
  instance @0 :Text;
  incarnation @1 :Text;
  # Address at which the leader accepts links.
  address @2 :Text;
  # Plan version of the leader's claim; a later leader has a higher one.
  claim @3 :Int64;
}

struct Done {
  # Service time that the exchange indicates; 0 if unknown.
  sampleMs @0 :Float32;
  hasLoad @1 :Bool;
  running @2 :UInt16;
  waiting @3 :UInt16;
  slots @4 :UInt16;
  failure @5 :Failure;
  # Time for which the server told the sender to back off; 0 if none.
  backOffMs @6 :UInt32;
  # Limit of the server, if the sender has read one; no server name if not.
  limit @7 :Limits.LimitNotice;
  # How long work takes on the server's machine at this moment, in percent of the usual; 0 if not
  # stated.
  pace @8 :UInt16;
  # One more than the milliseconds for which the server stays cold; 0 if it hasn't stated them.
  warmupMsPlusOne @9 :UInt32;
}

@0xd3a1f0b7c4e85526;
# Datagrams between an instance that has a request and the one that keeps the servers' queue.

struct QueueMessage {
  # Chosen by the asking instance; answers repeat it.
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
  # Start of the server that owns the request's key; without it the queue is the failure domain's.
  server @1 :Text;
  bornMs @2 :UInt64;
  failureDomain @3 :Text;
  priority @4 :UInt16;
  # Time left until the answer is due for full use, and at all.
  targetMs @5 :UInt32;
  deadlineMs @6 :UInt32;
  # Longest wait that the request is queued for; 0 is none, the highest value any.
  mostWaitMs @7 :UInt32;
  tried @8 :List(Text);
}

enum State {
  queued @0;
  granted @1;
  rejected @2;
  # This instance can't keep the queue.
  declined @3;
}

struct Reply {
  state @0 :State;
  waitMs @1 :UInt32;
  server @2 :Text;
  bornMs @3 :UInt64;
}

enum Failure {
  none @0;
  uncertain @1;
  certain @2;
}

struct Leads {
  instance @0 :Text;
  incarnation @1 :Text;
  # Address for links to the leader.
  address @2 :Text;
  # Version of the plan at the leader's claim; a later leader has a higher one.
  claim @3 :Int64;
}

struct Done {
  # What the exchange says of the service time; 0 if nothing.
  sampleMs @0 :Float32;
  hasLoad @1 :Bool;
  running @2 :UInt16;
  waiting @3 :UInt16;
  slots @4 :UInt16;
  failure @5 :Failure;
}

@0xd3c4b1a5f0e92877;
# Messages between instances. Durations are in milliseconds.

struct Envelope {
  id @0 :UInt64;
  replyTo @1 :UInt64;  # 0 when the message is no reply.

  union {
    hello @2 :Hello;
    supportRequest @3 :SupportRequest;
    supportReply @4 :SupportReply;
    attestRequest @5 :AttestRequest;
    attestReply @6 :AttestReply;
    permitRequest @7 :PermitRequest;
    permitReply @8 :PermitReply;
    permitReturn @9 :PermitReturn;
    permitCancel @10 :PermitCancel;
    releaseQuery @11 :ReleaseQuery;
    releaseReply @12 :ReleaseReply;
    serverReleaseQuery @13 :ServerReleaseQuery;
    serverReleaseReply @14 :ServerReleaseReply;
    recordsRequest @15 :RecordsRequest;
    recordsReply @16 :RecordsReply;
    checkpointRequest @17 :CheckpointRequest;
    checkpointReply @18 :CheckpointReply;
    usageReport @19 :UsageReport;
    idempotencyCopies @20 :IdempotencyCopies;
    ack @21 :Ack;
    suspectReport @22 :SuspectReport;
    positionRequest @23 :PositionRequest;
    positionReply @24 :PositionReply;
    errorReply @25 :ErrorReply;
    idempotencySynced @26 :IdempotencySynced;
    outageMovesRequest @27 :OutageMovesRequest;
    outageMovesNotice @28 :OutageMovesNotice;
  }
}

struct Hello {
  instance @0 :Text;
  incarnation @1 :Text;
  stream @2 :Text;
}

struct SupportRequest {
  incarnation @0 :Text;
  membershipOffset @1 :Int64;
}

struct SupportReply {
  granted @0 :Bool;
  membershipOffset @1 :Int64;
  applied @2 :Int64;
}

struct AttestRequest {
  incarnation @0 :Text;
}

struct AttestReply {
  attested @0 :Bool;
  waitMs @1 :UInt32;
  outageMoves @2 :List(OutageMove);
}

struct PermitRequest {
  requestId @0 :Text;
  server @1 :Text;
  service @2 :Text;
  operation @3 :Text;
  key @4 :Text;
  deadlineMs @5 :UInt32;
  digest @6 :UInt64;
  idempotencyKey @7 :Text;
  customer @8 :Text;
  position @9 :Int64;  # Last log offset that the sender has applied.
}

struct PermitReply {
  granted @0 :Bool;
  permitId @1 :UInt64;
  partition @2 :Text;
  token @3 :Int64;
  epoch @4 :Int64;
  validMs @5 :UInt32;
  reason @6 :Text;
  detail @7 :Text;
  retryAfterMs @8 :UInt32;
  storedStatus @9 :UInt16;
  storedBody @10 :Data;
}

struct PermitReturn {
  permitId @0 :UInt64;
  outcome @1 :Text;
  durationMs @2 :Float64;
  status @3 :UInt16;
  body @4 :Data;
}

struct PermitCancel {
  requestId @0 :Text;
}

struct ReleaseQuery {
  partition @0 :Text;
  token @1 :Int64;
  server @2 :Text;  # The server that must have released the partition.
}

struct ReleaseReply {
  released @0 :Bool;
  waitMs @1 :UInt32;
}

struct ServerReleaseQuery {
  server @0 :Text;
  epoch @1 :Int64;
}

struct ServerReleaseReply {
  released @0 :Bool;
  waitMs @1 :UInt32;
}

struct RecordsRequest {
  from @0 :Int64;
  limit @1 :UInt32;
}

struct Record {
  offset @0 :Int64;
  timeMs @1 :Int64;
  data @2 :Text;
}

struct RecordsReply {
  first @0 :Int64;
  next @1 :Int64;
  records @2 :List(Record);
}

struct CheckpointRequest {
}

struct CheckpointReply {
  through @0 :Int64;
  data @1 :Text;
}

struct PartitionUsage {
  partition @0 :Text;
  requestsPerS @1 :Float64;
  busyRatio @2 :Float64;
}

struct KeyUsage {
  service @0 :Text;
  key @1 :Text;
  requestsPerS @2 :Float64;
}

struct ServerUsage {
  server @0 :Text;
  status @1 :Text;
  busyRatio @2 :Float64;
  partitions @3 :List(PartitionUsage);
  hotKeys @4 :List(KeyUsage);
}

struct UsageReport {
  instance @0 :Text;
  servers @1 :List(ServerUsage);
  leaving @2 :Bool;  # The sender shuts down and wants to hand its servers over.
}

struct IdempotencyCopy {
  server @0 :Text;
  service @1 :Text;
  idempotencyKey @2 :Text;
  digest @3 :UInt64;
  state @4 :Text;
  status @5 :UInt16;
  body @6 :Data;
  key @7 :Text;
}

struct IdempotencyCopies {
  copies @0 :List(IdempotencyCopy);
}

struct IdempotencySynced {
  server @0 :Text;
  epoch @1 :Int64;
  partition @2 :Text;  # Empty for all partitions of the server.
  distrustMs @3 :UInt32;
}

struct Ack {
}

struct SuspectReport {
  digest @0 :UInt64;
  server @1 :Text;
  weight @2 :Float64;
  cleared @3 :Bool;
}

struct PositionRequest {
}

struct PositionReply {
  applied @0 :Int64;
  hasOutageMoves @1 :Bool;
}

struct OutageMove {
  partition @0 :Text;
  source @1 :Text;
  target @2 :Text;
  token @3 :Int64;
}

struct OutageMovesRequest {
  membershipOffset @0 :Int64;
  moves @1 :List(OutageMove);
}

struct OutageMovesNotice {
  moves @0 :List(OutageMove);
}

struct ErrorReply {
  reason @0 :Text;
}

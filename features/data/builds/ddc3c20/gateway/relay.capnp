@0xd1f0a4c27be86935;

# First messages on a connection that an instance relays to a server.

struct RelayRequest {
  # Incarnation of the server.
  server @0 :Text;
  bornMs @1 :UInt64;
  # If not 0, no connection is wanted: the server asked for this back-off over a connection that the
  # receiver relays.
  backOffMs @2 :UInt32;
  # Whether the sender reads frames.
  framed @3 :Bool;
}

struct RelayReply {
  result @0 :Result;
  # With backedOff: time for which the server asked the relaying instance to send nothing.
  backOffMs @1 :UInt32;
  # Whether the server's bytes follow in frames (`relay_frames.py`). Without frames the connection's
  # end doesn't tell whether the server has closed it.
  framed @2 :Bool;

  enum Result {
    connected @0;
    unreachable @1;
    unknownServer @2;
    cutOff @3;
    busy @4;
    backedOff @5;
  }
}

@0xc4a19f6be0d2713a;
# Calls between instances. `capnp compile -orust:src schema/peer.capnp` writes src/peer_capnp.rs.

struct Sighting {
  name @0 :Text;
  high @1 :UInt64;
  low @2 :UInt64;
  # The upper and the lower half of its incarnation.
  age @3 :UInt32;
  # Milliseconds since any instance received a heartbeat of it.
}

struct Beat {
  name @0 :Text;
  centre @1 :Text;
  incarnation @2 :Data;
  # Sixteen bytes, big-endian.
  revision @3 :UInt64;
  draining @4 :Bool;
  sightings @5 :List(Sighting);
}

struct Forward {
  owner @0 :Data;
  # The incarnation of the instance that owns the key, sixteen bytes, big-endian.
  digest @1 :Data;
  # SHA-256 of the body of the caller's request.
  left @2 :UInt64;
  # Microseconds until the deadline.
  submission @3 :Data;
  # The submission with its key, as JSON.
}

interface Peer {
  submit @0 (forward :Forward) -> (stranger :Bool, answer :Data);
  beat @1 (beat :Beat) -> (beat :Beat);
  config @2 (call :Data) -> (reply :Data);
}

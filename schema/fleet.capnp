@0xd7b1e5f09c3a4826;
# Messages between the instances of a deployment.
# `capnp compile -orust:src schema/fleet.capnp` writes src/fleet_capnp.rs.

interface Mailbox {
  deliver @0 (envelope :Data) -> ();
  # An instance::peers::Envelope, encoded by postcard.
}

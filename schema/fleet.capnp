@0xd7b1e5f09c3a4826;
# Letters between the instances of a deployment.
# `capnp compile -orust:src schema/fleet.capnp` writes src/fleet_capnp.rs.

interface Mailbox {
  deliver @0 (envelope :Data) -> ();
  # An instance::peers::Envelope, in the encoding of postcard.
}

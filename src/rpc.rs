//! Connections of capnp-rpc between instances.

use capnp_rpc::{
    rpc_twoparty_capnp::Side,
    twoparty::VatNetwork, //
};
use futures::AsyncReadExt as _;
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite, //
    },
    net::TcpStream, //
};
use tokio_util::compat::TokioAsyncReadCompatExt as _;

/// Builds one side of a two-party capnp-rpc network over a connection.
pub fn build_network(
    stream: TcpStream,
    side: Side,
) -> Box<VatNetwork<impl futures::AsyncRead + Unpin>> {
    stream.set_nodelay(true).ok();
    build_network_over(stream, side)
}

/// Builds one side of a two-party capnp-rpc network over any stream.
pub fn build_network_over(
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    side: Side,
) -> Box<VatNetwork<impl futures::AsyncRead + Unpin>> {
    let (reader, writer) = stream.compat().split();
    let network = VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        Default::default(),
    );
    Box::new(network)
}

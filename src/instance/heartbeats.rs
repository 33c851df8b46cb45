//! Sends and receives heartbeats between instances as UDP datagrams; a later one supersedes those before it.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use serde::Deserialize;
use tokio::net::UdpSocket;

use super::hub::{
    now,
    Hub, //
};
use crate::dispatch::{
    license::{
        Receipt,
        SettledThere, //
    },
    message::{
        Contact,
        Heartbeat,
        Input,
        LogRecord,
        Protocol,
        Sender, //
    }, //
};

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The most datagrams that are read before the dispatcher handles them. After a pause of the process, a
/// backlog is handled as one batch, so that its oldest heartbeats alone can't make peers count as lost.
const MAX_BATCH_DATAGRAMS: usize = 256;

/// A datagram as it is received. The order of the fields is the wire format.
#[derive(Debug, Deserialize)]
struct Datagram {
    sender: Sender,
    heartbeat: Heartbeat,
}

/// Sends and receives the heartbeats of an instance on one socket.
#[derive(Debug)]
pub struct Heartbeats {
    socket: UdpSocket,
}

impl Heartbeats {
    /// Creates the sender and receiver on a bound socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    /// Sends a heartbeat to peers. A datagram that doesn't fit the socket's buffer is dropped, and the next heartbeat
    /// replaces it.
    ///
    /// The heartbeat is encoded once for all peers; only the sender differs, by its session, and the receipt.
    pub fn send(&self, hub: &Hub, to: &[(Contact, Receipt)], heartbeat: &Heartbeat) {
        let body = match encode(heartbeat) {
            Ok(body) => body,
            Err(error) => return log_unsent(hub, "all", &error.to_string()),
        };
        let sent = now();
        for (peer, receipt) in to {
            let address = match peer.address.parse::<SocketAddr>() {
                Ok(address) => address,
                Err(error) => {
                    log_unsent(hub, peer.name.as_str(), &error.to_string());
                    continue;
                }
            };
            // postcard has no separators between fields, so that the encoded sender and heartbeat make a `Datagram`.
            let sender = postcard::to_stdvec(&hub.peers.sender(&peer.name, sent));
            let with_body = sender.map(|mut bytes| {
                bytes.extend_from_slice(&body);
                bytes
            });
            match with_body.and_then(|bytes| append_receipt(bytes, receipt, heartbeat.protocol)) {
                Ok(bytes) => {
                    hub.metrics.count_heartbeat(bytes.len());
                    self.socket.try_send_to(&bytes, address).ok();
                }
                Err(error) => log_unsent(hub, peer.name.as_str(), &error.to_string()),
            }
        }
    }

    /// Waits for datagrams, and reads those that have arrived.
    async fn receive(&self, hub: &Hub, buffer: &mut [u8]) -> Vec<(Sender, Heartbeat)> {
        let mut heartbeats = Vec::new();
        if self.socket.readable().await.is_err() {
            return heartbeats;
        }
        while heartbeats.len() < MAX_BATCH_DATAGRAMS {
            let Ok((length, from)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            match decode(&buffer[..length]) {
                Ok(heartbeat) => heartbeats.push(heartbeat),
                Err(error) => {
                    let record =
                        LogRecord::new("heartbeat_malformed").with("from", from.to_string());
                    hub.log(&record.with("error", error.to_string()));
                }
            }
        }
        heartbeats
    }
}

/// Encodes a heartbeat without its sender, and its loads after it. The receipt and the protocol follow. Builds that don't know these
/// ignore what follows the heartbeat.
///
/// # Errors
///
/// Returns an error if the heartbeat can't be encoded.
pub fn encode(heartbeat: &Heartbeat) -> postcard::Result<Vec<u8>> {
    let body = postcard::to_stdvec(heartbeat)?;
    postcard::to_extend(&heartbeat.loads, body)
}

/// Appends a receipt and a protocol to an encoded sender and heartbeat with loads, and [`Receipt::settled_there`] behind them.
///
/// # Errors
///
/// Returns an error if they can't be encoded.
pub fn append_receipt(
    bytes: Vec<u8>,
    receipt: &Receipt,
    protocol: Protocol,
) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_extend(receipt, bytes)?;
    let bytes = postcard::to_extend(&protocol, bytes)?;
    postcard::to_extend(&receipt.settled_there, bytes)
}

/// Decodes a datagram, that is an encoded sender and heartbeat with loads, receipt and protocol. Loads that are missing or can't be
/// read count as none, a protocol as the first, and a time on the receiver's clock that can't be read as unknown.
///
/// # Errors
///
/// Returns an error if the sender or the heartbeat can't be read.
pub fn decode(bytes: &[u8]) -> postcard::Result<(Sender, Heartbeat)> {
    let (datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes)?;
    let Datagram {
        sender,
        mut heartbeat,
    } = datagram;
    // Only an earlier build sends no receipt. One that can't be read confirms nothing.
    if let Ok((loads, rest)) = postcard::take_from_bytes(rest) {
        heartbeat.loads = loads;
        if !rest.is_empty() {
            let (receipt, protocol) = decode_receipt(rest);
            heartbeat.receipt = Some(receipt);
            heartbeat.protocol = protocol;
        }
    } else if !rest.is_empty() {
        heartbeat.receipt = Some(Receipt::default());
    }
    Ok((sender, heartbeat))
}

/// Decodes a receipt and what follows it. Earlier builds send neither a protocol nor [`Receipt::settled_there`], or not the latter.
fn decode_receipt(bytes: &[u8]) -> (Receipt, Protocol) {
    let Ok((mut receipt, rest)) = postcard::take_from_bytes::<Receipt>(bytes) else {
        return (Receipt::default(), Protocol::FIRST);
    };
    if rest.is_empty() {
        return (receipt, Protocol::FIRST);
    }
    let (protocol, rest) = match postcard::take_from_bytes(rest) {
        Ok((protocol, [])) => return (receipt, protocol),
        Ok(decoded) => decoded,
        Err(_) => (Protocol::FIRST, rest),
    };
    let there = postcard::from_bytes(rest);
    receipt.settled_there = there.unwrap_or(SettledThere::Unknown);
    (receipt, protocol)
}

fn log_unsent(hub: &Hub, to: &str, error: &str) {
    let record = LogRecord::new("heartbeat_unsent").with("to", to);
    hub.log(&record.with("error", error));
}

/// Receives heartbeats and passes them to the dispatcher, as long as the process runs.
pub async fn serve(hub: Rc<Hub>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let heartbeats = hub.heartbeats.receive(&hub, &mut buffer).await;
        if !heartbeats.is_empty() {
            hub.handle(Input::Heartbeats(heartbeats));
        }
    }
}

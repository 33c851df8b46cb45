//! Heartbeats between instances: datagrams, each replaced by the next.

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
use crate::dispatch::message::{
    Contact,
    Heartbeat,
    Input,
    Record,
    Sender, //
};

/// The longest datagram that is read, in bytes.
const LONGEST: usize = 16 << 10;

/// Datagrams that are read before the dispatcher hears of them: after a pause the newest say more than the oldest.
const BATCH: usize = 256;

/// What travels.
#[derive(Debug, Deserialize)]
struct Datagram {
    sender: Sender,
    heartbeat: Heartbeat,
}

/// The socket of the heartbeats.
#[derive(Debug)]
pub struct Heartbeats {
    socket: UdpSocket,
}

impl Heartbeats {
    /// Takes a socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket }
    }

    /// Sends a heartbeat; one that finds no room in the socket is lost, and the next one says more.
    ///
    /// Peers differ in their session only, so the heartbeat is written once for all of them.
    pub fn send(&self, hub: &Hub, to: &[Contact], heartbeat: &Heartbeat) {
        let body = match postcard::to_stdvec(heartbeat) {
            Ok(body) => body,
            Err(error) => return unsent(hub, "all", &error.to_string()),
        };
        let sent = now();
        for to in to {
            let address = match to.address.parse::<SocketAddr>() {
                Ok(address) => address,
                Err(error) => {
                    unsent(hub, to.name.as_str(), &error.to_string());
                    continue;
                }
            };
            // The fields of a datagram follow each other without anything between.
            match postcard::to_extend(&hub.peers.sender(&to.name, sent), Vec::new()) {
                Ok(mut bytes) => {
                    bytes.extend_from_slice(&body);
                    self.socket.try_send_to(&bytes, address).ok();
                }
                Err(error) => unsent(hub, to.name.as_str(), &error.to_string()),
            }
        }
    }

    /// Reads the datagrams that have come, at least one.
    async fn receive(&self, hub: &Hub, buffer: &mut [u8]) -> Vec<(Sender, Heartbeat)> {
        let mut heartbeats = Vec::new();
        if self.socket.readable().await.is_err() {
            return heartbeats;
        }
        while heartbeats.len() < BATCH {
            let Ok((length, from)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            match postcard::from_bytes::<Datagram>(&buffer[..length]) {
                Ok(datagram) => heartbeats.push((datagram.sender, datagram.heartbeat)),
                Err(error) => {
                    let record = Record::new("heartbeat_malformed").with("from", from.to_string());
                    hub.log(&record.with("error", error.to_string()));
                }
            }
        }
        heartbeats
    }
}

fn unsent(hub: &Hub, to: &str, error: &str) {
    let record = Record::new("heartbeat_unsent").with("to", to);
    hub.log(&record.with("error", error));
}

/// Reads heartbeats for good.
pub async fn serve(hub: Rc<Hub>) {
    let mut buffer = vec![0; LONGEST];
    loop {
        let heartbeats = hub.heartbeats.receive(&hub, &mut buffer).await;
        if !heartbeats.is_empty() {
            hub.feed(Input::Heartbeats(heartbeats));
        }
    }
}

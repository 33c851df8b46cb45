//! Heartbeats between instances: datagrams, each replaced by the next.

use std::{
    net::SocketAddr,
    rc::Rc, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::net::UdpSocket;

use super::hub::Hub;
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
#[derive(Debug, Serialize, Deserialize)]
struct Datagram<P> {
    sender: Sender,
    heartbeat: P,
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
    pub fn send(&self, sender: Sender, to: &Contact, heartbeat: &Heartbeat) {
        let Ok(address) = to.address.parse::<SocketAddr>() else {
            return;
        };
        let datagram = Datagram { sender, heartbeat };
        if let Ok(bytes) = postcard::to_stdvec(&datagram) {
            self.socket.try_send_to(&bytes, address).ok();
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
            match postcard::from_bytes::<Datagram<Heartbeat>>(&buffer[..length]) {
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

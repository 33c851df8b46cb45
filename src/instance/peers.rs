//! Sends and receives messages between instances over capnp-rpc: in order, and each once per session.

use std::{
    cell::RefCell,
    collections::{
        HashMap,
        VecDeque, //
    },
    net::{
        IpAddr,
        SocketAddr, //
    },
    rc::Rc,
    time::Duration, //
};

use capnp_rpc::{
    rpc_twoparty_capnp::Side,
    RpcSystem, //
};
use serde::Deserialize;
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::Notify,
    task::{
        spawn_local,
        JoinHandle, //
    },
    time::sleep, //
};

use super::{
    hub::{
        now,
        Hub, //
    },
    inbox::Inbox, //
};
use crate::{
    dispatch::{
        message::{
            Contact,
            Input,
            LogRecord,
            Message,
            Sender, //
        },
        Identity, //
    },
    fleet_capnp::mailbox,
    prelude::*,
    rpc::build_network,
    timeout::within, //
};

/// How long connecting to a peer may take: some round trips, and less than the silence that ends a session.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a delivery may take. After that its connection counts as failed, and the envelope is sent again over a
/// new one while the peer still waits for it.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay between attempts to connect to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(60);

/// The most bytes that are queued for one peer: a second of a 25 Mbit/s link, about when a session ends as stalled. A
/// limit on the number of messages alone would let large ones exhaust the memory.
const MAX_QUEUED_BYTES: usize = 3 << 20;

/// The most bytes of messages in one envelope that holds several: a tenth of [`DELIVERY_TIMEOUT`] on a 25 Mbit/s
/// link.
const MAX_ENVELOPE_BYTES: usize = 64 << 10;

/// The time from a message's queueing to its acknowledgement above which its delivery is logged.
const SLOW_DELIVERY: Span = Span::millis(250);

/// Messages with their sender and their position in the session. The order of the fields is the wire format.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Envelope {
    /// The instance that sends the messages.
    pub sender: Sender,
    /// The number of the envelope in its session, from one.
    pub serial: u64,
    /// The messages, in their order.
    pub messages: Vec<Message>,
}

/// The queue of outgoing messages to one peer.
struct Link {
    address: String,
    incarnation: u64,
    session: u32,
    /// Counts the sessions that this side has begun, so that a delivery notices that its session has ended.
    epoch: u64,
    serial: u64,
    /// The encoded messages that wait, each with the time at which it was queued.
    messages: VecDeque<(Time, Vec<u8>)>,
    /// The bytes of `messages` in total.
    bytes: usize,
    wake: Rc<Notify>,
    task: Option<JoinHandle<()>>,
}

/// The links to peers, and the positions of the messages received from them.
pub struct Peers {
    identity: Identity,
    /// The IP address of this instance.
    own_ip: IpAddr,
    links: RefCell<HashMap<Instance, Link>>,
    inbox: RefCell<Inbox>,
}

impl Peers {
    /// Creates the state of an instance that has no links yet.
    pub fn new(identity: Identity, own_ip: IpAddr) -> Self {
        Self {
            inbox: RefCell::new(Inbox::new(identity.incarnation)),
            identity,
            own_ip,
            links: RefCell::default(),
        }
    }

    /// Queues a message to a peer, after those sent before it. If too many bytes are queued, or it can't be encoded, an empty message
    /// takes its place, since the peer counts messages. A message that takes work back, or decides which confirmations count, is never dropped.
    pub fn send(&self, hub: &Rc<Hub>, to: &Contact, message: Message) {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(to.name.clone())
            .or_insert_with(|| Link::new(to));
        if !to.address.is_empty() {
            link.address.clone_from(&to.address);
        }
        let kind = message.kind();
        let is_kept = matches!(
            message,
            Message::Cancel(_) | Message::Moved { .. } | Message::Withdraw { .. }
        );
        let encoded = match postcard::to_stdvec(&message) {
            Ok(bytes) if is_kept || link.bytes + bytes.len() <= MAX_QUEUED_BYTES => {
                hub.metrics.count_queued(kind, bytes.len());
                Some(bytes)
            }
            Ok(_) => {
                // A batch that is lost in this way is found when it is audited at its owner, or when the session ends.
                hub.log(&LogRecord::new("message_dropped").with("member", to.name.as_str()));
                None
            }
            Err(error) => {
                let record = LogRecord::new("messages_unwritten").with("error", error.to_string());
                hub.log(&record);
                None
            }
        };
        let empty = || postcard::to_stdvec(&Message::Unknown(Vec::new())).unwrap_or_default();
        let bytes = encoded.unwrap_or_else(empty);
        link.bytes += bytes.len();
        link.messages.push_back((now(), bytes));
        if link.task.is_none() {
            let (hub, name) = (hub.clone(), to.name.clone());
            link.task = Some(spawn_local(
                async move { deliver_messages(hub, name).await },
            ));
        }
        link.wake.notify_one();
    }

    /// Begins a new session with a peer and drops the messages that still wait.
    pub fn begin_session(&self, to: &Contact, incarnation: u64, session: u32) {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(to.name.clone())
            .or_insert_with(|| Link::new(to));
        link.address.clone_from(&to.address);
        link.incarnation = incarnation;
        link.session = session;
        link.epoch += 1;
        link.serial = 0;
        link.messages.clear();
        link.bytes = 0;
    }

    /// Returns this instance as the sender of a message or heartbeat to a peer, with the session that both are in.
    pub fn sender(&self, to: &Instance, now: Time) -> Sender {
        let links = self.links.borrow();
        let link = links.get(to);
        Sender {
            contact: self.identity.contact.clone(),
            centre: self.identity.centre.clone(),
            incarnation: self.identity.incarnation,
            receiver_incarnation: link.map_or(0, |link| link.incarnation),
            session: link.map_or(0, |link| link.session),
            sent: now,
        }
    }

    /// Removes messages from a peer's queue and encodes them as the next envelope; returns `None` if none wait.
    fn take_envelope(&self, name: &Instance) -> Option<EncodedEnvelope> {
        let sender = self.sender(name, now());
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(name)?;
        let count = link.count_fitting();
        if count == 0 {
            return None;
        }
        link.serial += 1;
        // Plain data can always be encoded. postcard has no separators between fields, and prefixes a list with its
        // length, so that the bytes make an `Envelope`.
        let mut bytes = postcard::to_stdvec(&(sender, link.serial, count)).unwrap_or_default();
        let queued_at = link.messages.front().map_or_else(now, |(at, _)| *at);
        for (_, message) in link.messages.drain(..count) {
            link.bytes -= message.len();
            bytes.extend_from_slice(&message);
        }
        Some(EncodedEnvelope {
            bytes,
            count,
            queued_at,
            address: link.address.clone(),
            epoch: link.epoch,
        })
    }

    fn wake_signal(&self, name: &Instance) -> Option<Rc<Notify>> {
        let links = self.links.borrow();
        links.get(name).map(|link| link.wake.clone())
    }

    fn is_current(&self, name: &Instance, epoch: u64) -> bool {
        let links = self.links.borrow();
        links.get(name).is_some_and(|link| link.epoch == epoch)
    }
}

/// An encoded envelope.
struct EncodedEnvelope {
    bytes: Vec<u8>,
    /// The number of messages in it.
    count: usize,
    /// When the first of them was queued.
    queued_at: Time,
    /// The address of the peer.
    address: String,
    /// The epoch of its session.
    epoch: u64,
}

impl Link {
    /// Returns how many messages go into the next envelope: at least one, if any wait.
    fn count_fitting(&self) -> usize {
        let mut bytes = 0;
        let fits = |(_, message): &&(Time, Vec<u8>)| {
            let first = bytes == 0;
            bytes += message.len();
            first || bytes <= MAX_ENVELOPE_BYTES
        };
        self.messages.iter().take_while(fits).count()
    }

    fn new(to: &Contact) -> Self {
        Self {
            address: to.address.clone(),
            incarnation: 0,
            session: 0,
            epoch: 0,
            serial: 0,
            messages: VecDeque::new(),
            bytes: 0,
            wake: Rc::new(Notify::new()),
            task: None,
        }
    }
}

/// A connection to a peer, which closes when it is dropped. The RPC system alone would keep the connection open, with
/// the data in its buffers at both ends, for as long as the peer does.
struct Connection {
    address: String,
    client: mailbox::Client,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects from the instance's own IP address, so that the peer can tell which instance a connection is from.
    async fn open(own_ip: IpAddr, address: &str) -> Option<Self> {
        let peer: SocketAddr = address.parse().ok()?;
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(SocketAddr::new(own_ip, 0)).ok()?;
        let stream = within(CONNECT_TIMEOUT, socket.connect(peer))
            .await
            .ok()?
            .ok()?;
        let mut system = RpcSystem::new(build_network(stream, Side::Client), None);
        let client = system.bootstrap(Side::Server);
        let driver = spawn_local(async move {
            // An error shows in the next delivery.
            system.await.ok();
        });
        Some(Self {
            address: address.to_owned(),
            client,
            driver,
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Delivers the messages to a peer as long as the process runs: one envelope after the other, each until it is
/// acknowledged.
async fn deliver_messages(hub: Rc<Hub>, name: Instance) {
    let mut connection: Option<Connection> = None;
    let Some(wake) = hub.peers.wake_signal(&name) else {
        return;
    };
    loop {
        let Some(envelope) = hub.peers.take_envelope(&name) else {
            wake.notified().await;
            continue;
        };
        hub.metrics.count_messages(envelope.count);
        // An envelope is dropped once its session has ended.
        while hub.peers.is_current(&name, envelope.epoch) {
            if connection
                .as_ref()
                .is_none_or(|open| open.address != envelope.address)
            {
                hub.metrics.count_peer_connection();
                connection = Connection::open(hub.peers.own_ip, &envelope.address).await;
            }
            let Some(open) = &connection else {
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            let mut request = open.client.deliver_request();
            request.get().set_envelope(&envelope.bytes);
            match within(DELIVERY_TIMEOUT, request.send().promise).await {
                Ok(Ok(_)) => {
                    log_delay(&hub, &name, &envelope);
                    break;
                }
                Ok(Err(error)) => {
                    let record = LogRecord::new("messages_broken").with("member", name.as_str());
                    hub.log(&record.with("error", error.extra));
                }
                Err(_) => {
                    let record =
                        LogRecord::new("messages_unanswered").with("member", name.as_str());
                    hub.log(&record);
                }
            }
            connection = None;
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Logs a delivery that took so long that heartbeats have told the peer more recent news than the messages.
fn log_delay(hub: &Hub, name: &Instance, envelope: &EncodedEnvelope) {
    let waited = now().since(envelope.queued_at);
    hub.metrics.observe_delivery(waited);
    if waited > SLOW_DELIVERY {
        let record = LogRecord::new("messages_delayed").with("member", name.as_str());
        let record = record.with("waited_ms", waited);
        hub.log(&record.with("messages", envelope.count));
    }
}

/// Serves the peers that connect. A new connection replaces the former one from the same IP address: the peer has
/// abandoned that one, and the packet that closes it may be lost.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener) {
    let mut connections: HashMap<IpAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        connections.retain(|_, connection| !connection.is_finished());
        let hub = hub.clone();
        let connection = spawn_local(async move {
            let client: mailbox::Client = capnp_rpc::new_client(MailboxServer { hub });
            let network = build_network(stream, Side::Server);
            // The connection ends when the peer closes it, or is replaced by the next one.
            RpcSystem::new(network, Some(client.client)).await.ok();
        });
        if let Some(previous) = connections.insert(from.ip(), connection) {
            previous.abort();
        }
    }
}

/// The mailbox that an instance serves to its peers.
struct MailboxServer {
    hub: Rc<Hub>,
}

impl mailbox::Server for MailboxServer {
    async fn deliver(
        self: Rc<Self>,
        params: mailbox::DeliverParams,
        _results: mailbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let bytes = params.get()?.get_envelope()?;
        let envelope: Envelope = postcard::from_bytes(bytes).map_err(|error| {
            let record = LogRecord::new("messages_malformed").with("error", error.to_string());
            self.hub.log(&record);
            capnp::Error::failed(error.to_string())
        })?;
        let mut inbox = self.hub.peers.inbox.borrow_mut();
        let duplicate = inbox.check_duplicate(&envelope.sender, envelope.serial);
        drop(inbox);
        if duplicate {
            let record = LogRecord::new("messages_repeated");
            let record = record.with("member", envelope.sender.contact.name.as_str());
            let record = record.with("session", envelope.sender.session);
            self.hub.log(&record.with("envelope", envelope.serial));
        } else {
            self.hub.handle(Input::Received {
                from: envelope.sender,
                messages: envelope.messages,
            });
        }
        Ok(())
    }
}

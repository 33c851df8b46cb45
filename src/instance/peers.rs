//! Messages between instances over capnp-rpc: in order, each once, in sessions.

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
    time::Duration,
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
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    hub::{
        now,
        Hub, //
    },
    inbox::Inbox,
};
use crate::{
    dispatch::{
        message::{
            Contact,
            Input,
            Message,
            Record,
            Sender, //
        },
        Identity, //
    },
    fleet_capnp::mailbox,
    prelude::*,
    rpc::build_network,
};

/// How long a connection to a peer may take to open: some round trips, below the silence that ends a session.
const CONNECT: Duration = Duration::from_millis(250);

/// How long a delivery may take: after that its connection counts as silent, and what was on it is sent again
/// over a new one, while the peer still waits for it.
const DELIVERY: Duration = Duration::from_millis(250);

/// Between attempts to reach a peer.
const AGAIN: Duration = Duration::from_millis(60);

/// Bytes that wait for one peer: a second of a link of 25 Mbit/s, after which its session is given up anyway. Counted in
/// messages alone, large ones took all of a process's memory.
const WAITING: usize = 3 << 20;

/// Bytes of the messages in one envelope, as far as they are several: a tenth of [`DELIVERY`] on a link of 25 Mbit/s.
const ENVELOPE: usize = 64 << 10;

/// What travels: messages with their sender and their place in the session.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Envelope {
    /// Who sends them.
    pub sender: Sender,
    /// Counts the envelopes of a session, from one.
    pub serial: u64,
    /// The messages.
    pub messages: Vec<Message>,
}

/// The outgoing side towards one peer.
struct Link {
    address: String,
    incarnation: u64,
    session: u32,
    /// Counts the sessions as this side began them, so that a delivery knows when its own has ended.
    epoch: u64,
    serial: u64,
    /// What waits, as it is sent.
    messages: VecDeque<Vec<u8>>,
    /// How many bytes that is.
    bytes: usize,
    wake: Rc<Notify>,
    task: Option<JoinHandle<()>>,
}

/// Messages to peers and from them.
pub struct Peers {
    identity: Identity,
    /// Its own address.
    own: IpAddr,
    links: RefCell<HashMap<Instance, Link>>,
    inbox: RefCell<Inbox>,
}

impl Peers {
    /// Makes a side that has no links yet.
    pub fn new(identity: Identity, own: IpAddr) -> Self {
        Self {
            inbox: RefCell::new(Inbox::new(identity.incarnation)),
            identity,
            own,
            links: RefCell::default(),
        }
    }

    /// Lets a message leave after all before it.
    pub fn send(&self, hub: &Rc<Hub>, to: &Contact, message: Message) {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(to.name.clone())
            .or_insert_with(|| Link::new(to));
        if !to.address.is_empty() {
            link.address.clone_from(&to.address);
        }
        let message = match postcard::to_stdvec(&message) {
            Ok(message) => message,
            Err(error) => {
                let record = Record::new("messages_unwritten").with("error", error.to_string());
                return hub.log(&record);
            }
        };
        if link.bytes + message.len() > WAITING {
            // Its peer takes the batch for lost when it asks for it, or gives the session up.
            hub.log(&Record::new("message_dropped").with("member", to.name.as_str()));
        } else {
            link.bytes += message.len();
            link.messages.push_back(message);
        }
        if link.task.is_none() {
            let (hub, name) = (hub.clone(), to.name.clone());
            link.task = Some(spawn_local(async move { deliver(hub, name).await }));
        }
        link.wake.notify_one();
    }

    /// Forgets what has not left, and speaks in another session from now on.
    pub fn session(&self, to: &Contact, incarnation: u64, session: u32) {
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

    /// Names this instance to a peer, in the session with it, in what leaves now.
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

    /// Takes the next envelope for a peer.
    fn next(&self, name: &Instance) -> Option<Sealed> {
        let sender = self.sender(name, now());
        let mut links = self.links.borrow_mut();
        let link = links.get_mut(name)?;
        let count = link.fitting();
        if count == 0 {
            return None;
        }
        link.serial += 1;
        // Plain data always has a form on the wire. The fields of an envelope follow each other without anything between, and
        // a list begins with its length.
        let mut bytes = postcard::to_stdvec(&(sender, link.serial, count)).unwrap_or_default();
        for message in link.messages.drain(..count) {
            link.bytes -= message.len();
            bytes.extend_from_slice(&message);
        }
        Some(Sealed {
            bytes,
            count,
            address: link.address.clone(),
            epoch: link.epoch,
        })
    }

    fn wake(&self, name: &Instance) -> Option<Rc<Notify>> {
        let links = self.links.borrow();
        links.get(name).map(|link| link.wake.clone())
    }

    fn current(&self, name: &Instance, epoch: u64) -> bool {
        let links = self.links.borrow();
        links.get(name).is_some_and(|link| link.epoch == epoch)
    }
}

/// An envelope as it is sent.
struct Sealed {
    bytes: Vec<u8>,
    /// How many messages are in it.
    count: usize,
    /// Where it goes.
    address: String,
    /// The epoch of its session.
    epoch: u64,
}

impl Link {
    /// Counts the messages that go into the next envelope.
    fn fitting(&self) -> usize {
        let mut bytes = 0;
        let fits = |message: &&Vec<u8>| {
            let first = bytes == 0;
            bytes += message.len();
            first || bytes <= ENVELOPE
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

/// A connection to a peer. It closes when it is given up: an RPC system by itself keeps its connection, with what lies in its
/// buffers at both ends, for as long as the peer does.
struct Connection {
    address: String,
    client: mailbox::Client,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects from the instance's own address, by which the peer knows it.
    async fn open(own: IpAddr, address: &str) -> Option<Self> {
        let peer: SocketAddr = address.parse().ok()?;
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(SocketAddr::new(own, 0)).ok()?;
        let stream = timeout(CONNECT, socket.connect(peer)).await.ok()?.ok()?;
        let mut system = RpcSystem::new(build_network(stream, Side::Client), None);
        let client = system.bootstrap(Side::Server);
        let driver = spawn_local(async move {
            // It ends with the connection, which the next delivery finds.
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

/// Delivers a peer's messages, one envelope after the other, each until it is acknowledged.
async fn deliver(hub: Rc<Hub>, name: Instance) {
    let mut link: Option<Connection> = None;
    let Some(wake) = hub.peers.wake(&name) else {
        return;
    };
    loop {
        let Some(envelope) = hub.peers.next(&name) else {
            wake.notified().await;
            continue;
        };
        hub.gauges.messages(envelope.count);
        // An envelope of a session that has ended meanwhile is void.
        while hub.peers.current(&name, envelope.epoch) {
            if link
                .as_ref()
                .is_none_or(|known| known.address != envelope.address)
            {
                link = Connection::open(hub.peers.own, &envelope.address).await;
            }
            let Some(connection) = &link else {
                sleep(AGAIN).await;
                continue;
            };
            let mut request = connection.client.deliver_request();
            request.get().set_envelope(&envelope.bytes);
            match timeout(DELIVERY, request.send().promise).await {
                Ok(Ok(_)) => break,
                Ok(Err(error)) => {
                    let record = Record::new("messages_broken").with("member", name.as_str());
                    hub.log(&record.with("error", error.extra));
                }
                Err(_) => {
                    let record = Record::new("messages_unanswered").with("member", name.as_str());
                    hub.log(&record);
                }
            }
            link = None;
            sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Serves peers that connect, one connection for each: a peer that connects anew has given the former one up, and what
/// tells so may be lost on the way.
pub async fn serve(hub: Rc<Hub>, listener: TcpListener) {
    let mut served: HashMap<IpAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        served.retain(|_, connection| !connection.is_finished());
        let hub = hub.clone();
        let connection = spawn_local(async move {
            let client: mailbox::Client = capnp_rpc::new_client(Served { hub });
            let network = build_network(stream, Side::Server);
            // A connection ends with its peer, which says so itself or falls silent.
            RpcSystem::new(network, Some(client.client)).await.ok();
        });
        if let Some(former) = served.insert(from.ip(), connection) {
            former.abort();
        }
    }
}

/// What an instance offers to its peers.
struct Served {
    hub: Rc<Hub>,
}

impl mailbox::Server for Served {
    async fn deliver(
        self: Rc<Self>,
        params: mailbox::DeliverParams,
        _results: mailbox::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let bytes = params.get()?.get_envelope()?;
        let envelope: Envelope = postcard::from_bytes(bytes).map_err(|error| {
            let record = Record::new("messages_malformed").with("error", error.to_string());
            self.hub.log(&record);
            capnp::Error::failed(error.to_string())
        })?;
        let mut inbox = self.hub.peers.inbox.borrow_mut();
        let repeated = inbox.repeated(&envelope.sender, envelope.serial);
        drop(inbox);
        if !repeated {
            self.hub.feed(Input::Received {
                from: envelope.sender,
                messages: envelope.messages,
            });
        }
        Ok(())
    }
}

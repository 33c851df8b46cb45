//! A proxy in front of an instance for its peers, which send messages (TCP) and heartbeats (UDP) to one address.
//!
//! Faults apply to one sender, by its IP address. The proxy connects to the instance from the sender's address, since
//! instances tell their peers apart by it.

use std::{
    collections::HashMap,
    io,
    net::{
        IpAddr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
        TcpSocket,
        TcpStream,
        UdpSocket, //
    },
    sync::mpsc,
    task::JoinSet,
    time::{
        sleep,
        sleep_until,
        Instant, //
    }, //
};

use super::server::AcceptLoop;

/// Interval between checks whether traffic is still held.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The longest datagram that is forwarded, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The treatment of bytes or datagrams in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Treatment {
    /// Forwards them.
    #[default]
    Pass,
    /// Keeps them, and forwards them in order when the treatment changes, also if the sender has closed meanwhile.
    Hold,
    /// Drops them. A connection that has lost bytes forwards nothing any more in that direction.
    Drop,
    /// Forwards them after a delay.
    Delay(Duration),
}

/// The treatment of the traffic of one sender, on open and on new connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Bytes from the sender.
    pub messages: Treatment,
    /// Bytes to the sender.
    pub acknowledgements: Treatment,
    /// Datagrams from the sender. Those to it pass through the proxy in front of it.
    pub heartbeats: Treatment,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<HashMap<IpAddr, Faults>>,
}

impl Shared {
    fn faults(&self, sender: IpAddr) -> Faults {
        let faults = self.faults.lock().unwrap();
        faults.get(&sender).copied().unwrap_or_default()
    }
}

/// A running proxy; stopped when dropped.
pub struct PeerProxy {
    shared: Arc<Shared>,
    _connections: AcceptLoop,
    _datagrams: JoinSet<()>,
}

impl PeerProxy {
    /// Starts a proxy at `address` in front of the instance that listens at `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let shared: Arc<Shared> = Arc::default();
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1_024)?;
        let s = shared.clone();
        let connections = AcceptLoop::start(listener, usize::MAX, move |client| {
            forward_connection(client, target, s.clone())
        });
        let socket = UdpSocket::bind(address).await?;
        let mut datagrams = JoinSet::new();
        datagrams.spawn(forward_datagrams(socket, target, shared.clone()));
        Ok(Self {
            shared,
            _connections: connections,
            _datagrams: datagrams,
        })
    }

    /// Sets the treatment of what the instance at the IP address `sender` sends.
    pub fn set_faults(&self, sender: IpAddr, faults: Faults) {
        self.shared.faults.lock().unwrap().insert(sender, faults);
    }
}

/// Forwards the datagrams of all senders, each sender's in order.
async fn forward_datagrams(socket: UdpSocket, target: SocketAddr, shared: Arc<Shared>) {
    let socket = Arc::new(socket);
    let mut queues: HashMap<IpAddr, mpsc::UnboundedSender<(Instant, Bytes)>> = HashMap::new();
    // The tasks end when the proxy is dropped.
    let mut tasks = JoinSet::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error is that of an earlier datagram, which nobody received.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let sender = from.ip();
        let delay = match shared.faults(sender).heartbeats {
            Treatment::Drop => continue,
            Treatment::Delay(delay) => delay,
            Treatment::Pass | Treatment::Hold => Duration::ZERO,
        };
        let queue = queues.entry(sender).or_insert_with(|| {
            let (queue, mut receiver) = mpsc::unbounded_channel::<(Instant, Bytes)>();
            let (socket, shared) = (socket.clone(), shared.clone());
            tasks.spawn(async move {
                while let Some((due, datagram)) = receiver.recv().await {
                    sleep_until(due).await;
                    while shared.faults(sender).heartbeats == Treatment::Hold {
                        sleep(HOLD_POLL_INTERVAL).await;
                    }
                    socket.send_to(&datagram, target).await.ok();
                }
            });
            queue
        });
        let datagram = Bytes::copy_from_slice(&buffer[..length]);
        queue.send((Instant::now() + delay, datagram)).ok();
    }
}

/// Forwards one connection until both directions have ended.
async fn forward_connection(client: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let Ok(sender) = client.peer_addr().map(|address| address.ip()) else {
        return;
    };
    client.set_nodelay(true).ok();
    let (from_client, to_client) = client.into_split();
    let (bytes, queue) = mpsc::unbounded_channel();
    let up = Direction {
        sender,
        treatment: |faults| faults.messages,
        shared: shared.clone(),
    };
    let down = Direction {
        sender,
        treatment: |faults| faults.acknowledgements,
        shared,
    };
    let read = up.read(from_client, bytes);
    let forward = async {
        // While messages are held, connections are held too: the instance closes an older one when it accepts another.
        up.wait_while_held().await;
        let Ok(server) = connect(sender, target).await else {
            return;
        };
        let (from_server, to_server) = server.into_split();
        let (bytes, answers) = mpsc::unbounded_channel();
        tokio::join!(
            up.write(to_server, queue),
            down.read(from_server, bytes),
            down.write(to_client, answers),
        );
    };
    // Bytes of a client that has closed are still delivered.
    let read = async {
        read.await;
        std::future::pending().await
    };
    tokio::select! {
        () = forward => {}
        () = read => {}
    }
}

/// Connects from the IP address of the sender.
async fn connect(sender: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(sender, 0))?;
    let stream = socket.connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// One direction of a connection.
struct Direction {
    sender: IpAddr,
    treatment: fn(Faults) -> Treatment,
    shared: Arc<Shared>,
}

impl Direction {
    fn treatment(&self) -> Treatment {
        (self.treatment)(self.shared.faults(self.sender))
    }

    async fn wait_while_held(&self) {
        while self.treatment() == Treatment::Hold {
            sleep(HOLD_POLL_INTERVAL).await;
        }
    }

    /// Queues chunks with the time at which they are due, until the connection ends.
    async fn read(&self, mut from: OwnedReadHalf, queue: mpsc::UnboundedSender<(Instant, Bytes)>) {
        let mut dropping = false;
        loop {
            let mut chunk = BytesMut::with_capacity(16 << 10);
            if !matches!(from.read_buf(&mut chunk).await, Ok(1..)) {
                return;
            }
            let delay = match self.treatment() {
                Treatment::Pass | Treatment::Hold => Duration::ZERO,
                Treatment::Delay(delay) => delay,
                Treatment::Drop => {
                    dropping = true;
                    continue;
                }
            };
            // The receiver couldn't make sense of what follows a gap.
            if !dropping
                && queue
                    .send((Instant::now() + delay, chunk.freeze()))
                    .is_err()
            {
                return;
            }
        }
    }

    /// Writes queued chunks when they are due, then closes this direction.
    async fn write(
        &self,
        mut to: OwnedWriteHalf,
        mut queue: mpsc::UnboundedReceiver<(Instant, Bytes)>,
    ) {
        while let Some((due, chunk)) = queue.recv().await {
            sleep_until(due).await;
            self.wait_while_held().await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        self.wait_while_held().await;
        to.shutdown().await.ok();
    }
}

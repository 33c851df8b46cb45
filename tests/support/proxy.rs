//! A TCP proxy that injects faults in front of any address.

use std::{
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    time::Duration,
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
        TcpStream, //
    },
    sync::mpsc,
    time::Instant,
};

use super::{
    server::{
        Loop,
        Port, //
    },
    Result, //
};

/// Chunks that a direction holds while they are delayed.
const CHUNKS: usize = 1_024;

/// A direction through the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Up,
    /// From the server to the client.
    Down,
}

/// What happens to bytes, on open and on new connections.
#[derive(Debug, Clone, Copy, Default)]
pub enum Mode {
    /// They pass.
    #[default]
    Pass,
    /// They pass later.
    Delay {
        /// By so much towards the server.
        up: Duration,
        /// By so much towards the client.
        down: Duration,
    },
    /// Those of one direction are lost.
    Drop {
        /// The direction.
        direction: Direction,
        /// Whether the first loss closes the connection.
        close: bool,
    },
}

impl Mode {
    /// Loses answers: requests arrive, and the connection closes in place of the answer.
    pub const DROP_ANSWERS: Self = Self::Drop {
        direction: Direction::Down,
        close: true,
    };
}

struct Shared {
    target: SocketAddr,
    mode: Mutex<Mode>,
    /// Connections of an earlier generation are silent.
    generation: AtomicU64,
    accepted: AtomicU64,
    bytes: AtomicU64,
}

impl Shared {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn silent(&self, generation: u64) -> bool {
        generation < self.generation.load(Ordering::SeqCst)
    }
}

/// A running proxy; it ends when dropped.
pub struct Proxy {
    port: Port,
    shared: Arc<Shared>,
    accept: Option<Loop>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> Result<Self> {
        let mut proxy = Self {
            port: Port::take()?,
            shared: Arc::new(Shared {
                target,
                mode: Mutex::default(),
                generation: AtomicU64::new(0),
                accepted: AtomicU64::new(0),
                bytes: AtomicU64::new(0),
            }),
            accept: None,
        };
        proxy.reopen()?;
        Ok(proxy)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Switches the mode.
    pub fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock().unwrap() = mode;
    }

    /// Silences the open connections for good: bytes vanish both ways and a close goes unseen.
    pub fn blackhole_open(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Closes all connections and refuses new ones.
    pub async fn close(&mut self) {
        if let Some(accept) = self.accept.take() {
            accept.end().await;
        }
    }

    /// Takes connections again after a cut.
    pub fn reopen(&mut self) -> Result {
        if self.accept.is_none() {
            let shared = self.shared.clone();
            let serve = move |client| connection(client, shared.clone());
            self.accept = Some(Loop::start(self.port.listen()?, usize::MAX, serve));
        }
        Ok(())
    }

    /// Returns how many connections have been taken.
    pub fn accepted_count(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Returns how many bytes have been passed on, both ways.
    pub fn forwarded_bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::SeqCst)
    }
}

/// Runs one connection; it closes on both sides as soon as one direction asks for it.
async fn connection(client: TcpStream, shared: Arc<Shared>) {
    shared.accepted.fetch_add(1, Ordering::SeqCst);
    let generation = shared.generation.load(Ordering::SeqCst);
    let Ok(server) = TcpStream::connect(shared.target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let pump = |direction| Pump {
        direction,
        generation,
        shared: shared.clone(),
    };
    let up = pump(Direction::Up).run(from_client, to_server);
    let down = pump(Direction::Down).run(from_server, to_client);
    let _ = futures::future::try_join(up, down).await;
}

/// Asks for both sides to be closed.
struct Close;

/// One direction of one connection.
struct Pump {
    direction: Direction,
    generation: u64,
    shared: Arc<Shared>,
}

impl Pump {
    async fn run(self, from: OwnedReadHalf, to: OwnedWriteHalf) -> std::result::Result<(), Close> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        let result = futures::future::try_join(self.read(from, sender), self.write(to, receiver));
        let result = result.await.map(|_| ());
        if self.shared.silent(self.generation) {
            // Whatever ended this direction, the other side is not to see it.
            std::future::pending::<()>().await;
        }
        result
    }

    async fn read(
        &self,
        mut from: OwnedReadHalf,
        sender: mpsc::Sender<(Instant, Bytes)>,
    ) -> std::result::Result<(), Close> {
        loop {
            let mut chunk = BytesMut::with_capacity(16 << 10);
            if from.read_buf(&mut chunk).await.map_err(|_| Close)? == 0 {
                return Ok(());
            }
            if self.shared.silent(self.generation) {
                continue;
            }
            let Some(delay) = self.pass()? else { continue };
            let due = Instant::now() + delay;
            sender
                .send((due, chunk.freeze()))
                .await
                .map_err(|_| Close)?;
        }
    }

    /// Tells whether a chunk passes, and after what delay.
    fn pass(&self) -> std::result::Result<Option<Duration>, Close> {
        match (self.shared.mode(), self.direction) {
            (Mode::Delay { up, .. }, Direction::Up) => Ok(Some(up)),
            (Mode::Delay { down, .. }, Direction::Down) => Ok(Some(down)),
            (Mode::Drop { direction, close }, own) if direction == own => match close {
                true => Err(Close),
                false => Ok(None),
            },
            _ => Ok(Some(Duration::ZERO)),
        }
    }

    async fn write(
        &self,
        mut to: OwnedWriteHalf,
        mut receiver: mpsc::Receiver<(Instant, Bytes)>,
    ) -> std::result::Result<(), Close> {
        while let Some((due, chunk)) = receiver.recv().await {
            tokio::time::sleep_until(due).await;
            if !self.shared.silent(self.generation) {
                to.write_all(&chunk).await.map_err(|_| Close)?;
                let passed = chunk.len() as u64;
                self.shared.bytes.fetch_add(passed, Ordering::SeqCst);
            }
        }
        if !self.shared.silent(self.generation) {
            to.shutdown().await.map_err(|_| Close)?;
        }
        Ok(())
    }
}

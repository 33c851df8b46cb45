//! Real instances as processes, with stand-ins of the platform's store and endpoints on loopback.

use std::{
    collections::HashSet,
    fs::File,
    net::SocketAddr,
    path::Path,
    process::{
        ExitStatus,
        Stdio, //
    },
    sync::{
        atomic::{
            AtomicU8,
            Ordering, //
        },
        Mutex,
    },
    time::Duration,
};

use hyper::Method;
use nix::{
    sys::signal::{
        kill,
        Signal, //
    },
    unistd::Pid,
};
use serde_json::{
    json,
    Value, //
};
use tokio::process::{
    Child,
    Command, //
};

use super::{
    runner::Runner,
    store::Store, //
};
use crate::support::{
    client::{
        self,
        Client,
        Response, //
    },
    proxy::Proxy,
    wait_until,
    Result,
    WAIT_TIMEOUT, //
};

/// The host that jobs name.
pub(crate) const HOST: &str = "cells.example";
/// The port at which instances meet.
const PEERS: u16 = 8_166;
/// What the paths of jobs begin with.
pub(crate) const PREFIX: &str = "/q/";

/// Hands out addresses of the loopback network; each process of tests has 250 of its own.
fn address() -> String {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (id, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{n}", id >> 8 & 0x7f | 0x80, id & 0xff)
}

/// A running instance; its process is killed when it is dropped.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) ip: String,
    centre: String,
    store: String,
    child: Mutex<Child>,
    folder: tempfile::TempDir,
}

impl Node {
    pub(crate) async fn start(
        program: &Path,
        name: &str,
        centre: &str,
        store: &str,
    ) -> Result<Self> {
        Self::start_at(program, name, centre, store, address()).await
    }

    async fn start_at(
        program: &Path,
        name: &str,
        centre: &str,
        store: &str,
        ip: String,
    ) -> Result<Self> {
        let folder = tempfile::tempdir()?;
        let settings = folder.path().join("boot.toml");
        std::fs::write(&settings, boot(name, centre, store, &ip))?;
        let log = File::create(folder.path().join("log"))?;
        let child = Command::new(program)
            .args(["dispatch", "--settings"])
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            centre: centre.to_owned(),
            store: store.to_owned(),
            ip,
            child: Mutex::new(child),
            folder,
        })
    }

    /// Starts it again at the same address.
    pub(crate) async fn restart(&self, program: &Path) -> Result<Self> {
        Self::start_at(
            program,
            &self.name,
            &self.centre,
            &self.store,
            self.ip.clone(),
        )
        .await
    }

    pub(crate) fn front(&self) -> SocketAddr {
        format!("{}:8161", self.ip).parse().unwrap()
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap_or_default()
    }

    pub(crate) async fn ready(&self) -> Result {
        let address = format!("{}:8167", self.ip).parse().unwrap();
        let what = format!("{} is ready", self.name);
        let ready = wait_until(&what, || async {
            let answer = client::get(address, "/api/ready").await.ok()?;
            (answer.status == 200).then_some(())
        });
        ready
            .await
            .map_err(|e| format!("{e}\n{}", self.log()).into())
    }

    pub(crate) async fn metrics(&self) -> Result<String> {
        let address = format!("{}:9464", self.ip).parse().unwrap();
        let answer = client::get(address, "/metrics").await?;
        Ok(String::from_utf8(answer.body.to_vec())?)
    }

    /// Counts the connections with peers that its process has open, both ways.
    pub(crate) fn peer_connections(&self) -> Result<usize> {
        let pid = self.child.lock().unwrap().id().ok_or("it has ended")?;
        let port = format!(":{PEERS:04X}");
        let table = std::fs::read_to_string("/proc/net/tcp")?;
        let fields = table
            .lines()
            .map(|l| l.split_whitespace().collect::<Vec<_>>());
        // Local and remote address, and the inode.
        let peers = fields.filter(|f| f[1].ends_with(&port) || f[2].ends_with(&port));
        let inodes: HashSet<String> = peers.map(|f| format!("socket:[{}]", f[9])).collect();
        let mut connections = 0;
        for entry in std::fs::read_dir(format!("/proc/{pid}/fd"))? {
            // One that was closed since it was listed is none.
            let target = std::fs::read_link(entry?.path()).unwrap_or_default();
            connections += usize::from(inodes.contains(target.to_string_lossy().as_ref()));
        }
        // The listener is none.
        Ok(connections.saturating_sub(1))
    }

    pub(crate) fn signal(&self, signal: Signal) -> Result {
        let id = self.child.lock().unwrap().id();
        let id = id.ok_or("the process has ended")?;
        Ok(kill(Pid::from_raw(id.try_into()?), signal)?)
    }

    #[allow(dead_code)] // Only the soak asks.
    /// Tells whether the process runs, and takes note of its end.
    pub(crate) fn alive(&self) -> bool {
        let ended = self.child.lock().unwrap().try_wait();
        matches!(ended, Ok(None))
    }

    pub(crate) async fn exit(&mut self) -> Result<ExitStatus> {
        let child = self.child.get_mut().unwrap();
        Ok(tokio::time::timeout(WAIT_TIMEOUT, child.wait()).await??)
    }

    /// Hands a job of equal tasks in and waits for its answer.
    pub(crate) async fn submit(&self, id: u64, tasks: u32, estimate: u64) -> Result<Response> {
        let mut client = Client::connect(self.front()).await?;
        let body = job_body(tasks, estimate, true);
        self.submit_over(&mut client, id, &body).await
    }

    #[allow(dead_code)] // Only some tests say what a task is told.
    /// Hands a job in whose tasks are told `spec`.
    pub(crate) async fn submit_spec(&self, id: u64, spec: &str) -> Result<Response> {
        let mut client = Client::connect(self.front()).await?;
        let mut body = job_body(1, 60, true);
        body["spec"] = json!(spec);
        self.submit_over(&mut client, id, &body).await
    }

    /// Hands a job in over a connection that may have been used before.
    pub(crate) async fn submit_over(
        &self,
        client: &mut Client,
        id: u64,
        body: &Value,
    ) -> Result<Response> {
        let headers = [("host", HOST), ("x-poplarknot-deadline-ms", "8000")];
        let path = format!("{PREFIX}{id:016x}");
        client.post(&path, &headers, body).await
    }

    #[allow(dead_code)] // The example asks nothing.
    /// Asks for a job.
    pub(crate) async fn get(&self, path: &str) -> Result<Response> {
        let mut client = Client::connect(self.front()).await?;
        let headers = [("host", HOST)];
        client.send(Method::GET, path, &headers, Vec::new()).await
    }

    #[allow(dead_code)] // Only some tests cancel.
    /// Cancels a job.
    pub(crate) async fn delete(&self, path: &str) -> Result<Response> {
        let mut client = Client::connect(self.front()).await?;
        let headers = [("host", HOST)];
        client
            .send(Method::DELETE, path, &headers, Vec::new())
            .await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Response> {
        let mut client = Client::connect(self.front()).await?;
        let headers = [("host", HOST), ("x-poplarknot-deadline-ms", "8000")];
        client.post(path, &headers, body).await
    }
}

fn boot(name: &str, centre: &str, store: &str, ip: &str) -> String {
    format!(
        r#"node = "{name}"
zone = "{centre}"
ip = "{ip}"
port_range = [7720, 7735]
seeds = []
[listen_addrs]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[limits]
cpu_share = 0.25
cores = 1
max_fds = 1000
[bounds]
grace_s = 6
[platform]
address = "{store}"
"#
    )
}

/// A store, endpoints in two data centres, and instances.
pub(crate) struct Fleet {
    pub(crate) store: Store,
    pub(crate) runners: Vec<Runner>,
    pub(crate) nodes: Vec<Node>,
    /// In front of each endpoint, and of the store for each instance.
    pub(crate) proxies: Proxies,
}

/// Proxies between the instances and what they call; none where nothing is to be harmed there.
#[derive(Default)]
pub(crate) struct Proxies {
    pub(crate) endpoints: Vec<Proxy>,
    pub(crate) stores: Vec<Proxy>,
}

impl Fleet {
    /// Starts a fleet.
    pub(crate) async fn start(
        program: &Path,
        nodes: usize,
        runners: usize,
        takes: Duration,
    ) -> Result<Self> {
        Self::assemble(program, nodes, runners, takes, false).await
    }

    #[allow(dead_code)] // Only the soak asks.
    /// Starts a fleet with proxies between the instances and what they call.
    pub(crate) async fn behind_proxies(
        program: &Path,
        nodes: usize,
        runners: usize,
        takes: Duration,
    ) -> Result<Self> {
        Self::assemble(program, nodes, runners, takes, true).await
    }

    async fn assemble(
        program: &Path,
        nodes: usize,
        runners: usize,
        takes: Duration,
        proxied: bool,
    ) -> Result<Self> {
        let store = Store::start()?;
        configure(&store, 7, 4_000);
        let centre = |i: usize| ["ulemiste", "maardu"][i % 2];
        let mut fleet = Self {
            store,
            runners: Vec::new(),
            nodes: Vec::new(),
            proxies: Proxies::default(),
        };
        for i in 0..runners {
            let (id, rack) = (format!("i-{i}"), format!("r{}", i % 2));
            let mut runner = Runner::start(&id, centre(i), &rack, 4, takes)?;
            if proxied {
                let proxy = Proxy::start(runner.address())?;
                runner = runner.behind(&proxy);
                fleet.proxies.endpoints.push(proxy);
            }
            runner.enlist(&fleet.store);
            fleet.runners.push(runner);
        }
        for i in 0..nodes {
            let name = format!("instance-{i}");
            let mut store = fleet.store.address();
            if proxied {
                let proxy = Proxy::start(store.parse()?)?;
                store = proxy.address().to_string();
                fleet.proxies.stores.push(proxy);
            }
            let node = Node::start(program, &name, centre(i), &store).await?;
            fleet.nodes.push(node);
        }
        for node in &fleet.nodes {
            node.ready().await?;
        }
        Ok(fleet)
    }

    /// Checks that no task ever ran twice at the same time, and returns how many runs there were.
    pub(crate) fn judge(&self) -> usize {
        let past: Vec<_> = self.runners.iter().flat_map(|r| r.history()).collect();
        for (i, one) in past.iter().enumerate() {
            for other in &past[i + 1..] {
                let apart = one.until.is_some_and(|u| u <= other.from)
                    || other.until.is_some_and(|u| u <= one.from);
                assert!(one.task != other.task || apart, "{one:?} and {other:?}");
            }
        }
        past.len()
    }

    pub(crate) fn logs(&self) -> String {
        self.nodes.iter().map(Node::log).collect()
    }
}

/// Writes a job of equal tasks.
pub(crate) fn job_body(tasks: u32, estimate: u64, best_effort: bool) -> Value {
    json!({
        "spec": "cell", "best_effort": best_effort,
        "steps": [{"count": tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": estimate}],
    })
}

/// Puts a configuration in force with one queue.
pub(crate) fn configure(store: &Store, version: u64, timeout: u64) {
    configure_idle(store, version, timeout, 15_000);
}

/// Puts a configuration in force that closes callers' connections when they have been idle for `idle` milliseconds.
pub(crate) fn configure_idle(store: &Store, version: u64, timeout: u64, idle: u64) {
    let configuration = json!({
        "version": version,
        "routes": [{
            "name": "r-1", "hostname": HOST, "prefix": PREFIX, "type": "non_idempotent",
            "timeout_ms": timeout, "target_duration_ms": 60, "priority": 0, "service": "cells",
            "max_attempts": 3, "stretch": 1.6,
        }],
        "services": [{
            "name": "cells", "health_path": "/health", "max_connections": 64, "protocol": "h1",
            "tls": false, "admission_check": true, "spare": false,
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4096, "header_timeout_ms": 3000,
            "idle_timeout_ms": idle,
        },
    });
    store.set("op", "config", &configuration);
}

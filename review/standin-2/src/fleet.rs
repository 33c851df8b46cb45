//! A small deployment: store, endpoints, and instances as processes with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Response},
    json::{self, object, Value},
    store::{Store, ROW_BYTES},
    worker::{Run, Worker},
};

/// The host and the path prefix of the queue.
pub const HOST: &str = "cells.example";
pub const PREFIX: &str = "/q/";

/// The ports of the instances: for callers, for the readiness check and for peers. They're the same at all addresses.
#[derive(Debug, Clone, Copy)]
struct Ports([u16; 3]);

impl Ports {
    /// Returns ports that are free at an address.
    fn find(ip: &str) -> io::Result<Self> {
        let listeners = [0; 3].map(|port| TcpListener::bind((ip, port)));
        let mut ports = [0; 3];
        for (port, listener) in ports.iter_mut().zip(listeners) {
            *port = listener?.local_addr()?.port();
        }
        Ok(Self(ports))
    }
}

/// An instance of the program.
pub struct Instance {
    pub name: String,
    ip: String,
    zone: String,
    ports: Ports,
    front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Instance {
    fn start(
        store: &Store,
        folder: &Path,
        ip: &str,
        name: &str,
        zone: &str,
        ports: Ports,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, render_settings(store, ip, name, zone, ports))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/poplarknot")
            .arg("dispatch")
            .env("POPLARKNOT_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let address = |port: u16| format!("{ip}:{port}").parse().map_err(io::Error::other);
        Ok(Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            zone: zone.to_owned(),
            ports,
            front: address(ports.0[0])?,
            ready: address(ports.0[1])?,
            child,
        })
    }

    /// Starts the process again, at the same address.
    fn restart(&mut self, store: &Store, folder: &Path) -> io::Result<()> {
        *self = Self::start(
            store,
            folder,
            &self.ip.clone(),
            &self.name.clone(),
            &self.zone.clone(),
            self.ports,
        )?;
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(500);
        let response = http::call(
            self.ready,
            "GET",
            "/api/ready",
            &[("host", "ready")],
            &[],
            wait,
        );
        response.is_ok_and(|response| response.status == 200)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends a request to the queue, with the ID of a job or none.
    pub fn send(
        &self,
        method: &str,
        id: &str,
        body: &[u8],
        wait: Duration,
    ) -> io::Result<Response> {
        let deadline = wait.as_millis().to_string();
        let headers = [
            ("host", HOST),
            ("content-type", "application/json"),
            ("x-poplarknot-deadline-ms", deadline.as_str()),
        ];
        http::call(
            self.front,
            method,
            &format!("{PREFIX}{id}"),
            &headers,
            body,
            wait,
        )
    }

    /// Returns the answer to a GET of a job: its state, or the status or error.
    pub fn state(&self, id: &str, wait: Duration) -> String {
        match self.send("GET", id, &[], wait) {
            Ok(response) if response.status == 200 => {
                let body = json::parse(&response.body).unwrap_or(Value::Null);
                body.get("state")
                    .as_str()
                    .unwrap_or("unreadable")
                    .to_owned()
            }
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn render_settings(store: &Store, ip: &str, name: &str, zone: &str, ports: Ports) -> String {
    let Ports([front, ready, control]) = ports;
    format!(
        r#"node = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "r"
port_range = [7720, 7735]
seeds = []
bootstrap = true
discovery = "platform"
heartbeat_ms = 1500
command_mode = "rpc"
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
cancel_ms = 3000
visible_ms = 3000
max_hold_ms = 1000
stop_ms = 50
finish_s = 14
status_s = 120
retry_ms = 1300
[platform]
address = "{}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
tx_ms = 3.0
partition_writes_s = 300
row_bytes = {ROW_BYTES}
across = true
history_s = 20
"#,
        store.address
    )
}

/// What a fleet consists of. Each row of `workers` is zone, rack and number of endpoints, with 8 slots each.
pub struct Plan<'a> {
    pub zones: &'a [&'a str],
    pub workers: &'a [(&'a str, &'a str, usize)],
    pub max_attempts: u64,
}

/// A running deployment.
pub struct Fleet {
    pub store: Store,
    pub workers: Vec<Worker>,
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a deployment and waits until all instances are ready.
    pub fn start(plan: &Plan<'_>) -> io::Result<Self> {
        let process = std::process::id();
        let ip = |n: usize| format!("127.{}.{}.{n}", 64 + (process >> 8 & 0x3f), process & 0xff);
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        fs::create_dir_all(&folder)?;
        let store = Store::start(&ip(1));
        store.set("op", "config", &configuration(plan.max_attempts));
        let mut workers = Vec::new();
        for (zone, rack, count) in plan.workers {
            for _ in 0..*count {
                let id = format!("i-{:08x}", 0x7f3a_9100 + workers.len());
                workers.push(Worker::start(&store, &ip(2), &id, zone, rack, 8));
            }
        }
        let mut fleet = Self {
            store,
            workers,
            instances: Vec::new(),
            folder,
        };
        let ports = Ports::find(&ip(10))?;
        for (index, zone) in plan.zones.iter().enumerate() {
            let name = format!("edge-{zone}-{}", index + 1);
            let instance = Instance::start(
                &fleet.store,
                &fleet.folder,
                &ip(10 + index),
                &name,
                zone,
                ports,
            )?;
            fleet.instances.push(instance);
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !fleet.instances.iter().all(Instance::is_ready) {
            if Instant::now() > end {
                return Err(io::Error::other("the instances aren't ready within 15 s"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // All are in touch: `contact_ms` after their start.
        thread::sleep(Duration::from_millis(3_000));
        Ok(fleet)
    }

    /// Starts the process of an instance again.
    pub fn restart(&mut self, index: usize) -> io::Result<()> {
        self.instances[index].restart(&self.store, &self.folder)
    }

    /// Returns the runs of all endpoints, by their start.
    pub fn history(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = self.workers.iter().flat_map(Worker::history).collect();
        runs.sort_by_key(|run| run.started_at);
        runs
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.instances.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs in {}", self.folder.display()),
            None => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

fn configuration(max_attempts: u64) -> Value {
    let route = object(vec![
        ("name", "r-1".into()),
        ("hostname", HOST.into()),
        ("prefix", PREFIX.into()),
        ("type", "non_idempotent".into()),
        ("timeout_ms", Value::from(1_500)),
        ("target_duration_ms", Value::from(60)),
        ("priority", Value::from(0)),
        ("service", "cells".into()),
        ("max_attempts", max_attempts.into()),
        ("stretch", Value::Number(1.6)),
    ]);
    let service = object(vec![
        ("name", "cells".into()),
        ("health_path", "/health".into()),
        ("max_connections", Value::from(64)),
        ("protocol", "h1".into()),
        ("tls", false.into()),
        ("admission_check", true.into()),
        ("spare", false.into()),
    ]);
    let limits = object(vec![
        ("max_header_bytes", Value::from(16_384)),
        ("max_body_bytes", Value::from(262_144)),
        ("header_timeout_ms", Value::from(3_000)),
        ("idle_timeout_ms", Value::from(15_000)),
    ]);
    object(vec![
        ("version", Value::from(7)),
        ("routes", vec![route].into()),
        ("services", vec![service].into()),
        ("limits", limits),
    ])
}

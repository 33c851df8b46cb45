//! Instances as separate processes, each on a loopback address of its own, with the platform's settings files.

use std::{
    env,
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::Duration,
};

use crate::{http, record::Record, store};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/poplarknot";
const ARGUMENT: &str = "dispatch";

pub const ZONES: [&str; 3] = ["ulemiste-a", "ulemiste-b", "maardu"];

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Ends its instances when it's dropped.
pub struct Fleet {
    pub instances: Vec<Instance>,
    record: Record,
}

/// Returns loopback addresses that other plays at the same time don't use, one for the platform and the rest for instances.
pub fn addresses(count: usize) -> Vec<String> {
    let id = std::process::id();
    let net = format!("127.{}.{}", 64 + id / 250 % 128, 1 + id % 250);
    (1..=count).map(|host| format!("{net}.{host}")).collect()
}

impl Fleet {
    /// Starts an instance on each of the addresses, and waits until all are ready.
    pub fn start(
        ips: &[String],
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        let base = free_ports(ips).ok_or("no free ports")?;
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", base + 2))
            .collect();
        let mut fleet = Self {
            instances: Vec::new(),
            record: record.clone(),
        };
        for (n, ip) in ips.iter().enumerate() {
            let zone = ZONES[n % ZONES.len()];
            let name = format!("edge-{zone}-{}", 1 + n / ZONES.len());
            let text = settings(&name, ip, zone, base, &seeds.join(","), store);
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text).map_err(|error| error.to_string())?;
            let address = |port: u16| {
                format!("{ip}:{port}")
                    .parse::<SocketAddr>()
                    .map_err(|e| e.to_string())
            };
            fleet.instances.push(Instance {
                front: address(base)?,
                ready: address(base + 1)?,
                log: folder.join(format!("{name}.log")),
                settings,
                name,
                child: Mutex::default(),
            });
        }
        for instance in &fleet.instances {
            instance.start()?;
        }
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Kills all instances that run.
    pub fn kill(&self) {
        for instance in &self.instances {
            instance.kill();
        }
    }

    /// Waits until all instances are ready.
    fn wait_until_ready(&self) -> Result<(), String> {
        for instance in &self.instances {
            let is_ready = |_: &u32| {
                let patience = Duration::from_millis(500);
                let answer = http::call(instance.ready, "GET", "ready", "/api/ready", "", patience);
                thread::sleep(Duration::from_millis(50));
                answer.is_some_and(|(status, _)| status == 200)
            };
            if (0..200).find(is_ready).is_none() {
                return Err(format!("{} isn't ready", instance.name));
            }
        }
        self.record.say("all instances are ready");
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Instance {
    /// Starts the process.
    fn start(&self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env("POPLARKNOT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs.
    fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            child.kill().ok();
            child.wait().ok();
        }
    }

    /// Returns how the process ended by itself, if it has.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().unwrap().as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

/// Returns the first of some ports that are free on all addresses.
fn free_ports(ips: &[String]) -> Option<u16> {
    let begin = 20_000 + (std::process::id() % 900) as u16 * 10;
    let bases = (0..900).map(|n| 20_000 + (begin - 20_000 + n * 10) % 9_000);
    let is_free = |base: &u16| {
        let mut ports = ips
            .iter()
            .flat_map(|ip| (0..4).map(move |n| (ip.as_str(), base + n)));
        ports.all(|address| TcpListener::bind(address).is_ok())
    };
    bases.into_iter().find(is_free)
}

fn settings(name: &str, ip: &str, zone: &str, base: u16, seeds: &str, store: SocketAddr) -> String {
    let (writes, reads, row_bytes) = (store::WRITES_PER_S, store::READS_PER_S, store::ROW_BYTES);
    let zones: Vec<String> = ZONES
        .iter()
        .map(|zone| format!("{zone} = \"ee-harju\""))
        .collect();
    format!(
        r#"node = "{name}"
role = "instance"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "ee-harju"
port_range = [{}, {}]
seeds = [{seeds}]
bootstrap = true
tolerance_member = false
discovery = "platform"
entrypoint = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
command_mode = "rpc"
[zones]
{}
[listen_addrs]
front = "{ip}:{base}"
ready = "{ip}:{}"
control = "{ip}:{}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_hold_ms = 1000
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
remote_factor = 3
retry_ms = 1300
[platform]
address = "{store}"
form = "table"
writes_per_s = {writes}
reads_per_s = {reads}
tx_ms = 3.0
partition_writes_s = 300
row_bytes = {row_bytes}
across = true
history_s = 20
"#,
        base + 4,
        base + 9,
        zones.join("\n"),
        base + 1,
        base + 2,
    )
}

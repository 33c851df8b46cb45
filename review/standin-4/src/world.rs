//! A small deployment: the store, workers, and instances of the program as processes.

use std::{
    fs,
    net::{TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::Json,
    record::Record,
    store::Store,
    worker::{Worker, CHANNELS},
};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The host of all queues.
pub const HOST: &str = "nony24.example";

/// `status_s` and the other bounds are those of kp-notebooks; this one is `finish_s`.
pub const FINISH: Duration = Duration::from_secs(14);

pub struct Instance {
    pub name: String,
    pub front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub instances: Vec<Instance>,
    program: String,
    folder: PathBuf,
}

fn free_port(ip: &str) -> u16 {
    loop {
        let Ok(listener) = TcpListener::bind(format!("{ip}:0")) else {
            continue;
        };
        let port = listener.local_addr().map_or(0, |address| address.port());
        if UdpSocket::bind(format!("{ip}:{port}")).is_ok() {
            return port;
        }
    }
}

/// A queue of the configuration: name, prefix, priority, `max_attempts`, `stretch`, `target_duration_ms`.
pub struct Queue(
    pub &'static str,
    pub &'static str,
    pub u32,
    pub u32,
    pub f64,
    pub u32,
);

pub fn configuration(version: u64, queues: &[Queue]) -> String {
    let route = |Queue(name, prefix, priority, attempts, stretch, target): &Queue| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"service\":\"svc\",\"priority\":{priority},\
             \"max_attempts\":{attempts},\"timeout_ms\":4000,\"stretch\":{stretch},\"target_duration_ms\":{target}}}"
        )
    };
    let routes: Vec<String> = queues.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"svc\",\"admission_check\":true,\"max_connections\":64}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

impl World {
    /// Starts the store and the workers, `racks` racks of `per_rack` workers with `cpu` thousandths of a core each, and prepares
    /// `instances` instances.
    pub fn new(
        program: &str,
        folder: &str,
        instances: usize,
        racks: usize,
        per_rack: usize,
        cpu: u64,
    ) -> Self {
        Self::with_channels(program, folder, instances, racks, per_rack, cpu, CHANNELS)
    }

    /// Does the same with another bound of the channels of each worker.
    pub fn with_channels(
        program: &str,
        folder: &str,
        instances: usize,
        racks: usize,
        per_rack: usize,
        cpu: u64,
        channels: usize,
    ) -> Self {
        let record = Arc::new(Record::new());
        let store = Store::new();
        let mut workers = Vec::new();
        for rack in 0..racks {
            for index in 0..per_rack {
                let id = format!("w{rack}{index}4c0a9e1f7d2b");
                let (worker, address) =
                    Worker::start(&id, &format!("r1-{rack}"), cpu, channels, record.clone());
                store.set("servers", &id, &worker.row(&address.to_string()));
                workers.push(worker);
            }
        }
        let folder = PathBuf::from(folder);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut world = Self {
            record,
            store,
            workers,
            instances: Vec::new(),
            program: program.to_owned(),
            folder,
        };
        world.prepare(instances);
        world
    }

    fn prepare(&mut self, count: usize) {
        let ips: Vec<String> = (0..count)
            .map(|index| format!("127.0.4.{}", 11 + index))
            .collect();
        let controls: Vec<u16> = ips.iter().map(|ip| free_port(ip)).collect();
        let seeds: Vec<String> = ips
            .iter()
            .zip(&controls)
            .take(3)
            .map(|(ip, port)| format!("\"{ip}:{port}\""))
            .collect();
        for (index, ip) in ips.iter().enumerate() {
            let name = format!("edge-zone-a-{}", index + 1);
            let (front, ready, peer) = (free_port(ip), free_port(ip), free_port(ip));
            let store = self.store.open(index);
            let text = format!(
                "node = \"{name}\"\nrole = \"instance\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"control_plane\"]\n\
                 ip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"area\"\nport_range = [{peer},{peer}]\nseeds = [{}]\nbootstrap = true\n\
                 discovery = \"platform\"\nentrypoint = \"vip\"\nheartbeat_ms = 1500\ncommand_mode = \"rpc\"\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
                 [zones]\nzone-a = \"area\"\n[listen_addrs]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
                 control = \"{ip}:{}\"\n[limits]\ncpu_share = 1.0\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
                 [bounds]\ngrace_s = 6\nmax_hold_ms = 1000\n[platform]\naddress = \"{store}\"\nform = \"table\"\n\
                 writes_per_s = 600\nreads_per_s = 2000\ntx_ms = 3.0\nrow_bytes = 65536\nhistory_s = 20\n",
                seeds.join(","),
                controls[index]
            );
            let settings = self.folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("settings");
            self.instances.push(Instance {
                name: name.clone(),
                front: format!("{ip}:{front}"),
                ready: format!("{ip}:{ready}"),
                settings,
                log: self.folder.join(format!("{name}.log")),
                process: Mutex::default(),
            });
        }
    }

    pub fn start(&self, index: usize) {
        let instance = &self.instances[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&instance.log)
            .expect("a log");
        // `max_fds` of the settings.
        let child = Command::new("/bin/sh")
            .args([
                "-c",
                "ulimit -n 4100 && exec \"$0\" dispatch",
                &self.program,
            ])
            .env("POPLARKNOT_SETTINGS", &instance.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        *instance.process.lock().unwrap() = Some(child.expect("the program"));
    }

    /// Starts all instances and waits until they are ready; returns whether they are.
    pub fn start_all(&self) -> bool {
        self.start_first(self.instances.len())
    }

    /// Starts the first instances and waits until they are ready; returns whether they are.
    pub fn start_first(&self, count: usize) -> bool {
        (0..count).for_each(|index| self.start(index));
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.instances[..count].iter().all(Instance::is_ready) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, index: usize, signal: i32) {
        let process = self.instances[index].process.lock().unwrap();
        if let Some(child) = &*process {
            self.record
                .note(format!("signal {signal} to {}", self.instances[index].name));
            // SAFETY: the process is a child that hasn't been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills an instance and waits for its end.
    pub fn kill(&self, index: usize) {
        self.signal(index, SIGKILL);
        self.wait(index);
    }

    /// Waits for the end of an instance; returns its exit status as text.
    pub fn wait(&self, index: usize) -> String {
        let child = self.instances[index].process.lock().unwrap().take();
        child.map_or_else(String::new, |mut child| {
            child
                .wait()
                .map_or_else(|e| e.to_string(), |status| status.to_string())
        })
    }

    /// Returns whether the process of an instance has ended by itself.
    pub fn has_ended(&self, index: usize) -> bool {
        let mut process = self.instances[index].process.lock().unwrap();
        process
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Calls the front of an instance; a break or silence is `None`.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
        wait: Duration,
    ) -> Option<(u16, String)> {
        http::call(&self.instances[index].front, method, path, HOST, body, wait).ok()
    }

    /// Returns the state of a job as an instance gives it, or the status.
    pub fn state(&self, index: usize, path: &str) -> String {
        match self.call(index, "GET", path, "", Duration::from_millis(4_000)) {
            Some((200, body)) => {
                Json::parse(&body).map_or(body, |json| json.get("state").text().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

impl Instance {
    pub fn is_ready(&self) -> bool {
        let reply = http::call(
            &self.ready,
            "GET",
            "/api/ready",
            "ready",
            "",
            Duration::from_millis(300),
        );
        reply.is_ok_and(|(status, _)| status == 200)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for instance in &self.instances {
            if let Some(mut child) = instance.process.lock().unwrap().take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
    }
}

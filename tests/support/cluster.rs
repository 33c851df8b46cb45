//! A platform, workers and instances together.

use std::{
    ffi::OsString,
    net::SocketAddr, //
};

use hyper::Method;
use poplarknot::table::wire::Worker as Entry;
use serde_json::{
    json,
    Value, //
};

use super::{
    client::{
        self,
        Client,
        Response, //
    },
    instance::{
        self,
        Instance,
        TOKEN, //
    },
    platform::{
        self,
        Platform, //
    },
    proxy::Proxy,
    wait_until,
    worker::{
        self,
        Worker, //
    },
    Result, //
};

/// Workers to a rack.
const RACK: usize = 8;

/// The service that the harness configures.
pub const SERVICE: &str = "notebook";

/// Returns the configuration that the harness seeds; the one place that knows its form.
pub fn default_records() -> Vec<Value> {
    vec![
        json!({"schema": 1, "kind": "pool", "name": "workers"}),
        json!({
            "schema": 1,
            "kind": "service",
            "name": SERVICE,
            "pool": "workers",
            "deadline": 60,
        }),
    ]
}

/// Submits the configuration through the first instance and waits until all have it.
pub async fn apply_records(instances: &[Instance], records: &[Value]) -> Result {
    for instance in instances {
        instance.wait_ready().await?;
    }
    let token = format!("Bearer {TOKEN}");
    let headers = [("authorization", token.as_str())];
    let Some((first, last)) = instances.first().zip(records.last()) else {
        return Ok(());
    };
    for record in records {
        let answer = client::post(first.callers, "/v1/records", &headers, record).await?;
        if !(200..300).contains(&answer.status) {
            let text = String::from_utf8_lossy(&answer.body);
            return Err(format!("{record} was refused: {} {text}", answer.status).into());
        }
    }
    // Changes apply in order, so the last one stands for all.
    let text = |field: &str| last[field].as_str().unwrap_or_default();
    let path = format!("/v1/records/{}/{}", text("kind"), text("name"));
    for instance in instances {
        wait_until("the configuration is in force", || async {
            let mut client = Client::connect(instance.callers).await.ok()?;
            let answer = client.send(Method::GET, &path, &headers, "").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await?;
    }
    Ok(())
}

/// Builds a [`Cluster`].
#[derive(Debug, Clone)]
pub struct Builder {
    program: OsString,
    centres: Vec<String>,
    instances: usize,
    workers: usize,
    settings: Vec<(String, String, String)>,
    platform: platform::Settings,
    records: Vec<Value>,
    worker: fn(&mut Entry),
    proxied: bool,
}

impl Builder {
    /// Begins a cluster of two instances and four workers in one data centre.
    pub fn new(program: impl Into<OsString>) -> Self {
        Self {
            program: program.into(),
            centres: vec!["ulemiste-a".to_owned()],
            instances: 2,
            workers: 4,
            settings: Vec::new(),
            platform: platform::Settings::default(),
            records: default_records(),
            worker: |_| {},
            proxied: false,
        }
    }

    /// Sets the data centres; instances and workers go to them by turns.
    pub fn centres(mut self, centres: &[&str]) -> Self {
        self.centres = centres.iter().map(|c| (*c).to_owned()).collect();
        self
    }

    /// Sets how many instances there are in all.
    pub fn instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets how many workers there are in all, eight to a rack.
    pub fn workers(mut self, workers: usize) -> Self {
        self.workers = workers;
        self
    }

    /// Changes every worker before it starts.
    pub fn configure_worker(mut self, change: fn(&mut Entry)) -> Self {
        self.worker = change;
        self
    }

    /// Sets a key in the settings of every instance.
    pub fn set(mut self, section: &str, key: &str, value: impl ToString) -> Self {
        let entry = (section.to_owned(), key.to_owned(), value.to_string());
        self.settings.push(entry);
        self
    }

    /// Sets how the platform behaves.
    pub fn platform(mut self, platform: platform::Settings) -> Self {
        self.platform = platform;
        self
    }

    /// Puts a proxy in front of the platform, of each worker and of each instance's peer port.
    pub fn with_proxies(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Sets the configuration in place of the usual one.
    pub fn records(mut self, records: Vec<Value>) -> Self {
        self.records = records;
        self
    }

    /// Starts everything and waits until all instances are ready and configured.
    pub async fn start(self) -> Result<Cluster> {
        let platform = Platform::start(self.platform)?;
        let mut cluster = Cluster {
            proxies: Proxies::start(self.proxied, platform.address())?,
            platform,
            workers: Vec::new(),
            instances: Vec::new(),
        };
        for i in 0..self.workers {
            cluster.add_worker(self.new_worker(i))?;
        }
        for i in 0..self.instances {
            let instance = self.new_instance(i, cluster.platform_address());
            cluster.add_instance(&instance).await?;
        }
        apply_records(&cluster.instances, &self.records).await?;
        Ok(cluster)
    }

    fn centre(&self, i: usize) -> &str {
        &self.centres[i % self.centres.len()]
    }

    fn new_worker(&self, i: usize) -> Entry {
        let centre = self.centre(i);
        let mut entry = worker::new_entry(&format!("worker-{i}"), centre);
        entry.rack = format!("{centre}-{}", i / self.centres.len() / RACK);
        (self.worker)(&mut entry);
        entry
    }

    fn new_instance(&self, i: usize, platform: SocketAddr) -> instance::Builder {
        let name = format!("entry-{i}");
        let mut instance = instance::Builder::new(&self.program, &name, self.centre(i), platform);
        for (section, key, value) in &self.settings {
            instance = instance.set(section, key, value);
        }
        instance
    }
}

/// The proxies of a cluster, none where it has not asked for them.
pub struct Proxies {
    /// The one in front of the platform.
    pub platform: Option<Proxy>,
    /// Those in front of the workers, in their order.
    pub workers: Vec<Proxy>,
    /// Those in front of the instances' peer ports, in their order.
    pub peers: Vec<Proxy>,
}

impl Proxies {
    fn start(proxied: bool, platform: SocketAddr) -> Result<Self> {
        Ok(Self {
            platform: proxied.then(|| Proxy::start(platform)).transpose()?,
            workers: Vec::new(),
            peers: Vec::new(),
        })
    }
}

/// A running cluster; all of it ends when it is dropped.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The proxies.
    pub proxies: Proxies,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The instances.
    pub instances: Vec<Instance>,
}

impl Cluster {
    /// Returns where instances find the platform.
    pub fn platform_address(&self) -> SocketAddr {
        let proxy = self.proxies.platform.as_ref();
        proxy.map_or(self.platform.address(), Proxy::address)
    }

    /// Starts one more worker and puts it on the platform's list.
    pub fn add_worker(&mut self, worker: Entry) -> Result {
        let worker = Worker::start(worker)?;
        let mut entry = worker.entry();
        if self.proxies.platform.is_some() {
            let proxy = Proxy::start(worker.address())?;
            entry.address = proxy.address().to_string();
            self.proxies.workers.push(proxy);
        }
        self.platform.register_endpoint(entry);
        self.workers.push(worker);
        Ok(())
    }

    /// Starts one more instance and puts it on the platform's list.
    pub async fn add_instance(&mut self, instance: &instance::Builder) -> Result {
        let instance = instance.start().await?;
        let mut address = instance.peers;
        if self.proxies.platform.is_some() {
            let proxy = Proxy::start(address)?;
            address = proxy.address();
            self.proxies.peers.push(proxy);
        }
        self.platform.register_instance(instance.member(address)?);
        self.instances.push(instance);
        Ok(())
    }

    /// Starts an instance again under its name, in place of a run that has ended.
    pub async fn restart(&mut self, i: usize) -> Result {
        let builder = self.instances[i].builder.clone();
        self.add_instance(&builder).await?;
        self.instances.swap_remove(i);
        if self.proxies.platform.is_some() {
            self.proxies.peers.swap_remove(i);
        }
        Ok(())
    }

    /// Submits a job at one instance.
    pub async fn submit(&self, instance: usize, job: &Value) -> Result<Response> {
        submit(self.instances[instance].callers, job).await
    }

    /// Counts the starts of each task, by name, over all workers.
    pub fn count_starts(&self) -> std::collections::HashMap<String, usize> {
        worker::count_starts(&self.workers)
    }
}

/// Submits a job.
pub async fn submit(callers: SocketAddr, job: &Value) -> Result<Response> {
    client::post(callers, "/v1/jobs", &[], job).await
}

/// Makes a job of tasks that sleep, named `KEY/0`, `KEY/1` and so on.
pub fn job(key: &str, sleeps: impl IntoIterator<Item = u64>) -> Value {
    let task = |(i, sleep): (usize, u64)| {
        json!({
            "payload": {"sleep_ms": sleep, "id": format!("{key}/{i}")},
            "expected_ms": sleep,
            "need": {"cores": 1},
        })
    };
    let tasks: Vec<Value> = sleeps.into_iter().enumerate().map(task).collect();
    json!({
        "team": "risk",
        "service": SERVICE,
        "key": key,
        "class": "once",
        "deadline_ms": 30_000,
        "tasks": tasks,
    })
}

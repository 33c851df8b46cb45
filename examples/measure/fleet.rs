//! A platform, workers and instances, each in a process of its own.

use std::net::SocketAddr;

use poplarknot::table::wire::{
    List,
    Member,
    Worker as Entry, //
};

use crate::{
    probe::Metrics,
    role::{
        Process,
        Request, //
    },
    support::{
        cluster,
        instance::{
            self,
            Instance, //
        },
        platform,
        proxy::Proxy,
        wait_until,
        worker,
        Result, //
    }, //
};

/// Names of the data centres.
pub(crate) const CENTRES: [&str; 3] = ["ulemiste-a", "ulemiste-b", "maardu"];

/// Builds a [`Fleet`].
#[derive(Clone)]
pub(crate) struct Builder {
    /// Number of instances.
    pub(crate) instances: usize,
    /// Number of workers.
    pub(crate) workers: usize,
    /// Slots of each worker.
    pub(crate) slots: u32,
    /// Number of data centres; instances and workers are spread over them round robin.
    pub(crate) centres: usize,
    /// Number of processes that run the workers.
    pub(crate) processes: usize,
    /// Number of listed endpoints that nothing listens at.
    pub(crate) unreachable: usize,
    /// Whether connections between data centres and to the platform go through proxies.
    pub(crate) network: bool,
    /// Whether connections to each worker go through a proxy.
    pub(crate) proxied: bool,
    /// Settings of every instance: section, key and value.
    pub(crate) settings: Vec<(&'static str, &'static str, String)>,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            instances: 1,
            workers: 16,
            slots: 8,
            centres: 1,
            processes: 2,
            unreachable: 0,
            network: false,
            proxied: false,
            settings: Vec::new(),
        }
    }
}

impl Builder {
    /// Sets a key in the settings of every instance.
    pub(crate) fn set(
        mut self,
        section: &'static str,
        key: &'static str,
        value: impl ToString,
    ) -> Self {
        self.settings.push((section, key, value.to_string()));
        self
    }

    /// Starts everything, and waits until all instances are ready and configured.
    pub(crate) async fn start(self) -> Result<Fleet> {
        let (platform, addresses): (_, Vec<SocketAddr>) = Process::start(&["platform"]).await?;
        let mut fleet = Fleet {
            platform,
            platform_address: addresses[0],
            network: Network::start(self.network, &addresses[1..])?,
            proxies: Vec::new(),
            workers: Vec::new(),
            entries: Vec::new(),
            instances: Vec::new(),
            unreachable: (0..self.unreachable)
                .map(|i| self.unreachable_entry(i))
                .collect(),
            builder: self,
        };
        fleet.start_workers().await?;
        for i in 0..fleet.builder.instances {
            fleet.add_instance(i).await?;
        }
        fleet.publish_list().await?;
        cluster::apply_records(&fleet.instances, &cluster::default_records()).await?;
        fleet.wait_for_discovery().await?;
        Ok(fleet)
    }

    /// Returns the data centre of the worker or instance `i`.
    fn centre(&self, i: usize) -> &'static str {
        CENTRES[i % self.centres]
    }

    /// Returns the list entry of the worker `i`.
    fn worker_entry(&self, name: &str, i: usize) -> Entry {
        let mut entry = worker::new_entry(&format!("{name}-{i}"), self.centre(i));
        entry.slots = self.slots;
        entry.connections = self.slots * 8;
        entry
    }

    /// Returns a list entry at whose address nothing listens, in a pool that no route uses.
    fn unreachable_entry(&self, i: usize) -> Entry {
        let mut entry = self.worker_entry("ghost", i);
        entry.pool = "ghosts".parse().expect("the name of a pool");
        entry.address = "127.0.0.1:9".to_owned();
        entry
    }

    /// Returns the builder of the instance `i`, which reaches the platform at `platform`.
    fn instance_builder(&self, i: usize, platform: SocketAddr) -> instance::Builder {
        let program = std::env::current_exe().unwrap_or_default();
        let name = format!("entry-{i}");
        let builder = instance::Builder::new(program, &name, self.centre(i), platform);
        let builder = builder.argument("instance").set("log", "level", "warn");
        self.settings
            .iter()
            .fold(builder, |b, (section, key, value)| {
                b.set(section, key, value)
            })
    }
}

/// A proxy from a data centre to the peer port of an instance.
struct Link {
    from: usize,
    to: usize,
    proxy: Proxy,
}

/// The network between the data centres: a proxy from each to every instance, and one to the platform.
pub(crate) struct Network {
    platform_proxies: Vec<Proxy>,
    /// For each instance, the links from all data centres.
    links: Vec<Vec<Link>>,
}

impl Network {
    /// Starts the proxies to the platform, one to the view of each data centre, or returns `None` if not enabled.
    fn start(enabled: bool, views: &[SocketAddr]) -> Result<Option<Self>> {
        if !enabled {
            return Ok(None);
        }
        let platform_proxies = views.iter().map(|view| Proxy::start(*view));
        Ok(Some(Self {
            platform_proxies: platform_proxies.collect::<Result<_>>()?,
            links: Vec::new(),
        }))
    }

    /// Starts the proxies from all data centres to an instance in the data centre `to`.
    fn add_instance_links(&mut self, to: usize, peers: SocketAddr) -> Result {
        let link = |from| {
            Ok(Link {
                from,
                to,
                proxy: Proxy::start(peers)?,
            })
        };
        let links = (0..CENTRES.len()).map(link);
        self.links.push(links.collect::<Result<_>>()?);
        Ok(())
    }

    /// Returns the list with the addresses of the proxies from the data centre `from` to the instances.
    fn list_seen_from(&self, from: usize, list: &List) -> List {
        let mut list = list.clone();
        for (member, links) in list.instances.iter_mut().zip(&self.links) {
            member.address = links[from].proxy.address().to_string();
        }
        list
    }

    /// Cuts a data centre off from the others and from the platform, or reconnects it.
    pub(crate) async fn set_centre_cut(&mut self, centre: usize, cut: bool) -> Result {
        let links = self.links.iter_mut().flatten();
        let affected = links.filter(|l| l.from != l.to && (l.from == centre || l.to == centre));
        for link in affected {
            set_cut(&mut link.proxy, cut).await?;
        }
        set_cut(&mut self.platform_proxies[centre], cut).await
    }

    /// Cuts all data centres off from the platform, or reconnects them.
    pub(crate) async fn set_platform_cut(&mut self, cut: bool) -> Result {
        for platform in &mut self.platform_proxies {
            set_cut(platform, cut).await?;
        }
        Ok(())
    }

    /// Returns the bytes sent so far between instances, and to and from the platform.
    pub(crate) fn bytes(&self) -> (f64, f64) {
        let links = self.links.iter().flatten();
        let peers: u64 = links.map(|link| link.proxy.forwarded_bytes()).sum();
        let platform: u64 = self
            .platform_proxies
            .iter()
            .map(Proxy::forwarded_bytes)
            .sum();
        (peers as f64, platform as f64)
    }
}

/// Cuts the connections through a proxy, or lets them pass again.
async fn set_cut(proxy: &mut Proxy, cut: bool) -> Result {
    if cut {
        proxy.close().await;
        return Ok(());
    }
    proxy.reopen()
}

/// Running processes; they are killed on drop.
pub(crate) struct Fleet {
    /// The process of the platform.
    pub(crate) platform: Process,
    /// The address that the platform listens at.
    pub(crate) platform_address: SocketAddr,
    /// The network between the data centres, if enabled.
    pub(crate) network: Option<Network>,
    /// The proxies in front of the workers, in their order, if enabled.
    pub(crate) proxies: Vec<Proxy>,
    /// The processes of the workers.
    pub(crate) workers: Vec<Process>,
    /// The list entries of the workers; worker `i` is run by process `i % processes`.
    pub(crate) entries: Vec<Entry>,
    /// The instances.
    pub(crate) instances: Vec<Instance>,
    /// Listed endpoints that nothing listens at.
    pub(crate) unreachable: Vec<Entry>,
    builder: Builder,
}

impl Fleet {
    /// Starts the processes of the workers, and proxies in front of them if enabled.
    async fn start_workers(&mut self) -> Result {
        let processes = self.builder.processes.min(self.builder.workers);
        let mut entries = vec![None; self.builder.workers];
        for p in 0..processes {
            let indices: Vec<usize> = (p..self.builder.workers).step_by(processes).collect();
            let described = indices
                .iter()
                .map(|i| self.builder.worker_entry("worker", *i));
            let described = serde_json::to_string(&described.collect::<Vec<_>>())?;
            let (process, started): (_, Vec<Entry>) =
                Process::start(&["workers", &described]).await?;
            self.workers.push(process);
            for (index, entry) in indices.into_iter().zip(started) {
                entries[index] = Some(entry);
            }
        }
        self.entries = entries.into_iter().flatten().collect();
        if !self.builder.proxied {
            return Ok(());
        }
        for entry in &mut self.entries {
            let proxy = Proxy::start(entry.address.parse()?)?;
            entry.address = proxy.address().to_string();
            self.proxies.push(proxy);
        }
        Ok(())
    }

    /// Starts the instance `i` and the proxies to it.
    async fn add_instance(&mut self, i: usize) -> Result {
        let centre = i % self.builder.centres;
        let network = self.network.as_ref();
        let platform = network.map_or(self.platform_address, |n| {
            n.platform_proxies[centre].address()
        });
        let instance = self.builder.instance_builder(i, platform).start().await?;
        if let Some(network) = &mut self.network {
            network.add_instance_links(centre, instance.peer_address)?;
        }
        self.instances.push(instance);
        Ok(())
    }

    /// Publishes the list of all instances and endpoints on the platform.
    pub(crate) async fn publish_list(&mut self) -> Result {
        let members = self.instances.iter().map(|i| i.member(i.peer_address));
        let members: Vec<Member> = members.collect::<Result<_>>()?;
        let list = List {
            instances: members,
            endpoints: self
                .entries
                .iter()
                .chain(&self.unreachable)
                .cloned()
                .collect(),
        };
        if let Some(network) = &self.network {
            let views = (0..CENTRES.len()).map(|from| network.list_seen_from(from, &list));
            let views = Request::Views(views.collect());
            self.send_to_platform(&views).await?;
        }
        self.send_to_platform(&Request::List(list)).await.map(drop)
    }

    /// Waits until every instance has all others alive and all endpoints eligible.
    async fn wait_for_discovery(&self) -> Result {
        let endpoints = (self.entries.len() + self.unreachable.len()) as f64;
        let peers = self.instances.len() as f64 - 1.0;
        for instance in self.caller_addresses() {
            wait_until("an instance sees all peers and endpoints", || async {
                let metrics = Metrics::read(&[instance]).await.ok()?;
                let seen = |name, all| metrics.get(name) == all;
                let all = seen("endpoints_eligible", endpoints) && seen("peers_alive", peers);
                all.then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Sends the platform a request, and returns its counters.
    pub(crate) async fn send_to_platform(
        &mut self,
        request: &Request,
    ) -> Result<platform::Counters> {
        self.platform.send(request).await
    }

    /// Sends each process of workers a request about those that `selects` picks by their index in the fleet.
    ///
    /// `request` gets their indices within the process.
    pub(crate) async fn send_to_workers(
        &mut self,
        selects: impl Fn(usize) -> bool,
        request: impl Fn(Vec<usize>) -> Request,
    ) -> Result {
        let processes = self.workers.len();
        for (p, process) in self.workers.iter_mut().enumerate() {
            let indices = (p..self.entries.len()).step_by(processes).enumerate();
            let indices = indices
                .filter(|(_, i)| selects(*i))
                .map(|(index, _)| index)
                .collect();
            let _: worker::Counters = process.send(&request(indices)).await?;
        }
        Ok(())
    }

    /// Returns the sum of the counters of all workers.
    pub(crate) async fn worker_counters(&mut self) -> Result<worker::Counters> {
        let mut sum = worker::Counters::default();
        for process in &mut self.workers {
            let counters: worker::Counters = process.send(&Request::Count).await?;
            sum.starts += counters.starts;
            sum.looks += counters.looks;
            sum.stops += counters.stops;
            sum.ran += counters.ran;
        }
        Ok(sum)
    }

    /// Returns the addresses for callers, one of each instance.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.caller_address).collect()
    }

    /// Stops all processes: the instances drain, the stand-ins see the end of their standard input.
    pub(crate) async fn stop(mut self) -> Result {
        for instance in &self.instances {
            instance.stop()?;
        }
        for instance in &mut self.instances {
            instance.wait_for_exit().await?;
        }
        Ok(())
    }
}

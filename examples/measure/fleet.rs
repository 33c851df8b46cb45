//! A platform, workers and instances, all as processes of their own.

use std::net::SocketAddr;

use poplarknot::table::wire::{
    List,
    Member,
    Worker as Entry, //
};

use crate::{
    probe::Metrics,
    role::{
        Order,
        Process, //
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
    },
};

/// The data centres.
pub(crate) const CENTRES: [&str; 3] = ["ulemiste-a", "ulemiste-b", "maardu"];

/// Builds a [`Fleet`].
#[derive(Clone)]
pub(crate) struct Builder {
    /// Instances in all.
    pub(crate) instances: usize,
    /// Workers in all.
    pub(crate) workers: usize,
    /// Slots of each worker.
    pub(crate) slots: u32,
    /// Data centres that instances and workers go to by turns.
    pub(crate) centres: usize,
    /// Processes that the workers are spread over.
    pub(crate) processes: usize,
    /// Endpoints that are listed and don't exist.
    pub(crate) ghosts: usize,
    /// Whether there is a proxy between any two data centres, and to the platform.
    pub(crate) network: bool,
    /// Whether there is a proxy in front of each worker.
    pub(crate) proxied: bool,
    /// Settings of every instance.
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
            ghosts: 0,
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
            address: addresses[0],
            network: Network::start(self.network, &addresses[1..])?,
            proxies: Vec::new(),
            workers: Vec::new(),
            entries: Vec::new(),
            instances: Vec::new(),
            ghosts: (0..self.ghosts).map(|i| self.ghost(i)).collect(),
            builder: self,
        };
        fleet.start_workers().await?;
        for i in 0..fleet.builder.instances {
            fleet.add_instance(i).await?;
        }
        fleet.enlist().await?;
        cluster::apply_records(&fleet.instances, &cluster::default_records()).await?;
        fleet.settle().await?;
        Ok(fleet)
    }

    fn centre(&self, i: usize) -> &'static str {
        CENTRES[i % self.centres]
    }

    fn worker(&self, name: &str, i: usize) -> Entry {
        let mut entry = worker::new_entry(&format!("{name}-{i}"), self.centre(i));
        entry.slots = self.slots;
        entry.connections = self.slots * 8;
        entry
    }

    /// Describes an endpoint that nothing is started at: it has no slot.
    fn ghost(&self, i: usize) -> Entry {
        let mut entry = self.worker("ghost", i);
        entry.pool = "ghosts".parse().expect("the name of a pool");
        entry.address = "127.0.0.1:9".to_owned();
        entry
    }

    fn instance(&self, i: usize, platform: SocketAddr) -> instance::Builder {
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

/// A way from a data centre to the peer port of an instance.
struct Link {
    from: usize,
    to: usize,
    proxy: Proxy,
}

/// The network between the data centres: a proxy from each to every instance, and one to the platform.
pub(crate) struct Network {
    platforms: Vec<Proxy>,
    /// The links to each instance, one from each data centre.
    links: Vec<Vec<Link>>,
}

impl Network {
    fn start(wanted: bool, views: &[SocketAddr]) -> Result<Option<Self>> {
        if !wanted {
            return Ok(None);
        }
        let platforms = views.iter().map(|view| Proxy::start(*view));
        Ok(Some(Self {
            platforms: platforms.collect::<Result<_>>()?,
            links: Vec::new(),
        }))
    }

    fn link(&mut self, to: usize, peers: SocketAddr) -> Result {
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

    /// Returns the list with the addresses by which a data centre reaches the instances.
    fn view(&self, from: usize, list: &List) -> List {
        let mut list = list.clone();
        for (member, links) in list.instances.iter_mut().zip(&self.links) {
            member.address = links[from].proxy.address().to_string();
        }
        list
    }

    /// Cuts a data centre off from the others and from the platform, or heals that.
    pub(crate) async fn cut(&mut self, centre: usize, cut: bool) -> Result {
        let links = self.links.iter_mut().flatten();
        let across = links.filter(|l| l.from != l.to && (l.from == centre || l.to == centre));
        for link in across {
            switch(&mut link.proxy, cut).await?;
        }
        switch(&mut self.platforms[centre], cut).await
    }

    /// Cuts everybody off from the platform, or heals that.
    pub(crate) async fn cut_platform(&mut self, cut: bool) -> Result {
        for platform in &mut self.platforms {
            switch(platform, cut).await?;
        }
        Ok(())
    }

    /// Returns the bytes between instances, and those to and from the platform.
    pub(crate) fn bytes(&self) -> (f64, f64) {
        let links = self.links.iter().flatten();
        let peers: u64 = links.map(|link| link.proxy.forwarded_bytes()).sum();
        let platform: u64 = self.platforms.iter().map(Proxy::forwarded_bytes).sum();
        (peers as f64, platform as f64)
    }
}

async fn switch(proxy: &mut Proxy, cut: bool) -> Result {
    if cut {
        proxy.close().await;
        return Ok(());
    }
    proxy.reopen()
}

/// Running processes; all of them end when this is dropped.
pub(crate) struct Fleet {
    /// The platform.
    pub(crate) platform: Process,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The network between the data centres, where it was asked for.
    pub(crate) network: Option<Network>,
    /// The proxies in front of the workers, where they were asked for.
    pub(crate) proxies: Vec<Proxy>,
    /// The processes of the workers.
    pub(crate) workers: Vec<Process>,
    /// What the list tells of the workers; worker `i` is run by process `i % processes`.
    pub(crate) entries: Vec<Entry>,
    /// The instances.
    pub(crate) instances: Vec<Instance>,
    /// Endpoints that don't exist.
    pub(crate) ghosts: Vec<Entry>,
    builder: Builder,
}

impl Fleet {
    async fn start_workers(&mut self) -> Result {
        let processes = self.builder.processes.min(self.builder.workers);
        let mut entries = vec![None; self.builder.workers];
        for p in 0..processes {
            let places: Vec<usize> = (p..self.builder.workers).step_by(processes).collect();
            let own = places.iter().map(|i| self.builder.worker("worker", *i));
            let own = serde_json::to_string(&own.collect::<Vec<_>>())?;
            let (process, offer): (_, Vec<Entry>) = Process::start(&["workers", &own]).await?;
            self.workers.push(process);
            for (place, entry) in places.into_iter().zip(offer) {
                entries[place] = Some(entry);
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

    async fn add_instance(&mut self, i: usize) -> Result {
        let centre = i % self.builder.centres;
        let network = self.network.as_ref();
        let platform = network.map_or(self.address, |n| n.platforms[centre].address());
        let instance = self.builder.instance(i, platform).start().await?;
        if let Some(network) = &mut self.network {
            network.link(centre, instance.peers)?;
        }
        self.instances.push(instance);
        Ok(())
    }

    /// Shows everybody on the platform's list.
    pub(crate) async fn enlist(&mut self) -> Result {
        let members = self.instances.iter().map(|i| i.member(i.peers));
        let members: Vec<Member> = members.collect::<Result<_>>()?;
        let list = List {
            instances: members,
            endpoints: self.entries.iter().chain(&self.ghosts).cloned().collect(),
        };
        if let Some(network) = &self.network {
            let views = (0..CENTRES.len()).map(|from| network.view(from, &list));
            let views = Order::Views(views.collect());
            self.platform(&views).await?;
        }
        self.platform(&Order::List(list)).await.map(drop)
    }

    /// Waits until every instance sees all the others and all endpoints.
    async fn settle(&self) -> Result {
        let endpoints = (self.entries.len() + self.ghosts.len()) as f64;
        let peers = self.instances.len() as f64 - 1.0;
        for instance in self.callers() {
            wait_until("an instance sees everybody", || async {
                let metrics = Metrics::read(&[instance]).await.ok()?;
                let seen = |name, all| metrics.get(name) == all;
                let all = seen("endpoints_eligible", endpoints) && seen("peers_alive", peers);
                all.then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Gives the platform an order, and returns its counters.
    pub(crate) async fn platform(&mut self, order: &Order) -> Result<platform::Counters> {
        self.platform.order(order).await
    }

    /// Gives the workers that `chosen` picks an order of their own places.
    pub(crate) async fn workers(
        &mut self,
        chosen: impl Fn(usize) -> bool,
        order: impl Fn(Vec<usize>) -> Order,
    ) -> Result {
        let processes = self.workers.len();
        for (p, process) in self.workers.iter_mut().enumerate() {
            let places = (p..self.entries.len()).step_by(processes).enumerate();
            let places = places
                .filter(|(_, i)| chosen(*i))
                .map(|(place, _)| place)
                .collect();
            let _: worker::Counters = process.order(&order(places)).await?;
        }
        Ok(())
    }

    /// Adds up the messages that the workers have got.
    pub(crate) async fn counters(&mut self) -> Result<worker::Counters> {
        let mut sum = worker::Counters::default();
        for process in &mut self.workers {
            let one: worker::Counters = process.order(&Order::Count).await?;
            sum.starts += one.starts;
            sum.looks += one.looks;
            sum.stops += one.stops;
            sum.ran += one.ran;
        }
        Ok(sum)
    }

    /// Returns where callers connect, instance by instance.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.callers).collect()
    }

    /// Ends everything: the instances drain, the stand-ins end with their input.
    pub(crate) async fn end(mut self) -> Result {
        for instance in &self.instances {
            instance.stop()?;
        }
        for instance in &mut self.instances {
            instance.wait_exit().await?;
        }
        Ok(())
    }
}

//! An instance on the platform: one thread with all sockets round the dispatcher.

pub mod calls;
pub mod feeds;
pub mod front;
pub mod gauges;
pub mod heartbeats;
pub mod hub;
pub mod inbox;
pub mod journal;
pub mod peers;
pub mod rows;

use std::{
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use tokio::{
    net::{
        TcpListener,
        TcpSocket,
        UdpSocket, //
    },
    runtime::Builder,
    signal::unix::{
        signal,
        SignalKind, //
    },
    task::{
        spawn_local,
        LocalSet, //
    },
    time::sleep,
};

use self::{
    calls::Calls,
    heartbeats::Heartbeats,
    hub::{
        now,
        Hub, //
    },
    journal::Journal,
    peers::Peers,
    rows::Rows,
};
use crate::{
    clock::unix_millis,
    dispatch::{
        id::Epoch,
        message::{
            Contact,
            Input,
            Record, //
        },
        Dispatcher,
        Identity, //
    },
    error::Error,
    platform::settings::Site,
    prelude::*,
};

/// Where the metrics are, besides the readiness: a port of its own that the deploy file names.
pub const METRICS: u16 = 9_464;

/// Connections that wait to be accepted: a burst opens some hundreds at once, and one that finds the queue full
/// is tried again only after a second.
const BACKLOG: u32 = 4_096;

/// Between ticks, at which the dispatcher does what is due: a tenth of the shortest patience.
const TICK: Duration = Duration::from_millis(10);

/// How long before it is killed a draining instance ends by itself.
const MARGIN: Span = Span::millis(300);

/// Runs an instance until SIGTERM has drained it.
///
/// # Errors
///
/// Fails where a listener, the runtime or the log can't be opened.
pub fn run(site: Site) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| Error::Thread {
        what: "main",
        source,
    })?;
    LocalSet::new().block_on(&runtime, serve(site))
}

async fn serve(site: Site) -> Result<(), Error> {
    let callers = listen("callers", site.callers)?;
    let ready = listen("readiness", site.ready)?;
    let peers = listen("peers", site.peers)?;
    let metrics = SocketAddr::new(site.ready.ip(), METRICS);
    let contact = Contact {
        name: site.name.clone(),
        address: site.peers.to_string(),
    };
    let identity = Identity {
        contact: contact.clone(),
        centre: site.centre.clone(),
        incarnation: unix_millis(),
        share: site.share,
        epoch: Epoch(unix_millis() / 1_000),
    };
    let heartbeats = UdpSocket::bind(site.peers).await;
    let heartbeats = heartbeats.map_err(|source| Error::Listen {
        what: "heartbeats",
        address: contact.address.clone(),
        source,
    })?;
    let journal = Journal::open(site.name.clone())?;
    let dispatcher = Dispatcher::new(identity.clone(), now());
    let peers_out = Peers::new(identity, site.peers.ip());
    let heartbeats = Heartbeats::new(heartbeats);
    let hub = Hub::new(
        dispatcher,
        journal,
        Calls::new(),
        peers_out,
        heartbeats,
        Rows::new(site.store.clone()),
    );
    let record = Record::new("started").with("centre", site.centre.as_str());
    hub.log(&record.with("peers", contact.address.as_str()));
    spawn_local(front::serve(hub.clone(), callers, site.sockets));
    spawn_local(front::watch(hub.clone(), ready));
    match listen("metrics", metrics) {
        Ok(listener) => {
            spawn_local(front::watch(hub.clone(), listener));
        }
        // Another instance on the same address has the port; the readiness has them too.
        Err(error) => hub.log(&Record::new("metrics_unserved").with("error", error.to_string())),
    }
    spawn_local(peers::serve(hub.clone(), peers));
    spawn_local(heartbeats::serve(hub.clone()));
    let store = site.store.clone();
    spawn_local(feeds::operator(hub.clone(), store.clone()));
    spawn_local(feeds::endpoints(hub.clone(), store.clone()));
    let seeds = seeds(&site);
    spawn_local(feeds::instances(hub.clone(), store, contact, seeds));
    spawn_local(tick(hub.clone()));
    spawn_local(flush(hub.clone()));
    spawn_local(reload(hub.clone()));
    terminate(&hub, site.grace).await
}

/// Names seeds by their addresses, until they say their names.
fn seeds(site: &Site) -> Vec<Contact> {
    let own = site.peers.to_string();
    let others = site.seeds.iter().filter(|seed| **seed != own);
    let contact = |seed: &String| {
        let name = seed.parse::<Instance>().ok()?;
        let address = seed.clone();
        Some(Contact { name, address })
    };
    others.filter_map(contact).collect()
}

fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| Error::Listen {
        what,
        address: address.to_string(),
        source,
    })
}

async fn tick(hub: Rc<Hub>) {
    loop {
        sleep(TICK).await;
        hub.feed(Input::Tick);
    }
}

async fn flush(hub: Rc<Hub>) {
    loop {
        sleep(journal::FLUSH.duration()).await;
        hub.flush();
    }
}

/// Settings name the machine, which doesn't change while the process runs: a reload is only noted.
async fn reload(hub: Rc<Hub>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        hub.log(&Record::new("reloaded"));
    }
}

async fn terminate(hub: &Rc<Hub>, grace: Span) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(|source| Error::Thread {
        what: "signal",
        source,
    })?;
    term.recv().await;
    let begun = now();
    hub.feed(Input::Drain);
    let last = Span(grace.0.saturating_sub(MARGIN.0)).duration();
    tokio::select! {
        () = hub.drained.notified() => {}
        () = sleep(last) => {
            // Callers that were left without an answer would not know whether to come again.
            hub.log(&Record::new("drain_unfinished"));
            hub.feed(Input::Closing);
        }
    }
    hub.log(&Record::new("ended").with("after_ms", now().since(begun)));
    hub.flush();
    // The last answers and lines are on their way to their sockets.
    sleep(Duration::from_millis(50)).await;
    Ok(())
}

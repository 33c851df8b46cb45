//! Runs an instance on the platform: one thread that serves all sockets and drives the dispatcher.

pub mod calls;
pub mod feeds;
pub mod front;
pub mod heartbeats;
pub mod hub;
pub mod inbox;
pub mod job_store;
pub mod journal;
pub mod metrics;
pub mod peers;
mod read_ahead;

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
    time::sleep, //
};

use self::{
    calls::EndpointClient,
    heartbeats::Heartbeats,
    hub::{
        now,
        Hub, //
    },
    job_store::JobStore,
    journal::Journal,
    peers::Peers, //
};
use crate::{
    clock::unix_millis,
    dispatch::{
        id::Epoch,
        message::{
            Contact,
            Input,
            LogRecord, //
        },
        Dispatcher,
        Identity, //
    },
    error::Error,
    platform::settings::Settings,
    prelude::*, //
};

/// The port at which `/metrics` is served besides the readiness address. The deployment's scrape configuration names
/// it.
pub const METRICS_PORT: u16 = 9_464;

/// Length of the listen queue. A burst opens hundreds of connections at once, and a client that finds the queue full
/// retries only after a second.
const BACKLOG: u32 = 4_096;

/// Interval at which the dispatcher checks its timers.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How long before the platform's SIGKILL a draining instance gives up the drain and exits by itself.
const EXIT_MARGIN: Span = Span::millis(300);

/// Runs an instance until it has drained after SIGTERM.
///
/// # Errors
///
/// Returns an error if a listener, the runtime or the log can't be opened.
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| Error::Thread {
        what: "main",
        source,
    })?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let caller_listener = listen("callers", settings.caller_address)?;
    let ready_listener = listen("readiness", settings.readiness_address)?;
    let peer_listener = listen("peers", settings.peer_address)?;
    let metrics_address = SocketAddr::new(settings.readiness_address.ip(), METRICS_PORT);
    let contact = Contact {
        name: settings.name.clone(),
        address: settings
            .advertised_address
            .unwrap_or(settings.peer_address)
            .to_string(),
    };
    let identity = Identity {
        contact: contact.clone(),
        centre: settings.centre.clone(),
        incarnation: unix_millis(),
        share: settings.share,
        epoch: Epoch(unix_millis() / 1_000),
    };
    let heartbeat_socket = UdpSocket::bind(settings.peer_address).await;
    let heartbeat_socket = heartbeat_socket.map_err(|source| Error::Listen {
        what: "heartbeats",
        address: settings.peer_address.to_string(),
        source,
    })?;
    let journal = Journal::open(settings.name.clone())?;
    let dispatcher = Dispatcher::new(identity.clone(), now());
    let peers = Peers::new(identity, settings.peer_address.ip());
    let heartbeats = Heartbeats::new(heartbeat_socket);
    let hub = Hub::new(
        dispatcher,
        journal,
        EndpointClient::new(),
        peers,
        heartbeats,
        JobStore::new(settings.store_address.clone()),
    );
    let record = LogRecord::new("started").with("centre", settings.centre.as_str());
    hub.log(&record.with("peers", contact.address.as_str()));
    spawn_local(front::serve(
        hub.clone(),
        caller_listener,
        settings.max_sockets,
    ));
    spawn_local(front::serve_health(hub.clone(), ready_listener));
    match listen("metrics", metrics_address) {
        Ok(listener) => {
            spawn_local(front::serve_health(hub.clone(), listener));
        }
        // Another instance on the same IP address holds the port. The readiness address serves the metrics too.
        Err(error) => hub.log(&LogRecord::new("metrics_unserved").with("error", error.to_string())),
    }
    spawn_local(peers::serve(hub.clone(), peer_listener));
    spawn_local(heartbeats::serve(hub.clone()));
    let store = settings.store_address.clone();
    spawn_local(feeds::follow_operator_table(hub.clone(), store.clone()));
    spawn_local(feeds::follow_endpoints(hub.clone(), store.clone()));
    let seeds = seed_contacts(&settings);
    spawn_local(feeds::register_and_find_peers(
        hub.clone(),
        store,
        contact,
        seeds,
    ));
    spawn_local(tick_periodically(hub.clone()));
    spawn_local(flush_periodically(hub.clone()));
    spawn_local(log_reloads(hub.clone()));
    drain_on_sigterm(&hub, settings.grace).await
}

/// Returns the other instances among the seeds. The address of a seed stands for its name until it sends the name.
fn seed_contacts(settings: &Settings) -> Vec<Contact> {
    let own = settings.peer_address.to_string();
    let others = settings.seeds.iter().filter(|seed| **seed != own);
    let contact = |seed: &String| {
        let name = seed.parse::<Instance>().ok()?;
        let address = seed.clone();
        Some(Contact { name, address })
    };
    others.filter_map(contact).collect()
}

fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|source| Error::Listen {
        what,
        address: address.to_string(),
        source,
    })
}

async fn tick_periodically(hub: Rc<Hub>) {
    loop {
        sleep(TICK_INTERVAL).await;
        hub.handle(Input::Tick);
    }
}

async fn flush_periodically(hub: Rc<Hub>) {
    loop {
        sleep(journal::FLUSH_INTERVAL.duration()).await;
        hub.flush_log();
    }
}

/// Logs each SIGHUP. Nothing is read again: the settings describe the machine, which stays the same while the process
/// runs.
async fn log_reloads(hub: Rc<Hub>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    while hangup.recv().await.is_some() {
        hub.log(&LogRecord::new("reloaded"));
    }
}

/// Waits for SIGTERM, drains the instance, and returns once it has drained or its time for that has passed.
async fn drain_on_sigterm(hub: &Rc<Hub>, grace: Span) -> Result<(), Error> {
    let mut term = signal(SignalKind::terminate()).map_err(|source| Error::Thread {
        what: "signal",
        source,
    })?;
    term.recv().await;
    let draining_since = now();
    hub.handle(Input::Drain);
    let time_limit = Span(grace.0.saturating_sub(EXIT_MARGIN.0)).duration();
    tokio::select! {
        () = hub.drained.notified() => {}
        () = sleep(time_limit) => {
            // Answers the callers that still wait: without an answer they couldn't tell whether a retry is safe.
            hub.log(&LogRecord::new("drain_unfinished"));
            hub.handle(Input::Closing);
        }
    }
    hub.log(&LogRecord::new("ended").with("after_ms", now().since(draining_since)));
    hub.flush_log();
    // Leaves time for the last responses and log lines to be written.
    sleep(Duration::from_millis(50)).await;
    Ok(())
}

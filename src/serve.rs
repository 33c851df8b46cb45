//! Runs an instance: opens its listeners, starts a thread for each duty and waits for its end.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle, //
};

use rand::Rng as _;
use tokio::{
    net::TcpListener,
    runtime::{
        Builder,
        Runtime, //
    },
    signal::unix::{
        signal,
        Signal,
        SignalKind, //
    },
    sync::{
        oneshot,
        watch, //
    },
    task::LocalSet,
    time::timeout,
};

use crate::{
    caller,
    clock::Clock,
    core::{
        message::Input,
        Core,
        Identity, //
    },
    decision, endpoint,
    error::Error,
    event::{
        Code,
        Event, //
    },
    metrics::Metrics,
    peer,
    prelude::*,
    ring,
    settings::Settings,
    table,
};

/// Places in the ring from the main thread.
const CONTROL: usize = 8;

/// Ends the process when its thread panics: half an instance would hold its callers for good.
struct Guard;

impl Drop for Guard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::abort();
        }
    }
}

/// Runs an instance until it has drained.
///
/// # Errors
///
/// Fails where the instance can't listen at its addresses or start its threads.
pub fn run(settings: Settings) -> Result<(), Error> {
    let settings = Arc::new(settings);
    let main = runtime("main")?;
    let callers = listen("callers", settings.caller_address)?;
    let peers = listen("peers", settings.peer_address)?;
    let mut random = rand::rng();
    let identity = Identity {
        name: settings.name.clone(),
        centre: settings.centre.clone(),
        incarnation: Incarnation::random(&mut random),
        reach: settings.data_centres.clone(),
    };
    let begun = format!(
        "{} in {}, incarnation {}",
        identity.name, identity.centre, identity.incarnation
    );
    Event::new(Code::Started, begun).log();
    println!(
        "listening callers={} peers={}",
        address(&callers),
        address(&peers)
    );
    let core = Core::new(
        identity,
        settings.limits.clone(),
        settings.timing.clone(),
        random.random(),
    );
    let (control, drained, end, threads) = start(&settings, core, callers, peers)?;
    main.block_on(wait(&settings, &control, drained))?;
    end.send(true).ok();
    for thread in threads {
        // A thread that panicked has ended the process already.
        thread.join().ok();
    }
    Event::new(Code::Ended, "").log();
    Ok(())
}

type Started = (
    ring::Sender<Input>,
    oneshot::Receiver<()>,
    watch::Sender<bool>,
    Vec<JoinHandle<()>>,
);

/// Joins the duties by rings and starts a thread for each.
fn start(
    settings: &Arc<Settings>,
    core: Core,
    callers: std::net::TcpListener,
    peers: std::net::TcpListener,
) -> Result<Started, Error> {
    let places = settings.limits.ring_capacity;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::new());
    let status = Arc::new(decision::Status::default());
    let (end, ended) = watch::channel(false);
    let (drained, has_drained) = oneshot::channel();
    let (control, from_control) = ring::channel(CONTROL);
    let (caller_in, from_callers) = ring::channel(places);
    let (endpoint_in, from_endpoints) = ring::channel(places);
    let (platform_in, from_platform) = ring::channel(places);
    let (peer_in, from_peers) = ring::channel(places);
    let (to_callers, caller_out) = ring::channel(places);
    let (to_endpoints, endpoint_out) = ring::channel(places);
    let (to_platform, platform_out) = ring::channel(places);
    let (to_peers, peer_out) = ring::channel(places);
    let inlets = decision::Inlets {
        callers: from_callers,
        endpoints: from_endpoints,
        platform: from_platform,
        peers: from_peers,
        control: from_control,
    };
    let outlets = decision::Outlets {
        callers: to_callers,
        endpoints: to_endpoints,
        platform: to_platform,
        peers: to_peers,
    };
    let context = caller::Context {
        settings: settings.clone(),
        metrics: metrics.clone(),
        status: status.clone(),
        ended: ended.clone(),
    };
    let (s, m) = (settings.clone(), metrics.clone());
    let (s2, m2) = (settings.clone(), metrics.clone());
    let (s3, m3) = (settings.clone(), metrics.clone());
    let (e, e2) = (ended.clone(), ended.clone());
    let threads = vec![
        // These two end by themselves after the decisions, when the last answers have left.
        thread("callers", move || async move {
            if let Some(callers) = adopt(callers) {
                caller::serve(context, callers, caller_out, caller_in).await;
            }
        })?,
        thread("peers", move || async move {
            if let Some(peers) = adopt(peers) {
                peer::serve(s3, m3, peers, peer_out, peer_in).await;
            }
        })?,
        thread("endpoints", move || {
            until(e, endpoint::serve(s, clock, m, endpoint_out, endpoint_in))
        })?,
        thread("platform", move || {
            until(e2, table::serve(s2, m2, platform_out, platform_in))
        })?,
        thread("decisions", move || {
            let duty = decision::serve(core, clock, inlets, outlets, status, metrics, drained);
            until(ended, duty)
        })?,
    ];
    Ok((control, has_drained, end, threads))
}

/// Waits for the signal to end, and for the drain that follows it.
async fn wait(
    settings: &Settings,
    control: &ring::Sender<Input>,
    mut drained: oneshot::Receiver<()>,
) -> Result<(), Error> {
    let mut term = on(SignalKind::terminate())?;
    let mut int = on(SignalKind::interrupt())?;
    either(&mut term, &mut int).await;
    control.send(Input::Drain).await;
    let bound = settings.timing.drain_timeout.duration();
    let early = tokio::select! {
        _ = &mut drained => return Ok(()),
        () = either(&mut term, &mut int) => "by a second signal",
        () = tokio::time::sleep(bound) => "by its bound",
    };
    Event::new(Code::Interrupted, early).log();
    control.send(Input::Interrupt).await;
    // The answers to what is left take no more than the flush of their outcomes.
    let flush = settings.timing.platform_timeout.times(2).duration();
    timeout(flush, drained).await.ok();
    Ok(())
}

fn on(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|source| Error::Thread {
        what: "signal",
        source,
    })
}

async fn either(term: &mut Signal, int: &mut Signal) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn listen(what: &'static str, address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    listen().map_err(|source| Error::Listen {
        what,
        address: address.to_string(),
        source,
    })
}

fn address(listener: &std::net::TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|error| error.to_string(), |address| address.to_string())
}

fn runtime(what: &'static str) -> Result<Runtime, Error> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread { what, source })
}

/// Starts the thread of one duty, with a runtime of its own.
fn thread<F>(
    what: &'static str,
    duty: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, Error>
where
    F: Future<Output = ()>,
{
    let runtime = runtime(what)?;
    let body = move || {
        let _guard = Guard;
        let local = LocalSet::new();
        local.block_on(&runtime, duty());
    };
    let builder = std::thread::Builder::new().name(what.to_owned());
    builder
        .spawn(body)
        .map_err(|source| Error::Thread { what, source })
}

/// Does a duty until the instance ends.
async fn until(mut ended: watch::Receiver<bool>, duty: impl Future<Output = ()>) {
    tokio::select! {
        () = duty => {}
        _ = ended.wait_for(|ended| *ended) => {}
    }
}

/// Makes a listener of this thread's runtime.
fn adopt(listener: std::net::TcpListener) -> Option<TcpListener> {
    TcpListener::from_std(listener).ok()
}

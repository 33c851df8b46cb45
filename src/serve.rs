//! Runs an instance: opens its listeners, starts its threads and waits until it has drained.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    thread::JoinHandle, //
};

use rand::Rng as _;
use socket2::{
    Domain,
    Socket,
    Type, //
};
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
    time::timeout, //
};

use crate::{
    caller,
    clock::Clock,
    core::{
        message::Input,
        Core,
        Identity, //
    },
    decision,
    endpoint,
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
    table, //
};

/// The fewest connections that a listener has room for until they are accepted.
const MIN_BACKLOG: usize = 1_024;

/// Capacity of the ring from the main thread, in messages.
const CONTROL_RING_CAPACITY: usize = 8;

/// Aborts the process when its thread panics: callers would wait forever for an instance that lacks a thread.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
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
/// Fails if the instance can't listen on its addresses or start its threads.
pub fn run(settings: Settings) -> Result<(), Error> {
    let settings = Arc::new(settings);
    let main = build_runtime("main")?;
    let callers = listen(
        "callers",
        settings.caller_address,
        settings.limits.connections,
    )?;
    let peers = listen("peers", settings.peer_address, peer::MAX_CONNECTIONS)?;
    let mut random = rand::rng();
    let identity = Identity {
        name: settings.name.clone(),
        centre: settings.centre.clone(),
        incarnation: Incarnation::random(&mut random),
        endpoint_centres: settings.data_centres.clone(),
    };
    let started = format!(
        "{} in {}, incarnation {}",
        identity.name, identity.centre, identity.incarnation
    );
    Event::new(Code::Started, started).log();
    println!(
        "listening callers={} peers={}",
        format_address(&callers),
        format_address(&peers)
    );
    let core = Core::new(
        identity,
        settings.limits.clone(),
        settings.timing.clone(),
        random.random(),
    );
    let (control, drained, shutdown, threads) = start_threads(&settings, core, callers, peers)?;
    main.block_on(wait_for_drain(&settings, &control, drained))?;
    shutdown.send(true).ok();
    for thread in threads {
        // A thread that panicked has aborted the process already.
        thread.join().ok();
    }
    Event::new(Code::Ended, "").log();
    Ok(())
}

/// The ring from the main thread, the signal that the instance has drained, the signal that ends the threads, and
/// the threads.
type Handles = (
    ring::Sender<Input>,
    oneshot::Receiver<()>,
    watch::Sender<bool>,
    Vec<JoinHandle<()>>,
);

/// Creates the rings between the threads and starts the threads.
fn start_threads(
    settings: &Arc<Settings>,
    core: Core,
    callers: std::net::TcpListener,
    peers: std::net::TcpListener,
) -> Result<Handles, Error> {
    let capacity = settings.limits.ring_capacity;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::new());
    let status = Arc::new(decision::Status::default());
    let (shutdown, shutting_down) = watch::channel(false);
    let (drained, has_drained) = oneshot::channel();
    let (control, from_control) = ring::channel(CONTROL_RING_CAPACITY);
    let (caller_inputs, from_callers) = ring::channel(capacity);
    let (endpoint_inputs, from_endpoints) = ring::channel(capacity);
    let (platform_inputs, from_platform) = ring::channel(capacity);
    let (peer_inputs, from_peers) = ring::channel(capacity);
    let (to_callers, caller_outputs) = ring::channel(capacity);
    let (to_endpoints, endpoint_outputs) = ring::channel(capacity);
    let (to_platform, platform_outputs) = ring::channel(capacity);
    let (to_peers, peer_outputs) = ring::channel(capacity);
    let receivers = decision::Receivers {
        callers: from_callers,
        endpoints: from_endpoints,
        platform: from_platform,
        peers: from_peers,
        control: from_control,
    };
    let senders = decision::Senders {
        callers: to_callers,
        endpoints: to_endpoints,
        platform: to_platform,
        peers: to_peers,
    };
    let context = caller::Context {
        settings: settings.clone(),
        metrics: metrics.clone(),
        status: status.clone(),
        shutdown: shutting_down.clone(),
    };
    let (endpoint_settings, endpoint_metrics) = (settings.clone(), metrics.clone());
    let (platform_settings, platform_metrics) = (settings.clone(), metrics.clone());
    let (peer_settings, peer_metrics) = (settings.clone(), metrics.clone());
    let (endpoint_shutdown, platform_shutdown) = (shutting_down.clone(), shutting_down.clone());
    let threads = vec![
        // These two end by themselves after the decisions thread, once the last answers are sent.
        spawn_thread("callers", move || async move {
            if let Some(callers) = into_tokio(callers) {
                caller::serve(context, callers, caller_outputs, caller_inputs).await;
            }
        })?,
        spawn_thread("peers", move || async move {
            if let Some(peers) = into_tokio(peers) {
                peer::serve(
                    peer_settings,
                    peer_metrics,
                    peers,
                    peer_outputs,
                    peer_inputs,
                )
                .await;
            }
        })?,
        spawn_thread("endpoints", move || {
            run_until(
                endpoint_shutdown,
                endpoint::serve(
                    endpoint_settings,
                    clock,
                    endpoint_metrics,
                    endpoint_outputs,
                    endpoint_inputs,
                ),
            )
        })?,
        spawn_thread("platform", move || {
            run_until(
                platform_shutdown,
                table::serve(
                    platform_settings,
                    platform_metrics,
                    platform_outputs,
                    platform_inputs,
                ),
            )
        })?,
        spawn_thread("decisions", move || {
            let task = decision::serve(core, clock, receivers, senders, status, metrics, drained);
            run_until(shutting_down, task)
        })?,
    ];
    Ok((control, has_drained, shutdown, threads))
}

/// Waits for a signal, then drains the instance. A second signal or the drain timeout interrupts the drain.
async fn wait_for_drain(
    settings: &Settings,
    control: &ring::Sender<Input>,
    mut drained: oneshot::Receiver<()>,
) -> Result<(), Error> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    control.send(Input::Drain).await;
    let limit = settings.timing.drain_timeout.duration();
    let cause = tokio::select! {
        _ = &mut drained => return Ok(()),
        () = wait_for_signal(&mut terminate, &mut interrupt) => "by a second signal",
        () = tokio::time::sleep(limit) => "by the drain timeout",
    };
    Event::new(Code::Interrupted, cause).log();
    control.send(Input::Interrupt).await;
    // The outcomes of the remaining jobs are stored before they are answered.
    let flush = settings.timing.platform_timeout.times(2).duration();
    timeout(flush, drained).await.ok();
    Ok(())
}

fn signal_stream(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|source| Error::Thread {
        what: "signal",
        source,
    })
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Opens a listener with room for `connections` that aren't accepted yet.
///
/// With the standard library's 128, a burst of callers overflows the queue. The system then drops their packets, and they try again
/// after one, three and seven seconds.
fn listen(
    what: &'static str,
    address: SocketAddr,
    connections: usize,
) -> Result<std::net::TcpListener, Error> {
    let listen = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        let backlog = connections.max(MIN_BACKLOG);
        socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
        Ok(socket.into())
    };
    listen().map_err(|source| Error::Listen {
        what,
        address: address.to_string(),
        source,
    })
}

fn format_address(listener: &std::net::TcpListener) -> String {
    listener
        .local_addr()
        .map_or_else(|error| error.to_string(), |address| address.to_string())
}

fn build_runtime(what: &'static str) -> Result<Runtime, Error> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread { what, source })
}

/// Starts a thread that runs a future on a runtime of its own.
fn spawn_thread<F>(
    what: &'static str,
    task: impl FnOnce() -> F + Send + 'static,
) -> Result<JoinHandle<()>, Error>
where
    F: Future<Output = ()>,
{
    let runtime = build_runtime(what)?;
    let body = move || {
        let _guard = AbortOnPanic;
        let local = LocalSet::new();
        local.block_on(&runtime, task());
    };
    let builder = std::thread::Builder::new().name(what.to_owned());
    builder
        .spawn(body)
        .map_err(|source| Error::Thread { what, source })
}

/// Runs a task until it ends or the instance shuts down.
async fn run_until(mut shutdown: watch::Receiver<bool>, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        _ = shutdown.wait_for(|shutdown| *shutdown) => {}
    }
}

/// Registers a listener with this thread's runtime.
fn into_tokio(listener: std::net::TcpListener) -> Option<TcpListener> {
    TcpListener::from_std(listener).ok()
}

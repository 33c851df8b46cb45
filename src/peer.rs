//! The peers thread: calls the other instances and serves their calls, over capnp-rpc.
//!
//! Capabilities of capnp-rpc aren't `Send`, so all tasks of this module run in one local task set.
//!
//! The schema uses names of its own: its `Beat` is a [`Heartbeat`], its `Sighting` an [`Observation`], and its `stranger`
//! is [`Return::StaleIncarnation`].

mod connection;

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use capnp::capability::Promise;
use capnp_rpc::{
    pry,
    rpc_twoparty_capnp::Side,
    RpcSystem, //
};
use futures::{
    future::join_all,
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    }, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::oneshot,
    task::spawn_local,
    time::sleep, //
};

use tokio_util::sync::CancellationToken;

use crate::{
    core::message::{
        Call,
        Forward,
        Heartbeat,
        IncomingCall,
        Input,
        Observation,
        Output,
        Return, //
    },
    event::{
        Code,
        Event, //
    },
    http::CONNECT_TIMEOUT,
    metrics::{
        Message,
        Metrics, //
    },
    peer_capnp::{
        beat,
        peer,
        sighting, //
    },
    prelude::*,
    ring,
    rpc::{
        build_network,
        build_network_over, //
    },
    settings::Settings,
    timeout::{
        within,
        Expired, //
    }, //
};

/// The most connections that are served at once. Each peer opens one; connections beyond the limit are closed.
pub const MAX_CONNECTIONS: usize = 2_048;

/// The most calls of peers that wait for a result at once. Calls beyond the limit are refused.
const MAX_PENDING_CALLS: usize = 16_384;

/// The most times that a submission is sent to a peer, each over another connection.
const MAX_SENDS: u32 = 5;

/// The delay before a submission is sent again; it doubles each time.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// The state that all tasks of this thread share.
struct Shared {
    metrics: Arc<Metrics>,
    inputs: ring::Sender<Input>,
    /// The last number given to an incoming call or a link.
    last_serial: Cell<u64>,
    /// Calls of peers that wait for their result.
    pending_calls: RefCell<HashMap<IncomingCall, oneshot::Sender<Return>>>,
    /// Connections to peers.
    links: RefCell<HashMap<Instance, Link>>,
    /// Connections from peers.
    connections: RefCell<HashMap<u64, connection::Handle>>,
}

/// A connection to a peer.
#[derive(Clone)]
struct Link {
    serial: u64,
    address: String,
    client: peer::Client,
    /// Cancelled when the connection isn't used for new calls any more.
    replaced: CancellationToken,
}

/// Serves the calls of peers and calls peers on behalf of the core, until the decisions thread ends.
pub async fn serve(
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    listener: TcpListener,
    mut commands: ring::Receiver<Output>,
    inputs: ring::Sender<Input>,
) {
    let shared = Rc::new(Shared {
        metrics,
        inputs,
        last_serial: Cell::new(0),
        pending_calls: RefCell::default(),
        links: RefCell::default(),
        connections: RefCell::default(),
    });
    let acceptor = spawn_local(accept_connections(shared.clone(), listener));
    while let Some(command) = commands.recv().await {
        match command {
            Output::Call {
                to,
                address,
                id,
                call,
                wait,
            } => {
                let shared = shared.clone();
                spawn_local(async move {
                    let wait = wait.duration();
                    let result = match call {
                        Call::Submit(forward) => shared.submit(&to, &address, forward, wait).await,
                        call => shared.call(&to, &address, call, wait).await,
                    };
                    shared.inputs.send(Input::Returned(id, result)).await;
                });
            }
            Output::Return(caller, result) => {
                // Sending fails if the peer has cancelled its call.
                if let Some(call) = shared.pending_calls.borrow_mut().remove(&caller) {
                    call.send(result).ok();
                }
            }
            _ => {}
        }
    }
    acceptor.abort();
    shared
        .finish_connections(settings.timing.receive_timeout.duration())
        .await;
}

/// Accepts connections from peers and serves each in a task of its own.
async fn accept_connections(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        if shared.connections.borrow().len() >= MAX_CONNECTIONS {
            continue;
        }
        stream.set_nodelay(true).ok();
        let Ok((stream, handle)) = connection::Stream::new(stream) else {
            continue;
        };
        let serial = shared.next_serial();
        shared.connections.borrow_mut().insert(serial, handle);
        let shared = shared.clone();
        spawn_local(async move {
            let server = PeerServer {
                shared: shared.clone(),
            };
            let client: peer::Client = capnp_rpc::new_client(server);
            let network = build_network_over(stream, Side::Server);
            RpcSystem::new(network, Some(client.client)).await.ok();
            shared.connections.borrow_mut().remove(&serial);
        });
    }
}

impl Shared {
    /// Ends the connections from peers once the last results are sent; waits at most `wait`.
    ///
    /// A result that is lost makes the peer answer its caller that the job's owner is gone.
    async fn finish_connections(&self, wait: Duration) {
        let connections = std::mem::take(&mut *self.connections.borrow_mut());
        let finished = connections.into_values().map(connection::Handle::finish);
        within(wait, join_all(finished)).await.ok();
    }

    /// Returns a number that wasn't returned before.
    fn next_serial(&self) -> u64 {
        self.last_serial.set(self.last_serial.get() + 1);
        self.last_serial.get()
    }

    /// Calls a peer and waits at most `wait` for the result.
    ///
    /// A call that wasn't sent is [`Return::Refused`]; one that may have been executed is [`Return::Lost`].
    async fn call(&self, to: &Instance, address: &str, call: Call, wait: Duration) -> Return {
        let kind = call.kind();
        let Some(link) = self.connect(to, address).await else {
            log_failure(to, kind, "can't connect");
            return Return::Refused;
        };
        self.metrics.count_message(Message::PeerCall);
        let result = within(wait, link.call(call)).await;
        match result
            .map_err(CallError::from)
            .and_then(|result| Ok(result?))
        {
            Ok(result) => result,
            Err(error) if error.is_overload() => Return::Withheld,
            Err(error) => {
                // Of the calls that fail with a connection, the first is logged.
                if self.replace(to, &link) {
                    log_failure(to, kind, &error.to_string());
                }
                Return::Lost
            }
        }
    }

    /// Forwards a submission to a peer and waits at most `wait` for the answer, over several connections if need be.
    ///
    /// A connection may fall silent or close while the peer runs the job. The submission is then sent again over the next one, and
    /// joins the job of its key. The earlier calls stay open, since a connection may also be slow only.
    async fn submit(
        &self,
        to: &Instance,
        address: &str,
        forward: Forward,
        wait: Duration,
    ) -> Return {
        let sent = within(wait, self.submit_until_answered(to, address, forward)).await;
        sent.unwrap_or_else(|expired| {
            log_failure(to, "submission", &expired.to_string());
            Return::Lost
        })
    }

    async fn submit_until_answered(
        &self,
        to: &Instance,
        address: &str,
        forward: Forward,
    ) -> Return {
        let mut calls = FuturesUnordered::new();
        for send in 0..MAX_SENDS {
            if send > 0 {
                tokio::select! {
                    Some(answer) = self.next_answer(to, &mut calls) => return answer,
                    () = sleep(RESEND_DELAY * (1 << (send - 1))) => {}
                }
            }
            let Some(link) = self.connect(to, address).await else {
                log_failure(to, "submission", "can't connect");
                if send == 0 {
                    return Return::Refused;
                }
                if calls.is_empty() {
                    return Return::Lost;
                }
                continue;
            };
            self.metrics.count_message(Message::PeerCall);
            let (replaced, forward) = (link.replaced.clone(), forward.clone());
            calls.push(async move { (link.submit(forward).await, link) });
            tokio::select! {
                answer = self.next_answer(to, &mut calls) => if let Some(answer) = answer {
                    return answer;
                },
                () = replaced.cancelled() => {}
            }
        }
        let answer = self.next_answer(to, &mut calls).await;
        answer.unwrap_or(Return::Lost)
    }

    /// Returns the first answer to one of several calls of the same submission, or `None` once all have failed.
    async fn next_answer<F>(&self, to: &Instance, calls: &mut FuturesUnordered<F>) -> Option<Return>
    where
        F: Future<Output = (Result<Return, capnp::Error>, Link)>,
    {
        while let Some((result, link)) = calls.next().await {
            match result {
                Ok(result) => return Some(result),
                Err(error) => {
                    log_failure(to, "submission", &error.to_string());
                    if error.kind == capnp::ErrorKind::Disconnected {
                        self.replace(to, &link);
                    }
                }
            }
        }
        None
    }

    /// Has new calls use another connection than one that has failed. Returns `false` if it has been replaced already.
    fn replace(&self, to: &Instance, link: &Link) -> bool {
        link.replaced.cancel();
        let mut links = self.links.borrow_mut();
        let current = links.get(to).map(|current| current.serial);
        let is_current = current == Some(link.serial);
        if is_current {
            links.remove(to);
        }
        is_current
    }

    /// Returns the connection to a peer at an address, if there is one.
    fn find_link(&self, to: &Instance, address: &str) -> Option<Link> {
        let links = self.links.borrow();
        links
            .get(to)
            .filter(|link| link.address == address)
            .cloned()
    }

    /// Returns the connection to a peer, and opens it if there is none to this address.
    async fn connect(&self, to: &Instance, address: &str) -> Option<Link> {
        if let Some(link) = self.find_link(to, address) {
            return Some(link);
        }
        let stream = within(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        // Another call may have opened one meanwhile. All calls to a peer share a connection, or heartbeats wouldn't show that one of
        // several has fallen silent.
        if let Some(link) = self.find_link(to, address) {
            return Some(link);
        }
        let mut system = RpcSystem::new(build_network(stream, Side::Client), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        let link = Link {
            serial: self.next_serial(),
            address: address.to_owned(),
            client,
            replaced: CancellationToken::new(),
        };
        self.links.borrow_mut().insert(to.clone(), link.clone());
        Some(link)
    }

    /// Passes a peer's call to the core and returns its result.
    ///
    /// # Errors
    ///
    /// Fails with [`capnp::ErrorKind::Overloaded`] if too many calls are pending or the ring is full.
    async fn submit_to_core(&self, call: Call) -> Result<Return, capnp::Error> {
        let returned = self.start_in_core(call)?;
        returned.await.map_err(to_capnp_error)
    }

    fn start_in_core(&self, call: Call) -> Result<oneshot::Receiver<Return>, capnp::Error> {
        let (sender, receiver) = oneshot::channel();
        let caller = IncomingCall(self.next_serial());
        let mut pending_calls = self.pending_calls.borrow_mut();
        pending_calls.retain(|_, call| !call.is_closed());
        if pending_calls.len() >= MAX_PENDING_CALLS {
            return Err(capnp::Error::overloaded("too many calls".to_owned()));
        }
        if self.inputs.try_send(Input::Called(caller, call)).is_err() {
            return Err(capnp::Error::overloaded("a ring is full".to_owned()));
        }
        pending_calls.insert(caller, sender);
        Ok(receiver)
    }
}

/// The error of a call that was sent.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(transparent)]
    Expired(#[from] Expired),
    #[error(transparent)]
    Rpc(#[from] capnp::Error),
}

impl CallError {
    /// Returns whether the peer answered that it has no room for the call.
    fn is_overload(&self) -> bool {
        matches!(self, Self::Rpc(error) if error.kind == capnp::ErrorKind::Overloaded)
    }
}

fn log_failure(to: &Instance, kind: &str, error: &str) {
    Event::new(Code::CallFailed, format!("{kind} to {to}: {error}")).log();
}

impl Link {
    async fn call(&self, call: Call) -> Result<Return, capnp::Error> {
        match call {
            Call::Submit(forward) => self.submit(forward).await,
            Call::Heartbeat(own) => {
                let mut request = self.client.beat_request();
                write_heartbeat(&own, request.get().init_beat());
                let response = request.send().promise.await?;
                Ok(Return::Heartbeat(read_heartbeat(
                    response.get()?.get_beat()?,
                )?))
            }
            Call::Config(call) => {
                let mut request = self.client.config_request();
                let json = serde_json::to_vec(&call).map_err(to_capnp_error)?;
                request.get().set_call(&json);
                let response = request.send().promise.await?;
                let reply = response.get()?.get_reply()?;
                Ok(Return::Config(
                    serde_json::from_slice(reply).map_err(to_capnp_error)?,
                ))
            }
        }
    }

    async fn submit(&self, forward: Forward) -> Result<Return, capnp::Error> {
        let mut request = self.client.submit_request();
        let mut builder = request.get().init_forward();
        builder.set_owner(&forward.owner.0.to_be_bytes());
        builder.set_digest(&forward.digest.0);
        builder.set_left(forward.left.0);
        let json = serde_json::to_vec(&forward.submission).map_err(to_capnp_error)?;
        builder.set_submission(&json);
        let response = request.send().promise.await?;
        let response = response.get()?;
        if response.get_stranger() {
            return Ok(Return::StaleIncarnation);
        }
        let answer = serde_json::from_slice(response.get_answer()?).map_err(to_capnp_error)?;
        Ok(Return::Answer(answer))
    }
}

/// The server of the capnp interface `Peer`.
struct PeerServer {
    shared: Rc<Shared>,
}

impl peer::Server for PeerServer {
    fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> impl std::future::Future<Output = Result<(), capnp::Error>> + 'static {
        let forward = pry!(params.get().and_then(read_forward));
        Promise::from_future(async move {
            let returned = self.shared.submit_to_core(Call::Submit(forward)).await?;
            match returned {
                Return::Answer(answer) => {
                    let json = serde_json::to_vec(&answer).map_err(to_capnp_error)?;
                    results.get().set_answer(&json);
                }
                _ => results.get().set_stranger(true),
            }
            Ok(())
        })
    }

    fn beat(
        self: Rc<Self>,
        params: peer::BeatParams,
        mut results: peer::BeatResults,
    ) -> impl std::future::Future<Output = Result<(), capnp::Error>> + 'static {
        let heartbeat = pry!(params
            .get()
            .and_then(|p| p.get_beat())
            .and_then(read_heartbeat));
        Promise::from_future(async move {
            let returned = self
                .shared
                .submit_to_core(Call::Heartbeat(heartbeat))
                .await?;
            if let Return::Heartbeat(own) = returned {
                write_heartbeat(&own, results.get().init_beat());
            }
            Ok(())
        })
    }

    fn config(
        self: Rc<Self>,
        params: peer::ConfigParams,
        mut results: peer::ConfigResults,
    ) -> impl std::future::Future<Output = Result<(), capnp::Error>> + 'static {
        let call = pry!(params.get().and_then(|p| p.get_call()));
        let call = pry!(serde_json::from_slice(call).map_err(to_capnp_error));
        Promise::from_future(async move {
            let returned = self.shared.submit_to_core(Call::Config(call)).await?;
            if let Return::Config(reply) = returned {
                let json = serde_json::to_vec(&reply).map_err(to_capnp_error)?;
                results.get().set_reply(&json);
            }
            Ok(())
        })
    }
}

fn read_forward(params: peer::submit_params::Reader<'_>) -> Result<Forward, capnp::Error> {
    let forward = params.get_forward()?;
    let digest = <[u8; 32]>::try_from(forward.get_digest()?).map_err(to_capnp_error)?;
    Ok(Forward {
        owner: read_incarnation(forward.get_owner()?)?,
        digest: Digest(digest),
        left: Span(forward.get_left()),
        submission: serde_json::from_slice(forward.get_submission()?).map_err(to_capnp_error)?,
    })
}

fn write_heartbeat(from: &Heartbeat, mut to: beat::Builder<'_>) {
    to.set_name(from.name.as_str());
    to.set_centre(from.centre.as_str());
    to.set_incarnation(&from.incarnation.0.to_be_bytes());
    to.set_revision(from.revision.0);
    to.set_draining(from.draining);
    let mut observations = to.init_sightings(from.observations.len() as u32);
    for (i, observation) in from.observations.iter().enumerate() {
        let mut to = observations.reborrow().get(i as u32);
        to.set_name(observation.name.as_str());
        to.set_high((observation.incarnation.0 >> 64) as u64);
        to.set_low(observation.incarnation.0 as u64);
        to.set_age(u32::try_from(observation.age.as_millis()).unwrap_or(u32::MAX));
    }
}

fn read_heartbeat(from: beat::Reader<'_>) -> Result<Heartbeat, capnp::Error> {
    Ok(Heartbeat {
        name: parse_text(from.get_name()?)?,
        centre: parse_text(from.get_centre()?)?,
        incarnation: read_incarnation(from.get_incarnation()?)?,
        revision: Revision(from.get_revision()),
        draining: from.get_draining(),
        observations: from
            .get_sightings()?
            .iter()
            .map(read_observation)
            .collect::<Result<_, _>>()?,
    })
}

fn read_observation(from: sighting::Reader<'_>) -> Result<Observation, capnp::Error> {
    Ok(Observation {
        name: parse_text(from.get_name()?)?,
        incarnation: Incarnation(u128::from(from.get_high()) << 64 | u128::from(from.get_low())),
        age: Span::millis(u64::from(from.get_age())),
    })
}

fn read_incarnation(bytes: &[u8]) -> Result<Incarnation, capnp::Error> {
    let bytes = <[u8; 16]>::try_from(bytes).map_err(to_capnp_error)?;
    Ok(Incarnation(u128::from_be_bytes(bytes)))
}

/// Parses a text field into its type.
fn parse_text<T>(text: capnp::text::Reader<'_>) -> Result<T, capnp::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let text = text.to_str().map_err(to_capnp_error)?;
    text.parse().map_err(to_capnp_error)
}

fn to_capnp_error(error: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

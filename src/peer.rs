//! The side towards the other instances: calls over capnp-rpc, both ways.
//!
//! Capabilities of capnp-rpc can't leave their thread, so they live in a local task set of this one.
//!
//! The schema has short names of its own: its `Beat` is a [`Heartbeat`], its `Sighting` an [`Observation`], and its
//! `stranger` [`Return::StaleIncarnation`]. They are translated here and used nowhere else.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use capnp::capability::Promise;
use capnp_rpc::{
    pry,
    rpc_twoparty_capnp::Side,
    RpcSystem, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::oneshot,
    task::spawn_local,
    time::timeout,
};

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
    rpc::build_network,
    settings::Settings,
};

/// Connections of peers that are served at once; each instance opens one to each of the others.
const CONNECTIONS: usize = 2_048;

/// Calls of peers that wait for their return at once.
const CALLS: usize = 16_384;

/// How long the last returns have to leave when the instance ends. They take a round trip, but on a machine whose
/// processors are all busy 50 ms were too short: the peer told its caller that the job's owner was gone.
const FLUSH: Duration = Duration::from_millis(400);

/// What all tasks of this thread share.
struct Shared {
    metrics: Arc<Metrics>,
    back: ring::Sender<Input>,
    serial: Cell<u64>,
    calls: RefCell<HashMap<IncomingCall, oneshot::Sender<Return>>>,
    clients: RefCell<HashMap<Instance, Link>>,
    served: Cell<usize>,
}

/// A connection to a peer.
#[derive(Clone)]
struct Link {
    serial: u64,
    address: String,
    client: peer::Client,
}

/// Serves peers and calls them, until the decisions end.
pub async fn serve(
    _settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    listener: TcpListener,
    mut orders: ring::Receiver<Output>,
    back: ring::Sender<Input>,
) {
    let shared = Rc::new(Shared {
        metrics,
        back,
        serial: Cell::new(0),
        calls: RefCell::default(),
        clients: RefCell::default(),
        served: Cell::new(0),
    });
    let accept = spawn_local(accept(shared.clone(), listener));
    while let Some(order) = orders.recv().await {
        match order {
            Output::Call {
                to,
                address,
                id,
                call,
                wait,
            } => {
                let shared = shared.clone();
                spawn_local(async move {
                    shared.metrics.count_message(Message::PeerCall);
                    let result = shared.call(&to, &address, call, wait.duration()).await;
                    shared.back.send(Input::Returned(id, result)).await;
                });
            }
            Output::Return(caller, result) => {
                // A peer that gave up takes its receiver along.
                if let Some(call) = shared.calls.borrow_mut().remove(&caller) {
                    call.send(result).ok();
                }
            }
            _ => {}
        }
    }
    accept.abort();
    // The last returns are with the connections' tasks now. If the thread ended here, the peers would lose them
    // and could only tell their callers that the owner is gone.
    tokio::time::sleep(FLUSH).await;
}

async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if shared.served.get() >= CONNECTIONS {
            continue;
        }
        let shared = shared.clone();
        spawn_local(async move {
            shared.served.set(shared.served.get() + 1);
            let served = Served {
                shared: shared.clone(),
            };
            let client: peer::Client = capnp_rpc::new_client(served);
            let network = build_network(stream, Side::Server);
            RpcSystem::new(network, Some(client.client)).await.ok();
            shared.served.set(shared.served.get() - 1);
        });
    }
}

impl Shared {
    fn next(&self) -> u64 {
        self.serial.set(self.serial.get() + 1);
        self.serial.get()
    }

    async fn call(&self, to: &Instance, address: &str, call: Call, wait: Duration) -> Return {
        let Some(link) = self.link(to, address).await else {
            return Return::Refused;
        };
        match timeout(wait, link.call(call)).await {
            Ok(Ok(result)) => result,
            // A connection that failed or went silent is not used again.
            _ => {
                let mut clients = self.clients.borrow_mut();
                if clients
                    .get(to)
                    .is_some_and(|known| known.serial == link.serial)
                {
                    clients.remove(to);
                }
                Return::Lost
            }
        }
    }

    async fn link(&self, to: &Instance, address: &str) -> Option<Link> {
        if let Some(link) = self.clients.borrow().get(to) {
            if link.address == address {
                return Some(link.clone());
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        let mut system = RpcSystem::new(build_network(stream, Side::Client), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(system);
        let link = Link {
            serial: self.next(),
            address: address.to_owned(),
            client,
        };
        self.clients.borrow_mut().insert(to.clone(), link.clone());
        Some(link)
    }

    /// Hands a peer's call to the decisions and waits for the return.
    fn ask(&self, call: Call) -> oneshot::Receiver<Return> {
        let (sender, receiver) = oneshot::channel();
        let caller = IncomingCall(self.next());
        let mut calls = self.calls.borrow_mut();
        calls.retain(|_, call| !call.is_closed());
        // Dropping the sender tells the peer that the call was refused.
        if calls.len() < CALLS && self.back.try_send(Input::Called(caller, call)).is_ok() {
            calls.insert(caller, sender);
        }
        receiver
    }
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
                let json = serde_json::to_vec(&call).map_err(failed)?;
                request.get().set_call(&json);
                let response = request.send().promise.await?;
                let reply = response.get()?.get_reply()?;
                Ok(Return::Config(
                    serde_json::from_slice(reply).map_err(failed)?,
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
        let json = serde_json::to_vec(&forward.submission).map_err(failed)?;
        builder.set_submission(&json);
        let response = request.send().promise.await?;
        let response = response.get()?;
        if response.get_stranger() {
            return Ok(Return::StaleIncarnation);
        }
        let answer = serde_json::from_slice(response.get_answer()?).map_err(failed)?;
        Ok(Return::Answer(answer))
    }
}

/// What this instance offers to its peers.
struct Served {
    shared: Rc<Shared>,
}

impl peer::Server for Served {
    fn submit(
        self: Rc<Self>,
        params: peer::SubmitParams,
        mut results: peer::SubmitResults,
    ) -> impl std::future::Future<Output = Result<(), capnp::Error>> + 'static {
        let forward = pry!(params.get().and_then(read_forward));
        let returned = self.shared.ask(Call::Submit(forward));
        Promise::from_future(async move {
            match returned.await.map_err(failed)? {
                Return::Answer(answer) => {
                    let json = serde_json::to_vec(&answer).map_err(failed)?;
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
        let returned = self.shared.ask(Call::Heartbeat(heartbeat));
        Promise::from_future(async move {
            if let Return::Heartbeat(own) = returned.await.map_err(failed)? {
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
        let call = pry!(serde_json::from_slice(call).map_err(failed));
        let returned = self.shared.ask(Call::Config(call));
        Promise::from_future(async move {
            if let Return::Config(reply) = returned.await.map_err(failed)? {
                let json = serde_json::to_vec(&reply).map_err(failed)?;
                results.get().set_reply(&json);
            }
            Ok(())
        })
    }
}

fn read_forward(params: peer::submit_params::Reader<'_>) -> Result<Forward, capnp::Error> {
    let forward = params.get_forward()?;
    let digest = <[u8; 32]>::try_from(forward.get_digest()?).map_err(failed)?;
    Ok(Forward {
        owner: read_incarnation(forward.get_owner()?)?,
        digest: Digest(digest),
        left: Span(forward.get_left()),
        submission: serde_json::from_slice(forward.get_submission()?).map_err(failed)?,
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
        name: parse(from.get_name()?)?,
        centre: parse(from.get_centre()?)?,
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
        name: parse(from.get_name()?)?,
        incarnation: Incarnation(u128::from(from.get_high()) << 64 | u128::from(from.get_low())),
        age: Span::millis(u64::from(from.get_age())),
    })
}

fn read_incarnation(bytes: &[u8]) -> Result<Incarnation, capnp::Error> {
    let bytes = <[u8; 16]>::try_from(bytes).map_err(failed)?;
    Ok(Incarnation(u128::from_be_bytes(bytes)))
}

fn parse<T>(text: capnp::text::Reader<'_>) -> Result<T, capnp::Error>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let text = text.to_str().map_err(failed)?;
    text.parse().map_err(failed)
}

fn failed(error: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

//! Imports that the tests share, and helpers that build workers, routes and requirements.

use std::{
    fmt::Debug,
    str::FromStr, //
};

pub(crate) use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

pub(crate) use poplarknot::{
    core::{
        admission::{
            Admission,
            Demand,
            Usage, //
        },
        config::propagation::rank_instances,
        health::{
            Change,
            Health, //
        },
        membership::{
            Action,
            Membership,
            Peer, //
        },
        message::{
            Heartbeat,
            Observation, //
        },
        placement::{
            Eligibility,
            EndpointId,
            Obstacle,
            Placement,
            Requirement, //
        },
        queue::Queue,
        retry::{
            backoff,
            Budget,
            Hedge, //
        }, //
    },
    endpoint::wire::Load,
    prelude::*,
    record::route::{
        Quota,
        Route, //
    },
    settings::{
        Limits,
        Timing, //
    },
    table::wire::{
        Member,
        State,
        Worker, //
    }, //
};
pub(crate) use quickcheck::quickcheck;
pub(crate) use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

pub(crate) const OWN: &str = "ulemiste-a";
pub(crate) const OTHER: &str = "maardu";

/// Parses an identifier of any type.
pub(crate) fn name<T: FromStr<Err: Debug>>(text: impl AsRef<str>) -> T {
    text.as_ref().parse().expect("a valid name")
}

pub(crate) fn need(cores: u32) -> Hardware {
    Hardware {
        cores,
        ..Hardware::default()
    }
}

/// Returns a worker with 8 slots, 64 connections and 64 cores.
pub(crate) fn worker(number: usize, centre: &str) -> Worker {
    Worker {
        name: name(format!("worker-{number}")),
        centre: name(centre),
        rack: String::new(),
        address: format!("10.0.0.1:{number}"),
        pool: name("notebooks"),
        slots: 8,
        connections: 64,
        resources: need(64),
        state: State::Live,
    }
}

/// Returns workers of the own data centre.
pub(crate) fn workers(count: usize) -> Vec<Worker> {
    (0..count).map(|number| worker(number, OWN)).collect()
}

/// Returns a route to the workers' pool in all data centres.
pub(crate) fn route() -> Route {
    Route {
        service: name("preview"),
        revision: Revision(1),
        pools: vec![name("notebooks")],
        centres: Vec::new(),
        spill: true,
        class: Class::Once,
        deadline: Span::seconds(30),
        lease: Span::seconds(10),
        max_tasks: 210,
        quotas: BTreeMap::new(),
    }
}

/// Returns the requirement of a start-once task that needs one core.
pub(crate) fn requirement<'a>(route: &'a Route, avoid: &'a [EndpointId]) -> Requirement<'a> {
    Requirement {
        route,
        need: need(1),
        class: Class::Once,
        avoid,
    }
}

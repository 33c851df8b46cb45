//! An owner of one rack for unit tests, its endpoints and the batches that it gets.
#![allow(dead_code)] // No test target uses every helper.

use poplarknot::{
    dispatch::{
        id::{
            Epoch,
            JobId,
            Life,
            RackId,
            TaskId,
            Token, //
        },
        license::Confirmation,
        message::{
            Batch,
            Contact,
            Listing,
            Lists,
            Name,
            Order,
            Output,
            Reply,
            Running, //
        },
        owner::{
            Effects,
            Owner, //
        },
        task::Resources, //
    },
    prelude::*, //
};

pub(crate) const START: Time = Time(10_000_000);

pub(crate) fn contact(name: &str) -> Contact {
    Contact {
        name: name.parse().unwrap(),
        address: format!("{name}:1"),
    }
}

pub(crate) fn listing(slots: u64) -> Listing {
    Listing {
        id: "w-1".parse().unwrap(),
        life: Life::default(),
        service: "cells".to_owned(),
        address: "w-1:80".to_owned(),
        centre: "a".to_owned(),
        rack: "r".to_owned(),
        labels: vec!["a".to_owned(), "r".to_owned()],
        capacity: Resources {
            cpu: slots * 1_000,
            memory: 1_000,
            gpu: 0,
        },
        draining: false,
    }
}

pub(crate) fn batch(serial: u64, tasks: Vec<u32>) -> Batch {
    Batch {
        serial,
        rack: listing(1).rack_id(),
        job: JobId(serial),
        step: 0,
        tasks,
        moves: 0,
        need: Resources {
            cpu: 1_000,
            memory: 1,
            gpu: 0,
        },
        estimate: Span::millis(60),
        label: None,
        per_endpoint: None,
        spec: String::new(),
        attempts: 2,
        priority: 0,
        work: 60,
        tied: false,
        stored: false,
        slack: Some(Span::seconds(1)),
        useful: Span::seconds(2),
        time_left: Span::seconds(3),
    }
}

/// Confirms the batches of all entries, as their heartbeats do.
pub(crate) fn confirm_entries(owner: &mut Owner, now: Time) {
    for entry in ["own", "entry", "next"] {
        owner.confirm_entry(&contact(entry).name, Confirmation::of_self(now));
    }
}

/// An owner of one rack, and the rack's ID.
pub(crate) struct TestOwner {
    pub(crate) owner: Owner,
    pub(crate) rack: RackId,
    /// The runs that polls list, if runs last; otherwise polls list none, and runs are lost.
    pub(crate) running: Option<Vec<Running>>,
}

impl TestOwner {
    /// Returns an owner of a rack with one endpoint of `slots` cores, which has been polled once.
    pub(crate) fn new(slots: u64) -> Self {
        let own = contact("own");
        let mut owner = Owner::new(&own.name);
        let mut out = Effects::default();
        let listing = listing(slots);
        let rack = listing.rack_id();
        owner.claim(rack, Token::new(Epoch(1), 1), &mut out);
        owner.update_endpoints(&[listing], START, &mut out);
        let mut test = Self {
            owner,
            rack,
            running: None,
        };
        test.process_due(START);
        test
    }

    /// Returns an owner of one slot with a batch of a live entry, and the contacts of the entry and of the next owner.
    pub(crate) fn with_batch(tasks: Vec<u32>) -> (Self, Contact, Contact) {
        let mut test = Self::new(1);
        let (entry, next) = (contact("entry"), contact("next"));
        let mut out = Effects::default();
        test.owner.mark_entry_alive(&entry.name);
        test.owner.accept(&entry, batch(1, tasks), START, &mut out);
        (test, entry, next)
    }

    /// Processes due work, answers polls with the lasting runs and all other orders with success. Returns the orders.
    pub(crate) fn process_due(&mut self, now: Time) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut out = Effects::default();
        confirm_entries(&mut self.owner, now);
        self.owner.process_due(now, &mut out);
        for output in out.outputs {
            let Output::Call { call, order, .. } = output else {
                continue;
            };
            let reply = match &order {
                Order::Poll { .. } => Reply::Looked(Lists {
                    clock: now.0 / 1_000,
                    running: self.running.clone().unwrap_or_default(),
                    ended: Vec::new(),
                    ..Lists::default()
                }),
                _ => Reply::Done {
                    clock: now.0 / 1_000,
                },
            };
            if let (Order::Start { task, run, .. }, Some(running)) = (&order, &mut self.running) {
                running.push(Running {
                    task: Name::Known(*task),
                    run: *run,
                    percent: None,
                });
            }
            orders.push(order);
            let mut out = Effects::default();
            self.owner.on_reply(call, now, reply, now, &mut out);
        }
        orders
    }
}

pub(crate) fn starts(orders: &[Order]) -> usize {
    let is_start = |order: &&Order| matches!(order, Order::Start { .. });
    orders.iter().filter(is_start).count()
}

/// Returns a task of the first step of a job.
pub(crate) fn task_of(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        step: 0,
        index,
    }
}

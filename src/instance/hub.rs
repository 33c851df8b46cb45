//! Joins the dispatcher with its sockets: what happens goes in, what it wants done is begun.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
};

use nix::time::{
    clock_gettime,
    ClockId, //
};
use tokio::sync::{
    oneshot,
    Notify, //
};

use super::{
    calls::Calls,
    gauges::Gauges,
    heartbeats::Heartbeats, //
    journal::Journal,
    peers::Peers,
    rows::Rows,
};
use crate::{
    dispatch::{
        message::{
            Answer,
            Input,
            Output,
            Record,
            Ticket, //
        },
        Dispatcher, //
    },
    prelude::*,
};

/// What all tasks of the instance share. They run on one thread, so that no lock is needed.
pub struct Hub {
    dispatcher: RefCell<Dispatcher>,
    answers: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    tickets: Cell<u64>,
    journal: RefCell<Journal>,
    /// Counters.
    pub gauges: Gauges,
    /// Calls to endpoints.
    pub calls: Calls,
    /// Messages to peers.
    pub peers: Peers,
    /// Heartbeats to peers.
    pub heartbeats: Heartbeats,
    /// Calls to the store for stored jobs.
    pub rows: Rows,
    /// Rings when no jobs are taken any more.
    pub closing: Notify,
    /// Rings when all is answered after a drain.
    pub drained: Notify,
}

/// Returns the time since the machine started, time in which it was suspended included.
///
/// A steady clock stands still while a machine is suspended. An instance that woke would take the leases that
/// it gave, and its heartbeats, for fresh ones.
pub fn now() -> Time {
    // The call can't fail for a clock that every kernel has.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |t| {
        t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1_000
    });
    Time(time.max(1))
}

impl Hub {
    /// Joins the parts.
    pub fn new(
        dispatcher: Dispatcher,
        journal: Journal,
        calls: Calls,
        peers: Peers,
        heartbeats: Heartbeats,
        rows: Rows,
    ) -> Rc<Self> {
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            answers: RefCell::default(),
            tickets: Cell::new(0),
            journal: RefCell::new(journal),
            gauges: Gauges::new(),
            calls,
            peers,
            heartbeats,
            rows,
            closing: Notify::new(),
            drained: Notify::new(),
        })
    }

    /// Tells the dispatcher what happened, and begins what it wants done.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let outputs = self.dispatcher.borrow_mut().step(now(), input);
        for output in outputs {
            self.begin(output);
        }
    }

    fn begin(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer(ticket, answer) => {
                if let Some(waiting) = self.answers.borrow_mut().remove(&ticket) {
                    // A caller that has gone in this moment needs no answer.
                    waiting.send(answer).ok();
                }
            }
            Output::Call { .. } => self.calls.begin(self, output),
            Output::Send(to, message) => self.peers.send(self, &to, message),
            Output::Heartbeat(to, heartbeat) => {
                self.heartbeats.send(self, &to, &heartbeat);
            }
            Output::Store { call, request } => self.rows.begin(self, call, request),
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => self.peers.session(&to, incarnation, session),
            Output::Disconnect(address) => self.calls.forget(&address),
            Output::Log(record) => self.log(&record),
            Output::CloseIdleCallers => self.closing.notify_waiters(),
            Output::Drained => self.drained.notify_one(),
        }
    }

    /// Writes a line to the log.
    pub fn log(&self, record: &Record) {
        self.gauges.event(record.event);
        self.journal.borrow_mut().log(record);
    }

    /// Lets the log leave.
    pub fn flush(&self) {
        self.journal.borrow_mut().flush();
    }

    /// Registers a caller that waits.
    pub fn ticket(&self) -> (Ticket, oneshot::Receiver<Answer>) {
        self.tickets.set(self.tickets.get() + 1);
        let ticket = Ticket(self.tickets.get());
        let (sender, receiver) = oneshot::channel();
        self.answers.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Takes note that a caller has gone; nothing happens where it has its answer.
    pub fn abandon(self: &Rc<Self>, ticket: Ticket) {
        if self.answers.borrow_mut().remove(&ticket).is_some() {
            self.feed(Input::Abandoned(ticket));
        }
    }

    /// Looks at the dispatcher.
    pub fn look<T>(&self, look: impl FnOnce(&Dispatcher) -> T) -> T {
        look(&self.dispatcher.borrow())
    }
}

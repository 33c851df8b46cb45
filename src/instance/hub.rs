//! Connects the dispatcher with its sockets: passes inputs to it and executes its outputs.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc, //
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
    calls::EndpointClient,
    heartbeats::Heartbeats,
    job_store::JobStore,
    journal::Journal,
    metrics::Metrics,
    peers::Peers, //
};
use crate::{
    dispatch::{
        message::{
            Answer,
            Input,
            LogRecord,
            Output,
            Ticket, //
        },
        Dispatcher, //
    },
    prelude::*, //
};

/// The state that all tasks of the instance share. They run on one thread, so that no lock is needed.
pub struct Hub {
    dispatcher: RefCell<Dispatcher>,
    waiting_callers: RefCell<HashMap<Ticket, oneshot::Sender<Answer>>>,
    last_ticket: Cell<u64>,
    journal: RefCell<Journal>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Calls to endpoints.
    pub endpoints: EndpointClient,
    /// Messages to peers.
    pub peers: Peers,
    /// Heartbeats to peers.
    pub heartbeats: Heartbeats,
    /// Calls to the store for stored jobs.
    pub job_store: JobStore,
    /// Notified when a configuration is in force.
    pub configured: Notify,
    /// Notified when no more jobs are taken and callers' idle connections are to be closed.
    pub close_idle_callers: Notify,
    /// Notified when everything is answered after a drain.
    pub drained: Notify,
}

/// Returns the time since boot, including the time in which the machine was suspended.
///
/// A clock that stops during suspension would make an instance that resumes take expired leases and old heartbeats
/// for fresh ones.
pub fn now() -> Time {
    // Every Linux kernel has this clock, so that the call can't fail.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(0, |t| {
        t.tv_sec() as u64 * 1_000_000 + t.tv_nsec() as u64 / 1_000
    });
    Time(time.max(1))
}

impl Hub {
    /// Creates the shared state from its parts.
    pub fn new(
        dispatcher: Dispatcher,
        journal: Journal,
        endpoints: EndpointClient,
        peers: Peers,
        heartbeats: Heartbeats,
        job_store: JobStore,
    ) -> Rc<Self> {
        Rc::new(Self {
            dispatcher: RefCell::new(dispatcher),
            waiting_callers: RefCell::default(),
            last_ticket: Cell::new(0),
            journal: RefCell::new(journal),
            metrics: Metrics::new(),
            endpoints,
            peers,
            heartbeats,
            job_store,
            configured: Notify::new(),
            close_idle_callers: Notify::new(),
            drained: Notify::new(),
        })
    }

    /// Passes an input to the dispatcher and executes its outputs.
    pub fn handle(self: &Rc<Self>, input: Input) {
        let outputs = self.dispatcher.borrow_mut().step(now(), input);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(self: &Rc<Self>, output: Output) {
        match output {
            Output::Answer(ticket, answer) => {
                if let Some(waiting) = self.waiting_callers.borrow_mut().remove(&ticket) {
                    // A caller that has just disconnected needs no answer.
                    waiting.send(answer).ok();
                }
            }
            Output::Call { .. } => self.endpoints.start_call(self, output),
            Output::Send(to, message) => self.peers.send(self, &to, message),
            Output::Heartbeat(to, heartbeat) => {
                self.heartbeats.send(self, &to, &heartbeat);
            }
            Output::Store { call, request } => self.job_store.start_call(self, call, request),
            Output::BeginSession {
                to,
                incarnation,
                session,
            } => self.peers.begin_session(&to, incarnation, session),
            Output::Disconnect(address) => self.endpoints.close_idle(&address),
            Output::Log(record) => self.log(&record),
            Output::Configured => self.configured.notify_waiters(),
            Output::CloseIdleCallers => self.close_idle_callers.notify_waiters(),
            Output::Drained => self.drained.notify_one(),
        }
    }

    /// Writes a line to the log.
    pub fn log(&self, record: &LogRecord) {
        self.metrics.count_log_line(record.event);
        self.journal.borrow_mut().log(record);
    }

    /// Passes the buffered log lines to the log's writer.
    pub fn flush_log(&self) {
        self.journal.borrow_mut().flush();
    }

    /// Registers a caller that waits for an answer; returns its ticket and the receiver of the answer.
    pub fn register_caller(&self) -> (Ticket, oneshot::Receiver<Answer>) {
        self.last_ticket.set(self.last_ticket.get() + 1);
        let ticket = Ticket(self.last_ticket.get());
        let (sender, receiver) = oneshot::channel();
        self.waiting_callers.borrow_mut().insert(ticket, sender);
        (ticket, receiver)
    }

    /// Reports to the dispatcher that a caller has disconnected; does nothing if the caller has its answer.
    pub fn on_caller_disconnect(self: &Rc<Self>, ticket: Ticket) {
        if self.waiting_callers.borrow_mut().remove(&ticket).is_some() {
            self.handle(Input::Abandoned(ticket));
        }
    }

    /// Calls a function with read access to the dispatcher.
    pub fn with_dispatcher<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.dispatcher.borrow())
    }
}

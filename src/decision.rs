//! The thread of the decisions: it owns the core, feeds it and carries out what it says.

use std::sync::{
    atomic::{
        AtomicBool,
        Ordering, //
    },
    Arc, Mutex,
};

use tokio::{
    sync::oneshot,
    time::{
        interval,
        sleep_until,
        MissedTickBehavior, //
    },
};
use xtra::prelude::*;

use crate::{
    clock::Clock,
    core::{
        message::{
            Completion,
            End,
            Input,
            Output,
            Return,
            Sample, //
        },
        Core,
    },
    event::Code,
    metrics::{
        Gauges,
        Metrics, //
    },
    prelude::*,
    ring,
    sync::lock,
};

/// How often the core gets a tick.
const TICK: Span = Span::millis(50);

/// The most inputs that are taken before the outputs are looked at.
const BATCH: usize = 256;

/// What the callers' thread may know without asking.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether the instance can serve.
    pub ready: AtomicBool,
    /// The range that callers may take keys from.
    pub range: Mutex<String>,
}

/// The rings that lead to the decisions.
pub struct Receivers {
    /// From the callers.
    pub callers: ring::Receiver<Input>,
    /// From the endpoints.
    pub endpoints: ring::Receiver<Input>,
    /// From the platform.
    pub platform: ring::Receiver<Input>,
    /// From the peers.
    pub peers: ring::Receiver<Input>,
    /// From the main thread.
    pub control: ring::Receiver<Input>,
}

/// The rings that lead from the decisions.
pub struct Senders {
    /// To the callers.
    pub callers: ring::Sender<Output>,
    /// To the endpoints.
    pub endpoints: ring::Sender<Output>,
    /// To the platform.
    pub platform: ring::Sender<Output>,
    /// To the peers.
    pub peers: ring::Sender<Output>,
}

/// Owns the core: the state of this thread.
#[derive(xtra::Actor)]
struct Dispatcher {
    core: Core,
    clock: Clock,
    senders: Senders,
    status: Arc<Status>,
    metrics: Arc<Metrics>,
    drained: Option<oneshot::Sender<()>>,
}

/// Inputs in the order in which they came.
struct Batch(Vec<Input>);

/// Decides until the rings are gone; `drained` is notified when everything is answered after a drain.
pub async fn serve(
    core: Core,
    clock: Clock,
    mut receivers: Receivers,
    senders: Senders,
    status: Arc<Status>,
    metrics: Arc<Metrics>,
    drained: oneshot::Sender<()>,
) {
    let dispatcher = Dispatcher {
        core,
        clock,
        senders,
        status,
        metrics,
        drained: Some(drained),
    };
    let address = xtra::spawn_tokio(dispatcher, Mailbox::bounded(1));
    let mut tick = interval(TICK.duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut due = None;
    loop {
        let wake = clock.to_instant(due.unwrap_or(clock.now() + TICK));
        let first = tokio::select! {
            Some(input) = receivers.control.recv() => Some(input),
            Some(input) = receivers.endpoints.recv() => Some(input),
            Some(input) = receivers.callers.recv() => Some(input),
            Some(input) = receivers.platform.recv() => Some(input),
            Some(input) = receivers.peers.recv() => Some(input),
            _ = tick.tick() => Some(Input::Tick),
            () = sleep_until(wake) => None,
        };
        let mut batch = Vec::from_iter(first);
        receivers.gather(&mut batch);
        match address.send(Batch(batch)).await {
            Ok(next) => due = next,
            Err(_) => return,
        }
    }
}

impl Receivers {
    /// Takes what has come by now: ends of tasks go first, since they make room.
    fn gather(&mut self, batch: &mut Vec<Input>) {
        let receivers = [
            &mut self.endpoints,
            &mut self.platform,
            &mut self.peers,
            &mut self.callers,
        ];
        for receiver in receivers {
            while batch.len() < BATCH {
                let Some(input) = receiver.try_recv() else {
                    break;
                };
                batch.push(input);
            }
        }
    }
}

impl Handler<Batch> for Dispatcher {
    type Return = Option<Time>;

    async fn handle(&mut self, Batch(batch): Batch, _: &mut Context<Self>) -> Option<Time> {
        let mut ticked = false;
        // A wake without an input is one for a timer.
        let batch = if batch.is_empty() {
            vec![Input::Wake]
        } else {
            batch
        };
        for input in batch {
            ticked |= matches!(input, Input::Tick);
            self.step(input).await;
        }
        self.show(ticked);
        self.core.next_due()
    }
}

impl Dispatcher {
    async fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.core.step(self.clock.now(), input);
            for output in outputs {
                inputs.extend(self.carry_out(output).await);
            }
        }
    }

    /// Hands an output to its thread; where the ring is full, returns the refusal as an input.
    async fn carry_out(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Event(event) => {
                if event.code == Code::Draining {
                    self.metrics.count_drain();
                }
                event.log();
                None
            }
            Output::Measure(sample) => {
                self.measure(&sample);
                None
            }
            Output::Drained => {
                if let Some(drained) = self.drained.take() {
                    drained.send(()).ok();
                }
                None
            }
            // Answers wait for a place: the callers' thread never waits for this one.
            output @ (Output::Answer(..) | Output::Report(..)) => {
                self.senders.callers.send(output).await;
                None
            }
            output @ Output::Return(..) => {
                self.senders.peers.send(output).await;
                None
            }
            output @ Output::Abandon(_) => {
                self.senders.endpoints.send(output).await;
                None
            }
            output @ (Output::Start { .. } | Output::Look { .. }) => {
                self.refused(self.senders.endpoints.try_send(output))
            }
            output @ (Output::Command(..) | Output::Share(_)) => {
                self.refused(self.senders.platform.try_send(output))
            }
            output @ Output::Call { .. } => self.refused(self.senders.peers.try_send(output)),
        }
    }

    /// Returns the input that reports to the core that an output found its ring full.
    fn refused(&self, pushed: Result<(), Output>) -> Option<Input> {
        let output = pushed.err()?;
        self.metrics.count_ring_refusal();
        refusal(output)
    }

    fn measure(&self, sample: &Sample) {
        match sample {
            Sample::Answered {
                outcome,
                reason,
                class,
            } => self.metrics.count_answer(*outcome, *reason, *class),
            Sample::Completed { took, ideal } => self.metrics.observe_job(*took, *ideal),
            Sample::Started => self.metrics.count_start(),
            Sample::Retried => self.metrics.count_retry(),
            Sample::Hedged => self.metrics.count_hedge(),
        }
    }

    /// Shows the callers' thread, and now and then the metrics, how things stand.
    fn show(&self, ticked: bool) {
        self.status
            .ready
            .store(self.core.is_ready(), Ordering::Release);
        if !ticked {
            return;
        }
        let range = self.core.range().to_string();
        let mut shown = lock(&self.status.range);
        if *shown != range {
            *shown = range;
        }
        let stats = self.core.stats();
        self.metrics.set_gauges(Gauges {
            eligible: stats.eligible as u32,
            ejected: stats.ejected as u32,
            outstanding: stats.outstanding as u32,
            waiting: stats.waiting as u32,
            kept: stats.keys as u32,
            kept_bytes: stats.bytes as u64,
            revision: stats.revision,
            peers: stats.instances as u32 - 1,
        });
    }
}

/// Returns what a ring that was full means for the core: the thing was not done.
fn refusal(output: Output) -> Option<Input> {
    match output {
        Output::Start { start, .. } => Some(Input::Ended(start.attempt, End::Withheld)),
        Output::Look { attempt, .. } => Some(Input::Looked(attempt, None)),
        Output::Command(ticket, _) => Some(Input::Completed(ticket, Completion::Refused)),
        Output::Call { id, .. } => Some(Input::Returned(id, Return::Refused)),
        _ => None,
    }
}

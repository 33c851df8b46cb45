//! The decisions thread: owns the core, passes it the inputs of all other threads and executes its outputs.

use std::sync::{
    atomic::{
        AtomicBool,
        Ordering, //
    },
    Arc,
    Mutex, //
};

use tokio::{
    sync::oneshot,
    time::{
        interval,
        sleep_until,
        MissedTickBehavior, //
    }, //
};
use xtra::prelude::*;

use crate::{
    clock::Clock,
    core::{
        message::{
            Check,
            Completion,
            End,
            Input,
            Output,
            Return,
            Sample, //
        },
        Core, //
    },
    event::Code,
    metrics::{
        Gauges,
        Metrics, //
    },
    prelude::*,
    ring,
    sync::lock, //
};

/// How often the core gets [`Input::Tick`].
const TICK_INTERVAL: Span = Span::millis(50);

/// The most inputs that are handled before the status is published.
const MAX_BATCH_LEN: usize = 256;

/// The status of the core, which the callers thread reads without sending an input.
#[derive(Debug, Default)]
pub struct Status {
    /// Whether the instance is ready for submissions.
    pub ready: AtomicBool,
    /// The range from which callers may take keys.
    pub range: Mutex<String>,
}

/// The rings on which inputs of the core arrive.
pub struct Receivers {
    /// From the callers thread.
    pub callers: ring::Receiver<Input>,
    /// From the endpoints thread.
    pub endpoints: ring::Receiver<Input>,
    /// From the platform thread.
    pub platform: ring::Receiver<Input>,
    /// From the peers thread.
    pub peers: ring::Receiver<Input>,
    /// From the main thread.
    pub control: ring::Receiver<Input>,
}

/// The rings on which outputs of the core leave.
pub struct Senders {
    /// To the callers thread.
    pub callers: ring::Sender<Output>,
    /// To the endpoints thread.
    pub endpoints: ring::Sender<Output>,
    /// To the platform thread.
    pub platform: ring::Sender<Output>,
    /// To the peers thread.
    pub peers: ring::Sender<Output>,
}

/// The actor that owns the core.
#[derive(xtra::Actor)]
struct CoreActor {
    core: Core,
    clock: Clock,
    senders: Senders,
    status: Arc<Status>,
    metrics: Arc<Metrics>,
    drained: Option<oneshot::Sender<()>>,
}

/// Inputs in the order in which they are handled.
struct Batch(Vec<Input>);

/// Runs the core until its actor stops; `drained` is notified once every submission is answered after a drain.
pub async fn serve(
    core: Core,
    clock: Clock,
    mut receivers: Receivers,
    senders: Senders,
    status: Arc<Status>,
    metrics: Arc<Metrics>,
    drained: oneshot::Sender<()>,
) {
    let actor = CoreActor {
        core,
        clock,
        senders,
        status,
        metrics,
        drained: Some(drained),
    };
    let address = xtra::spawn_tokio(actor, Mailbox::bounded(1));
    let mut tick = interval(TICK_INTERVAL.duration());
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_due = None;
    loop {
        let wake = clock.to_instant(next_due.unwrap_or(clock.now() + TICK_INTERVAL));
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
        receivers.receive_ready(&mut batch);
        match address.send(Batch(batch)).await {
            Ok(due) => next_due = due,
            Err(_) => return,
        }
    }
}

impl Receivers {
    /// Moves inputs that have arrived into the batch, up to its limit. The ends of tasks come first, since they free slots.
    fn receive_ready(&mut self, batch: &mut Vec<Input>) {
        let receivers = [
            &mut self.endpoints,
            &mut self.platform,
            &mut self.peers,
            &mut self.callers,
        ];
        for receiver in receivers {
            while batch.len() < MAX_BATCH_LEN {
                let Some(input) = receiver.try_recv() else {
                    break;
                };
                batch.push(input);
            }
        }
    }
}

impl Handler<Batch> for CoreActor {
    type Return = Option<Time>;

    async fn handle(&mut self, Batch(batch): Batch, _: &mut Context<Self>) -> Option<Time> {
        let mut ticked = false;
        // The loop wakes without an input when a timer of the core is due.
        let batch = if batch.is_empty() {
            vec![Input::Wake]
        } else {
            batch
        };
        for input in batch {
            ticked |= matches!(input, Input::Tick);
            self.step(input).await;
        }
        self.publish(ticked);
        self.core.next_due()
    }
}

impl CoreActor {
    /// Passes an input to the core and executes the outputs, until none of them leads to another input.
    async fn step(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let outputs = self.core.step(self.clock.now(), input);
            for output in outputs {
                inputs.extend(self.execute(output).await);
            }
        }
    }

    /// Executes an output or sends it to its thread. Returns the input that reports a full ring, if it was full.
    async fn execute(&mut self, output: Output) -> Option<Input> {
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
            // Answers wait while the ring is full. That can't deadlock: the callers thread never waits for this one.
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
            output @ (Output::Start { .. } | Output::CheckStatus { .. }) => {
                self.input_if_full(self.senders.endpoints.try_send(output))
            }
            output @ (Output::Command(..) | Output::ShareWriteRate(_)) => {
                self.input_if_full(self.senders.platform.try_send(output))
            }
            output @ Output::Call { .. } => self.input_if_full(self.senders.peers.try_send(output)),
        }
    }

    /// Counts an output that found its ring full, and returns the input that reports it to the core.
    fn input_if_full(&self, sent: Result<(), Output>) -> Option<Input> {
        let output = sent.err()?;
        self.metrics.count_ring_refusal();
        full_ring_input(output)
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

    /// Publishes the readiness, and on a tick the range and the gauges too.
    fn publish(&self, ticked: bool) {
        self.status
            .ready
            .store(self.core.is_ready(), Ordering::Release);
        if !ticked {
            return;
        }
        let range = self.core.range().to_string();
        let mut published = lock(&self.status.range);
        if *published != range {
            *published = range;
        }
        let stats = self.core.stats();
        self.metrics.set_gauges(Gauges {
            eligible: stats.eligible as u32,
            ejected: stats.ejected as u32,
            outstanding: stats.outstanding as u32,
            waiting: stats.waiting as u32,
            kept_answers: stats.keys as u32,
            kept_answer_bytes: stats.bytes as u64,
            revision: stats.revision,
            peers: stats.instances as u32 - 1,
        });
    }
}

/// Returns the input that reports an output as not executed, for outputs that the core expects a result of.
fn full_ring_input(output: Output) -> Option<Input> {
    match output {
        Output::Start { start, .. } => Some(Input::AttemptEnded(start.attempt, End::Withheld)),
        Output::CheckStatus { attempt, .. } => Some(Input::Status(attempt, Check::Withheld)),
        Output::Command(ticket, _) => Some(Input::Completed(ticket, Completion::Withheld)),
        Output::Call { id, .. } => Some(Input::Returned(id, Return::Withheld)),
        _ => None,
    }
}

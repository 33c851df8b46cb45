//! Real instances and stand-ins of the platform in faults that let a run outlive its attempt: a caller that comes again after a
//! broken connection must not find its tasks still running.
//!
//! Only the overlap of two runs of a task, as the endpoints see it, decides. A run that ends before the second attempt starts its
//! task passes, however late the machine is.

#![allow(dead_code)] // Other tests use more of these modules.

#[path = "platform/endpoint.rs"]
mod endpoint;
#[path = "platform/fleet.rs"]
mod fleet;
#[path = "platform/store.rs"]
mod store;
mod support;

use std::{
    path::Path,
    sync::{
        atomic::{
            AtomicBool,
            Ordering, //
        },
        Arc, //
    },
    thread::JoinHandle,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use endpoint::{
    Execution,
    BRIEF, //
};
use fleet::{
    job_body,
    write_configuration,
    Fleet,
    Instance,
    HOST,
    PREFIX, //
};
use nix::sys::signal::{
    kill,
    Signal, //
};
use serde_json::{
    json,
    Value, //
};
use socket2::SockRef;
use support::{
    client::Client,
    proxy::Mode,
    wait_until,
    Result, //
};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpStream,
    time::{
        sleep,
        sleep_until,
        Instant, //
    }, //
};

/// The duration of the tasks that must not run twice: longer than [`RETRY_DELAY`], or the first runs would end by themselves.
const TASK: Duration = Duration::from_millis(2_500);
/// How long after the break of its connection a caller comes again (`retry_ms`).
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// How long the first attempt has run when its connection breaks.
const RUN_TIME: Duration = Duration::from_millis(500);
/// How long stop orders are lost, or all bytes held, after the break.
const FAULT_DURATION: Duration = Duration::from_millis(2_000);
/// The timeout of the route, longer than a task, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// The data centre of the first attempt, and its endpoint in a fleet of two.
const FIRST_CENTRE: (&str, usize) = ("maardu", 1);
/// The job that is submitted twice.
const JOB: u64 = 0x7a;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_poplarknot"))
}

/// Stops and continues a process by turns, so that its threads are late again and again; the process runs on when this is dropped.
struct Turns {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Turns {
    /// Lets the instance run for less than the interval between its steps (10 ms), so that each step is late.
    fn start(instance: &Instance) -> Result<Self> {
        Self::with_times(
            instance,
            Duration::from_millis(70),
            Duration::from_millis(5),
        )
    }

    /// Stops the instance for little less than the pause after which it drops all that it holds (450 ms), and lets it run for so
    /// short a time that what it reads in one turn it may handle or send in another.
    fn start_long(instance: &Instance) -> Result<Self> {
        Self::with_times(
            instance,
            Duration::from_millis(380),
            Duration::from_millis(1),
        )
    }

    fn with_times(instance: &Instance, stopped: Duration, running: Duration) -> Result<Self> {
        let process = instance.process_id()?;
        let ended = Arc::new(AtomicBool::new(false));
        let e = ended.clone();
        let thread = std::thread::spawn(move || {
            while !e.load(Ordering::SeqCst) {
                let _ = kill(process, Signal::SIGSTOP);
                std::thread::sleep(stopped);
                let _ = kill(process, Signal::SIGCONT);
                std::thread::sleep(running);
            }
        });
        Ok(Self {
            ended,
            thread: Some(thread),
        })
    }
}

impl Drop for Turns {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A fleet in which an instance without racks takes the first attempt of a job.
///
/// Its tasks go to the rack of its data centre, which `owner` owns. The second attempt goes to `third`, whose tasks go to its own
/// rack in the other data centre.
struct World {
    fleet: Fleet,
    entry: Instance,
}

impl World {
    /// Starts a fleet with `endpoints` endpoints, which are spread over the two racks.
    async fn start(endpoints: usize) -> Result<Self> {
        Self::complete(Fleet::start(program(), 2, endpoints, TASK).await?).await
    }

    /// Starts a fleet with two endpoints behind proxies.
    async fn start_behind_proxies() -> Result<Self> {
        Self::complete(Fleet::start_behind_proxies(program(), 2, 2, TASK).await?).await
    }

    /// Adds the entry once both racks have an owner in their data centre. An instance that starts later gets none of them.
    async fn complete(fleet: Fleet) -> Result<Self> {
        write_configuration(&fleet.store, 8, ROUTE_TIMEOUT_MS);
        wait_until("each instance owns the rack of its data centre", || async {
            let owns = |instance: &Instance| instance.log().contains("rack_claimed");
            fleet.instances.iter().all(owns).then_some(())
        })
        .await?;
        let store = fleet.store.address();
        let entry = Instance::start(program(), "instance-2", FIRST_CENTRE.0, &store).await?;
        entry.wait_until_ready().await?;
        // The entry has heard the free room of both racks by then.
        sleep(Duration::from_millis(500)).await;
        Ok(Self { fleet, entry })
    }

    fn third(&self) -> &Instance {
        &self.fleet.instances[0]
    }

    fn owner(&self) -> &Instance {
        &self.fleet.instances[1]
    }

    /// Submits a job of long tasks to the entry over a connection that the caller can break.
    async fn submit(&self, job: u64, tasks: u32) -> Result<TcpStream> {
        let mut stream = TcpStream::connect(self.entry.caller_address()).await?;
        stream.write_all(&request(job, &long_job(tasks))).await?;
        Ok(stream)
    }

    /// Waits until `tasks` tasks of a job have run for [`RUN_TIME`] on the owner's endpoints.
    async fn wait_for_runs(&self, job: u64, tasks: usize) -> Result {
        wait_until("the first attempt's tasks run", || async {
            let running = self.first_runs(job).len();
            (running == tasks).then_some(())
        })
        .await
        .map_err(|e| format!("{e}\n{}", self.log_of(&[job], Instant::now())))?;
        sleep(RUN_TIME).await;
        Ok(())
    }

    /// Returns the runs of a job on the owner's endpoints.
    fn first_runs(&self, job: u64) -> Vec<Execution> {
        let endpoints = self.fleet.endpoints.iter().skip(1).step_by(2);
        let runs = endpoints.flat_map(|endpoint| endpoint.history());
        runs.filter(|run| is_of_job(run, job)).collect()
    }

    /// Returns the runs of a job on all endpoints.
    fn runs(&self, job: u64) -> Vec<Execution> {
        let endpoints = self.fleet.endpoints.iter();
        let runs = endpoints.flat_map(|endpoint| endpoint.history());
        runs.filter(|run| is_of_job(run, job)).collect()
    }

    /// Submits a job again [`RETRY_DELAY`] after the break of its connection, and checks that no task runs twice at a time.
    async fn retry(&self, job: u64, tasks: u32, broken_at: Instant) -> Result {
        assert!(
            self.first_runs(job)
                .iter()
                .all(|run| run.started_at < broken_at),
            "the runs started after the break"
        );
        sleep_until(broken_at + RETRY_DELAY).await;
        let mut client = Client::connect(self.third().caller_address()).await?;
        let answer = self
            .third()
            .submit_over(&mut client, job, &long_job(tasks))
            .await?;
        let runs = self.runs(job);
        for run in &runs {
            println!("{}", describe(run, broken_at));
        }
        assert_eq!(answer.status, 200, "{}", self.log_of(&[job], broken_at));
        let again = runs.iter().filter(|run| run.started_at > broken_at);
        assert!(
            again.count() >= tasks as usize,
            "the second attempt ran nothing: {}",
            self.log_of(&[job], broken_at)
        );
        self.assert_no_overlap(&runs, job, broken_at);
        Ok(())
    }

    fn assert_no_overlap(&self, runs: &[Execution], job: u64, broken_at: Instant) {
        for (i, one) in runs.iter().enumerate() {
            for other in &runs[i + 1..] {
                let disjoint = one.ended_at.is_some_and(|end| end <= other.started_at)
                    || other.ended_at.is_some_and(|end| end <= one.started_at);
                assert!(
                    one.task != other.task || disjoint,
                    "two runs of a task at a time, in ms from the break:\n{}\n{}\nlost stops: {:?}\n{}",
                    describe(one, broken_at),
                    describe(other, broken_at),
                    self.lost_stops(broken_at),
                    self.log_of(&[job], broken_at),
                );
            }
        }
    }

    /// Returns the stop orders that were lost, with their times in milliseconds from the break.
    fn lost_stops(&self, broken_at: Instant) -> Vec<(String, i64)> {
        let endpoints = self.fleet.endpoints.iter();
        let lost = endpoints.flat_map(|endpoint| endpoint.lost_stops());
        lost.map(|(task, at)| (task, millis(at, broken_at)))
            .collect()
    }

    /// Returns the log lines of all instances that concern the jobs, racks or members, with their times in milliseconds from the
    /// break.
    fn log_of(&self, jobs: &[u64], broken_at: Instant) -> String {
        let jobs: Vec<String> = jobs.iter().map(|job| format!("{job:016x}")).collect();
        let concerns = |line: &str| {
            let of_job = jobs.iter().any(|job| line.contains(job));
            of_job || line.contains("\"rack_") || line.contains("\"member_")
        };
        let broken_ms = (SystemTime::now() - broken_at.elapsed())
            .duration_since(UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as i64);
        let time = |line: &str| {
            let fields: Value = serde_json::from_str(line).unwrap_or_default();
            fields["time_ms"].as_i64().unwrap_or(broken_ms) - broken_ms
        };
        let instances = self.fleet.instances.iter().chain([&self.entry]);
        let lines = instances.flat_map(|instance| {
            let log = instance.log();
            let lines = log.lines().filter(|line| concerns(line));
            lines
                .map(|line| (time(line), line.to_owned()))
                .collect::<Vec<_>>()
        });
        let mut lines: Vec<_> = lines.collect();
        lines.sort();
        lines
            .iter()
            .map(|(time, line)| format!("{time:6} {line}\n"))
            .collect()
    }
}

/// Submits jobs of one short task to an instance, one after another, until it's dropped.
struct Load(tokio::task::JoinHandle<()>);

impl Load {
    fn start(instance: &Instance) -> Self {
        let address = instance.caller_address();
        Self(tokio::spawn(async move {
            for job in 0x10_000_u64.. {
                let mut body = job_body(1, 60, true);
                body["spec"] = json!(BRIEF);
                let headers = [("host", HOST), ("x-poplarknot-deadline-ms", "2000")];
                let path = format!("{PREFIX}{job:016x}");
                let attempt = async {
                    let mut client = Client::connect(address).await?;
                    client.post(&path, &headers, &body).await
                };
                let _ = attempt.await;
                sleep(Duration::from_millis(5)).await;
            }
        }))
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn is_of_job(run: &Execution, job: u64) -> bool {
    run.task.starts_with(&format!("{job:016x}."))
}

/// Returns the time from the break in milliseconds, negative before it.
fn millis(at: Instant, broken_at: Instant) -> i64 {
    let after = at.saturating_duration_since(broken_at).as_millis() as i64;
    after - broken_at.saturating_duration_since(at).as_millis() as i64
}

fn describe(run: &Execution, broken_at: Instant) -> String {
    let end = run.ended_at.map(|at| millis(at, broken_at));
    let end = end.map_or("still runs".to_owned(), |end| {
        format!("{end} {}", run.outcome)
    });
    let start = millis(run.started_at, broken_at);
    format!("{} run {}: {start} to {end}", run.task, run.run)
}

fn long_job(tasks: u32) -> Value {
    job_body(tasks, TASK.as_millis() as u64, true)
}

/// Returns the bytes of a request that submits a job.
fn request(job: u64, body: &Value) -> Vec<u8> {
    let body = body.to_string();
    let length = body.len();
    format!(
        "POST {PREFIX}{job:016x} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n\
         x-poplarknot-deadline-ms: 8000\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// A late owner must notice the death of an entry: it would go on extending the leases of the entry's runs, which the caller has
/// submitted again elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn late_owner_ends_the_runs_of_a_dead_entry() -> Result {
    let world = World::start(2).await?;
    let caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    let _late = Turns::start(world.owner())?;
    sleep(Duration::from_millis(300)).await;
    world.entry.signal(Signal::SIGKILL)?;
    let broken_at = Instant::now();
    world.retry(JOB, 2, broken_at).await?;
    drop(caller);
    Ok(())
}

/// Stop orders that an endpoint doesn't get must not keep a run alive: starts for other callers on that endpoint would extend its
/// lease beyond the time at which the caller comes again.
#[tokio::test(flavor = "multi_thread")]
async fn lost_stops_leave_no_run_of_a_dead_entry() -> Result {
    let world = World::start(2).await?;
    let caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    let _load = Load::start(world.owner());
    world.entry.signal(Signal::SIGKILL)?;
    let broken_at = Instant::now();
    world.fleet.endpoints[FIRST_CENTRE.1].lose_stops(FAULT_DURATION);
    world.retry(JOB, 2, broken_at).await?;
    drop(caller);
    Ok(())
}

/// The link to an endpoint holds all bytes when the owner finds that the entry is dead: neither the stops nor anything else
/// arrives, and the lease of the last poll before must have expired when the caller comes again.
#[tokio::test(flavor = "multi_thread")]
async fn held_link_leaves_no_run_of_a_dead_entry() -> Result {
    let world = World::start_behind_proxies().await?;
    let caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    let _load = Load::start(world.owner());
    world.entry.signal(Signal::SIGKILL)?;
    let broken_at = Instant::now();
    // Just before the owner has heard nothing for 600 ms: the entry's last heartbeat left up to 100 ms before the kill.
    sleep_until(broken_at + Duration::from_millis(490)).await;
    let held = Mode::Delay {
        up: FAULT_DURATION,
        down: Duration::ZERO,
    };
    world.fleet.proxies.endpoints[FIRST_CENTRE.1].set_mode(held);
    world.retry(JOB, 2, broken_at).await?;
    drop(caller);
    Ok(())
}

/// An entry that sees the break of its caller's connection late must not leave a run until the caller comes again, even if the
/// stops are lost as well: all that its owner hears from it is that it lives.
#[tokio::test(flavor = "multi_thread")]
async fn late_entry_leaves_no_run_of_a_broken_caller() -> Result {
    /// Shorter than the pause after which an instance drops all that it holds (450 ms).
    const STALL: Duration = Duration::from_millis(400);
    let world = World::start(2).await?;
    let caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    let _load = Load::start(world.owner());
    world.fleet.endpoints[FIRST_CENTRE.1].lose_stops(STALL + FAULT_DURATION);
    world.entry.signal(Signal::SIGSTOP)?;
    let stalled_at = Instant::now();
    drop(caller);
    let broken_at = Instant::now();
    sleep_until(stalled_at + STALL).await;
    world.entry.signal(Signal::SIGCONT)?;
    let _late = Turns::start(&world.entry)?;
    world.retry(JOB, 2, broken_at).await
}

/// How a caller breaks its connection off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Break {
    Close,
    Reset,
}

impl Break {
    fn apply(self, caller: TcpStream) -> Result<Instant> {
        if self == Self::Reset {
            SockRef::from(&caller).set_linger(Some(Duration::ZERO))?;
        }
        drop(caller);
        Ok(Instant::now())
    }
}

/// A caller that breaks its connection off in the middle of its job must end the job's runs, whether it closes the connection or
/// resets it, and however late the entry and the owner are.
async fn break_ends_runs(how: Break, late: bool) -> Result {
    let world = World::start(2).await?;
    let caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    let turns = |instance| late.then(|| Turns::start(instance)).transpose();
    let _late = (turns(&world.entry)?, turns(world.owner())?);
    if late {
        sleep(RUN_TIME / 2).await;
    }
    let broken_at = how.apply(caller)?;
    world.retry(JOB, 2, broken_at).await
}

/// An entry must notice that a caller has closed its connection.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_ends_the_runs() -> Result {
    break_ends_runs(Break::Close, false).await
}

/// An entry must notice that a caller has reset its connection.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connection_ends_the_runs() -> Result {
    break_ends_runs(Break::Reset, false).await
}

/// A late entry and a late owner must end the runs of a closed connection before the caller comes again.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_ends_the_runs_of_late_instances() -> Result {
    break_ends_runs(Break::Close, true).await
}

/// A late entry and a late owner must end the runs of a reset connection before the caller comes again.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connection_ends_the_runs_of_late_instances() -> Result {
    break_ends_runs(Break::Reset, true).await
}

/// A further request that waits on a connection must not hide that the connection is closed: bytes that are still unread keep the
/// server from reading on to the end.
async fn break_behind_unread_bytes_ends_runs(bytes: &[u8], how: Break) -> Result {
    let world = World::start(2).await?;
    let mut caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    caller.write_all(bytes).await?;
    sleep(Duration::from_millis(100)).await;
    let broken_at = how.apply(caller)?;
    world.retry(JOB, 2, broken_at).await
}

/// See [`break_behind_unread_bytes_ends_runs`]: the further request is complete.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_with_a_pipelined_request_ends_the_runs() -> Result {
    let next = request(JOB + 1, &long_job(1));
    break_behind_unread_bytes_ends_runs(&next, Break::Close).await
}

/// See [`break_behind_unread_bytes_ends_runs`]: the connection is reset.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connection_with_a_pipelined_request_ends_the_runs() -> Result {
    let next = request(JOB + 1, &long_job(1));
    break_behind_unread_bytes_ends_runs(&next, Break::Reset).await
}

/// See [`break_behind_unread_bytes_ends_runs`]: some clients send an empty line after a body.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_after_an_empty_line_ends_the_runs() -> Result {
    break_behind_unread_bytes_ends_runs(b"\r\n", Break::Close).await
}

/// A caller that has shut down only its write side, then closes the connection, must not find a run of its first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn half_closed_connection_leaves_no_runs() -> Result {
    let world = World::start(2).await?;
    let mut caller = world.submit(JOB, 2).await?;
    world.wait_for_runs(JOB, 2).await?;
    caller.shutdown().await?;
    let half_closed_at = Instant::now();
    sleep(Duration::from_millis(300)).await;
    for run in world.first_runs(JOB) {
        println!("after the half-close: {}", describe(&run, half_closed_at));
    }
    let broken_at = Break::Close.apply(caller)?;
    world.retry(JOB, 2, broken_at).await
}

/// The callers whose connections break at once.
const CALLERS: u64 = 10;

/// Breaks the connections of [`CALLERS`] callers at once, whose jobs begin at `first_job`, and submits the jobs again. `make_late`
/// makes instances late until the end.
async fn break_many<T>(
    world: &World,
    first_job: u64,
    make_late: impl AsyncFnOnce() -> Result<T>,
) -> Result {
    let jobs: Vec<u64> = (first_job..first_job + CALLERS).collect();
    let mut callers = Vec::new();
    for job in &jobs {
        callers.push(world.submit(*job, 1).await?);
    }
    for job in &jobs {
        // After an earlier round the owner's rack may not have room yet; the tasks run elsewhere then.
        wait_until("each first attempt runs", || async {
            (!world.runs(*job).is_empty()).then_some(())
        })
        .await
        .map_err(|e| format!("{e}\n{}", world.log_of(&[*job], Instant::now())))?;
    }
    sleep(RUN_TIME / 2).await;
    let _late = make_late().await?;
    sleep(RUN_TIME / 2).await;
    drop(callers);
    let broken_at = Instant::now();
    let retries = jobs.iter().map(|job| world.retry(*job, 1, broken_at));
    futures::future::try_join_all(retries).await?;
    Ok(())
}

/// Many callers' connections that break at once must leave no run until the callers come again, while the owner is late and under
/// load.
#[tokio::test(flavor = "multi_thread")]
async fn many_broken_connections_leave_no_runs() -> Result {
    let world = World::start(8).await?;
    let make_late = async || {
        let load = Load::start(world.owner());
        Ok((load, Turns::start(world.owner())?))
    };
    break_many(&world, JOB, make_late).await
}

/// An entry and an owner that hardly run must neither leave a run nor start one for callers whose connections broke at once: the
/// entry still lives for the owner, whose runs go on or are started again after the callers came again.
#[tokio::test(flavor = "multi_thread")]
async fn many_broken_connections_leave_no_runs_of_instances_that_hardly_run() -> Result {
    /// Whether an order is delayed depends on when in the turns the connections break.
    const ROUNDS: u64 = 6;
    let world = World::start(8).await?;
    for round in 0..ROUNDS {
        let make_late = async || {
            let load = [(); 8].map(|()| Load::start(world.owner()));
            let owner = Turns::start_long(world.owner())?;
            sleep(Duration::from_millis(30 + 60 * round)).await;
            Ok((load, owner, Turns::start_long(&world.entry)?))
        };
        break_many(&world, JOB + round * CALLERS, make_late).await?;
        // The instances find each other again, and the owner its racks.
        sleep(Duration::from_secs(4)).await;
    }
    Ok(())
}

/// When a request and the end of its connection reach an instance that doesn't run for a while.
#[derive(Debug, Clone, Copy)]
struct LateRequest {
    /// How long after the caller's break they arrive: the link has held them.
    held: Duration,
    /// How long the instance doesn't run from then on.
    stopped: Duration,
}

impl LateRequest {
    /// Delivers a job's request and the end of its connection to an instance that finds both, and the connection, at once. The job is
    /// submitted again at `third` [`RETRY_DELAY`] after the break, and no task of it may run twice at a time.
    async fn deliver(self, world: &World, to: &Instance, job: u64, how: Break) -> Result {
        let broken_at = Instant::now();
        let retry = async {
            sleep_until(broken_at + RETRY_DELAY).await;
            let third = world.third();
            let mut client = Client::connect(third.caller_address()).await?;
            third.submit_over(&mut client, job, &long_job(2)).await
        };
        let deliver = async {
            sleep_until(broken_at + self.held).await;
            to.signal(Signal::SIGSTOP)?;
            let mut caller = TcpStream::connect(to.caller_address()).await?;
            caller.write_all(&request(job, &long_job(2))).await?;
            how.apply(caller)?;
            sleep(self.stopped).await;
            to.signal(Signal::SIGCONT)
        };
        let (answer, ()) = tokio::try_join!(retry, deliver)?;
        let runs = world.runs(job);
        for run in &runs {
            println!("{}", describe(run, broken_at));
        }
        assert_eq!(answer.status, 200, "{}", world.log_of(&[job], broken_at));
        world.assert_no_overlap(&runs, job, broken_at);
        Ok(())
    }
}

/// A request whose caller has come again by the time at which its link delivers it.
const HELD_REQUEST: LateRequest = LateRequest {
    held: Duration::from_millis(1_700),
    stopped: Duration::from_millis(50),
};

/// An owner that reads a request when its caller has closed the connection must not start its tasks.
#[tokio::test(flavor = "multi_thread")]
async fn held_request_of_a_closed_connection_starts_no_task_at_an_owner() -> Result {
    let world = World::start(2).await?;
    HELD_REQUEST
        .deliver(&world, world.owner(), JOB, Break::Close)
        .await
}

/// An owner that reads a request when its caller has reset the connection must not start its tasks.
#[tokio::test(flavor = "multi_thread")]
async fn held_request_of_a_reset_connection_starts_no_task_at_an_owner() -> Result {
    let world = World::start(2).await?;
    HELD_REQUEST
        .deliver(&world, world.owner(), JOB, Break::Reset)
        .await
}

/// An entry that reads a request when its caller has closed the connection must not have its tasks started elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn held_request_of_a_closed_connection_starts_no_task_at_an_entry() -> Result {
    let world = World::start(2).await?;
    HELD_REQUEST
        .deliver(&world, &world.entry, JOB, Break::Close)
        .await
}

/// An instance that doesn't run while its caller sends a request, breaks off and comes again must not start the request's tasks.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_read_after_a_pause_starts_no_task_of_a_caller_that_has_gone() -> Result {
    for stopped in [440, 1_200, 1_600, 4_000] {
        for at_owner in [true, false] {
            let world = World::start(2).await?;
            let late = LateRequest {
                held: Duration::ZERO,
                stopped: Duration::from_millis(stopped),
            };
            let to = match at_owner {
                true => world.owner(),
                false => &world.entry,
            };
            println!("stopped for {stopped} ms, at its owner: {at_owner}");
            late.deliver(&world, to, JOB, Break::Close).await?;
        }
    }
    Ok(())
}

/// Delivers jobs' requests and the ends of their connections to an instance that finds them at once, and checks that no task starts.
async fn no_request_starts(
    world: &World,
    to: &Instance,
    jobs: std::ops::Range<u64>,
    behind: &[u8],
) -> Result {
    to.signal(Signal::SIGSTOP)?;
    for job in jobs.clone() {
        let mut caller = TcpStream::connect(to.caller_address()).await?;
        let bytes = [request(job, &long_job(1)), behind.to_vec()].concat();
        caller.write_all(&bytes).await?;
        [Break::Close, Break::Reset][job as usize % 2].apply(caller)?;
    }
    to.signal(Signal::SIGCONT)?;
    sleep(RUN_TIME).await;
    let started: Vec<u64> = jobs.filter(|job| !world.runs(*job).is_empty()).collect();
    assert!(started.is_empty(), "these jobs started: {started:x?}");
    Ok(())
}

/// An instance that finds many connections to accept, whose callers have sent their requests and gone, must start none of their tasks.
#[tokio::test(flavor = "multi_thread")]
async fn many_requests_of_callers_that_have_gone_start_no_tasks() -> Result {
    const COUNT: u64 = 200;
    let world = World::start(8).await?;
    no_request_starts(&world, world.owner(), JOB..JOB + COUNT, b"").await?;
    no_request_starts(&world, &world.entry, JOB + COUNT..JOB + 2 * COUNT, b"").await
}

/// Bytes behind a request must not hide that its caller has gone before the request is read: its task must not start.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_a_request_hide_no_caller_that_has_gone() -> Result {
    let world = World::start(2).await?;
    no_request_starts(&world, world.owner(), JOB..JOB + 2, b"\r\n").await
}

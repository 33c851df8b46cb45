//! Runs a whole cluster on loopback, submits a burst, and submits it again elsewhere.
//!
//! Platform, workers and instances are separate processes: this program starts itself again with the name of a role.

#[path = "../tests/support.rs"]
mod support;

use std::{
    net::SocketAddr,
    process::{
        ExitCode,
        Stdio, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use poplarknot::{
    prelude::*,
    table::wire::{
        List,
        Worker as Entry, //
    }, //
};
use support::{
    client::{
        self,
        Client,
        Response, //
    },
    cluster,
    instance::{
        self,
        Instance, //
    },
    platform::{
        Platform,
        Settings, //
    },
    worker::{
        self,
        Worker, //
    },
    Result,
    WAIT_TIMEOUT, //
};
use tokio::{
    io::{
        AsyncBufReadExt as _,
        BufReader, //
    },
    process::{
        Child,
        Command, //
    }, //
};

/// Data centres; workers and instances are spread over them round robin.
const CENTRES: [&str; 2] = ["ulemiste-a", "maardu"];
const WORKERS: usize = 4;
const INSTANCES: usize = 2;
/// Run times of the tasks in milliseconds, repeated in this order.
const TASK_MS: [u64; 6] = [60, 90, 120, 200, 350, 500];
/// Tasks of the burst.
const TASKS: usize = 24;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let roles: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match roles.as_slice() {
        [] => block_on(demonstrate()),
        ["platform"] => block_on(run_platform()),
        ["worker", name, centre] => block_on(run_worker(name, centre)),
        ["instance", ..] => return run_instance(&arguments[1..]),
        _ => Err("usage: quickstart".into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs an instance with the arguments of the `poplarknot` program.
fn run_instance(arguments: &[String]) -> ExitCode {
    poplarknot::cli::run(arguments.iter().cloned())
}

/// Runs a future to its end on a new runtime of two threads.
fn block_on(work: impl std::future::Future<Output = Result>) -> Result {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(work)
}

/// Runs a stand-in of the platform until the standard input ends, and prints its address.
async fn run_platform() -> Result {
    let platform = Platform::start(Settings::default())?;
    println!("{}", serde_json::to_string(&platform.address())?);
    wait_for_end_of_input().await
}

/// Runs a worker until the standard input ends, and prints its entry of the list of endpoints.
async fn run_worker(name: &str, centre: &str) -> Result {
    let worker = Worker::start(worker::new_entry(name, centre))?;
    println!("{}", serde_json::to_string(&worker.entry())?);
    wait_for_end_of_input().await
}

/// Waits until the standard input ends: the parent process has closed it or has exited.
async fn wait_for_end_of_input() -> Result {
    let read = || std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    tokio::task::spawn_blocking(read).await??;
    Ok(())
}

/// The processes of the demonstration; they are killed on drop.
#[derive(Default)]
struct Processes {
    children: Vec<Child>,
    instances: Vec<Instance>,
    workers: Vec<Entry>,
}

impl Processes {
    /// Starts a process with a role, and parses the line that it prints once it listens.
    async fn start_process<T: serde::de::DeserializeOwned>(&mut self, role: &[&str]) -> Result<T> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(role)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let output = child.stdout.take().ok_or("no standard output")?;
        self.children.push(child);
        let mut line = String::new();
        let mut output = BufReader::new(output);
        tokio::time::timeout(WAIT_TIMEOUT, output.read_line(&mut line)).await??;
        Ok(serde_json::from_str(&line)?)
    }

    /// Starts the platform, the workers and the instances, and submits the configuration.
    async fn start(&mut self) -> Result {
        let platform: SocketAddr = self.start_process(&["platform"]).await?;
        for i in 0..WORKERS {
            let name = format!("worker-{i}");
            let entry = self
                .start_process(&["worker", &name, CENTRES[i % CENTRES.len()]])
                .await?;
            self.workers.push(entry);
        }
        for i in 0..INSTANCES {
            let (name, centre) = (format!("entry-{i}"), CENTRES[i % CENTRES.len()]);
            let builder = instance::Builder::new(std::env::current_exe()?, &name, centre, platform)
                .argument("instance")
                .set("timing", "list", "200ms");
            self.instances.push(builder.start().await?);
        }
        self.publish_list(platform).await?;
        cluster::apply_records(&self.instances, &cluster::default_records()).await
    }

    /// Publishes the list of all instances and workers on the platform.
    async fn publish_list(&self, platform: SocketAddr) -> Result {
        let members = self.instances.iter().map(|i| i.member(i.peer_address));
        let list = List {
            instances: members.collect::<Result<_>>()?,
            endpoints: self.workers.clone(),
        };
        let list = serde_json::to_vec(&list)?;
        let mut client = Client::connect(platform).await?;
        client
            .send(hyper::Method::PUT, "/instances", &[], list)
            .await?;
        Ok(())
    }

    /// Returns how many tasks the workers have started so far.
    async fn count_starts(&self) -> Result<u64> {
        let mut starts = 0;
        for worker in &self.workers {
            let counters = client::get(worker.address.parse()?, "/counters").await?;
            starts += counters.json::<worker::Counters>()?.ran;
        }
        Ok(starts)
    }

    /// Stops all processes: the instances drain, the others see the end of their standard input.
    async fn stop(mut self) -> Result {
        for instance in &mut self.instances {
            instance.stop()?;
            instance.wait_for_exit().await?;
        }
        for child in &mut self.children {
            drop(child.stdin.take());
            child.wait().await?;
        }
        Ok(())
    }
}

/// Runs the demonstration, and stops all processes even if it fails.
async fn demonstrate() -> Result {
    let mut processes = Processes::default();
    let result = run_demonstration(&mut processes).await;
    let stopped = processes.stop().await;
    result.and(stopped)?;
    println!("\nAll processes have ended.");
    Ok(())
}

/// Submits the burst to one instance, then again to the other, and checks that no task started twice.
async fn run_demonstration(processes: &mut Processes) -> Result {
    processes.start().await?;
    println!("A platform, {WORKERS} workers and {INSTANCES} instances run on loopback:");
    for instance in &processes.instances {
        let builder = &instance.builder;
        println!(
            "  {} in {}, callers at {}",
            builder.name(),
            builder.centre(),
            instance.caller_address
        );
    }

    let sleeps_ms = TASK_MS.iter().copied().cycle().take(TASKS);
    let job = cluster::new_job("quickstart", sleeps_ms.clone());
    let ideal = Duration::from_millis(sleeps_ms.max().unwrap_or(0));
    println!("\nA burst of {TASKS} tasks goes to entry-0, under the key `quickstart`:");
    let (first, took) = submit(&processes.instances[0], &job).await?;
    print_outcome(&first)?;
    let ratio = took.as_secs_f64() / ideal.as_secs_f64();
    println!(
        "  It took {took:.1?} against an ideal of {ideal:.1?} (the longest task): {ratio:.3}."
    );
    let starts = processes.count_starts().await?;
    println!("  The workers started {starts} tasks.");

    println!("\nThe same burst goes to entry-1, as from a caller that believes it lost:");
    let (second, took) = submit(&processes.instances[1], &job).await?;
    print_outcome(&second)?;
    let is_same = first.body == second.body;
    println!(
        "  It took {took:.1?}; the answer is {}.",
        if is_same { "the same" } else { "another" }
    );
    let starts_after = processes.count_starts().await?;
    println!(
        "  The workers have started {starts_after} tasks, {} more than before.",
        starts_after - starts
    );
    if starts_after != starts {
        return Err("a task started twice".into());
    }
    Ok(())
}

/// Submits a job, and returns the response and the response time without that of connecting.
async fn submit(instance: &Instance, job: &serde_json::Value) -> Result<(Response, Duration)> {
    let mut client = Client::connect(instance.caller_address).await?;
    let begin = Instant::now();
    let answer = client.post("/v1/jobs", &[], job).await?;
    Ok((answer, begin.elapsed()))
}

/// Prints the outcome that a response tells.
fn print_outcome(response: &Response) -> Result {
    let answer: Answer = response.answer()?;
    let results = answer.results.len();
    println!(
        "  The outcome is {}, with {results} results. {}",
        answer.outcome, answer.detail
    );
    Ok(())
}

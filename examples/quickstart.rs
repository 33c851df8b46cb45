//! Runs a whole cluster on loopback, submits a burst, and submits it again elsewhere.
//!
//! Every part is a process of its own: this program starts itself again with the name of a role.

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
    },
};

use poplarknot::{
    prelude::*,
    table::wire::{
        List,
        Worker as Entry, //
    },
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
    },
};

const CENTRES: [&str; 2] = ["ulemiste-a", "maardu"];
const WORKERS: usize = 4;
const INSTANCES: usize = 2;
/// Run times of the tasks in milliseconds, by turns.
const SLEEPS: [u64; 6] = [60, 90, 120, 200, 350, 500];
const TASKS: usize = 24;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
        [] => wait(demonstrate()),
        ["platform"] => wait(play_platform()),
        ["worker", name, centre] => wait(play_worker(name, centre)),
        ["instance", ..] => return play_instance(&arguments[1..]),
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
fn play_instance(arguments: &[String]) -> ExitCode {
    poplarknot::cli::run(arguments.iter().cloned())
}

fn wait(work: impl std::future::Future<Output = Result>) -> Result {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(work)
}

async fn play_platform() -> Result {
    let platform = Platform::start(Settings::default())?;
    println!("{}", serde_json::to_string(&platform.address())?);
    end_of_input().await
}

async fn play_worker(name: &str, centre: &str) -> Result {
    let worker = Worker::start(worker::new_entry(name, centre))?;
    println!("{}", serde_json::to_string(&worker.entry())?);
    end_of_input().await
}

/// Waits until the process that holds the other end of the standard input lets go of it.
async fn end_of_input() -> Result {
    let read = || std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
    tokio::task::spawn_blocking(read).await??;
    Ok(())
}

/// The processes of the demonstration, all killed when dropped.
#[derive(Default)]
struct Cast {
    children: Vec<Child>,
    instances: Vec<Instance>,
    workers: Vec<Entry>,
}

impl Cast {
    /// Starts a role and reads the line that it prints once it listens.
    async fn play<T: serde::de::DeserializeOwned>(&mut self, role: &[&str]) -> Result<T> {
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

    async fn start(&mut self) -> Result {
        let platform: SocketAddr = self.play(&["platform"]).await?;
        for i in 0..WORKERS {
            let name = format!("worker-{i}");
            let entry = self
                .play(&["worker", &name, CENTRES[i % CENTRES.len()]])
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
        self.enlist(platform).await?;
        cluster::apply_records(&self.instances, &cluster::default_records()).await
    }

    /// Puts everybody on the platform's list.
    async fn enlist(&self, platform: SocketAddr) -> Result {
        let members = self.instances.iter().map(|i| i.member(i.peers));
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

    /// Counts the tasks that the workers have started.
    async fn starts(&self) -> Result<u64> {
        let mut starts = 0;
        for worker in &self.workers {
            let counters = client::get(worker.address.parse()?, "/counters").await?;
            starts += counters.json::<worker::Counters>()?.ran;
        }
        Ok(starts)
    }

    /// Ends everything: instances drain, the others see the end of their input.
    async fn end(mut self) -> Result {
        for instance in &mut self.instances {
            instance.stop()?;
            instance.wait_exit().await?;
        }
        for child in &mut self.children {
            drop(child.stdin.take());
            child.wait().await?;
        }
        Ok(())
    }
}

async fn demonstrate() -> Result {
    let mut cast = Cast::default();
    let result = show(&mut cast).await;
    let ended = cast.end().await;
    result.and(ended)?;
    println!("\nAll processes have ended.");
    Ok(())
}

async fn show(cast: &mut Cast) -> Result {
    cast.start().await?;
    println!("A platform, {WORKERS} workers and {INSTANCES} instances run on loopback:");
    for instance in &cast.instances {
        let builder = &instance.builder;
        println!(
            "  {} in {}, callers at {}",
            builder.name(),
            builder.centre(),
            instance.callers
        );
    }

    let sleeps = SLEEPS.iter().copied().cycle().take(TASKS);
    let job = cluster::job("quickstart", sleeps.clone());
    let ideal = Duration::from_millis(sleeps.max().unwrap_or(0));
    println!("\nA burst of {TASKS} tasks goes to entry-0, under the key `quickstart`:");
    let (first, took) = submit(&cast.instances[0], &job).await?;
    report(&first)?;
    let ratio = took.as_secs_f64() / ideal.as_secs_f64();
    println!(
        "  It took {took:.1?} against an ideal of {ideal:.1?} (the longest task): {ratio:.3}."
    );
    let starts = cast.starts().await?;
    println!("  The workers started {starts} tasks.");

    println!("\nThe same burst goes to entry-1, as from a caller that believes it lost:");
    let (second, took) = submit(&cast.instances[1], &job).await?;
    report(&second)?;
    let same = first.body == second.body;
    println!(
        "  It took {took:.1?}; the answer is {}.",
        if same { "the same" } else { "another" }
    );
    let again = cast.starts().await?;
    println!(
        "  The workers have started {again} tasks, {} more than before.",
        again - starts
    );
    if again != starts {
        return Err("a task started twice".into());
    }
    Ok(())
}

/// Submits a job on a connection that is already open, as a caller would, and takes the time.
async fn submit(instance: &Instance, job: &serde_json::Value) -> Result<(Response, Duration)> {
    let mut client = Client::connect(instance.callers).await?;
    let begin = Instant::now();
    let answer = client.post("/v1/jobs", &[], job).await?;
    Ok((answer, begin.elapsed()))
}

fn report(response: &Response) -> Result {
    let answer: Answer = response.answer()?;
    let results = answer.results.len();
    println!(
        "  The outcome is {}, with {results} results. {}",
        answer.outcome, answer.detail
    );
    Ok(())
}

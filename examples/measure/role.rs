//! Stand-ins of the platform and of workers as processes.
//!
//! Each prints its addresses or list entries in a line of JSON, then replies to each request, a line of JSON on the standard
//! input, with its counters.

use std::{
    io::Write as _,
    process::Stdio,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use poplarknot::table::wire::{
    List,
    Worker as Entry, //
};
use serde::{
    de::DeserializeOwned,
    Deserialize,
    Serialize, //
};
use tokio::{
    io::{
        AsyncBufReadExt as _,
        AsyncWriteExt as _,
        BufReader, //
    },
    process::{
        Child,
        ChildStdin,
        ChildStdout,
        Command, //
    }, //
};

use crate::{
    fleet::CENTRES,
    support::{
        platform::{
            self,
            Platform, //
        },
        server::Server,
        worker::{
            self,
            Worker, //
        },
        Result,
        WAIT_TIMEOUT, //
    }, //
};

/// A request to a stand-in; workers are given by their indices within the process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Request {
    /// Only reply with the counters: of the platform, or summed over the workers.
    Count,
    /// Platform: serve this list.
    List(List),
    /// Platform: serve these lists, one in the view of each data centre.
    Views(Vec<List>),
    /// Platform: go down, or come up again.
    Down(bool),
    /// Workers: fail every task.
    Fail(Vec<usize>),
    /// Workers: run tasks slower by this factor.
    Slow(Vec<usize>, f64),
    /// Workers: close all connections and end all tasks.
    Kill(Vec<usize>),
}

/// Runs the platform until the standard input ends, with a view of the list for each data centre.
pub(crate) async fn run_platform() -> Result {
    let settings = platform::Settings {
        commit_latency: Duration::from_millis(5),
        ..platform::Settings::default()
    };
    let platform = Platform::start(settings)?;
    let lists: Arc<Mutex<Vec<List>>> = Arc::default();
    let view = |i: usize| {
        let lists = lists.clone();
        platform.serve_view(move |list| {
            let lists = lists.lock().unwrap();
            *list = lists.get(i).cloned().unwrap_or_default();
        })
    };
    let views: Vec<Server> = (0..CENTRES.len()).map(view).collect::<Result<_>>()?;
    let addresses = views.iter().map(Server::address);
    let addresses: Vec<_> = [platform.address()].into_iter().chain(addresses).collect();
    print_json(&addresses)?;
    let mut requests = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = requests.next_line().await? {
        match serde_json::from_str(&line)? {
            Request::List(list) => platform.update_list(|l| *l = list),
            Request::Views(changed) => *lists.lock().unwrap() = changed,
            Request::Down(true) => platform.close().await,
            Request::Down(false) => platform.reopen()?,
            _ => {}
        }
        print_json(&platform.counters())?;
    }
    Ok(())
}

/// Runs the workers that `entries`, a JSON array, describes, until the standard input ends.
pub(crate) async fn run_workers(entries: &str) -> Result {
    let entries: Vec<Entry> = serde_json::from_str(entries)?;
    let workers = entries.into_iter().map(Worker::start);
    let workers: Vec<Worker> = workers.collect::<Result<_>>()?;
    print_json(&workers.iter().map(Worker::entry).collect::<Vec<_>>())?;
    let mut requests = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = requests.next_line().await? {
        apply_request(&workers, serde_json::from_str(&line)?).await;
        print_json(&sum_counters(&workers))?;
    }
    Ok(())
}

/// Applies a request to workers; ignores those for the platform.
async fn apply_request(workers: &[Worker], request: Request) {
    match request {
        Request::Fail(indices) => indices
            .iter()
            .for_each(|i| workers[*i].update_behaviour(|b| b.fail = true)),
        Request::Slow(indices, factor) => indices
            .iter()
            .for_each(|i| workers[*i].update_behaviour(|b| b.sleep_factor = factor)),
        Request::Kill(indices) => {
            for i in indices {
                workers[i].kill().await;
            }
        }
        _ => {}
    }
}

/// Returns the sum of the counters of all workers.
fn sum_counters(workers: &[Worker]) -> worker::Counters {
    let add = |sum: worker::Counters, one: worker::Counters| worker::Counters {
        starts: sum.starts + one.starts,
        looks: sum.looks + one.looks,
        unseen: sum.unseen + one.unseen,
        stops: sum.stops + one.stops,
        ran: sum.ran + one.ran,
    };
    let counters = workers.iter().map(Worker::counters);
    counters.fold(worker::Counters::default(), add)
}

/// Prints a value as a line of JSON, and flushes.
fn print_json(value: &impl Serialize) -> Result {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(value)?)?;
    Ok(out.flush()?)
}

/// A stand-in in a child process, which is killed on drop.
pub(crate) struct Process {
    _child: Child,
    requests: ChildStdin,
    replies: BufReader<ChildStdout>,
}

impl Process {
    /// Starts this program again in a role, and returns the first line that it prints.
    pub(crate) async fn start<T: DeserializeOwned>(role: &[&str]) -> Result<(Self, T)> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(role)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let requests = child.stdin.take().ok_or("no standard input")?;
        let replies = BufReader::new(child.stdout.take().ok_or("no standard output")?);
        let mut process = Self {
            _child: child,
            requests,
            replies,
        };
        let announcement = process.read_reply().await?;
        Ok((process, announcement))
    }

    /// Sends a request, and returns the counters of the reply.
    pub(crate) async fn send<T: DeserializeOwned>(&mut self, request: &Request) -> Result<T> {
        let line = format!("{}\n", serde_json::to_string(request)?);
        self.requests.write_all(line.as_bytes()).await?;
        self.read_reply().await
    }

    /// Reads a line from the stand-in, and parses it; gives up after [`WAIT_TIMEOUT`].
    async fn read_reply<T: DeserializeOwned>(&mut self) -> Result<T> {
        let mut line = String::new();
        tokio::time::timeout(WAIT_TIMEOUT, self.replies.read_line(&mut line)).await??;
        Ok(serde_json::from_str(&line)?)
    }
}

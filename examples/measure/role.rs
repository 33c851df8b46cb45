//! The stand-ins as processes: each prints what it offers, then takes an order a line on standard input.

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
    },
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
    },
};

/// Something that a stand-in is told to do.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Order {
    /// Tell the counters: of the platform, or added up over the workers.
    Count,
    /// Show this list, the platform.
    List(List),
    /// Show these lists in its views, the platform.
    Views(Vec<List>),
    /// Answer nothing, or again, the platform.
    Down(bool),
    /// Fail every task, the workers of these places.
    Fail(Vec<usize>),
    /// Run slower by this factor, the workers of these places.
    Slow(Vec<usize>, f64),
    /// End with all connections and tasks, the workers of these places.
    Kill(Vec<usize>),
}

/// Plays the platform; besides its own address it offers a view for each data centre.
pub(crate) async fn play_platform() -> Result {
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
    say(&addresses)?;
    let mut orders = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = orders.next_line().await? {
        match serde_json::from_str(&line)? {
            Order::List(list) => platform.update_list(|l| *l = list),
            Order::Views(changed) => *lists.lock().unwrap() = changed,
            Order::Down(true) => platform.take_down().await,
            Order::Down(false) => platform.bring_up()?,
            _ => {}
        }
        say(&platform.counters())?;
    }
    Ok(())
}

/// Plays the workers that `entries` describes.
pub(crate) async fn play_workers(entries: &str) -> Result {
    let entries: Vec<Entry> = serde_json::from_str(entries)?;
    let workers = entries.into_iter().map(Worker::start);
    let workers: Vec<Worker> = workers.collect::<Result<_>>()?;
    say(&workers.iter().map(Worker::entry).collect::<Vec<_>>())?;
    let mut orders = BufReader::new(tokio::io::stdin()).lines();
    while let Some(line) = orders.next_line().await? {
        obey(&workers, serde_json::from_str(&line)?).await;
        say(&total(&workers))?;
    }
    Ok(())
}

async fn obey(workers: &[Worker], order: Order) {
    match order {
        Order::Fail(places) => places
            .iter()
            .for_each(|i| workers[*i].update_behaviour(|b| b.fail = true)),
        Order::Slow(places, factor) => places
            .iter()
            .for_each(|i| workers[*i].update_behaviour(|b| b.sleep_factor = factor)),
        Order::Kill(places) => {
            for i in places {
                workers[i].kill().await;
            }
        }
        _ => {}
    }
}

fn total(workers: &[Worker]) -> worker::Counters {
    let add = |sum: worker::Counters, one: worker::Counters| worker::Counters {
        starts: sum.starts + one.starts,
        looks: sum.looks + one.looks,
        stops: sum.stops + one.stops,
        ran: sum.ran + one.ran,
    };
    let counters = workers.iter().map(Worker::counters);
    counters.fold(worker::Counters::default(), add)
}

fn say(what: &impl Serialize) -> Result {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(what)?)?;
    Ok(out.flush()?)
}

/// A stand-in in a process of its own, which ends when this is dropped.
pub(crate) struct Process {
    _child: Child,
    orders: ChildStdin,
    replies: BufReader<ChildStdout>,
}

impl Process {
    /// Starts this program again in a role, and reads what it offers.
    pub(crate) async fn start<T: DeserializeOwned>(role: &[&str]) -> Result<(Self, T)> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(role)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let orders = child.stdin.take().ok_or("no standard input")?;
        let replies = BufReader::new(child.stdout.take().ok_or("no standard output")?);
        let mut process = Self {
            _child: child,
            orders,
            replies,
        };
        let offer = process.reply().await?;
        Ok((process, offer))
    }

    /// Gives an order and reads the counters that come back.
    pub(crate) async fn order<T: DeserializeOwned>(&mut self, order: &Order) -> Result<T> {
        let line = format!("{}\n", serde_json::to_string(order)?);
        self.orders.write_all(line.as_bytes()).await?;
        self.reply().await
    }

    async fn reply<T: DeserializeOwned>(&mut self) -> Result<T> {
        let mut line = String::new();
        tokio::time::timeout(WAIT_TIMEOUT, self.replies.read_line(&mut line)).await??;
        Ok(serde_json::from_str(&line)?)
    }
}

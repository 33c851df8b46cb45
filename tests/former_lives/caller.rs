//! Callers that submit one job after another, and keep their connections until they are closed.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use hyper::Method;
use rand::{
    rngs::SmallRng,
    Rng as _, //
};
use serde_json::{
    json,
    Value, //
};
use tokio::time::{
    sleep,
    timeout, //
};

use super::{
    endpoint::RUN_FOR,
    fleet::{
        HOST,
        PREFIX, //
    },
    support::{
        client::{
            Client,
            Response, //
        },
        Result,
        WAIT_TIMEOUT, //
    },
    world::World, //
};

/// The delay before a caller submits its job again.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Submissions of one job at the most.
const MAX_SUBMISSIONS: usize = 4;
/// How long a caller waits for an answer by its request, in milliseconds.
const DEADLINE_MS: &str = "8000";

/// A job that is submitted until it's answered.
struct Job {
    id: u64,
    tasks: usize,
    /// How long each task runs, in milliseconds.
    duration: u64,
    stored: bool,
}

impl Job {
    fn draw(id: u64, stored: bool, random: &mut SmallRng) -> Self {
        let duration = match random.random_range(0..10) {
            0..4 => random.random_range(60..400),
            4..7 => random.random_range(2_500..4_000),
            _ => random.random_range(1_500..2_500),
        };
        Self {
            id,
            tasks: random.random_range(1..4),
            duration,
            stored,
        }
    }

    fn path(&self) -> String {
        format!("{PREFIX}{:016x}", self.id)
    }

    fn body(&self) -> Value {
        json!({
            "spec": format!("{RUN_FOR}{}", self.duration), "best_effort": !self.stored,
            "steps": [{
                "count": self.tasks, "cpu": 1000, "mem_mb": 64, "estimated_ms": self.duration,
            }],
        })
    }
}

/// The end of a request.
enum End {
    Answered(Response),
    /// The connection couldn't be opened, so that nothing was sent.
    NotConnected,
    Broken,
    /// Neither an answer nor a broken connection.
    Missing,
}

impl End {
    fn describe(&self) -> String {
        match self {
            Self::Answered(answer) => format!("answered {}", answer.status),
            Self::NotConnected => "not connected".to_owned(),
            Self::Broken => "connection broken".to_owned(),
            Self::Missing => "no answer".to_owned(),
        }
    }

    fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status,
            _ => 0,
        }
    }

    fn text(&self) -> String {
        match self {
            Self::Answered(answer) => String::from_utf8_lossy(&answer.body).into_owned(),
            _ => String::new(),
        }
    }

    /// Returns whether it's a complete answer or a broken connection.
    fn is_proper(&self) -> bool {
        match self {
            Self::Answered(answer) if answer.status == 200 => answer.json::<Value>().is_ok(),
            Self::Answered(answer) => matches!(answer.status, 404 | 410 | 429 | 502..=504),
            Self::NotConnected | Self::Broken => true,
            Self::Missing => false,
        }
    }
}

/// A caller's connections: one to each process that it has called, for as long as the process keeps it open.
struct Caller {
    world: Arc<World>,
    connections: HashMap<String, Client>,
}

impl Caller {
    /// Sends a request to an instance.
    async fn send(&mut self, i: usize, method: Method, path: &str, body: Vec<u8>) -> End {
        let instance = self.world.slots[i].current();
        let headers = [("host", HOST), ("x-poplarknot-deadline-ms", DEADLINE_MS)];
        let exchange = async {
            let mut client = match self.connections.remove(&instance.ip) {
                Some(client) => client,
                None => match Client::connect(instance.caller_address()).await {
                    Ok(client) => client,
                    Err(_) => return End::NotConnected,
                },
            };
            let answer: Result<Response> = client.send(method, path, &headers, body).await;
            let Ok(answer) = answer else {
                return End::Broken;
            };
            if answer.header("connection") != Some("close") {
                self.connections.insert(instance.ip.clone(), client);
            }
            End::Answered(answer)
        };
        timeout(WAIT_TIMEOUT, exchange)
            .await
            .unwrap_or(End::Missing)
    }

    /// Submits a job. Returns whether the caller is done with it.
    async fn submit(&mut self, i: usize, job: &Job) -> bool {
        let name = &self.world.slots[i].current().name;
        self.world
            .record(format!("{:016x} submitted at {name}", job.id));
        let body = job.body().to_string().into_bytes();
        let end = self.send(i, Method::POST, &job.path(), body).await;
        self.record_end(job, name, &end);
        !matches!(end.status(), 0 | 502 | 504)
    }

    fn record_end(&self, job: &Job, name: &str, end: &End) {
        let (id, text) = (job.id, end.text());
        self.world
            .record(format!("{id:016x} {} at {name} {text}", end.describe()));
        let mut ledger = self.world.ledger.lock().unwrap();
        *ledger.ends.entry(end.describe()).or_default() += 1;
        let is_refused = matches!(end.status(), 404 | 429 | 503);
        *ledger.refused.entry(id).or_insert(true) &= is_refused;
        if !end.is_proper() {
            let violation = format!("{id:016x} {} at {name}: {text}", end.describe());
            ledger.violations.push(violation);
        }
        if end.status() == 200 && job.stored {
            ledger.accepted.insert(id, job.tasks);
        }
        if end.status() == 200 && text.contains("completed") {
            ledger.completed.insert(id, job.tasks);
        }
    }

    /// Queries a stored job.
    async fn query(&mut self, i: usize, job: &Job) {
        let end = self.send(i, Method::GET, &job.path(), Vec::new()).await;
        let mut ledger = self.world.ledger.lock().unwrap();
        let description = format!("query {}", end.describe());
        if !end.is_proper() {
            let violation = format!("{:016x} {description}: {}", job.id, end.text());
            ledger.violations.push(violation);
        }
        *ledger.ends.entry(description).or_default() += 1;
    }
}

/// Submits one job after another, each again at another instance after its connection broke or a 504. A third of the callers submit
/// stored jobs.
pub(crate) async fn submit_jobs(number: u64, mut random: SmallRng, world: Arc<World>) {
    let mut caller = Caller {
        world: world.clone(),
        connections: HashMap::new(),
    };
    let (mut count, mut last) = (0, usize::MAX);
    while !world.is_over() {
        count += 1;
        let job = Job::draw(
            (number + 1) << 32 | count,
            number.is_multiple_of(3),
            &mut random,
        );
        for _ in 0..MAX_SUBMISSIONS {
            last = world.choose_instance(last, &mut random);
            if caller.submit(last, &job).await || world.is_over() {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        let is_accepted = world.ledger.lock().unwrap().accepted.contains_key(&job.id);
        if is_accepted {
            let pause = Duration::from_millis(random.random_range(500..2_000));
            world.wait(pause).await;
            caller.query(last, &job).await;
        }
        sleep(Duration::from_millis(random.random_range(5..200))).await;
    }
}

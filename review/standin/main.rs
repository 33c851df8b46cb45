//! Plays a case against instances of poplarknot: stand-ins of the platform, of workers and of clients in one process, the instances
//! as processes of their own.
//!
//! Usage: standin CASE FOLDER, in the root of the repository after its build. TROUBLE=0 leaves the disruption out. Writes
//! FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cut;
mod fleet;
mod http;
mod json;
mod large_job;
mod lost;
mod record;
mod restart;
mod store;
mod twice;
mod worker;

use std::{
    collections::{BTreeMap, HashMap},
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use self::{
    fleet::{Fleet, ZONES},
    json::{quote, Json},
    record::{show_task, Record},
    store::Store,
    worker::{Kind, Worker},
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
const SERVICE: &str = "huvo11a";

/// How long a client waits for an answer, in the configuration and in its requests.
pub const PATIENCE: Duration = Duration::from_millis(1_500);

/// The longest play.
const LIMIT: Duration = Duration::from_secs(112);

/// A step of a job, as its client sends it, and how long its tasks really take.
#[derive(Clone, Default)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem_mb: u64,
    pub estimated_ms: u64,
    pub work_ms: u64,
    pub after: Vec<usize>,
    pub affinity: String,
}

/// A job that a client sends.
#[derive(Clone)]
pub struct Job {
    pub id: String,
    pub spec: String,
    pub steps: Vec<Step>,
    pub best_effort: bool,
}

impl Job {
    pub fn body(&self) -> String {
        let step = |step: &Step| {
            let Step {
                count,
                cpu,
                mem_mb,
                estimated_ms,
                ..
            } = step;
            let mut text =
                format!("{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"estimated_ms\":{estimated_ms}");
            if !step.affinity.is_empty() {
                text += &format!(",\"affinity\":{}", quote(&step.affinity));
            }
            if !step.after.is_empty() {
                let after: Vec<String> = step.after.iter().map(usize::to_string).collect();
                text += &format!(",\"after\":[{}]", after.join(","));
            }
            text + "}"
        };
        let steps: Vec<String> = self.steps.iter().map(step).collect();
        let best_effort = match self.best_effort {
            true => ",\"best_effort\":true",
            false => "",
        };
        format!(
            "{{\"spec\":{},\"steps\":[{}]{best_effort}}}",
            quote(&self.spec),
            steps.join(",")
        )
    }
}

/// What is started.
struct Deployment {
    instances: usize,
    /// Workers of 64 cores and 128 GB, each on a rack of its own.
    workers: usize,
    /// `target_duration_ms` of the queue.
    target_ms: u64,
}

/// Returns the rack of a worker.
pub fn rack(worker: usize) -> String {
    format!("r{}-{}", worker % ZONES.len() + 1, worker / ZONES.len() + 1)
}

/// A small deployment that runs.
pub struct Play {
    pub record: Record,
    pub trouble: bool,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub fleet: Fleet,
    /// The jobs that clients have sent, by their ids.
    jobs: Arc<Mutex<HashMap<String, Job>>>,
    plan: worker::Plan,
}

impl Play {
    /// Starts the store, the workers and the instances.
    fn start(record: &Record, folder: &Path, deployment: &Deployment) -> Result<Self, String> {
        let Deployment {
            instances,
            workers,
            target_ms,
        } = deployment;
        let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
        let ips = fleet::addresses(1 + instances);
        let store = Store::start(&ips[0], record);
        let (host, prefix) = (quote(HOST), quote(PREFIX));
        let timeout = PATIENCE.as_millis();
        store.put(
            "op",
            "config",
            &format!(
                "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"hostname\":{host},\"prefix\":{prefix},\
                 \"type\":\"non_idempotent\",\"timeout_ms\":{timeout},\"target_duration_ms\":{target_ms},\"priority\":0,\
                 \"service\":\"{SERVICE}\",\"max_attempts\":4,\"stretch\":1.6}}],\
                 \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_connections\":64,\
                 \"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"spare\":false}}],\
                 \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
                 \"idle_timeout_ms\":15000}}}}"
            ),
        );
        let jobs: Arc<Mutex<HashMap<String, Job>>> = Arc::default();
        let sent = jobs.clone();
        let plan = move |task: &str| {
            let mut parts = task.split('.');
            let (job, occurrence, step, index) =
                (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
            let jobs = sent.lock().unwrap();
            let step = jobs.get(job)?.steps.get(step.parse::<usize>().ok()?)?;
            let known = occurrence == "0" && index.parse::<u32>().ok()? < step.count;
            known.then_some((step.cpu, step.mem_mb, step.work_ms))
        };
        let plan: worker::Plan = Arc::new(plan);
        let workers = (0..*workers).map(|n| {
            let kind = Kind {
                service: SERVICE,
                zone: ZONES[n % ZONES.len()].to_owned(),
                rack: rack(n),
                cpu: 64_000,
                mem_mb: 131_072,
            };
            Worker::start(
                &ips[0],
                &format!("i-7f3a91c{n}"),
                kind,
                plan.clone(),
                &store,
                record,
            )
        });
        let workers = workers.collect();
        let fleet = Fleet::start(&ips[1..], store.address, folder, record)?;
        Ok(Self {
            record: record.clone(),
            trouble,
            store,
            workers,
            fleet,
            jobs,
            plan,
        })
    }

    /// Sends a job to an instance; returns the status of the answer.
    pub fn submit(&self, job: &Job, instance: usize) -> Option<u16> {
        self.jobs
            .lock()
            .unwrap()
            .insert(job.id.clone(), job.clone());
        let instance = &self.fleet.instances[instance % self.fleet.instances.len()];
        let path = format!("{PREFIX}{}", job.id);
        let answer = http::call(instance.front, "POST", HOST, &path, &job.body(), PATIENCE);
        let status = answer.map(|(status, _)| status);
        self.record.add(format!(
            "POST {} at {}: {}",
            job.id,
            instance.name,
            show(status)
        ));
        status
    }

    /// Asks an instance for a job's state; returns the status, and the state or nothing.
    pub fn state(&self, id: &str, instance: usize) -> Option<(u16, String)> {
        let instance = &self.fleet.instances[instance % self.fleet.instances.len()];
        let answer = http::call(
            instance.front,
            "GET",
            HOST,
            &format!("{PREFIX}{id}"),
            "",
            PATIENCE,
        );
        let state = answer.map(|(status, body)| {
            let state = Json::parse(&body)
                .map_or(String::new(), |body| body.get("state").text().to_owned());
            (status, state)
        });
        let status = state.as_ref().map(|(status, _)| *status);
        let text = state.as_ref().map_or("", |(_, state)| state.as_str());
        self.record.add(format!(
            "GET {id} at {}: {} {text}",
            instance.name,
            show(status)
        ));
        state
    }

    /// Returns whether a task belongs to a job that is to be stored.
    pub fn is_stored(&self, task: &str) -> bool {
        let jobs = self.jobs.lock().unwrap();
        let job = task.split('.').next().and_then(|id| jobs.get(id));
        job.is_some_and(|job| !job.best_effort)
    }

    /// Returns the thousandths of a core that a task takes.
    pub fn room(&self, task: &str) -> u64 {
        (self.plan)(task).map_or(0, |(cpu, ..)| cpu)
    }

    /// Returns all runs so far, the earliest first.
    pub fn runs(&self) -> Vec<worker::Run> {
        let mut runs: Vec<worker::Run> = self
            .workers
            .iter()
            .flat_map(|worker| worker.runs())
            .collect();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// Adds all runs to the record, a line for each job and step, and the instances that have ended by themselves.
    fn record_end(&self) {
        let mut steps: BTreeMap<String, BTreeMap<String, Vec<worker::Run>>> = BTreeMap::new();
        for run in self.runs() {
            let task = show_task(&run.task);
            let (step, index) = task.rsplit_once('/').unwrap_or((&task, ""));
            let tasks = steps.entry(step.to_owned()).or_default();
            tasks.entry(index.to_owned()).or_default().push(run);
        }
        self.record
            .add("runs by JOB/STEP: INDEX #RUN@WORKER BEGAN-ENDED HOW, and when the end was taken note of");
        for (step, tasks) in &steps {
            let tasks = tasks.iter().map(|(index, runs)| {
                let shown = runs.iter().take(SHOWN_RUNS).map(show_run);
                let shown: Vec<String> = shown.collect();
                let more = match runs.len().saturating_sub(SHOWN_RUNS) {
                    0 => String::new(),
                    more => format!(" and {more} more"),
                };
                format!("{index} {}{more}", shown.join(" "))
            });
            let tasks: Vec<String> = tasks.collect();
            self.record.add(format!("{step}: {}", tasks.join("; ")));
        }
        for instance in &self.fleet.instances {
            if let Some(how) = instance.ended() {
                self.record
                    .say(format!("{} has ended by itself: {how}", instance.name));
            }
        }
    }
}

/// The most runs of a task in the record.
const SHOWN_RUNS: usize = 3;

fn show_run(run: &worker::Run) -> String {
    let worker = run.worker.rsplit('c').next().unwrap_or_default();
    let end = run
        .end
        .map_or("".to_owned(), |(at, how)| format!("{at} {how}"));
    let noted = run.noted.map_or("".to_owned(), |at| format!(" {at}"));
    format!("#{}@{worker} {}-{end}{noted}", run.run, run.began)
}

fn show(status: Option<u16>) -> String {
    status.map_or("no answer".to_owned(), |status| status.to_string())
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    let record = Record::new();
    let temporary = env::temp_dir().join(format!("poplarknot-review-{}", process::id()));
    let result = run(case, &temporary, &record);
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    record.say(match &result {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "the rule was broken".to_owned(),
        Err(error) => format!("the case couldn't run: {error}"),
    });
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
    }
    match env::var_os("KEEP_LOGS") {
        Some(_) => println!("logs: {}", temporary.display()),
        None => drop(fs::remove_dir_all(&temporary)),
    }
    process::exit(code);
}

/// Runs a case in a temporary folder. Returns whether the rule held.
fn run(case: &str, temporary: &Path, record: &Record) -> Result<bool, String> {
    type Case = fn(&Play) -> Result<bool, String>;
    let deployment = |instances, workers, target_ms| Deployment {
        instances,
        workers,
        target_ms,
    };
    let (deployment, case): (Deployment, Case) = match case {
        "large-job" => (deployment(3, 6, 60), large_job::play),
        "cut" => (deployment(3, 6, 15_000), cut::play),
        "restart" => (deployment(3, 8, 1_000), restart::play),
        other => return Err(format!("no case {other}")),
    };
    fs::create_dir_all(temporary).map_err(|error| error.to_string())?;
    let play = Arc::new(Play::start(record, temporary, &deployment)?);
    let (sender, receiver) = std::sync::mpsc::channel();
    let played = play.clone();
    thread::spawn(move || sender.send(case(&played)).ok());
    let result = receiver
        .recv_timeout(LIMIT)
        .unwrap_or_else(|_| Err("it took too long".to_owned()));
    play.record_end();
    play.fleet.kill();
    result
}

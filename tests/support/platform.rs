//! A test double of the platform: a transactional table, an object store, and the list of instances and endpoints.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use bytes::Bytes;
use hyper::Method;
use poplarknot::{
    prelude::Digest,
    table::wire::{
        Commit,
        Group,
        List,
        Member,
        Row,
        Scan,
        Verdict,
        Verdicts,
        Worker, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::Semaphore;

use super::{
    server::{
        json_response,
        response,
        Request,
        Response,
        Server, //
    },
    Result, //
};

/// Row limit of a scan whose request names none.
const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// Injected faults; each holds until it's reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Answer every request with 503, without effect.
    pub unavailable: bool,
    /// Never answer a request, without effect.
    pub hang: bool,
    /// Delay before every operation.
    pub delay: Duration,
    /// Number of next commits that are applied, but whose connection is closed instead of an answer.
    pub dropped_answers: u32,
    /// Number of next commits that get no answer and are applied after `commit_delay`.
    pub late_commits: u32,
    /// Delay of the commits that `late_commits` counts.
    pub commit_delay: Duration,
}

/// Requests received so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Commits.
    pub commits: u64,
    /// Groups in the commits.
    pub groups: u64,
    /// Reads of one row.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Puts and gets of objects.
    pub objects: u64,
    /// Reads of the list of instances and endpoints.
    pub lists: u64,
    /// Bytes of request and response bodies.
    pub bytes: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    /// The list with all changes.
    list: List,
    /// Versions of the list with the times at which they become visible.
    versions: Vec<(Instant, List)>,
    faults: Faults,
    counters: Counters,
}

impl State {
    /// Applies a commit group by group, each on its own verdict.
    fn apply(&mut self, commit: &Commit) -> Verdicts {
        let verdicts = commit.groups.iter().map(|g| self.apply_group(g)).collect();
        Verdicts { verdicts }
    }

    /// Applies the writes of a group if all its conditions hold.
    fn apply_group(&mut self, group: &Group) -> Verdict {
        let version = |key| self.rows.get(key).map_or(0, |r: &Row| r.version);
        let failed = group.conditions.iter();
        let failed = failed.filter(|c| version(&c.key) != c.version);
        let failed: Vec<&String> = failed.map(|c| &c.key).collect();
        if !failed.is_empty() {
            let current = failed.into_iter().filter_map(|k| self.rows.get(k).cloned());
            return Verdict {
                applied: false,
                current: current.collect(),
            };
        }
        for write in &group.writes {
            self.write(&write.key, write.value.as_deref());
        }
        Verdict {
            applied: true,
            current: Vec::new(),
        }
    }

    /// Writes a row with the next version, or removes it.
    fn write(&mut self, key: &str, value: Option<&str>) {
        let Some(value) = value else {
            self.rows.remove(key);
            return;
        };
        let version = self.rows.get(key).map_or(0, |r| r.version) + 1;
        let row = Row {
            key: key.to_owned(),
            version,
            value: value.to_owned(),
        };
        self.rows.insert(key.to_owned(), row);
    }

    /// Returns up to `limit` rows whose keys start with `prefix` and come after `after`.
    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let rows = self.rows.range(prefix.to_owned()..);
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Returns the newest version of the list that is visible, and drops the older ones.
    fn visible_list(&mut self) -> List {
        let now = Instant::now();
        let due = self.versions.iter().rposition(|(at, _)| *at <= now);
        self.versions.drain(..due.unwrap_or(0));
        self.versions
            .first()
            .filter(|_| due.is_some())
            .map_or_else(List::default, |(_, l)| l.clone())
    }
}

/// A change of the list.
type Change = dyn Fn(&mut List) + Send + Sync;

struct Shared {
    state: Mutex<State>,
    commits: Semaphore,
    settings: Settings,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Changes the list; the change becomes visible after the lag.
    fn change_list(&self, change: impl FnOnce(&mut List)) {
        let mut state = self.state();
        change(&mut state.list);
        let list = state.list.clone();
        state
            .versions
            .push((Instant::now() + self.settings.list_lag, list));
    }

    /// Answers a request, subject to the faults.
    async fn handle(self: Arc<Self>, request: Request) -> Response {
        let faults = self.state().faults;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(faults.delay).await;
        if faults.unavailable {
            return response(503, "");
        }
        let request_bytes = request.body.len();
        let answer = self.clone().route(request).await;
        let answer_bytes = answer.as_ref().map_or(0, body_length);
        self.state().counters.bytes += (request_bytes + answer_bytes) as u64;
        answer
    }

    /// Answers like [`Self::handle`], but with `change` applied to the list.
    async fn handle_view(self: Arc<Self>, request: Request, change: Arc<Change>) -> Response {
        if (&request.method, request.path.as_str()) != (&Method::GET, "/instances") {
            return self.handle(request).await;
        }
        let answer = self.read_list(&request, &*change);
        self.state().counters.bytes += answer.as_ref().map_or(0, body_length) as u64;
        answer
    }

    /// Answers a request by its method and path.
    async fn route(self: Arc<Self>, request: Request) -> Response {
        let parameter = |name| request.parameter(name).unwrap_or_default();
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/table/commit") => self.commit(&request.body).await,
            (&Method::GET, "/table/row") => self.read_row(&parameter("key")),
            (&Method::GET, "/table/scan") => {
                let limit = parameter("limit").parse().unwrap_or(DEFAULT_SCAN_LIMIT);
                self.scan(&parameter("prefix"), &parameter("after"), limit)
            }
            (&Method::GET, "/instances") => self.read_list(&request, &|_| ()),
            // Not part of the platform's API; an example changes the list with it.
            (&Method::PUT, "/instances") => {
                let list: List = serde_json::from_slice(&request.body).ok()?;
                self.change_list(|l| *l = list);
                response(204, "")
            }
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.access_object(method, name, request.body.clone()),
                None => response(404, ""),
            },
        }
    }

    /// Answers with the list, limited to the endpoints of one data centre if the request names one.
    fn read_list(&self, request: &Request, change: &Change) -> Response {
        let (centre, if_none_match) = (request.parameter("data_centre"), &request.if_none_match);
        let centre = centre.as_deref();
        let mut state = self.state();
        state.counters.lists += 1;
        let mut list = state.visible_list();
        change(&mut list);
        list.endpoints
            .retain(|worker| centre.is_none_or(|centre| worker.centre.as_str() == centre));
        let body = serde_json::to_vec(&list).ok()?;
        let etag = format!("\"{}\"", Digest::of(&body));
        if if_none_match.as_ref() == Some(&etag) {
            return response(304, "");
        }
        let mut answer = response(200, body)?;
        answer.headers_mut().insert("etag", etag.parse().ok()?);
        Some(answer)
    }

    async fn commit(self: Arc<Self>, body: &[u8]) -> Response {
        let Ok(commit) = serde_json::from_slice::<Commit>(body) else {
            return response(400, "");
        };
        let (drop_answer, delay) = self.count_commit(&commit);
        // Runs on a separate task, so that a disconnect of the client doesn't cancel the commit.
        let shared = self.clone();
        let applied = tokio::spawn(async move {
            tokio::time::sleep(delay.unwrap_or_default()).await;
            let _permit = shared.commits.acquire().await;
            tokio::time::sleep(shared.settings.commit_latency).await;
            let verdicts = shared.state().apply(&commit);
            verdicts
        });
        if delay.is_some() {
            std::future::pending::<()>().await;
        }
        let verdicts = applied.await.ok()?;
        if drop_answer {
            return None;
        }
        json_response(200, &verdicts)
    }

    /// Counts a commit. Returns whether its answer is dropped, and its delay if it gets no answer.
    fn count_commit(&self, commit: &Commit) -> (bool, Option<Duration>) {
        let mut state = self.state();
        state.counters.commits += 1;
        state.counters.groups += commit.groups.len() as u64;
        let faults = &mut state.faults;
        let (drop_answer, late) = (faults.dropped_answers > 0, faults.late_commits > 0);
        faults.dropped_answers = faults.dropped_answers.saturating_sub(1);
        faults.late_commits = faults.late_commits.saturating_sub(1);
        (drop_answer, late.then_some(faults.commit_delay))
    }

    fn read_row(&self, key: &str) -> Response {
        let mut state = self.state();
        state.counters.reads += 1;
        match state.rows.get(key) {
            Some(row) => json_response(200, row),
            None => response(404, ""),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Response {
        let mut state = self.state();
        state.counters.scans += 1;
        let rows = state.scan(prefix, after, limit);
        json_response(200, &Scan { rows })
    }

    /// Stores or reads an object.
    fn access_object(&self, method: &Method, name: &str, body: Bytes) -> Response {
        let mut state = self.state();
        state.counters.objects += 1;
        if method == Method::PUT {
            state.objects.insert(name.to_owned(), body);
            return response(204, "");
        }
        match state.objects.get(name) {
            Some(bytes) => response(200, bytes.clone()),
            None => response(404, ""),
        }
    }
}

fn body_length<B: hyper::body::Body>(answer: &hyper::Response<B>) -> usize {
    answer.body().size_hint().exact().unwrap_or(0) as usize
}

/// Latencies and concurrency, fixed at the start.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time until a commit is durable.
    pub commit_latency: Duration,
    /// Number of commits made concurrently.
    pub parallel_commits: usize,
    /// Time until a change of the list is visible.
    pub list_lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            commit_latency: Duration::from_millis(5),
            parallel_commits: 4,
            list_lag: Duration::ZERO,
        }
    }
}

/// A running platform; stopped when dropped.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts a platform.
    pub fn start(settings: Settings) -> Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            commits: Semaphore::new(settings.parallel_commits),
            settings,
        });
        let handler = shared.clone();
        let server = Server::start(usize::MAX, move |r| handler.clone().handle(r))?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Opens another address that serves the list with `change` applied, for clients that reach the others under
    /// different addresses.
    pub fn serve_view(&self, change: impl Fn(&mut List) + Send + Sync + 'static) -> Result<Server> {
        let (shared, change): (_, Arc<Change>) = (self.shared.clone(), Arc::new(change));
        let handler = move |request| shared.clone().handle_view(request, change.clone());
        Ok(Server::start(usize::MAX, handler)?)
    }

    /// Drops all connections and refuses new ones.
    pub async fn close(&self) {
        self.server.close().await;
    }

    /// Listens again on the same address.
    pub fn reopen(&self) -> Result {
        Ok(self.server.reopen()?)
    }

    /// Changes the injected faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state().faults);
    }

    /// Changes the list.
    pub fn update_list(&self, change: impl FnOnce(&mut List)) {
        self.shared.change_list(change);
    }

    /// Adds an instance to the list, replacing an entry of the same name.
    pub fn register_instance(&self, member: Member) {
        self.update_list(|list| {
            list.instances.retain(|m| m.name != member.name);
            list.instances.push(member);
        });
    }

    /// Adds an endpoint to the list, replacing an entry of the same name.
    pub fn register_endpoint(&self, worker: Worker) {
        self.update_list(|list| {
            list.endpoints.retain(|w| w.name != worker.name);
            list.endpoints.push(worker);
        });
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.shared.state().counters
    }

    /// Returns a row.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.shared.state().rows.get(key).cloned()
    }

    /// Returns all rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.shared.state().scan(prefix, "", usize::MAX)
    }

    /// Writes a row without a commit.
    pub fn put_row(&self, key: &str, value: &str) {
        self.shared.state().write(key, Some(value));
    }
}

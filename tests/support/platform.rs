//! The platform's stand-in: a transactional table, an object store and the list of instances.

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
    },
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
    },
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::sync::Semaphore;

use super::{
    server::{
        json,
        raw,
        Request,
        Response,
        Server, //
    },
    Result,
};

/// Rows that a scan gives where the request names no limit.
const SCAN: usize = 1_000;

/// What goes wrong, until it is switched back.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Answer 503 to everything; nothing takes effect.
    pub unavailable: bool,
    /// Take requests and never answer; nothing takes effect.
    pub hang: bool,
    /// Wait before every operation.
    pub slow: Duration,
    /// Apply the next commits, so many, and close without an answer.
    pub swallow: u32,
    /// Leave the next commits, so many, without an answer and apply them after `lateness`.
    pub late: u32,
    /// How late.
    pub lateness: Duration,
}

/// What has been asked of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Transactions.
    pub commits: u64,
    /// Groups in them.
    pub groups: u64,
    /// Reads of a row.
    pub reads: u64,
    /// Scans.
    pub scans: u64,
    /// Puts and gets of objects.
    pub objects: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Bytes of bodies, both ways.
    pub bytes: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    list: List,
    lists: Vec<(Instant, List)>,
    faults: Faults,
    counters: Counters,
}

impl State {
    fn apply(&mut self, commit: &Commit) -> Verdicts {
        let verdicts = commit.groups.iter().map(|g| self.decide(g)).collect();
        Verdicts { verdicts }
    }

    fn decide(&mut self, group: &Group) -> Verdict {
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

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let rows = self.rows.range(prefix.to_owned()..);
        rows.take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Returns the list as it stood one lag ago.
    fn visible(&mut self) -> List {
        let now = Instant::now();
        let due = self.lists.iter().rposition(|(at, _)| *at <= now);
        self.lists.drain(..due.unwrap_or(0));
        self.lists
            .first()
            .filter(|_| due.is_some())
            .map_or_else(List::default, |(_, l)| l.clone())
    }
}

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

    /// Makes a change of the list, which becomes visible after the lag.
    fn change(&self, change: impl FnOnce(&mut List)) {
        let mut state = self.state();
        change(&mut state.list);
        let list = state.list.clone();
        state.lists.push((Instant::now() + self.settings.lag, list));
    }

    async fn handle(self: Arc<Self>, request: Request) -> Response {
        let faults = self.state().faults;
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(faults.slow).await;
        if faults.unavailable {
            return raw(503, "");
        }
        let sent = request.body.len();
        let answer = self.clone().route(request).await;
        let received = answer.as_ref().map_or(0, body_length);
        self.state().counters.bytes += (sent + received) as u64;
        answer
    }

    /// Answers like [`Self::handle`], but shows a list that was changed.
    async fn show(self: Arc<Self>, request: Request, change: Arc<Change>) -> Response {
        if (&request.method, request.path.as_str()) != (&Method::GET, "/instances") {
            return self.handle(request).await;
        }
        let answer = self.list(&request, &*change);
        self.state().counters.bytes += answer.as_ref().map_or(0, body_length) as u64;
        answer
    }

    async fn route(self: Arc<Self>, request: Request) -> Response {
        let text = |name| request.parameter(name).unwrap_or_default();
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/table/commit") => self.commit(&request.body).await,
            (&Method::GET, "/table/row") => self.read(&text("key")),
            (&Method::GET, "/table/scan") => {
                let limit = text("limit").parse().unwrap_or(SCAN);
                self.scan(&text("prefix"), &text("after"), limit)
            }
            (&Method::GET, "/instances") => self.list(&request, &|_| ()),
            // Not of the platform's interface: an example changes the list this way.
            (&Method::PUT, "/instances") => {
                let list: List = serde_json::from_slice(&request.body).ok()?;
                self.change(|l| *l = list);
                raw(204, "")
            }
            (method, path) => match path.strip_prefix("/objects/") {
                Some(name) => self.object(method, name, request.body.clone()),
                None => raw(404, ""),
            },
        }
    }

    /// Gives the list, with the endpoints of one data centre where one is named.
    fn list(&self, request: &Request, change: &Change) -> Response {
        let (centre, known) = (request.parameter("data_centre"), &request.if_none_match);
        let centre = centre.as_deref();
        let mut state = self.state();
        state.counters.lists += 1;
        let mut list = state.visible();
        change(&mut list);
        list.endpoints
            .retain(|worker| centre.is_none_or(|centre| worker.centre.as_str() == centre));
        let body = serde_json::to_vec(&list).ok()?;
        let etag = format!("\"{}\"", Digest::of(&body));
        if known.as_ref() == Some(&etag) {
            return raw(304, "");
        }
        let mut answer = raw(200, body)?;
        answer.headers_mut().insert("etag", etag.parse().ok()?);
        Some(answer)
    }

    async fn commit(self: Arc<Self>, body: &[u8]) -> Response {
        let Ok(commit) = serde_json::from_slice::<Commit>(body) else {
            return raw(400, "");
        };
        let (swallow, late) = self.count(&commit);
        // A task of its own: a client that goes away doesn't take its commit back.
        let shared = self.clone();
        let applied = tokio::spawn(async move {
            tokio::time::sleep(late.unwrap_or_default()).await;
            let _permit = shared.commits.acquire().await;
            tokio::time::sleep(shared.settings.sync).await;
            let committed = shared.state().apply(&commit);
            committed
        });
        if late.is_some() {
            std::future::pending::<()>().await;
        }
        let committed = applied.await.ok()?;
        if swallow {
            return None;
        }
        json(200, &committed)
    }

    /// Counts a commit and tells which faults it meets.
    fn count(&self, commit: &Commit) -> (bool, Option<Duration>) {
        let mut state = self.state();
        state.counters.commits += 1;
        state.counters.groups += commit.groups.len() as u64;
        let faults = &mut state.faults;
        let (swallow, late) = (faults.swallow > 0, faults.late > 0);
        faults.swallow = faults.swallow.saturating_sub(1);
        faults.late = faults.late.saturating_sub(1);
        (swallow, late.then_some(faults.lateness))
    }

    fn read(&self, key: &str) -> Response {
        let mut state = self.state();
        state.counters.reads += 1;
        match state.rows.get(key) {
            Some(row) => json(200, row),
            None => raw(404, ""),
        }
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Response {
        let mut state = self.state();
        state.counters.scans += 1;
        let rows = state.scan(prefix, after, limit);
        json(200, &Scan { rows })
    }

    fn object(&self, method: &Method, name: &str, body: Bytes) -> Response {
        let mut state = self.state();
        state.counters.objects += 1;
        if method == Method::PUT {
            state.objects.insert(name.to_owned(), body);
            return raw(204, "");
        }
        match state.objects.get(name) {
            Some(bytes) => raw(200, bytes.clone()),
            None => raw(404, ""),
        }
    }
}

fn body_length<B: hyper::body::Body>(answer: &hyper::Response<B>) -> usize {
    answer.body().size_hint().exact().unwrap_or(0) as usize
}

/// How the platform behaves, for good.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a commit takes to become durable.
    pub sync: Duration,
    /// How many commits are made at once; one makes them serial.
    pub parallel: usize,
    /// How far the list lags behind.
    pub lag: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sync: Duration::from_millis(5),
            parallel: 4,
            lag: Duration::ZERO,
        }
    }
}

/// A running platform.
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Starts a platform.
    pub fn start(settings: Settings) -> Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            commits: Semaphore::new(settings.parallel),
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

    /// Opens one more address, where the list reads as `change` makes it: a part of the network that reaches
    /// the others by addresses of its own.
    pub fn view(&self, change: impl Fn(&mut List) + Send + Sync + 'static) -> Result<Server> {
        let (shared, change): (_, Arc<Change>) = (self.shared.clone(), Arc::new(change));
        let show = move |request| shared.clone().show(request, change.clone());
        Ok(Server::start(usize::MAX, show)?)
    }

    /// Drops all connections and refuses new ones.
    pub async fn down(&self) {
        self.server.close().await;
    }

    /// Listens again.
    pub fn up(&self) -> Result {
        Ok(self.server.open()?)
    }

    /// Switches faults.
    pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.state().faults);
    }

    /// Changes the list.
    pub fn list(&self, change: impl FnOnce(&mut List)) {
        self.shared.change(change);
    }

    /// Puts an instance on the list, in place of an older entry of its name.
    pub fn register(&self, member: Member) {
        self.list(|list| {
            list.instances.retain(|m| m.name != member.name);
            list.instances.push(member);
        });
    }

    /// Puts an endpoint on the list, in place of an older entry of its name.
    pub fn enlist(&self, worker: Worker) {
        self.list(|list| {
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

    /// Puts a row without a transaction.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.state().write(key, Some(value));
    }
}

//! From the acceptance of a record to its being in force on every instance.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use serde_json::{
    json,
    Value, //
};
use tokio::task::JoinSet;

use crate::{
    fleet::{
        Builder,
        Fleet,
        CENTRES, //
    },
    report::{
        two,
        Spread,
        Table, //
    },
    support::{
        client::{
            self,
            Client, //
        },
        instance::TOKEN,
        Result,
        WAIT_TIMEOUT, //
    },
    Effort,
};

/// The data centre that is cut off.
const CUT: usize = 2;

/// How long it stays cut: longer than an instance may be silent.
const CUT_FOR: Duration = Duration::from_secs(3);

/// Starts instances in all data centres with a network between them, and no worker.
pub(crate) async fn start(instances: usize, ghosts: usize) -> Result<Fleet> {
    let builder = Builder {
        instances,
        workers: 0,
        centres: CENTRES.len(),
        ghosts,
        network: true,
        ..Builder::default()
    };
    builder.start().await
}

/// Submits pool records, each under a new name.
#[derive(Default)]
pub(crate) struct Operator {
    serial: usize,
}

impl Operator {
    /// Has a record accepted by an instance, and returns its path.
    pub(crate) async fn change(&mut self, instance: SocketAddr) -> Result<String> {
        self.serial += 1;
        let name = format!("pool-{}", self.serial);
        let record = json!({"schema": 1, "kind": "pool", "name": name});
        let token = format!("Bearer {TOKEN}");
        let headers = [("authorization", token.as_str())];
        let answer = client::post(instance, "/v1/records", &headers, &record).await?;
        let told: Value = answer.json()?;
        if told["answer"] != "accepted" {
            return Err(format!("a record was not accepted: {told}").into());
        }
        Ok(format!("/v1/records/pool/{name}"))
    }
}

/// Waits until all these instances show the record, and returns how long that took since `since`.
pub(crate) async fn in_force(
    instances: &[SocketAddr],
    path: &str,
    since: Instant,
) -> Result<Duration> {
    let mut looks = JoinSet::new();
    for instance in instances {
        looks.spawn(shown(*instance, path.to_owned()));
    }
    let mut last = since;
    while let Some(shown) = looks.join_next().await {
        last = last.max(shown??);
    }
    Ok(last - since)
}

async fn shown(instance: SocketAddr, path: String) -> Result<Instant> {
    let token = format!("Bearer {TOKEN}");
    let mut client = Client::connect(instance).await?;
    let begin = Instant::now();
    while begin.elapsed() < WAIT_TIMEOUT {
        let headers = [("authorization", token.as_str())];
        let answer = client.send(hyper::Method::GET, &path, &headers, "").await?;
        if answer.status == 200 {
            return Ok(Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    Err(format!("{path} did not come into force").into())
}

/// Measures and prints.
pub(crate) async fn run(effort: Effort) -> Result {
    let mut fleet = start(7, 0).await?;
    let mut operator = Operator::default();
    let mut table = Table::new(&["case", "changes", "median ms", "p99 ms", "worst ms"]);
    let mut row = |name: &str, times: &Spread| {
        table.row([
            name.to_owned(),
            times.count().to_string(),
            two(times.median()),
            two(times.at(0.99)),
            two(times.worst()),
        ]);
    };
    let (accepted, everywhere) = undisturbed(&fleet, &mut operator, effort.pick(50, 200)).await?;
    row("from submission to acceptance", &accepted);
    row("from acceptance to in force on all 7", &everywhere);
    let outage = outage(&mut fleet, &mut operator, effort.pick(5, 30)).await?;
    row("the same, platform gone right after acceptance", &outage);
    let (connected, healed) = cut(&mut fleet, &mut operator, effort.pick(2, 20)).await?;
    row("one data centre cut: in force on the other 5", &connected);
    row("from its healing to in force on all 7", &healed);
    table.print("Records: 7 instances in 3 data centres");
    fleet.end().await
}

async fn undisturbed(
    fleet: &Fleet,
    operator: &mut Operator,
    changes: usize,
) -> Result<(Spread, Spread)> {
    let (mut accepted, mut everywhere) = (Spread::default(), Spread::default());
    let instances = fleet.callers();
    for i in 0..changes {
        let begin = Instant::now();
        let path = operator.change(instances[i % instances.len()]).await?;
        accepted.time(begin.elapsed());
        everywhere.time(in_force(&instances, &path, Instant::now()).await?);
    }
    Ok((accepted, everywhere))
}

async fn outage(fleet: &mut Fleet, operator: &mut Operator, changes: usize) -> Result<Spread> {
    let mut times = Spread::default();
    let instances = fleet.callers();
    for i in 0..changes {
        let path = operator.change(instances[i % instances.len()]).await?;
        let accepted = Instant::now();
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.cut_platform(true).await?;
        times.time(in_force(&instances, &path, accepted).await?);
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.cut_platform(false).await?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    Ok(times)
}

async fn cut(
    fleet: &mut Fleet,
    operator: &mut Operator,
    changes: usize,
) -> Result<(Spread, Spread)> {
    let (mut connected, mut healed) = (Spread::default(), Spread::default());
    let instances = fleet.callers();
    let others = instances.iter().enumerate();
    let others: Vec<_> = others
        .filter(|(i, _)| i % CENTRES.len() != CUT)
        .map(|(_, instance)| *instance)
        .collect();
    for i in 0..changes {
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.cut(CUT, true).await?;
        let path = operator.change(others[i % others.len()]).await?;
        connected.time(in_force(&others, &path, Instant::now()).await?);
        tokio::time::sleep(CUT_FOR).await;
        network.cut(CUT, false).await?;
        healed.time(in_force(&instances, &path, Instant::now()).await?);
    }
    Ok((connected, healed))
}

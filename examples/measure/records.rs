//! The time from the acceptance of a record until it is in force on every instance.

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
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
        two_decimals,
        Distribution,
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
    Effort, //
};

/// Index of the data centre that is cut off.
const CUT_CENTRE: usize = 2;

/// How long it stays cut off: longer than the silence after which a peer counts as dead.
const CUT_DURATION: Duration = Duration::from_secs(3);

/// Starts instances in all data centres with a network between them, and no worker.
pub(crate) async fn start_fleet(instances: usize, unreachable: usize) -> Result<Fleet> {
    let builder = Builder {
        instances,
        workers: 0,
        centres: CENTRES.len(),
        unreachable,
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
    /// Submits a new record to an instance, and returns its path once it is accepted.
    pub(crate) async fn submit_record(&mut self, instance: SocketAddr) -> Result<String> {
        self.serial += 1;
        let name = format!("pool-{}", self.serial);
        let record = json!({"schema": 1, "kind": "pool", "name": name});
        let token = format!("Bearer {TOKEN}");
        let headers = [("authorization", token.as_str())];
        let answer = client::post(instance, "/v1/records", &headers, &record).await?;
        let reply: Value = answer.json()?;
        if reply["answer"] != "accepted" {
            return Err(format!("a record was not accepted: {reply}").into());
        }
        Ok(format!("/v1/records/pool/{name}"))
    }
}

/// Waits until all these instances show the record, and returns the time from `since` until the last did.
pub(crate) async fn wait_until_in_force(
    instances: &[SocketAddr],
    path: &str,
    since: Instant,
) -> Result<Duration> {
    let mut polls = JoinSet::new();
    for instance in instances {
        polls.spawn(wait_until_shown(*instance, path.to_owned()));
    }
    let mut last = since;
    while let Some(shown) = polls.join_next().await {
        last = last.max(shown??);
    }
    Ok(last - since)
}

/// Polls an instance until it shows the record, and returns when it did.
async fn wait_until_shown(instance: SocketAddr, path: String) -> Result<Instant> {
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

/// Measures changes without faults, in an outage of the platform and with a data centre cut off, and prints a table.
pub(crate) async fn run(effort: Effort) -> Result {
    let mut fleet = start_fleet(7, 0).await?;
    let mut operator = Operator::default();
    let mut table = Table::new(&["case", "changes", "median ms", "p99 ms", "worst ms"]);
    let mut row = |name: &str, times: &Distribution| {
        table.add_row([
            name.to_owned(),
            times.count().to_string(),
            two_decimals(times.median()),
            two_decimals(times.quantile(0.99)),
            two_decimals(times.max()),
        ]);
    };
    let (accepted, everywhere) =
        measure_undisturbed(&fleet, &mut operator, effort.pick(50, 200)).await?;
    row("from submission to acceptance", &accepted);
    row("from acceptance to in force on all 7", &everywhere);
    let outage = measure_platform_outage(&mut fleet, &mut operator, effort.pick(5, 30)).await?;
    row("the same, platform gone right after acceptance", &outage);
    let (connected, healed) =
        measure_centre_cut(&mut fleet, &mut operator, effort.pick(2, 20)).await?;
    row("one data centre cut: in force on the other 5", &connected);
    row("from its healing to in force on all 7", &healed);
    table.print("Records: 7 instances in 3 data centres");
    fleet.stop().await
}

/// Returns the times from submission to acceptance, and from there until the record is in force on all instances.
async fn measure_undisturbed(
    fleet: &Fleet,
    operator: &mut Operator,
    changes: usize,
) -> Result<(Distribution, Distribution)> {
    let (mut accepted, mut everywhere) = (Distribution::default(), Distribution::default());
    let instances = fleet.caller_addresses();
    for i in 0..changes {
        let begin = Instant::now();
        let path = operator
            .submit_record(instances[i % instances.len()])
            .await?;
        accepted.add_duration(begin.elapsed());
        everywhere.add_duration(wait_until_in_force(&instances, &path, Instant::now()).await?);
    }
    Ok((accepted, everywhere))
}

/// Returns the times from acceptance until the record is in force, where the platform fails right after acceptance.
async fn measure_platform_outage(
    fleet: &mut Fleet,
    operator: &mut Operator,
    changes: usize,
) -> Result<Distribution> {
    let mut times = Distribution::default();
    let instances = fleet.caller_addresses();
    for i in 0..changes {
        let path = operator
            .submit_record(instances[i % instances.len()])
            .await?;
        let accepted = Instant::now();
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.set_platform_cut(true).await?;
        times.add_duration(wait_until_in_force(&instances, &path, accepted).await?);
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.set_platform_cut(false).await?;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    Ok(times)
}

/// Returns the times until a record is in force on the connected instances, and from the reconnection until it is on all.
async fn measure_centre_cut(
    fleet: &mut Fleet,
    operator: &mut Operator,
    changes: usize,
) -> Result<(Distribution, Distribution)> {
    let (mut connected, mut healed) = (Distribution::default(), Distribution::default());
    let instances = fleet.caller_addresses();
    let others = instances.iter().enumerate();
    let others: Vec<_> = others
        .filter(|(i, _)| i % CENTRES.len() != CUT_CENTRE)
        .map(|(_, instance)| *instance)
        .collect();
    for i in 0..changes {
        let network = fleet.network.as_mut().ok_or("no network")?;
        network.set_centre_cut(CUT_CENTRE, true).await?;
        let path = operator.submit_record(others[i % others.len()]).await?;
        connected.add_duration(wait_until_in_force(&others, &path, Instant::now()).await?);
        tokio::time::sleep(CUT_DURATION).await;
        network.set_centre_cut(CUT_CENTRE, false).await?;
        healed.add_duration(wait_until_in_force(&instances, &path, Instant::now()).await?);
    }
    Ok((connected, healed))
}

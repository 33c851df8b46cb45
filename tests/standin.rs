//! Tests of the test doubles. A faulty double would let other tests pass or fail regardless of the program.

mod support;

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use hyper::Method;
use poplarknot::{
    endpoint::wire::{
        Reply,
        Start,
        Status, //
    },
    prelude::*,
    table::wire::{
        Commit,
        Condition,
        Group,
        Scan,
        Verdicts,
        Write, //
    }, //
};
use support::{
    client::{
        self,
        Client, //
    },
    instance,
    peer_proxy::{
        Faults,
        PeerProxy,
        Treatment, //
    },
    platform::{
        Platform,
        Settings, //
    },
    proxy::{
        Mode,
        Proxy, //
    },
    wait_until,
    worker::{
        self,
        Worker, //
    },
    Result, //
};
use tokio::{
    io::{
        AsyncReadExt as _,
        AsyncWriteExt as _, //
    },
    net::{
        TcpListener,
        TcpSocket,
        UdpSocket, //
    },
    time::timeout, //
};

/// Returns a commit that inserts rows that don't exist, each in a group of its own.
fn insert_commit(keys: &[&str]) -> Commit {
    let group = |key: &&str| Group {
        conditions: vec![Condition {
            key: (*key).to_owned(),
            version: 0,
        }],
        writes: vec![Write {
            key: (*key).to_owned(),
            value: Some("1".to_owned()),
        }],
    };
    Commit {
        groups: keys.iter().map(group).collect(),
    }
}

/// Returns a request to start a task that sleeps.
fn start_request(task: u32, sleep_ms: u64) -> Start {
    let attempt = Attempt {
        incarnation: Incarnation(7),
        job: 1,
        task,
        number: 0,
    };
    let payload = format!(r#"{{"sleep_ms": {sleep_ms}, "id": "t{task}"}}"#);
    Start {
        attempt,
        service: "notebook".parse().unwrap(),
        payload: serde_json::value::RawValue::from_string(payload)
            .unwrap()
            .into(),
        lease: Span::seconds(60),
    }
}

/// Asks a worker to stop an attempt and returns its status.
async fn stop_attempt(worker: &Worker, attempt: Attempt) -> Result<Status> {
    let path = format!("/tasks/{attempt}/stop");
    client::post(worker.address(), &path, &[], &())
        .await?
        .json()
}

#[tokio::test]
async fn groups_of_a_commit_are_applied_independently() -> Result {
    let platform = Platform::start(Settings::default())?;
    platform.put_row("b", "old");
    let mut client = Client::connect(platform.address()).await?;

    let answer = client
        .post("/table/commit", &[], &insert_commit(&["a", "b"]))
        .await?;
    let verdicts: Verdicts = answer.json()?;

    assert!(verdicts.verdicts[0].applied && !verdicts.verdicts[1].applied);
    assert_eq!(verdicts.verdicts[1].current, platform.rows("b"));
    let scan: Scan = client.get("/table/scan?prefix=&after=a").await?.json()?;
    assert_eq!(scan.rows, platform.rows("b"));
    assert_eq!(client.get("/table/row?key=%61").await?.status, 200);
    let counters = platform.counters();
    assert_eq!(
        (counters.commits, counters.groups, counters.scans),
        (1, 2, 1)
    );
    Ok(())
}

#[tokio::test]
async fn commits_take_effect_without_an_answer_or_late() -> Result {
    let platform = Platform::start(Settings::default())?;
    platform.update_faults(|f| f.dropped_answers = 1);
    let answer = client::post(
        platform.address(),
        "/table/commit",
        &[],
        &insert_commit(&["a"]),
    )
    .await;
    assert!(answer.is_err());
    assert!(platform.row("a").is_some());

    platform.update_faults(|f| (f.late_commits, f.commit_delay) = (1, Duration::from_millis(50)));
    let address = platform.address();
    let late = tokio::spawn(async move {
        client::post(address, "/table/commit", &[], &insert_commit(&["b"])).await
    });
    wait_until("the late write applies", || async { platform.row("b") }).await?;
    assert!(!late.is_finished());
    late.abort();
    Ok(())
}

#[tokio::test]
async fn a_platform_that_is_down_refuses_until_it_is_up() -> Result {
    let platform = Platform::start(Settings::default())?;
    let mut open = Client::connect(platform.address()).await?;
    open.get("/instances").await?;

    platform.close().await;
    assert!(open.get("/instances").await.is_err());
    assert!(Client::connect(platform.address()).await.is_err());

    platform.reopen()?;
    assert_eq!(
        client::get(platform.address(), "/instances").await?.status,
        200
    );
    Ok(())
}

#[tokio::test]
async fn an_attempt_starts_once_and_a_barred_one_never() -> Result {
    let worker = Worker::start(worker::new_entry("w", "maardu"))?;
    let (first, second) = (start_request(0, 20), start_request(0, 20));
    let (first, second) = tokio::join!(
        client::post(worker.address(), "/tasks", &[], &first),
        client::post(worker.address(), "/tasks", &[], &second),
    );
    assert!(matches!(first?.json()?, Reply::Done { .. }));
    assert!(matches!(second?.json()?, Reply::Done { .. }));
    assert_eq!(worker.started_tasks().len(), 1);

    let barred = start_request(1, 0);
    assert!(matches!(
        stop_attempt(&worker, barred.attempt).await?,
        Status::Barred { .. }
    ));
    let answer = client::post(worker.address(), "/tasks", &[], &barred).await?;
    assert_eq!(answer.status, 503);
    assert!(matches!(
        answer.json()?,
        Reply::NotStarted { leaving: false, .. }
    ));
    assert_eq!(worker.started_tasks().len(), 1);
    Ok(())
}

#[tokio::test]
async fn the_reply_of_a_stopped_task_shows_whether_it_had_started() -> Result {
    let mut entry = worker::new_entry("w", "maardu");
    entry.slots = 1;
    let worker = Worker::start(entry)?;
    let address = worker.address();
    let send = |task| {
        tokio::spawn(async move {
            client::post(address, "/tasks", &[], &start_request(task, 60_000)).await
        })
    };
    let running = send(0);
    wait_until("a task runs", || async {
        (worker.load().running == 1).then_some(())
    })
    .await?;
    let queued = send(1);
    wait_until("a task is queued", || async {
        (worker.load().queued == 1).then_some(())
    })
    .await?;
    worker.update_behaviour(|b| b.queue = 1);
    let full = send(2).await??.json()?;
    worker.update_behaviour(|b| b.leaving = true);
    let leaving = send(3).await??.json()?;

    stop_attempt(&worker, start_request(1, 0).attempt).await?;
    stop_attempt(&worker, start_request(0, 0).attempt).await?;

    assert!(matches!(full, Reply::NotStarted { leaving: false, .. }));
    assert!(matches!(leaving, Reply::NotStarted { leaving: true, .. }));
    assert!(matches!(queued.await??.json()?, Reply::NotStarted { .. }));
    assert!(matches!(running.await??.json()?, Reply::Failed { .. }));
    assert_eq!(worker.started_tasks().len(), 1);
    Ok(())
}

#[tokio::test]
async fn a_killed_worker_ends_its_tasks_and_refuses() -> Result {
    let worker = Worker::start(worker::new_entry("w", "maardu"))?;
    let address = worker.address();
    let answer = tokio::spawn(async move {
        client::post(address, "/tasks", &[], &start_request(0, 60_000)).await
    });
    wait_until("the task runs", || async {
        (worker.load().running == 1).then_some(())
    })
    .await?;

    worker.kill().await;

    assert!(answer.await?.is_err());
    assert!(Client::connect(address).await.is_err());
    Ok(())
}

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() -> Result {
    let platform = Platform::start(Settings::default())?;
    let proxy = Proxy::start(platform.address())?;
    let mut old = Client::connect(proxy.address()).await?;
    old.get("/instances").await?;

    proxy.blackhole_open_connections();

    tokio::select! {
        biased;
        _ = old.get("/instances") => panic!("a silent connection answered"),
        answer = client::get(proxy.address(), "/instances") => {
            assert_eq!(answer?.status, 200);
        }
    }
    assert_eq!(platform.counters().lists, 2);
    assert_eq!(proxy.accepted_count(), 2);
    Ok(())
}

#[tokio::test]
async fn a_dropped_answer_leaves_its_request_delivered() -> Result {
    let platform = Platform::start(Settings::default())?;
    let mut proxy = Proxy::start(platform.address())?;
    proxy.set_mode(Mode::DROP_ANSWERS);
    assert!(client::get(proxy.address(), "/instances").await.is_err());
    assert_eq!(platform.counters().lists, 1);

    proxy.set_mode(Mode::Delay {
        up: Duration::from_millis(1),
        down: Duration::from_millis(1),
    });
    let mut client = Client::connect(proxy.address()).await?;
    let put = client.send(
        Method::PUT,
        "/objects/a",
        &[],
        Bytes::from(vec![1; 1 << 20]),
    );
    assert_eq!(put.await?.status, 204);
    assert_eq!(client.get("/objects/a").await?.body.len(), 1 << 20);

    proxy.close().await;
    assert!(client.get("/objects/a").await.is_err());
    assert!(Client::connect(proxy.address()).await.is_err());
    proxy.reopen()?;
    assert_eq!(
        client::get(proxy.address(), "/objects/a").await?.status,
        200
    );
    Ok(())
}

/// Guards against faults on links between instances that never take effect, or lose what they should delay.
#[tokio::test]
async fn peers_are_told_apart_and_their_messages_held_in_order() -> Result {
    const SHORT: Duration = Duration::from_millis(100);
    // Addresses of this process: a port that is free for datagrams may be in use for connections at an address of others.
    let process = std::process::id();
    let address = |host: u8, port: u16| {
        let (high, low) = (process >> 8 & 0x7f | 0x80, process & 0xff);
        format!("127.{high}.{low}.{host}:{port}").parse::<SocketAddr>()
    };
    let (target, free, sender) = (address(1, 8_166)?, address(2, 8_166)?, address(3, 0)?);
    let datagrams = UdpSocket::bind(target).await?;
    let proxy = PeerProxy::start(free, target).await?;
    let target = TcpListener::bind(target).await?;
    let connect = || async {
        let socket = TcpSocket::new_v4()?;
        socket.bind(sender)?;
        socket.connect(free).await
    };
    let heartbeats = UdpSocket::bind(sender).await?;
    let faults = |messages, heartbeats| Faults {
        messages,
        heartbeats,
        ..Faults::default()
    };
    let mut buffer = [0; 16];

    proxy.set_faults(sender.ip(), faults(Treatment::Hold, Treatment::Pass));
    let mut stream = connect().await?;
    stream.write_all(b"held").await?;
    drop(stream);
    heartbeats.send_to(b"first", free).await?;
    assert_eq!(datagrams.recv(&mut buffer).await?, 5);
    assert!(timeout(SHORT, target.accept()).await.is_err());
    proxy.set_faults(sender.ip(), faults(Treatment::Pass, Treatment::Hold));
    let (mut stream, from) = target.accept().await?;
    assert_eq!(from.ip(), sender.ip());
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    assert_eq!(text, "held");

    for datagram in [b"1", b"2"] {
        heartbeats.send_to(datagram, free).await?;
    }
    let early = timeout(SHORT, datagrams.recv(&mut buffer)).await;
    assert!(early.is_err());
    proxy.set_faults(sender.ip(), faults(Treatment::Drop, Treatment::Pass));
    for expected in [b'1', b'2'] {
        datagrams.recv(&mut buffer).await?;
        assert_eq!(buffer[0], expected);
    }

    let mut stream = connect().await?;
    stream.write_all(b"lost").await?;
    let (mut accepted, _) = target.accept().await?;
    accepted.write_all(b"heard").await?;
    assert_eq!(stream.read(&mut buffer).await?, 5);
    proxy.set_faults(sender.ip(), faults(Treatment::Pass, Treatment::Drop));
    stream.write_all(b"after the gap").await?;
    heartbeats.send_to(b"lost", free).await?;
    assert!(timeout(SHORT, accepted.read(&mut buffer)).await.is_err());
    assert!(timeout(SHORT, datagrams.recv(&mut buffer)).await.is_err());
    Ok(())
}

#[tokio::test]
async fn an_instance_is_started_signalled_and_reaped() -> Result {
    const SCRIPT: &str = "trap 'exit 3' TERM; cat \"$3\" >&2; \
        echo listening callers=127.0.0.1:1 peers=127.0.0.1:2; \
        while :; do sleep 0.01; done";
    let platform = Platform::start(Settings::default())?;
    let builder = instance::Builder::new("/bin/sh", "entry-0", "maardu", platform.address())
        .argument("-c")
        .argument(SCRIPT)
        .argument("sh")
        .set("timing", "list", "100ms");

    let mut first = builder.start().await?;
    assert_eq!(
        (first.caller_address.port(), first.peer_address.port()),
        (1, 2)
    );
    assert!(
        first.log().contains("[timing]\nlist = 100ms\n"),
        "{}",
        first.log()
    );
    first.pause()?;
    first.stop()?;
    first.resume()?;
    assert_eq!(first.wait_for_exit().await?.code(), Some(3));

    let mut second = builder.start().await?;
    second.kill().await?;
    assert!(second.process_id().is_none());
    Ok(())
}

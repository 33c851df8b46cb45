//! Tests of propagation: announcements, polls, loads, restarts, partitions and outages.

pub(crate) const CLOSED: &str = r#"{"schema":1,"kind":"pool","name":"spare","open":false}"#;
pub(crate) const OPEN: &str = r#"{"schema":1,"kind":"pool","name":"spare"}"#;

/// Writes a record into the table, without announcement, as an instance of a newer version would.
pub(crate) fn write_to_table(cluster: &mut Cluster, name: &str, text: &str) {
    let revision = Revision(cluster.table.head() as u64 + 1);
    let change = row::Change {
        revision,
        name: name.parse().unwrap(),
        text: Some(text.to_owned()),
        operator: id("newer"),
        operation: Operation(u128::MAX - u128::from(revision.0)),
        from: String::new(),
        at_ms: 0,
        before: None,
    };
    let stored = row::Stored {
        name: change.name.clone(),
        revision,
        text: text.to_owned(),
    };
    let writes = vec![
        row::write(row::record_key(&change.name), &stored),
        row::write(row::change_key(revision), &change),
        row::write(row::HEAD_KEY.to_owned(), &row::Head { revision }),
    ];
    let conditions = Vec::new();
    cluster.table.commit(&Group { conditions, writes });
}

/// The response to a poll is delayed until a newer change is applied. If the instance went to the polled revision, it
/// would revert that change.
#[test]
fn a_slow_poll_reverts_nothing() {
    let mut cluster = Cluster::with_records(1, &[sample::COMPUTE, OPEN]);
    cluster.tick(2 * POLL.as_millis());
    let read = take_message(&mut cluster, |message| {
        matches!(message, Message::Command(_, _, _, Command::Read(_)))
    });
    let Message::Command(i, _, ticket, read) = read else {
        panic!("{read:?}");
    };
    let old = cluster.table.execute(&read);
    cluster.change(0, amend("pool/spare", 2, CLOSED));
    cluster.input(i, Input::Completed(ticket, old));
    cluster.deliver_all();
    assert_eq!(cluster.config(0).revision(), Revision(3));
}

/// A late or duplicate announcement of an older change to a record must not revert the newer one.
#[test]
fn announcements_out_of_order_and_twice_revert_nothing() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE, OPEN]);
    let mut announced = commit_unannounced(&mut cluster, 0, amend("pool/spare", 2, CLOSED));
    announced.extend(commit_unannounced(
        &mut cluster,
        0,
        amend("pool/spare", 3, OPEN),
    ));
    assert_eq!(announced.len(), 2);
    for index in [1, 0, 1, 0] {
        cluster.deliver(announced[index].clone());
        cluster.deliver_all();
    }
    assert_eq!(cluster.revisions(), [4, 4]);
}

/// The announcement to another data centre is lost, and no heartbeat arrives. The poll of one instance there must find
/// the change within one interval.
#[test]
fn a_poll_finds_a_change_whose_announcement_was_lost() {
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE]);
    cluster.run_for(POLL.as_millis());
    commit_unannounced(&mut cluster, 0, submit(OPEN));
    assert_eq!(cluster.revisions(), [2, 1]);
    cluster.tick(POLL.as_millis());
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [2, 2]);
}

/// The instance that polls for its data centre gets no response from the table, but still sends heartbeats. The other
/// instance must poll the table itself.
#[test]
fn an_instance_polls_when_the_elected_one_is_silent() {
    let mut cluster = Cluster::with_records(4, &[sample::COMPUTE]);
    cluster.run_for(20_000);
    // Nodes 0 and 3 share a data centre. All commands of the elected one are lost.
    let polls = |i: usize| cluster.config(i).stats().polls;
    let silent = if polls(0) > polls(3) { 0 } else { 3 };
    write_to_table(&mut cluster, "pool/spare", OPEN);
    for _ in 0..70 {
        cluster.tick(100);
        let is_lost = |message: &Message| match message {
            Message::Command(i, ..) => *i == silent,
            message => matches!(message, Message::Call(..)),
        };
        cluster.messages.retain(|message| !is_lost(message));
        cluster.deliver_all();
    }
    assert_eq!(cluster.config(3 - silent).revision(), Revision(2));
}

#[test]
fn one_instance_of_a_data_centre_polls() {
    // If all instances polled, the load on the table would grow with their number.
    let mut cluster = Cluster::with_records(6, &[sample::COMPUTE]);
    cluster.run_for(1_000);
    let polls = |cluster: &Cluster| -> Vec<u64> {
        (0..6).map(|i| cluster.config(i).stats().polls).collect()
    };
    let before = polls(&cluster);
    cluster.run_for(60_000);
    let counts: Vec<u64> = polls(&cluster)
        .iter()
        .zip(before)
        .map(|(a, b)| a - b)
        .collect();
    for pair in [[0, 3], [1, 4], [2, 5]] {
        let (a, b) = (counts[pair[0]], counts[pair[1]]);
        assert!(
            (29..=31).contains(&a.max(b)) && a.min(b) <= 11,
            "{counts:?}"
        );
    }
}

/// The instance that receives announcements for data centre b has crashed undetected. Without a retry at the other
/// instance there, the change would not arrive before the next poll.
#[test]
fn an_announcement_is_retried_at_another_instance_of_the_data_centre() {
    let mut cluster = Cluster::with_records(5, &[sample::COMPUTE]);
    cluster.run_for(1_000);
    let calls = commit_unannounced(&mut cluster, 0, submit(OPEN));
    let receiver = |message: &Message| match message {
        Message::Call(_, _, _, to, _) => *to,
        message => panic!("{message:?}"),
    };
    let first = calls
        .iter()
        .map(receiver)
        .find(|to| [1, 4].contains(to))
        .unwrap();
    cluster.stop(first);
    calls
        .into_iter()
        .for_each(|message| cluster.deliver(message));
    cluster.deliver_all();
    assert_eq!(cluster.config(5 - first).revision(), Revision(2));
}

/// An accepted change must reach all instances through their peers if the table fails right after the commit.
#[test]
fn an_accepted_change_spreads_in_an_outage() {
    let mut cluster = Cluster::with_records(7, &[sample::COMPUTE]);
    cluster.run_for(1_000);
    let edit = cluster.edit(submit(OPEN));
    let request = cluster.ask(4, Ask::Edit(edit));
    while !cluster.reports.contains_key(&request) {
        let message = cluster.messages.remove(0);
        cluster.deliver(message);
    }
    cluster.outage = true;
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [2; 7]);
}

/// An instance that starts in an outage must not run jobs under replaced records: it takes the newest revision that
/// a peer applies, and is unready before.
#[test]
fn an_instance_that_starts_in_an_outage_takes_the_newest_revision_of_its_peers() {
    let mut cluster = Cluster::with_records(3, &[sample::COMPUTE]);
    cluster.stop(2);
    cluster.partitioned.insert(id("b"));
    let report = cluster.change(0, submit(OPEN));
    assert!(matches!(report, Report::Accepted { .. }));
    cluster.outage = true;
    cluster.partitioned.clear();
    cluster.messages.clear();
    cluster.start(2);
    cluster.tick(100);
    cluster.deliver_all();
    assert!(!cluster.config(2).is_ready());
    let report = cluster.request(2, Ask::List(None));
    assert_eq!(report, Report::Unready);
    cluster.run_for(1_000);
    assert!(cluster.config(2).is_ready());
    assert_eq!(cluster.revisions(), [2, 2, 2]);
}

#[test]
fn an_instance_alone_in_an_outage_is_not_ready() {
    // Without the table and peers, an instance has no records and must not take jobs.
    let mut cluster = Cluster::new(1);
    cluster.outage = true;
    cluster.run_for(5_000);
    assert!(!cluster.config(0).is_ready());
    cluster.outage = false;
    cluster.run_for(2_000);
    assert!(cluster.config(0).is_ready());
}

/// A partitioned data centre misses more changes than fit in one message. It must apply all of them afterwards.
#[test]
fn a_partitioned_data_centre_catches_up() {
    let mut cluster = Cluster::with_records(6, &[sample::COMPUTE]);
    cluster.run_for(1_000);
    cluster.partitioned.insert(id("c"));
    for i in 0..20 {
        let padding = " ".repeat(12_000);
        let text = sample::COMPUTE.replace("compute", &format!("p{i}")) + &padding;
        let edit = cluster.edit(submit(&text));
        cluster.ask(0, Ask::Edit(edit));
        cluster
            .messages
            .retain(|message| !matches!(message, Message::Command(2 | 5, ..)));
        cluster.deliver_all();
    }
    assert_eq!(cluster.revisions(), [21, 21, 1, 21, 21, 1]);
    cluster.outage = true;
    cluster.partitioned.clear();
    cluster.run_for(3_000);
    assert_eq!(cluster.revisions(), [21; 6]);
}

#[test]
fn changes_reach_all_instances_in_a_rolling_restart() {
    // A change during a rolling restart must reach the restarted instances too.
    let mut cluster = Cluster::with_records(5, sample::ALL);
    for i in 0..5 {
        cluster.stop(i);
        cluster.run_for(500);
        cluster.change(
            (i + 1) % 5,
            submit(&sample::COMPUTE.replace("compute", &format!("p{i}"))),
        );
        cluster.start(i);
        cluster.run_for(500);
        assert_eq!(cluster.revisions(), [6 + i as u64; 5]);
    }
}

#[test]
fn a_rollout_lists_where_a_record_is_in_force() {
    // An operator must see which instances don't apply a change yet.
    let mut cluster = Cluster::with_records(3, &[sample::COMPUTE]);
    cluster.partitioned.insert(id("b"));
    cluster.heartbeat();
    let edit = cluster.edit(submit(OPEN));
    cluster.ask(0, Ask::Edit(edit));
    cluster
        .messages
        .retain(|message| !matches!(message, Message::Command(1, ..)));
    cluster.deliver_all();
    cluster.partitioned.clear();
    let read_rollout = |cluster: &mut Cluster| {
        cluster.heartbeat();
        let ask = Ask::Rollout("pool/spare".parse().unwrap());
        let request = cluster.ask(0, ask);
        match &cluster.reports[&request] {
            Report::Rollout(rollout) => {
                let instances = rollout
                    .instances
                    .iter()
                    .map(|p| (p.instance.to_string(), p.in_force));
                (rollout.everywhere, instances.collect::<Vec<_>>())
            }
            report => panic!("{report:?}"),
        }
    };
    let entry = |name: &str, in_force| (name.to_owned(), in_force);
    let instances = vec![entry("n0", true), entry("n1", false), entry("n2", true)];
    assert_eq!(read_rollout(&mut cluster), (false, instances));
    cluster.deliver_all();
    assert!(read_rollout(&mut cluster).0);
}

#[test]
fn a_command_without_a_result_times_out() {
    // A start that waits forever for the result of a lost read would never become ready.
    let mut cluster = Cluster::new(1);
    cluster.messages.clear();
    cluster.tick(11_000);
    cluster.run_for(1_000);
    assert!(cluster.config(0).is_ready());
}

#[test]
fn an_unexpected_return_changes_nothing() {
    // A result without a request, or a call for unknown revisions, must not change the configuration.
    let mut cluster = Cluster::with_records(2, &[sample::COMPUTE]);
    cluster.input(1, Input::Completed(9_999, Completion::Row(None)));
    cluster.input(1, Input::Returned(9_999, Err(())));
    cluster.messages.push(Message::Call(
        0,
        0,
        0,
        1,
        Call::Fetch {
            after: Revision(77),
        },
    ));
    cluster.deliver_all();
    assert_eq!(cluster.revisions(), [1, 1]);
}

use crate::prelude::*;

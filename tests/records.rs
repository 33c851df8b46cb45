//! Tests of configuration records: which changes are accepted, and that accepted ones stay in force at all instances.

#[path = "records/cluster.rs"]
mod cluster;
#[path = "records/edits.rs"]
mod edits;
#[path = "records/loads.rs"]
mod loads;
#[path = "records/orders.rs"]
mod orders;
#[path = "records/parsing.rs"]
mod parsing;
#[path = "records/propagation.rs"]
mod propagation;
#[path = "records/rules.rs"]
mod rules;
#[path = "records/table.rs"]
mod table;

/// Imports of most tests.
mod prelude {
    pub(crate) use poplarknot::{
        core::{
            config::{
                ask::{
                    Act,
                    Audit,
                    Edit, //
                },
                report::Refusal,
                row,
                Ask,
                Call,
                Config,
                Input,
                Output,
                Peer,
                Report,
                Return, //
            },
            message::{
                Command,
                Completion,
                IncomingCall,
                Request, //
            }, //
        },
        prelude::*,
        record::{
            fault::Code,
            pool,
            route::Error,
            rule,
            Body,
            Name,
            Record, //
        },
        table::wire::{
            Group,
            Row,
            State,
            Verdict,
            Worker, //
        }, //
    };

    pub(crate) use crate::{
        cluster::{
            amend,
            id,
            submit,
            withdraw,
            worker,
            Cluster,
            Message,
            POLL, //
        },
        loads::{
            commit_unannounced,
            take_message, //
        },
        propagation::{
            write_to_table,
            CLOSED,
            OPEN, //
        },
        rules::refusal_faults,
        sample,
        table::Table, //
    };
}

/// Sample records of both schemas, which refer to one another.
mod sample {
    pub(crate) const COMPUTE: &str = r#"{"schema":1,"kind":"pool","name":"compute"}"#;
    pub(crate) const SPARE: &str =
        r#"{"schema":2,"kind":"pool","name":"spare","least":{"cores":32}}"#;
    pub(crate) const NOTEBOOK: &str =
        r#"{"schema":1,"kind":"service","name":"notebook","pool":"compute","deadline":10}"#;
    pub(crate) const MATCHING: &str = r#"{"schema":2,"kind":"service","name":"matching",
        "pools":["compute","spare"],"class":"non-idempotent","deadline_ms":2500,"lease_ms":2000}"#;
    pub(crate) const RULE: &str = r#"{"schema":2,"kind":"rule","name":"home","service":"matching",
        "centres":["b","c"],"quotas":{"swaps":{"weight":3,"outstanding":40}}}"#;
    /// All samples, in an order in which they can be submitted.
    pub(crate) const ALL: &[&str] = &[COMPUTE, SPARE, NOTEBOOK, MATCHING, RULE];
}

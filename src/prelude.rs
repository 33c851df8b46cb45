//! Types that most modules use.

pub use crate::{
    id::{
        Attempt,
        Centre,
        Digest,
        Endpoint,
        Incarnation,
        Instance,
        Key,
        Nonce,
        Operation,
        Operator,
        Pool,
        Revision,
        Service,
        Team, //
    },
    job::{
        Answer,
        Class,
        Hardware,
        Outcome,
        Reason,
        Submission, //
    },
    time::{
        Span,
        Time, //
    }, //
};

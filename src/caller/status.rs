//! HTTP status codes of answers.

use crate::prelude::*;

/// Returns the HTTP status code of an answer with this reason.
pub fn for_reason(reason: Reason) -> u16 {
    match reason {
        Reason::Done => 200,
        Reason::Running => 202,
        Reason::TooLarge => 413,
        Reason::Invalid => 400,
        Reason::NoService => 404,
        Reason::Incomplete => 408,
        Reason::Conflict | Reason::Cancelled => 409,
        Reason::Forgotten | Reason::RangeClosed => 410,
        Reason::Impossible => 422,
        Reason::Busy => 429,
        Reason::TaskFailed => 502,
        Reason::NoEndpoint
        | Reason::Store
        | Reason::Draining
        | Reason::NotReady
        | Reason::Schema => 503,
        Reason::OwnerGone | Reason::Lost | Reason::Deadline => 504,
    }
}

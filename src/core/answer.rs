//! Answers that are given at several places.

use crate::prelude::*;

/// When to come back after a refusal that no better estimate is known for.
pub(super) const RETRY_AFTER: Span = Span::millis(1_000);

pub(super) fn with_key(mut answer: Answer, submission: &Submission) -> Answer {
    answer.key.clone_from(&submission.key);
    answer
}

pub(super) fn conflict(key: &Key) -> Answer {
    Answer::refusal(
        Reason::Conflict,
        format!("key: {key} was used with another body; this body was not run"),
    )
    .with_key(key.clone())
}

pub(super) fn owner_gone() -> Answer {
    Answer::new(
        Outcome::Unknown,
        Reason::OwnerGone,
        "the instance that owns this key can't be reached, and no outcome is recorded",
    )
    .with_retry_after(RETRY_AFTER)
}

pub(super) fn not_known(key: &Key) -> Answer {
    Answer::new(
        Outcome::Unknown,
        Reason::Forgotten,
        format!("key {key} is not known to this instance"),
    )
    .with_key(key.clone())
}

/// Returns a refusal as it is where it is known to be true of the key, and in doubt otherwise.
pub(super) fn refused(refusal: &Answer, sure: bool) -> Answer {
    if sure {
        refusal.clone()
    } else {
        doubtful(refusal)
    }
}

/// Turns a refusal into an answer that leaves open whether an earlier submission of the key ran.
pub(super) fn doubtful(refusal: &Answer) -> Answer {
    let mut answer = refusal.clone();
    answer.outcome = Outcome::Unknown;
    answer.detail = format!(
        "{}; this request started nothing, but whether an earlier one with its key did can't be told now",
        refusal.detail
    );
    answer
}

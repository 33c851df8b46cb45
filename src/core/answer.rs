//! Constructors of answers that several modules use.

use crate::prelude::*;

/// The default delay after which a caller may retry a refused request.
pub(super) const RETRY_AFTER: Span = Span::millis(1_000);

/// Adds the key of a submission to its answer.
pub(super) fn with_key(mut answer: Answer, submission: &Submission) -> Answer {
    answer.key.clone_from(&submission.key);
    answer
}

/// Returns the refusal of a key that was used with another body.
pub(super) fn conflict(key: &Key) -> Answer {
    Answer::refusal(
        Reason::Conflict,
        format!("key: {key} was used with another body; this body was not run"),
    )
    .with_key(key.clone())
}

/// Returns the answer for a key whose owner can't be reached and that has no recorded outcome.
pub(super) fn owner_unreachable() -> Answer {
    Answer::new(
        Outcome::Unknown,
        Reason::OwnerGone,
        "the instance that owns this key can't be reached, and no outcome is recorded",
    )
    .with_retry_after(RETRY_AFTER)
}

/// Returns the answer for a key that isn't in the registry.
pub(super) fn unknown_key(key: &Key) -> Answer {
    Answer::new(
        Outcome::Unknown,
        Reason::Forgotten,
        format!("key {key} is unknown to this instance"),
    )
    .with_key(key.clone())
}

/// Returns a refusal unchanged if no earlier submission of the key can have run, and with outcome "unknown" otherwise.
pub(super) fn qualify_refusal(refusal: &Answer, never_ran: bool) -> Answer {
    if never_ran {
        refusal.clone()
    } else {
        refusal_in_doubt(refusal)
    }
}

/// Returns a refusal with outcome "unknown", since an earlier submission of the key may have run.
pub(super) fn refusal_in_doubt(refusal: &Answer) -> Answer {
    let mut answer = refusal.clone();
    answer.outcome = Outcome::Unknown;
    answer.detail = format!(
        "{}; this request started no task, but an earlier one with the same key may have",
        refusal.detail
    );
    answer
}

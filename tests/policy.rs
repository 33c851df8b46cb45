//! Unit tests of the core's policies: admission, health, membership, placement, queue and retry.

#[path = "policy/admission.rs"]
mod admission;
#[path = "policy/health.rs"]
mod health;
#[path = "policy/membership.rs"]
mod membership;
#[path = "policy/placement.rs"]
mod placement;
#[path = "policy/queue.rs"]
mod queue;
#[path = "policy/retry.rs"]
mod retry;
#[path = "policy/support.rs"]
mod support;

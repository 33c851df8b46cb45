//! Locks within one thread.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks a mutex. A panic ends the process before a state that it left behind could be seen.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

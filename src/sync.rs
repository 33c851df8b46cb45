//! Locking of mutexes.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks a mutex, also a poisoned one: a panic ends the process, so that no other thread sees an inconsistent state.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

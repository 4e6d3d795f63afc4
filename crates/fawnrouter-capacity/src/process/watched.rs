//! A shared value whose changes can be waited for.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A value behind a mutex, with a condition variable that is notified of each change.
#[derive(Debug, Default)]
pub(super) struct Watched<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Watched<T> {
    /// Changes the value and wakes all threads that wait for it.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// A copy of the current value.
    pub fn get(&self) -> T
    where
        T: Clone,
    {
        self.lock().clone()
    }

    /// Waits until the value meets a condition; `false` if it does not by the deadline.
    pub fn wait_until(&self, deadline: Instant, condition: impl Fn(&T) -> bool) -> bool {
        let mut value = self.lock();
        while !condition(&value) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let (guard, _) =
                self.changed.wait_timeout(value, remaining).unwrap_or_else(PoisonError::into_inner);
            value = guard;
        }
        true
    }

    /// Locks the value. A poisoned lock is accepted: each change is one statement, so a thread that panicked
    /// leaves consistent counts.
    fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

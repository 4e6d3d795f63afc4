//! A value that one thread changes and another waits for.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// A value with its waiters.
#[derive(Debug, Default)]
pub(super) struct Watched<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T> Watched<T> {
    /// Changes the value and wakes who waits for it.
    pub fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// The value as it is now.
    pub fn get(&self) -> T
    where
        T: Clone,
    {
        self.lock().clone()
    }

    /// Waits until the value is as wanted; `false` if it is not by the deadline.
    pub fn wait(&self, deadline: Instant, wanted: impl Fn(&T) -> bool) -> bool {
        let mut value = self.lock();
        while !wanted(&value) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let (guard, _) = self.changed.wait_timeout(value, left).unwrap_or_else(PoisonError::into_inner);
            value = guard;
        }
        true
    }

    /// A thread that panicked leaves counts that are whole: each change is one statement.
    fn lock(&self) -> MutexGuard<'_, T> {
        self.value.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

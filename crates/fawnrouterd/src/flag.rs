//! A flag that one task can wait for.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A flag, not set at first. At most one task waits for it.
#[derive(Default)]
pub struct Flag {
    is_set: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl Flag {
    /// Sets the flag and wakes the waiting task.
    pub fn set(&self) {
        self.is_set.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Clears the flag, once its cause has been handled.
    pub fn clear(&self) {
        self.is_set.set(false);
    }

    pub fn is_set(&self) -> bool {
        self.is_set.get()
    }

    /// Waits until the flag is set.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.is_set.get() {
                return Poll::Ready(());
            }
            self.waker.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

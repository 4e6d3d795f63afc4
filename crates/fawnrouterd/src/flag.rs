//! A word that is said and waited for by one task.

use std::cell::Cell;
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// Not said at first.
#[derive(Default)]
pub struct Flag {
    up: Cell<bool>,
    waiting: Cell<Option<Waker>>,
}

impl Flag {
    /// Says it; again changes nothing.
    pub fn set(&self) {
        self.up.set(true);
        if let Some(waker) = self.waiting.take() {
            waker.wake();
        }
    }

    /// Takes it back: what it was said for has been done.
    pub fn clear(&self) {
        self.up.set(false);
    }

    pub fn is_set(&self) -> bool {
        self.up.get()
    }

    /// Ends when it has been said.
    pub async fn wait(&self) {
        poll_fn(|cx| {
            if self.up.get() {
                return Poll::Ready(());
            }
            self.waiting.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }
}

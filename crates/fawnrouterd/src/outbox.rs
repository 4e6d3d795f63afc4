//! Bytes that wait to be written to one connection, with a limit.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::TcpStream;
use std::task::{Poll, Waker};

use async_io::Async;

use crate::buffer_share::Share;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing more is taken; what waits is written.
    Finishing,
    /// Nothing more is written.
    Dead,
}

/// A part of what waits, by its place in all that has been pushed and not taken back.
#[derive(Clone, Copy, Debug)]
struct Marked {
    mark: u64,
    from: u64,
    len: u64,
}

/// The queue of one connection. The writer may be dropped at any await and begun again.
pub struct Outbox {
    waiting: RefCell<Vec<u8>>,
    /// What is being written, and from where on.
    writing: RefCell<Vec<u8>>,
    written: Cell<usize>,
    limit: usize,
    share: Share,
    /// Bytes written since the start.
    taken: Cell<u64>,
    /// What may be taken back while not a byte of it is written, in order.
    marked: RefCell<VecDeque<Marked>>,
    state: Cell<State>,
    /// Why it was ended, if somebody gave a reason.
    why: Cell<Option<&'static str>>,
    waker: Cell<Option<Waker>>,
    killed: Cell<Option<Waker>>,
    ended: Cell<Option<Waker>>,
}

impl Outbox {
    /// An empty one that holds `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_budget_share(limit, Share::unbound())
    }

    /// One whose bytes count against a budget.
    pub fn with_budget_share(limit: usize, share: Share) -> Self {
        Self {
            waiting: RefCell::default(),
            writing: RefCell::default(),
            written: Cell::new(0),
            limit,
            share,
            taken: Cell::new(0),
            marked: RefCell::default(),
            state: Cell::new(State::Open),
            why: Cell::new(None),
            waker: Cell::new(None),
            killed: Cell::new(None),
            ended: Cell::new(None),
        }
    }

    /// Adds what `write` appends. Beyond the limit the connection is given up: a peer that does not read must not
    /// take the memory of all others.
    pub fn push(&self, write: impl FnOnce(&mut Vec<u8>)) {
        if self.state.get() != State::Open {
            return;
        }
        write(&mut self.waiting.borrow_mut());
        let backlog = self.backlog();
        if !self.share.set(backlog) || backlog > self.limit {
            self.abort();
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// As [`Outbox::push`]; what is added can be taken back by its mark while not a byte of it is written.
    pub fn push_marked(&self, mark: u64, bytes: &[u8]) {
        let (from, len) = (self.taken.get() + self.backlog() as u64, bytes.len() as u64);
        let mut marked = self.marked.borrow_mut();
        while marked.front().is_some_and(|m| m.from < self.taken.get()) {
            marked.pop_front();
        }
        if self.is_open() {
            marked.push_back(Marked { mark, from, len });
        }
        drop(marked);
        self.push(|out| out.extend_from_slice(bytes));
    }

    /// Takes back what was added last under this mark; `false` if a byte of it is written, or it is not there.
    pub fn remove_unwritten(&self, mark: u64) -> bool {
        if self.state.get() == State::Dead {
            return false;
        }
        let mut marked = self.marked.borrow_mut();
        let unwritten = |m: &Marked| m.mark == mark && m.from >= self.taken.get();
        let Some(place) = marked.iter().rposition(unwritten) else { return false };
        let Some(part) = marked.remove(place) else { return false };
        marked.iter_mut().skip(place).for_each(|m| m.from -= part.len);
        // Counted from the first byte that is not written; what is being written comes before what waits, and no part
        // lies in both.
        let from = (part.from - self.taken.get()) as usize;
        let (mut writing, mut waiting) = (self.writing.borrow_mut(), self.waiting.borrow_mut());
        let ahead = writing.len() - self.written.get();
        let (queue, from) = if from < ahead {
            (&mut *writing, from + self.written.get())
        } else {
            (&mut *waiting, from - ahead)
        };
        queue.drain(from..from + part.len as usize);
        drop((writing, waiting));
        self.share.set(self.backlog());
        true
    }

    /// Takes back all that has a mark and of which not a byte is written; the marks, in order.
    pub fn remove_all_unwritten(&self) -> Vec<u64> {
        let marks: Vec<u64> = self.marked.borrow().iter().map(|m| m.mark).collect();
        marks.into_iter().filter(|mark| self.remove_unwritten(*mark)).collect()
    }

    /// The marks of which not a byte is written, in order; those of a connection that was given up among them.
    pub fn unwritten_marks(&self) -> Vec<u64> {
        let taken = self.taken.get();
        self.marked.borrow().iter().filter(|m| m.from >= taken).map(|m| m.mark).collect()
    }

    /// Bytes that wait.
    pub fn backlog(&self) -> usize {
        self.waiting.borrow().len() + self.writing.borrow().len() - self.written.get()
    }

    /// Bytes written since the start.
    pub fn written_bytes(&self) -> u64 {
        self.taken.get()
    }

    /// Whether it still takes bytes.
    pub fn is_open(&self) -> bool {
        self.state.get() == State::Open
    }

    /// Takes no more; the writer ends when all is written.
    pub fn finish(&self) {
        if self.state.get() == State::Open {
            self.state.set(State::Finishing);
        }
        for waker in [self.waker.take(), self.ended.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    /// As [`Outbox::finish`], for a reason.
    pub fn finish_with_reason(&self, why: &'static str) {
        self.why.set(Some(why));
        self.finish();
    }

    /// Ends when nothing more is taken; with the reason, if there was one.
    pub async fn finished(&self) -> Option<&'static str> {
        poll_fn(|cx| {
            if self.state.get() != State::Open {
                return Poll::Ready(());
            }
            self.ended.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
        self.why.get()
    }

    /// Drops what waits and ends the connection.
    pub fn abort(&self) {
        self.state.set(State::Dead);
        self.waiting.borrow_mut().clear();
        self.share.set(0);
        for waker in [self.waker.take(), self.killed.take(), self.ended.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    /// Ends when the connection is given up.
    pub async fn aborted(&self) {
        poll_fn(|cx| {
            if self.state.get() == State::Dead {
                return Poll::Ready(());
            }
            self.killed.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Writes until there is nothing more to come.
    pub async fn write_to(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            if self.written.get() == self.writing.borrow().len() {
                self.writing.borrow_mut().clear();
                self.written.set(0);
                let more = poll_fn(|cx| {
                    if !self.waiting.borrow().is_empty() {
                        return Poll::Ready(true);
                    }
                    if self.state.get() != State::Open {
                        return Poll::Ready(false);
                    }
                    self.waker.set(Some(cx.waker().clone()));
                    Poll::Pending
                })
                .await;
                if !more {
                    return Ok(());
                }
                std::mem::swap(&mut *self.waiting.borrow_mut(), &mut *self.writing.borrow_mut());
                // A connection that was busy once does not keep its memory for ever.
                if self.waiting.borrow().capacity() > 64 * 1024 {
                    *self.waiting.borrow_mut() = Vec::new();
                }
            }
            let wrote = stream
                .write_with(|mut s| match &self.writing.borrow()[self.written.get()..] {
                    // All of it has been taken back meanwhile.
                    [] => Ok(0),
                    rest => s.write(rest),
                })
                .await?;
            if wrote == 0 && self.written.get() < self.writing.borrow().len() {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.written.set(self.written.get() + wrote);
            self.taken.set(self.taken.get() + wrote as u64);
            self.share.set(self.backlog());
        }
    }
}

#[cfg(test)]
#[path = "outbox_tests.rs"]
mod tests;

//! Bytes that wait to be written to one connection, with a limit.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::TcpStream;
use std::task::{Poll, Waker};

use async_io::Async;

use crate::buffer_share::BufferShare;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing more is taken; what waits is written.
    Finishing,
    /// Nothing more is written.
    Aborted,
}

/// A part of what waits, by its place in all that has been pushed and not taken back.
#[derive(Clone, Copy, Debug)]
struct MarkedRange {
    mark: u64,
    start: u64,
    len: u64,
}

/// The queue of one connection. The writer may be dropped at any await and begun again.
pub struct Outbox {
    queued: RefCell<Vec<u8>>,
    /// What is being written, and from where on.
    writing: RefCell<Vec<u8>>,
    write_offset: Cell<usize>,
    limit: usize,
    share: BufferShare,
    /// Bytes written since the start.
    total_written: Cell<u64>,
    /// What may be taken back while not a byte of it is written, in order.
    marked_ranges: RefCell<VecDeque<MarkedRange>>,
    state: Cell<State>,
    /// Why it was ended, if somebody gave a reason.
    reason: Cell<Option<&'static str>>,
    writer_waker: Cell<Option<Waker>>,
    abort_waker: Cell<Option<Waker>>,
    finish_waker: Cell<Option<Waker>>,
}

impl Outbox {
    /// An empty one that holds `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_budget_share(limit, BufferShare::unlimited())
    }

    /// One whose bytes count against a budget.
    pub fn with_budget_share(limit: usize, share: BufferShare) -> Self {
        Self {
            queued: RefCell::default(),
            writing: RefCell::default(),
            write_offset: Cell::new(0),
            limit,
            share,
            total_written: Cell::new(0),
            marked_ranges: RefCell::default(),
            state: Cell::new(State::Open),
            reason: Cell::new(None),
            writer_waker: Cell::new(None),
            abort_waker: Cell::new(None),
            finish_waker: Cell::new(None),
        }
    }

    /// Adds what `write` appends. Beyond the limit the connection is given up: a peer that does not read must not
    /// take the memory of all others.
    pub fn push(&self, write: impl FnOnce(&mut Vec<u8>)) {
        if self.state.get() != State::Open {
            return;
        }
        write(&mut self.queued.borrow_mut());
        let backlog = self.backlog();
        if !self.share.resize(backlog) || backlog > self.limit {
            self.abort();
        }
        if let Some(waker) = self.writer_waker.take() {
            waker.wake();
        }
    }

    /// As [`Outbox::push`]; what is added can be taken back by its mark while not a byte of it is written.
    pub fn push_marked(&self, mark: u64, bytes: &[u8]) {
        let (start, len) = (self.total_written.get() + self.backlog() as u64, bytes.len() as u64);
        let mut marked_ranges = self.marked_ranges.borrow_mut();
        while marked_ranges.front().is_some_and(|m| m.start < self.total_written.get()) {
            marked_ranges.pop_front();
        }
        if self.is_open() {
            marked_ranges.push_back(MarkedRange { mark, start, len });
        }
        drop(marked_ranges);
        self.push(|out| out.extend_from_slice(bytes));
    }

    /// Takes back what was added last under this mark; `false` if a byte of it is written, or it is not there.
    pub fn remove_unwritten(&self, mark: u64) -> bool {
        if self.state.get() == State::Aborted {
            return false;
        }
        let mut marked_ranges = self.marked_ranges.borrow_mut();
        let unwritten = |m: &MarkedRange| m.mark == mark && m.start >= self.total_written.get();
        let Some(place) = marked_ranges.iter().rposition(unwritten) else { return false };
        let Some(part) = marked_ranges.remove(place) else { return false };
        marked_ranges.iter_mut().skip(place).for_each(|m| m.start -= part.len);
        // Counted from the first byte that is not written; what is being written comes before what waits, and no part
        // lies in both.
        let start = (part.start - self.total_written.get()) as usize;
        let (mut writing, mut queued) = (self.writing.borrow_mut(), self.queued.borrow_mut());
        let ahead = writing.len() - self.write_offset.get();
        let (queue, start) = if start < ahead {
            (&mut *writing, start + self.write_offset.get())
        } else {
            (&mut *queued, start - ahead)
        };
        queue.drain(start..start + part.len as usize);
        drop((writing, queued));
        self.share.resize(self.backlog());
        true
    }

    /// Takes back all that has a mark and of which not a byte is written; the marks, in order.
    pub fn remove_all_unwritten(&self) -> Vec<u64> {
        let marks: Vec<u64> = self.marked_ranges.borrow().iter().map(|m| m.mark).collect();
        marks.into_iter().filter(|mark| self.remove_unwritten(*mark)).collect()
    }

    /// The marks of which not a byte is written, in order; those of a connection that was given up among them.
    pub fn unwritten_marks(&self) -> Vec<u64> {
        let total_written = self.total_written.get();
        self.marked_ranges.borrow().iter().filter(|m| m.start >= total_written).map(|m| m.mark).collect()
    }

    /// Bytes that wait.
    pub fn backlog(&self) -> usize {
        self.queued.borrow().len() + self.writing.borrow().len() - self.write_offset.get()
    }

    /// Bytes written since the start.
    pub fn written_bytes(&self) -> u64 {
        self.total_written.get()
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
        for waker in [self.writer_waker.take(), self.finish_waker.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    /// As [`Outbox::finish`], for a reason.
    pub fn finish_with_reason(&self, reason: &'static str) {
        self.reason.set(Some(reason));
        self.finish();
    }

    /// Ends when nothing more is taken; with the reason, if there was one.
    pub async fn finished(&self) -> Option<&'static str> {
        poll_fn(|cx| {
            if self.state.get() != State::Open {
                return Poll::Ready(());
            }
            self.finish_waker.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
        self.reason.get()
    }

    /// Drops what waits and ends the connection.
    pub fn abort(&self) {
        self.state.set(State::Aborted);
        self.queued.borrow_mut().clear();
        self.share.resize(0);
        for waker in [self.writer_waker.take(), self.abort_waker.take(), self.finish_waker.take()]
            .into_iter()
            .flatten()
        {
            waker.wake();
        }
    }

    /// Ends when the connection is given up.
    pub async fn aborted(&self) {
        poll_fn(|cx| {
            if self.state.get() == State::Aborted {
                return Poll::Ready(());
            }
            self.abort_waker.set(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    /// Writes until there is nothing more to come.
    pub async fn write_to(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            if self.write_offset.get() == self.writing.borrow().len() {
                self.writing.borrow_mut().clear();
                self.write_offset.set(0);
                let more = poll_fn(|cx| {
                    if !self.queued.borrow().is_empty() {
                        return Poll::Ready(true);
                    }
                    if self.state.get() != State::Open {
                        return Poll::Ready(false);
                    }
                    self.writer_waker.set(Some(cx.waker().clone()));
                    Poll::Pending
                })
                .await;
                if !more {
                    return Ok(());
                }
                std::mem::swap(&mut *self.queued.borrow_mut(), &mut *self.writing.borrow_mut());
                // A connection that was busy once does not keep its memory for ever.
                if self.queued.borrow().capacity() > 64 * 1024 {
                    *self.queued.borrow_mut() = Vec::new();
                }
            }
            let wrote = stream
                .write_with(|mut s| match &self.writing.borrow()[self.write_offset.get()..] {
                    // All of it has been taken back meanwhile.
                    [] => Ok(0),
                    rest => s.write(rest),
                })
                .await?;
            if wrote == 0 && self.write_offset.get() < self.writing.borrow().len() {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.write_offset.set(self.write_offset.get() + wrote);
            self.total_written.set(self.total_written.get() + wrote as u64);
            self.share.resize(self.backlog());
        }
    }
}

#[cfg(test)]
#[path = "outbox_tests.rs"]
mod tests;

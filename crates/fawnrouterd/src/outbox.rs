//! The bounded write queue of one connection.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, Write};
use std::net::TcpStream;
use std::task::{Poll, Waker};

use async_io::Async;

use crate::buffer_share::BufferShare;

/// Capacity in bytes that an empty buffer keeps for reuse. Each connection has two buffers.
const MAX_RETAINED_CAPACITY: usize = 4 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Accepts nothing more; queued bytes are still written.
    Finishing,
    /// Writes nothing more.
    Aborted,
}

/// A removable part of the queue. `start` counts all bytes pushed and not removed since the connection was
/// opened.
#[derive(Clone, Copy, Debug)]
struct MarkedRange {
    mark: u64,
    start: u64,
    len: u64,
}

/// The write queue of one connection. The future of [`Outbox::write_to`] may be dropped at any await and
/// started anew.
pub struct Outbox {
    queued: RefCell<Vec<u8>>,
    /// The bytes being written, of which those before `write_offset` are written.
    writing: RefCell<Vec<u8>>,
    write_offset: Cell<usize>,
    limit: usize,
    share: BufferShare,
    /// Bytes written since the connection was opened.
    total_written: Cell<u64>,
    /// Parts that can be removed as long as none of their bytes is written, in order.
    marked_ranges: RefCell<VecDeque<MarkedRange>>,
    state: Cell<State>,
    /// Why the queue was finished, if a reason was given.
    reason: Cell<Option<&'static str>>,
    writer_waker: Cell<Option<Waker>>,
    abort_waker: Cell<Option<Waker>>,
    finish_waker: Cell<Option<Waker>>,
}

impl Outbox {
    /// Creates an empty queue for up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self::with_budget_share(limit, BufferShare::unlimited())
    }

    /// Creates an empty queue whose bytes also count against a budget.
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

    /// Adds the bytes that `write` appends. If that exceeds the limit, the connection is aborted: a peer that
    /// does not read must not use up the memory of the others.
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

    /// As [`Outbox::push`], but the bytes can be removed by their mark as long as none of them is written.
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

    /// Removes the bytes last added under this mark; `false` if one of them is written, or the mark is
    /// unknown.
    pub fn remove_unwritten(&self, mark: u64) -> bool {
        if self.state.get() == State::Aborted {
            return false;
        }
        let mut marked_ranges = self.marked_ranges.borrow_mut();
        let unwritten = |m: &MarkedRange| m.mark == mark && m.start >= self.total_written.get();
        let Some(index) = marked_ranges.iter().rposition(unwritten) else { return false };
        let Some(range) = marked_ranges.remove(index) else { return false };
        marked_ranges.iter_mut().skip(index).for_each(|m| m.start -= range.len);
        // Counted from the first unwritten byte. `writing` precedes `queued`, and no range lies in both.
        let start = (range.start - self.total_written.get()) as usize;
        let (mut writing, mut queued) = (self.writing.borrow_mut(), self.queued.borrow_mut());
        let unwritten_len = writing.len() - self.write_offset.get();
        let (buffer, start) = if start < unwritten_len {
            (&mut *writing, start + self.write_offset.get())
        } else {
            (&mut *queued, start - unwritten_len)
        };
        buffer.drain(start..start + range.len as usize);
        drop((writing, queued));
        self.share.resize(self.backlog());
        true
    }

    /// Removes all marked parts of which no byte is written. Returns their marks, in order.
    pub fn remove_all_unwritten(&self) -> Vec<u64> {
        let marks: Vec<u64> = self.marked_ranges.borrow().iter().map(|m| m.mark).collect();
        marks.into_iter().filter(|mark| self.remove_unwritten(*mark)).collect()
    }

    /// Marks of the parts of which no byte is written, in order, even if the connection was aborted.
    pub fn unwritten_marks(&self) -> Vec<u64> {
        let total_written = self.total_written.get();
        self.marked_ranges.borrow().iter().filter(|m| m.start >= total_written).map(|m| m.mark).collect()
    }

    /// Number of bytes not yet written.
    pub fn backlog(&self) -> usize {
        self.queued.borrow().len() + self.writing.borrow().len() - self.write_offset.get()
    }

    /// Number of bytes written since the connection was opened.
    pub fn written_bytes(&self) -> u64 {
        self.total_written.get()
    }

    /// Whether the queue still accepts bytes.
    pub fn is_open(&self) -> bool {
        self.state.get() == State::Open
    }

    /// Accepts nothing more; the writer ends once all queued bytes are written.
    pub fn finish(&self) {
        if self.state.get() == State::Open {
            self.state.set(State::Finishing);
        }
        for waker in [self.writer_waker.take(), self.finish_waker.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    /// As [`Outbox::finish`], with a reason that [`Outbox::finished`] returns.
    pub fn finish_with_reason(&self, reason: &'static str) {
        self.reason.set(Some(reason));
        self.finish();
    }

    /// Waits until nothing more is accepted. Returns the reason, if one was given.
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

    /// Discards the queue and ends the connection.
    pub fn abort(&self) {
        self.state.set(State::Aborted);
        clear_buffer(&mut self.queued.borrow_mut());
        self.share.resize(0);
        for waker in [self.writer_waker.take(), self.abort_waker.take(), self.finish_waker.take()]
            .into_iter()
            .flatten()
        {
            waker.wake();
        }
    }

    /// Waits until the connection is aborted.
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

    /// Writes to the stream until the queue is finished and empty.
    pub async fn write_to(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        loop {
            if self.write_offset.get() == self.writing.borrow().len() {
                clear_buffer(&mut self.writing.borrow_mut());
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
            }
            let wrote = stream
                .write_with(|mut s| match &self.writing.borrow()[self.write_offset.get()..] {
                    // Everything was removed in the meantime.
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

/// Empties a buffer, and releases the memory of a burst.
fn clear_buffer(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > MAX_RETAINED_CAPACITY {
        *buffer = Vec::new();
    }
}

#[cfg(test)]
#[path = "outbox_tests.rs"]
mod tests;

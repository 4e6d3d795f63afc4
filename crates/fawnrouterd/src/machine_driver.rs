//! Feeds inputs to a state machine and runs its timer. The owner carries out the machine's outputs.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use fawnrouter_engine::fawnrouter::Time;
use fawnrouter_machine::StateMachine;

use crate::clock::Clock;

/// A wake-up later than this means that the process was suspended, or that much input has arrived.
const LATE_WAKE_THRESHOLD: Duration = Duration::from_millis(3);

/// A state machine with its clock and timer.
pub struct MachineDriver<M: StateMachine> {
    machine: RefCell<M>,
    outputs: RefCell<Vec<M::Output>>,
    pub clock: Clock,
    /// Time until which the timer task sleeps.
    timer_due: Cell<Option<Time>>,
    /// Wakes the timer task when an earlier time is due.
    timer_waker: Cell<Option<Waker>>,
}

impl<M: StateMachine> MachineDriver<M> {
    pub fn new(machine: M) -> Self {
        Self {
            machine: RefCell::new(machine),
            outputs: RefCell::default(),
            clock: Clock::new(),
            timer_due: Cell::new(None),
            timer_waker: Cell::new(None),
        }
    }

    /// Gives the machine an input. `carry_out` is called with each output and must not give the machine
    /// another input.
    pub fn input(&self, input: M::Input, mut carry_out: impl FnMut(Time, &M, M::Output)) {
        let now = self.clock.now();
        let mut machine = self.machine.borrow_mut();
        let mut outputs = self.outputs.take();
        machine.handle(now, input, &mut outputs);
        for output in outputs.drain(..) {
            carry_out(now, &machine, output);
        }
        self.outputs.replace(outputs);
        let next = machine.next_wake();
        let earlier = next.is_some_and(|next| self.timer_due.get().is_none_or(|due| next < due));
        if earlier && let Some(waker) = self.timer_waker.take() {
            waker.wake();
        }
    }

    /// Calls `read` with the machine.
    pub fn with_machine<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Calls `wake` whenever the machine's timer is due, until the task is dropped.
    pub async fn run_timer(&self, wake: impl Fn(M::Input)) {
        loop {
            let due = self.machine.borrow().next_wake();
            self.timer_due.set(due);
            let mut polled = false;
            let rescheduled = poll_fn(|cx| {
                if std::mem::replace(&mut polled, true) && self.timer_waker.take().is_none() {
                    return Poll::Ready(());
                }
                self.timer_waker.set(Some(cx.waker().clone()));
                Poll::Pending
            });
            match due {
                Some(due) => {
                    let timer = async {
                        Timer::at(self.clock.instant(due)).await;
                    };
                    futures_lite::future::or(timer, rescheduled).await;
                }
                None => rescheduled.await,
            }
            self.timer_due.set(None);
            let Some(due) = self.machine.borrow().next_wake().filter(|due| *due <= self.clock.now()) else {
                continue;
            };
            // After a stall of this process, data waiting in the sockets may have arrived before the due
            // time. One round through the reactor lets it be read first, so that no peer is taken for late
            // because of the stall.
            if self.clock.now().since(due) > LATE_WAKE_THRESHOLD {
                Timer::after(Duration::from_millis(1)).await;
                futures_lite::future::yield_now().await;
            }
            wake(M::wake());
        }
    }
}

//! Feeds a state machine and wakes it when it asks for it. What its outputs mean is the front's affair.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use fawnrouter_engine::fawnrouter::Time;
use fawnrouter_machine::Machine;

use crate::clock::Clock;

/// A wake-up that is this late says that the process stood still, or that much has come in.
const LATE_WAKE_THRESHOLD: Duration = Duration::from_millis(3);

/// A state machine with the clock and what wakes it.
pub struct MachineDriver<M: Machine> {
    machine: RefCell<M>,
    outputs: RefCell<Vec<M::Output>>,
    pub clock: Clock,
    /// For when the timer's task sleeps, and what wakes it for an earlier time.
    timer_due: Cell<Option<Time>>,
    timer_waker: Cell<Option<Waker>>,
}

impl<M: Machine> MachineDriver<M> {
    pub fn new(machine: M) -> Self {
        Self {
            machine: RefCell::new(machine),
            outputs: RefCell::default(),
            clock: Clock::new(),
            timer_due: Cell::new(None),
            timer_waker: Cell::new(None),
        }
    }

    /// Gives the machine an input; `carry_out` does what it says, and gives it nothing meanwhile.
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

    /// Looks at the machine.
    pub fn with_machine<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        read(&self.machine.borrow())
    }

    /// Calls `wake` whenever the machine wants to be woken, for ever.
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
            // This process stood still: what lies in the sockets came before this time was due, or may have. One
            // round through the reactor lets it be read first, so that no peer is blamed for our own stall.
            if self.clock.now().since(due) > LATE_WAKE_THRESHOLD {
                Timer::after(Duration::from_millis(1)).await;
                futures_lite::future::yield_now().await;
            }
            wake(M::wake());
        }
    }
}

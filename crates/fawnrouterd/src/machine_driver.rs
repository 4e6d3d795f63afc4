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
const LATE: Duration = Duration::from_millis(3);

/// A state machine with the clock and what wakes it.
pub struct Pump<M: Machine> {
    machine: RefCell<M>,
    outputs: RefCell<Vec<M::Output>>,
    pub clock: Clock,
    /// For when the timer's task sleeps, and what wakes it for an earlier time.
    armed: Cell<Option<Time>>,
    rearm: Cell<Option<Waker>>,
}

impl<M: Machine> Pump<M> {
    pub fn new(machine: M) -> Self {
        Self {
            machine: RefCell::new(machine),
            outputs: RefCell::default(),
            clock: Clock::new(),
            armed: Cell::new(None),
            rearm: Cell::new(None),
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
        let earlier = next.is_some_and(|next| self.armed.get().is_none_or(|armed| next < armed));
        if earlier && let Some(waker) = self.rearm.take() {
            waker.wake();
        }
    }

    /// Looks at the machine.
    pub fn with<T>(&self, look: impl FnOnce(&M) -> T) -> T {
        look(&self.machine.borrow())
    }

    /// Calls `wake` whenever the machine wants to be woken, for ever.
    pub async fn wake_with(&self, wake: impl Fn(M::Input)) {
        loop {
            let due = self.machine.borrow().next_wake();
            self.armed.set(due);
            let mut asked = false;
            let rearmed = poll_fn(|cx| {
                if std::mem::replace(&mut asked, true) && self.rearm.take().is_none() {
                    return Poll::Ready(());
                }
                self.rearm.set(Some(cx.waker().clone()));
                Poll::Pending
            });
            match due {
                Some(due) => {
                    let timer = async {
                        Timer::at(self.clock.instant(due)).await;
                    };
                    futures_lite::future::or(timer, rearmed).await;
                }
                None => rearmed.await,
            }
            self.armed.set(None);
            let Some(due) = self.machine.borrow().next_wake().filter(|due| *due <= self.clock.now()) else {
                continue;
            };
            // This process stood still: what lies in the sockets came before this time was due, or may have. One
            // round through the reactor lets it be read first, so that no peer is blamed for our own stall.
            if self.clock.now().since(due) > LATE {
                Timer::after(Duration::from_millis(1)).await;
                futures_lite::future::yield_now().await;
            }
            wake(M::wake());
        }
    }
}

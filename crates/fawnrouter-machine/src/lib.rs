#![forbid(unsafe_code)]
//! Parts that the gateway's state machines share. No I/O and no clock.

use fawnrouter::{Action, Controller, Event, Time};

mod backoff;
mod timer_queue;

pub use backoff::{Backoff, BackoffSettings};
pub use timer_queue::TimerQueue;

/// A state machine that is run by a driver.
pub trait StateMachine {
    /// An event for the state machine.
    type Input;
    /// An action for the driver.
    type Output;

    /// Processes an input at time `now` and appends the resulting outputs.
    fn handle(&mut self, now: Time, input: Self::Input, outputs: &mut Vec<Self::Output>);

    /// When the driver must pass in the [`wake`](Self::wake) input, if at all.
    fn next_wake(&self) -> Option<Time>;

    /// The input that tells the state machine that the time of [`next_wake`](Self::next_wake) has come.
    fn wake() -> Self::Input;
}

/// The controller, or a replacement for it in a comparison. The engine passes it every event and carries out
/// every action in order.
pub trait Decide: std::fmt::Debug {
    /// Processes one event at time `now` and appends the resulting actions.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Decide for Controller {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Controller::handle(self, now, event, actions);
    }
}

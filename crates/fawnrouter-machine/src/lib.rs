#![forbid(unsafe_code)]
//! Parts that the gateway's state machines share. No I/O and no clock.

use fawnrouter::{Action, Controller, Event, Time};

mod backoff;
mod timer_queue;

pub use backoff::{Backoff, BackoffSettings};
pub use timer_queue::TimerQueue;

/// A state machine that a driver feeds.
pub trait StateMachine {
    /// What happens to it.
    type Input;
    /// What it wants done.
    type Output;

    /// Takes an input at the clock's reading `now` and appends what is to be done.
    fn handle(&mut self, now: Time, input: Self::Input, outputs: &mut Vec<Self::Output>);

    /// When it wants its wake input.
    fn next_wake(&self) -> Option<Time>;

    /// What it is given when the time has come that it asked for.
    fn wake() -> Self::Input;
}

/// What decides: the controller, or something that stands in for it in a comparison. The engine gives it every event
/// and carries out every action in order.
pub trait Decide: std::fmt::Debug {
    /// Takes one event at the clock's reading `now` and appends what is to be done.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);
}

impl Decide for Controller {
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Controller::handle(self, now, event, actions);
    }
}

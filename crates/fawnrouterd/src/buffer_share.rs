//! Accounts the buffered bytes of each connection against a common budget.
//! [`fawnrouter_admission::DynamicThreshold`] decides how much a connection may hold.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fawnrouter_admission::{BufferLimits, BufferOwner, DynamicThreshold};

/// Budget for buffered bytes, shared by all connections.
pub type BufferBudget = Rc<RefCell<DynamicThreshold>>;

/// Creates an unused budget.
pub fn new_buffer_budget(settings: BufferLimits) -> BufferBudget {
    Rc::new(RefCell::new(DynamicThreshold::new(settings)))
}

/// What one connection holds of the budget; returned when dropped.
pub struct BufferShare {
    budget: Option<BufferBudget>,
    owner: BufferOwner,
    reserved: Cell<usize>,
}

impl BufferShare {
    /// Creates an empty share of a budget.
    pub fn of_budget(budget: &BufferBudget, owner: BufferOwner) -> Self {
        Self { budget: Some(budget.clone()), owner, reserved: Cell::new(0) }
    }

    /// Creates a share without a budget, which may grow to any size.
    pub fn unlimited() -> Self {
        Self { budget: None, owner: BufferOwner::Client, reserved: Cell::new(0) }
    }

    /// Sets the share's size in bytes; `false` if the budget does not allow it.
    pub fn resize(&self, now: usize) -> bool {
        let before = self.reserved.replace(now);
        // Fast path: after most messages nothing is left in the buffer.
        before == now
            || self.budget.as_ref().is_none_or(|budget| budget.borrow_mut().resize(self.owner, before, now))
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

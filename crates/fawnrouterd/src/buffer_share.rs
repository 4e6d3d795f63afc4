//! Accounts the buffered bytes of each connection against a common budget. [`fawnrouter_admission::Bytes`]
//! decides how much a connection may hold.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fawnrouter_admission::{ByteSettings, Bytes, For};

/// Budget for buffered bytes, shared by all connections.
pub type BufferBudget = Rc<RefCell<Bytes>>;

/// Creates an unused budget.
pub fn new_buffer_budget(settings: ByteSettings) -> BufferBudget {
    Rc::new(RefCell::new(Bytes::new(settings)))
}

/// What one connection holds of the budget; returned when dropped.
pub struct BufferShare {
    budget: Option<BufferBudget>,
    owner: For,
    reserved: Cell<usize>,
}

impl BufferShare {
    /// Creates an empty share of a budget.
    pub fn of_budget(budget: &BufferBudget, owner: For) -> Self {
        Self { budget: Some(budget.clone()), owner, reserved: Cell::new(0) }
    }

    /// Creates a share without a budget, which may grow to any size.
    pub fn unlimited() -> Self {
        Self { budget: None, owner: For::Client, reserved: Cell::new(0) }
    }

    /// Sets the share's size in bytes; `false` if the budget does not allow it.
    pub fn resize(&self, now: usize) -> bool {
        let before = self.reserved.replace(now);
        // Fast path: after most messages nothing is left in the buffer.
        before == now
            || self.budget.as_ref().is_none_or(|budget| budget.borrow_mut().change(self.owner, before, now))
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

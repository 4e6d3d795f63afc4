//! A connection's share of the memory for bytes that wait. How much it may be is decided by
//! [`fawnrouter_admission::Bytes`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fawnrouter_admission::{ByteSettings, Bytes, For};

/// The memory for bytes that wait, shared by all connections.
pub type BufferBudget = Rc<RefCell<Bytes>>;

/// A budget that nobody holds anything of.
pub fn new_buffer_budget(settings: ByteSettings) -> BufferBudget {
    Rc::new(RefCell::new(Bytes::new(settings)))
}

/// One share; given back when it is dropped.
pub struct BufferShare {
    budget: Option<BufferBudget>,
    owner: For,
    reserved: Cell<usize>,
}

impl BufferShare {
    /// A share of this budget.
    pub fn of_budget(budget: &BufferBudget, owner: For) -> Self {
        Self { budget: Some(budget.clone()), owner, reserved: Cell::new(0) }
    }

    /// A share that is of no budget and may be any size.
    pub fn unlimited() -> Self {
        Self { budget: None, owner: For::Client, reserved: Cell::new(0) }
    }

    /// It is so large now; `false` if that is more than it may be.
    pub fn resize(&self, now: usize) -> bool {
        let before = self.reserved.replace(now);
        // Most messages leave nothing behind.
        before == now
            || self.budget.as_ref().is_none_or(|budget| budget.borrow_mut().change(self.owner, before, now))
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

//! A connection's share of the memory for bytes that wait. How much it may be is decided by
//! [`fawnrouter_admission::Bytes`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fawnrouter_admission::{ByteSettings, Bytes, For};

/// The memory for bytes that wait, shared by all connections.
pub type BufferBudget = Rc<RefCell<Bytes>>;

/// A budget that nobody holds anything of.
pub fn buffer_budget(settings: ByteSettings) -> BufferBudget {
    Rc::new(RefCell::new(Bytes::new(settings)))
}

/// One share; given back when it is dropped.
pub struct Share {
    budget: Option<BufferBudget>,
    whose: For,
    held: Cell<usize>,
}

impl Share {
    /// A share of this budget.
    pub fn of(budget: &BufferBudget, whose: For) -> Self {
        Self { budget: Some(budget.clone()), whose, held: Cell::new(0) }
    }

    /// A share that is of no budget and may be any size.
    pub fn unbound() -> Self {
        Self { budget: None, whose: For::Client, held: Cell::new(0) }
    }

    /// It is so large now; `false` if that is more than it may be.
    pub fn set(&self, now: usize) -> bool {
        let before = self.held.replace(now);
        // Most messages leave nothing behind.
        before == now
            || self.budget.as_ref().is_none_or(|budget| budget.borrow_mut().change(self.whose, before, now))
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}

//! A connection's share of the memory for bytes that wait. How much it may be is decided by
//! [`fawnrouter_admission::Bytes`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use fawnrouter_admission::{ByteSettings, Bytes, For};

/// The account of all connections.
pub type Ledger = Rc<RefCell<Bytes>>;

/// A new account.
pub fn ledger(settings: ByteSettings) -> Ledger {
    Rc::new(RefCell::new(Bytes::new(settings)))
}

/// One share; given back when it is dropped.
pub struct Share {
    ledger: Option<Ledger>,
    whose: For,
    held: Cell<usize>,
}

impl Share {
    /// A share of this account.
    pub fn of(ledger: &Ledger, whose: For) -> Self {
        Self { ledger: Some(ledger.clone()), whose, held: Cell::new(0) }
    }

    /// A share that is of no account and may be any size.
    pub fn unbound() -> Self {
        Self { ledger: None, whose: For::Client, held: Cell::new(0) }
    }

    /// It is so large now; `false` if that is more than it may be.
    pub fn set(&self, now: usize) -> bool {
        let before = self.held.replace(now);
        // Most messages leave nothing behind.
        before == now || self.ledger.as_ref().is_none_or(|l| l.borrow_mut().change(self.whose, before, now))
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}

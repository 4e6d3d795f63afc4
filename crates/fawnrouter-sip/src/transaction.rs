//! Transactions over reliable transports (RFC 3261 §17, with the Accepted state of RFC 6026).
//!
//! TCP and WebSocket neither lose nor repeat, so the timers for repeats (A, E, G) and the zero ones (D, I, J, K)
//! don't occur. What is left is which message may follow which; each machine answers what is to be done with one.
//! Limits in time are the owner's: timer B is the attempt's time-out, and timers H and L (64·T1) its wait for an ACK.

use std::time::Duration;

/// 64·T1: how long a server transaction waits for an ACK (timers H and L).
pub const ACK_TIMEOUT: Duration = Duration::from_millis(64 * 500);

/// An INVITE that came in (§17.2.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InviteServerTransaction {
    /// No final response yet.
    #[default]
    Proceeding,
    /// A 2xx has gone out; its ACK comes from the dialog (RFC 6026 §7.1).
    Accepted,
    /// A final response of 300 or more has gone out; its ACK is awaited.
    Completed,
    /// That ACK came.
    Confirmed,
}

/// What to do with a request that belongs to an INVITE's server transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// Work on it.
    Process,
    /// Nothing: it has been worked on. On a reliable transport nothing is sent again.
    Absorb,
}

impl InviteServerTransaction {
    /// Whether a response of this status may be sent now; takes note that it is.
    pub fn respond(&mut self, status: u16) -> bool {
        if *self != Self::Proceeding {
            return false;
        }
        match status {
            100..200 => {}
            200..300 => *self = Self::Accepted,
            _ => *self = Self::Completed,
        }
        true
    }

    /// An ACK that names this transaction. Only that of a 2xx means something to the dialog.
    pub fn on_ack(&mut self) -> ServerAction {
        match self {
            Self::Accepted => ServerAction::Process,
            Self::Completed => {
                *self = Self::Confirmed;
                ServerAction::Absorb
            }
            Self::Proceeding | Self::Confirmed => ServerAction::Absorb,
        }
    }

    /// A CANCEL of it: acts only before a final response (§9.2). The CANCEL itself is answered 200 all the same.
    #[must_use]
    pub fn on_cancel(self) -> ServerAction {
        if self == Self::Proceeding { ServerAction::Process } else { ServerAction::Absorb }
    }
}

/// An INVITE that went out (§17.1.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InviteClientTransaction {
    /// Nothing has come back.
    #[default]
    Calling,
    /// Nothing has come back, and it is to be cancelled as soon as something does (§9.1).
    CancelWanted,
    /// A provisional response came.
    Proceeding,
    /// A CANCEL has gone out.
    Cancelling,
    /// A 2xx came (RFC 6026 §7.2).
    Accepted,
    /// A final response of 300 or more came, and its ACK went out.
    Completed,
}

/// What a response means to the owner of a client transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAction {
    /// The first word, or progress: may be passed on.
    Provisional,
    /// The first provisional came after the owner gave up: send the CANCEL now.
    CancelNow,
    /// The first final response of 2xx.
    Accepted,
    /// A 2xx although the owner has given up: ACK it and release it with BYE (§9.1, §13.2.2.4).
    AcceptedAfterCancel,
    /// The first final response of 300 or more: ACK it and pass it on.
    Failed,
    /// A final response again: ACK it again (§13.2.2.4, §17.1.1.2) and do no more.
    AckAgain,
    /// Nothing.
    Drop,
}

/// What giving up an INVITE asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAction {
    /// Send CANCEL.
    Send,
    /// Wait: no CANCEL may go out before a provisional response (§9.1).
    Wait,
    /// It has ended.
    AlreadyFinal,
}

impl InviteClientTransaction {
    /// Takes a response.
    pub fn on_response(&mut self, status: u16) -> ClientAction {
        let (next, step) = match (*self, status) {
            (_, ..100 | 700..) => return ClientAction::Drop,
            (Self::Calling | Self::Proceeding, 100..200) => (Self::Proceeding, ClientAction::Provisional),
            (Self::CancelWanted, 100..200) => (Self::Cancelling, ClientAction::CancelNow),
            (Self::Cancelling | Self::Accepted | Self::Completed, 100..200) => return ClientAction::Drop,
            (Self::Calling | Self::Proceeding, 200..300) => (Self::Accepted, ClientAction::Accepted),
            (Self::CancelWanted | Self::Cancelling, 200..300) => {
                (Self::Accepted, ClientAction::AcceptedAfterCancel)
            }
            (Self::Accepted, 200..300) => (Self::Accepted, ClientAction::AckAgain),
            (Self::Completed, 200..300) => (Self::Accepted, ClientAction::AcceptedAfterCancel),
            (Self::Accepted, _) => return ClientAction::Drop,
            (Self::Completed, _) => (Self::Completed, ClientAction::AckAgain),
            (_, _) => (Self::Completed, ClientAction::Failed),
        };
        *self = next;
        step
    }

    /// The owner gives up.
    pub fn cancel(&mut self) -> CancelAction {
        match self {
            Self::Calling => {
                *self = Self::CancelWanted;
                CancelAction::Wait
            }
            Self::Proceeding => {
                *self = Self::Cancelling;
                CancelAction::Send
            }
            Self::CancelWanted => CancelAction::Wait,
            Self::Cancelling | Self::Accepted | Self::Completed => CancelAction::AlreadyFinal,
        }
    }

    /// Whether a final response has come.
    #[must_use]
    pub const fn has_final_response(self) -> bool {
        matches!(self, Self::Accepted | Self::Completed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_200_that_crosses_the_cancel_is_unwanted_and_a_second_one_is_only_acknowledged() {
        let mut leg = InviteClientTransaction::default();
        assert_eq!(leg.on_response(100), ClientAction::Provisional);
        assert_eq!(leg.cancel(), CancelAction::Send);
        assert_eq!(leg.on_response(200), ClientAction::AcceptedAfterCancel);
        assert_eq!(leg.on_response(200), ClientAction::AckAgain);
        assert_eq!(leg.on_response(487), ClientAction::Drop);
    }

    #[test]
    fn no_cancel_goes_out_before_a_provisional_response() {
        let mut leg = InviteClientTransaction::default();
        assert_eq!(leg.cancel(), CancelAction::Wait);
        assert_eq!(leg.cancel(), CancelAction::Wait);
        assert_eq!(leg.on_response(180), ClientAction::CancelNow);
        assert_eq!(leg.cancel(), CancelAction::AlreadyFinal);
        assert_eq!(leg.on_response(487), ClientAction::Failed);
        assert_eq!(leg.on_response(487), ClientAction::AckAgain);
    }

    #[test]
    fn a_server_transaction_gives_one_final_response() {
        let mut leg = InviteServerTransaction::default();
        assert!(leg.respond(100) && leg.respond(180));
        assert_eq!(leg.on_ack(), ServerAction::Absorb);
        assert!(leg.respond(503));
        assert!(!leg.respond(200) && !leg.respond(180));
        assert_eq!(leg.on_cancel(), ServerAction::Absorb);
        assert_eq!(leg.on_ack(), ServerAction::Absorb);
        assert_eq!(leg, InviteServerTransaction::Confirmed);
    }
}

//! Transactions over reliable transports (RFC 3261 §17, with the Accepted state of RFC 6026).
//!
//! TCP and WebSocket neither lose nor repeat messages, so the retransmission timers (A, E, G) and the timers
//! that are zero on reliable transports (D, I, J, K) are absent. The state machines decide which message may
//! follow which, and return what to do with each. Their user runs the remaining timers: timer B is the
//! attempt's time-out, and timers H and L (64·T1) limit the wait for an ACK.

use std::time::Duration;

/// 64·T1: how long a server transaction waits for an ACK (timers H and L).
pub const ACK_TIMEOUT: Duration = Duration::from_millis(64 * 500);

/// The state of an INVITE server transaction, for a received INVITE (§17.2.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InviteServerTransaction {
    /// No final response has been sent.
    #[default]
    Proceeding,
    /// A 2xx has been sent; its ACK belongs to the dialog (RFC 6026 §7.1).
    Accepted,
    /// A final response of 300 or more has been sent; the ACK is outstanding.
    Completed,
    /// The ACK of a final response of 300 or more has been received.
    Confirmed,
}

/// What to do with a request that belongs to an INVITE's server transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAction {
    /// Process the request.
    Process,
    /// Ignore the request: it has been processed. On a reliable transport no response is retransmitted.
    Absorb,
}

impl InviteServerTransaction {
    /// Returns whether a response of this status may be sent now, and if so records it as sent.
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

    /// Handles an ACK of this transaction. Only the ACK of a 2xx is passed on, to the dialog.
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

    /// Handles a CANCEL of this transaction, which has an effect only before a final response (§9.2). The
    /// CANCEL itself is answered 200 in any state.
    #[must_use]
    pub fn on_cancel(self) -> ServerAction {
        if self == Self::Proceeding { ServerAction::Process } else { ServerAction::Absorb }
    }
}

/// The state of an INVITE client transaction, for a sent INVITE (§17.1.1).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InviteClientTransaction {
    /// No response has been received.
    #[default]
    Calling,
    /// No response has been received; the CANCEL is to be sent upon the first provisional response (§9.1).
    CancelPending,
    /// A provisional response has been received.
    Proceeding,
    /// A CANCEL has been sent.
    Cancelling,
    /// A 2xx has been received (RFC 6026 §7.2).
    Accepted,
    /// A final response of 300 or more has been received and acknowledged.
    Completed,
}

/// What to do with a response to an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientAction {
    /// A provisional response: may be passed on.
    Provisional,
    /// The first provisional response, when the INVITE is to be cancelled: send the CANCEL now.
    CancelNow,
    /// The first final response, a 2xx.
    Accepted,
    /// A 2xx that arrived after the cancel, or after another final response: ACK it and release the call with
    /// BYE (§9.1, §13.2.2.4).
    UnwantedAccepted,
    /// The first final response, of 300 or more: ACK it and pass it on.
    Failed,
    /// A repeated final response: ACK it again (§13.2.2.4, §17.1.1.2) and do nothing else.
    AckAgain,
    /// Ignore the response.
    Drop,
}

/// What to do when an INVITE is to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelAction {
    /// Send the CANCEL.
    Send,
    /// Wait: no CANCEL may go out before a provisional response (§9.1).
    Wait,
    /// Nothing: a CANCEL has been sent already, or a final response has been received.
    Nothing,
}

impl InviteClientTransaction {
    /// Handles a response.
    pub fn on_response(&mut self, status: u16) -> ClientAction {
        let (next, action) = match (*self, status) {
            (_, ..100 | 700..) => return ClientAction::Drop,
            (Self::Calling | Self::Proceeding, 100..200) => (Self::Proceeding, ClientAction::Provisional),
            (Self::CancelPending, 100..200) => (Self::Cancelling, ClientAction::CancelNow),
            (Self::Cancelling | Self::Accepted | Self::Completed, 100..200) => return ClientAction::Drop,
            (Self::Calling | Self::Proceeding, 200..300) => (Self::Accepted, ClientAction::Accepted),
            (Self::CancelPending | Self::Cancelling, 200..300) => {
                (Self::Accepted, ClientAction::UnwantedAccepted)
            }
            (Self::Accepted, 200..300) => (Self::Accepted, ClientAction::AckAgain),
            (Self::Completed, 200..300) => (Self::Accepted, ClientAction::UnwantedAccepted),
            (Self::Accepted, _) => return ClientAction::Drop,
            (Self::Completed, _) => (Self::Completed, ClientAction::AckAgain),
            (_, _) => (Self::Completed, ClientAction::Failed),
        };
        *self = next;
        action
    }

    /// Cancels the INVITE.
    pub fn cancel(&mut self) -> CancelAction {
        match self {
            Self::Calling => {
                *self = Self::CancelPending;
                CancelAction::Wait
            }
            Self::Proceeding => {
                *self = Self::Cancelling;
                CancelAction::Send
            }
            Self::CancelPending => CancelAction::Wait,
            Self::Cancelling | Self::Accepted | Self::Completed => CancelAction::Nothing,
        }
    }

    /// Whether a final response has been received.
    #[must_use]
    pub const fn has_final_response(self) -> bool {
        matches!(self, Self::Accepted | Self::Completed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn response_200_that_crosses_the_cancel_is_released_and_a_second_one_only_acknowledged() {
        let mut transaction = InviteClientTransaction::default();
        assert_eq!(transaction.on_response(100), ClientAction::Provisional);
        assert_eq!(transaction.cancel(), CancelAction::Send);
        assert_eq!(transaction.on_response(200), ClientAction::UnwantedAccepted);
        assert_eq!(transaction.on_response(200), ClientAction::AckAgain);
        assert_eq!(transaction.on_response(487), ClientAction::Drop);
    }

    #[test]
    fn cancel_waits_for_a_provisional_response() {
        let mut transaction = InviteClientTransaction::default();
        assert_eq!(transaction.cancel(), CancelAction::Wait);
        assert_eq!(transaction.cancel(), CancelAction::Wait);
        assert_eq!(transaction.on_response(180), ClientAction::CancelNow);
        assert_eq!(transaction.cancel(), CancelAction::Nothing);
        assert_eq!(transaction.on_response(487), ClientAction::Failed);
        assert_eq!(transaction.on_response(487), ClientAction::AckAgain);
    }

    #[test]
    fn server_transaction_sends_one_final_response() {
        let mut transaction = InviteServerTransaction::default();
        assert!(transaction.respond(100) && transaction.respond(180));
        assert_eq!(transaction.on_ack(), ServerAction::Absorb);
        assert!(transaction.respond(503));
        assert!(!transaction.respond(200) && !transaction.respond(180));
        assert_eq!(transaction.on_cancel(), ServerAction::Absorb);
        assert_eq!(transaction.on_ack(), ServerAction::Absorb);
        assert_eq!(transaction, InviteServerTransaction::Confirmed);
    }
}

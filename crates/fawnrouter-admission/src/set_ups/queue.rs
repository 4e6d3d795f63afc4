//! The queue of set-ups that wait for their turn: known clients one by one, all strangers together, and among these
//! one address after the other.

use std::time::Duration;

use super::SetUpAdmission;
use super::call::{CallState, ClientIdentity, Lane};
use crate::fair_queue::QueueRejection;

impl SetUpAdmission {
    /// Puts a call into its queue. `Ok` with the call that had to make room.
    pub(super) fn line_up(
        &mut self,
        who: &ClientIdentity,
        weight: u32,
        call: u64,
    ) -> Result<Option<u64>, ()> {
        let pushed = match who {
            ClientIdentity::Known(name) => self.lanes.offer(Lane::Known(name.clone()), weight, Some(call)),
            ClientIdentity::Unknown(address) => {
                // The places of strangers are theirs to divide: the address that holds most gives one up.
                if self.inner.offer(*address, weight, call).is_err() {
                    return Err(());
                }
                self.lanes.offer(Lane::UnknownClients, self.settings.unknown_weight, None)
            }
        };
        match pushed {
            Ok(None) => Ok(None),
            Ok(Some(Some(known))) => Ok(Some(known)),
            // A stranger's place was taken from them, or they may have no more: one of them goes.
            Ok(Some(None)) | Err((None, QueueRejection::Full | QueueRejection::ClientFull)) => {
                match self.inner.pop_largest() {
                    Some((_, shed)) if shed == call => Err(()),
                    shed => Ok(shed.map(|(_, call)| call)),
                }
            }
            Err((Some(_), _)) => Err(()),
        }
    }

    /// Takes a call out of its queue.
    pub(super) fn leave(&mut self, who: &ClientIdentity, call: u64) {
        match who {
            ClientIdentity::Known(name) => {
                self.lanes.remove(&Lane::Known(name.clone()), |c| *c == Some(call))
            }
            ClientIdentity::Unknown(address) => {
                self.inner.remove(address, |c| *c == call);
                self.lanes.drop_newest(&Lane::UnknownClients);
            }
        }
    }

    /// The next call that goes on to the decisions, if there is room.
    pub fn next_ready(&mut self, now: Duration) -> Option<u64> {
        self.now = self.now.max(now);
        while self.has_room() {
            let strangers = self.has_room_for_strangers();
            let (_, call) = self.lanes.pop_where(|lane| strangers || *lane != Lane::UnknownClients)?;
            let call = match call {
                Some(call) => Some(call),
                None => self.inner.pop().map(|(_, call)| call),
            };
            let Some(call) = call else { continue };
            self.set_state(now, call, CallState::Routing);
            return Some(call);
        }
        None
    }
}

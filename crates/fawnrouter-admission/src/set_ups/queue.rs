//! The queue of waiting set-ups. Each known client has a queue, and all unknown clients share one. Within the
//! shared one, the addresses take turns.

use std::time::Duration;

use super::SetUpAdmission;
use super::call::{CallState, ClientIdentity, QueueOwner};
use crate::fair_queue::QueueRejection;

impl SetUpAdmission {
    /// Queues a call. Returns the call that is displaced by it, if any.
    pub(super) fn enqueue(
        &mut self,
        client: &ClientIdentity,
        weight: u32,
        call: u64,
    ) -> Result<Option<u64>, ()> {
        let displaced = match client {
            ClientIdentity::Known(name) => {
                self.queue.offer(QueueOwner::Known(name.clone()), weight, Some(call))
            }
            ClientIdentity::Unknown(address) => {
                // Unknown clients share their part of the queue: the address that holds most gives up a
                // set-up.
                if self.unknown_queue.offer(*address, weight, call).is_err() {
                    return Err(());
                }
                self.queue.offer(QueueOwner::UnknownClients, self.settings.unknown_weight, None)
            }
        };
        match displaced {
            Ok(None) => Ok(None),
            Ok(Some(Some(known))) => Ok(Some(known)),
            // A set-up of unknown clients was displaced, or they may not have another: drop one from their
            // queue.
            Ok(Some(None)) | Err((None, QueueRejection::Full | QueueRejection::ClientFull)) => {
                match self.unknown_queue.pop_largest() {
                    Some((_, dropped)) if dropped == call => Err(()),
                    dropped => Ok(dropped.map(|(_, call)| call)),
                }
            }
            Err((Some(_), _)) => Err(()),
        }
    }

    /// Removes a call from its queue.
    pub(super) fn dequeue(&mut self, client: &ClientIdentity, call: u64) {
        match client {
            ClientIdentity::Known(name) => {
                self.queue.remove(&QueueOwner::Known(name.clone()), |c| *c == Some(call));
            }
            ClientIdentity::Unknown(address) => {
                self.unknown_queue.remove(address, |c| *c == call);
                self.queue.drop_newest(&QueueOwner::UnknownClients);
            }
        }
    }

    /// The next waiting call that is passed to routing, if routing has room.
    pub fn next_ready(&mut self, now: Duration) -> Option<u64> {
        self.now = self.now.max(now);
        while self.has_routing_room() {
            let unknown_may_proceed = self.has_routing_room_for_unknown();
            let is_eligible =
                |owner: &QueueOwner| unknown_may_proceed || *owner != QueueOwner::UnknownClients;
            let (_, call) = self.queue.pop_where(is_eligible)?;
            let call = match call {
                Some(call) => Some(call),
                None => self.unknown_queue.pop().map(|(_, call)| call),
            };
            let Some(call) = call else { continue };
            self.set_state(now, call, CallState::Routing);
            return Some(call);
        }
        None
    }
}

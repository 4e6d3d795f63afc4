//! Releases of established calls to their callers, and those that wait for a caller's connection.

use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_jsonl::{Message, Tag, Verb};

use super::attempts::encode_line;
use super::{Node, Output};
use crate::client_connections::ClientId;

/// How long releases wait for a caller's connection: the platform's limit of 8 s and a margin.
const PENDING_NOTICE_LIFETIME: Duration = Duration::from_secs(10);
/// Time after which a release that waits for a caller's connection is sent on one that has only sent set-ups:
/// it may be another client's, but the limit of 8 s is near.
const PENDING_NOTICE_LAST_RESORT: Duration = Duration::from_secs(6);
/// Most releases that wait for a caller's connection.
const MAX_PENDING_NOTICES: usize = 4096;

/// A release of an established call that waits for a caller's connection.
#[derive(Debug)]
pub(super) struct PendingNotice {
    since: Time,
    tag: Tag,
    line: Vec<u8>,
}

impl Node {
    /// A core switch has found the number busy that this client called.
    pub(super) fn number_found_busy(&mut self, client: ClientId) {
        self.client_connections.number_reached(client);
        self.send_pending_notices();
    }

    /// A client has released an established call, or confirmed its release.
    pub(super) fn established_call_known_to(&mut self, client: ClientId) {
        self.client_connections.established_call_known(client);
        self.send_pending_notices();
    }

    /// Sends the releases that wait for a caller's connection, if there is one.
    pub(super) fn send_pending_notices(&mut self) {
        if self.pending_notices.is_empty() {
            return;
        }
        if let Some(client) = self.client_connections.most_recent_caller() {
            for PendingNotice { tag, line, .. } in std::mem::take(&mut self.pending_notices) {
                self.outputs.push(Output::ToCaller { client, tag, line });
            }
        }
    }

    /// Sends releases that have waited long on the connection of whoever has sent a set-up, and drops those
    /// that have waited too long.
    pub(super) fn check_pending_notices(&mut self) {
        let now = self.now;
        let client = self.client_connections.most_recent_set_up_sender();
        for notice in std::mem::take(&mut self.pending_notices) {
            let waited = now.since(notice.since);
            match client.filter(|_| waited >= PENDING_NOTICE_LAST_RESORT) {
                Some(client) => {
                    self.outputs.push(Output::ToCaller { client, tag: notice.tag, line: notice.line });
                }
                None if waited < PENDING_NOTICE_LIFETIME => self.pending_notices.push_back(notice),
                None => self.log(format!("no caller is connected to be told the end of call {}", notice.tag)),
            }
        }
    }

    /// Notifies the caller of an established call of its end; if the caller's connection is gone, on another
    /// connection or the next one.
    pub(super) fn notify_release(&mut self, client: Option<ClientId>, tag: Tag, rc: i64) {
        let line = encode_line(&Message::new(Verb::Finish, tag).with_cause(rc));
        match client
            .filter(|client| self.client_connections.contains(*client))
            .or_else(|| self.client_connections.most_recent_caller())
        {
            Some(client) => self.outputs.push(Output::ToCaller { client, tag, line }),
            None => {
                self.pending_notices.push_back(PendingNotice { since: self.now, tag, line });
                if self.pending_notices.len() > MAX_PENDING_NOTICES {
                    self.pending_notices.pop_front();
                }
            }
        }
    }
}

//! Applies the admission decisions of `fawnrouter_admission` to the client connections.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_admission::{
    AcceptDecision, Admission, AlarmEvent, Alarms, Arrival, ConnectionDecision, ConnectionId, Descriptors,
    EvictionReason, ExhaustionAction, ExhaustionEvent, RefusalReason, RetryAfterSpread, SetUpRefusal,
    Snapshot,
};
use fawnrouter_engine::fawnrouter::Time;
use fawnrouter_ws::CloseCode;

use crate::connections::Connections;
use crate::outbox::Outbox;

/// A condition that is logged when it begins, while it lasts, and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AlarmCause {
    Refused(RefusalReason),
    Evicted(EvictionReason),
    SetUp(SetUpRefusal),
}

impl AlarmCause {
    /// What happens, and why.
    const fn text(self) -> (&'static str, &'static str) {
        match self {
            Self::Refused(reason) => ("connections refused", reason.text()),
            Self::Evicted(reason) => ("connections closed", reason.text()),
            Self::SetUp(reason) => ("set-ups refused", reason.text()),
        }
    }
}

/// A condition has ended once it has not occurred for this long.
const ALARM_CLEAR_TIME: Duration = Duration::from_secs(5);
/// A lasting condition is logged again after this time.
const ALARM_REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// Whether a new connection is served or refused.
pub enum AdmissionOutcome {
    /// It is served: its number, and its queue of outgoing bytes.
    Accepted(ConnectionId, Rc<Outbox>),
    /// It is refused, with a reason and a Retry-After. Aborting the outbox ends the sending of the refusal
    /// early, if another connection needs its descriptor.
    Refused(RefusalReason, Duration, Rc<Outbox>),
}

/// Why a connection is refused, and its Retry-After.
pub type Refusal = (RefusalReason, Duration);

/// Admission of client connections, and the state that it depends on.
pub struct ConnectionAdmission {
    /// `None` if the settings have no section `admission`. Only `connection_limit` and the descriptors limit
    /// the connections then.
    pub admission: Option<Admission>,
    pub descriptors: Descriptors,
    /// Connections being refused, the oldest first.
    being_refused: VecDeque<Rc<Outbox>>,
    /// Limit on connections whose handshake is done. Used without admission.
    connection_limit: usize,
    /// The shortest Retry-After of a refusal. Used without admission.
    retry_after: Duration,
    spread: RetryAfterSpread,
    refused: BTreeMap<RefusalReason, u64>,
    alarms: Alarms<AlarmCause>,
    logged: BTreeMap<AlarmCause, u64>,
}

/// Connections in their handshake that are to have descriptors beside `connection_limit` others.
const fn wanted_handshakes(connection_limit: usize) -> usize {
    connection_limit / 4 + 16
}

impl ConnectionAdmission {
    pub fn new(
        admission: Option<Admission>,
        descriptors: Descriptors,
        connection_limit: usize,
        retry_after: Duration,
    ) -> Self {
        let (connection_limit, _) = descriptors.divide(connection_limit, wanted_handshakes(connection_limit));
        Self {
            admission,
            connection_limit,
            descriptors,
            being_refused: VecDeque::new(),
            retry_after,
            // The seed would shift the sequence of retry times; 0 leaves it as it is.
            spread: RetryAfterSpread::new(0),
            refused: BTreeMap::new(),
            alarms: Alarms::new(ALARM_CLEAR_TIME, ALARM_REPEAT_INTERVAL),
            logged: BTreeMap::new(),
        }
    }

    /// Refuses a connection for a reason that does not come from `admission`.
    fn refuse(&mut self, now: Time, reason: RefusalReason) -> Refusal {
        let wait = match &mut self.admission {
            Some(admission) => admission.count_refusal(now.0, reason),
            None => {
                *self.refused.entry(reason).or_default() += 1;
                self.spread.next(Duration::ZERO, self.retry_after)
            }
        };
        (reason, wait)
    }

    /// Decides on a connection that has just been accepted.
    pub fn admit(
        &mut self,
        now: Time,
        connections: &mut Connections,
        address: IpAddr,
        outbox: impl FnOnce() -> Outbox,
    ) -> AdmissionOutcome {
        let outbox = Rc::new(outbox());
        let descriptor_decision = self.descriptors.arrive(connections.open_count(), self.being_refused.len());
        let result = if descriptor_decision != AcceptDecision::Serve {
            Err(self.refuse(now, RefusalReason::Descriptors))
        } else {
            let conn = connections.allocate_conn();
            let decision = self.admission.as_mut().map(|a| a.arrive(now.0, Arrival { conn, address }));
            match decision {
                Some(ConnectionDecision::Refuse { reason, retry_after }) => Err((reason, retry_after)),
                Some(ConnectionDecision::Replace(replaced)) => {
                    connections.close(
                        replaced,
                        CloseCode::TRY_AGAIN_LATER,
                        EvictionReason::SlotNeeded.text(),
                    );
                    Ok(conn)
                }
                _ => Ok(conn),
            }
        };
        match result {
            Ok(conn) => {
                connections.insert(conn, outbox.clone());
                AdmissionOutcome::Accepted(conn, outbox)
            }
            Err((reason, wait)) => {
                if self.descriptors.refuse(self.being_refused.len()) == AcceptDecision::RefuseClosingOldest
                    && let Some(oldest) = self.being_refused.pop_front()
                {
                    oldest.abort();
                }
                self.being_refused.push_back(outbox.clone());
                AdmissionOutcome::Refused(reason, wait, outbox)
            }
        }
    }

    /// A refused connection has ended.
    pub fn refusal_finished(&mut self, outbox: &Rc<Outbox>) {
        self.being_refused.retain(|other| !Rc::ptr_eq(other, outbox));
    }

    /// Whether this peer is a trusted proxy, which states in the Forwarded field (RFC 7239) where a
    /// connection comes from.
    pub fn is_forwarder(&self, peer: IpAddr) -> bool {
        self.admission.as_ref().is_some_and(|a| a.is_forwarder(peer))
    }

    /// Applies the hops in the Forwarded field of a trusted proxy (see [`Self::is_forwarder`]). Returns the
    /// client's address, `None` if it is not known (the hop is hidden, or there is no admission), or a
    /// refusal if that address may not connect.
    pub fn apply_forwarded(
        &mut self,
        now: Time,
        conn: ConnectionId,
        hops: &[Option<IpAddr>],
    ) -> Result<Option<IpAddr>, Refusal> {
        let Some(admission) = &mut self.admission else { return Ok(None) };
        let Some(address) = admission.source_address(hops) else { return Ok(None) };
        match admission.set_forwarded_source(now.0, conn, address) {
            ConnectionDecision::Refuse { reason, retry_after } => Err((reason, retry_after)),
            _ => Ok(Some(address)),
        }
    }

    /// Decides on a connection whose handshake is done. `Ok(true)`: it may stay only if it authenticates in
    /// time; `Ok(false)`: it is accepted.
    pub fn handshake_done(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: ConnectionId,
    ) -> Result<bool, Refusal> {
        let full = connections.client_count() >= self.connection_limit;
        match self.admission.as_mut().map(|a| a.handshake_done(now.0, conn)) {
            Some(ConnectionDecision::Refuse { reason, retry_after }) => Err((reason, retry_after)),
            Some(ConnectionDecision::Probation) => Ok(true),
            Some(ConnectionDecision::Replace(replaced)) => {
                connections.close(replaced, CloseCode::TRY_AGAIN_LATER, EvictionReason::SlotNeeded.text());
                Ok(false)
            }
            Some(ConnectionDecision::Accept) => Ok(false),
            // Without admission only the limit on connections applies.
            None if full => Err(self.refuse(now, RefusalReason::Full)),
            None => Ok(false),
        }
    }

    /// A connection has authenticated as a known client. An error is the reason to close it.
    pub fn client_identified(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: ConnectionId,
        client: &Arc<str>,
    ) -> Result<(), RefusalReason> {
        match self.admission.as_mut().map(|a| a.authenticated(now.0, conn, client)) {
            Some(ConnectionDecision::Refuse { reason, .. }) => Err(reason),
            Some(ConnectionDecision::Replace(replaced)) => {
                connections.close(replaced, CloseCode::TRY_AGAIN_LATER, EvictionReason::SlotNeeded.text());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Records activity of a connection, and its present number of calls.
    pub fn record_activity(&mut self, now: Time, conn: ConnectionId, calls: usize) {
        if let Some(admission) = &mut self.admission {
            admission.record_activity(now.0, conn, u32::try_from(calls).unwrap_or(u32::MAX));
        }
    }

    /// How long to pause reading from a connection, after it has sent this many messages.
    pub fn read_pause(&mut self, now: Time, conn: ConnectionId, messages: u32) -> Duration {
        self.admission.as_mut().map_or(Duration::ZERO, |a| a.charge_messages(now.0, conn, messages))
    }

    /// Most bytes of a connection that are processed per turn.
    pub fn read_quota(&self, conn: ConnectionId) -> usize {
        self.admission.as_ref().map_or(usize::MAX, |a| a.read_budget(conn))
    }

    /// A connection has closed, at any stage.
    pub fn connection_closed(&mut self, now: Time, conn: ConnectionId) {
        if let Some(admission) = &mut self.admission {
            admission.connection_closed(now.0, conn);
        }
    }

    /// A connection could not be accepted for lack of descriptors. `spare`: whether the reserved descriptor
    /// is held.
    pub fn descriptors_exhausted(&mut self, now: Time, spare: bool) -> ExhaustionAction {
        let (step, change) = self.descriptors.descriptor_missing(now.0, spare);
        if change == Some(ExhaustionEvent::Began) {
            tracing::warn!(
                "no descriptor is left: newcomers are refused one by one, those that are in go on"
            );
        }
        step
    }

    /// Refuses a new connection that was accepted with the reserved descriptor.
    pub fn refuse_with_spare(&mut self, now: Time) -> Refusal {
        self.refuse(now, RefusalReason::Descriptors)
    }

    /// A connection was accepted, so descriptors are available.
    pub fn descriptor_available(&mut self, now: Time) {
        if let Some(ExhaustionEvent::Ended(lasted)) = self.descriptors.accepted(now.0) {
            tracing::info!(lasted_ms = lasted.as_secs_f64() * 1e3, "descriptors are there again");
        }
    }

    /// Closes connections that are idle, do not read, or have not authenticated in time.
    pub fn close_evicted(&mut self, now: Time, connections: &mut Connections) {
        let Some(admission) = &mut self.admission else { return };
        for (conn, connection) in connections.iter() {
            if connection.client.is_some() {
                admission.record_write_progress(
                    now.0,
                    conn,
                    connection.outbox.backlog(),
                    connection.outbox.written_bytes(),
                );
            }
        }
        for (conn, reason) in admission.evict_overdue(now.0) {
            // A client that does not read would not receive a close frame either.
            if reason == EvictionReason::SlowReader
                && let Some((_, connection)) = connections.iter().find(|(c, _)| *c == conn)
            {
                connection.outbox.abort();
            }
            connections.close(conn, CloseCode::TRY_AGAIN_LATER, reason.text());
        }
    }

    /// Present connections and counts of refusals, with at most `max_entries` per list.
    pub fn snapshot(&self, max_entries: usize) -> Snapshot {
        let mut snapshot = self.admission.as_ref().map(|a| a.snapshot(max_entries)).unwrap_or_default();
        for (reason, count) in &self.refused {
            *snapshot.refused.entry(*reason).or_default() += count;
        }
        snapshot
    }

    /// Logs the conditions that began, continue or ended.
    pub fn log_changes(&mut self, now: Time, set_ups: &BTreeMap<SetUpRefusal, u64>) {
        let snapshot = self.snapshot(0);
        let counts = (snapshot.refused.into_iter().map(|(r, n)| (AlarmCause::Refused(r), n)))
            .chain(snapshot.evicted.into_iter().map(|(e, n)| (AlarmCause::Evicted(e), n)))
            .chain(set_ups.iter().map(|(r, n)| (AlarmCause::SetUp(*r), *n)));
        let mut lines = Vec::new();
        for (cause, count) in counts {
            let logged = self.logged.entry(cause).or_default();
            let more = count - std::mem::replace(logged, count);
            if more > 0 {
                lines.extend(self.alarms.record(now.0, cause, more));
            }
        }
        lines.extend(self.alarms.poll(now.0));
        for line in lines {
            match line {
                AlarmEvent::Raised(cause) => tracing::warn!("{}: {}", cause.text().0, cause.text().1),
                AlarmEvent::Ongoing(cause, count) => {
                    tracing::warn!(count, "still {}: {}", cause.text().0, cause.text().1);
                }
                AlarmEvent::Cleared(cause, lasted, count) => {
                    let lasted_s = lasted.as_secs_f64();
                    tracing::info!(count, lasted_s, "no more {}: {}", cause.text().0, cause.text().1);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter_admission::DescriptorSettings;
    use futures_lite::future;

    fn connection_admission(connection_limit: usize, limit: usize) -> ConnectionAdmission {
        let text = format!(
            "gateway: {{ number: 0, count: 1, seed: 1 }}\nlisten: {{ address: '127.0.0.1:0' }}\n\
             switches: {{ file: s.yaml }}\nclasses: [{{ name: a, aim_ms: 1, deadline_ms: 2 }}]\n\
             limits: {{ connections: {connection_limit} }}\nadmission: {{}}\n"
        );
        let settings = fawnrouter_config::parse("t.yaml", &text).expect("valid settings");
        let admission = settings.admission_settings(1).map(|a| Admission::new(a).expect("valid settings"));
        let descriptors = DescriptorSettings { limit, in_use: 0, trunks: 0, files: 0, control: 0 };
        let descriptors = Descriptors::new(descriptors).expect("room");
        ConnectionAdmission::new(admission, descriptors, connection_limit, Duration::from_secs(2))
    }

    fn arrive(
        connection_admission: &mut ConnectionAdmission,
        connections: &mut Connections,
        n: u8,
    ) -> AdmissionOutcome {
        connection_admission.admit(
            Time(Duration::from_secs(1)),
            connections,
            IpAddr::from([127, 0, 0, n]),
            || Outbox::new(1000),
        )
    }

    #[test]
    fn connection_closed_to_make_room_during_its_handshake_gets_the_reason() {
        let (mut connection_admission, mut connections) =
            (connection_admission(1, 1000), Connections::default());
        let now = Time(Duration::from_secs(1));
        let AdmissionOutcome::Accepted(first, outbox) =
            arrive(&mut connection_admission, &mut connections, 1)
        else {
            panic!("room")
        };
        assert_eq!(connection_admission.handshake_done(now, &mut connections, first).ok(), Some(false));
        let AdmissionOutcome::Accepted(second, other) =
            arrive(&mut connection_admission, &mut connections, 1)
        else {
            panic!("room")
        };
        assert_eq!(connection_admission.handshake_done(now, &mut connections, second).ok(), Some(false));
        assert_eq!(future::block_on(outbox.finished()), Some(EvictionReason::SlotNeeded.text()));
        assert!(other.is_open() && connections.open_count() == 1);
    }

    #[test]
    fn without_descriptors_new_connections_are_refused_and_the_oldest_refusal_is_ended() {
        let (mut connection_admission, mut connections) =
            (connection_admission(1000, 40), Connections::default());
        let mut refused = Vec::new();
        for n in 0..40 {
            if let AdmissionOutcome::Refused(reason, wait, outbox) =
                arrive(&mut connection_admission, &mut connections, n)
            {
                assert!(reason == RefusalReason::Descriptors && wait >= Duration::from_secs(2));
                refused.push(outbox);
            }
        }
        // 40, minus the reserved one, two to refuse with, and a margin of eight.
        assert_eq!((connections.open_count(), refused.len()), (29, 11));
        assert!(refused[..9].iter().all(|o| !o.is_open()) && refused[9..].iter().all(|o| o.is_open()));
        assert_eq!(connection_admission.snapshot(0).refused[&RefusalReason::Descriptors], 11);
    }
}

//! Who gets in: the decisions of `fawnrouter_admission` with the connections that they concern.

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

/// What lasts and is told in the log when it begins and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    Refused(RefusalReason),
    Evicted(EvictionReason),
    SetUp(SetUpRefusal),
}

impl Cause {
    const fn text(self) -> (&'static str, &'static str) {
        match self {
            Self::Refused(reason) => ("connections refused", reason.text()),
            Self::Evicted(why) => ("connections closed", why.text()),
            Self::SetUp(why) => ("set-ups refused", why.text()),
        }
    }
}

/// Nothing of a kind for this long, and it is over.
const CALM: Duration = Duration::from_secs(5);
/// What goes on is told again after this time.
const AGAIN: Duration = Duration::from_secs(60);

/// Whether a connection gets in, and on what terms.
pub enum Entry {
    /// It is served.
    In(ConnectionId, Rc<Outbox>),
    /// It is told why not and when to come back; the outbox ends it when another needs its descriptor.
    Out(RefusalReason, Duration, Rc<Outbox>),
}

/// Why a connection does not get in, and how long it should stay away.
pub type Refusal = (RefusalReason, Duration);

/// The decisions and what they go by.
pub struct ConnectionAdmission {
    pub admission: Option<Admission>,
    pub descriptors: Descriptors,
    /// Those that are being told that they do not get in, the first one first.
    refusing: VecDeque<Rc<Outbox>>,
    /// Without admission: connections in all, and the time to stay away.
    connection_limit: usize,
    retry_after: Duration,
    spread: RetryAfterSpread,
    refused: BTreeMap<RefusalReason, u64>,
    alarms: Alarms<Cause>,
    told: BTreeMap<Cause, u64>,
}

impl ConnectionAdmission {
    pub fn new(
        admission: Option<Admission>,
        descriptors: Descriptors,
        connection_limit: usize,
        retry_after: Duration,
    ) -> Self {
        Self {
            admission,
            connection_limit: descriptors.divide(connection_limit, connection_limit / 4 + 16).0,
            descriptors,
            refusing: VecDeque::new(),
            retry_after,
            spread: RetryAfterSpread::new(0),
            refused: BTreeMap::new(),
            alarms: Alarms::new(CALM, AGAIN),
            told: BTreeMap::new(),
        }
    }

    /// Refuses for a reason that admission did not give.
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

    /// A connection has been accepted by the kernel: whether it gets in.
    pub fn arrive(
        &mut self,
        now: Time,
        connections: &mut Connections,
        address: IpAddr,
        outbox: impl FnOnce() -> Outbox,
    ) -> Entry {
        let outbox = Rc::new(outbox());
        let place = self.descriptors.arrive(connections.open(), self.refusing.len());
        let verdict = if place != AcceptDecision::Serve {
            Err(self.refuse(now, RefusalReason::Descriptors))
        } else {
            let conn = connections.number();
            let verdict = self.admission.as_mut().map(|a| a.arrive(now.0, Arrival { conn, address }));
            match verdict {
                Some(ConnectionDecision::Refuse { reason, retry_after }) => Err((reason, retry_after)),
                Some(ConnectionDecision::Replace(victim)) => {
                    connections.close(victim, CloseCode::TRY_AGAIN_LATER, EvictionReason::PlaceNeeded.text());
                    Ok(conn)
                }
                _ => Ok(conn),
            }
        };
        match verdict {
            Ok(conn) => {
                connections.arrived(conn, outbox.clone());
                Entry::In(conn, outbox)
            }
            Err((reason, wait)) => {
                if self.descriptors.refuse(self.refusing.len()) == AcceptDecision::RefuseClosingOldest
                    && let Some(oldest) = self.refusing.pop_front()
                {
                    oldest.abort();
                }
                self.refusing.push_back(outbox.clone());
                Entry::Out(reason, wait, outbox)
            }
        }
    }

    /// One that was being refused has ended.
    pub fn refused(&mut self, outbox: &Rc<Outbox>) {
        self.refusing.retain(|other| !Rc::ptr_eq(other, outbox));
    }

    /// Whether what this peer says of where a connection comes from is believed.
    pub fn is_forwarder(&self, peer: IpAddr) -> bool {
        self.admission.as_ref().is_some_and(|a| a.is_forwarder(peer))
    }

    /// A forwarder said through which hops a connection came: the address that is believed, and whether it gets in.
    pub fn forwarded(
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

    /// A handshake is done: whether the connection stays, and if so, whether it has to show who it is.
    pub fn shaken(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: ConnectionId,
    ) -> Result<bool, Refusal> {
        let full = connections.clients() >= self.connection_limit;
        match self.admission.as_mut().map(|a| a.handshake_done(now.0, conn)) {
            Some(ConnectionDecision::Refuse { reason, retry_after }) => Err((reason, retry_after)),
            Some(ConnectionDecision::Probation) => Ok(true),
            Some(ConnectionDecision::Replace(victim)) => {
                connections.close(victim, CloseCode::TRY_AGAIN_LATER, EvictionReason::PlaceNeeded.text());
                Ok(false)
            }
            Some(ConnectionDecision::Accept) => Ok(false),
            // Without admission the limit on connections is all there is.
            None if full => Err(self.refuse(now, RefusalReason::Full)),
            None => Ok(false),
        }
    }

    /// A connection has shown that it is a known client's. An error is why it cannot stay.
    pub fn known(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: ConnectionId,
        client: &Arc<str>,
    ) -> Result<(), RefusalReason> {
        match self.admission.as_mut().map(|a| a.authenticated(now.0, conn, client)) {
            Some(ConnectionDecision::Refuse { reason, .. }) => Err(reason),
            Some(ConnectionDecision::Replace(victim)) => {
                connections.close(victim, CloseCode::TRY_AGAIN_LATER, EvictionReason::PlaceNeeded.text());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// A connection does something, with so many calls.
    pub fn active(&mut self, now: Time, conn: ConnectionId, calls: usize) {
        if let Some(admission) = &mut self.admission {
            admission.record_activity(now.0, conn, u32::try_from(calls).unwrap_or(u32::MAX));
        }
    }

    /// A connection has sent so many messages: how long it is not to be read.
    pub fn pace(&mut self, now: Time, conn: ConnectionId, messages: u32) -> Duration {
        self.admission.as_mut().map_or(Duration::ZERO, |a| a.charge_messages(now.0, conn, messages))
    }

    /// Bytes that a connection may have worked on in one turn.
    pub fn turn(&self, conn: ConnectionId) -> usize {
        self.admission.as_ref().map_or(usize::MAX, |a| a.read_budget(conn))
    }

    /// A connection is gone, at whatever stage.
    pub fn gone(&mut self, now: Time, conn: ConnectionId) {
        if let Some(admission) = &mut self.admission {
            admission.connection_closed(now.0, conn);
        }
    }

    /// The kernel had no descriptor for a connection.
    pub fn exhausted(&mut self, now: Time, spare: bool) -> ExhaustionAction {
        let (step, change) = self.descriptors.descriptor_missing(now.0, spare);
        if change == Some(ExhaustionEvent::Began) {
            tracing::warn!(
                "no descriptor is left: newcomers are refused one by one, those that are in go on"
            );
        }
        step
    }

    /// A newcomer that is refused with the spare descriptor: how long it should stay away.
    pub fn refuse_with_spare(&mut self, now: Time) -> Refusal {
        self.refuse(now, RefusalReason::Descriptors)
    }

    /// The kernel had a descriptor for a connection.
    pub fn accepted(&mut self, now: Time) {
        if let Some(ExhaustionEvent::Ended(lasted)) = self.descriptors.accepted(now.0) {
            tracing::info!(lasted_ms = lasted.as_secs_f64() * 1e3, "descriptors are there again");
        }
    }

    /// Closes those that are idle, do not read, or have not shown who they are.
    pub fn sweep(&mut self, now: Time, connections: &mut Connections) {
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
        for (conn, why) in admission.evict_overdue(now.0) {
            // One that does not read takes no goodbye either.
            if why == EvictionReason::SlowReader
                && let Some((_, connection)) = connections.iter().find(|(c, _)| *c == conn)
            {
                connection.outbox.abort();
            }
            connections.close(conn, CloseCode::TRY_AGAIN_LATER, why.text());
        }
    }

    /// What is held and was refused.
    pub fn snapshot(&self, most: usize) -> Snapshot {
        let mut seen = self.admission.as_ref().map(|a| a.snapshot(most)).unwrap_or_default();
        for (reason, count) in &self.refused {
            *seen.refused.entry(*reason).or_default() += count;
        }
        seen
    }

    /// Writes a line for each change of state.
    pub fn tell(&mut self, now: Time, set_ups: &BTreeMap<SetUpRefusal, u64>) {
        let seen = self.snapshot(0);
        let counts = (seen.refused.into_iter().map(|(r, n)| (Cause::Refused(r), n)))
            .chain(seen.evicted.into_iter().map(|(e, n)| (Cause::Evicted(e), n)))
            .chain(set_ups.iter().map(|(r, n)| (Cause::SetUp(*r), *n)));
        let mut lines = Vec::new();
        for (cause, count) in counts {
            let told = self.told.entry(cause).or_default();
            let more = count - std::mem::replace(told, count);
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
        let settings = fawnrouter_config::parse("t.yaml", &text).expect("sound settings");
        let admission = settings.admission_settings(1).map(|a| Admission::new(a).expect("sound settings"));
        let descriptors = DescriptorSettings { limit, in_use: 0, trunks: 0, files: 0, control: 0 };
        let descriptors = Descriptors::new(descriptors).expect("room");
        ConnectionAdmission::new(admission, descriptors, connection_limit, Duration::from_secs(2))
    }

    fn arrive(connection_admission: &mut ConnectionAdmission, connections: &mut Connections, n: u8) -> Entry {
        connection_admission.arrive(
            Time(Duration::from_secs(1)),
            connections,
            IpAddr::from([127, 0, 0, n]),
            || Outbox::new(1000),
        )
    }

    #[test]
    fn a_connection_that_makes_room_while_its_upgrade_is_written_is_told_why() {
        let (mut connection_admission, mut connections) =
            (connection_admission(1, 1000), Connections::default());
        let now = Time(Duration::from_secs(1));
        let Entry::In(first, outbox) = arrive(&mut connection_admission, &mut connections, 1) else {
            panic!("room")
        };
        assert_eq!(connection_admission.shaken(now, &mut connections, first).ok(), Some(false));
        let Entry::In(second, other) = arrive(&mut connection_admission, &mut connections, 1) else {
            panic!("room")
        };
        assert_eq!(connection_admission.shaken(now, &mut connections, second).ok(), Some(false));
        assert_eq!(future::block_on(outbox.finished()), Some(EvictionReason::PlaceNeeded.text()));
        assert!(other.is_open() && connections.open() == 1);
    }

    #[test]
    fn beyond_the_descriptors_newcomers_are_refused_and_the_first_refused_is_let_go() {
        let (mut connection_admission, mut connections) =
            (connection_admission(1000, 40), Connections::default());
        let mut refused = Vec::new();
        for n in 0..40 {
            if let Entry::Out(reason, wait, outbox) = arrive(&mut connection_admission, &mut connections, n) {
                assert!(reason == RefusalReason::Descriptors && wait >= Duration::from_secs(2));
                refused.push(outbox);
            }
        }
        // 40 less the spare, two to refuse with and eight for what was forgotten.
        assert_eq!((connections.open(), refused.len()), (29, 11));
        assert!(refused[..9].iter().all(|o| !o.is_open()) && refused[9..].iter().all(|o| o.is_open()));
        assert_eq!(connection_admission.snapshot(0).refused[&RefusalReason::Descriptors], 11);
    }
}

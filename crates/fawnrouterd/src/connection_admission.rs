//! Who gets in: the decisions of `fawnrouter_admission` with the connections that they concern.

use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fawnrouter_admission::{
    Admission, Alarms, Arrival, Change, Conn, Descriptors, Eviction, Line, Place, Reason, SetUpRefusal,
    Snapshot, Spread, Step, Verdict,
};
use fawnrouter_engine::fawnrouter::Time;
use fawnrouter_ws::CloseCode;

use crate::connections::Connections;
use crate::outbox::Outbox;

/// What lasts and is told in the log when it begins and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AlarmCause {
    Refused(Reason),
    Evicted(Eviction),
    SetUp(SetUpRefusal),
}

impl AlarmCause {
    const fn text(self) -> (&'static str, &'static str) {
        match self {
            Self::Refused(reason) => ("connections refused", reason.text()),
            Self::Evicted(why) => ("connections closed", why.text()),
            Self::SetUp(why) => ("set-ups refused", why.text()),
        }
    }
}

/// Nothing of a kind for this long, and it is over.
const ALARM_CLEAR_TIME: Duration = Duration::from_secs(5);
/// What goes on is told again after this time.
const ALARM_REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// Whether a connection gets in, and on what terms.
pub enum AdmissionOutcome {
    /// It is served.
    Accepted(Conn, Rc<Outbox>),
    /// It is told why not and when to come back; the outbox ends it when another needs its descriptor.
    Refused(Reason, Duration, Rc<Outbox>),
}

/// Why a connection does not get in, and how long it should stay away.
pub type Refusal = (Reason, Duration);

/// The decisions and what they go by.
pub struct ConnectionAdmission {
    pub admission: Option<Admission>,
    pub descriptors: Descriptors,
    /// Those that are being told that they do not get in, the first one first.
    being_refused: VecDeque<Rc<Outbox>>,
    /// Without admission: connections in all, and the time to stay away.
    connection_limit: usize,
    retry_after: Duration,
    spread: Spread,
    refused: BTreeMap<Reason, u64>,
    alarms: Alarms<AlarmCause>,
    logged: BTreeMap<AlarmCause, u64>,
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
            being_refused: VecDeque::new(),
            retry_after,
            spread: Spread::new(0),
            refused: BTreeMap::new(),
            alarms: Alarms::new(ALARM_CLEAR_TIME, ALARM_REPEAT_INTERVAL),
            logged: BTreeMap::new(),
        }
    }

    /// Refuses for a reason that admission did not give.
    fn refuse(&mut self, now: Time, reason: Reason) -> Refusal {
        let wait = match &mut self.admission {
            Some(admission) => admission.refuse_for(now.0, reason),
            None => {
                *self.refused.entry(reason).or_default() += 1;
                self.spread.next(Duration::ZERO, self.retry_after)
            }
        };
        (reason, wait)
    }

    /// A connection has been accepted by the kernel: whether it gets in.
    pub fn admit(
        &mut self,
        now: Time,
        connections: &mut Connections,
        address: IpAddr,
        outbox: impl FnOnce() -> Outbox,
    ) -> AdmissionOutcome {
        let outbox = Rc::new(outbox());
        let place = self.descriptors.arrive(connections.open_count(), self.being_refused.len());
        let verdict = if place != Place::Serve {
            Err(self.refuse(now, Reason::Descriptors))
        } else {
            let conn = connections.allocate_conn();
            let verdict = self.admission.as_mut().map(|a| a.arrive(now.0, Arrival { conn, address }));
            match verdict {
                Some(Verdict::Refuse { reason, retry_after }) => Err((reason, retry_after)),
                Some(Verdict::Replace(victim)) => {
                    connections.close(victim, CloseCode::LATER, Eviction::MadeRoom.text());
                    Ok(conn)
                }
                _ => Ok(conn),
            }
        };
        match verdict {
            Ok(conn) => {
                connections.insert(conn, outbox.clone());
                AdmissionOutcome::Accepted(conn, outbox)
            }
            Err((reason, wait)) => {
                if self.descriptors.refuse(self.being_refused.len()) == Place::RefuseAfterOldest
                    && let Some(oldest) = self.being_refused.pop_front()
                {
                    oldest.abort();
                }
                self.being_refused.push_back(outbox.clone());
                AdmissionOutcome::Refused(reason, wait, outbox)
            }
        }
    }

    /// One that was being refused has ended.
    pub fn refusal_finished(&mut self, outbox: &Rc<Outbox>) {
        self.being_refused.retain(|other| !Rc::ptr_eq(other, outbox));
    }

    /// Whether what this peer says of where a connection comes from is believed.
    pub fn is_forwarder(&self, peer: IpAddr) -> bool {
        self.admission.as_ref().is_some_and(|a| a.is_forwarder(peer))
    }

    /// A forwarder said through which hops a connection came: the address that is believed, and whether it gets in.
    pub fn apply_forwarded(
        &mut self,
        now: Time,
        conn: Conn,
        hops: &[Option<IpAddr>],
    ) -> Result<Option<IpAddr>, Refusal> {
        let Some(admission) = &mut self.admission else { return Ok(None) };
        let Some(address) = admission.believed(hops) else { return Ok(None) };
        match admission.forwarded(now.0, conn, address) {
            Verdict::Refuse { reason, retry_after } => Err((reason, retry_after)),
            _ => Ok(Some(address)),
        }
    }

    /// A handshake is done: whether the connection stays, and if so, whether it has to show who it is.
    pub fn handshake_done(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: Conn,
    ) -> Result<bool, Refusal> {
        let full = connections.client_count() >= self.connection_limit;
        match self.admission.as_mut().map(|a| a.shaken(now.0, conn)) {
            Some(Verdict::Refuse { reason, retry_after }) => Err((reason, retry_after)),
            Some(Verdict::Probation) => Ok(true),
            Some(Verdict::Replace(victim)) => {
                connections.close(victim, CloseCode::LATER, Eviction::MadeRoom.text());
                Ok(false)
            }
            Some(Verdict::Accept) => Ok(false),
            // Without admission the limit on connections is all there is.
            None if full => Err(self.refuse(now, Reason::Full)),
            None => Ok(false),
        }
    }

    /// A connection has shown that it is a known client's. An error is why it cannot stay.
    pub fn client_identified(
        &mut self,
        now: Time,
        connections: &mut Connections,
        conn: Conn,
        client: &Arc<str>,
    ) -> Result<(), Reason> {
        match self.admission.as_mut().map(|a| a.known(now.0, conn, client)) {
            Some(Verdict::Refuse { reason, .. }) => Err(reason),
            Some(Verdict::Replace(victim)) => {
                connections.close(victim, CloseCode::LATER, Eviction::MadeRoom.text());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// A connection does something, with so many calls.
    pub fn record_activity(&mut self, now: Time, conn: Conn, calls: usize) {
        if let Some(admission) = &mut self.admission {
            admission.active(now.0, conn, u32::try_from(calls).unwrap_or(u32::MAX));
        }
    }

    /// A connection has sent so many messages: how long it is not to be read.
    pub fn read_pause(&mut self, now: Time, conn: Conn, messages: u32) -> Duration {
        self.admission.as_mut().map_or(Duration::ZERO, |a| a.pace(now.0, conn, messages))
    }

    /// Bytes that a connection may have worked on in one turn.
    pub fn read_quota(&self, conn: Conn) -> usize {
        self.admission.as_ref().map_or(usize::MAX, |a| a.turn(conn))
    }

    /// A connection is gone, at whatever stage.
    pub fn connection_closed(&mut self, now: Time, conn: Conn) {
        if let Some(admission) = &mut self.admission {
            admission.closed(now.0, conn);
        }
    }

    /// The kernel had no descriptor for a connection.
    pub fn descriptors_exhausted(&mut self, now: Time, spare: bool) -> Step {
        let (step, change) = self.descriptors.exhausted(now.0, spare);
        if change == Some(Change::Began) {
            tracing::warn!(
                "no descriptor is left: newcomers are refused one by one, those that are in go on"
            );
        }
        step
    }

    /// A newcomer that is refused with the spare descriptor: how long it should stay away.
    pub fn refuse_with_spare(&mut self, now: Time) -> Refusal {
        self.refuse(now, Reason::Descriptors)
    }

    /// The kernel had a descriptor for a connection.
    pub fn descriptor_available(&mut self, now: Time) {
        if let Some(Change::Ended(lasted)) = self.descriptors.accepted(now.0) {
            tracing::info!(lasted_ms = lasted.as_secs_f64() * 1e3, "descriptors are there again");
        }
    }

    /// Closes those that are idle, do not read, or have not shown who they are.
    pub fn close_evicted(&mut self, now: Time, connections: &mut Connections) {
        let Some(admission) = &mut self.admission else { return };
        for (conn, connection) in connections.iter() {
            if connection.client.is_some() {
                admission.reads(now.0, conn, connection.outbox.backlog(), connection.outbox.written_bytes());
            }
        }
        for (conn, why) in admission.sweep(now.0) {
            // One that does not read takes no goodbye either.
            if why == Eviction::Slow
                && let Some((_, connection)) = connections.iter().find(|(c, _)| *c == conn)
            {
                connection.outbox.abort();
            }
            connections.close(conn, CloseCode::LATER, why.text());
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
    pub fn log_changes(&mut self, now: Time, set_ups: &BTreeMap<SetUpRefusal, u64>) {
        let seen = self.snapshot(0);
        let counts = (seen.refused.into_iter().map(|(r, n)| (AlarmCause::Refused(r), n)))
            .chain(seen.evicted.into_iter().map(|(e, n)| (AlarmCause::Evicted(e), n)))
            .chain(set_ups.iter().map(|(r, n)| (AlarmCause::SetUp(*r), *n)));
        let mut lines = Vec::new();
        for (cause, count) in counts {
            let logged = self.logged.entry(cause).or_default();
            let more = count - std::mem::replace(logged, count);
            if more > 0 {
                lines.extend(self.alarms.note(now.0, cause, more));
            }
        }
        lines.extend(self.alarms.pass(now.0));
        for line in lines {
            match line {
                Line::Began(cause) => tracing::warn!("{}: {}", cause.text().0, cause.text().1),
                Line::GoesOn(cause, count) => {
                    tracing::warn!(count, "still {}: {}", cause.text().0, cause.text().1);
                }
                Line::Over(cause, lasted, count) => {
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
    fn a_connection_that_makes_room_while_its_upgrade_is_written_is_told_why() {
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
        assert_eq!(future::block_on(outbox.finished()), Some(Eviction::MadeRoom.text()));
        assert!(other.is_open() && connections.open_count() == 1);
    }

    #[test]
    fn beyond_the_descriptors_newcomers_are_refused_and_the_first_refused_is_let_go() {
        let (mut connection_admission, mut connections) =
            (connection_admission(1000, 40), Connections::default());
        let mut refused = Vec::new();
        for n in 0..40 {
            if let AdmissionOutcome::Refused(reason, wait, outbox) =
                arrive(&mut connection_admission, &mut connections, n)
            {
                assert!(reason == Reason::Descriptors && wait >= Duration::from_secs(2));
                refused.push(outbox);
            }
        }
        // 40 less the spare, two to refuse with and eight for what was forgotten.
        assert_eq!((connections.open_count(), refused.len()), (29, 11));
        assert!(refused[..9].iter().all(|o| !o.is_open()) && refused[9..].iter().all(|o| o.is_open()));
        assert_eq!(connection_admission.snapshot(0).refused[&Reason::Descriptors], 11);
    }
}

//! A stand-in core switch without I/O: one processor with one queue, in which answers and releases wait
//! behind new set-ups, and the faults that can be injected into it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fawnrouter_sip::{Message, MessageBuilder, Method, Name};

/// Processing costs as shares of a whole call's work.
struct WorkShares {
    set_up: f64,
    answer: f64,
    release: f64,
    refusal: f64,
}

/// Set-up, answer and release make up one call; a refusal comes on top.
const WORK_SHARES: WorkShares = WorkShares { set_up: 0.6, answer: 0.2, release: 0.2, refusal: 0.1 };

/// Set-ups that a cold switch takes above its limit before it collapses: arrivals are random.
const COLD_SET_UP_TOLERANCE: f64 = 3.0;

/// Capacity and overload behaviour of a stand-in.
#[derive(Clone, Debug)]
pub struct SwitchModel {
    /// Calls per second when warm.
    pub capacity_per_s: f64,
    /// Set-ups are refused while the queue holds more work than this.
    pub refuse_after: Duration,
    /// Refusals carry the expected wait as Retry-After.
    pub sends_retry_after: bool,
    /// Share of its capacity right after a cold start.
    pub cold_start_share: f64,
    /// Time from a cold start until the full capacity is reached.
    pub warm_up: Duration,
    /// While cold, it collapses when it receives this many times its present capacity ...
    pub collapse_multiple: f64,
    /// ... over this time.
    pub collapse_window: Duration,
    /// Its Contact, with the address where it listens.
    pub contact: String,
}

/// Result of a message or of work that became due.
#[derive(Clone, Debug, PartialEq)]
pub enum SwitchEffect {
    /// Send these bytes on this connection.
    Send(u64, Vec<u8>),
    /// It has collapsed while cold, and stays down.
    Collapsed,
}

#[derive(Clone, Debug)]
enum Job {
    SetUp(u64, String),
    Answer(u64, String),
    /// An answer whose work is done and whose sending is delayed.
    DelayedAnswer(u64, String),
    Release(u64, Box<Message>),
}

#[derive(Debug)]
struct Call {
    invite: Box<Message>,
    cancelled: bool,
}

/// A single-server queue and the calls in it.
#[derive(Debug)]
pub struct Processor {
    model: SwitchModel,
    /// When all queued work is done.
    busy_until: Duration,
    /// Queued work by its end and a running number.
    jobs: BTreeMap<(Duration, u64), Job>,
    last_job: u64,
    /// Calls in set-up by connection and Call-ID.
    calls: BTreeMap<(u64, String), Call>,
    /// Messages that arrived during a stall, with their connections.
    inbox: VecDeque<(u64, Box<Message>)>,
    stalled_until: Duration,
    cold_since: Option<Duration>,
    /// Times of the set-ups within the collapse window, while cold.
    arrivals: VecDeque<Duration>,
    collapsed: bool,
    /// Factor by which all work takes longer than usual.
    pub slowdown: f64,
    /// Accepts all messages and answers none.
    pub silent: bool,
    /// Ignores CANCEL for a call in set-up and answers its INVITE with 200.
    pub ignores_cancel: bool,
    /// Delay between the end of the work for a final answer and its sending.
    pub answer_delay: Duration,
}

impl Processor {
    /// A warm processor, or one that starts cold at this time.
    #[must_use]
    pub fn new(model: SwitchModel, cold_since: Option<Duration>) -> Self {
        Self {
            model,
            busy_until: Duration::ZERO,
            jobs: BTreeMap::new(),
            last_job: 0,
            calls: BTreeMap::new(),
            inbox: VecDeque::new(),
            stalled_until: Duration::ZERO,
            cold_since,
            arrivals: VecDeque::new(),
            collapsed: false,
            slowdown: 1.0,
            silent: false,
            ignores_cancel: false,
            answer_delay: Duration::ZERO,
        }
    }

    /// Present capacity as a share of the warm capacity.
    fn capacity_share(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let part = now.saturating_sub(since).as_secs_f64() / self.model.warm_up.as_secs_f64().max(1e-9);
        self.model.cold_start_share + (1.0 - self.model.cold_start_share) * part.min(1.0)
    }

    fn enqueue(&mut self, now: Duration, share: f64, job: Option<Job>) {
        let work = share * self.slowdown / (self.model.capacity_per_s * self.capacity_share(now));
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(work);
        if let Some(job) = job {
            self.last_job += 1;
            self.jobs.insert((self.busy_until, self.last_job), job);
        }
    }

    /// Stops all processing for a time: queued work is delayed, and messages that arrive wait unread.
    pub fn stall(&mut self, now: Duration, span: Duration) {
        self.stalled_until = now + span;
        self.busy_until = self.busy_until.max(now) + span;
        let jobs = std::mem::take(&mut self.jobs);
        self.jobs = jobs.into_iter().map(|((at, n), job)| ((at + span, n), job)).collect();
    }

    /// Removes the calls of a closed connection.
    pub fn disconnected(&mut self, conn: u64) {
        self.calls.retain(|(c, _), _| *c != conn);
    }

    /// Time at which [`Self::run_due`] must be called next.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let inbox = (!self.inbox.is_empty()).then_some(self.stalled_until);
        let job = self.jobs.first_key_value().map(|((at, _), _)| *at);
        [inbox, job].into_iter().flatten().min()
    }

    /// Handles a message, or holds it back during a stall.
    pub fn receive(
        &mut self,
        now: Duration,
        conn: u64,
        message: Box<Message>,
        effects: &mut Vec<SwitchEffect>,
    ) {
        if self.collapsed || self.silent {
            return;
        }
        if now < self.stalled_until {
            return self.inbox.push_back((conn, message));
        }
        self.process(now, conn, message, effects);
    }

    /// Completes the work that is due.
    pub fn run_due(&mut self, now: Duration, effects: &mut Vec<SwitchEffect>) {
        if self.collapsed || self.silent {
            self.jobs.clear();
            self.inbox.clear();
            return;
        }
        if now >= self.stalled_until {
            while let Some((conn, message)) = self.inbox.pop_front() {
                self.process(now, conn, message, effects);
            }
        }
        while let Some(entry) = self.jobs.first_entry().filter(|e| e.key().0 <= now) {
            let job = entry.remove();
            self.complete(now, job, effects);
        }
    }

    fn process(&mut self, now: Duration, conn: u64, message: Box<Message>, effects: &mut Vec<SwitchEffect>) {
        let mut reply = |status: u16, extra: &[(Name, String)]| {
            effects.push(SwitchEffect::Send(conn, response(&message, status, extra, None)));
        };
        let key = (conn, message.get(Name::CallId).unwrap_or("").to_owned());
        match message.method() {
            Some(Method::Invite) => {
                reply(100, &[]);
                let wait = self.busy_until.saturating_sub(now);
                if wait > self.model.refuse_after {
                    let retry_after = (Name::RetryAfter, wait.as_secs_f64().ceil().to_string());
                    reply(
                        503,
                        if self.model.sends_retry_after { std::slice::from_ref(&retry_after) } else { &[] },
                    );
                    self.enqueue(now, WORK_SHARES.refusal, None);
                } else {
                    self.enqueue(now, WORK_SHARES.set_up, Some(Job::SetUp(conn, key.1.clone())));
                    self.calls.insert(key, Call { invite: message, cancelled: false });
                }
                self.count_cold_set_up(now, effects);
            }
            Some(Method::Cancel) => {
                reply(200, &[]);
                // The set-up still takes its processing time: its job stays in the queue.
                if let Some(call) = self.calls.get_mut(&key).filter(|c| !c.cancelled && !self.ignores_cancel)
                {
                    call.cancelled = true;
                    effects.push(SwitchEffect::Send(conn, response(&call.invite, 487, &[], None)));
                }
            }
            Some(Method::Bye) => self.enqueue(now, WORK_SHARES.release, Some(Job::Release(conn, message))),
            Some(Method::Options) => reply(200, &[]),
            _ => {}
        }
    }

    /// Counts set-ups while cold; too many within the window make the switch collapse.
    fn count_cold_set_up(&mut self, now: Duration, effects: &mut Vec<SwitchEffect>) {
        let Some(since) = self.cold_since else { return };
        if now > since + self.model.warm_up {
            self.cold_since = None;
            return;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|t| *t + self.model.collapse_window < now) {
            self.arrivals.pop_front();
        }
        let capacity =
            self.model.capacity_per_s * self.capacity_share(now) * self.model.collapse_window.as_secs_f64();
        let limit = capacity * self.model.collapse_multiple + COLD_SET_UP_TOLERANCE;
        if self.arrivals.len() as f64 > limit && !self.collapsed {
            self.collapsed = true;
            effects.push(SwitchEffect::Collapsed);
        }
    }

    fn complete(&mut self, now: Duration, job: Job, effects: &mut Vec<SwitchEffect>) {
        match job {
            Job::SetUp(conn, id) => {
                if let Some(call) = self.calls.get(&(conn, id.clone())).filter(|c| !c.cancelled) {
                    effects.push(SwitchEffect::Send(conn, response(&call.invite, 180, &[], None)));
                    self.enqueue(now, WORK_SHARES.answer, Some(Job::Answer(conn, id)));
                }
            }
            Job::Answer(conn, id) if !self.answer_delay.is_zero() => {
                self.last_job += 1;
                self.jobs.insert((now + self.answer_delay, self.last_job), Job::DelayedAnswer(conn, id));
            }
            Job::Answer(conn, id) | Job::DelayedAnswer(conn, id) => {
                if let Some(call) = self.calls.remove(&(conn, id)).filter(|c| !c.cancelled) {
                    let contact = Some(self.model.contact.as_str());
                    effects.push(SwitchEffect::Send(conn, response(&call.invite, 200, &[], contact)));
                }
            }
            Job::Release(conn, bye) => effects.push(SwitchEffect::Send(conn, response(&bye, 200, &[], None))),
        }
    }
}

fn response(request: &Message, status: u16, extra: &[(Name, String)], contact: Option<&str>) -> Vec<u8> {
    let mut draft = MessageBuilder::response_to(request, status, None, "stand-in", None);
    for (name, value) in extra {
        draft.field(*name, value);
    }
    match contact {
        Some(contact) => {
            draft.field(Name::Contact, contact).field(Name::ContentType, "application/sdp");
            draft.finish(b"v=0\r\n")
        }
        None => draft.finish(b""),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnrouter_sip::Limits;

    const fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn model() -> SwitchModel {
        SwitchModel {
            capacity_per_s: 10.0,
            refuse_after: ms(300),
            sends_retry_after: true,
            cold_start_share: 0.5,
            warm_up: ms(10_000),
            collapse_multiple: 2.0,
            collapse_window: ms(1000),
            contact: "<sip:s@127.0.0.1>".into(),
        }
    }

    fn request(method: Method, n: u32) -> Box<Message> {
        let mut draft = MessageBuilder::request(method, "sip:x@s");
        draft
            .field(Name::Via, &format!("SIP/2.0/TCP g;branch=z9hG4bK{n}"))
            .field(Name::CallId, &n.to_string());
        draft.field(Name::From, "<sip:a@b>;tag=1").field(Name::To, "<sip:x@s>");
        let bytes = draft.field(Name::CSeq, &format!("1 {}", method.name())).finish(b"");
        Box::new(Message::parse(&bytes, &Limits::default()).expect("sound SIP"))
    }

    /// Times and statuses of all responses (999 for a collapse) to calls that arrive at the given times.
    fn play(
        mut p: Processor,
        calls: &[u64],
        until: u64,
        change: impl Fn(&mut Processor, u64),
    ) -> Vec<(u64, u16)> {
        let mut out = Vec::new();
        for now in 0..until {
            let mut effects = Vec::new();
            change(&mut p, now);
            for n in calls.iter().filter(|t| **t == now) {
                p.receive(
                    ms(now),
                    1,
                    request(Method::Invite, *n as u32 + out.len() as u32 * 1000),
                    &mut effects,
                );
            }
            p.run_due(ms(now), &mut effects);
            out.extend(effects.into_iter().map(|effect| match effect {
                SwitchEffect::Send(_, bytes) => (
                    now,
                    Message::parse(&bytes, &Limits::default()).ok().and_then(|m| m.status()).unwrap_or(0),
                ),
                SwitchEffect::Collapsed => (now, 999),
            }));
        }
        out
    }

    #[test]
    fn call_is_answered_after_its_set_up_and_answer_work() {
        let out = play(Processor::new(model(), None), &[0], 200, |_, _| ());
        assert_eq!(out, [(0, 100), (60, 180), (80, 200)]);
    }

    #[test]
    fn answers_wait_behind_new_set_ups_and_a_full_queue_refuses() {
        let times: Vec<u64> = (0..9).collect();
        let out = play(Processor::new(model(), None), &times, 2000, |_, _| ());
        let first_answer = out.iter().find(|(_, s)| *s == 200).expect("an answer").0;
        assert!(first_answer > 300, "{first_answer}");
        assert!(out.iter().any(|(_, s)| *s == 503));
    }

    #[test]
    fn stall_delays_all_work_and_late_answer_delays_no_other_call() {
        let still = |p: &mut Processor, now| {
            if now == 30 {
                p.stall(ms(30), ms(500));
            }
        };
        assert_eq!(play(Processor::new(model(), None), &[0], 800, still), [(0, 100), (560, 180), (580, 200)]);
        let late = |p: &mut Processor, _| p.answer_delay = ms(400);
        let out = play(Processor::new(model(), None), &[0, 100], 800, late);
        assert_eq!(out, [(0, 100), (60, 180), (100, 100), (160, 180), (480, 200), (580, 200)]);
    }

    #[test]
    fn cold_switch_is_slower_and_collapses_under_too_many_set_ups() {
        let out = play(Processor::new(model(), Some(ms(0))), &[0], 400, |_, _| ());
        assert!(out[1].0 >= 118, "half the capacity: {out:?}");
        let times: Vec<u64> = (0..14).map(|n| n * 2).collect();
        let out = play(Processor::new(model(), Some(ms(0))), &times, 100, |_, _| ());
        // The limit in the 1 s window is 2 * 5 set-ups plus a tolerance of 3.
        assert_eq!(out.iter().filter(|(_, s)| *s == 999).count(), 1, "{out:?}");
    }
}

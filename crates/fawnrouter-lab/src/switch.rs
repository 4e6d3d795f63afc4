//! A stand-in core switch without I/O: one processor with one line, in which answers and releases wait behind new
//! set-ups, and the troubles that it can have.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fawnrouter_sip::{Message, MessageBuilder, Method, Name};

/// Shares of a call's work: set-up, answer, release; and what a refusal costs.
const WORK: (f64, f64, f64, f64) = (0.6, 0.2, 0.2, 0.1);

/// What a stand-in is.
#[derive(Clone, Debug)]
pub struct Make {
    /// Calls a second when warm.
    pub capacity_per_s: f64,
    /// Set-ups are refused while the line is longer.
    pub full_after: Duration,
    /// Refusals tell the wait.
    pub tells_wait: bool,
    /// It starts with this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after this time.
    pub ramp: Duration,
    /// A cold one sent this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long falls over.
    pub fall_time: Duration,
    /// Where it listens, for its Contact.
    pub contact: String,
}

/// What a message or the passing of time leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send these bytes on this connection.
    Send(u64, Vec<u8>),
    /// It has been pushed over while cold, and stays down.
    Fallen,
}

#[derive(Clone, Debug)]
enum Job {
    SetUp(u64, String),
    Answer(u64, String),
    /// An answer that is done and comes late.
    Late(u64, String),
    Release(u64, Box<Message>),
}

#[derive(Debug)]
struct Call {
    invite: Box<Message>,
    taken_back: bool,
}

/// The processor and the calls in it.
#[derive(Debug)]
pub struct Processor {
    make: Make,
    busy_until: Duration,
    jobs: BTreeMap<(Duration, u64), Job>,
    next: u64,
    calls: BTreeMap<(u64, String), Call>,
    inbox: VecDeque<(u64, Box<Message>)>,
    still_until: Duration,
    cold_since: Option<Duration>,
    arrivals: VecDeque<Duration>,
    fallen: bool,
    /// Times slower than usual.
    pub slow: f64,
    /// Takes everything and says nothing.
    pub silent: bool,
    /// Answers 200 in spite of a CANCEL.
    pub cross_cancel: bool,
    /// Final answers leave this much after they are done.
    pub late: Duration,
}

impl Processor {
    /// One that has run for long, or that starts cold at this time.
    #[must_use]
    pub fn new(make: Make, cold_since: Option<Duration>) -> Self {
        Self {
            make,
            busy_until: Duration::ZERO,
            jobs: BTreeMap::new(),
            next: 0,
            calls: BTreeMap::new(),
            inbox: VecDeque::new(),
            still_until: Duration::ZERO,
            cold_since,
            arrivals: VecDeque::new(),
            fallen: false,
            slow: 1.0,
            silent: false,
            cross_cancel: false,
            late: Duration::ZERO,
        }
    }

    /// Its capacity now, as a share of the warm one.
    fn warmth(&self, now: Duration) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let part = now.saturating_sub(since).as_secs_f64() / self.make.ramp.as_secs_f64().max(1e-9);
        self.make.cold_from + (1.0 - self.make.cold_from) * part.min(1.0)
    }

    fn enqueue(&mut self, now: Duration, share: f64, job: Option<Job>) {
        let work = share * self.slow / (self.make.capacity_per_s * self.warmth(now));
        self.busy_until = self.busy_until.max(now) + Duration::from_secs_f64(work);
        if let Some(job) = job {
            self.next += 1;
            self.jobs.insert((self.busy_until, self.next), job);
        }
    }

    /// Stands still for a while: all that is in the line waits longer, and what comes is not looked at.
    pub fn stand_still(&mut self, now: Duration, span: Duration) {
        self.still_until = now + span;
        self.busy_until = self.busy_until.max(now) + span;
        let jobs = std::mem::take(&mut self.jobs);
        self.jobs = jobs.into_iter().map(|((at, n), job)| ((at + span, n), job)).collect();
    }

    /// A connection is gone, with its calls.
    pub fn disconnected(&mut self, conn: u64) {
        self.calls.retain(|(c, _), _| *c != conn);
    }

    /// When [`Self::pass`] is wanted.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let inbox = (!self.inbox.is_empty()).then_some(self.still_until);
        let job = self.jobs.first_key_value().map(|((at, _), _)| *at);
        [inbox, job].into_iter().flatten().min()
    }

    /// Takes a message.
    pub fn take(&mut self, now: Duration, conn: u64, message: Box<Message>, steps: &mut Vec<Step>) {
        if self.fallen || self.silent {
            return;
        }
        if now < self.still_until {
            return self.inbox.push_back((conn, message));
        }
        self.work(now, conn, message, steps);
    }

    /// Does what is due.
    pub fn pass(&mut self, now: Duration, steps: &mut Vec<Step>) {
        if self.fallen || self.silent {
            self.jobs.clear();
            self.inbox.clear();
            return;
        }
        if now >= self.still_until {
            while let Some((conn, message)) = self.inbox.pop_front() {
                self.work(now, conn, message, steps);
            }
        }
        while let Some(entry) = self.jobs.first_entry().filter(|e| e.key().0 <= now) {
            let job = entry.remove();
            self.done(now, job, steps);
        }
    }

    fn work(&mut self, now: Duration, conn: u64, message: Box<Message>, steps: &mut Vec<Step>) {
        let mut reply = |status: u16, extra: &[(Name, String)]| {
            steps.push(Step::Send(conn, answer(&message, status, extra, None)));
        };
        let key = (conn, message.get(Name::CallId).unwrap_or("").to_owned());
        match message.method() {
            Some(Method::Invite) => {
                reply(100, &[]);
                let wait = self.busy_until.saturating_sub(now);
                if wait > self.make.full_after {
                    let told = (Name::RetryAfter, wait.as_secs_f64().ceil().to_string());
                    reply(503, if self.make.tells_wait { std::slice::from_ref(&told) } else { &[] });
                    self.enqueue(now, WORK.3, None);
                } else {
                    self.enqueue(now, WORK.0, Some(Job::SetUp(conn, key.1.clone())));
                    self.calls.insert(key, Call { invite: message, taken_back: false });
                }
                self.press(now, steps);
            }
            Some(Method::Cancel) => {
                reply(200, &[]);
                // The set-up may be worked on all the same: its job stays in the line.
                if let Some(call) = self.calls.get_mut(&key).filter(|c| !c.taken_back && !self.cross_cancel) {
                    call.taken_back = true;
                    steps.push(Step::Send(conn, answer(&call.invite, 487, &[], None)));
                }
            }
            Some(Method::Bye) => self.enqueue(now, WORK.2, Some(Job::Release(conn, message))),
            Some(Method::Options) => reply(200, &[]),
            _ => {}
        }
    }

    /// Counts set-ups while cold; too many at once push it over.
    fn press(&mut self, now: Duration, steps: &mut Vec<Step>) {
        let Some(since) = self.cold_since else { return };
        if now > since + self.make.ramp {
            self.cold_since = None;
            return;
        }
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|t| *t + self.make.fall_time < now) {
            self.arrivals.pop_front();
        }
        let capacity = self.make.capacity_per_s * self.warmth(now) * self.make.fall_time.as_secs_f64();
        if self.arrivals.len() as f64 > capacity * self.make.fall_multiple + 3.0 && !self.fallen {
            self.fallen = true;
            steps.push(Step::Fallen);
        }
    }

    fn done(&mut self, now: Duration, job: Job, steps: &mut Vec<Step>) {
        match job {
            Job::SetUp(conn, id) => {
                if let Some(call) = self.calls.get(&(conn, id.clone())).filter(|c| !c.taken_back) {
                    steps.push(Step::Send(conn, answer(&call.invite, 180, &[], None)));
                    self.enqueue(now, WORK.1, Some(Job::Answer(conn, id)));
                }
            }
            Job::Answer(conn, id) if !self.late.is_zero() => {
                self.next += 1;
                self.jobs.insert((now + self.late, self.next), Job::Late(conn, id));
            }
            Job::Answer(conn, id) | Job::Late(conn, id) => {
                if let Some(call) = self.calls.remove(&(conn, id)).filter(|c| !c.taken_back) {
                    let contact = Some(self.make.contact.as_str());
                    steps.push(Step::Send(conn, answer(&call.invite, 200, &[], contact)));
                }
            }
            Job::Release(conn, bye) => steps.push(Step::Send(conn, answer(&bye, 200, &[], None))),
        }
    }
}

fn answer(request: &Message, status: u16, extra: &[(Name, String)], contact: Option<&str>) -> Vec<u8> {
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

    fn make() -> Make {
        Make {
            capacity_per_s: 10.0,
            full_after: ms(300),
            tells_wait: true,
            cold_from: 0.5,
            ramp: ms(10_000),
            fall_multiple: 2.0,
            fall_time: ms(1000),
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

    /// Statuses sent, with when, as calls come in at these times.
    fn play(
        mut p: Processor,
        calls: &[u64],
        until: u64,
        change: impl Fn(&mut Processor, u64),
    ) -> Vec<(u64, u16)> {
        let mut out = Vec::new();
        for now in 0..until {
            let mut steps = Vec::new();
            change(&mut p, now);
            for n in calls.iter().filter(|t| **t == now) {
                p.take(ms(now), 1, request(Method::Invite, *n as u32 + out.len() as u32 * 1000), &mut steps);
            }
            p.pass(ms(now), &mut steps);
            out.extend(steps.into_iter().map(|step| match step {
                Step::Send(_, bytes) => (
                    now,
                    Message::parse(&bytes, &Limits::default()).ok().and_then(|m| m.status()).unwrap_or(0),
                ),
                Step::Fallen => (now, 999),
            }));
        }
        out
    }

    #[test]
    fn a_call_takes_its_set_up_and_answer_work_in_line() {
        let out = play(Processor::new(make(), None), &[0], 200, |_, _| ());
        assert_eq!(out, [(0, 100), (60, 180), (80, 200)]);
    }

    #[test]
    fn answers_wait_behind_new_set_ups_and_a_long_line_is_full() {
        let times: Vec<u64> = (0..9).collect();
        let out = play(Processor::new(make(), None), &times, 2000, |_, _| ());
        let first_answer = out.iter().find(|(_, s)| *s == 200).expect("an answer").0;
        assert!(first_answer > 300, "{first_answer}");
        assert!(out.iter().any(|(_, s)| *s == 503));
    }

    #[test]
    fn a_stall_holds_everything_up_and_a_late_answer_holds_up_nobody() {
        let still = |p: &mut Processor, now| {
            if now == 30 {
                p.stand_still(ms(30), ms(500));
            }
        };
        assert_eq!(play(Processor::new(make(), None), &[0], 800, still), [(0, 100), (560, 180), (580, 200)]);
        let late = |p: &mut Processor, _| p.late = ms(400);
        let out = play(Processor::new(make(), None), &[0, 100], 800, late);
        assert_eq!(out, [(0, 100), (60, 180), (100, 100), (160, 180), (480, 200), (580, 200)]);
    }

    #[test]
    fn a_cold_one_is_slower_and_falls_over_when_pushed() {
        let out = play(Processor::new(make(), Some(ms(0))), &[0], 400, |_, _| ());
        assert!(out[1].0 >= 118, "half the capacity: {out:?}");
        let times: Vec<u64> = (0..14).map(|n| n * 2).collect();
        let out = play(Processor::new(make(), Some(ms(0))), &times, 100, |_, _| ());
        // Its budget in a second is 2 * 5 and a little for chance.
        assert_eq!(out.iter().filter(|(_, s)| *s == 999).count(), 1, "{out:?}");
    }
}

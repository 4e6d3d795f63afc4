//! Case 2: a name server that takes 1.2 s to answer. A core switch drains, the answers say so, and the
//! gateway goes on sending to it.

#[path = "../harness.rs"]
mod harness;

use harness::*;

/// How long the name server takes to answer a query while it is slow.
const SLOW_ANSWER_MS: u64 = 1200;
/// Rule 3: the grace of the settings and the 50 ms by which each limit is extended on sockets.
const GRACE_MS: u64 = 1000 + 50;
/// The most that the pages ever allow between the change of the list and its being told: the 4.5 s of days on
/// which the name server goes silent, although here it answers every query.
const TOLD_AT_THE_LATEST_MS: u64 = 4500;

const SLOW_FROM: u64 = 3_000;
const DRAIN_AT: u64 = 6_000;
const STOP_AT: u64 = 18_000;
const END_AT: u64 = 20_000;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    // TROUBLE=0: everything but the disruption.
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    record.put("case", if trouble { "with the disruption" } else { "without the disruption" });
    let old = Switch::start("s-0a", ms(40), Hold::Fixed(ms(6000)), &record);
    let other = Switch::start("s-0b", ms(40), Hold::Fixed(ms(6000)), &record);
    let new = Switch::start("s-0c", ms(40), Hold::Fixed(ms(6000)), &record);
    let list = List {
        serial: 1,
        switches: vec![Listed::new(&old, "kochi", 0), Listed::new(&other, "kozhikode", 1)],
    };
    let names = NameServer::start(list.clone(), &record);
    let listen = free_address();
    let mut gateway = Gateway::start(listen, &configuration(listen, names.address, &list, 6, 1024), &record);
    let callers = Callers::new(&record);
    let Ok(connection) = callers.connect(listen, "caller") else {
        return verdict(&record, COULD_NOT_RUN, "no connection to the gateway");
    };

    let mut drain_serial = None;
    let (mut slow, mut stopped) = (false, None);
    let mut n = 0;
    // Ten set-ups a second, in turn for the pool of each switch.
    while record.now() < END_AT {
        let now = record.now();
        if trouble && !slow && now >= SLOW_FROM {
            names.set_delay(ms(SLOW_ANSWER_MS));
            slow = true;
        }
        if drain_serial.is_none() && now >= DRAIN_AT {
            let replacement = Listed::new(&new, "kochi", 0);
            drain_serial = Some((
                record.now(),
                names.change("s-0a drains, s-0c takes its place", move |switches| {
                    switches[0].draining = true;
                    switches.push(replacement);
                }),
            ));
        }
        if stopped.is_none() && now >= STOP_AT {
            names.change("s-0a is gone", |switches| drop(switches.remove(0)));
            stopped = Some(old.stop());
        }
        connection.set_up("payee-check", &format!("91484{n:05}"), n % 2, 3000);
        n += 1;
        record.sleep_until(now + 100);
    }
    sleep_for_answers();

    let running = gateway.is_running();
    let (drained_at, serial) = drain_serial.unwrap();
    let told = names.told_at(serial);
    let (queries, answers) = names.counts();
    gateway.end();
    record.put("case", &format!("the name server got {queries} queries and sent {answers} answers"));
    let Some(told) = told else {
        return verdict(&record, COULD_NOT_RUN, "the gateway never asked the name server");
    };
    if !running {
        return verdict(&record, BROKEN, "the gateway has ended by itself");
    }
    let limit = told.max(drained_at + TOLD_AT_THE_LATEST_MS) + GRACE_MS;
    let late: Vec<Arrival> = old.arrivals().into_iter().filter(|a| a.at > limit).collect();
    let cut = stopped.unwrap_or_default();
    let lost = cut.iter().filter(|tag| late.iter().any(|a| a.tag == **tag)).count();
    let text = format!(
        "s-0a drains at {drained_at} ms, told at {told} ms; allowed until {limit} ms; set-ups that reached s-0a after that: {}, the last at {:?} ms; {lost} of them stood and were cut when it stopped; set-ups at s-0c, which the list names too: {}",
        late.len(),
        late.last().map(|a| a.at),
        new.arrivals().len(),
    );
    verdict(&record, if late.is_empty() { HELD } else { BROKEN }, &text)
}

/// Time for the last answers.
fn sleep_for_answers() {
    std::thread::sleep(ms(500));
}

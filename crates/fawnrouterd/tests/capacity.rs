//! Gateway processes held against their hollow counterpart: the same plan brings the same messages and bytes.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use fawnrouter_capacity::hollow::{self, Scenario, Volume, VolumeByVerb};
use fawnrouter_capacity::plan::TrafficPlan;
use fawnrouter_capacity::process::line_counts::call_volume;
use fawnrouter_capacity::process::{self, CallOutcomes, ProcessError, Testbed, hop_plan};
use rustix::io::Errno;
use rustix::process::{WaitOptions, waitpid};

const SEED: u64 = 7;
const GATEWAYS: u32 = 8;
const SWITCHES: u32 = 25;
/// Messages and bytes of processes and hollow gateways are to agree within this share.
const AGREEMENT: f64 = 0.05;

/// One test at a time has child processes.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_no_child_is_left() {
    assert_eq!(waitpid(None, WaitOptions::NOHANG).err(), Some(Errno::CHILD), "a gateway was left running");
}

fn rig(stop: &AtomicBool) -> Testbed<'_> {
    Testbed { program: Path::new(env!("CARGO_BIN_EXE_fawnrouter")), seed: SEED, stop }
}

/// Calls that have all ended by the end of what is counted.
fn scenario() -> Scenario {
    let scenario = Scenario::one_service(SEED, GATEWAYS, SWITCHES);
    let hold = Duration::from_millis(500);
    let traffic = TrafficPlan { calls_per_second: 20.0, seconds: 3, hold, ..scenario.traffic };
    Scenario { traffic, warm_up: Duration::ZERO, measured: Duration::from_secs(5), ..scenario }
}

fn assert_agree(what: &str, processes: f64, hollow: f64) {
    let apart = (processes / hollow - 1.0).abs();
    assert!(
        hollow > 0.0 && apart <= AGREEMENT,
        "{what}: {processes} of processes, {hollow} of hollow gateways"
    );
}

fn assert_volumes_agree(what: &str, processes: Volume, hollow: Volume) {
    assert_agree(&format!("messages {what}"), processes.messages as f64, hollow.messages as f64);
    assert_agree(&format!("bytes {what}"), processes.bytes as f64, hollow.bytes as f64);
}

/// Bytes of one datagram.
fn each(volume: Volume) -> f64 {
    volume.bytes as f64 / volume.messages as f64
}

#[test]
fn processes_and_hollow_gateways_exchange_the_same_for_the_same_plan() {
    let _alone = alone();
    let scenario = scenario();
    let stop = AtomicBool::new(false);
    // It returns once every planned call has ended, so that what is compared is per plan and not per second.
    let played = process::run_scenario(&scenario, Duration::from_millis(500), rig(&stop)).unwrap();
    assert_no_child_is_left();
    let hollow = hollow::simulate(&scenario).unwrap();
    let planned = scenario.traffic.calls().len() as u64;
    assert_eq!((hollow.calls.attempted, hollow.calls.released), (planned, planned));
    assert_eq!((played.planned_calls, played.call_outcomes.total()), (planned, planned));
    assert_agree("calls that stood", played.call_outcomes.released as f64, planned as f64);
    let ways: [(&str, &VolumeByVerb, &VolumeByVerb); 4] = [
        ("from callers", &played.during_calls.from_callers, &hollow.from_callers),
        ("to callers", &played.during_calls.to_callers, &hollow.to_callers),
        ("from core switches", &played.during_calls.from_switches, &hollow.from_switches),
        ("to core switches", &played.during_calls.to_switches, &hollow.to_switches),
    ];
    for (way, processes, hollow) in ways {
        assert_volumes_agree(way, call_volume(processes), call_volume(hollow));
    }
    let list = hollow.list;
    let questions = Volume { messages: list.queries, bytes: list.query_bytes };
    let answers = Volume { messages: list.responses, bytes: list.response_bytes };
    assert_agree("bytes of a question for the list", each(played.during_calls.list_queries), each(questions));
    assert_agree("bytes of an answer with the list", each(played.during_calls.list_answers), each(answers));
    assert_eq!(played.during_calls.list_queries.messages, played.during_calls.list_answers.messages);
}

#[test]
fn the_delay_of_a_hop_is_measured_for_every_call_that_is_answered() {
    let _alone = alone();
    let stop = AtomicBool::new(false);
    let plan = hop_plan(SEED, 50.0, 1);
    let planned = plan.calls().len() as u64;
    let without = process::measure_baseline(&plan, rig(&stop)).unwrap();
    let through = process::measure_hop(plan, SWITCHES, rig(&stop)).unwrap();
    assert_no_child_is_left();
    let all_answered = CallOutcomes { released: planned, unanswered: 0 };
    for (way, measured) in [("without a gateway", without), ("through a gateway", through)] {
        assert_eq!((measured.planned_calls, measured.call_outcomes), (planned, all_answered), "{way}");
        let delays: u64 = measured.delays.iter().map(|bucket| bucket.count).sum();
        assert_eq!(delays, planned, "{way}");
        assert!(measured.delays.is_sorted_by_key(|bucket| bucket.nanoseconds), "{way}");
    }
}

#[test]
fn a_measurement_that_is_told_to_end_ends_its_gateways() {
    let _alone = alone();
    let stop = AtomicBool::new(true);
    let told =
        process::run_scenario(&scenario(), Duration::ZERO, rig(&stop)).expect_err("it was told to end");
    assert!(matches!(told, ProcessError::Interrupted), "{told}");
    assert_no_child_is_left();
}

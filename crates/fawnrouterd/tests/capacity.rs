//! Compares gateway processes with hollow gateways: the same traffic plan must cause the same messages and
//! bytes.

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
/// Messages and bytes of processes may differ from those of hollow gateways by this share.
const MAX_RELATIVE_DIFFERENCE: f64 = 0.05;

/// Lets one test at a time have child processes, so that `assert_no_child_left` sees only those of its own
/// test.
fn exclusive() -> MutexGuard<'static, ()> {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn assert_no_child_left() {
    assert_eq!(waitpid(None, WaitOptions::NOHANG).err(), Some(Errno::CHILD), "a gateway was left running");
}

fn testbed(stop: &AtomicBool) -> Testbed<'_> {
    Testbed { program: Path::new(env!("CARGO_BIN_EXE_fawnrouter")), seed: SEED, stop }
}

/// A scenario in which all calls have ended by the end of the measured period.
fn scenario() -> Scenario {
    let scenario = Scenario::one_service(SEED, GATEWAYS, SWITCHES);
    let hold = Duration::from_millis(500);
    let traffic = TrafficPlan { calls_per_second: 20.0, seconds: 3, hold, ..scenario.traffic };
    Scenario { traffic, warm_up: Duration::ZERO, measured: Duration::from_secs(5), ..scenario }
}

fn assert_agree(what: &str, processes: f64, hollow: f64) {
    let difference = (processes / hollow - 1.0).abs();
    assert!(
        hollow > 0.0 && difference <= MAX_RELATIVE_DIFFERENCE,
        "{what}: {processes} of processes, {hollow} of hollow gateways"
    );
}

fn assert_volumes_agree(what: &str, processes: Volume, hollow: Volume) {
    assert_agree(&format!("messages {what}"), processes.messages as f64, hollow.messages as f64);
    assert_agree(&format!("bytes {what}"), processes.bytes as f64, hollow.bytes as f64);
}

/// The mean size of a datagram in bytes.
fn bytes_per_datagram(volume: Volume) -> f64 {
    volume.bytes as f64 / volume.messages as f64
}

#[test]
fn processes_and_hollow_gateways_exchange_same_traffic_for_same_plan() {
    let _exclusive = exclusive();
    let scenario = scenario();
    let stop = AtomicBool::new(false);
    // It returns once every planned call has ended, so that totals of the plan are compared and not rates per
    // second.
    let measured = process::run_scenario(&scenario, Duration::from_millis(500), testbed(&stop)).unwrap();
    assert_no_child_left();
    let hollow = hollow::simulate(&scenario).unwrap();
    let planned = scenario.traffic.calls().len() as u64;
    assert_eq!((hollow.calls.attempted, hollow.calls.released), (planned, planned));
    assert_eq!((measured.planned_calls, measured.call_outcomes.total()), (planned, planned));
    assert_agree("calls that stood", measured.call_outcomes.released as f64, planned as f64);
    let directions: [(&str, &VolumeByVerb, &VolumeByVerb); 4] = [
        ("from callers", &measured.during_calls.from_callers, &hollow.from_callers),
        ("to callers", &measured.during_calls.to_callers, &hollow.to_callers),
        ("from core switches", &measured.during_calls.from_switches, &hollow.from_switches),
        ("to core switches", &measured.during_calls.to_switches, &hollow.to_switches),
    ];
    for (direction, processes, hollow) in directions {
        assert_volumes_agree(direction, call_volume(processes), call_volume(hollow));
    }
    let list = hollow.list;
    let questions = Volume { messages: list.queries, bytes: list.query_bytes };
    let answers = Volume { messages: list.responses, bytes: list.response_bytes };
    assert_agree(
        "bytes of a question for the list",
        bytes_per_datagram(measured.during_calls.list_queries),
        bytes_per_datagram(questions),
    );
    assert_agree(
        "bytes of an answer with the list",
        bytes_per_datagram(measured.during_calls.list_answers),
        bytes_per_datagram(answers),
    );
    assert_eq!(measured.during_calls.list_queries.messages, measured.during_calls.list_answers.messages);
}

#[test]
fn hop_delay_is_measured_for_every_answered_call() {
    let _exclusive = exclusive();
    let stop = AtomicBool::new(false);
    let plan = hop_plan(SEED, 50.0, 1);
    let planned = plan.calls().len() as u64;
    let without = process::measure_baseline(&plan, testbed(&stop)).unwrap();
    let through = process::measure_hop(plan, SWITCHES, testbed(&stop)).unwrap();
    assert_no_child_left();
    let all_answered = CallOutcomes { released: planned, unanswered: 0 };
    for (direction, measured) in [("without a gateway", without), ("through a gateway", through)] {
        assert_eq!((measured.planned_calls, measured.call_outcomes), (planned, all_answered), "{direction}");
        let delays: u64 = measured.delays.iter().map(|bucket| bucket.count).sum();
        assert_eq!(delays, planned, "{direction}");
        assert!(measured.delays.is_sorted_by_key(|bucket| bucket.nanoseconds), "{direction}");
    }
}

#[test]
fn stopped_measurement_ends_its_gateways() {
    let _exclusive = exclusive();
    let stop = AtomicBool::new(true);
    let error =
        process::run_scenario(&scenario(), Duration::ZERO, testbed(&stop)).expect_err("it was told to end");
    assert!(matches!(error, ProcessError::Interrupted), "{error}");
    assert_no_child_left();
}

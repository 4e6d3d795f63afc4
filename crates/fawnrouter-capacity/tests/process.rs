//! Tests of what the testbed of gateway processes reads (texts of `/proc`, messages on sockets) and of its
//! error if the gateway's program is missing. Tests that start processes are in the daemon's package, which
//! builds the program.

use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use fawnrouter_capacity::figures::Role;
use fawnrouter_capacity::hollow::{Scenario, Volume, VolumeByVerb};
use fawnrouter_capacity::process::line_counts::{LineReader, call_volume, counts_since, test_volume};
use fawnrouter_capacity::process::usage::{
    ProcessUsage, parse_machine_memory_mib, parse_resident_bytes, parse_schedstat_time, parse_stat_time,
};
use fawnrouter_capacity::process::{ProcessError, ProcessOptions, Testbed, measure, run_scenario};

const STAT: &str = "5130 (fawn) router) S 5129 5130 5130 0 -1 4194560 7282 70398 0 1 26 61 18 20 20 0 2 0 \
                    22828 5124096 984 18446744073709551615 94678372163584\n";
const STATUS: &str = "Name:\tfawnrouter\nUmask:\t0022\nState:\tS (sleeping)\nVmPeak:\t   56164 kB\n\
                      VmRSS:\t    5588 kB\nThreads:\t2\n";

const START: &str = r#"{"verb":"START","tag":"9b1f03aa5c7e2d41","opts":{"class":"voice","left":"1500"},"blob":"9d41\r\nc=IN IP4 10.4.7.9\r\n"}"#;
const STARTED: &str = r#"{"verb":"STARTED","tag":"9b1f03aa5c7e2d41","opts":{},"blob":"51f2"}"#;
const TEST: &str = r#"{"verb":"ECHO","tag":"00000000000000aa","opts":{},"rc":0}"#;

#[test]
fn processor_times_are_parsed_from_schedstat_and_stat() {
    assert_eq!(parse_schedstat_time("83165239 936844 169\n"), Some(Duration::from_nanos(83_165_239)));
    assert_eq!(parse_schedstat_time("0 0 1\n"), Some(Duration::ZERO));
    for bad in ["", "83165239\n", "83165239 936844\n", "83165239 936844 169 4\n", "-1 2 3\n", "a b c\n"] {
        assert_eq!(parse_schedstat_time(bad), None, "{bad:?}");
    }
    // 26 ticks in user mode and 61 in kernel mode; the program's name contains a parenthesis and a blank.
    assert_eq!(parse_stat_time(STAT), Some(Duration::from_millis(870)));
    for bad in ["", "5130 fawnrouter S 1 2 3", "5130 (fawnrouter) S 1 2 3"] {
        assert_eq!(parse_stat_time(bad), None, "{bad:?}");
    }
}

#[test]
fn memory_is_parsed_only_in_the_unit_kb() {
    assert_eq!(parse_resident_bytes(STATUS), Some(5588 * 1024));
    for bad in ["", "VmPeak:\t 1 kB\n", "VmRSS:\n", "VmRSS:\t12\n", "VmRSS:\t12 MB\n", "VmRSS:\tmany kB\n"] {
        assert_eq!(parse_resident_bytes(bad), None, "{bad:?}");
    }
    assert_eq!(parse_machine_memory_mib("MemTotal:       24730000 kB\nMemFree: 1 kB\n"), Some(24_150));
    assert_eq!(parse_machine_memory_mib("MemFree: 1 kB\n"), None);
}

#[test]
fn usage_of_own_process_is_read_and_error_names_a_missing_process() {
    let own = ProcessUsage::of_process(std::process::id()).expect("a process of this machine");
    // At least the three standard streams and the directory that is being listed.
    assert!(own.resident_bytes > 0 && own.descriptors >= 4, "{own:?}");
    // Above the highest process id that the kernel assigns.
    let error = ProcessUsage::of_process(u32::MAX).expect_err("no such process");
    assert!(error.to_string().contains("/proc/4294967295/status"), "{error}");
}

#[test]
fn lines_are_read_with_their_length_wherever_the_stream_is_split() {
    let stream = format!("{START}\n{STARTED}\n{TEST}\n{START}\n");
    for cut in 0..=stream.len() {
        let mut reader = LineReader::default();
        let mut lines = Vec::new();
        for part in [&stream[..cut], &stream[cut..]] {
            let pushed =
                reader.push(part.as_bytes(), |message, bytes| lines.push((message.tag.to_string(), bytes)));
            pushed.expect("messages");
        }
        let call = "9b1f03aa5c7e2d41".to_owned();
        let expected = [
            (call.clone(), START.len() + 1),
            (call.clone(), STARTED.len() + 1),
            ("00000000000000aa".to_owned(), TEST.len() + 1),
            (call, START.len() + 1),
        ];
        assert_eq!(lines, expected, "cut at {cut}");
    }
}

#[test]
fn invalid_line_ends_reading() {
    let mut reader = LineReader::default();
    let mut count = 0;
    let pushed = reader.push(format!("{START}\nnoise\n{START}\n").as_bytes(), |_, _| count += 1);
    assert!(pushed.is_err());
    assert_eq!(count, 1);
}

/// Messages and bytes by verb.
fn counts_by_verb(counts: &[(&'static str, u64, u64)]) -> VolumeByVerb {
    VolumeByVerb(counts.iter().map(|(verb, messages, bytes)| (*verb, volume(*messages, *bytes))).collect())
}

const fn volume(messages: u64, bytes: u64) -> Volume {
    Volume { messages, bytes }
}

#[test]
fn counts_of_a_window_exclude_earlier_ones_and_separate_tests_from_calls() {
    let before = counts_by_verb(&[("START", 3, 300), ("ECHO", 1, 60)]);
    let after =
        counts_by_verb(&[("START", 5, 510), ("STARTED", 2, 80), ("ECHO", 4, 240), ("ECHOED", 4, 250)]);
    let window = counts_since(&before, &after);
    assert_eq!(
        window,
        counts_by_verb(&[("START", 2, 210), ("STARTED", 2, 80), ("ECHO", 3, 180), ("ECHOED", 4, 250)])
    );
    assert_eq!(call_volume(&window), volume(4, 290));
    assert_eq!(test_volume(&window), volume(7, 430));
}

#[test]
fn missing_program_gives_an_error_with_build_command_and_no_measurement() {
    let program = Path::new("/nowhere/fawnrouter");
    let stop = AtomicBool::new(false);
    let mut parts = Vec::new();
    let measured = measure(ProcessOptions {
        program,
        seed: 1,
        quick: true,
        only: Some(Role::CoreSwitch),
        allocator: None,
        stop: &stop,
        progress: &mut |part| parts.push(part.to_owned()),
    });
    let run = run_scenario(
        &Scenario::one_service(1, 1, 1),
        Duration::ZERO,
        Testbed { program, seed: 1, stop: &stop },
    );
    for error in [measured.map(|_| ()), run.map(|_| ())] {
        let error = error.expect_err("there is no such program");
        assert!(matches!(error, ProcessError::ProgramMissing { .. }));
        let text = error.to_string();
        for part in
            ["/nowhere/fawnrouter", "cargo build --release -p fawnrouterd", "--program", "--no-processes"]
        {
            assert!(text.contains(part), "{text}");
        }
    }
    assert!(parts.is_empty(), "{parts:?}");
}

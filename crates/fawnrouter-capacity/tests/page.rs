//! The page beside its report: the committed one, and reports made by hand whose tables are known.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use fawnrouter_capacity::figures::{
    Cause, DelayBucket, Machine, Method, Per, Point, Quantity, Report, ReportError, Role, Run, SCHEMA,
    Series, Situation, Size,
};
use fawnrouter_capacity::page::{
    BEGIN_MARKER, END_MARKER, PageError, render, render_rows, update_page, update_rows_page,
};

const ROLE_HEADINGS: [&str; 8] = [
    "## A gateway's call path",
    "## A gateway's control",
    "## A core switch",
    "## The source of the list",
    "## A control machine",
    "## The publisher",
    "## A zone's link",
    "## A region's link",
];
const TABLE_HEADINGS: [&str; 7] = [
    "## Situations by role",
    "## Peaks by role",
    "## Growth",
    "## Depth",
    "## Hollow beside processes",
    "## What is missing first",
    "## Runs",
];

fn committed(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("docs/{name} cannot be read: {error}"))
}

fn committed_report() -> Report {
    Report::from_json(&committed("capacity.json")).expect("docs/capacity.json is a report")
}

fn points(points: &[(f64, f64)]) -> Vec<Point> {
    points.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

fn run(id: &str, method: Method, setting: &str, series: Vec<Series>) -> Run {
    Run { id: id.to_owned(), method, seed: 7, setting: setting.to_owned(), series, hop_delays: Vec::new() }
}

/// A series of the list in a quiet second at a gateway's control.
fn of_the_list(quantity: Quantity, per: Per, size: Size, of: &[(f64, f64)]) -> Series {
    Series {
        role: Role::GatewayControl,
        situation: Situation::Quiet,
        cause: Cause::List,
        quantity,
        per,
        size,
        points: points(of),
    }
}

/// 4 us and 0.25 us for each switch seen; each hop delays by 100 us.
fn cost_of_a_call() -> Run {
    let series = Series {
        role: Role::GatewayCalls,
        situation: Situation::OrdinaryDay,
        cause: Cause::Calls,
        quantity: Quantity::ProcessorMicroseconds,
        per: Per::Call,
        size: Size::SwitchesSeen,
        points: points(&[(20.0, 9.0), (100.0, 29.0), (300.0, 79.0), (660.0, 169.0)]),
    };
    let hop_delays = vec![DelayBucket { nanoseconds: 100_000, count: 1_000 }];
    Run { hop_delays, ..run("hollow-cost", Method::Hollow, "100 calls/s | `no` faults", vec![series]) }
}

/// 400 bytes/s in for each switch seen and 160 bytes/s out; a list costs 0.03 us x switches^2.
fn cost_of_the_list() -> Run {
    let seen = Size::SwitchesSeen;
    let bytes_in = [(20.0, 8e3), (100.0, 40e3), (300.0, 120e3), (660.0, 264e3)];
    let bytes_out = [(20.0, 160.0), (100.0, 160.0), (300.0, 160.0), (660.0, 160.0)];
    let processor = [(20.0, 12.0), (100.0, 300.0), (300.0, 2_700.0), (660.0, 13_068.0)];
    let series = vec![
        of_the_list(Quantity::BytesIn, Per::Second, seen, &bytes_in),
        of_the_list(Quantity::BytesOut, Per::Second, seen, &bytes_out),
        of_the_list(Quantity::ProcessorMicroseconds, Per::Event, seen, &processor),
    ];
    run("hollow-list", Method::Hollow, "no calls", series)
}

/// Messages and memory at 8 and 30 gateways.
fn at_two_sizes(id: &str, method: Method, messages: [f64; 2], memory_mib: f64) -> Run {
    let memory = memory_mib * 1024.0 * 1024.0;
    let messages = [(8.0, messages[0]), (30.0, messages[1])];
    let series = vec![
        of_the_list(Quantity::MessagesIn, Per::Second, Size::Gateways, &messages),
        of_the_list(Quantity::MemoryBytes, Per::Held, Size::Gateways, &[(8.0, memory)]),
    ];
    run(id, method, "no calls", series)
}

fn hand_made() -> Report {
    let runs = vec![
        cost_of_a_call(),
        cost_of_the_list(),
        at_two_sizes("hollow-beside-processes", Method::Hollow, [4.0, 4.0], 1.0),
        at_two_sizes("processes-8", Method::Processes, [4.0, 4.4], 10.0),
    ];
    Report { schema: SCHEMA, machine: Machine { cores: 4, memory_mib: 16_384 }, runs }
}

fn rendered(report: &Report) -> String {
    render(report).expect("a report whose runs differ in name")
}

fn rendered_rows(report: &Report) -> String {
    render_rows(report).expect("a report whose runs differ in name")
}

#[track_caller]
fn assert_has_lines(page: &str, lines: &[&str]) {
    for line in lines {
        assert!(page.lines().any(|found| found == *line), "the line\n{line}\nis missing in\n{page}");
    }
}

#[track_caller]
fn assert_has_headings(page: &str) {
    assert_has_lines(page, &ROLE_HEADINGS);
    assert_has_lines(page, &TABLE_HEADINGS);
}

/// What the page says between back quotes: runs, and types by their paths.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

#[track_caller]
fn assert_names_its_runs_only(report: &Report) {
    let page = rendered(report);
    let named: BTreeSet<&str> = quoted(&page).filter(|text| !text.contains("::")).collect();
    let measured: BTreeSet<&str> = report.runs.iter().map(|run| run.id.as_str()).collect();
    assert_eq!(named, measured);
}

/// The last figure of the first series of a run, doubled; 1 if it was 0.
fn with_a_changed_figure(report: &Report, run: usize) -> Report {
    let mut changed = report.clone();
    let last = changed.runs[run].series[0].points.last_mut().expect("a series has points");
    last.value = if last.value == 0.0 { 1.0 } else { last.value * 2.0 };
    changed
}

#[test]
fn the_committed_page_has_exactly_the_tables_of_the_committed_report() {
    let page = committed("CAPACITY.md");
    let computed = update_page(&page, &committed_report()).expect("docs/CAPACITY.md has its markers");
    assert!(
        computed == page,
        "docs/CAPACITY.md differs from docs/capacity.json; computed anew it reads:\n{computed}"
    );
}

#[test]
fn the_committed_full_tables_are_exactly_those_of_the_committed_report() {
    let page = committed("capacity-rows.md");
    let computed =
        update_rows_page(&page, &committed_report()).expect("docs/capacity-rows.md has its markers");
    assert!(computed == page, "docs/capacity-rows.md differs from docs/capacity.json; write it anew");
}

#[test]
fn a_changed_figure_of_any_run_of_the_committed_report_is_found() {
    let page = committed("capacity-rows.md");
    let report = committed_report();
    let with_series = (0..report.runs.len()).filter(|run| !report.runs[*run].series.is_empty());
    for run in with_series {
        let changed = with_a_changed_figure(&report, run);
        let computed = update_rows_page(&page, &changed).expect("docs/capacity-rows.md has its markers");
        assert!(computed != page, "a figure of {} was doubled and nothing changed", report.runs[run].id);
    }
}

#[test]
fn the_committed_report_has_a_section_for_each_role_and_names_its_runs_only() {
    let report = committed_report();
    assert_has_headings(&rendered(&report));
    assert_names_its_runs_only(&report);
}

#[test]
fn a_changed_figure_of_any_run_changes_the_page_or_the_full_tables() {
    let report = hand_made();
    let (page, rows) = (rendered(&report), rendered_rows(&report));
    for run in 0..report.runs.len() {
        let changed = with_a_changed_figure(&report, run);
        assert_ne!(rendered_rows(&changed), rows, "{}", report.runs[run].id);
        let stands_on_the_page = report.runs[run].id.starts_with("hollow-") && run < 2;
        assert!(!stands_on_the_page || rendered(&changed) != page, "{}", report.runs[run].id);
    }
}

#[test]
fn the_same_report_gives_the_same_page_also_through_its_stored_form() {
    let report = hand_made();
    let stored = Report::from_json(&report.to_json().expect("all figures are numbers"))
        .expect("what was written reads");
    assert_eq!(stored, report);
    assert_eq!(rendered(&stored), rendered(&report));
}

#[test]
fn a_role_has_a_table_with_one_row_a_series() {
    let page = rendered(&hand_made());
    let expected = "\
## A gateway's call path

| situation | what | base + slope x size | residual | growth | value at the design size | budget | ratio | run | carried by |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
| ordinary day | processor time, calls, a call | 4 us + 0.250 us x switches seen | 0%, R2 1.000 | linear | 169 us at 660 (measured); 10.5 us at 26 (within range) | 57.1 us | 2.96 (0.184) | `hollow-cost`, hollow alone | `fawnrouter::Controller` |

## A gateway's control
";
    assert!(page.contains(expected), "{page}");
}

#[test]
fn bytes_of_control_are_held_against_their_budget_in_both_directions_together() {
    assert_has_lines(
        &rendered(&hand_made()),
        &[
            "| quiet second | bytes in, list, a second | 0 B/s + 400 B/s x switches seen | 0%, R2 1.000 | linear | 264 KB/s at 660 (measured); 10.4 KB/s at 26 (within range) | - | - | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | bytes out, list, a second | 160 B/s | 0%, R2 1.000 | none seen | 160 B/s at 660 (measured); 160 B/s at 26 (within range) | - | - | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | bytes in and out, list, a second | 160 B/s + 400 B/s x switches seen | 0%, R2 1.000 | linear | 264 KB/s at 660 (measured); 10.6 KB/s at 26 (within range) | 5 KB/s | 52.8 (2.11) | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
        ],
    );
}

#[test]
fn growth_by_a_power_is_told_with_its_power_and_from_where_it_hurts() {
    assert_has_lines(
        &rendered(&hand_made()),
        &[
            "| quiet second | processor time, list, an event | 0 us + 0.0300 us x (switches seen)^2 | 0%, R2 1.000 | power 2 | 13.1 ms at 660 (measured); 33.6 us at 26 (within range) | 1.60 ms | 8.17 (0.0210) | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| switches seen | 1 | 3 | 0 | 1 | 0 |",
            "| gateways | 0 | 0 | 0 | 0 | 4 |",
            "| a gateway's control | processor time, list, an event | quiet second | switches seen | power 2 | 2.00 | 23.5% | 30.7% | 0% | 20 | 12 us | `hollow-list`, hollow alone |",
        ],
    );
}

#[test]
fn a_series_of_too_few_points_is_a_row_that_says_so() {
    assert_has_lines(
        &rendered_rows(&hand_made()),
        &[
            "| quiet second | messages in, list, a second | no fit: too few points (2 of 4) | - | - | - | - | - | `processes-8` | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | memory, list, held | no fit: too few points (1 of 4) | - | - | - | 64 MiB | - | `hollow-beside-processes` | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
        ],
    );
}

#[test]
fn situations_that_were_not_measured_are_told_for_each_role() {
    assert_has_lines(
        &rendered(&hand_made()),
        &[
            "| a gateway's call path | not measured | 2.96 (`hollow-cost`) | not measured | not measured | not measured | not measured | not measured | not measured |",
            "| a gateway's control | 52.8 (`hollow-list`) | not measured | not measured | not measured | not measured | not measured | not measured | not measured |",
            "| the publisher | not measured | not measured | not measured | not measured | not measured | not measured | not measured | not measured |",
        ],
    );
}

#[test]
fn depths_are_held_against_both_readings_of_the_letter() {
    assert_has_lines(
        &rendered(&hand_made()),
        &[
            "| `hollow-cost` | 1 | 100 us | 100 us | 100 us | 0.0625 | 0.0625 |",
            "| `hollow-cost` | 4 | 400 us | 400 us | 400 us | 0.250 | 0.0625 |",
            "| `hollow-cost` | 12 | 1.20 ms | 1.20 ms | 1.20 ms | 0.750 | 0.0625 |",
            "| `hollow-cost` | 28 | 2.80 ms | 2.80 ms | 2.80 ms | 1.75 | 0.0625 |",
            "- `hollow-cost`: p99 is within 1.6 ms a call for up to 16 hops of 28; grid of 1 us.",
        ],
    );
}

#[test]
fn hollow_gateways_are_held_against_processes_and_counts_beyond_five_percent_are_marked() {
    assert_has_lines(
        &rendered_rows(&hand_made()),
        &[
            "1 of 2 counts are more than 5% apart; processor time, allocations and memory have a factor.",
            "| a gateway's control | messages in, list, a second | quiet second | 8 gateways | 4 messages/s | 4 messages/s | 1 | within 5% | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | messages in, list, a second | quiet second | 30 gateways | 4.40 messages/s | 4 messages/s | 1.10 | **beyond 5%** | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | memory, list, held | quiet second | 8 gateways | 10 MiB | 1 MiB | 10 | factor | `processes-8` | `hollow-beside-processes` |",
        ],
    );
}

#[test]
fn the_page_shows_pairs_that_do_not_agree_and_factors_at_the_greatest_size() {
    let mut report = hand_made();
    for run in &mut report.runs[2..] {
        run.series[1].points.push(Point { size: 30.0, value: 1_048_576.0 });
    }
    let page = rendered(&report);
    let beside = page.split("## Hollow beside processes").nth(1).expect("the section");
    let beside = beside.split("\n## ").next().unwrap_or_default();
    assert_has_lines(
        beside,
        &[
            "1 of 2 counts are more than 5% apart; processor time, allocations and memory have a factor.",
            "| a gateway's control | messages in, list, a second | quiet second | 30 gateways | 4.40 messages/s | 4 messages/s | 1.10 | **beyond 5%** | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | memory, list, held | quiet second | 30 gateways | 1 MiB | 1 MiB | 1 | factor | `processes-8` | `hollow-beside-processes` |",
        ],
    );
    let rows = beside.lines().filter(|line| line.starts_with("| a gateway's control")).count();
    assert_eq!(rows, 2, "what agrees, and factors at other sizes, stand in the full tables alone:\n{beside}");
}

/// Messages in a second of a core switch over the gateways of a fleet.
fn of_a_core_switch(situation: Situation, cause: Cause, quantity: Quantity, of: &[(f64, f64)]) -> Series {
    let per = if situation == Situation::OrdinaryDay { Per::Second } else { Per::PeakSecond };
    let size = Size::Gateways;
    Series { role: Role::CoreSwitch, situation, cause, quantity, per, size, points: points(of) }
}

#[test]
fn the_page_has_one_row_for_what_several_runs_measured_and_the_full_tables_have_all() {
    let short = [(10.0, 10.0), (20.0, 20.0), (40.0, 40.0), (80.0, 80.0)];
    let long = [(10.0, 10.0), (100.0, 100.0), (300.0, 300.0), (660.0, 660.0)];
    let day =
        |cause, quantity, of: &[(f64, f64)]| of_a_core_switch(Situation::OrdinaryDay, cause, quantity, of);
    let mut report = hand_made();
    let near = vec![day(Cause::All, Quantity::MessagesIn, &short)];
    let far = vec![
        day(Cause::All, Quantity::MessagesIn, &long),
        day(Cause::Calls, Quantity::MessagesIn, &long),
        day(Cause::Probes, Quantity::MessagesIn, &long),
        day(Cause::All, Quantity::Allocations, &long),
    ];
    report.runs.push(run("hollow-near", Method::Hollow, "near", near));
    report.runs.push(run("hollow-far", Method::Hollow, "far", far));
    let of_switch = |page: String| {
        let section = page.split("## A core switch\n").nth(1).expect("the section").to_owned();
        let section = section.split("\n## ").next().unwrap_or_default().to_owned();
        section
            .lines()
            .filter(|line| line.starts_with("| ordinary day"))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let shown = of_switch(rendered(&report));
    let starts = [
        "| ordinary day | messages in, tests of core switches, a second |",
        "| ordinary day | messages in, all causes, a second |",
    ];
    assert_eq!(shown.len(), starts.len(), "{shown:#?}");
    for (line, start) in shown.iter().zip(starts) {
        assert!(line.starts_with(start) && line.contains("`hollow-far`"), "{line}");
    }
    assert_eq!(of_switch(rendered_rows(&report)).len(), 5);
}

#[test]
fn peaks_are_told_for_roles_without_a_budget() {
    let sizes = [(110.0, 110.0), (330.0, 330.0), (500.0, 500.0), (660.0, 660.0)];
    let mut report = hand_made();
    let zone = |quantity| of_a_core_switch(Situation::ZoneGone, Cause::All, quantity, &sizes);
    let series =
        [Quantity::MessagesIn, Quantity::MessagesOut, Quantity::BytesIn, Quantity::BytesOut].map(zone);
    report.runs.push(run("hollow-zone", Method::Hollow, "a zone", series.to_vec()));
    assert_has_lines(
        &rendered(&report),
        &["| a core switch | - | - | - | - | 1,320 messages/s, 1.32 KB/s | - | - | - |"],
    );
}

#[test]
fn what_is_missing_is_ranked_by_ratio_and_by_how_often_its_case_comes() {
    let page = rendered(&hand_made());
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let expected = [
        "Missing first: **distribution of list and configuration** (the publisher: a change of configuration is in force at every gateway within 10 s).",
        "First by a measured ratio: **distribution of list and configuration** (a gateway's control: bytes in and out, list, a second, `hollow-list`, hollow alone).",
        "| the publisher | a change of configuration is in force at every gateway within 10 s | ordinary day | not done | - | 1,600 | - | none | distribution of list and configuration | - |",
        "| a gateway's control | bytes in and out, list, a second | quiet second | 52.8 (2.11) | measured | 86,400 | 4,560,000 | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` | distribution of list and configuration | `hollow-list`, hollow alone |",
        "| a gateway's control | processor time, list, an event | quiet second | 8.17 (0.0210) | measured | 86,400 | 706,000 | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` | distribution of list and configuration | `hollow-list`, hollow alone |",
        "| a gateway's call path | processor time, calls, a call | ordinary day | 2.96 (0.184) | measured | 86,400 | 256,000 | `fawnrouter::Controller` | distribution of list and configuration | `hollow-cost`, hollow alone |",
        "| a gateway's call path | delay added by 28 hops, 99 in 100 calls | ordinary day | 1.75 (0.0625) | convolved | 86,400 | 151,000 | `fawnrouter::Controller` | a cheaper hop: decision module and node | `hollow-cost` |",
    ];
    assert_has_lines(ranking, &expected);
    let places: Vec<usize> = expected.iter().filter_map(|line| ranking.find(line)).collect();
    assert!(places.is_sorted(), "the rows stand in another order:\n{ranking}");
}

#[test]
fn an_extrapolated_ratio_is_ranked_and_is_not_called_measured() {
    let mut report = hand_made();
    let points = &mut report.runs[0].series[0].points;
    for (point, value) in points.iter_mut().zip([4.0, 40.0, 160.0, 400.0]) {
        *point = Point { size: value, value: value * 1e3 };
    }
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let first_of_a_call = ranking.find("| a gateway's call path | processor time, calls, a call |");
    let first_of_the_list = ranking.find("| a gateway's control | bytes in and out, list, a second |");
    assert!(first_of_a_call < first_of_the_list, "it has the greater weight:\n{ranking}");
    assert_has_lines(
        ranking,
        &[
            "First by a measured ratio: **distribution of list and configuration** (a gateway's control: bytes in and out, list, a second, `hollow-list`, hollow alone).",
        ],
    );
}

#[test]
fn the_hollow_counterpart_of_the_processes_is_not_held_against_budgets() {
    let mut report = hand_made();
    let sizes = [(8.0, 1e9), (15.0, 1e9), (30.0, 1e9), (60.0, 1e9)];
    for run in &mut report.runs[2..] {
        run.series = vec![of_the_list(Quantity::MemoryBytes, Per::Held, Size::Gateways, &sizes)];
    }
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let ranking = ranking.split("\n## ").next().unwrap_or_default();
    assert!(ranking.contains("`processes-8`") && !ranking.contains("`hollow-beside-processes`"), "{ranking}");
}

#[test]
fn a_row_within_its_budget_for_one_service_is_missing_the_list_of_that_service() {
    let mut report = hand_made();
    let page = rendered(&report);
    let row = "| a gateway's call path | processor time, calls, a call | ordinary day |";
    let ranking =
        |page: &str| page.split("## What is missing first").nth(1).map(str::to_owned).expect("the section");
    let missing = |page: &str| {
        let ranking = ranking(page);
        let line = ranking.lines().find(|line| line.starts_with(row)).expect("the row");
        line.split(" | ").nth(8).map(str::to_owned)
    };
    assert_eq!(missing(&page).as_deref(), Some("distribution of list and configuration"));
    for point in &mut report.runs[0].series[0].points {
        point.value += 60.0;
    }
    assert_eq!(missing(&rendered(&report)).as_deref(), Some("a cheaper hop: decision module and node"));
}

#[test]
fn delays_of_seconds_are_ranked_as_well() {
    let mut report = hand_made();
    report.runs[0].hop_delays[0].nanoseconds = 8_388_608_000;
    let page = rendered(&report);
    assert!(
        page.contains("| delay added by 28 hops, 99 in 100 calls | ordinary day | 147,000 (5,240) |"),
        "{page}"
    );
}

#[test]
fn a_case_that_comes_seldom_weighs_less_than_one_that_comes_all_day() {
    let mut report = hand_made();
    let mut seldom = cost_of_a_call();
    seldom.id = "hollow-zone".to_owned();
    seldom.hop_delays.clear();
    seldom.series[0].situation = Situation::ZoneGone;
    for point in &mut seldom.series[0].points {
        point.value *= 1_000.0;
    }
    report.runs.push(seldom);
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let seldom = ranking.find("a zone gone and back | 2,960 (184)").expect("the row of the zone");
    let often = ranking.find("ordinary day | 2.96 (0.184)").expect("the row of the ordinary day");
    assert!(often < seldom, "{ranking}");
}

#[test]
fn a_change_of_the_ordinary_day_comes_as_often_as_the_letter_says() {
    let mut report = hand_made();
    report.runs[1].series[2].situation = Situation::OrdinaryDay;
    let row = "processor time, list, an event | ordinary day | 8.17 (0.0210) | measured | 1,600 | 13,100 |";
    assert!(rendered(&report).contains(row), "{}", rendered(&report));
}

#[test]
fn a_hop_without_a_gateway_is_shown_and_not_ranked() {
    let mut report = hand_made();
    report.runs[0].id = "processes-hop-baseline".to_owned();
    let page = rendered(&report);
    assert_has_lines(
        &page,
        &[
            "| `processes-hop-baseline` | 28 | 2.80 ms | 2.80 ms | 2.80 ms | 1.75 | 0.0625 |",
            "- `processes-hop-baseline`, without a gateway: p99 is within 1.6 ms a call for up to 16 hops of 28; grid of 1 us.",
        ],
    );
    assert!(!page.contains("delay added by 28 hops"), "{page}");
}

#[test]
fn a_whole_list_is_as_long_as_the_report_says() {
    let seen = Size::SwitchesSeen;
    let length = [(20.0, 2e3), (100.0, 10e3), (300.0, 30e3), (600.0, 60e3)];
    let cost = [(2e3, 10.0), (10e3, 50.0), (30e3, 150.0), (60e3, 300.0)];
    let series = vec![
        of_the_list(Quantity::BytesIn, Per::Event, seen, &length),
        of_the_list(Quantity::ProcessorMicroseconds, Per::Event, Size::ListBytes, &cost),
    ];
    let mut report = hand_made();
    report.runs.push(run("hollow-length", Method::Hollow, "no calls", series));
    assert_has_lines(
        &rendered(&report),
        &[
            "| quiet second | bytes in, list, an event | 0 B + 100 B x switches seen | 0%, R2 1.000 | linear | 66 KB at 660 (extrapolated from 20 to 600); 2.60 KB at 26 (within range) | 8 KB | 8.25 (0.325) | `hollow-length`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | processor time, list, an event | 0 us + 0.00500 us x bytes of the list | 0%, R2 1.000 | linear | 330 us at 66,000 (extrapolated from 2,000 to 60,000); 40 us at 8,000 (within range) | 1.60 ms | 0.206 (0.0250) | `hollow-length`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
        ],
    );
}

#[test]
fn the_runs_are_listed_and_no_text_of_theirs_ends_a_cell() {
    assert_has_lines(
        &rendered(&hand_made()),
        &[
            "Measured on a machine of 4 cores and 16,384 MiB, in 4 runs. 5 of 9 rows stand here; all of them, with every pair of hollow gateways and processes: [capacity-rows.md](capacity-rows.md).",
            "| `hollow-cost` | hollow | 7 | 100 calls/s \\| no faults | 1 | 1,000 |",
            "| `processes-8` | processes | 7 | no calls | 2 | 0 |",
        ],
    );
}

#[test]
fn every_run_is_named_and_no_other() {
    assert_names_its_runs_only(&hand_made());
}

#[test]
fn a_report_without_runs_has_every_section_and_says_that_nothing_was_measured() {
    let empty = Report { schema: SCHEMA, ..Report::default() };
    let page = rendered(&empty);
    assert_has_headings(&page);
    assert_has_lines(
        &page,
        &[
            "Not measured: no run has a series of this role.",
            "Not measured: no run has delays of one hop.",
            "Not measured: the report has no run hollow-beside-processes.",
            "No series grows by a power above 1.",
            "No measured figure is over its budget.",
            "None.",
        ],
    );
    assert_names_its_runs_only(&empty);
}

#[test]
fn runs_that_are_missing_in_part_are_told_and_not_stumbled_over() {
    let hollow_only = Report { runs: hand_made().runs[..3].to_vec(), ..hand_made() };
    assert_has_lines(&rendered(&hollow_only), &["Not measured: the report has no run of processes."]);

    let mut without_points = hand_made();
    without_points.runs[0].series[0].points.clear();
    without_points.runs[0].hop_delays[0].count = 0;
    let page = rendered(&without_points);
    assert!(page.contains("no fit: too few points (0 of 4)"), "{page}");
    assert_has_lines(&page, &["- `hollow-cost`: no delay of a hop was counted."]);

    let mut nothing_alike = hand_made();
    nothing_alike.runs[3].series.iter_mut().for_each(|series| series.situation = Situation::ZoneGone);
    assert_has_lines(
        &rendered(&nothing_alike),
        &["Not measured: no series and size was measured both ways."],
    );
}

#[test]
fn the_tables_take_the_place_of_those_between_the_markers() {
    let page = format!("# Capacity\n\n{BEGIN_MARKER}\nold tables\n{END_MARKER}\n\nThe end.\n");
    let report = hand_made();
    let replaced = update_page(&page, &report).expect("both markers");
    let tables = rendered(&report);
    assert_eq!(replaced, format!("# Capacity\n\n{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}\n\nThe end.\n"));
    assert_eq!(update_page(&replaced, &report).as_ref(), Ok(&replaced));
}

#[test]
fn a_page_whose_markers_are_missing_doubled_or_turned_is_left_alone() {
    let report = hand_made();
    let refused = |page: &str| update_page(page, &report).expect_err("a page that cannot be used");
    let missing = |marker| PageError::Marker { marker, found: 0 };
    assert_eq!(refused("no markers"), missing(BEGIN_MARKER));
    assert_eq!(refused(END_MARKER), missing(BEGIN_MARKER));
    assert_eq!(refused(BEGIN_MARKER), missing(END_MARKER));
    let doubled = format!("{BEGIN_MARKER}\n{END_MARKER}\n{END_MARKER}\n");
    assert_eq!(refused(&doubled), PageError::Marker { marker: END_MARKER, found: 2 });
    assert_eq!(refused(&format!("{END_MARKER}\n{BEGIN_MARKER}\n")), PageError::MarkersOutOfOrder);
}

#[test]
fn two_runs_of_one_name_are_refused() {
    let mut report = hand_made();
    report.runs.push(cost_of_the_list());
    assert_eq!(render(&report), Err(PageError::DuplicateRunId { id: "hollow-list".to_owned() }));
}

#[test]
fn a_report_of_another_form_or_damaged_has_an_error_that_says_what_to_do() {
    let of_another_form =
        Report { schema: SCHEMA + 1, ..hand_made() }.to_json().expect("all figures are numbers");
    let error = Report::from_json(&of_another_form).expect_err("another form");
    assert!(matches!(error, ReportError::Schema { found } if found == SCHEMA + 1), "{error}");
    assert!(error.to_string().contains("write it anew with `fawnrouter-lab capacity`"), "{error}");

    let whole = hand_made().to_json().expect("all figures are numbers");
    let cut_short = &whole[..whole.len() / 2];
    let unknown_field = whole.replacen("\"schema\"", "\"scheme\"", 1);
    let no_number = whole.replacen("169.0", "\"many\"", 1);
    assert_ne!(no_number, whole);
    for damaged in [cut_short, "", unknown_field.as_str(), no_number.as_str()] {
        let error = Report::from_json(damaged).expect_err("a damaged report");
        assert!(matches!(error, ReportError::Json(_)), "{error}");
    }
}

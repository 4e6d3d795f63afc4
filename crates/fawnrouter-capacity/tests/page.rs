//! Tests that the committed capacity page agrees with the committed report, and that the tables of
//! constructed reports are as expected.

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

/// A series of the list at a gateway's control in a quiet second.
fn list_series(quantity: Quantity, per: Per, size: Size, values: &[(f64, f64)]) -> Series {
    Series {
        role: Role::GatewayControl,
        situation: Situation::Quiet,
        cause: Cause::List,
        quantity,
        per,
        size,
        points: points(values),
    }
}

/// A call costs 4 us plus 0.25 us for each listed core switch; each hop adds a delay of 100 us.
fn call_cost_run() -> Run {
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

/// 400 bytes/s in for each listed core switch and 160 bytes/s out; a list costs 0.03 us x switches^2.
fn list_cost_run() -> Run {
    let seen = Size::SwitchesSeen;
    let bytes_in = [(20.0, 8e3), (100.0, 40e3), (300.0, 120e3), (660.0, 264e3)];
    let bytes_out = [(20.0, 160.0), (100.0, 160.0), (300.0, 160.0), (660.0, 160.0)];
    let processor = [(20.0, 12.0), (100.0, 300.0), (300.0, 2_700.0), (660.0, 13_068.0)];
    let series = vec![
        list_series(Quantity::BytesIn, Per::Second, seen, &bytes_in),
        list_series(Quantity::BytesOut, Per::Second, seen, &bytes_out),
        list_series(Quantity::ProcessorMicroseconds, Per::Event, seen, &processor),
    ];
    run("hollow-list", Method::Hollow, "no calls", series)
}

/// Messages at 8 and 30 gateways, and memory at 8.
fn run_at_two_sizes(id: &str, method: Method, messages: [f64; 2], memory_mib: f64) -> Run {
    let memory = memory_mib * 1024.0 * 1024.0;
    let messages = [(8.0, messages[0]), (30.0, messages[1])];
    let series = vec![
        list_series(Quantity::MessagesIn, Per::Second, Size::Gateways, &messages),
        list_series(Quantity::MemoryBytes, Per::Held, Size::Gateways, &[(8.0, memory)]),
    ];
    run(id, method, "no calls", series)
}

fn constructed_report() -> Report {
    let runs = vec![
        call_cost_run(),
        list_cost_run(),
        run_at_two_sizes("hollow-beside-processes", Method::Hollow, [4.0, 4.0], 1.0),
        run_at_two_sizes("processes-8", Method::Processes, [4.0, 4.4], 10.0),
    ];
    Report { schema: SCHEMA, machine: Machine { cores: 4, memory_mib: 16_384 }, runs }
}

fn rendered(report: &Report) -> String {
    render(report).expect("a report with unique run ids")
}

fn rendered_rows(report: &Report) -> String {
    render_rows(report).expect("a report with unique run ids")
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

/// The texts of the page between back quotes: ids of runs, and paths of types.
fn quoted(page: &str) -> impl Iterator<Item = &str> {
    page.split('`').skip(1).step_by(2)
}

#[track_caller]
fn assert_page_names_exactly_the_runs_of(report: &Report) {
    let page = rendered(report);
    let named: BTreeSet<&str> = quoted(&page).filter(|text| !text.contains("::")).collect();
    let measured: BTreeSet<&str> = report.runs.iter().map(|run| run.id.as_str()).collect();
    assert_eq!(named, measured);
}

/// The report with the last figure of the first series of a run doubled, or set to 1 if it was 0.
fn with_changed_figure(report: &Report, run: usize) -> Report {
    let mut changed = report.clone();
    let last = changed.runs[run].series[0].points.last_mut().expect("a series has points");
    last.value = if last.value == 0.0 { 1.0 } else { last.value * 2.0 };
    changed
}

#[test]
fn committed_page_has_exactly_the_tables_of_the_committed_report() {
    let page = committed("CAPACITY.md");
    let computed = update_page(&page, &committed_report()).expect("docs/CAPACITY.md has its markers");
    assert!(
        computed == page,
        "docs/CAPACITY.md does not agree with docs/capacity.json; the page computed from the report \
         is:\n{computed}"
    );
}

#[test]
fn committed_full_tables_are_exactly_those_of_the_committed_report() {
    let page = committed("capacity-rows.md");
    let computed =
        update_rows_page(&page, &committed_report()).expect("docs/capacity-rows.md has its markers");
    assert!(computed == page, "docs/capacity-rows.md does not agree with docs/capacity.json; write it anew");
}

#[test]
fn changed_figure_of_any_committed_run_changes_the_full_tables() {
    let page = committed("capacity-rows.md");
    let report = committed_report();
    let with_series = (0..report.runs.len()).filter(|run| !report.runs[*run].series.is_empty());
    for run in with_series {
        let changed = with_changed_figure(&report, run);
        let computed = update_rows_page(&page, &changed).expect("docs/capacity-rows.md has its markers");
        assert!(
            computed != page,
            "a figure of {} was doubled and the full tables did not change",
            report.runs[run].id
        );
    }
}

#[test]
fn committed_report_has_a_section_for_each_role_and_names_exactly_its_runs() {
    let report = committed_report();
    assert_has_headings(&rendered(&report));
    assert_page_names_exactly_the_runs_of(&report);
}

#[test]
fn changed_figure_of_any_run_changes_the_page_or_the_full_tables() {
    let report = constructed_report();
    let (page, rows) = (rendered(&report), rendered_rows(&report));
    for run in 0..report.runs.len() {
        let changed = with_changed_figure(&report, run);
        assert_ne!(rendered_rows(&changed), rows, "{}", report.runs[run].id);
        let is_on_page = report.runs[run].id.starts_with("hollow-") && run < 2;
        assert!(!is_on_page || rendered(&changed) != page, "{}", report.runs[run].id);
    }
}

#[test]
fn stored_and_parsed_report_gives_the_same_page() {
    let report = constructed_report();
    let stored = Report::from_json(&report.to_json().expect("all figures are numbers"))
        .expect("a stored report can be parsed");
    assert_eq!(stored, report);
    assert_eq!(rendered(&stored), rendered(&report));
}

#[test]
fn role_section_has_one_table_row_per_series() {
    let page = rendered(&constructed_report());
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
fn control_budget_applies_to_the_sum_of_bytes_in_and_out() {
    assert_has_lines(
        &rendered(&constructed_report()),
        &[
            "| quiet second | bytes in, list, a second | 0 B/s + 400 B/s x switches seen | 0%, R2 1.000 | linear | 264 KB/s at 660 (measured); 10.4 KB/s at 26 (within range) | - | - | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | bytes out, list, a second | 160 B/s | 0%, R2 1.000 | none seen | 160 B/s at 660 (measured); 160 B/s at 26 (within range) | - | - | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | bytes in and out, list, a second | 160 B/s + 400 B/s x switches seen | 0%, R2 1.000 | linear | 264 KB/s at 660 (measured); 10.6 KB/s at 26 (within range) | 5 KB/s | 52.8 (2.11) | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
        ],
    );
}

#[test]
fn power_growth_is_listed_with_exponent_and_size_where_the_power_dominates() {
    assert_has_lines(
        &rendered(&constructed_report()),
        &[
            "| quiet second | processor time, list, an event | 0 us + 0.0300 us x (switches seen)^2 | 0%, R2 1.000 | power 2 | 13.1 ms at 660 (measured); 33.6 us at 26 (within range) | 1.60 ms | 8.17 (0.0210) | `hollow-list`, hollow alone | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| switches seen | 1 | 3 | 0 | 1 | 0 |",
            "| gateways | 0 | 0 | 0 | 0 | 4 |",
            "| a gateway's control | processor time, list, an event | quiet second | switches seen | power 2 | 2.00 | 23.5% | 30.7% | 0% | 20 | 12 us | `hollow-list`, hollow alone |",
        ],
    );
}

#[test]
fn series_with_too_few_points_has_a_row_without_fit() {
    assert_has_lines(
        &rendered_rows(&constructed_report()),
        &[
            "| quiet second | messages in, list, a second | no fit: too few points (2 of 4) | - | - | - | - | - | `processes-8` | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
            "| quiet second | memory, list, held | no fit: too few points (1 of 4) | - | - | - | 64 MiB | - | `hollow-beside-processes` | `fawnrouter_node::Ask`, `fawnrouter_node::Pool` |",
        ],
    );
}

#[test]
fn unmeasured_situations_are_marked_for_each_role() {
    assert_has_lines(
        &rendered(&constructed_report()),
        &[
            "| a gateway's call path | not measured | 2.96 (`hollow-cost`) | not measured | not measured | not measured | not measured | not measured | not measured |",
            "| a gateway's control | 52.8 (`hollow-list`) | not measured | not measured | not measured | not measured | not measured | not measured | not measured |",
            "| the publisher | not measured | not measured | not measured | not measured | not measured | not measured | not measured | not measured |",
        ],
    );
}

#[test]
fn depths_are_compared_with_the_limit_per_call_and_per_hop() {
    assert_has_lines(
        &rendered(&constructed_report()),
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
fn counts_that_differ_by_more_than_five_percent_between_hollow_gateways_and_processes_are_marked() {
    assert_has_lines(
        &rendered_rows(&constructed_report()),
        &[
            "1 of 2 counts are more than 5% apart; processor time, allocations and memory have a factor.",
            "| a gateway's control | messages in, list, a second | quiet second | 8 gateways | 4 messages/s | 4 messages/s | 1 | within 5% | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | messages in, list, a second | quiet second | 30 gateways | 4.40 messages/s | 4 messages/s | 1.10 | **beyond 5%** | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | memory, list, held | quiet second | 8 gateways | 10 MiB | 1 MiB | 10 | factor | `processes-8` | `hollow-beside-processes` |",
        ],
    );
}

#[test]
fn page_shows_deviating_pairs_and_factors_at_the_greatest_size() {
    let mut report = constructed_report();
    for run in &mut report.runs[2..] {
        run.series[1].points.push(Point { size: 30.0, value: 1_048_576.0 });
    }
    let page = rendered(&report);
    let section = page.split("## Hollow beside processes").nth(1).expect("the section");
    let section = section.split("\n## ").next().unwrap_or_default();
    assert_has_lines(
        section,
        &[
            "1 of 2 counts are more than 5% apart; processor time, allocations and memory have a factor.",
            "| a gateway's control | messages in, list, a second | quiet second | 30 gateways | 4.40 messages/s | 4 messages/s | 1.10 | **beyond 5%** | `processes-8` | `hollow-beside-processes` |",
            "| a gateway's control | memory, list, held | quiet second | 30 gateways | 1 MiB | 1 MiB | 1 | factor | `processes-8` | `hollow-beside-processes` |",
        ],
    );
    let rows = section.lines().filter(|line| line.starts_with("| a gateway's control")).count();
    assert_eq!(
        rows, 2,
        "counts that agree, and factors at other sizes, are in the full tables only:\n{section}"
    );
}

/// A series of a core switch over the gateways of a fleet: of the mean second on the ordinary day, otherwise
/// of the busiest.
fn core_switch_series(
    situation: Situation,
    cause: Cause,
    quantity: Quantity,
    values: &[(f64, f64)],
) -> Series {
    let per = if situation == Situation::OrdinaryDay { Per::Second } else { Per::PeakSecond };
    let size = Size::Gateways;
    Series { role: Role::CoreSwitch, situation, cause, quantity, per, size, points: points(values) }
}

#[test]
fn page_has_one_row_for_a_figure_of_several_runs_and_full_tables_have_all() {
    let short = [(10.0, 10.0), (20.0, 20.0), (40.0, 40.0), (80.0, 80.0)];
    let long = [(10.0, 10.0), (100.0, 100.0), (300.0, 300.0), (660.0, 660.0)];
    let day = |cause, quantity, values: &[(f64, f64)]| {
        core_switch_series(Situation::OrdinaryDay, cause, quantity, values)
    };
    let mut report = constructed_report();
    let near = vec![day(Cause::All, Quantity::MessagesIn, &short)];
    let far = vec![
        day(Cause::All, Quantity::MessagesIn, &long),
        day(Cause::Calls, Quantity::MessagesIn, &long),
        day(Cause::Probes, Quantity::MessagesIn, &long),
        day(Cause::All, Quantity::Allocations, &long),
    ];
    report.runs.push(run("hollow-near", Method::Hollow, "near", near));
    report.runs.push(run("hollow-far", Method::Hollow, "far", far));
    let switch_rows = |page: String| {
        let section = page.split("## A core switch\n").nth(1).expect("the section").to_owned();
        let section = section.split("\n## ").next().unwrap_or_default().to_owned();
        section
            .lines()
            .filter(|line| line.starts_with("| ordinary day"))
            .map(str::to_owned)
            .collect::<Vec<_>>()
    };
    let shown = switch_rows(rendered(&report));
    let starts = [
        "| ordinary day | messages in, tests of core switches, a second |",
        "| ordinary day | messages in, all causes, a second |",
    ];
    assert_eq!(shown.len(), starts.len(), "{shown:#?}");
    for (line, start) in shown.iter().zip(starts) {
        assert!(line.starts_with(start) && line.contains("`hollow-far`"), "{line}");
    }
    assert_eq!(switch_rows(rendered_rows(&report)).len(), 5);
}

#[test]
fn peaks_include_roles_without_a_budget() {
    let sizes = [(110.0, 110.0), (330.0, 330.0), (500.0, 500.0), (660.0, 660.0)];
    let mut report = constructed_report();
    let zone = |quantity| core_switch_series(Situation::ZoneGone, Cause::All, quantity, &sizes);
    let series =
        [Quantity::MessagesIn, Quantity::MessagesOut, Quantity::BytesIn, Quantity::BytesOut].map(zone);
    report.runs.push(run("hollow-zone", Method::Hollow, "a zone", series.to_vec()));
    assert_has_lines(
        &rendered(&report),
        &["| a core switch | - | - | - | - | 1,320 messages/s, 1.32 KB/s | - | - | - |"],
    );
}

#[test]
fn missing_work_is_ranked_by_ratio_times_frequency() {
    let page = rendered(&constructed_report());
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
    let offsets: Vec<usize> = expected.iter().filter_map(|line| ranking.find(line)).collect();
    assert!(offsets.is_sorted(), "the rows are in another order:\n{ranking}");
}

#[test]
fn extrapolated_ratio_is_ranked_but_not_called_measured() {
    let mut report = constructed_report();
    let points = &mut report.runs[0].series[0].points;
    for (point, value) in points.iter_mut().zip([4.0, 40.0, 160.0, 400.0]) {
        *point = Point { size: value, value: value * 1e3 };
    }
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let call_row = ranking.find("| a gateway's call path | processor time, calls, a call |");
    let list_row = ranking.find("| a gateway's control | bytes in and out, list, a second |");
    assert!(call_row < list_row, "the row of the call has the greater weight:\n{ranking}");
    assert_has_lines(
        ranking,
        &[
            "First by a measured ratio: **distribution of list and configuration** (a gateway's control: bytes in and out, list, a second, `hollow-list`, hollow alone).",
        ],
    );
}

#[test]
fn hollow_run_beside_processes_is_not_compared_with_budgets() {
    let mut report = constructed_report();
    let sizes = [(8.0, 1e9), (15.0, 1e9), (30.0, 1e9), (60.0, 1e9)];
    for run in &mut report.runs[2..] {
        run.series = vec![list_series(Quantity::MemoryBytes, Per::Held, Size::Gateways, &sizes)];
    }
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let ranking = ranking.split("\n## ").next().unwrap_or_default();
    assert!(ranking.contains("`processes-8`") && !ranking.contains("`hollow-beside-processes`"), "{ranking}");
}

#[test]
fn row_within_budget_for_one_service_needs_distribution_of_that_list() {
    let mut report = constructed_report();
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
fn delays_of_several_seconds_are_ranked() {
    let mut report = constructed_report();
    report.runs[0].hop_delays[0].nanoseconds = 8_388_608_000;
    let page = rendered(&report);
    assert!(
        page.contains("| delay added by 28 hops, 99 in 100 calls | ordinary day | 147,000 (5,240) |"),
        "{page}"
    );
}

#[test]
fn rare_case_is_ranked_below_a_frequent_one() {
    let mut report = constructed_report();
    let mut zone_failure = call_cost_run();
    zone_failure.id = "hollow-zone".to_owned();
    zone_failure.hop_delays.clear();
    zone_failure.series[0].situation = Situation::ZoneGone;
    for point in &mut zone_failure.series[0].points {
        point.value *= 1_000.0;
    }
    report.runs.push(zone_failure);
    let page = rendered(&report);
    let ranking = page.split("## What is missing first").nth(1).expect("the section");
    let zone_failure = ranking.find("a zone gone and back | 2,960 (184)").expect("the row of the zone");
    let ordinary_day = ranking.find("ordinary day | 2.96 (0.184)").expect("the row of the ordinary day");
    assert!(ordinary_day < zone_failure, "{ranking}");
}

#[test]
fn event_of_the_ordinary_day_counts_as_one_of_1600_changes_a_day() {
    let mut report = constructed_report();
    report.runs[1].series[2].situation = Situation::OrdinaryDay;
    let row = "processor time, list, an event | ordinary day | 8.17 (0.0210) | measured | 1,600 | 13,100 |";
    assert!(rendered(&report).contains(row), "{}", rendered(&report));
}

#[test]
fn baseline_without_gateway_is_shown_but_not_ranked() {
    let mut report = constructed_report();
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
fn design_size_of_the_list_is_estimated_from_the_report() {
    let seen = Size::SwitchesSeen;
    let length = [(20.0, 2e3), (100.0, 10e3), (300.0, 30e3), (600.0, 60e3)];
    let cost = [(2e3, 10.0), (10e3, 50.0), (30e3, 150.0), (60e3, 300.0)];
    let series = vec![
        list_series(Quantity::BytesIn, Per::Event, seen, &length),
        list_series(Quantity::ProcessorMicroseconds, Per::Event, Size::ListBytes, &cost),
    ];
    let mut report = constructed_report();
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
fn runs_are_listed_with_escaped_texts() {
    assert_has_lines(
        &rendered(&constructed_report()),
        &[
            "Measured on a machine of 4 cores and 16,384 MiB, in 4 runs. 5 of 9 rows stand here; all of them, with every pair of hollow gateways and processes: [capacity-rows.md](capacity-rows.md).",
            "| `hollow-cost` | hollow | 7 | 100 calls/s \\| no faults | 1 | 1,000 |",
            "| `processes-8` | processes | 7 | no calls | 2 | 0 |",
        ],
    );
}

#[test]
fn page_names_every_run_and_no_other() {
    assert_page_names_exactly_the_runs_of(&constructed_report());
}

#[test]
fn report_without_runs_has_every_section_with_a_remark() {
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
    assert_page_names_exactly_the_runs_of(&empty);
}

#[test]
fn missing_runs_points_and_pairs_are_reported() {
    let hollow_only = Report { runs: constructed_report().runs[..3].to_vec(), ..constructed_report() };
    assert_has_lines(&rendered(&hollow_only), &["Not measured: the report has no run of processes."]);

    let mut without_points = constructed_report();
    without_points.runs[0].series[0].points.clear();
    without_points.runs[0].hop_delays[0].count = 0;
    let page = rendered(&without_points);
    assert!(page.contains("no fit: too few points (0 of 4)"), "{page}");
    assert_has_lines(&page, &["- `hollow-cost`: no delay of a hop was counted."]);

    let mut without_pairs = constructed_report();
    without_pairs.runs[3].series.iter_mut().for_each(|series| series.situation = Situation::ZoneGone);
    assert_has_lines(
        &rendered(&without_pairs),
        &["Not measured: no series and size was measured both ways."],
    );
}

#[test]
fn tables_between_the_markers_are_replaced() {
    let page = format!("# Capacity\n\n{BEGIN_MARKER}\nold tables\n{END_MARKER}\n\nThe end.\n");
    let report = constructed_report();
    let replaced = update_page(&page, &report).expect("both markers");
    let tables = rendered(&report);
    assert_eq!(replaced, format!("# Capacity\n\n{BEGIN_MARKER}\n\n{tables}\n{END_MARKER}\n\nThe end.\n"));
    assert_eq!(update_page(&replaced, &report).as_ref(), Ok(&replaced));
}

#[test]
fn page_with_missing_duplicate_or_swapped_markers_is_rejected() {
    let report = constructed_report();
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
fn duplicate_run_ids_are_rejected() {
    let mut report = constructed_report();
    report.runs.push(list_cost_run());
    assert_eq!(render(&report), Err(PageError::DuplicateRunId { id: "hollow-list".to_owned() }));
}

#[test]
fn report_of_another_version_or_damaged_has_an_error_with_a_remedy() {
    let other_format =
        Report { schema: SCHEMA + 1, ..constructed_report() }.to_json().expect("all figures are numbers");
    let error = Report::from_json(&other_format).expect_err("another format version");
    assert!(matches!(error, ReportError::Schema { found } if found == SCHEMA + 1), "{error}");
    assert!(error.to_string().contains("write it anew with `fawnrouter-lab capacity`"), "{error}");

    let whole = constructed_report().to_json().expect("all figures are numbers");
    let cut_short = &whole[..whole.len() / 2];
    let unknown_field = whole.replacen("\"schema\"", "\"scheme\"", 1);
    let not_a_number = whole.replacen("169.0", "\"many\"", 1);
    assert_ne!(not_a_number, whole);
    for damaged in [cut_short, "", unknown_field.as_str(), not_a_number.as_str()] {
        let error = Report::from_json(damaged).expect_err("a damaged report");
        assert!(matches!(error, ReportError::Json(_)), "{error}");
    }
}

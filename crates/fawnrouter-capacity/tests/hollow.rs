//! Simulated gateways: counts against calculated values, bytes against the codecs, equal results for equal
//! seeds.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use fawnrouter_capacity::figures::{Cause, Quantity, Role, Run, Series, Situation};
use fawnrouter_capacity::hollow::{CAUSES, HollowError, HollowOptions, Outcome, Scenario, measure, simulate};
use fawnrouter_capacity::plan::{Fault, FaultPlan, PlannedCall, TrafficPlan, switch_answer, switch_release};
use fawnrouter_capacity::platform::{
    GatewayParameters, ListedSwitch, encode_list_answer, gateway_configuration,
};
use fawnrouter_dns::{Name, RecordType, query, read_response};
use fawnrouter_jsonl::{Message, Tag, Verb};
use fawnrouter_node::fawnrouter::ServerState;
use fawnrouter_node::{Boot, LIST_DNS_NAME, Pool};

const SEED: u64 = 42;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn row(number: u32) -> ListedSwitch {
    ListedSwitch {
        id: format!("s-{number:08x}"),
        zone: "zone-0".to_owned(),
        cell: number,
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 5060)),
        draining: number % 7 == 3,
        started_unix_ms: if number % 5 == 1 { 1_800_000_000_000 } else { 0 },
    }
}

fn list_query(id: u16) -> (Name, Vec<u8>) {
    let name: Name = LIST_DNS_NAME.parse().unwrap();
    let query = query(id, &name, RecordType::Srv);
    (name, query)
}

fn encoded_length(message: &Message) -> u64 {
    let mut line = Vec::new();
    message.encode(&mut line);
    line.len() as u64
}

/// All results that are exact for a given seed.
fn counts(outcome: &Outcome) -> Vec<String> {
    let mut counts = vec![
        format!("{:?}", outcome.calls),
        format!("{:?} {:?}", outcome.to_switches, outcome.from_switches),
        format!("{:?} {:?}", outcome.to_callers, outcome.from_callers),
        format!("{} {}", outcome.list.queries, outcome.list.response_bytes),
    ];
    let exact = [
        Quantity::MessagesIn,
        Quantity::MessagesOut,
        Quantity::BytesIn,
        Quantity::BytesOut,
        Quantity::Connections,
    ];
    for (role, member) in &outcome.roles {
        for cause in CAUSES.into_iter().chain([Cause::All]) {
            for quantity in exact {
                let peak = member.busiest_member_second(cause, quantity);
                let (mean, most) = (member.mean(cause, quantity), member.busiest_member(cause, quantity));
                counts.push(format!("{role:?} {cause:?} {quantity:?} {mean:?} {most:?} {peak:?}"));
            }
        }
        counts.push(format!("{role:?} {:?}", member.held(Quantity::StateEntries)));
    }
    counts
}

/// A fleet of two services with calls, in which a zone fails and recovers.
fn scenario_with_zone_outage(seed: u64) -> Scenario {
    let zone = FaultPlan::outage(seconds(3), seconds(3), Fault::ZoneGone(1), Fault::ZoneBack(1));
    Scenario::fleet(seed, 30)
        .with_measurement_window(seconds(1), seconds(8))
        .with_call_rate(4.0)
        .with_faults(zone)
}

#[test]
fn equal_seeds_give_equal_counts_and_other_seeds_differ() {
    let first = counts(&simulate(&scenario_with_zone_outage(SEED)).unwrap());
    assert_eq!(first, counts(&simulate(&scenario_with_zone_outage(SEED)).unwrap()));
    assert_ne!(first, counts(&simulate(&scenario_with_zone_outage(SEED + 1)).unwrap()));
}

// ---- Encoding of the platform
#[test]
fn list_of_any_length_decodes_to_what_was_encoded() {
    for count in [1, 25, 132, 660] {
        let rows: Vec<ListedSwitch> = (0..count).map(row).collect();
        let (name, query) = list_query(0x1234);
        let datagram = encode_list_answer(&query, 77, &rows);
        let answer = read_response(&datagram, 0x1234, &name, RecordType::Srv).unwrap();
        let pool = Pool::from_response(&answer).unwrap();
        assert_eq!(pool.serial, 77);
        assert_eq!(pool.switches.len(), rows.len());
        for row in &rows {
            let listed = &pool.switches[&row.id];
            assert_eq!((listed.zone.as_str(), listed.cell.0), (row.zone.as_str(), row.cell));
            assert_eq!(listed.address, row.address);
            assert_eq!(listed.state == ServerState::Draining, row.draining);
            let started = listed.started.map_or(0, |time| time.0.as_millis());
            assert_eq!(started, u128::from(row.started_unix_ms));
        }
    }
}

#[test]
fn list_names_are_compressed_as_far_as_pointers_reach() {
    let length = |count: u32| {
        let rows: Vec<ListedSwitch> =
            (0..count).map(row).map(|row| ListedSwitch { started_unix_ms: 0, ..row }).collect();
        encode_list_answer(&list_query(1).1, 1, &rows).len()
    };
    // SRV: a pointer, 10 bytes, 6 bytes, the id and a pointer. A: a pointer, 10 bytes, 4 bytes. TXT: a
    // pointer, 10 bytes, "kind=std" "cell=N" "started=0". Each text and label has its length before it.
    let (pointer, fixed, id, texts) = (2, 10, 11, 9 + 7 + 10);
    let a_row = (pointer + fixed + 6 + id + pointer) + (pointer + fixed + 4) + (pointer + fixed + texts);
    assert_eq!(length(3) - length(2), a_row);
    // A pointer has 14 bits: names beyond that offset are written out up to a part at a lower offset.
    assert!(length(660) - length(659) > a_row);
}

#[test]
fn malformed_list_query_gets_no_answer() {
    assert!(encode_list_answer(&[], 1, &[row(0)]).is_empty());
    assert!(encode_list_answer(&[0; 12], 1, &[row(0)]).is_empty());
    // A name whose length exceeds the datagram, as no gateway sends it.
    let cut = [&[0; 12][..], &[60, b'a', b'b']].concat();
    assert!(!encode_list_answer(&cut, 1, &[row(0)]).is_empty());
}

#[test]
fn configuration_is_read_as_it_was_written() {
    let rows: Vec<ListedSwitch> = (0..25).map(row).collect();
    let parameters = GatewayParameters {
        name: "g".to_owned(),
        listen: "127.0.0.1:5060".parse().unwrap(),
        nameserver: "127.0.0.1:5300".parse().unwrap(),
        seed: u64::MAX,
        gateways: 26,
        number: 25,
        descriptors: 512,
    };
    let text = gateway_configuration(&parameters, 9, &rows).to_string();
    let boot = Boot::read(text.as_bytes()).unwrap();
    assert_eq!(
        (boot.name, boot.listen, boot.nameserver),
        (parameters.name, parameters.listen, parameters.nameserver)
    );
    assert_eq!((boot.seed, boot.descriptors), (parameters.seed, 512));
    assert_eq!((boot.settings.gateways, boot.settings.own_id.0), (26, 25));
    let (name, query) = list_query(1);
    let answer = read_response(&encode_list_answer(&query, 9, &rows), 1, &name, RecordType::Srv).unwrap();
    assert_eq!(
        boot.known,
        Pool::from_response(&answer).unwrap(),
        "the configuration and the name server give the same list"
    );
}

// ---- Traffic and fault plans
fn traffic(gateways: u32) -> TrafficPlan {
    TrafficPlan {
        seed: SEED,
        gateways,
        calls_per_second: 50.0,
        seconds: 100,
        hold: seconds(1),
        answer_delay: Duration::from_millis(20),
    }
}

#[test]
fn calls_arrive_randomly_at_their_rate_with_unique_tags() {
    let calls = traffic(3).calls();
    assert!(calls.is_sorted_by_key(|call| call.at));
    let tags: BTreeSet<u64> = calls.iter().map(|call| call.tag).collect();
    assert_eq!(tags.len(), calls.len());
    assert!(calls.iter().all(|call| call.at < seconds(100) && call.gateway < 3));
    for gateway in 0..3 {
        let times: Vec<Duration> =
            calls.iter().filter(|call| call.gateway == gateway).map(|call| call.at).collect();
        // A Poisson count with mean 5,000: four standard deviations are 283.
        assert!((4717..=5283).contains(&times.len()), "{}", times.len());
        // A share of e^-1 of exponential gaps is longer than their mean.
        let longer = times.windows(2).filter(|pair| pair[1] - pair[0] > Duration::from_millis(20)).count();
        let share = longer as f64 / times.len() as f64;
        assert!((share - (-1.0f64).exp()).abs() < 0.03, "{share}");
    }
}

#[test]
fn call_times_of_a_gateway_do_not_depend_on_other_gateways() {
    let times = |gateways| -> Vec<Duration> {
        let calls = traffic(gateways).calls();
        calls.iter().filter(|call| call.gateway == 1).map(|call| call.at).collect()
    };
    assert_eq!(times(2), times(5));
}

#[test]
fn random_restarts_lie_within_their_span() {
    let plan = FaultPlan::gateway_restarts(SEED, 10, 64, seconds(100));
    assert_eq!(plan, FaultPlan::gateway_restarts(SEED, 10, 64, seconds(100)));
    assert_eq!(plan.faults.len(), 64);
    assert!(plan.faults.is_sorted_by_key(|planned| planned.at));
    assert!(plan.faults.iter().all(|planned| planned.at < seconds(100)));
    assert!(plan.faults.iter().all(|planned| matches!(planned.fault, Fault::GatewayRestart(0..10))));
}

// ---- Counts against calculated values
#[test]
fn each_gateway_queries_the_list_four_times_a_second_and_counts_encoded_bytes() {
    let outcome =
        simulate(&Scenario::one_service(SEED, 3, 5).with_measurement_window(seconds(1), seconds(4))).unwrap();
    let rows: Vec<ListedSwitch> =
        (0..5).map(|number| ListedSwitch { draining: false, started_unix_ms: 0, ..row(number) }).collect();
    let (_, query) = list_query(1);
    let answer = encode_list_answer(&query, 1, &rows).len() as u64;
    assert_eq!(outcome.list.queries, 4 * 4 * 3);
    assert_eq!(outcome.list.responses, 4 * 4 * 3);
    assert_eq!(outcome.list.query_bytes, 4 * 4 * 3 * query.len() as u64);
    assert_eq!(outcome.list.response_bytes, 4 * 4 * 3 * answer);
    assert_eq!((outcome.list.lost, outcome.list.unreadable, outcome.list.changed), (0, 0, 0));
    let bytes_in = outcome.mean_per_second(Role::GatewayControl, Cause::List, Quantity::BytesIn);
    assert_eq!(bytes_in, Some(4.0 * answer as f64));
    let source = outcome.role(Role::ListSource);
    assert_eq!(source.total.for_cause(Cause::List).messages_in, 4 * 4 * 3);
    assert_eq!(source.total.for_cause(Cause::List).bytes_out, 4 * 4 * 3 * answer);
    assert_eq!(source.held(Quantity::StateEntries), Some(5.0));
}

#[test]
fn each_call_is_set_up_answered_and_released_once() {
    let mut scenario = Scenario::one_service(SEED, 3, 4)
        .with_measurement_window(Duration::ZERO, seconds(8))
        .with_call_rate(20.0);
    scenario.traffic.seconds = 4;
    let calls = scenario.traffic.calls();
    let planned = calls.len() as u64;
    let outcome = simulate(&scenario).unwrap();
    assert_eq!((outcome.calls.attempted, outcome.measured_calls), (planned, planned));
    assert_eq!((outcome.calls.established, outcome.calls.released), (planned, planned));
    assert_eq!((outcome.calls.answered_twice, outcome.calls.set_up_twice), (0, 0));
    assert_eq!((outcome.calls.unexpected_lines, outcome.calls.unreadable), (0, 0));
    assert_eq!(outcome.from_callers.messages(Verb::Start), planned);
    assert_eq!(outcome.to_switches.messages(Verb::Start), planned);
    assert_eq!(outcome.from_switches.messages(Verb::Started), planned);
    assert_eq!(outcome.to_callers.messages(Verb::Started), planned);
    assert_eq!(outcome.from_switches.messages(Verb::Finish), planned);
    assert_eq!(outcome.to_callers.messages(Verb::Finish), planned);
    assert_eq!(outcome.to_switches.messages(Verb::Finished), planned);

    let set_ups: u64 = calls.iter().map(|call| encoded_length(&call.set_up_message(4))).sum();
    assert_eq!(outcome.from_callers.total_volume().bytes, set_ups);
    let answers = planned * encoded_length(&switch_answer(1));
    let releases = planned * encoded_length(&switch_release(1));
    let confirmed = planned * encoded_length(&Message::new(Verb::Finished, Tag(1)));
    assert_eq!(outcome.to_callers.total_volume().bytes, answers + releases);
    let calls = |role| outcome.role(role).total.for_cause(Cause::Calls);
    let switches = calls(Role::CoreSwitch);
    assert_eq!(switches.bytes_out, answers + releases);
    assert_eq!(switches.messages_in, 2 * planned);
    assert_eq!(switches.bytes_in, outcome.to_switches.total_volume().bytes - test_bytes(&outcome));
    assert!(switches.bytes_in > confirmed);
    let gateways = calls(Role::GatewayCalls);
    assert_eq!((gateways.messages_in, gateways.messages_out), (3 * planned, 4 * planned));
    assert_eq!(gateways.bytes_in, set_ups + switches.bytes_out);
    assert_eq!(gateways.bytes_out, answers + releases + switches.bytes_in);
}

/// Bytes of the tests (ECHO) that gateways sent to core switches.
fn test_bytes(outcome: &Outcome) -> u64 {
    let test = Message::new(Verb::Echo, Tag(1)).with_cause(0);
    outcome.to_switches.messages(Verb::Echo) * encoded_length(&test)
}

#[test]
fn core_switch_holds_one_connection_from_each_gateway_that_may_call_it() {
    for gateways in [1, 4, 16] {
        let outcome = simulate(&Scenario::one_service(SEED, gateways, 3)).unwrap();
        let held = outcome.role(Role::CoreSwitch).held(Quantity::Connections);
        assert_eq!(held, Some(f64::from(gateways)));
        let held = outcome.role(Role::GatewayCalls).held(Quantity::Connections);
        assert_eq!(held, Some(3.0));
    }
}

#[test]
fn gateways_see_only_the_core_switches_of_their_service() {
    let scenario = Scenario::fleet(SEED, 660);
    assert_eq!((scenario.services, scenario.zones, scenario.regions), (26, 6, 3));
    for service in 0..26 {
        assert!((25..=26).contains(&scenario.switches_seen(service)));
    }
    for zone in 0..6 {
        let there = (0..660).filter(|number| scenario.gateway_location(*number).zone == zone).count();
        assert_eq!(there, 110);
    }
    let outcome =
        simulate(&Scenario::fleet(SEED, 60).with_measurement_window(seconds(1), seconds(1))).unwrap();
    let seen = outcome.role(Role::GatewayControl).held(Quantity::StateEntries);
    assert_eq!(seen, Some(20.0), "60 gateways are three services");
}

#[test]
fn silent_core_switches_with_calls_are_tested() {
    let scenario = Scenario::one_service(SEED, 2, 3).with_hold_time(seconds(30));
    let mut scenario = scenario.with_measurement_window(seconds(1), seconds(20)).with_call_rate(1.0);
    scenario.traffic.seconds = 2;
    let outcome = simulate(&scenario).unwrap();
    let tests = outcome.to_switches.messages(Verb::Echo);
    assert!(tests > 0, "long calls without messages must be tested");
    assert_eq!(outcome.from_switches.messages(Verb::Echoed), tests);
    let probes = outcome.role(Role::CoreSwitch).total.for_cause(Cause::Probes);
    assert_eq!((probes.messages_in, probes.messages_out), (tests, tests));
}

#[test]
fn each_gateway_takes_a_changed_list_once() {
    let scenario = Scenario::one_service(SEED, 3, 4)
        .with_measurement_window(seconds(2), seconds(6))
        .with_list_change_interval(seconds(1));
    let outcome = simulate(&scenario).unwrap();
    assert_eq!(outcome.list.changed, 6 * 3);
    assert_eq!(outcome.list.responses, 6 * 4 * 3);
}

#[test]
fn links_count_traffic_that_crosses_zones_and_regions() {
    let scenario = Scenario::fleet(SEED, 12).with_measurement_window(seconds(1), seconds(5));
    let outcome = simulate(&scenario).unwrap();
    let answer = outcome.list.response_bytes / outcome.list.responses;
    // The name server is in zone 0 of 6 and region 0 of 3; each zone has two gateways; each sends 20 queries.
    let zone = outcome.role(Role::ZoneLink);
    let region = outcome.role(Role::RegionLink);
    assert_eq!((zone.members, region.members), (6, 3));
    assert_eq!(zone.busiest_member(Cause::List, Quantity::BytesOut), Some((10 * 20 * answer) as f64));
    assert_eq!(region.busiest_member(Cause::List, Quantity::BytesOut), Some((8 * 20 * answer) as f64));
    assert_eq!(zone.total.for_cause(Cause::List).messages_in, 2 * 10 * 20);
    assert_eq!(region.total.for_cause(Cause::List).messages_in, 2 * 8 * 20);
    assert_eq!(zone.total.for_cause(Cause::All).bytes_in, zone.total.for_cause(Cause::All).bytes_out);
    assert_eq!(outcome.gateway_memory_bytes(), None, "no counting allocator is installed");
}

// ---- Faults
fn assert_all_calls_accounted_for(outcome: &Outcome) {
    let calls = outcome.calls;
    assert!(calls.established > 0);
    assert_eq!((calls.unanswered, calls.answered_twice, calls.unreadable), (0, 0, 0), "{calls:?}");
    let ended = calls.established + calls.refused + calls.failed + calls.gateway_lost + calls.no_gateway;
    assert_eq!(calls.attempted, ended, "{calls:?}");
}

/// Checks the connections in one service of `members` gateways and core switches: gateways hold as many as
/// core switches and callers together, and each gateway is connected to each core switch.
fn assert_connections_agree(outcome: &Outcome, members: u32) {
    const CALLER_CONNECTIONS: f64 = 8.0;
    let held = |role| outcome.role(role).held(Quantity::Connections).unwrap();
    assert_eq!(held(Role::GatewayCalls), held(Role::CoreSwitch) + CALLER_CONNECTIONS);
    assert!(held(Role::CoreSwitch) >= f64::from(members));
}

#[test]
fn all_calls_are_answered_and_released_when_a_zone_fails_and_recovers() {
    let outcome = simulate(&scenario_with_zone_outage(SEED).with_settle_time(seconds(15))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(outcome.calls.no_gateway, 0, "gateways of other zones take the calls");
    assert_eq!(outcome.calls.released, outcome.calls.established, "{:?}", outcome.calls);
    assert_eq!(outcome.configurations.read, 5, "a sixth of 30 gateways restarts");
}

#[test]
fn rack_of_a_fifth_of_a_zone_fails_and_recovers() {
    let rack = FaultPlan::outage(seconds(2), seconds(5), Fault::RackGone(1), Fault::RackBack(1));
    let scenario =
        Scenario::fleet(SEED, 30).with_measurement_window(seconds(1), seconds(8)).with_call_rate(2.0);
    let outcome = simulate(&scenario.with_faults(rack).with_settle_time(seconds(15))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(outcome.configurations.read, 1, "a zone has five of 30 gateways");
    assert_eq!(outcome.calls.released, outcome.calls.established, "{:?}", outcome.calls);
}

#[test]
fn calls_of_a_failed_core_switch_are_released() {
    let failure = FaultPlan::none().with_fault(seconds(4), Fault::SwitchGone(0));
    let scenario = Scenario::one_service(SEED, 4, 4)
        .with_hold_time(seconds(20))
        .with_measurement_window(seconds(1), seconds(8));
    let outcome =
        simulate(&scenario.with_call_rate(5.0).with_faults(failure).with_settle_time(seconds(30))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(outcome.calls.released, outcome.calls.established);
    let seen = outcome.role(Role::GatewayControl).held(Quantity::StateEntries);
    assert_eq!(seen, Some(3.0));
}

#[test]
fn calls_of_a_core_switch_listed_again_soon_after_its_failure_are_released() {
    let faults = FaultPlan::outage(seconds(4), seconds(2), Fault::SwitchGone(0), Fault::SwitchBack(0));
    let scenario = Scenario::one_service(SEED, 2, 3)
        .with_hold_time(seconds(20))
        .with_measurement_window(seconds(1), seconds(8));
    let outcome =
        simulate(&scenario.with_call_rate(5.0).with_faults(faults).with_settle_time(seconds(30))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(
        outcome.calls.released, outcome.calls.established,
        "some callers never receive the release: {:?}",
        outcome.calls
    );
}

#[test]
fn no_call_is_lost_when_a_core_switch_drains_stops_and_returns() {
    let faults = FaultPlan::outage(seconds(5), seconds(2), Fault::SwitchStopped(1), Fault::SwitchBack(1))
        .with_fault(seconds(2), Fault::SwitchDraining(1));
    let scenario = Scenario::one_service(SEED, 3, 3)
        .with_hold_time(seconds(1))
        .with_measurement_window(seconds(1), seconds(12));
    let outcome =
        simulate(&scenario.with_call_rate(10.0).with_faults(faults).with_settle_time(seconds(5))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(
        (outcome.calls.established, outcome.calls.released),
        (outcome.calls.attempted, outcome.calls.attempted)
    );
    assert_eq!(outcome.list.changed, 3 * 3, "three changes at three gateways");
    assert_connections_agree(&outcome, 3);
}

#[test]
fn established_calls_survive_the_restart_of_all_gateways_of_a_service() {
    let faults = FaultPlan::none().with_fault(seconds(3), Fault::ServiceRestart(0));
    let scenario = Scenario::one_service(SEED, 4, 4)
        .with_hold_time(seconds(6))
        .with_measurement_window(seconds(1), seconds(10));
    let outcome =
        simulate(&scenario.with_call_rate(5.0).with_faults(faults).with_settle_time(seconds(12))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    assert_eq!(outcome.configurations.read, 4);
    assert_eq!(outcome.calls.released, outcome.calls.established);
    let reported_again = outcome.from_callers.messages(Verb::Start) - outcome.measured_calls;
    assert!(reported_again > 0, "established calls are reported to the gateways after their restart");
    assert_connections_agree(&outcome, 4);
}

#[test]
fn partitioned_regions_get_no_list_from_the_name_server() {
    let faults = FaultPlan::outage(seconds(2), seconds(8), Fault::RegionsApart, Fault::RegionsJoined);
    let scenario =
        Scenario::fleet(SEED, 12).with_measurement_window(seconds(1), seconds(15)).with_call_rate(2.0);
    let outcome = simulate(&scenario.with_faults(faults).with_settle_time(seconds(20))).unwrap();
    assert_all_calls_accounted_for(&outcome);
    // The 8 gateways of two regions send 4 queries a second for 8 s without a response.
    let lost_queries = 8 * 4 * 8;
    assert!((lost_queries - 8..=lost_queries + 8).contains(&outcome.list.lost), "{}", outcome.list.lost);
    assert!(outcome.list.max_list_age >= Duration::from_millis(7000), "{:?}", outcome.list.max_list_age);
    assert!(outcome.list.max_list_age <= Duration::from_millis(8300), "{:?}", outcome.list.max_list_age);
    let region = outcome.role(Role::RegionLink);
    assert_eq!(region.members, 3);
    let total = region.total.for_cause(Cause::All);
    assert_eq!((total.messages_in, total.bytes_in), (total.messages_out, total.bytes_out));
}

#[test]
fn invalid_scenarios_are_rejected() {
    let valid = Scenario::one_service(SEED, 2, 2);
    let assert_rejected = |scenario: Scenario, name: &str| match simulate(&scenario) {
        Err(HollowError::Scenario { field, .. }) => assert_eq!(field, name),
        other => panic!("{name}: {other:?}"),
    };
    assert_rejected(Scenario { gateways: 0, ..valid.clone() }, "gateways");
    assert_rejected(Scenario { services: 3, ..valid.clone() }, "services");
    assert_rejected(Scenario { regions: 2, ..valid.clone() }, "regions");
    assert_rejected(Scenario { gateways: 3, ..valid.clone() }, "traffic.gateways");
    assert_rejected(Scenario { measured: Duration::from_millis(10), ..valid }, "measured");
}

// ---- Report
static QUICK: LazyLock<Vec<Run>> = LazyLock::new(|| quick(None));

fn quick(only: Option<Role>) -> Vec<Run> {
    let mut ignore = |_: &str| {};
    measure(HollowOptions {
        seed: SEED,
        quick: true,
        only_role: only,
        allocator: None,
        progress: &mut ignore,
    })
    .unwrap()
}

#[test]
fn every_series_of_a_quick_measurement_has_four_points_sorted_by_size() {
    let ids: BTreeSet<&str> = QUICK.iter().map(|run| run.id.as_str()).collect();
    assert_eq!(ids.len(), QUICK.len());
    for run in QUICK.iter() {
        let mut keys = BTreeSet::new();
        for series in &run.series {
            assert!(series.points.len() >= 4, "{}: {series:?}", run.id);
            assert!(series.points.is_sorted_by(|a, b| a.size < b.size), "{}: {series:?}", run.id);
            assert!(series.points.iter().all(|point| point.value.is_finite()));
            let key = (series.role, series.situation, series.cause, series.quantity, series.per);
            assert!(keys.insert(key), "{}: two series for {key:?}", run.id);
        }
    }
}

#[test]
fn every_simulated_role_has_figures_in_every_situation() {
    let faults = [
        Situation::Quiet,
        Situation::OrdinaryDay,
        Situation::MachineGone,
        Situation::RackGone,
        Situation::ZoneGone,
        Situation::RegionsApart,
        Situation::ServiceRestart,
    ];
    let roles = [
        Role::GatewayCalls,
        Role::GatewayControl,
        Role::CoreSwitch,
        Role::ListSource,
        Role::ZoneLink,
        Role::RegionLink,
    ];
    let situations = QUICK.iter().find(|run| run.id == "hollow-situations").unwrap();
    for (role, situation) in roles.iter().flat_map(|role| faults.map(|fault| (*role, fault))) {
        let found = situations.series.iter().any(|s| (s.role, s.situation) == (role, situation));
        assert!(found, "{role:?} in {situation:?}");
    }
    let bad = |s: &&Series| s.situation == Situation::BadConfiguration;
    assert!(situations.series.iter().filter(bad).all(|s| s.role == Role::GatewayControl));
    assert!(situations.series.iter().any(|s| bad(&s)));
}

#[test]
fn measurement_of_one_role_equals_its_part_of_the_whole() {
    let only = quick(Some(Role::ListSource));
    assert!(!only.is_empty());
    for run in &only {
        let whole = QUICK.iter().find(|whole| whole.id == run.id).unwrap();
        let of_role: Vec<&Series> = whole.series.iter().filter(|s| s.role == Role::ListSource).collect();
        assert_eq!(run.series.iter().collect::<Vec<_>>(), of_role);
    }
}

/// Expected counts of the quick measurement for [`SEED`]: run, role, situation, cause, quantity, per, then
/// the value at each size. They change when gateways send other messages; replace them then by the lines that
/// the test prints.
const COMMITTED_COUNTS: &str = "\
hollow-switches GatewayCalls OrdinaryDay Calls MessagesIn Call: 2.938 2.938 2.938 2.938
hollow-switches GatewayCalls OrdinaryDay Calls MessagesOut Call: 3.876 3.876 3.876 3.876
hollow-switches GatewayCalls OrdinaryDay Calls BytesIn Call: 419.232 419.232 419.597 419.806
hollow-switches GatewayCalls OrdinaryDay Calls BytesOut Call: 437.835 437.835 437.835 437.835
hollow-switches GatewayControl Quiet List BytesIn Second: 1744.000 3104.000 5848.000 8944.000
hollow-switches GatewayControl Quiet List BytesIn Event: 436.000 776.000 1462.000 2236.000
hollow-switches GatewayControl BadConfiguration Configuration BytesIn Event: 1350.000 1938.000 3126.000 4467.000
hollow-calls GatewayCalls OrdinaryDay All MessagesIn Second: 0.000 28.000 132.333 458.333
hollow-calls GatewayCalls OrdinaryDay All BytesOut Second: 0.000 4049.000 19631.667 68217.000
hollow-calls GatewayCalls OrdinaryDay All Connections Held: 26.000 50.000 51.000 60.000
hollow-calls GatewayCalls OrdinaryDay All StateEntries Held: 0.000 19.000 85.000 310.000
hollow-standing GatewayCalls OrdinaryDay Probes MessagesOut Second: 1.667 3.000 4.000 2.333
hollow-standing GatewayCalls OrdinaryDay Connections Connections Second: 3.000 3.000 3.000 2.000
hollow-changes GatewayCalls OrdinaryDay Connections Connections Second: 0.000 0.050 0.100 0.250 0.500
hollow-changes GatewayControl OrdinaryDay List BytesIn Second: 9288.000 9288.000 9288.000 9288.000 9288.000
hollow-gateways CoreSwitch OrdinaryDay Probes MessagesIn Second: 0.333 0.625 0.972 1.146
hollow-gateways CoreSwitch OrdinaryDay All Connections Held: 11.167 19.333 26.389 32.875
hollow-gateways ListSource Quiet List MessagesIn Second: 24.000 48.000 72.000 96.000
hollow-gateways ListSource Quiet List MessagesOut Second: 24.000 48.000 72.000 96.000
hollow-gateways ListSource Quiet List BytesIn Second: 936.000 1872.000 2808.000 3744.000
hollow-gateways ListSource Quiet List BytesOut Second: 15384.000 55344.000 120168.000 209760.000
hollow-gateways-open CoreSwitch Quiet All Connections Held: 6.000 12.000 18.000 24.000
hollow-restart-gateway CoreSwitch OrdinaryDay Connections Connections Event: 4.000 4.000 8.000 9.000
hollow-restart-switch CoreSwitch OrdinaryDay Connections Connections Event: 4.000 6.000 6.000 8.000
hollow-situations GatewayCalls MachineGone All Connections Situation: 11.000 13.000 16.000 19.000
hollow-situations GatewayCalls RackGone All Connections Situation: 11.000 13.000 16.000 19.000
hollow-situations GatewayCalls ZoneGone All Connections Situation: 16.000 20.000 26.000 33.000
hollow-situations GatewayCalls RegionsApart All Connections Situation: 22.000 27.000 29.000 29.000
hollow-situations GatewayCalls ServiceRestart All Connections Situation: 23.000 27.000 33.000 37.000
hollow-situations CoreSwitch MachineGone All MessagesIn Situation: 83.000 74.000 85.000 77.000
hollow-situations CoreSwitch RackGone All MessagesIn Situation: 83.000 75.000 85.000 78.000
hollow-situations CoreSwitch ZoneGone All MessagesIn Situation: 151.000 157.000 167.000 169.000
hollow-situations CoreSwitch RegionsApart All MessagesIn Situation: 41.000 43.000 45.000 57.000
hollow-situations CoreSwitch ServiceRestart All MessagesIn Situation: 83.000 80.000 90.000 96.000
hollow-situations RegionLink MachineGone All BytesIn Situation: 48914.000 87396.000 141455.000 205767.000
hollow-situations RegionLink RackGone All BytesIn Situation: 48890.000 90087.000 142460.000 205718.000
hollow-situations RegionLink ZoneGone All BytesIn Situation: 96100.000 182261.000 282574.000 405654.000
hollow-situations RegionLink RegionsApart All BytesIn Situation: 43062.000 87726.000 144213.000 216344.000
hollow-situations RegionLink ServiceRestart All BytesIn Situation: 54542.000 98845.000 157207.000 226955.000";

fn count_line(run: &Run, series: &Series) -> String {
    let Series { role, situation, cause, quantity, per, .. } = series;
    let values: Vec<String> = series.points.iter().map(|point| format!("{:.3}", point.value)).collect();
    format!("{} {role:?} {situation:?} {cause:?} {quantity:?} {per:?}: {}", run.id, values.join(" "))
}

#[test]
fn quick_measurement_matches_the_committed_counts() {
    let all: Vec<String> =
        QUICK.iter().flat_map(|run| run.series.iter().map(|series| count_line(run, series))).collect();
    let name = |line: &str| line.split(':').next().unwrap_or_default().to_owned();
    let wanted: BTreeSet<String> = COMMITTED_COUNTS.lines().map(name).collect();
    let counted: Vec<&str> =
        all.iter().map(String::as_str).filter(|line| wanted.contains(&name(line))).collect();
    assert!(wanted.len() > 20, "too few counts are compared with the committed ones");
    assert_eq!(counted, COMMITTED_COUNTS.lines().collect::<Vec<_>>(), "counted now:\n{}", counted.join("\n"));
}

#[test]
fn set_up_message_has_the_fields_of_the_platform() {
    let call = PlannedCall { at: Duration::ZERO, gateway: 0, tag: 0x9b1f_03aa_5c7e_2d41 };
    let mut line = Vec::new();
    call.set_up_message(26).encode(&mut line);
    let value: serde_json::Value = serde_json::from_slice(&line).unwrap();
    assert_eq!(value["verb"], "START");
    assert_eq!(value["tag"], "9b1f03aa5c7e2d41");
    assert_eq!(value["opts"]["class"], "voice");
    assert_eq!(value["opts"]["left"], "3000");
    assert!(value["opts"]["extras"].as_str().unwrap().starts_with("dest:"));
    assert!(!value["blob"].as_str().unwrap().is_empty());
}

//! The gateway process with misbehaving clients and switches on loopback sockets.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

use common::*;
use fawnrouter_sip::Method;
use fawnrouter_ws::{ClientHandshake, CloseCode, Opcode, encode_fragment, encode_frame};
use rustix::process::Signal;

#[test]
fn call_sent_byte_by_byte_in_fragmented_frames_is_established() {
    let (address, requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    let mut bytes = Vec::new();
    let invite = request(Method::Invite, 1);
    let (first_part, second_part) = invite.split_at(100);
    encode_fragment(Opcode::Text, false, first_part, MASK, &mut bytes);
    encode_frame(Opcode::Ping, b"between", MASK, &mut bytes);
    encode_fragment(Opcode::Continuation, true, second_part, MASK, &mut bytes);
    for byte in bytes {
        client.stream.write_all(&[byte]).expect("the gateway reads");
    }
    assert_eq!(client.next_event(), Received::Pong(b"between".to_vec()));
    assert_eq!(client.final_status(), 200);
    wait_for(&requests, Method::Invite);
}

#[test]
fn client_that_never_reads_is_closed_and_others_are_served() {
    let gateway = Gateway::start(&[], "limits: { write_backlog_bytes: 65536 }");
    let mut non_reader = Client::connect(&gateway);
    let mut message = Vec::new();
    encode_frame(Opcode::Text, &request(Method::Options, 1), MASK, &mut message);
    let batch = message.repeat(200);
    non_reader.stream.set_write_timeout(Some(TIMEOUT)).expect("a time-out");
    let mut sent = 0;
    while non_reader.stream.write_all(&batch).is_ok() {
        sent += batch.len();
        assert!(sent < 1 << 30, "the gateway reads and answers without limit");
    }
    let mut other = Client::connect(&gateway);
    other.send(&request(Method::Options, 2));
    assert_eq!(other.next_status(), 200);
}

#[test]
fn half_open_and_excess_connections_get_an_http_error() {
    let gateway = Gateway::start(&[], "limits: { connections: 1 }");
    let mut silent = TcpStream::connect(gateway.address).expect("the gateway listens");
    silent.write_all(b"GET / HT").expect("some bytes");
    silent.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    let mut response = String::new();
    silent.read_to_string(&mut response).expect("an answer and the end, after handshake_ms");
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    let _first = Client::connect(&gateway);
    let mut second = TcpStream::connect(gateway.address).expect("the gateway listens");
    second.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    second.write_all(&ClientHandshake::new([1; 16], "sip").request("g", "/", None)).expect("sent");
    let mut text = String::new();
    second.read_to_string(&mut text).expect("an answer and the end");
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: "), "{text}");
}

#[test]
fn unsupported_handshakes_are_rejected_with_their_status() {
    let gateway = Gateway::start(&[], "");
    for (from, to, status) in
        [(": sip", ": chat", 400), ("GET / ", "GET /x ", 404), ("Version: 13", "Version: 9", 426)]
    {
        let mut stream = TcpStream::connect(gateway.address).expect("the gateway listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let text =
            String::from_utf8(ClientHandshake::new([1; 16], "sip").request("g", "/", None)).expect("text");
        assert!(text.contains(from));
        stream.write_all(text.replacen(from, to, 1).as_bytes()).expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    }
}

#[test]
fn invalid_oversized_and_unmasked_messages_close_with_their_code() {
    let gateway = Gateway::start(&[], "limits: { bad_messages: 3, head_bytes: 4096, body_bytes: 4096 }");
    let mut client = Client::connect(&gateway);
    for _ in 0..2 {
        client.send(b"\x01 this is no SIP");
    }
    // A valid message in between resets the count of bad messages.
    client.send(&request(Method::Options, 1));
    assert_eq!(client.next_status(), 200);
    for _ in 0..3 {
        client.send(b"nor this");
    }
    assert_eq!(client.next_event(), Received::Close(Some(CloseCode::POLICY_VIOLATION)));

    let mut client = Client::connect(&gateway);
    let mut bytes = Vec::new();
    encode_frame(Opcode::Text, &vec![b'x'; 10_000], MASK, &mut bytes);
    client.stream.write_all(&bytes[..100]).expect("sent");
    assert_eq!(client.next_event(), Received::Close(Some(CloseCode::MESSAGE_TOO_BIG)));

    let mut client = Client::connect(&gateway);
    client.stream.write_all(&[0x81, 2, b'h', b'i']).expect("sent");
    assert_eq!(client.next_event(), Received::Close(Some(CloseCode::PROTOCOL_ERROR)));

    let mut client = Client::connect(&gateway);
    client.send(&[0x40, 0xff]);
    assert_eq!(client.next_event(), Received::Close(Some(CloseCode::INVALID_PAYLOAD)));
}

#[test]
fn switch_that_never_reads_does_not_block_another() {
    // The listener never accepts: connections stay in its backlog, and what is written is never read.
    let non_reader = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (good, _requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[non_reader.local_addr().expect("an address"), good], "");
    let mut client = Client::connect(&gateway);
    let mut established = 0;
    for n in 0..20 {
        client.send(&request(Method::Invite, n));
    }
    for _ in 0..20 {
        established += u32::from(client.final_status() == 200);
    }
    assert!(established >= 10, "{established} of 20 calls were established at the working switch");
}

#[test]
fn call_is_retried_at_another_switch_when_one_closes_in_set_up() {
    let (bad, _) = start_switch(|_| vec![100, 0]);
    let (good, requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[bad, good], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.final_status(), 200);
    wait_for(&requests, Method::Invite);
}

#[test]
fn attempt_is_cancelled_when_its_caller_disconnects_in_set_up() {
    let (address, requests) =
        start_switch(|m| if m.method() == Some(Method::Invite) { vec![100, 180] } else { vec![200] });
    let gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!((client.next_status(), client.next_status()), (100, 180));
    drop(client);
    wait_for(&requests, Method::Cancel);
}

#[test]
fn changed_list_is_applied_and_invalid_list_changes_nothing() {
    let (first, first_requests) = start_switch(accept_all);
    let (second, second_requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[first], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.final_status(), 200);
    wait_for(&first_requests, Method::Invite);
    std::fs::write(gateway.folder().join("switches.yaml"), "switches: [").expect("written");
    client.send(&request(Method::Invite, 2));
    assert_eq!(client.final_status(), 200);
    wait_for(&first_requests, Method::Invite);
    write_list(gateway.folder(), &[second]);
    // Calls go to the new switch once the gateway has polled the file.
    for n in 10.. {
        client.send(&request(Method::Invite, n));
        client.final_status();
        if second_requests.try_iter().any(|m| m.method() == Some(Method::Invite)) {
            return;
        }
        assert!(n < 20_000, "the new list is never read");
    }
}

#[test]
fn first_signal_drains_and_second_signal_ends_at_once() {
    let (address, requests) = start_switch(accept_all);
    let mut gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.final_status(), 200);
    gateway.signal(Signal::TERM);
    // New calls are refused once the signal has been handled; the established call continues.
    let mut n = 2;
    loop {
        client.send(&request(Method::Invite, n));
        if client.final_status() == 503 {
            break;
        }
        n += 1;
    }
    assert_eq!(gateway.child.try_wait().expect("a state"), None, "it waits for the standing calls");
    gateway.signal(Signal::TERM);
    wait_for(&requests, Method::Bye);
    assert_eq!(gateway.child.wait().expect("an end").code(), Some(1));

    let mut idle = Gateway::start(&[address], "");
    let mut client = Client::connect(&idle);
    idle.signal(Signal::INT);
    assert_eq!(client.next_event(), Received::Close(Some(CloseCode::GOING_AWAY)));
    assert_eq!(idle.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn log_lines_of_a_call_carry_its_call_id() {
    let (address, _requests) = start_switch(accept_all);
    let mut gateway = Gateway::start(&[address], "log: { format: json, level: debug }");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 7));
    assert_eq!(client.final_status(), 200);
    drop(client);
    gateway.signal(Signal::TERM);
    assert!(gateway.child.wait().expect("an end").success());
    let log = BufReader::new(gateway.child.stderr.take().expect("piped"));
    let lines =
        log.lines().map(|l| serde_json::from_str::<serde_json::Value>(&l.expect("text")).expect("JSON"));
    let call_messages = lines
        .filter(|l| l["span"]["call_id"] == "t7")
        .map(|l| l["message"].as_str().unwrap_or("").to_owned());
    let messages: Vec<String> = call_messages.collect();
    assert_eq!(messages, ["taken", "set-up sent", "answered", "released"]);
}

#[test]
fn demonstration_with_hold_serves_a_client_until_sigint() {
    let mut child =
        Command::new(LAB).args(["demo", "--hold"]).stdout(Stdio::piped()).spawn().expect("the lab runs");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let address = line.trim().strip_prefix("ready ws://").and_then(|r| r.strip_suffix('/')).expect("ready");
    let folder = tempfile::tempdir().expect("a folder");
    let mut gateway = Gateway { child, address: address.parse().expect("an address"), folder: Some(folder) };
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.final_status(), 200);
    drop(client);
    gateway.signal(Signal::INT);
    assert!(gateway.child.wait().expect("an end").success());
}

fn run_lab(args: &[&str]) -> Output {
    Command::new(LAB).args(args).output().expect("the lab runs")
}

#[test]
fn demonstration_makes_calls_and_its_audit_is_clean() {
    let out = run_lab(&["demo", "--seconds", "2", "--seed", "4"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success() && text.contains("audit              clean"), "{text}");
    assert!(text.lines().any(|l| l.starts_with("ready ws://127.0.0.1:")), "{text}");
}

/// Two gateways learn at the same time of a cold switch that takes a third of the load, and another switch
/// restarts.
const SHORT_SCRIPT: &str = "
name: short
seconds: 5
gateways: 2
connections: 2
calls_per_s: 110
switches:
  - { capacity_per_s: 25 }
  - { capacity_per_s: 25 }
  - { capacity_per_s: 25 }
classes:
  - { class: { name: check, aim_ms: 2000, deadline_ms: 9000 }, share: 1, hold_ms: 1000 }
callers: { try_s: 3, leavers: 0.05, redials: 1, redial_ms: 300, disconnect_ms: 1500 }
list_delay_ms: 200
rules: { cold_ms: 4000, release_guard_ms: 300 }
troubles:
  - { kind: replace, at_ms: 1000, for_ms: 1500, switches: [70] }
  - { kind: restart, at_ms: 2500, for_ms: 800, switches: [71] }
";

#[test]
fn short_script_with_faults_is_clean_and_round_robin_breaks_a_rule() {
    let folder = tempfile::tempdir().expect("a folder");
    let script = folder.path().join("day.yaml");
    std::fs::write(&script, SHORT_SCRIPT).expect("written");
    let script = script.display().to_string();
    let out = run_lab(&["day", &script, "--seed", "3", "--quiet"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}");
    let out = run_lab(&["day", &script, "--seed", "3", "--quiet", "--baseline"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.code() == Some(1) && text.contains("BROKEN rule 5"), "{text}");
}

#[test]
fn auditor_and_gateways_count_the_same_spill_within_budget_when_a_zone_restarts() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = std::fs::read_to_string(format!("{}/../../examples/zones.yaml", env!("CARGO_MANIFEST_DIR")));
    let text = text.expect("the example").replace("seconds: 50", "seconds: 12");
    let text = text.replace(
        "at_ms: 15000, for_ms: 8000, switches: [70, 71]",
        "at_ms: 2000, for_ms: 6000, switches: [70, 71, 72]",
    );
    let script = folder.path().join("zones.yaml");
    std::fs::write(&script, text).expect("written");
    let out = run_lab(&["day", script.to_str().expect("text"), "--quiet"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}");
    let mut north = 0;
    for line in text.lines().filter(|l| l.starts_with("spill of gateway")) {
        let numbers: Vec<u64> = line.split([' ', ',']).filter_map(|w| w.parse().ok()).collect();
        let [_, seen, told, _] = numbers[..] else { panic!("{line}") };
        // A 200 that crosses the end of its attempt counts as a call at the switch but not at the gateway.
        assert!(seen.abs_diff(told) <= 3, "{line}");
        north += if line.contains("in north") { told } else { 0 };
    }
    // The budget is 60 calls per minute, as many again while the zone is down, and the run may span two
    // minutes.
    assert!((10..=240).contains(&north), "{text}");
}

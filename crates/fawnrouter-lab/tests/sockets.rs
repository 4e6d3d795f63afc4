//! The gateway as a process, tried over loopback sockets by clients and switches that behave badly.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};

use common::*;
use fawnrouter_sip::Method;
use fawnrouter_ws::{ClientHandshake, CloseCode, Opcode, encode_fragment, encode_frame};
use rustix::process::Signal;

#[test]
fn a_call_cut_at_every_byte_and_in_frames_in_pieces_goes_through() {
    let (address, told) = switch(ok_for_all);
    let gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    let mut bytes = Vec::new();
    let invite = request(Method::Invite, 1);
    let (a, b) = invite.split_at(100);
    encode_fragment(Opcode::Text, false, a, MASK, &mut bytes);
    encode_frame(Opcode::Ping, b"between", MASK, &mut bytes);
    encode_fragment(Opcode::Continuation, true, b, MASK, &mut bytes);
    for byte in bytes {
        client.stream.write_all(&[byte]).expect("the gateway reads");
    }
    assert_eq!(client.next(), Got::Pong(b"between".to_vec()));
    assert_eq!(client.last_status(), 200);
    wait_for(&told, Method::Invite);
}

#[test]
fn a_client_that_never_reads_is_closed_and_others_are_served() {
    let gateway = Gateway::start(&[], "limits: { write_backlog_bytes: 65536 }");
    let mut deaf = Client::connect(&gateway);
    let mut one = Vec::new();
    encode_frame(Opcode::Text, &request(Method::Options, 1), MASK, &mut one);
    let many = one.repeat(200);
    deaf.stream.set_write_timeout(Some(PATIENCE)).expect("a time-out");
    let mut sent = 0;
    while deaf.stream.write_all(&many).is_ok() {
        sent += many.len();
        assert!(sent < 1 << 30, "the gateway takes and answers without end");
    }
    let mut other = Client::connect(&gateway);
    other.send(&request(Method::Options, 2));
    assert_eq!(other.status(), 200);
}

#[test]
fn half_open_connections_and_those_beyond_the_limit_are_told_to_go() {
    let gateway = Gateway::start(&[], "limits: { connections: 1 }");
    let mut silent = TcpStream::connect(gateway.address).expect("the gateway listens");
    silent.write_all(b"GET / HT").expect("some bytes");
    silent.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut told = String::new();
    silent.read_to_string(&mut told).expect("an answer and the end, after handshake_ms");
    assert!(told.starts_with("HTTP/1.1 408 "), "{told}");
    let _first = Client::connect(&gateway);
    let mut second = TcpStream::connect(gateway.address).expect("the gateway listens");
    second.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    second.write_all(&ClientHandshake::new([1; 16], "sip").request("g", "/", None)).expect("sent");
    let mut text = String::new();
    second.read_to_string(&mut text).expect("an answer and the end");
    assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("Retry-After: "), "{text}");
}

#[test]
fn handshakes_that_are_not_ours_get_their_status() {
    let gateway = Gateway::start(&[], "");
    for (from, to, status) in
        [(": sip", ": chat", 400), ("GET / ", "GET /x ", 404), ("Version: 13", "Version: 9", 426)]
    {
        let mut stream = TcpStream::connect(gateway.address).expect("the gateway listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
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
fn garbage_oversized_and_unmasked_messages_close_with_their_code() {
    let gateway = Gateway::start(&[], "limits: { bad_messages: 3, head_bytes: 4096, body_bytes: 4096 }");
    let mut client = Client::connect(&gateway);
    for _ in 0..2 {
        client.send(b"\x01 this is no SIP");
    }
    // A good one in between: the count begins anew.
    client.send(&request(Method::Options, 1));
    assert_eq!(client.status(), 200);
    for _ in 0..3 {
        client.send(b"nor this");
    }
    assert_eq!(client.next(), Got::Close(Some(CloseCode::POLICY_VIOLATION)));

    let mut client = Client::connect(&gateway);
    let mut bytes = Vec::new();
    encode_frame(Opcode::Text, &vec![b'x'; 10_000], MASK, &mut bytes);
    client.stream.write_all(&bytes[..100]).expect("sent");
    assert_eq!(client.next(), Got::Close(Some(CloseCode::MESSAGE_TOO_BIG)));

    let mut client = Client::connect(&gateway);
    client.stream.write_all(&[0x81, 2, b'h', b'i']).expect("sent");
    assert_eq!(client.next(), Got::Close(Some(CloseCode::PROTOCOL_ERROR)));

    let mut client = Client::connect(&gateway);
    client.send(&[0x40, 0xff]);
    assert_eq!(client.next(), Got::Close(Some(CloseCode::INVALID_PAYLOAD)));
}

#[test]
fn a_switch_that_never_reads_does_not_hold_up_another() {
    // Its listener accepts nothing: connections stand in the backlog, and what is written stays there.
    let deaf = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (good, _told) = switch(ok_for_all);
    let gateway = Gateway::start(&[deaf.local_addr().expect("an address"), good], "");
    let mut client = Client::connect(&gateway);
    let mut stood = 0;
    for n in 0..20 {
        client.send(&request(Method::Invite, n));
    }
    for _ in 0..20 {
        stood += u32::from(client.last_status() == 200);
    }
    assert!(stood >= 10, "{stood} of 20 stood on the switch that works");
}

#[test]
fn a_switch_that_closes_in_set_up_leaves_the_call_to_another() {
    let (bad, _) = switch(|_| vec![100, 0]);
    let (good, told) = switch(ok_for_all);
    let gateway = Gateway::start(&[bad, good], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.last_status(), 200);
    wait_for(&told, Method::Invite);
}

#[test]
fn a_caller_that_goes_away_in_set_up_has_its_attempt_cancelled() {
    let (address, told) =
        switch(|m| if m.method() == Some(Method::Invite) { vec![100, 180] } else { vec![200] });
    let gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!((client.status(), client.status()), (100, 180));
    drop(client);
    wait_for(&told, Method::Cancel);
}

#[test]
fn a_list_that_changes_is_followed_and_one_that_is_wrong_changes_nothing() {
    let (first, told_first) = switch(ok_for_all);
    let (second, told_second) = switch(ok_for_all);
    let gateway = Gateway::start(&[first], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.last_status(), 200);
    wait_for(&told_first, Method::Invite);
    std::fs::write(gateway.folder().join("switches.yaml"), "switches: [").expect("written");
    client.send(&request(Method::Invite, 2));
    assert_eq!(client.last_status(), 200);
    wait_for(&told_first, Method::Invite);
    list(gateway.folder(), &[second]);
    // Calls go to the new switch as soon as the gateway has looked.
    for n in 10.. {
        client.send(&request(Method::Invite, n));
        client.last_status();
        if told_second.try_iter().any(|m| m.method() == Some(Method::Invite)) {
            return;
        }
        assert!(n < 20_000, "the new list is never read");
    }
}

#[test]
fn a_signal_drains_and_a_second_one_ends_at_once() {
    let (address, told) = switch(ok_for_all);
    let mut gateway = Gateway::start(&[address], "");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.last_status(), 200);
    gateway.signal(Signal::TERM);
    // A new call is refused as soon as the signal is in; the standing one goes on.
    let mut n = 2;
    loop {
        client.send(&request(Method::Invite, n));
        if client.last_status() == 503 {
            break;
        }
        n += 1;
    }
    assert_eq!(gateway.child.try_wait().expect("a state"), None, "it waits for the standing calls");
    gateway.signal(Signal::TERM);
    wait_for(&told, Method::Bye);
    assert_eq!(gateway.child.wait().expect("an end").code(), Some(1));

    let mut idle = Gateway::start(&[address], "");
    let mut client = Client::connect(&idle);
    idle.signal(Signal::INT);
    assert_eq!(client.next(), Got::Close(Some(CloseCode::GOING_AWAY)));
    assert_eq!(idle.child.wait().expect("an end").code(), Some(0));
}

#[test]
fn a_call_is_followed_in_the_log_by_its_call_id() {
    let (address, _told) = switch(ok_for_all);
    let mut gateway = Gateway::start(&[address], "log: { format: json, level: debug }");
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 7));
    assert_eq!(client.last_status(), 200);
    drop(client);
    gateway.signal(Signal::TERM);
    assert!(gateway.child.wait().expect("an end").success());
    let log = BufReader::new(gateway.child.stderr.take().expect("piped"));
    let lines =
        log.lines().map(|l| serde_json::from_str::<serde_json::Value>(&l.expect("text")).expect("JSON"));
    let of_call = lines
        .filter(|l| l["span"]["call_id"] == "t7")
        .map(|l| l["message"].as_str().unwrap_or("").to_owned());
    let words: Vec<String> = of_call.collect();
    assert_eq!(words, ["taken", "set-up sent", "answered", "released"]);
}

#[test]
fn the_held_demonstration_serves_a_client_until_sigint() {
    let mut child =
        Command::new(LAB).args(["demo", "--hold"]).stdout(Stdio::piped()).spawn().expect("the lab runs");
    let mut line = String::new();
    BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line).expect("a line");
    let address = line.trim().strip_prefix("ready ws://").and_then(|r| r.strip_suffix('/')).expect("ready");
    let folder = tempfile::tempdir().expect("a folder");
    let mut gateway = Gateway { child, address: address.parse().expect("an address"), folder: Some(folder) };
    let mut client = Client::connect(&gateway);
    client.send(&request(Method::Invite, 1));
    assert_eq!(client.last_status(), 200);
    drop(client);
    gateway.signal(Signal::INT);
    assert!(gateway.child.wait().expect("an end").success());
}

fn lab(args: &[&str]) -> Output {
    Command::new(LAB).args(args).output().expect("the lab runs")
}

#[test]
fn the_demonstration_makes_calls_and_its_audit_is_clean() {
    let out = lab(&["demo", "--seconds", "2", "--seed", "4"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success() && text.contains("audit              clean"), "{text}");
    assert!(text.lines().any(|l| l.starts_with("ready ws://127.0.0.1:")), "{text}");
}

/// Two gateways learn in the same instant of a cold switch that takes a third of the load, and one restarts.
const SHORT_DAY: &str = "
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
fn a_short_bad_day_is_clean_and_the_auditor_finds_what_round_robin_breaks_on_it() {
    let folder = tempfile::tempdir().expect("a folder");
    let script = folder.path().join("day.yaml");
    std::fs::write(&script, SHORT_DAY).expect("written");
    let script = script.display().to_string();
    let out = lab(&["day", &script, "--seed", "3", "--quiet"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}");
    let out = lab(&["day", &script, "--seed", "3", "--quiet", "--baseline"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.code() == Some(1) && text.contains("BROKEN rule 5"), "{text}");
}

#[test]
fn a_zone_restarts_and_the_auditor_and_the_gateways_count_the_same_spill_within_the_budget() {
    let folder = tempfile::tempdir().expect("a folder");
    let text = std::fs::read_to_string(format!("{}/../../examples/zones.yaml", env!("CARGO_MANIFEST_DIR")));
    let text = text.expect("the example").replace("seconds: 50", "seconds: 12");
    let text = text.replace(
        "at_ms: 15000, for_ms: 8000, switches: [70, 71]",
        "at_ms: 2000, for_ms: 6000, switches: [70, 71, 72]",
    );
    let script = folder.path().join("zones.yaml");
    std::fs::write(&script, text).expect("written");
    let out = lab(&["day", script.to_str().expect("text"), "--quiet"]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(out.status.success(), "{text}");
    let mut north = 0;
    for line in text.lines().filter(|l| l.starts_with("spill of gateway")) {
        let numbers: Vec<u64> = line.split([' ', ',']).filter_map(|w| w.parse().ok()).collect();
        let [_, seen, told, _] = numbers[..] else { panic!("{line}") };
        // A 200 that crosses the end of its attempt stands at the switch and not for the gateway.
        assert!(seen.abs_diff(told) <= 3, "{line}");
        north += if line.contains("in north") { told } else { 0 };
    }
    // Sixty a minute, as many again while the zone is down, and the day may lie in two minutes.
    assert!((10..=240).contains(&north), "{text}");
}

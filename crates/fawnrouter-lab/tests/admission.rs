//! Floods, descriptor shortage and known clients against a gateway process, over loopback sockets.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::*;
use fawnrouter_sip::{MessageBuilder, Method, Name};
use fawnrouter_ws::{ClientHandshake, CloseCode, Opcode, encode_frame};
use fawnrouterd::control::{AdmissionStatus, Command, Reply, send_command};
use fawnrouterd::engine::digest::{Algorithm, Credentials, client_response, ha1};
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};

const REALM: &str = "calls.example";

#[test]
fn address_and_network_limits_refuse_floods_with_503_and_admit_others() {
    let gateway = Gateway::start(
        &[],
        "admission: { per_address: 3, per_network: 10, rate_per_s: 1000, burst: 1000, handshakes_per_address: 100 }",
    );
    let mut admitted: Vec<Client> = (0..3).map(|_| Client::connect(&gateway)).collect();
    assert_eq!(
        (0..200).filter(|_| Client::connect_from(&gateway, [127, 0, 0, 1]).err() == Some(503)).count(),
        200
    );
    // Other addresses of the same network are admitted up to the network's limit; an address of another
    // network is admitted in any case.
    let mut same_network = Vec::new();
    for n in 2..100 {
        same_network.extend(Client::connect_from(&gateway, [127, 0, 0, n]).ok());
    }
    assert_eq!(same_network.len(), 7);
    let mut elsewhere = Client::connect_from(&gateway, [127, 7, 0, 1]).expect("room");
    elsewhere.send(&request(Method::Options, 1));
    assert_eq!(elsewhere.next_status(), 200);
    // A closed connection frees its place.
    let first = &mut admitted[0];
    let mut bye = Vec::new();
    encode_frame(Opcode::Close, &[], MASK, &mut bye);
    first.stream.write_all(&bye).expect("sent");
    assert_eq!(first.next_event(), Received::Close(Some(CloseCode::NORMAL)));
    assert_eq!(first.next_event(), Received::End);
    while Client::connect_from(&gateway, [127, 0, 0, 1]).is_err() {}
}

#[test]
fn flood_from_5000_addresses_does_not_affect_clients_with_calls() {
    let (address, requests) = start_switch(accept_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { per_network: 100000, handshakes: 1000 }\nlimits: { connections: 20 }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.final_status(), 200);
    let mut idle = Client::connect(&gateway);
    let mut flood = Vec::new();
    for n in 0..5000u32 {
        let address = [127, 1 + (n % 200) as u8, (n / 200) as u8, 9];
        match Client::connect_from(&gateway, address) {
            Ok(client) => flood.push(client),
            Err(status) => assert_eq!(status, 503),
        }
    }
    // The idle connection is closed to make room, with the code to try again later. The connection with a
    // call stays.
    assert_eq!(idle.next_event(), Received::Close(Some(CloseCode::TRY_AGAIN_LATER)));
    caller.send(&request(Method::Options, 2));
    assert_eq!(caller.final_status(), 200);
    assert!(requests.try_iter().all(|m| m.method() != Some(Method::Bye)));
}

/// The entry of a known client in the clients file.
fn client_line(name: &str, password: &str, more: &str) -> String {
    let sha256 = ha1(Algorithm::Sha256, name, REALM, password).as_hex().to_owned();
    format!("  - {{ name: {name}, sha256: '{sha256}'{more} }}\n")
}

/// Settings of a gateway with known clients and a control socket.
fn settings_with_clients(strangers: &str, more: &str) -> String {
    format!(
        "clients: {{ file: clients.yaml, realm: {REALM}, strangers: {strangers} }}\n\
         control: {{ socket: control }}\n{more}"
    )
}

fn write_clients(gateway: &Gateway, lines: &[String]) {
    let text = format!("clients:\n{}", lines.concat());
    std::fs::write(gateway.folder().join("new"), text).expect("a list is written");
    let file = gateway.folder().join("clients.yaml");
    std::fs::rename(gateway.folder().join("new"), file).expect("a list is put in place");
}

fn admission_status(gateway: &Gateway) -> AdmissionStatus {
    match send_command(&gateway.folder().join("control"), &Command::Show) {
        Ok(Reply::Admission(status)) => *status,
        other => panic!("{other:?}"),
    }
}

/// Sends a request, answers the digest challenge, and returns the status of the second response. Returns
/// `None` if the connection is closed instead.
fn authenticate(client: &mut Client, method: Method, n: u32, name: &str, password: &str) -> Option<u16> {
    let uri = format!("sip:+91{n}@gw.example");
    let mut nonce = String::new();
    for attempt in 1..=2 {
        let hash = ha1(Algorithm::Sha256, name, REALM, password);
        let response =
            client_response(Algorithm::Sha256, &hash, (method.name(), &uri), &nonce, "00000001", "c");
        let credentials = Credentials {
            username: name.into(),
            realm: REALM.into(),
            nonce: nonce.as_str().into(),
            uri: uri.as_str().into(),
            response: response.into(),
            algorithm: Algorithm::Sha256,
            cnonce: "c".into(),
            nc: ("00000001".into(), 1),
        };
        let sound = parse(&request(method, n));
        let mut draft = MessageBuilder::request(method, &uri);
        draft.field(Name::Via, &format!("SIP/2.0/WS c.invalid;branch=z9hG4bKp{n}.{attempt}"));
        for (field, raw, value) in sound.fields() {
            if !matches!(field, Name::Via | Name::CSeq | Name::ContentLength) {
                draft.named_field(raw, value);
            }
        }
        draft.field(Name::CSeq, &format!("{attempt} {}", method.name()));
        draft.field(Name::Authorization, &credentials.write());
        client.send(&draft.finish(b""));
        let response = loop {
            match client.next_event() {
                Received::Sip(m) if m.status().is_some_and(|s| s >= 200) => break m,
                Received::Sip(_) => {}
                Received::Close(code) => {
                    assert_eq!(code, Some(CloseCode::TRY_AGAIN_LATER));
                    return None;
                }
                other => panic!("{other:?} instead of a response"),
            }
        };
        if response.status() != Some(401) || attempt == 2 {
            return response.status();
        }
        let challenge = response.get(Name::WwwAuthenticate).expect("a challenge");
        nonce =
            challenge.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).expect("a nonce").to_owned();
    }
    unreachable!("the second attempt returns")
}

/// Connects and authenticates, repeatedly until the gateway has read the clients file.
fn connect_known(gateway: &Gateway, name: &str, password: &str) -> Client {
    for _ in 0..200 {
        let mut client = Client::connect(gateway);
        if authenticate(&mut client, Method::Options, 1, name, password) == Some(200) {
            return client;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{name} is never recognized");
}

#[test]
fn client_authenticates_in_signalling_and_changed_file_is_applied() {
    let (address, _requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[address], &settings_with_clients("nothing", "admission: {}"));
    write_clients(&gateway, &[client_line("branch", "tellers", "")]);
    let mut client = connect_known(&gateway, "branch", "tellers");
    client.send(&request(Method::Invite, 2));
    assert_eq!(client.final_status(), 200, "known by its connection from now on");
    let mut unknown = Client::connect(&gateway);
    unknown.send(&request(Method::Invite, 3));
    assert_eq!(unknown.final_status(), 401);
    assert_eq!(authenticate(&mut unknown, Method::Invite, 4, "branch", "guess"), Some(401));
    // After a change of the secret, the old connection is challenged again, its call continues, and the new
    // secret is accepted.
    write_clients(&gateway, &[client_line("branch", "changed", "")]);
    drop(connect_known(&gateway, "branch", "changed"));
    client.send(&request(Method::Invite, 5));
    assert_eq!(client.final_status(), 401);
    assert_eq!(authenticate(&mut client, Method::Invite, 6, "branch", "changed"), Some(200));
    // An invalid file changes nothing.
    write_clients(&gateway, &["  - { name: branch, sha256: zz }\n".into()]);
    drop(connect_known(&gateway, "branch", "changed"));
    let seen = admission_status(&gateway);
    assert!(seen.proofs.0 >= 4 && seen.proofs.1 >= 4, "{seen:?}");
}

#[test]
fn misbehaving_known_client_is_limited_and_another_is_not() {
    let (address, _requests) = start_switch(accept_all);
    let gateway = Gateway::start(&[address], &settings_with_clients("call", "admission: {}"));
    let limited = client_line("wild", "w", ", connections: 2, rate_per_s: 1, burst: 3");
    write_clients(&gateway, &[limited, client_line("calm", "c", "")]);
    let mut first = connect_known(&gateway, "wild", "w");
    let _second = connect_known(&gateway, "wild", "w");
    let mut third = Client::connect(&gateway);
    assert_eq!(authenticate(&mut third, Method::Options, 1, "wild", "w"), None, "its third connection");
    let mut unlimited = connect_known(&gateway, "calm", "c");
    let mut refused = 0;
    for n in 10..40 {
        first.send(&request(Method::Invite, n));
        refused += usize::from(first.final_status() == 503);
        unlimited.send(&request(Method::Invite, n));
        assert_eq!(unlimited.final_status(), 200);
    }
    assert!((20..=27).contains(&refused), "{refused}");
    let seen = admission_status(&gateway);
    assert_eq!(seen.set_ups_refused.get("too many set-ups of this client"), Some(&(refused as u64)));
    assert!(seen.clients.iter().any(|h| h.who == "wild" && h.count == 2), "{seen:?}");
}

#[test]
fn known_clients_connect_and_call_during_a_flood_from_one_address() {
    let (address, _requests) = start_switch(accept_all);
    let more = "admission: { per_address: 20, rate_per_s: 200, burst: 200 }";
    let gateway = Gateway::start(&[address], &settings_with_clients("call", more));
    write_clients(&gateway, &[client_line("branch", "tellers", "")]);
    drop(connect_known(&gateway, "branch", "tellers"));
    let mut held = Vec::new();
    let (mut refused, mut established) = (0, 0);
    for n in 0..20u32 {
        // Fifty connections of the flood for each one of the known client.
        for _ in 0..50 {
            match Client::connect_from(&gateway, [127, 0, 0, 66]) {
                Ok(client) => held.push(client),
                Err(status) => refused += usize::from(status == 503),
            }
        }
        let mut client = connect_known(&gateway, "branch", "tellers");
        client.send(&request(Method::Invite, n));
        established += usize::from(client.final_status() == 200);
    }
    assert_eq!((held.len(), refused, established), (20, 980, 20));
}

#[test]
fn operator_sees_connections_and_blocks_and_frees_an_address() {
    let gateway = Gateway::start(&[], "admission: {}\ncontrol: { socket: control }");
    let _inside = Client::connect_from(&gateway, [127, 0, 0, 9]).expect("room");
    let seen = admission_status(&gateway);
    assert!(seen.admission && seen.open == 1 && seen.addresses[0].who == "127.0.0.9", "{seen:?}");
    let socket = gateway.folder().join("control");
    let address = "127.0.0.9".parse().expect("an address");
    assert_eq!(
        send_command(&socket, &Command::Block { address, for_s: 60 }).expect("an answer"),
        Reply::Done
    );
    assert_eq!(Client::connect_from(&gateway, [127, 0, 0, 9]).err(), Some(503));
    assert!(Client::connect_from(&gateway, [127, 0, 0, 8]).is_ok());
    assert_eq!(admission_status(&gateway).blocked[0].0, address);
    assert_eq!(send_command(&socket, &Command::Free { address }).expect("an answer"), Reply::Done);
    assert!(Client::connect_from(&gateway, [127, 0, 0, 9]).is_ok());
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(&socket).expect("the socket").permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "for its own user only");
    // An unknown command gets an error.
    let mut raw = std::os::unix::net::UnixStream::connect(&socket).expect("the gateway listens");
    raw.write_all(b"{\"do\":\"dance\"}\n").expect("sent");
    let mut text = String::new();
    raw.read_to_string(&mut text).expect("an answer");
    assert!(text.contains("the command cannot be read"), "{text}");
}

#[test]
fn forwarded_header_is_used_only_from_trusted_forwarders() {
    let gateway = Gateway::start(
        &[],
        "admission: { per_address: 2, rate_per_s: 1000, burst: 1000, handshakes_per_address: 100, \
         forwarders: [{ address: 127.0.0.7 }] }\ncontrol: { socket: control }",
    );
    let upgrade = |from: [u8; 4], forwarded: &str| {
        let mut stream = open_socket(&gateway, from);
        let text = ClientHandshake::new([1; 16], "sip").request("g", "/", None);
        let text = String::from_utf8(text).expect("text");
        let text = text.replacen("\r\n\r\n", &format!("\r\nForwarded: {forwarded}\r\n\r\n"), 1);
        stream.write_all(text.as_bytes()).expect("sent");
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("an answer");
        (stream, String::from_utf8_lossy(&status[9..]).into_owned())
    };
    let mut held = Vec::new();
    for (forwarded, status) in [
        ("for=192.0.2.1", "101"),
        ("for=192.0.2.1", "101"),
        ("for=192.0.2.1", "503"),
        ("for=192.0.2.9, for=192.0.2.1", "503"),
        ("for=192.0.2.1, for=\"192.0.2.2:99\"", "101"),
        ("for=\"broken", "400"),
    ] {
        let (stream, got) = upgrade([127, 0, 0, 7], forwarded);
        assert_eq!(got, status, "{forwarded}");
        held.push(stream);
    }
    for (n, status) in [(1, "101"), (2, "101"), (3, "503")] {
        let (stream, got) = upgrade([127, 0, 0, 50], &format!("for=192.0.2.{}", 100 + n));
        assert_eq!(got, status, "whatever it names, it is 127.0.0.50");
        held.push(stream);
    }
    let seen = admission_status(&gateway);
    let names: Vec<&str> = seen.addresses.iter().map(|h| h.who.as_str()).collect();
    assert_eq!(names, ["127.0.0.50", "192.0.2.1", "192.0.2.2"]);
}

#[test]
fn slow_handshakes_are_closed_with_a_response_to_make_room() {
    let gateway = Gateway::start(&[], "admission: { handshakes: 4, rate_per_s: 1000, burst: 1000 }");
    let mut slow: Vec<TcpStream> = (1..5).map(|n| open_socket(&gateway, [127, 1, 0, n])).collect();
    slow.iter_mut().for_each(|s| s.write_all(b"G").expect("a byte"));
    // Once the handshakes are older than a normal one takes, a new connection gets the place of the oldest.
    let begin = Instant::now();
    while Client::connect_from(&gateway, [127, 0, 0, 1]).is_err() {
        assert!(begin.elapsed() < TIMEOUT);
    }
    let mut response = String::new();
    slow[0].read_to_string(&mut response).expect("an answer");
    assert!(response.starts_with("HTTP/1.1 503 ") || response.starts_with("HTTP/1.1 408 "), "{response}");
}

#[test]
fn client_that_never_reads_is_closed_unless_it_has_a_call() {
    let (address, _requests) = start_switch(accept_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { slow_reader_ms: 300, messages_per_s: 1000000 }\ncontrol: { socket: control }\nlimits: { write_backlog_bytes: 100000000 }",
    );
    let send_many_requests = |client: &mut Client| {
        let mut message = Vec::new();
        encode_frame(Opcode::Text, &request(Method::Options, 9), MASK, &mut message);
        let batch = message.repeat(20_000);
        client.stream.set_write_timeout(Some(TIMEOUT)).expect("a time-out");
        client.stream.write_all(&batch).expect("the gateway reads on");
    };
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.final_status(), 200);
    send_many_requests(&mut caller);
    let mut non_reader = Client::connect(&gateway);
    send_many_requests(&mut non_reader);
    let begin = Instant::now();
    while admission_status(&gateway).closed.get("does not read") != Some(&1) {
        assert!(begin.elapsed() < TIMEOUT);
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(600));
    let seen = admission_status(&gateway);
    assert_eq!((seen.open, seen.closed.get("does not read")), (1, Some(&1)), "the one with a call stays");
    // When the caller finally reads, all its responses are there.
    for _ in 0..20_000 {
        assert_eq!(caller.next_status(), 200);
    }
}

#[test]
fn unsent_bytes_stay_within_the_budget_and_others_are_served() {
    let gateway = Gateway::start(
        &[],
        "limits: { buffer_bytes: 1048576, write_backlog_bytes: 1048576 }\ncontrol: { socket: control }",
    );
    let mut message = Vec::new();
    encode_frame(Opcode::Text, &request(Method::Options, 9), MASK, &mut message);
    let batch = message.repeat(2000);
    let mut non_readers: Vec<Client> = (0..8).map(|_| Client::connect(&gateway)).collect();
    for client in &mut non_readers {
        client.stream.set_write_timeout(Some(Duration::from_millis(500))).expect("a time-out");
        // Writes until the gateway closes the connection or the socket buffers are full.
        while client.stream.write_all(&batch).is_ok() {}
    }
    let seen = admission_status(&gateway);
    assert!(seen.over_budget >= 1 && seen.buffered_bytes <= 1_048_576 + 9 * 4096, "{seen:?}");
    let mut other = Client::connect(&gateway);
    other.send(&request(Method::Options, 2));
    assert_eq!(other.next_status(), 200);
}

/// Tries to connect. Returns the HTTP status, which is 101 if the client is admitted.
fn try_connect(gateway: &Gateway) -> (u16, Option<Client>) {
    match Client::connect_from(gateway, [127, 0, 0, 1]) {
        Ok(client) => (101, Some(client)),
        Err(status) => (status, None),
    }
}

#[test]
fn trunk_reconnects_while_clients_use_all_their_descriptors() {
    // The switch closes its connection at the second INVITE.
    let count = std::sync::atomic::AtomicU32::new(0);
    let (address, _requests) = start_switch(move |request| {
        let invite = request.method() == Some(Method::Invite);
        let second = invite && count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 1;
        if second { vec![0] } else { accept_all(request) }
    });
    let gateway = Gateway::start_with_descriptors(
        Some(64),
        &[address],
        "trunk: { descriptors: 4, backoff_first_ms: 10, backoff_most_ms: 50 }\ncontrol: { socket: control }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.final_status(), 200);
    let mut admitted = Vec::new();
    let mut refused = 0;
    for _ in 0..200 {
        let (status, client) = try_connect(&gateway);
        admitted.extend(client);
        refused += usize::from(status == 503);
    }
    let seen = admission_status(&gateway);
    assert_eq!(
        (admitted.len() + refused, admitted.len() + 1),
        (200, seen.open),
        "each is admitted or refused with 503"
    );
    assert!(refused > 100 && seen.open <= seen.room, "{seen:?}");
    // The trunk connection breaks in set-up and must be reopened while clients hold all their descriptors.
    caller.send(&request(Method::Invite, 2));
    let first = caller.final_status();
    let mut n = 3;
    let begin = Instant::now();
    loop {
        caller.send(&request(Method::Invite, n));
        if caller.final_status() == 200 {
            break;
        }
        n += 1;
        assert!(begin.elapsed() < TIMEOUT, "the trunk connection is not reopened (first {first})");
    }
    // A client that disconnects makes room for another.
    drop(admitted.pop());
    while try_connect(&gateway).1.is_none() {
        assert!(begin.elapsed() < TIMEOUT);
    }
}

#[test]
fn descriptor_shortage_is_answered_with_503_and_service_recovers() {
    let (address, requests) = start_switch(accept_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { rate_per_s: 1000, burst: 1000 }\ncontrol: { socket: control }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.final_status(), 200);
    let pid = Pid::from_raw(i32::try_from(gateway.child.id()).expect("a pid")).expect("a pid");
    let limit = |n: Option<u64>| {
        // The hard limit stays as it is, since raising it needs privileges.
        let maximum = getrlimit(Resource::Nofile).maximum;
        let before = prlimit(Some(pid), Resource::Nofile, Rlimit { current: n, maximum });
        before.expect("the limit of our own child").current
    };
    // The limit leaves room for the descriptors that are open and for the operator's connection, so that none
    // is left in the middle of a burst of connections.
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("it runs").count();
    let before = limit(Some(open as u64 + 2));
    let (mut admitted, mut refused) = (Vec::new(), 0);
    for _ in 0..100 {
        let (status, client) = try_connect(&gateway);
        admitted.extend(client);
        refused += usize::from(status == 503);
    }
    assert!(
        admitted.len() <= 3 && refused >= 97,
        "{} admitted, {refused} refused; none may be reset or dropped",
        admitted.len()
    );
    // Admitted clients still get service: a new call is established.
    caller.send(&request(Method::Invite, 2));
    assert_eq!(caller.final_status(), 200);
    assert_eq!(wait_for(&requests, Method::Invite).method(), Some(Method::Invite));
    let ended = Instant::now();
    limit(before);
    // The gateway may have found no descriptor before the limit was raised and then refuse the next newcomer.
    loop {
        match try_connect(&gateway) {
            (_, Some(_)) => break,
            (status, None) => refused += usize::from(status == 503),
        }
        assert!(ended.elapsed() < TIMEOUT);
    }
    eprintln!("admitted again {:.1} ms after the shortage", ended.elapsed().as_secs_f64() * 1e3);
    let seen = admission_status(&gateway);
    assert_eq!(seen.refused.get("no descriptor is left"), Some(&(refused as u64)), "{seen:?}");
}

#[test]
fn known_clients_get_in_after_restart_under_flood() {
    let settings = settings_with_clients(
        "call",
        "limits: { connections: 30 }\nadmission: { rate_per_s: 10000, burst: 10000, handshakes: 10, \
         per_network: 10000, reserve: { least_share: 0.3 } }",
    );
    for _ in 0..2 {
        // A newly started gateway knows no client yet, and the flood connects before the known clients do.
        let gateway = Gateway::start(&[], &settings);
        write_clients(&gateway, &[client_line("branch", "tellers", "")]);
        let stop = std::sync::atomic::AtomicBool::new(false);
        std::thread::scope(|scope| {
            let flood = scope.spawn(|| {
                let mut held = Vec::new();
                for n in 0u32.. {
                    if stop.load(std::sync::atomic::Ordering::Relaxed) {
                        break;
                    }
                    let address =
                        [127, 20 + (n / 60_000 % 100) as u8, (n / 250 % 240) as u8, 1 + (n % 250) as u8];
                    held.extend(Client::connect_from(&gateway, address).ok());
                    held.drain(..held.len().saturating_sub(60));
                }
            });
            let mut known_clients = Vec::new();
            let begin = Instant::now();
            while known_clients.len() < 5 {
                assert!(begin.elapsed() < TIMEOUT, "{} of 5 were admitted", known_clients.len());
                let Ok(mut client) = Client::connect_from(&gateway, [127, 0, 0, 1]) else { continue };
                if authenticate(&mut client, Method::Options, 1, "branch", "tellers") == Some(200) {
                    known_clients.push(client);
                }
            }
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
            flood.join().expect("the flood ends");
            // None of them was closed to make room for an unknown client.
            for client in &mut known_clients {
                client.send(&request(Method::Options, 2));
                assert_eq!(client.next_status(), 200);
            }
        });
    }
}

#[test]
fn gateway_killed_within_a_budget_window_keeps_its_spent_budget() {
    // The gateway's zone has no switch, so every call crosses zones; the budget is three calls per day.
    // The points per unit of cost are 0, so that worth does not matter: otherwise the price early in the day
    // would save the third call for later.
    let zones = "zones: { own: kochi, account: account, points_a_unit: 0, budgets: [{ window: day, calls: 3 }] }\n\
                 control: { socket: control }";
    let (address, _requests) = start_switch(accept_all);
    let write_remote_list = |folder: &std::path::Path| {
        let text = format!("switches:\n  - {{ id: 70, address: '{address}', pool: 0, zone: north }}\n");
        std::fs::write(folder.join("new"), text).expect("a list is written");
        std::fs::rename(folder.join("new"), folder.join("switches.yaml")).expect("a list is put in place");
    };
    let budget = |gateway: &Gateway| match send_command(&gateway.folder().join("control"), &Command::Zones) {
        Ok(Reply::Zones(zones)) => zones.budgets[0].calls,
        other => panic!("{other:?}"),
    };
    let mut gateway = Gateway::start(&[], zones);
    write_remote_list(gateway.folder());
    for round in 0..2 {
        let mut client = Client::connect(&gateway);
        let mut statuses = Vec::new();
        for n in 0..if round == 0 { 4 } else { 1 } {
            client.send(&request(Method::Invite, 10 * round + n));
            statuses.push(client.final_status());
        }
        let established = statuses.iter().filter(|s| **s == 200).count();
        assert_eq!(
            (established, budget(&gateway)),
            (if round == 0 { 3 } else { 0 }, (3, Some(3))),
            "{statuses:?}"
        );
        if round == 0 {
            // The gateway is killed only after the account has been saved.
            let begin = Instant::now();
            let saved = |g: &Gateway| fawnrouterd::ledger::read(&g.folder().join("account"));
            while saved(&gateway).ok().is_none_or(|l| l.account.states[0].spent.0 < 3) {
                assert!(begin.elapsed() < TIMEOUT);
                std::thread::sleep(Duration::from_millis(20));
            }
            let folder = gateway.kill();
            gateway = Gateway::start_in(folder, None, &[], zones);
            write_remote_list(gateway.folder());
        }
    }
}

//! Floods, famine and known clients against the gateway's process, over loopback sockets.

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
fn caps_by_address_and_network_turn_floods_away_politely_and_others_get_in() {
    let gateway = Gateway::start(
        &[],
        "admission: { per_address: 3, per_network: 10, rate_per_s: 1000, burst: 1000, handshakes_per_address: 100 }",
    );
    let mut inside: Vec<Client> = (0..3).map(|_| Client::connect(&gateway)).collect();
    assert_eq!((0..200).filter(|_| Client::from(&gateway, [127, 0, 0, 1]).err() == Some(503)).count(), 200);
    // Another address of the same network gets in until the network's cap, one elsewhere all the same.
    let mut neighbours = Vec::new();
    for n in 2..100 {
        neighbours.extend(Client::from(&gateway, [127, 0, 0, n]).ok());
    }
    assert_eq!(neighbours.len(), 7);
    let mut elsewhere = Client::from(&gateway, [127, 7, 0, 1]).expect("room");
    elsewhere.send(&request(Method::Options, 1));
    assert_eq!(elsewhere.status(), 200);
    // A place that is given back can be had again.
    let first = &mut inside[0];
    let mut bye = Vec::new();
    encode_frame(Opcode::Close, &[], MASK, &mut bye);
    first.stream.write_all(&bye).expect("sent");
    assert_eq!(first.next(), Got::Close(Some(CloseCode::NORMAL)));
    assert_eq!(first.next(), Got::End);
    while Client::from(&gateway, [127, 0, 0, 1]).is_err() {}
}

#[test]
fn a_flood_from_five_thousand_addresses_leaves_those_with_calls_alone() {
    let (address, told) = switch(ok_for_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { per_network: 100000, handshakes: 1000 }\nlimits: { connections: 20 }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.last_status(), 200);
    let mut idle = Client::connect(&gateway);
    let mut flood = Vec::new();
    for n in 0..5000u32 {
        let address = [127, 1 + (n % 200) as u8, (n / 200) as u8, 9];
        match Client::from(&gateway, address) {
            Ok(client) => flood.push(client),
            Err(status) => assert_eq!(status, 503),
        }
    }
    // The idle one had to make room, and was told to come later; the one in a call was not touched.
    assert_eq!(idle.next(), Got::Close(Some(CloseCode::TRY_AGAIN_LATER)));
    caller.send(&request(Method::Options, 2));
    assert_eq!(caller.last_status(), 200);
    assert!(told.try_iter().all(|m| m.method() != Some(Method::Bye)));
}

/// A known client's line.
fn line(name: &str, password: &str, more: &str) -> String {
    let sha256 = ha1(Algorithm::Sha256, name, REALM, password).as_hex().to_owned();
    format!("  - {{ name: {name}, sha256: '{sha256}'{more} }}\n")
}

/// Settings of a gateway with known clients and a socket for operators.
fn with_clients(strangers: &str, more: &str) -> String {
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

fn shown(gateway: &Gateway) -> AdmissionStatus {
    match send_command(&gateway.folder().join("control"), &Command::Show) {
        Ok(Reply::Admission(shown)) => *shown,
        other => panic!("{other:?}"),
    }
}

/// The answer to a request with credentials for the nonce that a first one asks for; `None` if the connection was
/// closed instead.
fn prove(client: &mut Client, method: Method, n: u32, name: &str, password: &str) -> Option<u16> {
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
        let told = loop {
            match client.next() {
                Got::Sip(m) if m.status().is_some_and(|s| s >= 200) => break m,
                Got::Sip(_) => {}
                Got::Close(code) => {
                    assert_eq!(code, Some(CloseCode::TRY_AGAIN_LATER));
                    return None;
                }
                other => panic!("{other:?} instead of a response"),
            }
        };
        if told.status() != Some(401) || attempt == 2 {
            return told.status();
        }
        let asked = told.get(Name::WwwAuthenticate).expect("a challenge");
        nonce = asked.split("nonce=\"").nth(1).and_then(|r| r.split('"').next()).expect("a nonce").to_owned();
    }
    unreachable!("the second attempt returns")
}

/// Until the list of clients has been read: a client that is not known yet is asked again.
fn known(gateway: &Gateway, name: &str, password: &str) -> Client {
    for _ in 0..200 {
        let mut client = Client::connect(gateway);
        if prove(&mut client, Method::Options, 1, name, password) == Some(200) {
            return client;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("{name} is never known");
}

#[test]
fn a_client_proves_itself_on_the_signalling_path_and_a_changed_file_is_followed() {
    let (address, _told) = switch(ok_for_all);
    let gateway = Gateway::start(&[address], &with_clients("nothing", "admission: {}"));
    write_clients(&gateway, &[line("branch", "tellers", "")]);
    let mut client = known(&gateway, "branch", "tellers");
    client.send(&request(Method::Invite, 2));
    assert_eq!(client.last_status(), 200, "known by its connection from now on");
    let mut stranger = Client::connect(&gateway);
    stranger.send(&request(Method::Invite, 3));
    assert_eq!(stranger.last_status(), 401);
    assert_eq!(prove(&mut stranger, Method::Invite, 4, "branch", "guess"), Some(401));
    // Another secret: the old connection is asked again, its call stands, the new secret opens.
    write_clients(&gateway, &[line("branch", "changed", "")]);
    drop(known(&gateway, "branch", "changed"));
    client.send(&request(Method::Invite, 5));
    assert_eq!(client.last_status(), 401);
    assert_eq!(prove(&mut client, Method::Invite, 6, "branch", "changed"), Some(200));
    // A file that is wrong changes nothing.
    write_clients(&gateway, &["  - { name: branch, sha256: zz }\n".into()]);
    drop(known(&gateway, "branch", "changed"));
    let seen = shown(&gateway);
    assert!(seen.proofs.0 >= 4 && seen.proofs.1 >= 4, "{seen:?}");
}

#[test]
fn a_known_client_that_misbehaves_is_held_to_its_limits_and_its_neighbour_is_not() {
    let (address, _told) = switch(ok_for_all);
    let gateway = Gateway::start(&[address], &with_clients("call", "admission: {}"));
    let wild = line("wild", "w", ", connections: 2, rate_per_s: 1, burst: 3");
    write_clients(&gateway, &[wild, line("calm", "c", "")]);
    let mut first = known(&gateway, "wild", "w");
    let _second = known(&gateway, "wild", "w");
    let mut third = Client::connect(&gateway);
    assert_eq!(prove(&mut third, Method::Options, 1, "wild", "w"), None, "its third connection");
    let mut calm = known(&gateway, "calm", "c");
    let mut refused = 0;
    for n in 10..40 {
        first.send(&request(Method::Invite, n));
        refused += usize::from(first.last_status() == 503);
        calm.send(&request(Method::Invite, n));
        assert_eq!(calm.last_status(), 200);
    }
    assert!((20..=27).contains(&refused), "{refused}");
    let seen = shown(&gateway);
    assert_eq!(seen.set_ups_refused.get("too many set-ups of this client"), Some(&(refused as u64)));
    assert!(seen.clients.iter().any(|h| h.who == "wild" && h.count == 2), "{seen:?}");
}

#[test]
fn a_flood_from_one_address_is_capped_while_known_clients_keep_connecting_and_calling() {
    let (address, _told) = switch(ok_for_all);
    let more = "admission: { per_address: 20, rate_per_s: 200, burst: 200 }";
    let gateway = Gateway::start(&[address], &with_clients("call", more));
    write_clients(&gateway, &[line("branch", "tellers", "")]);
    drop(known(&gateway, "branch", "tellers"));
    let mut held = Vec::new();
    let (mut refused, mut stood) = (0, 0);
    for n in 0..20u32 {
        // Fifty of the flood to one of theirs.
        for _ in 0..50 {
            match Client::from(&gateway, [127, 0, 0, 66]) {
                Ok(client) => held.push(client),
                Err(status) => refused += usize::from(status == 503),
            }
        }
        let mut client = known(&gateway, "branch", "tellers");
        client.send(&request(Method::Invite, n));
        stood += usize::from(client.last_status() == 200);
    }
    assert_eq!((held.len(), refused, stood), (20, 980, 20));
}

#[test]
fn an_operator_sees_who_holds_what_and_blocks_and_frees_an_address() {
    let gateway = Gateway::start(&[], "admission: {}\ncontrol: { socket: control }");
    let _inside = Client::from(&gateway, [127, 0, 0, 9]).expect("room");
    let seen = shown(&gateway);
    assert!(seen.admission && seen.open == 1 && seen.addresses[0].who == "127.0.0.9", "{seen:?}");
    let socket = gateway.folder().join("control");
    let address = "127.0.0.9".parse().expect("an address");
    assert_eq!(
        send_command(&socket, &Command::Block { address, for_s: 60 }).expect("an answer"),
        Reply::Done
    );
    assert_eq!(Client::from(&gateway, [127, 0, 0, 9]).err(), Some(503));
    assert!(Client::from(&gateway, [127, 0, 0, 8]).is_ok());
    assert_eq!(shown(&gateway).blocked[0].0, address);
    assert_eq!(send_command(&socket, &Command::Free { address }).expect("an answer"), Reply::Done);
    assert!(Client::from(&gateway, [127, 0, 0, 9]).is_ok());
    use std::os::unix::fs::PermissionsExt;
    let mode = std::fs::metadata(&socket).expect("the socket").permissions().mode();
    assert_eq!(mode & 0o777, 0o600, "for its own user only");
    // What is no command is told so.
    let mut raw = std::os::unix::net::UnixStream::connect(&socket).expect("the gateway listens");
    raw.write_all(b"{\"do\":\"dance\"}\n").expect("sent");
    let mut text = String::new();
    raw.read_to_string(&mut text).expect("an answer");
    assert!(text.contains("the command cannot be read"), "{text}");
}

#[test]
fn a_trusted_forwarder_is_believed_and_a_stranger_that_says_the_same_is_not() {
    let gateway = Gateway::start(
        &[],
        "admission: { per_address: 2, rate_per_s: 1000, burst: 1000, handshakes_per_address: 100, \
         forwarders: [{ address: 127.0.0.7 }] }\ncontrol: { socket: control }",
    );
    let upgrade = |from: [u8; 4], forwarded: &str| {
        let mut stream = connect_from(&gateway, from);
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
    let seen = shown(&gateway);
    let names: Vec<&str> = seen.addresses.iter().map(|h| h.who.as_str()).collect();
    assert_eq!(names, ["127.0.0.50", "192.0.2.1", "192.0.2.2"]);
}

#[test]
fn drawn_out_handshakes_make_room_and_are_told_so() {
    let gateway = Gateway::start(&[], "admission: { handshakes: 4, rate_per_s: 1000, burst: 1000 }");
    let mut slow: Vec<TcpStream> = (1..5).map(|n| connect_from(&gateway, [127, 1, 0, n])).collect();
    slow.iter_mut().for_each(|s| s.write_all(b"G").expect("a byte"));
    // Once they are older than an honest handshake takes, a newcomer gets the place of the oldest.
    let begin = Instant::now();
    while Client::from(&gateway, [127, 0, 0, 1]).is_err() {
        assert!(begin.elapsed() < PATIENCE);
    }
    let mut told = String::new();
    slow[0].read_to_string(&mut told).expect("an answer");
    assert!(told.starts_with("HTTP/1.1 503 ") || told.starts_with("HTTP/1.1 408 "), "{told}");
}

#[test]
fn one_that_never_reads_is_closed_unless_it_has_a_call() {
    let (address, _told) = switch(ok_for_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { slow_reader_ms: 300, messages_per_s: 1000000 }\ncontrol: { socket: control }\nlimits: { write_backlog_bytes: 100000000 }",
    );
    let ask_much = |client: &mut Client| {
        let mut one = Vec::new();
        encode_frame(Opcode::Text, &request(Method::Options, 9), MASK, &mut one);
        let many = one.repeat(20_000);
        client.stream.set_write_timeout(Some(PATIENCE)).expect("a time-out");
        client.stream.write_all(&many).expect("the gateway reads on");
    };
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.last_status(), 200);
    ask_much(&mut caller);
    let mut deaf = Client::connect(&gateway);
    ask_much(&mut deaf);
    let begin = Instant::now();
    while shown(&gateway).closed.get("does not read") != Some(&1) {
        assert!(begin.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(600));
    let seen = shown(&gateway);
    assert_eq!((seen.open, seen.closed.get("does not read")), (1, Some(&1)), "the one with a call stays");
    // It reads at last, and all its answers are there.
    for _ in 0..20_000 {
        assert_eq!(caller.status(), 200);
    }
}

#[test]
fn bytes_that_wait_stay_within_the_budget_and_others_are_served() {
    let gateway = Gateway::start(
        &[],
        "limits: { buffer_bytes: 1048576, write_backlog_bytes: 1048576 }\ncontrol: { socket: control }",
    );
    let mut one = Vec::new();
    encode_frame(Opcode::Text, &request(Method::Options, 9), MASK, &mut one);
    let many = one.repeat(2000);
    let mut deaf: Vec<Client> = (0..8).map(|_| Client::connect(&gateway)).collect();
    for client in &mut deaf {
        client.stream.set_write_timeout(Some(Duration::from_millis(500))).expect("a time-out");
        // Until the gateway ends it, or the sockets are full.
        while client.stream.write_all(&many).is_ok() {}
    }
    let seen = shown(&gateway);
    assert!(seen.over_budget >= 1 && seen.buffered_bytes <= 1_048_576 + 9 * 4096, "{seen:?}");
    let mut other = Client::connect(&gateway);
    other.send(&request(Method::Options, 2));
    assert_eq!(other.status(), 200);
}

/// What became of one that wants in: its status, 101 if it is in.
fn knock(gateway: &Gateway) -> (u16, Option<Client>) {
    match Client::from(gateway, [127, 0, 0, 1]) {
        Ok(client) => (101, Some(client)),
        Err(status) => (status, None),
    }
}

#[test]
fn with_all_descriptors_for_clients_taken_a_trunk_leg_comes_back_and_calls_go_on() {
    // The second set-up that it gets breaks its connection.
    let count = std::sync::atomic::AtomicU32::new(0);
    let (address, _told) = switch(move |request| {
        let invite = request.method() == Some(Method::Invite);
        let second = invite && count.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 1;
        if second { vec![0] } else { ok_for_all(request) }
    });
    let gateway = Gateway::start_within(
        Some(64),
        &[address],
        "trunk: { descriptors: 4, backoff_first_ms: 10, backoff_most_ms: 50 }\ncontrol: { socket: control }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.last_status(), 200);
    let mut inside = Vec::new();
    let mut refused = 0;
    for _ in 0..200 {
        let (status, client) = knock(&gateway);
        inside.extend(client);
        refused += usize::from(status == 503);
    }
    let seen = shown(&gateway);
    assert_eq!((inside.len() + refused, inside.len() + 1), (200, seen.open), "each in or told why not");
    assert!(refused > 100 && seen.open <= seen.room, "{seen:?}");
    // The leg breaks in set-up and is due again, with every descriptor for clients taken.
    caller.send(&request(Method::Invite, 2));
    let first = caller.last_status();
    let mut n = 3;
    let begin = Instant::now();
    loop {
        caller.send(&request(Method::Invite, n));
        if caller.last_status() == 200 {
            break;
        }
        n += 1;
        assert!(begin.elapsed() < PATIENCE, "the leg does not come back (first {first})");
    }
    // One that leaves makes room.
    drop(inside.pop());
    while knock(&gateway).1.is_none() {
        assert!(begin.elapsed() < PATIENCE);
    }
}

#[test]
fn a_famine_of_descriptors_is_told_politely_and_service_comes_back_by_itself() {
    let (address, told) = switch(ok_for_all);
    let gateway = Gateway::start(
        &[address],
        "admission: { rate_per_s: 1000, burst: 1000 }\ncontrol: { socket: control }",
    );
    let mut caller = Client::connect(&gateway);
    caller.send(&request(Method::Invite, 1));
    assert_eq!(caller.last_status(), 200);
    let pid = Pid::from_raw(i32::try_from(gateway.child.id()).expect("a pid")).expect("a pid");
    let limit = |n: Option<u64>| {
        // The hard limit stays as it is: to raise it takes privileges.
        let maximum = getrlimit(Resource::Nofile).maximum;
        let before = prlimit(Some(pid), Resource::Nofile, Rlimit { current: n, maximum });
        before.expect("the limit of our own child").current
    };
    // As many as are open, and one more for the operator: in the middle of a burst nothing is left.
    let open = std::fs::read_dir(format!("/proc/{}/fd", gateway.child.id())).expect("it runs").count();
    let before = limit(Some(open as u64 + 2));
    let (mut inside, mut refused) = (Vec::new(), 0);
    for _ in 0..100 {
        let (status, client) = knock(&gateway);
        inside.extend(client);
        refused += usize::from(status == 503);
    }
    assert!(
        inside.len() <= 3 && refused >= 97,
        "{} in, {refused} refused, none reset or dropped",
        inside.len()
    );
    // Those that are in go on: a new call stands, and the old one ends.
    caller.send(&request(Method::Invite, 2));
    assert_eq!(caller.last_status(), 200);
    assert_eq!(wait_for(&told, Method::Invite).method(), Some(Method::Invite));
    let ended = Instant::now();
    limit(before);
    while knock(&gateway).1.is_none() {
        assert!(ended.elapsed() < PATIENCE);
    }
    eprintln!("in again {:.1} ms after the famine", ended.elapsed().as_secs_f64() * 1e3);
    let seen = shown(&gateway);
    assert_eq!(seen.refused.get("no descriptor is left"), Some(&(refused as u64)), "{seen:?}");
}

#[test]
fn a_restart_under_flood_lets_known_clients_in_again() {
    let settings = with_clients(
        "call",
        "limits: { connections: 30 }\nadmission: { rate_per_s: 10000, burst: 10000, handshakes: 10, \
         per_network: 10000, reserve: { least_share: 0.3 } }",
    );
    for _ in 0..2 {
        // A gateway that starts knows nobody, and the flood is there before the known clients are.
        let gateway = Gateway::start(&[], &settings);
        write_clients(&gateway, &[line("branch", "tellers", "")]);
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
                    held.extend(Client::from(&gateway, address).ok());
                    held.drain(..held.len().saturating_sub(60));
                }
            });
            let mut known_clients = Vec::new();
            let begin = Instant::now();
            while known_clients.len() < 5 {
                assert!(begin.elapsed() < PATIENCE, "{} of 5 came in", known_clients.len());
                let Ok(mut client) = Client::from(&gateway, [127, 0, 0, 1]) else { continue };
                if prove(&mut client, Method::Options, 1, "branch", "tellers") == Some(200) {
                    known_clients.push(client);
                }
            }
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
            flood.join().expect("the flood ends");
            // None of them had to make room for a stranger.
            for client in &mut known_clients {
                client.send(&request(Method::Options, 2));
                assert_eq!(client.status(), 200);
            }
        });
    }
}

#[test]
fn a_gateway_that_is_killed_in_mid_window_knows_what_it_spent_across_zones() {
    // Its zone has no switch, so that every call crosses; three a day may. Worth does not matter: early in the day the
    // price would keep the third for later.
    let zones = "zones: { own: kochi, account: account, points_a_unit: 0, budgets: [{ window: day, calls: 3 }] }\n\
                 control: { socket: control }";
    let (address, _told) = switch(ok_for_all);
    let put_far = |folder: &std::path::Path| {
        let text = format!("switches:\n  - {{ id: 70, address: '{address}', pool: 0, zone: north }}\n");
        std::fs::write(folder.join("new"), text).expect("a list is written");
        std::fs::rename(folder.join("new"), folder.join("switches.yaml")).expect("a list is put in place");
    };
    let budget = |gateway: &Gateway| match send_command(&gateway.folder().join("control"), &Command::Zones) {
        Ok(Reply::Zones(zones)) => zones.budgets[0].calls,
        other => panic!("{other:?}"),
    };
    let mut gateway = Gateway::start(&[], zones);
    put_far(gateway.folder());
    for round in 0..2 {
        let mut client = Client::connect(&gateway);
        let mut statuses = Vec::new();
        for n in 0..if round == 0 { 4 } else { 1 } {
            client.send(&request(Method::Invite, 10 * round + n));
            statuses.push(client.last_status());
        }
        let stood = statuses.iter().filter(|s| **s == 200).count();
        assert_eq!((stood, budget(&gateway)), (if round == 0 { 3 } else { 0 }, (3, Some(3))), "{statuses:?}");
        if round == 0 {
            // The account is on the disk before it is killed.
            let begin = Instant::now();
            let saved = |g: &Gateway| fawnrouterd::ledger::read(&g.folder().join("account"));
            while saved(&gateway).ok().is_none_or(|l| l.account.states[0].spent.0 < 3) {
                assert!(begin.elapsed() < PATIENCE);
                std::thread::sleep(Duration::from_millis(20));
            }
            let folder = gateway.kill();
            gateway = Gateway::start_in(folder, None, &[], zones);
            put_far(gateway.folder());
        }
    }
}

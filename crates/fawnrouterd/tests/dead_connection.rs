//! A connection to a core switch that stays open and is of no use, on real connections.

mod common;

use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Caller, DnsZone, Gateway, NameServer, free_address, node_config, send_line};
use serde_json::{Value, json};

const ESTABLISHED: &str = "ca11000000000001";
const UNANSWERED: &str = "ca11000000000002";
/// Ends a test that would hang.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Serves a connection of a working core switch: each set-up finds its number busy, each probe passes.
fn serve_connection(stream: TcpStream) {
    std::thread::spawn(move || {
        let reader = BufReader::new(stream.try_clone().unwrap());
        for line in reader.lines().map_while(Result::ok) {
            let line: Value = serde_json::from_str(&line).expect("the gateway writes JSON");
            match line["verb"].as_str() {
                Some("START") => send_line(
                    &stream,
                    &json!({"verb": "FINISH", "tag": line["tag"], "opts": {"note": "user_busy"}, "rc": 17}),
                ),
                Some("ECHO") => {
                    send_line(&stream, &json!({"verb": "ECHOED", "tag": line["tag"], "opts": {}, "rc": 1}));
                }
                _ => {}
            }
        }
    });
}

/// Reads the messages on a connection up to this set-up.
fn read_until_set_up(reader: &mut BufReader<TcpStream>, tag: &str) {
    let mut lines = reader.lines().map(|line| serde_json::from_str::<Value>(&line.unwrap()).unwrap());
    lines.find(|line| line["verb"] == "START" && line["tag"] == tag).expect("the set-up comes");
}

/// Sends set-ups on a connection of its own until the flag is set.
fn keep_calling(gateway: &Gateway, stop: Arc<AtomicBool>) {
    let mut caller: Caller = gateway.connect_caller();
    std::thread::spawn(move || {
        let start = Instant::now();
        for n in 0x100u64.. {
            if stop.load(Ordering::Relaxed) || start.elapsed() > TIMEOUT {
                return;
            }
            let tag = format!("ca11{n:012x}");
            caller.send_set_up(&tag, 2000);
            while caller.receive().is_some_and(|line| line["tag"] != tag.as_str()) {}
        }
    });
}

/// Guards against callers that are never told of the end of a call because the gateway keeps the connection
/// of its set-up, which is dead, and opens no other one on which the release would come.
#[test]
fn release_that_a_dead_connection_cannot_carry_arrives_on_a_connection_opened_after_its_close() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let names =
        NameServer::new(DnsZone { serial: 1, switches: vec![("s-0".into(), address)], ..DnsZone::default() });
    let config = node_config(free_address(), names.address, &[("s-0", address)]);
    let gateway = Gateway::start("dead-connection", &config);
    let (dead, _) = listener.accept().unwrap();
    let mut dead_reader = BufReader::new(dead.try_clone().unwrap());

    let mut caller = gateway.connect_caller();
    caller.send_set_up(ESTABLISHED, 3000);
    read_until_set_up(&mut dead_reader, ESTABLISHED);
    send_line(&dead, &json!({"verb": "STARTED", "tag": ESTABLISHED, "opts": {}, "blob": "answer"}));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");
    // The answer of the next set-up is lost, and so is everything after it on this connection.
    caller.send_set_up(UNANSWERED, 1500);
    read_until_set_up(&mut dead_reader, UNANSWERED);

    let closed = Arc::new(AtomicBool::new(false));
    let noticing = closed.clone();
    std::thread::spawn(move || {
        let _ = dead_reader.read_to_end(&mut Vec::new());
        noticing.store(true, Ordering::SeqCst);
    });
    // The call ends. The switch repeats the release on the next connection, as nothing confirms it, but what
    // it writes before it has noticed the close of the dead one goes there.
    let accepting = closed.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.load(Ordering::SeqCst) {
                send_line(&stream, &json!({"verb": "FINISH", "tag": ESTABLISHED, "opts": {}, "rc": 16}));
            }
            serve_connection(stream);
        }
    });
    let stop = Arc::new(AtomicBool::new(false));
    keep_calling(&gateway, stop.clone());
    let release = loop {
        let line = caller.receive().expect("the gateway keeps the caller's connection");
        if line["tag"] == ESTABLISHED {
            break line;
        }
    };
    stop.store(true, Ordering::Relaxed);
    assert_eq!((&release["verb"], &release["rc"]), (&json!("FINISH"), &json!(16)));
    gateway.wait_for_log("closed: it does not answer");
}

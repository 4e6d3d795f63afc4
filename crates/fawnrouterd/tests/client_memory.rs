//! What clients can make a gateway hold in memory, on real connections. The bound is the memory limit of the
//! configuration: the platform kills a gateway that exceeds it.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use common::{DnsZone, Gateway, NameServer, Switch, free_address, node_config};
use rustix::process::Signal;
use serde_json::json;

/// Callers keep to a third of the descriptors.
const CLIENTS: usize = 85;
const MEMORY_LIMIT_KIB: u64 = 32 * 1024;
const TIMEOUT: Duration = Duration::from_secs(60);

fn start_gateway(test: &str) -> (Switch, NameServer, Gateway) {
    let switch = Switch::new();
    let switches = vec![("s-0".into(), switch.address)];
    let names = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let config = node_config(free_address(), names.address, &[("s-0", switch.address)]);
    assert_eq!(config["limits"]["memory_mb"].as_u64(), Some(MEMORY_LIMIT_KIB / 1024));
    let gateway = Gateway::start(test, &config);
    (switch, names, gateway)
}

/// The most memory that the process has held, in KiB.
fn peak_memory_kib(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process_id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the kernel tells the peak");
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// A connection that the gateway has accepted, as it has answered a test on it.
fn connect_and_test(gateway: &Gateway) -> TcpStream {
    let mut caller = gateway.connect_caller();
    caller.send(&json!({"verb": "ECHO", "tag": "00000000000000aa", "opts": {}, "rc": 0}));
    assert_eq!(caller.receive().unwrap()["verb"], "ECHOED");
    caller.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    caller.stream
}

/// Each client has written these bytes before the gateway reads any of them, as far as the kernel takes them.
/// Then all clients write the rest and read to the end of the answers.
fn write_at_once(gateway: &Gateway, bytes: &[u8]) -> Vec<Vec<u8>> {
    let streams: Vec<TcpStream> = (0..CLIENTS).map(|_| connect_and_test(gateway)).collect();
    gateway.send_signal(Signal::STOP);
    let write_some = |mut stream: TcpStream| {
        stream.set_nonblocking(true).unwrap();
        let written = stream.write(bytes).unwrap_or(0);
        stream.set_nonblocking(false).unwrap();
        (stream, written)
    };
    let mut clients: Vec<(TcpStream, usize)> = streams.into_iter().map(write_some).collect();
    gateway.send_signal(Signal::CONT);
    std::thread::scope(|scope| {
        let clients: Vec<_> = clients
            .iter_mut()
            .map(|(stream, written)| {
                scope.spawn(move || {
                    stream.write_all(&bytes[*written..]).unwrap();
                    stream.shutdown(Shutdown::Write).unwrap();
                    let mut answers = Vec::new();
                    let _ = stream.read_to_end(&mut answers);
                    answers
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    })
}

/// Lines with many short options: small in the socket, and several times as large once they are decoded.
fn lines_with_short_options(lines: usize, names: impl Fn(usize) -> String, options: usize) -> Vec<u8> {
    let options: Vec<String> = (0..options).map(|n| format!("\"{}\":{}", names(n), n % 10)).collect();
    let line = |tag| {
        format!(
            "{{\"verb\":\"FINISH\",\"tag\":\"{tag:016x}\",\"opts\":{{{}}},\"rc\":16}}\n",
            options.join(",")
        )
    };
    (0..lines).map(line).collect::<String>().into_bytes()
}

/// Guards against a gateway that is killed for memory because the messages which it has read ahead for hundreds
/// of clients take many times the bytes that it has read.
#[test]
fn messages_of_many_short_options_from_many_clients_stay_within_the_memory_limit() {
    let (_switch, _names, gateway) = start_gateway("client-memory-options");
    write_at_once(&gateway, &lines_with_short_options(260, |n| n.to_string(), 60));
    let peak = peak_memory_kib(&gateway);
    assert!(peak < MEMORY_LIMIT_KIB, "unknown names: {peak} KiB");
    let known = ["left", "key", "class"];
    write_at_once(&gateway, &lines_with_short_options(1600, |n| known[n].to_owned(), known.len()));
    let peak = peak_memory_kib(&gateway);
    assert!(peak < MEMORY_LIMIT_KIB, "known names: {peak} KiB");
}

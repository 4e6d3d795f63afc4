//! The deploy file, and what it starts, as the users' page on the full fleet asks.

mod common;

use common::*;
use serde_json::json;

fn deploy() -> toml::Table {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    std::fs::read_to_string(path).unwrap().parse().unwrap()
}

#[test]
fn run_ends_by_exec_in_one_program_that_the_build_makes() {
    let deploy = deploy();
    let run: Vec<&str> = deploy["run"].as_str().unwrap().split(' ').collect();
    assert_eq!(run, ["exec", "target/adapter/fawnrouter", "node"], "one program, no shell around it");
    let build = deploy["build"].as_str().unwrap();
    assert!(build.contains("--profile adapter") && build.contains("-p fawnrouterd"), "{build}");
    for path in deploy["node"].as_array().unwrap().iter().chain(deploy["policy"].as_array().unwrap()) {
        let path = format!("{}/../../{}", env!("CARGO_MANIFEST_DIR"), path.as_str().unwrap());
        assert!(std::path::Path::new(&path).exists(), "{path}");
    }
}

#[test]
fn the_program_is_linked_dynamically_against_the_c_library() {
    let data = std::fs::read(env!("CARGO_BIN_EXE_fawnrouter")).unwrap();
    let elf = goblin::elf::Elf::parse(&data).unwrap();
    assert!(elf.interpreter.is_some(), "no loader: a static program");
    assert!(elf.libraries.contains(&"libc.so.6"), "{:?}", elf.libraries);
}

/// Other programs, fork and io_uring are refused there, and nothing of another part of the product is on.
#[cfg(target_os = "linux")]
#[test]
fn the_gateway_at_work_has_no_child_no_ring_and_listens_on_its_address_alone() {
    let switch = Switch::new();
    let names = NameServer::new(DnsZone {
        serial: 1,
        switches: vec![("s-1".into(), switch.address)],
        ..DnsZone::default()
    });
    let config = node_config(free_address(), names.address, &[("s-1", switch.address)]);
    let gateway = Gateway::start("deploy", &config);
    let mut caller = gateway.connect_caller();
    caller.send_set_up("9b1f03aa5c7e2d41", 3000);
    let (link, start) = switch.next_message("START");
    send_line(&link, &json!({"verb": "STARTED", "tag": start["tag"], "opts": {}, "blob": "answer"}));
    assert_eq!(caller.receive().unwrap()["verb"], "STARTED");

    let process = std::path::PathBuf::from(format!("/proc/{}", gateway.process_id()));
    for task in std::fs::read_dir(process.join("task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default();
        assert_eq!(children, "", "a child process");
    }
    let open = std::fs::read_dir(process.join("fd")).unwrap();
    let open: Vec<String> = open
        .filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok())
        .map(|target| target.to_string_lossy().into_owned())
        .collect();
    assert!(open.iter().all(|fd| !fd.contains("io_uring")), "{open:?}");
    let sockets = |table: &str, column: usize, of: &dyn Fn(&[&str]) -> bool| -> usize {
        let table = std::fs::read_to_string(process.join("net").join(table)).unwrap_or_default();
        let rows = table.lines().skip(1).map(|row| row.split_whitespace().collect::<Vec<_>>());
        let mine = rows.filter(|row| {
            row.get(column).is_some_and(|inode| open.contains(&format!("socket:[{inode}]"))) && of(row)
        });
        mine.count()
    };
    const LISTENS: &str = "0A";
    assert_eq!(sockets("tcp", 9, &|row| row[3] == LISTENS), 1, "one listener");
    assert_eq!(sockets("tcp6", 9, &|_| true) + sockets("udp6", 9, &|_| true), 0, "IPv4 only");
    assert!(sockets("udp", 9, &|_| true) <= 1, "one socket to the name server");
}

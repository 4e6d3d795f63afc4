//! The end of a call whose caller has changed its connection, on real connections.

mod common;

use common::{DnsZone, Gateway, NameServer, Switch, free_address, node_config, send_line};
use serde_json::json;

/// Guards against callers that are not told of the end of a call because no call has stood yet on the
/// connection that they have changed to.
#[test]
fn caller_that_changed_to_a_connection_with_busy_numbers_only_is_told_of_a_release_there() {
    let (established, busy) = ("ca11000000000001", "ca11000000000002");
    let switch = Switch::new();
    let switches = vec![("s-0".into(), switch.address)];
    let names = NameServer::new(DnsZone { serial: 1, switches, ..DnsZone::default() });
    let config = node_config(free_address(), names.address, &[("s-0", switch.address)]);
    let gateway = Gateway::start("caller-notification", &config);

    let mut first = gateway.connect_caller();
    first.send_set_up(established, 3000);
    let (connection, _) = switch.next_message("START");
    send_line(&connection, &json!({"verb": "STARTED", "tag": established, "opts": {}, "blob": "answer"}));
    assert_eq!(first.receive().unwrap()["verb"], "STARTED");
    drop(first);

    let mut second = gateway.connect_caller();
    second.send_set_up(busy, 3000);
    let (busy_connection, _) = switch.next_message("START");
    let busy_line = json!({"verb": "FINISH", "tag": busy, "opts": {"note": "user_busy"}, "rc": 17});
    send_line(&busy_connection, &busy_line);
    send_line(&connection, &json!({"verb": "FINISH", "tag": established, "opts": {}, "rc": 16}));
    // The release and the final answer of the busy call may come in either order.
    let mut received = [second.receive().unwrap(), second.receive().unwrap()];
    received.sort_by_key(|line| line["tag"].to_string());
    assert_eq!(received[0], json!({"verb": "FINISH", "tag": established, "opts": {}, "rc": 16}));
    assert_eq!((&received[1]["verb"], &received[1]["tag"]), (&json!("FINISH"), &json!(busy)));
}

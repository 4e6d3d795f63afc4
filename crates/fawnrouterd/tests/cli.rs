//! The command line: exit codes, output and error messages.

use std::process::{Command, Output};

fn fawnrouter(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fawnrouter")).args(args).output().expect("the program runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn check_accepts_example_settings() {
    let out = fawnrouter(&["check", "--config", &example("gateway.yaml")]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(String::from_utf8_lossy(&out.stdout).contains("2 switches listed"));
}

#[test]
fn check_reports_file_line_field_and_remedy_and_exits_with_2() {
    let out = fawnrouter(&["check", "--config", &example("switches.yaml")]);
    let text = String::from_utf8_lossy(&out.stderr).into_owned();
    assert_eq!(out.status.code(), Some(2));
    assert!(text.contains("switches.yaml:") && text.contains("gateway is missing; add it"), "{text}");
    let out = fawnrouter(&["run", "--config", "/nowhere/g.yaml"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("cannot be read"));
}

#[test]
fn schema_prints_a_schema() {
    let out = fawnrouter(&["schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    assert!(schema["properties"]["listen"].is_object());
}

#[test]
fn secret_prints_hashed_line_for_clients_file() {
    use std::io::Write;
    let mut child = Command::new(env!("CARGO_BIN_EXE_fawnrouter"))
        .args(["secret", "Mufasa", "--realm", "http-auth@example.org", "--md5"])
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("the program runs");
    child.stdin.take().expect("piped").write_all(b"Circle of Life\n").expect("a line");
    let out = child.wait_with_output().expect("it ends");
    let text = format!("clients:\n{}", String::from_utf8_lossy(&out.stdout));
    let clients = fawnrouterd::config::read_clients("c.yaml", &text).expect("a sound line");
    assert_eq!(clients[0].md5.as_deref(), Some("3d78807defe7de2157e2b0b6573a855f"), "RFC 7616 §3.9.1");
    assert!(!text.contains("Circle"));
}

#[test]
fn admission_without_control_socket_in_settings_exits_with_2() {
    let out = fawnrouter(&["admission", "--config", &example("gateway.yaml")]);
    assert!(String::from_utf8_lossy(&out.stderr).contains("control: is missing; add"));
    assert_eq!(out.status.code(), Some(2));
}

//! The command line, where names of subcommands changed: scripts of users keep the old ones.

use std::process::{Command, Output};

use aldermill_test_support::{Discovery, Driver, config, free_port, list, program, sound};

/// A proxy alone in its fleet, and the path of its status socket.
fn proxy_with_status_socket() -> (Driver, String) {
    let listen = free_port();
    let status = std::env::temp_dir().join(format!("aldermill-command-line-{}-{listen}", std::process::id()));
    let status = status.display().to_string();
    let operator = format!(
        r#"{{"fellows":{{"fleet":"shop","listen":"{listen}","networks":["127.0.0.0/8"],"status":{status:?}}}}}"#
    );
    let member = sound("writer");
    let known = list(1, true, &[("s-a", &member, "in_service")]);
    let config = config(Discovery::default().start(), 256, &known);
    let driver = Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator));
    (driver, status)
}

fn run(arguments: &[&str]) -> Output {
    Command::new(program()).args(arguments).output().unwrap()
}

fn text(output: Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn peers_prints_the_fleet_as_a_table_and_as_json() {
    let (_driver, status) = proxy_with_status_socket();
    let table = text(run(&["peers", &status]));
    assert!(table.starts_with("n0 knows of 1 drivers, itself among them; 1 at most"), "{table}");
    assert_eq!(table.lines().count(), 1, "its own process is no peer: {table}");
    let json: serde_json::Value = serde_json::from_str(&text(run(&["peers", "--json", &status]))).unwrap();
    assert_eq!(json["self"]["name"], "n0");
    std::fs::remove_file(status).unwrap();
}

#[test]
fn the_old_name_fellows_of_the_subcommand_peers_still_works() {
    let (_driver, status) = proxy_with_status_socket();
    assert_eq!(text(run(&["fellows", &status])), text(run(&["peers", &status])));
    let json: serde_json::Value = serde_json::from_str(&text(run(&["fellows", "--json", &status]))).unwrap();
    assert_eq!(json["self"]["name"], "n0");
    std::fs::remove_file(status).unwrap();
}

#[test]
fn the_help_names_peers_alone() {
    let help = text(run(&["--help"]));
    assert!(help.contains("peers") && !help.contains("fellows"), "{help}");
}

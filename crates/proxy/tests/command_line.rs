//! Tests of the command line. Subcommands that were renamed must keep their old names, which users' scripts
//! contain.

use std::process::{Command, Output};

use aldermill_test_support::{Discovery, Driver, config, free_port, list, program, sound};

/// Starts a proxy that is the only one of its fleet, and returns it with the path of its status socket.
fn proxy_with_status_socket() -> (Driver, String) {
    let listen = free_port();
    let status_socket =
        std::env::temp_dir().join(format!("aldermill-command-line-{}-{listen}", std::process::id()));
    let status_socket = status_socket.display().to_string();
    let operator_config = format!(
        r#"{{"fellows":{{"fleet":"shop","listen":"{listen}","networks":["127.0.0.0/8"],"status":{status_socket:?}}}}}"#
    );
    let member = sound("writer");
    let initial_list = list(1, true, &[("s-a", &member, "in_service")]);
    let config = config(Discovery::default().start(), 256, &initial_list);
    let proxy = Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator_config));
    (proxy, status_socket)
}

/// Runs the program with these arguments until it exits.
fn run(arguments: &[&str]) -> Output {
    Command::new(program()).args(arguments).output().unwrap()
}

/// Returns what a run wrote to standard output; panics unless it succeeded.
fn stdout_of_success(output: Output) -> String {
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn peers_prints_the_fleet_as_a_table_and_as_json() {
    let (_proxy, status_socket) = proxy_with_status_socket();
    let table = stdout_of_success(run(&["peers", &status_socket]));
    assert!(table.starts_with("n0 knows of 1 drivers, itself among them; 1 at most"), "{table}");
    assert_eq!(table.lines().count(), 1, "the proxy lists itself as a peer: {table}");
    let json: serde_json::Value =
        serde_json::from_str(&stdout_of_success(run(&["peers", "--json", &status_socket]))).unwrap();
    assert_eq!(json["self"]["name"], "n0");
    std::fs::remove_file(status_socket).unwrap();
}

#[test]
fn the_old_name_fellows_of_the_subcommand_peers_still_works() {
    let (_proxy, status_socket) = proxy_with_status_socket();
    assert_eq!(
        stdout_of_success(run(&["fellows", &status_socket])),
        stdout_of_success(run(&["peers", &status_socket]))
    );
    let json: serde_json::Value =
        serde_json::from_str(&stdout_of_success(run(&["fellows", "--json", &status_socket]))).unwrap();
    assert_eq!(json["self"]["name"], "n0");
    std::fs::remove_file(status_socket).unwrap();
}

#[test]
fn the_help_mentions_only_peers() {
    let help = stdout_of_success(run(&["--help"]));
    assert!(help.contains("peers") && !help.contains("fellows"), "{help}");
}

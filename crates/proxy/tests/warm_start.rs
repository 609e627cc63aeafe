//! Warm starts of the proxy as a child process: saved state is in force at once, and newer state replaces it.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use aldermill_test_support::*;

/// Returns a path for a data directory, at which nothing exists yet.
fn data_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("aldermill-warm-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Returns an operator's configuration with this data directory.
fn operator_config(directory: &Path) -> String {
    format!(r#"{{"warm":{{"folder":{directory:?}}}}}"#)
}

/// Starts a proxy with this discovery service, endpoint list in the configuration (`null` for none) and data
/// directory.
fn start_driver(discovery: &Discovery, configured_list: &str, directory: &Path) -> Driver {
    let config = config(discovery.start(), 256, configured_list);
    Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator_config(directory)))
}

/// Runs `aldermill store` with this subcommand on the data directory. Returns whether it succeeded, and its
/// output including errors.
fn store_command(subcommand: &str, directory: &Path) -> (bool, String) {
    let arguments = ["store", subcommand, directory.to_str().unwrap()];
    let output = std::process::Command::new(program()).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn a_restart_while_discovery_does_not_answer_serves_from_the_saved_list_and_primary() {
    let directory = data_directory("list");
    let (a, b) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service"), ("s-b", &b, "in_service")]));
    let driver = start_driver(&discovery, "null", &directory);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    assert!(served(&client.ask(&order(5000))));
    until("the saved primary", || store_command("dump", &directory).1.contains(r#""member":"s-b""#));
    drop(driver);

    // From now on discovery does not answer, and the configuration contains no endpoint list.
    discovery.mute.store(true, Ordering::SeqCst);
    let requests_before = a.requests().len();
    let driver = start_driver(&discovery, "null", &directory);
    until("the log line", || driver.logged("state restored from data directory, newest_confirmation_age_ms"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!(a.requests().len(), requests_before, "a primary search after the restart");

    let (intact, text) = store_command("check", &directory);
    assert!(intact && text.contains(" 0 bytes of a torn end"), "{text}");
    let (succeeded, text) = store_command("compact", &directory);
    assert!(!succeeded && text.contains("another process has this folder open"), "{text}");
    drop(driver);
    let (succeeded, text) = store_command("compact", &directory);
    assert!(succeeded && text.contains(" now"), "{text}");
    assert!(store_command("dump", &directory).1.contains(r#""member":"s-b""#));
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn a_configured_list_of_a_higher_revision_replaces_the_saved_one() {
    let directory = data_directory("earlier");
    let (a, b) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service")]));
    let driver = start_driver(&discovery, "null", &directory);
    until("the saved list", || store_command("dump", &directory).1.contains("s-a"));
    drop(driver);
    discovery.mute.store(true, Ordering::SeqCst);
    let configured_list = list(8, true, &[("s-a", &a, "terminating"), ("s-b", &b, "in_service")]);
    let driver = start_driver(&discovery, &configured_list, &directory);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!(
        (a.requests().len(), b.requests().len()),
        (0, 1),
        "the configured list, in which the first member drains, is not in force"
    );
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn a_data_directory_of_another_proxy_or_one_that_cannot_be_opened_is_logged_and_not_used() {
    let directory = data_directory("foreign");
    let member = sound("writer");
    let discovery = Discovery::default();
    let configured_list = list(1, true, &[("s-a", &member, "in_service")]);
    let driver = start_driver(&discovery, &configured_list, &directory);
    until("the saved identity", || store_command("dump", &directory).1.contains("n0"));
    drop(driver);
    let other = config(discovery.start(), 256, &configured_list).replace("\"n0\"", "\"n1\"");
    let driver = Driver::with("127.0.0.1:0".parse().unwrap(), &other, Some(&operator_config(&directory)));
    until("the log line", || {
        driver.logged(
            "data directory unavailable, state is neither restored nor saved, error: \
            the data directory belongs to proxy n0",
        )
    });
    assert!(served(&Client::connect(driver.address).ask(&order(5000))));
    drop(driver);
    std::fs::remove_dir_all(&directory).unwrap();
    std::fs::write(&directory, "a file").unwrap();
    let driver = start_driver(&discovery, &configured_list, &directory);
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
    });
    assert!(served(&Client::connect(driver.address).ask(&order(5000))));
    std::fs::remove_file(directory).unwrap();
}

#[test]
fn a_full_disk_is_logged_and_delays_no_request() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let configured_list = list(1, true, &[("s-a", &member, "in_service")]);
    discovery.say(configured_list.clone());
    let config = config(discovery.start(), 256, &configured_list);

    // The disk is full when the proxy starts.
    let full = data_directory("full");
    let driver = Driver::on_full_disk(0, &config, &operator_config(&full));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
            || driver.logged("data directory not writable, state is restored but not saved")
            || driver.logged("state is not saved")
    });
    drop(driver);
    let _ = std::fs::remove_dir_all(full);

    // The disk becomes full while the proxy serves.
    let filling = data_directory("filling");
    let driver = Driver::on_full_disk(8, &config, &operator_config(&filling));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    until("the saved list", || store_command("dump", &filling).1.contains("s-a"));
    let names: Vec<String> = (0..80).map(|number| format!("s-{number:02}")).collect();
    let members: Vec<_> = names.iter().map(|name| (name.as_str(), &member, "in_service")).collect();
    discovery.say(list(2, true, &members));
    until("the log line", || driver.logged("state is not saved"));
    assert!(served(&client.ask(&order(5000))) && !driver.logged("panic"));
    drop(driver);
    let (_, text) = store_command("check", &filling);
    assert!(!text.contains("damaged"), "a full disk damaged the saved state: {text}");
    std::fs::remove_dir_all(filling).unwrap();
}

#[test]
fn a_data_directory_that_cannot_be_opened_at_the_start_is_used_once_it_can() {
    let directory = data_directory("blocked");
    std::fs::write(&directory, "a file").unwrap();
    let member = sound("writer");
    let discovery = Discovery::default();
    discovery.say(list(1, true, &[("s-a", &member, "in_service")]));
    let driver = start_driver(&discovery, "null", &directory);
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
    });
    assert!(!driver.logged("data directory available, state is saved from now on"));
    std::fs::remove_file(&directory).unwrap();
    until("the open directory", || driver.logged("data directory available, state is saved from now on"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the saved primary", || store_command("dump", &directory).1.contains(r#""member":"s-a""#));
    drop(driver);
    std::fs::remove_dir_all(directory).unwrap();
}

#[test]
fn a_data_directory_on_a_full_disk_is_restored_from_and_the_log_says_that_nothing_is_saved() {
    let directory = data_directory("read-only");
    let (a, b) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service"), ("s-b", &b, "in_service")]));
    let driver = start_driver(&discovery, "null", &directory);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the saved primary", || store_command("dump", &directory).1.contains(r#""member":"s-b""#));
    drop(driver);

    discovery.mute.store(true, Ordering::SeqCst);
    let requests_before = a.requests().len();
    let config_without_list = config(discovery.start(), 256, "null");
    let driver = Driver::on_full_disk(0, &config_without_list, &operator_config(&directory));
    until("the restored state", || {
        driver.logged("state restored from data directory, newest_confirmation_age_ms")
    });
    until("the log line", || driver.logged("data directory not writable, state is restored but not saved"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!(a.requests().len(), requests_before, "a primary search after the restart");
    drop(driver);
    assert!(store_command("check", &directory).0);
    std::fs::remove_dir_all(directory).unwrap();
}

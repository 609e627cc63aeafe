//! Warm starts of the built program: saved state is there at once, and gives way to whatever is newer.

use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;

use aldermill_test_support::*;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("aldermill-warm-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn operator(folder: &Path) -> String {
    format!(r#"{{"warm":{{"folder":{folder:?}}}}}"#)
}

fn start(discovery: &Discovery, known: &str, folder: &Path) -> Driver {
    let config = config(discovery.start(), 256, known);
    Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator(folder)))
}

fn tool(work: &str, folder: &Path) -> (bool, String) {
    let arguments = ["store", work, folder.to_str().unwrap()];
    let output = std::process::Command::new(program()).args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn a_restart_while_discovery_is_mute_serves_from_the_saved_list_and_primary() {
    let folder = folder("list");
    let (a, b) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service"), ("s-b", &b, "in_service")]));
    let driver = start(&discovery, "null", &folder);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    assert!(served(&client.ask(&order(5000))));
    until("the primary is saved", || tool("dump", &folder).1.contains(r#""member":"s-b""#));
    drop(driver);

    // Discovery does not answer now, and the configuration has no list.
    discovery.mute.store(true, Ordering::SeqCst);
    let searched = a.requests().len();
    let driver = start(&discovery, "null", &folder);
    until("the log line", || driver.logged("state restored from data directory, newest_confirmation_age_ms"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!(a.requests().len(), searched, "no primary search");

    let (sound, text) = tool("check", &folder);
    assert!(sound && text.contains(" 0 bytes of a torn end"), "{text}");
    let (done, text) = tool("compact", &folder);
    assert!(!done && text.contains("another process has this folder open"), "{text}");
    drop(driver);
    let (done, text) = tool("compact", &folder);
    assert!(done && text.contains(" now"), "{text}");
    assert!(tool("dump", &folder).1.contains(r#""member":"s-b""#));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_saved_list_of_a_lower_revision_gives_way_to_the_configured_one() {
    let folder = folder("earlier");
    let (a, b) = (sound("writer"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service")]));
    let driver = start(&discovery, "null", &folder);
    until("the list is saved", || tool("dump", &folder).1.contains("s-a"));
    drop(driver);
    discovery.mute.store(true, Ordering::SeqCst);
    let known = list(8, true, &[("s-a", &a, "terminating"), ("s-b", &b, "in_service")]);
    let driver = start(&discovery, &known, &folder);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!((a.requests().len(), b.requests().len()), (0, 1), "no request at the draining member");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_data_directory_of_another_proxy_or_one_that_cannot_be_opened_is_logged_and_not_used() {
    let folder = folder("foreign");
    let member = sound("writer");
    let discovery = Discovery::default();
    let known = list(1, true, &[("s-a", &member, "in_service")]);
    let driver = start(&discovery, &known, &folder);
    until("the identity is saved", || tool("dump", &folder).1.contains("n0"));
    drop(driver);
    let other = config(discovery.start(), 256, &known).replace("\"n0\"", "\"n1\"");
    let driver = Driver::with("127.0.0.1:0".parse().unwrap(), &other, Some(&operator(&folder)));
    until("the log line", || {
        driver.logged(
            "data directory unavailable, state is neither restored nor saved, error: \
            the data directory belongs to proxy n0",
        )
    });
    assert!(served(&Client::connect(driver.address).ask(&order(5000))));
    drop(driver);
    std::fs::remove_dir_all(&folder).unwrap();
    std::fs::write(&folder, "a file").unwrap();
    let driver = start(&discovery, &known, &folder);
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
    });
    assert!(served(&Client::connect(driver.address).ask(&order(5000))));
    std::fs::remove_file(folder).unwrap();
}

#[test]
fn a_full_disk_is_logged_and_delays_no_request() {
    let member = sound("writer");
    let discovery = Discovery::default();
    let known = list(1, true, &[("s-a", &member, "in_service")]);
    discovery.say(known.clone());
    let config = config(discovery.start(), 256, &known);

    // Full at the start.
    let full = folder("full");
    let driver = Driver::on_full_disk(0, &config, &operator(&full));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
            || driver.logged("data directory not writable, state is restored but not saved")
            || driver.logged("state is not saved")
    });
    drop(driver);
    let _ = std::fs::remove_dir_all(full);

    // Full while it serves.
    let filling = folder("filling");
    let driver = Driver::on_full_disk(8, &config, &operator(&filling));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty);
    until("the list is saved", || tool("dump", &filling).1.contains("s-a"));
    let names: Vec<String> = (0..80).map(|number| format!("s-{number:02}")).collect();
    let many: Vec<_> = names.iter().map(|name| (name.as_str(), &member, "in_service")).collect();
    discovery.say(list(2, true, &many));
    until("the log line", || driver.logged("state is not saved"));
    assert!(served(&client.ask(&order(5000))) && !driver.logged("panic"));
    drop(driver);
    let (_, text) = tool("check", &filling);
    assert!(!text.contains("damaged"), "what was saved can be read: {text}");
    std::fs::remove_dir_all(filling).unwrap();
}

#[test]
fn a_data_directory_that_cannot_be_opened_at_the_start_is_used_once_it_can() {
    let folder = folder("blocked");
    std::fs::write(&folder, "a file").unwrap();
    let member = sound("writer");
    let discovery = Discovery::default();
    discovery.say(list(1, true, &[("s-a", &member, "in_service")]));
    let driver = start(&discovery, "null", &folder);
    until("the log line", || {
        driver.logged("data directory unavailable, state is neither restored nor saved")
    });
    assert!(!driver.logged("data directory available, state is saved from now on"));
    std::fs::remove_file(&folder).unwrap();
    until("the directory is open", || driver.logged("data directory available, state is saved from now on"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the primary is saved", || tool("dump", &folder).1.contains(r#""member":"s-a""#));
    drop(driver);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_data_directory_on_a_full_disk_is_restored_from_and_the_log_says_that_nothing_is_saved() {
    let folder = folder("read-only");
    let (a, b) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    discovery.say(list(7, true, &[("s-a", &a, "in_service"), ("s-b", &b, "in_service")]));
    let driver = start(&discovery, "null", &folder);
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    until("the primary is saved", || tool("dump", &folder).1.contains(r#""member":"s-b""#));
    drop(driver);

    discovery.mute.store(true, Ordering::SeqCst);
    let searched = a.requests().len();
    let known = config(discovery.start(), 256, "null");
    let driver = Driver::on_full_disk(0, &known, &operator(&folder));
    until("state is restored", || {
        driver.logged("state restored from data directory, newest_confirmation_age_ms")
    });
    until("the log line", || driver.logged("data directory not writable, state is restored but not saved"));
    let mut client = Client::connect(driver.address);
    assert!(client.ask("").empty && served(&client.ask(&order(5000))));
    assert_eq!(a.requests().len(), searched, "no primary search");
    drop(driver);
    assert!(tool("check", &folder).0);
    std::fs::remove_dir_all(folder).unwrap();
}

//! Processes that know of one another, from outside: mixed-up fleets, a name used twice, noise, an end.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

use aldermill_test_support::*;

/// A driver that hears others there, and where it says what it knows.
struct Fellow {
    driver: Driver,
    status: PathBuf,
}

impl Fellow {
    fn start(name: &str, fleet: &str, listen: SocketAddr, peers: &[SocketAddr]) -> Fellow {
        let status = std::env::temp_dir().join(format!("aldermill-fellow-{}-{}", std::process::id(), listen));
        let peers: Vec<String> = peers.iter().map(|peer| format!(r#"{{"address":"{peer}"}}"#)).collect();
        let operator = format!(
            r#"{{"fellows":{{"fleet":"{fleet}","listen":"{listen}","networks":["127.0.0.0/8"],"peers":[{}],"status":{status:?}}}}}"#,
            peers.join(",")
        );
        let member = sound("writer");
        let known = list(1, true, &[("s-a", &member, "in_service")]);
        let config =
            config(Discovery::default().start(), 256, &known).replace("\"n0\"", &format!("\"{name}\""));
        let driver = Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator));
        Fellow { driver, status }
    }

    /// What `aldermill fellows` says of it.
    fn says(&self, as_json: bool) -> String {
        let mut command = std::process::Command::new(program());
        command.arg("fellows");
        if as_json {
            command.arg("--json");
        }
        let output = command.arg(&self.status).output().unwrap();
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap()
    }

    fn sees(&self, alive: usize) -> bool {
        self.says(true).contains(&format!(r#""alive":{alive},"#))
    }
}

impl Drop for Fellow {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.status);
    }
}

fn places(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_port()).collect()
}

#[test]
fn two_fleets_that_were_given_each_others_addresses_stay_apart() {
    let at = places(4);
    let names = ["n0", "n1", "n2", "n3"];
    let start = |of: usize| Fellow::start(names[of], if of < 2 { "shop" } else { "bank" }, at[of], &at);
    let fellows: Vec<Fellow> = (0..4).map(start).collect();
    until("each finds its own", || fellows.iter().all(|fellow| fellow.sees(2)));
    until("the others are counted", || {
        fellows.iter().all(|fellow| !fellow.says(true).contains(r#""fleet":0"#))
    });
    assert!(fellows.iter().all(|fellow| fellow.sees(2)), "and no more than those");
    let table = fellows[0].says(false);
    assert!(table.starts_with("n0 knows of 2 drivers") && table.contains("n1 "), "{table}");
}

#[test]
fn of_two_with_one_name_the_earlier_falls_silent_and_says_so() {
    let at = places(3);
    let other = Fellow::start("n1", "shop", at[0], &at);
    let earlier = Fellow::start("n0", "shop", at[1], &at);
    until("they find each other", || other.sees(2) && earlier.sees(2));
    let later = Fellow::start("n0", "shop", at[2], &at);
    until("the line", || earlier.driver.logged("a later start has this name, silent from now on"));
    until("the later one counts", || {
        other.sees(2) && later.sees(2) && other.says(true).contains(&at[2].to_string())
    });
    // It serves all the same.
    assert!(Client::connect(earlier.driver.address).ask("").empty);
}

#[test]
fn noise_harms_nothing_and_an_end_is_known_at_once() {
    let at = places(3);
    let fellows: Vec<Fellow> = ["n0", "n1", "n2"]
        .iter()
        .zip(&at)
        .map(|(name, &listen)| Fellow::start(name, "shop", listen, &at))
        .collect();
    until("they find each other", || fellows.iter().all(|fellow| fellow.sees(3)));
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in 0..1500 {
        let noise: Vec<u8> = (0..size).map(|at| (at * 31 + size) as u8).collect();
        stranger.send_to(&noise, at[0]).unwrap();
    }
    until("it is counted", || !fellows[0].says(true).contains(r#""not_ours":0"#));
    assert!(fellows[0].sees(3));
    fellows[2].driver.signal("-TERM");
    until("its end is known", || fellows[0].sees(2) && fellows[1].sees(2));
    assert!(fellows[0].driver.logged("fellow down, fellow: n2"));
    assert!(Client::connect(fellows[0].driver.address).ask("").empty);
}

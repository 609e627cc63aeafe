//! Tests of a fleet of proxies, each a separate process: fleets with mixed-up seed addresses, a duplicate
//! name, random datagrams, and a shutdown.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

use aldermill_test_support::*;

/// A proxy that is part of a fleet, and its status socket. The socket's file is removed on drop.
struct Peer {
    process: Driver,
    status_socket: PathBuf,
}

impl Peer {
    /// Starts a proxy that listens for datagrams of its peers at `listen` and contacts `seeds`.
    fn start(name: &str, fleet: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> Peer {
        let socket_name = format!("aldermill-peer-{}-{}", std::process::id(), listen);
        let status_socket = std::env::temp_dir().join(socket_name);
        let seeds: Vec<String> = seeds.iter().map(|seed| format!(r#"{{"address":"{seed}"}}"#)).collect();
        let seeds = seeds.join(",");
        let operator = format!(
            r#"{{"membership":{{"fleet":"{fleet}","listen":"{listen}","networks":["127.0.0.0/8"],"peers":[{seeds}],"status":{status_socket:?}}}}}"#
        );
        let member = sound("writer");
        let initial_list = list(1, true, &[("s-a", &member, "in_service")]);
        let config = config(Discovery::default().start(), 256, &initial_list)
            .replace("\"n0\"", &format!("\"{name}\""));
        let process = Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator));
        Peer { process, status_socket }
    }

    /// Returns what the `peers` subcommand prints for this proxy, errors included.
    fn status(&self, as_json: bool) -> String {
        let mut command = std::process::Command::new(program());
        command.arg("peers");
        if as_json {
            command.arg("--json");
        }
        let output = command.arg(&self.status_socket).output().unwrap();
        String::from_utf8([output.stdout, output.stderr].concat()).unwrap()
    }

    /// Returns whether the status says that this many proxies are alive, this one included.
    fn reports_alive(&self, alive: usize) -> bool {
        self.status(true).contains(&format!(r#""alive":{alive},"#))
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.status_socket);
    }
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(|_| free_port()).collect()
}

#[test]
fn two_fleets_with_each_others_addresses_do_not_merge() {
    let addresses = free_addresses(4);
    let names = ["n0", "n1", "n2", "n3"];
    let fleet = |index: usize| if index < 2 { "shop" } else { "bank" };
    let start = |index: usize| Peer::start(names[index], fleet(index), addresses[index], &addresses);
    let peers: Vec<Peer> = (0..4).map(start).collect();
    until("the discovery of each proxy's own fleet", || peers.iter().all(|peer| peer.reports_alive(2)));
    until("the count of the other fleet's datagrams", || {
        peers.iter().all(|peer| !peer.status(true).contains(r#""fleet":0"#))
    });
    assert!(peers.iter().all(|peer| peer.reports_alive(2)), "proxies of the other fleet are not counted");
    let table = peers[0].status(false);
    assert!(table.starts_with("n0 knows of 2 drivers") && table.contains("n1 "), "{table}");
}

#[test]
fn the_earlier_of_two_proxies_with_one_name_stops_sending_and_logs_it() {
    let addresses = free_addresses(3);
    let peer = Peer::start("n1", "shop", addresses[0], &addresses);
    let earlier = Peer::start("n0", "shop", addresses[1], &addresses);
    until("the mutual discovery of all proxies", || peer.reports_alive(2) && earlier.reports_alive(2));
    let later = Peer::start("n0", "shop", addresses[2], &addresses);
    until("the log line of the earlier proxy", || {
        earlier.process.logged("superseded by a later start of this name, silent from now on")
    });
    until("the replacement of the earlier proxy by the later one", || {
        peer.reports_alive(2)
            && later.reports_alive(2)
            && peer.status(true).contains(&addresses[2].to_string())
    });
    // The earlier proxy still serves its clients.
    assert!(Client::connect(earlier.process.address).ask("").empty);
}

#[test]
fn random_datagrams_are_ignored_and_a_shutdown_is_noticed() {
    let addresses = free_addresses(3);
    let peers: Vec<Peer> = ["n0", "n1", "n2"]
        .iter()
        .zip(&addresses)
        .map(|(name, &listen)| Peer::start(name, "shop", listen, &addresses))
        .collect();
    until("the mutual discovery of all proxies", || peers.iter().all(|peer| peer.reports_alive(3)));
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for size in 0..1500 {
        let datagram: Vec<u8> = (0..size).map(|index| (index * 31 + size) as u8).collect();
        sender.send_to(&datagram, addresses[0]).unwrap();
    }
    until("the count of random datagrams", || !peers[0].status(true).contains(r#""not_ours":0"#));
    assert!(peers[0].reports_alive(3));
    peers[2].process.signal("-TERM");
    until("the notice of the shutdown", || peers[0].reports_alive(2) && peers[1].reports_alive(2));
    assert!(peers[0].process.logged("peer down, peer: n2"));
    assert!(Client::connect(peers[0].process.address).ask("").empty);
}

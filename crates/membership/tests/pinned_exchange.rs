//! The datagrams that two proxies with fixed seeds exchange from the first announcement to a departure, as literals.

use std::net::{IpAddr, SocketAddr};

use aldermill_membership::{Actions, Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress};

const HOME: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
const UNTIL: Micros = 1_500_000;

const PINNED: &[(&str, &str)] = &[
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 \
        00000000000000000000 000000 047f0000011b5a 07",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 080000",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 090001 016200000000000003e8 0000 \
        047f0000011b5a 000001",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 090001 016100000000000003e8 0000 \
        047f0000011b59 000001",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 090001 016200000000000003e8 0000 \
        047f0000011b5a 000001",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 090001 016100000000000003e8 0000 \
        047f0000011b59 000001",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 07",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 080000",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 07",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 080000",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 07",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 01010000",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 080000",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 02010000",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 07",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 01010000",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 080000",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 02010000",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 07",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 080000",
    ),
    (
        "b",
        "a1df 01 253b4cbb4d17757b 00 016200000000000003e8 0000 047f0000011b5a 0000 \
        016100000000000003e8 0000 047f0000011b59 07",
    ),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 080000",
    ),
    ("a", "a1df 01 253b4cbb4d17757b 02 016100000000000003e8 0000 047f0000011b59 7061796c6f6164"),
    (
        "a",
        "a1df 01 253b4cbb4d17757b 00 016100000000000003e8 0000 047f0000011b59 0000 \
        016200000000000003e8 0000 047f0000011b5a 090001 016100000000000003e8 0000 \
        047f0000011b59 000003",
    ),
];

fn address(port: u16) -> SocketAddr {
    SocketAddr::new(HOME, port)
}

fn start(name: &str, port: u16, seeds: Vec<SeedAddress>, seed: u64) -> (Membership, Actions) {
    let local =
        LocalPeer { fleet: "alder".to_owned(), name: name.to_owned(), address: address(port), start: 1000 };
    let networks = vec!["127.0.0.0/8".parse().unwrap()];
    let config =
        Config { local, seeds, networks, periods: ProtocolPeriods::for_fleet_size(2), fleet_size: 2 };
    Membership::start(0, config, seed)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn sent_by(proxy: usize, actions: Actions) -> impl Iterator<Item = (usize, Vec<u8>)> {
    actions.send.into_iter().map(move |datagram| (proxy, datagram.bytes))
}

/// Carries each datagram at once, and wakes whoever wants it first; returns the sender's name and the datagram.
fn exchange() -> Vec<(&'static str, String)> {
    let seeds = vec![SeedAddress { name: None, address: address(7002) }];
    let (a, first) = start("a", 7001, seeds, 1);
    let (b, second) = start("b", 7002, Vec::new(), 2);
    let mut proxies = [a, b];
    let mut wake_at = [first.wake_at, second.wake_at];
    let mut sent = Vec::new();
    let mut in_flight: Vec<(usize, Vec<u8>)> = sent_by(0, first).collect();
    let mut now = 0;
    loop {
        while !in_flight.is_empty() {
            let (from, bytes) = in_flight.remove(0);
            let to = 1 - from;
            sent.push((["a", "b"][from], hex(&bytes)));
            let actions = proxies[to].receive(now, HOME, &bytes);
            wake_at[to] = actions.wake_at;
            in_flight.extend(sent_by(to, actions));
        }
        let next = if wake_at[0] <= wake_at[1] { 0 } else { 1 };
        now = wake_at[next].expect("both live");
        if now > UNTIL {
            break;
        }
        let actions = proxies[next].wake(now);
        wake_at[next] = actions.wake_at;
        in_flight.extend(sent_by(next, actions));
    }
    let bytes = proxies[0].encode_payload("b", b"payload").expect("a knows b").bytes;
    sent.push(("a", hex(&bytes)));
    assert_eq!(proxies[1].receive(now, HOME, &bytes).payloads[0].payload, b"payload");
    let farewell = proxies[0].leave();
    sent.extend(sent_by(0, farewell).map(|(_, bytes)| ("a", hex(&bytes))));
    sent
}

#[test]
fn an_exchange_of_two_proxies_keeps_its_datagrams() {
    let sent = exchange();
    let pinned: Vec<_> = PINNED.iter().map(|&(from, datagram)| (from, datagram.replace(' ', ""))).collect();
    assert_eq!(sent, pinned);
}

//! Pins the datagrams that two proxies with fixed random seeds exchange, from the first announcement until
//! one of them leaves, to literal bytes.

use std::net::{IpAddr, SocketAddr};

use aldermill_membership::{Actions, Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress};

const LOCALHOST: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);
/// Virtual time after which the proxies are no longer woken.
const END_TIME: Micros = 1_500_000;

/// Sender's name and hexadecimal digits of each datagram, in order. The last two datagrams are a payload and
/// the notice that the proxy `a` leaves.
const PINNED_DATAGRAMS: &[(&str, &str)] = &[
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
    SocketAddr::new(LOCALHOST, port)
}

/// Starts a proxy of a fleet of two with a fixed start number. `seed` seeds its random number generators.
fn start(name: &str, port: u16, seeds: Vec<SeedAddress>, seed: u64) -> (Membership, Actions) {
    let local =
        LocalPeer { fleet: "alder".to_owned(), name: name.to_owned(), address: address(port), start: 1000 };
    let networks = vec!["127.0.0.0/8".parse().unwrap()];
    let config =
        Config { local, seeds, networks, periods: ProtocolPeriods::for_fleet_size(2), fleet_size: 2 };
    Membership::start(0, config, seed)
}

/// Formats bytes as hexadecimal digits without spaces.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the datagrams to send, each with the index of the sending proxy.
fn datagrams_of(proxy: usize, actions: Actions) -> impl Iterator<Item = (usize, Vec<u8>)> {
    actions.send.into_iter().map(move |datagram| (proxy, datagram.bytes))
}

/// Runs two proxies, with datagrams delivered at once and the proxy whose wake is due first woken next.
/// Returns the sender's name and the hexadecimal digits of each datagram, in order.
fn exchange() -> Vec<(&'static str, String)> {
    let seeds = vec![SeedAddress { name: None, address: address(7002) }];
    let (a, actions_of_a) = start("a", 7001, seeds, 1);
    let (b, actions_of_b) = start("b", 7002, Vec::new(), 2);
    let mut proxies = [a, b];
    let mut wake_at = [actions_of_a.wake_at, actions_of_b.wake_at];
    let mut sent = Vec::new();
    let mut in_flight: Vec<(usize, Vec<u8>)> = datagrams_of(0, actions_of_a).collect();
    let mut now = 0;
    loop {
        while !in_flight.is_empty() {
            let (from, bytes) = in_flight.remove(0);
            let to = 1 - from;
            sent.push((["a", "b"][from], hex(&bytes)));
            let actions = proxies[to].receive(now, LOCALHOST, &bytes);
            wake_at[to] = actions.wake_at;
            in_flight.extend(datagrams_of(to, actions));
        }
        let next_to_wake = if wake_at[0] <= wake_at[1] { 0 } else { 1 };
        now = wake_at[next_to_wake].expect("neither proxy has stopped");
        if now > END_TIME {
            break;
        }
        let actions = proxies[next_to_wake].wake(now);
        wake_at[next_to_wake] = actions.wake_at;
        in_flight.extend(datagrams_of(next_to_wake, actions));
    }
    let bytes =
        proxies[0].encode_payload("b", b"payload").expect("proxy a knows the address of proxy b").bytes;
    sent.push(("a", hex(&bytes)));
    assert_eq!(proxies[1].receive(now, LOCALHOST, &bytes).payloads[0].payload, b"payload");
    let leave_actions = proxies[0].leave();
    sent.extend(datagrams_of(0, leave_actions).map(|(_, bytes)| ("a", hex(&bytes))));
    sent
}

#[test]
fn an_exchange_of_two_proxies_keeps_its_datagrams() {
    let sent = exchange();
    let pinned: Vec<_> =
        PINNED_DATAGRAMS.iter().map(|&(from, datagram)| (from, datagram.replace(' ', ""))).collect();
    assert_eq!(sent, pinned);
}

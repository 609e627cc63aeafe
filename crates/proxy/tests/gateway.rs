//! Tests of two sites that run the built program. The connections between them pass a relay that the tests use to
//! delay, hold back and cut them. The members count how often each write took effect.

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    BACK, Cable, Client, Driver, Ledger, Said, Site, THERE, config, file, look, named, new_id, order,
    program, served, until,
};

/// Shorthand for [`Duration::from_millis`].
const MILLIS: fn(u64) -> Duration = Duration::from_millis;

/// Starts sites 0 and 1, returned as local and remote, and the relay through which the local site opens its links.
/// The local site has `members` members, the remote site two. The primary is at the remote site.
fn start_two_sites(members: usize) -> (Site, Site, Cable, Ledger) {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut local = Site::new(0, members, &ledger, |settings| settings);
    let mut remote = Site::new(1, 2, &ledger, |settings| settings);
    let relay = Cable::to(remote.links);
    remote.start(&[(0, None)]);
    local.start(&[(1, Some(relay.address))]);
    until("a link between the sites", || local.driver().logged("link up"));
    until("a forwarded write", || served(&local.client().ask(&order(3000))));
    (local, remote, relay, ledger)
}

/// Sends a write under a new id. Returns its response, `None` if the connection ended without one, and how often it
/// took effect by then.
fn send_write(client: &mut Client, ledger: &Ledger, timeout_ms: u32) -> (Option<Said>, u32) {
    let id = new_id();
    let response = client.offer(&named(&order(timeout_ms), &id)).then(|| client.answer()).flatten();
    let executions = ledger.runs(&id);
    if let Some(response) = &response {
        assert!(response.code != "53300" || executions == 0, "rejected, but it ran {executions} times");
        assert!(response.value.is_none() || executions == 1, "served, but it ran {executions} times");
    }
    (response, executions)
}

/// Returns `served` for a value, `none` for no response, and the error code otherwise.
fn response_code(response: &Option<Said>) -> &str {
    response
        .as_ref()
        .map_or("none", |response| if response.value.is_some() { "served" } else { response.code.as_str() })
}

#[test]
fn writes_are_forwarded_to_the_primarys_site_and_reads_stay_local() {
    let (local, remote, relay, ledger) = start_two_sites(1);
    let mut client = local.client();
    let requests_before = (local.members[0].requests().len(), remote.members[0].requests().len());
    assert!((0..20).all(|_| served(&client.ask(&order(3000))) && served(&client.ask(&look(3000)))));
    let count_reads = |site: &Site| {
        site.members
            .iter()
            .flat_map(|member| member.requests())
            .filter(|text| text.contains("SELECT"))
            .count()
    };
    assert_eq!((count_reads(&local), count_reads(&remote)), (20, 0));
    assert!(remote.members[0].requests().len() >= requests_before.1 + 20);
    // Once the primary's site is known, the local members are no longer searched for it.
    assert!(local.members[0].requests().len() <= requests_before.0 + 20 + 4);
    assert!(ledger.doubles().is_empty() && relay.carried()[THERE] > 0);
    // Values larger than a frame arrive complete in both directions.
    let large = order(5000).replace("9f", &"9f".repeat(50_000));
    assert!(served(&client.ask(&large)));
    let sites_output = Command::new(program()).arg("sites").arg(local.status()).output().unwrap();
    let sites_output = String::from_utf8(sites_output.stdout).unwrap();
    assert!(
        sites_output.contains("\"home\": \"site1\"") && sites_output.contains("\"links\": 2"),
        "{sites_output}"
    );
}

#[test]
fn a_site_without_members_of_a_group_forwards_every_request() {
    let (local, _remote, _relay, _) = start_two_sites(0);
    let mut client = local.client();
    assert!((0..10).all(|_| served(&client.ask(&order(3000))) && served(&client.ask(&look(3000)))));
}

#[test]
fn a_link_cut_at_any_byte_duplicates_no_effect() {
    let (local, _remote, relay, ledger) = start_two_sites(1);
    let mut client = local.client();
    let mut responses_by_code = std::collections::BTreeMap::<String, usize>::new();
    for round in 0..24 {
        // The frames of a request and its response are about 250 bytes long, with heartbeats in between.
        relay.cut_after([THERE, BACK][round % 2], 17 * (round / 2));
        let (response, executions) = send_write(&mut client, &ledger, 3000);
        assert!(executions <= 1 && response.is_some(), "{executions}");
        *responses_by_code.entry(response_code(&response).to_owned()).or_default() += 1;
    }
    println!("{responses_by_code:?}");
    assert!(ledger.doubles().is_empty(), "{:?}", ledger.doubles());
    // Most outcomes are still known from the outcome log: a cut on its own fails no request.
    assert!(responses_by_code["served"] >= 20, "{responses_by_code:?}");
    assert!(relay.cuts() >= 16, "{}", relay.cuts());
}

#[test]
fn moving_the_primary_between_sites_with_requests_in_flight_duplicates_no_effect() {
    let (local, remote, relay, ledger) = start_two_sites(2);
    relay.delay(MILLIS(10));
    ledger.work.store(5, Ordering::SeqCst);
    let mover = {
        let primary_site = ledger.home.clone();
        thread::spawn(move || {
            for site in [0, 1, 0, 1] {
                thread::sleep(MILLIS(700));
                primary_site.store(site, Ordering::SeqCst);
            }
        })
    };
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (mut client, ledger) = ([&local, &remote][number % 2].client(), ledger.clone());
            thread::spawn(move || {
                let start = Instant::now();
                let mut counts = (0, 0);
                while start.elapsed() < MILLIS(3500) {
                    let (response, _) = send_write(&mut client, &ledger, 3000);
                    counts.0 += 1;
                    counts.1 += usize::from(response_code(&response) == "served");
                    thread::sleep(MILLIS(5));
                }
                counts
            })
        })
        .collect();
    let counts: Vec<(usize, usize)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    mover.join().unwrap();
    let (request_count, served_count) =
        counts.iter().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
    assert!(ledger.doubles().is_empty());
    assert!(
        request_count > 200 && served_count * 10 >= request_count * 9,
        "{served_count} of {request_count}"
    );
}

#[test]
fn a_half_open_link_is_detected_and_late_frames_duplicate_no_effect() {
    let (local, _remote, relay, ledger) = start_two_sites(1);
    for direction in [THERE, BACK] {
        let mut client = local.client();
        relay.hold(direction, true);
        let start = Instant::now();
        let (response, _) = send_write(&mut client, &ledger, 2500);
        assert!(response.is_some() && start.elapsed() < MILLIS(2600), "{:?}", start.elapsed());
        // All held frames arrive at once, on links that have been closed in the meantime.
        relay.hold(direction, false);
        thread::sleep(MILLIS(300));
        until("a served write after the failure", || {
            response_code(&send_write(&mut client, &ledger, 2500).0) == "served"
        });
    }
    assert!(ledger.doubles().is_empty());
    assert!(local.driver().logged("link down"));
}

#[test]
fn a_restarted_receiver_without_saved_outcomes_fails_requests_and_duplicates_no_effect() {
    let (local, mut remote, _relay, ledger) = start_two_sites(1);
    ledger.work.store(400, Ordering::SeqCst);
    let mut clients: Vec<Client> = (0..4).map(|_| local.client()).collect();
    let ids: Vec<String> = (0..4).map(|_| new_id()).collect();
    clients.iter_mut().zip(&ids).for_each(|(client, id)| client.send(&named(&order(5000), id)));
    until("the execution of all writes", || ids.iter().all(|id| ledger.runs(id) == 1));
    let mut proxy = remote.driver.take().unwrap();
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    drop(proxy);
    remote.start(&[(0, None)]);
    let start = Instant::now();
    for client in &mut clients {
        assert_eq!(client.answer().unwrap().code, "40003");
    }
    // The requests fail as soon as the handshake shows a new incarnation, not at their deadline.
    assert!(start.elapsed() < MILLIS(4500), "{:?}", start.elapsed());
    until("a served write after the failure", || {
        response_code(&send_write(&mut clients[0], &ledger, 3000).0) == "served"
    });
    assert!(ledger.doubles().is_empty());
}

#[test]
fn a_remote_rejection_is_passed_on_at_once_with_its_retry_after() {
    let (local, _remote, _relay, ledger) = start_two_sites(1);
    ledger.full.store(1, Ordering::SeqCst);
    let mut client = local.client();
    let start = Instant::now();
    let (response, executions) = send_write(&mut client, &ledger, 10_000);
    assert_eq!((response_code(&response), executions), ("53300", 0));
    assert!(response.unwrap().detail.parse::<u32>().is_ok_and(|millis| millis <= 500));
    assert!(start.elapsed() < MILLIS(6000), "{:?}", start.elapsed());
    ledger.full.store(0, Ordering::SeqCst);
    until("a served write after the failure", || {
        response_code(&send_write(&mut client, &ledger, 3000).0) == "served"
    });
}

#[test]
fn a_lost_client_fails_only_its_request_and_none_too_late_for_an_answer_is_forwarded() {
    let (local, _remote, relay, ledger) = start_two_sites(1);
    ledger.work.store(200, Ordering::SeqCst);
    for _ in 0..5 {
        let mut client = local.client();
        client.send(&order(3000));
        thread::sleep(MILLIS(30));
    }
    ledger.work.store(0, Ordering::SeqCst);
    relay.delay(MILLIS(150));
    let mut client = local.client();
    until("a served write, from which the round trip is known", || {
        response_code(&send_write(&mut client, &ledger, 5000).0) == "served"
    });
    thread::sleep(MILLIS(1500));
    let (mut client, executed_ids) = (local.client(), ledger.len());
    let start = Instant::now();
    let (response, executions) = send_write(&mut client, &ledger, 200);
    assert_eq!((response_code(&response), executions, ledger.len()), ("53300", 0, executed_ids));
    assert!(start.elapsed() < MILLIS(150), "{:?}", start.elapsed());
    assert_eq!(response_code(&send_write(&mut client, &ledger, 3000).0), "served");
    assert!(ledger.doubles().is_empty());
}

#[test]
fn a_gateway_that_shuts_down_answers_accepted_requests_and_receives_no_more() {
    let (local, mut remote, _relay, ledger) = start_two_sites(1);
    ledger.work.store(300, Ordering::SeqCst);
    let mut clients: Vec<Client> = (0..6).map(|_| local.client()).collect();
    let ids: Vec<String> = (0..6).map(|_| new_id()).collect();
    clients.iter_mut().zip(&ids).for_each(|(client, id)| client.send(&named(&order(4000), id)));
    until("the execution of all writes", || ids.iter().all(|id| ledger.runs(id) == 1));
    remote.driver().signal("-TERM");
    assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())));
    let mut proxy = remote.driver.take().unwrap();
    assert!(proxy.child.wait().unwrap().success());
    // Without a gateway at the remote site, a write is rejected before its deadline and takes no effect.
    let (response, executions) = send_write(&mut clients[0], &ledger, 1200);
    assert_eq!((response_code(&response), executions), ("53300", 0));
}

#[test]
fn malformed_bytes_and_unknown_peers_close_only_their_own_link() {
    let (local, remote, _relay, ledger) = start_two_sites(1);
    // Bytes that are not valid frames. Below, a gateway whose site is not among the peers.
    for bytes in [&b"\x00\x00\x00\x03abc"[..], b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"] {
        let mut stream = TcpStream::connect(remote.links).unwrap();
        stream.write_all(bytes).unwrap();
        let mut remaining = Vec::new();
        let _ = std::io::Read::read_to_end(&mut stream, &mut remaining);
    }
    until("the rejection of malformed bytes", || remote.driver().logged("link rejected"));
    let unknown_peer_operator_config = format!(
        r#"{{"gateway":{{"site":"site9","peers":[{{"site":"site1","addresses":["{}"],"links":1}}]}}}}"#,
        remote.links
    );
    let proxy_config = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    let unknown_peer =
        Driver::with("127.0.0.1:0".parse().unwrap(), &proxy_config, Some(&unknown_peer_operator_config));
    until("the rejection of an unknown site", || remote.driver().logged("none of this gateway's peers"));
    until("the reason of the rejection at the unknown peer", || {
        unknown_peer.logged("none of this gateway's peers")
    });
    assert_eq!(response_code(&send_write(&mut local.client(), &ledger, 3000).0), "served");
    // `check` rejects an operator configuration that names the gateway's own site as a peer.
    let invalid_operator_config_path =
        file("operator", r#"{"gateway":{"site":"a","peers":[{"site":"a","networks":["::1/128"]}]}}"#);
    let proxy_config_path = file("config", &proxy_config);
    let output = Command::new(program())
        .args(["check", "--config"])
        .arg(&proxy_config_path)
        .arg("--operator")
        .arg(&invalid_operator_config_path)
        .output()
        .unwrap();
    assert!(String::from_utf8(output.stderr).unwrap().contains("gateway.peers[0].site"));
    assert!(!output.status.success());
    std::fs::remove_file(proxy_config_path).unwrap();
    std::fs::remove_file(invalid_operator_config_path).unwrap();
}

/// A gateway with a data directory reports which requests its previous incarnation never accepted, so that they are
/// served elsewhere or by the current incarnation. Without a data directory, they fail.
#[test]
fn a_restarted_gateway_reports_what_its_previous_incarnation_never_accepted() {
    let (local, mut remote, relay, ledger) = start_two_sites(1);
    let data_directory =
        std::env::temp_dir().join(format!("aldermill-recording-promise-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data_directory);
    remote.warm = Some(data_directory.clone());
    let restart = |remote: &mut Site| {
        remote.driver = None;
        remote.start(&[(0, None)]);
    };
    restart(&mut remote);
    relay.cut(false);
    until("a forwarded write after the restart", || served(&local.client().ask(&order(3000))));
    let dump =
        || Command::new(program()).args(["store", "dump"]).arg(&data_directory).output().unwrap().stdout;
    until("the saved recording promise", || String::from_utf8_lossy(&dump()).contains("\"space\":7"));
    relay.hold(THERE, true);
    let (id, mut client) = (new_id(), local.client());
    client.send(&named(&order(20_000), &id));
    let sites = || Command::new(program()).arg("sites").arg(local.status()).output().unwrap().stdout;
    until("the forwarded request in the status output", || {
        String::from_utf8_lossy(&sites()).contains("\"tasks\": 1")
    });
    restart(&mut remote);
    relay.cut(false);
    relay.hold(THERE, false);
    assert!(served(&client.answer().expect("the connection ended without a response")));
    assert_eq!(ledger.runs(&id), 1);
    std::fs::remove_dir_all(data_directory).unwrap();
}

/// Returns the response to a write that took effect at the remote site, whose outcome is held back on the link
/// while the remote gateway is killed and started again.
fn outcome_across_a_restart(with_data_directory: bool) -> Said {
    let (local, mut remote, relay, ledger) = start_two_sites(1);
    let data_directory = std::env::temp_dir()
        .join(format!("aldermill-outcome-log-{}-{with_data_directory}", std::process::id()));
    let _ = std::fs::remove_dir_all(&data_directory);
    remote.warm = with_data_directory.then(|| data_directory.clone());
    let restart = |remote: &mut Site| {
        remote.driver = None;
        remote.start(&[(0, None)]);
    };
    restart(&mut remote);
    relay.cut(false);
    until("a forwarded write after the restart", || served(&local.client().ask(&order(3000))));
    relay.hold(BACK, true);
    let (id, mut client) = (new_id(), local.client());
    client.send(&named(&order(20_000), &id));
    until("the execution of the write", || ledger.runs(&id) == 1);
    if with_data_directory {
        let dump =
            || Command::new(program()).args(["store", "dump"]).arg(&data_directory).output().unwrap().stdout;
        let served = || String::from_utf8_lossy(&dump()).matches("\"space\":6,\"value\":\"H").count();
        until("the saved outcome of the write", || served() >= 2);
    }
    restart(&mut remote);
    relay.cut(false);
    relay.hold(BACK, false);
    let response = client.answer().expect("the connection ended without a response");
    assert_eq!(ledger.runs(&id), 1);
    let _ = std::fs::remove_dir_all(data_directory);
    response
}

#[test]
fn a_restarted_gateway_answers_for_its_previous_incarnation_from_the_saved_outcome_log() {
    assert!(served(&outcome_across_a_restart(true)));
    assert_eq!(
        outcome_across_a_restart(false).code,
        "40003",
        "without a data directory the outcome is unknown"
    );
}

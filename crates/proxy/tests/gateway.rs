//! Two sites of the built program, with a link between them that a test delays, holds and cuts. Effects are counted at the
//! members.

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

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Sites 0 and 1; the first opens its links through a proxied connection. The primary is at site 1.
fn pair(members: usize) -> (Site, Site, Cable, Ledger) {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut near = Site::new(0, members, &ledger, |terms| terms);
    let mut far = Site::new(1, 2, &ledger, |terms| terms);
    let cable = Cable::to(far.links);
    far.start(&[(0, None)]);
    near.start(&[(1, Some(cable.address))]);
    until("a link", || near.driver().logged("link up"));
    until("a write is forwarded", || served(&near.client().ask(&order(3000))));
    (near, far, cable, ledger)
}

/// Sends a write with an idempotency key of its own; its answer, and how often it took effect.
fn write(client: &mut Client, ledger: &Ledger, wait: u32) -> (Option<Said>, u32) {
    let id = new_id();
    let said = client.offer(&named(&order(wait), &id)).then(|| client.answer()).flatten();
    let runs = ledger.runs(&id);
    if let Some(said) = &said {
        assert!(said.code != "53300" || runs == 0, "rejected, and it ran");
        assert!(said.value.is_none() || runs == 1, "served, and ran {runs} times");
    }
    (said, runs)
}

fn code(said: &Option<Said>) -> &str {
    said.as_ref().map_or("none", |said| if said.value.is_some() { "served" } else { said.code.as_str() })
}

#[test]
fn writes_are_forwarded_to_the_primarys_site_and_reads_stay_local() {
    let (near, far, cable, ledger) = pair(1);
    let mut client = near.client();
    let before = (near.members[0].requests().len(), far.members[0].requests().len());
    assert!((0..20).all(|_| served(&client.ask(&order(3000))) && served(&client.ask(&look(3000)))));
    let looks = |site: &Site| {
        site.members
            .iter()
            .flat_map(|member| member.requests())
            .filter(|text| text.contains("SELECT"))
            .count()
    };
    assert_eq!((looks(&near), looks(&far)), (20, 0));
    assert!(far.members[0].requests().len() >= before.1 + 20);
    // Once the primary's site is known, members here are no longer searched.
    assert!(near.members[0].requests().len() <= before.0 + 20 + 4);
    assert!(ledger.doubles().is_empty() && cable.carried()[THERE] > 0);
    // Values larger than a frame arrive whole, in both directions.
    let large = order(5000).replace("9f", &"9f".repeat(50_000));
    assert!(served(&client.ask(&large)));
    let said = Command::new(program()).arg("sites").arg(near.status()).output().unwrap();
    let said = String::from_utf8(said.stdout).unwrap();
    assert!(said.contains("\"home\": \"site1\"") && said.contains("\"links\": 2"), "{said}");
}

#[test]
fn a_site_without_members_of_a_group_forwards_every_request() {
    let (near, _far, _cable, _) = pair(0);
    let mut client = near.client();
    assert!((0..10).all(|_| served(&client.ask(&order(3000))) && served(&client.ask(&look(3000)))));
}

#[test]
fn a_link_cut_at_any_byte_duplicates_no_effect() {
    let (near, _far, cable, ledger) = pair(1);
    let mut client = near.client();
    let mut counted = std::collections::BTreeMap::<String, usize>::new();
    for turn in 0..24 {
        // Frames of a request and its answer are some 250 bytes; heartbeats go in between.
        cable.cut_after([THERE, BACK][turn % 2], 17 * (turn / 2));
        let (said, runs) = write(&mut client, &ledger, 3000);
        assert!(runs <= 1 && said.is_some(), "{runs}");
        *counted.entry(code(&said).to_owned()).or_default() += 1;
    }
    println!("{counted:?}");
    assert!(ledger.doubles().is_empty(), "{:?}", ledger.doubles());
    // The outcome log answers for most of them: a cut alone fails no request.
    assert!(counted["served"] >= 20, "{counted:?}");
    assert!(cable.cuts() >= 16, "{}", cable.cuts());
}

#[test]
fn moving_the_primary_between_sites_with_requests_in_flight_duplicates_no_effect() {
    let (near, far, cable, ledger) = pair(2);
    cable.delay(MS(10));
    ledger.work.store(5, Ordering::SeqCst);
    let moving = {
        let home = ledger.home.clone();
        thread::spawn(move || {
            for home_at in [0, 1, 0, 1] {
                thread::sleep(MS(700));
                home.store(home_at, Ordering::SeqCst);
            }
        })
    };
    let clients: Vec<_> = (0..8)
        .map(|number| {
            let (mut client, ledger) = ([&near, &far][number % 2].client(), ledger.clone());
            thread::spawn(move || {
                let start = Instant::now();
                let mut counted = (0, 0);
                while start.elapsed() < MS(3500) {
                    let (said, _) = write(&mut client, &ledger, 3000);
                    counted.0 += 1;
                    counted.1 += usize::from(code(&said) == "served");
                    thread::sleep(MS(5));
                }
                counted
            })
        })
        .collect();
    let counted: Vec<(usize, usize)> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    moving.join().unwrap();
    let (asked, good) = counted.iter().fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
    assert!(ledger.doubles().is_empty());
    assert!(asked > 200 && good * 10 >= asked * 9, "{good} of {asked}");
}

#[test]
fn a_half_dead_link_is_detected_and_late_frames_duplicate_no_effect() {
    let (near, _far, cable, ledger) = pair(1);
    for way in [THERE, BACK] {
        let mut client = near.client();
        cable.hold(way, true);
        let start = Instant::now();
        let (said, _) = write(&mut client, &ledger, 2500);
        assert!(said.is_some() && start.elapsed() < MS(2600), "{:?}", start.elapsed());
        // Then all frames at once, on links that were closed long ago.
        cable.hold(way, false);
        thread::sleep(MS(300));
        until("it is served again", || code(&write(&mut client, &ledger, 2500).0) == "served");
    }
    assert!(ledger.doubles().is_empty());
    assert!(near.driver().logged("link down"));
}

#[test]
fn a_restarted_receiver_without_saved_outcomes_fails_requests_and_duplicates_no_effect() {
    let (near, mut far, _cable, ledger) = pair(1);
    ledger.work.store(400, Ordering::SeqCst);
    let mut clients: Vec<Client> = (0..4).map(|_| near.client()).collect();
    let ids: Vec<String> = (0..4).map(|_| new_id()).collect();
    clients.iter_mut().zip(&ids).for_each(|(client, id)| client.send(&named(&order(5000), id)));
    until("all run", || ids.iter().all(|id| ledger.runs(id) == 1));
    let mut driver = far.driver.take().unwrap();
    driver.child.kill().unwrap();
    driver.child.wait().unwrap();
    drop(driver);
    far.start(&[(0, None)]);
    let start = Instant::now();
    for client in &mut clients {
        assert_eq!(client.answer().unwrap().code, "40003");
    }
    // As soon as the handshake shows a new incarnation, not at the deadline.
    assert!(start.elapsed() < MS(4500), "{:?}", start.elapsed());
    until("it is served again", || code(&write(&mut clients[0], &ledger, 3000).0) == "served");
    assert!(ledger.doubles().is_empty());
}

#[test]
fn a_remote_rejection_is_passed_on_at_once_with_its_retry_after() {
    let (near, _far, _cable, ledger) = pair(1);
    ledger.full.store(1, Ordering::SeqCst);
    let mut client = near.client();
    let start = Instant::now();
    let (said, runs) = write(&mut client, &ledger, 10_000);
    assert_eq!((code(&said), runs), ("53300", 0));
    assert!(said.unwrap().detail.parse::<u32>().is_ok_and(|millis| millis <= 500));
    assert!(start.elapsed() < MS(6000), "{:?}", start.elapsed());
    ledger.full.store(0, Ordering::SeqCst);
    until("it is served again", || code(&write(&mut client, &ledger, 3000).0) == "served");
}

#[test]
fn a_lost_client_costs_only_its_request_and_none_too_late_for_an_answer_is_forwarded() {
    let (near, _far, cable, ledger) = pair(1);
    ledger.work.store(200, Ordering::SeqCst);
    for _ in 0..5 {
        let mut client = near.client();
        client.send(&order(3000));
        thread::sleep(MS(30));
    }
    ledger.work.store(0, Ordering::SeqCst);
    cable.delay(MS(150));
    let mut client = near.client();
    until("the round trip is known", || code(&write(&mut client, &ledger, 5000).0) == "served");
    thread::sleep(MS(1500));
    let (mut client, ran) = (near.client(), ledger.len());
    let start = Instant::now();
    let (said, runs) = write(&mut client, &ledger, 200);
    assert_eq!((code(&said), runs, ledger.len()), ("53300", 0, ran));
    assert!(start.elapsed() < MS(150), "{:?}", start.elapsed());
    assert_eq!(code(&write(&mut client, &ledger, 3000).0), "served");
    assert!(ledger.doubles().is_empty());
}

#[test]
fn a_gateway_that_shuts_down_answers_accepted_requests_and_receives_no_more() {
    let (near, mut far, _cable, ledger) = pair(1);
    ledger.work.store(300, Ordering::SeqCst);
    let mut clients: Vec<Client> = (0..6).map(|_| near.client()).collect();
    let ids: Vec<String> = (0..6).map(|_| new_id()).collect();
    clients.iter_mut().zip(&ids).for_each(|(client, id)| client.send(&named(&order(4000), id)));
    until("all run", || ids.iter().all(|id| ledger.runs(id) == 1));
    far.driver().signal("-TERM");
    assert!(clients.iter_mut().all(|client| served(&client.answer().unwrap())));
    let mut driver = far.driver.take().unwrap();
    assert!(driver.child.wait().unwrap().success());
    // Without a gateway there, a write is rejected before its deadline and takes no effect.
    let (said, runs) = write(&mut clients[0], &ledger, 1200);
    assert_eq!((code(&said), runs), ("53300", 0));
}

#[test]
fn noise_and_unknown_peers_end_only_their_own_link() {
    let (near, far, _cable, ledger) = pair(1);
    // Bytes that are no frames, and a gateway that claims a site that is no peer.
    for noise in [&b"\x00\x00\x00\x03abc"[..], b"\xff\xff\xff\xff", b"GET / HTTP/1.1\r\n\r\n"] {
        let mut stream = TcpStream::connect(far.links).unwrap();
        stream.write_all(noise).unwrap();
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut stream, &mut rest);
    }
    until("noise is rejected", || far.driver().logged("link rejected"));
    let liar = format!(
        r#"{{"gateway":{{"site":"site9","peers":[{{"site":"site1","addresses":["{}"],"links":1}}]}}}}"#,
        far.links
    );
    let whole = config("127.0.0.1:8500".parse().unwrap(), 256, "null");
    let stranger = Driver::with("127.0.0.1:0".parse().unwrap(), &whole, Some(&liar));
    until("an unknown site is rejected", || far.driver().logged("none of this gateway's peers"));
    until("the reason is sent to it", || stranger.logged("none of this gateway's peers"));
    assert_eq!(code(&write(&mut near.client(), &ledger, 3000).0), "served");
    // A configuration that contradicts itself.
    let wrong = file("operator", r#"{"gateway":{"site":"a","peers":[{"site":"a","networks":["::1/128"]}]}}"#);
    let path = file("config", &whole);
    let output = Command::new(program())
        .args(["check", "--config"])
        .arg(&path)
        .arg("--operator")
        .arg(&wrong)
        .output()
        .unwrap();
    assert!(String::from_utf8(output.stderr).unwrap().contains("gateway.peers[0].site"));
    assert!(!output.status.success());
    std::fs::remove_file(path).unwrap();
    std::fs::remove_file(wrong).unwrap();
}

/// A gateway that has a data directory says which requests its previous incarnation never accepted, so that they are served
/// elsewhere or by the present one; without a directory they are failed.
#[test]
fn a_restarted_gateway_says_what_its_previous_incarnation_never_accepted() {
    let (near, mut far, cable, ledger) = pair(1);
    let folder = std::env::temp_dir().join(format!("aldermill-promise-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    far.warm = Some(folder.clone());
    let restart = |far: &mut Site| {
        far.driver = None;
        far.start(&[(0, None)]);
    };
    restart(&mut far);
    cable.cut(false);
    until("a write is forwarded again", || served(&near.client().ask(&order(3000))));
    let dump = || Command::new(program()).args(["store", "dump"]).arg(&folder).output().unwrap().stdout;
    until("its promise is saved", || String::from_utf8_lossy(&dump()).contains("\"space\":7"));
    cable.hold(THERE, true);
    let (id, mut client) = (new_id(), near.client());
    client.send(&named(&order(20_000), &id));
    let sites = || Command::new(program()).arg("sites").arg(near.status()).output().unwrap().stdout;
    until("it is forwarded", || String::from_utf8_lossy(&sites()).contains("\"tasks\": 1"));
    restart(&mut far);
    cable.cut(false);
    cable.hold(THERE, false);
    assert!(served(&client.answer().expect("an answer")));
    assert_eq!(ledger.runs(&id), 1);
    std::fs::remove_dir_all(folder).unwrap();
}

/// The answer to a write that took effect at the far site, whose outcome is held back on the link while that gateway is
/// killed and started again; `warm` gives that gateway a data directory.
fn outcome_over_a_restart(warm: bool) -> Said {
    let (near, mut far, cable, ledger) = pair(1);
    let folder = std::env::temp_dir().join(format!("aldermill-book-{}-{warm}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    far.warm = warm.then(|| folder.clone());
    let restart = |far: &mut Site| {
        far.driver = None;
        far.start(&[(0, None)]);
    };
    restart(&mut far);
    cable.cut(false);
    until("a write is forwarded again", || served(&near.client().ask(&order(3000))));
    cable.hold(BACK, true);
    let (id, mut client) = (new_id(), near.client());
    client.send(&named(&order(20_000), &id));
    until("it ran", || ledger.runs(&id) == 1);
    if warm {
        let dump = || Command::new(program()).args(["store", "dump"]).arg(&folder).output().unwrap().stdout;
        let served = || String::from_utf8_lossy(&dump()).matches("\"space\":6,\"value\":\"H").count();
        until("its outcome is saved", || served() >= 2);
    }
    restart(&mut far);
    cable.cut(false);
    cable.hold(BACK, false);
    let said = client.answer().expect("an answer");
    assert_eq!(ledger.runs(&id), 1);
    let _ = std::fs::remove_dir_all(folder);
    said
}

#[test]
fn a_restarted_gateway_answers_for_its_previous_incarnation_from_the_saved_outcome_log() {
    assert!(served(&outcome_over_a_restart(true)));
    assert_eq!(
        outcome_over_a_restart(false).code,
        "40003",
        "without a data directory the outcome is unknown"
    );
}

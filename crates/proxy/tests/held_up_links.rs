//! Tests of requests that are held up on their way to another site. Each runs the built program; the connections
//! between the sites pass a relay that holds back what is sent.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use aldermill_test_support::{Cable, Ledger, Site, THERE, named, new_id, order, served, until};

/// How long clients wait for a write, in milliseconds.
const TIMEOUT_MS: u32 = 3000;
/// How long requests are held up, in milliseconds; less than the silence that ends a link.
const HELD_UP_MS: u64 = 600;

/// Returns the time that the member was told it has for the write, in milliseconds; `None` if it got none.
fn time_told(site: &Site, id: &str) -> Option<u32> {
    let text = site.members[0].requests().into_iter().find(|text| text.contains(id))?;
    let (_, rest) = text.split_once(",d=")?;
    rest.split(',').next()?.parse().ok()
}

struct Sites {
    local: Site,
    remote: Site,
    relay: Cable,
}

/// Starts two sites with the primary at the remote one.
fn start() -> Sites {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut local = Site::new(0, 1, &ledger, |settings| settings);
    let mut remote = Site::new(1, 1, &ledger, |settings| settings);
    let relay = Cable::to(remote.links);
    remote.start(&[(0, None)]);
    local.start(&[(1, Some(relay.address))]);
    until("a forwarded write", || served(&local.client().ask(&order(TIMEOUT_MS))));
    Sites { local, remote, relay }
}

/// Guards against an attempt after its client's deadline: a request that was held up on its link was given the time that
/// was left when it was sent.
#[test]
fn a_request_that_was_held_up_on_its_link_has_the_rest_of_its_time() {
    let sites = start();
    let mut client = sites.local.client();
    let id = new_id();
    sites.relay.hold(THERE, true);
    client.send(&named(&order(TIMEOUT_MS), &id));
    thread::sleep(Duration::from_millis(HELD_UP_MS));
    sites.relay.hold(THERE, false);
    assert!(served(&client.answer().expect("a final answer")));
    let told = time_told(&sites.remote, &id).expect("the write was sent to the member");
    assert!(told <= TIMEOUT_MS - HELD_UP_MS as u32, "the member was told {told} ms");
}

/// Guards against the same where the receiving process is stopped while the request arrives.
#[test]
fn a_request_that_arrived_while_its_receiver_was_stopped_has_the_rest_of_its_time() {
    let sites = start();
    let mut client = sites.local.client();
    let id = new_id();
    sites.remote.driver().signal("-STOP");
    client.send(&named(&order(TIMEOUT_MS), &id));
    thread::sleep(Duration::from_millis(HELD_UP_MS));
    sites.remote.driver().signal("-CONT");
    assert!(served(&client.answer().expect("a final answer")));
    let told = time_told(&sites.remote, &id).expect("the write was sent to the member");
    assert!(told <= TIMEOUT_MS - HELD_UP_MS as u32, "the member was told {told} ms");
}

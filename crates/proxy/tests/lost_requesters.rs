//! Tests of requests that wait at the primary's site when the link to their sender is lost. Each runs the built program.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use aldermill_test_support::{Cable, Client, Ledger, Site, named, new_id, order, served, until};

/// How long clients wait for a write, in milliseconds.
const TIMEOUT_MS: u32 = 4000;
/// The site number that no site has: while the primary is there, no member takes writes.
const NOWHERE: usize = 99;
/// Longer than a router waits after a member that is not the primary.
const LONGER_THAN_WRITE_HOLD: Duration = Duration::from_millis(1000);

struct Sites {
    local: Site,
    remote: Site,
    relay: Cable,
    ledger: Ledger,
}

impl Sites {
    /// Starts two sites with the primary at the remote one.
    fn start() -> Sites {
        let ledger = Ledger::default();
        ledger.home.store(1, Ordering::SeqCst);
        let mut local = Site::new(0, 0, &ledger, |settings| settings);
        let mut remote = Site::new(1, 1, &ledger, |settings| settings);
        let relay = Cable::to(remote.links);
        remote.start(&[(0, None)]);
        local.start(&[(1, Some(relay.address))]);
        until("a forwarded write", || served(&local.client().ask(&order(TIMEOUT_MS))));
        Sites { local, remote, relay, ledger }
    }

    /// Sends a write that waits at the remote site, whose member has refused it as it is not the primary.
    fn send_waiting_write(&self, client: &mut Client) -> String {
        let id = new_id();
        self.ledger.home.store(NOWHERE, Ordering::SeqCst);
        client.send(&named(&order(TIMEOUT_MS), &id));
        until("the refusal", || self.remote.members[0].requests().iter().any(|text| text.contains(&id)));
        id
    }
}

/// Guards against an attempt after the end of its request: the client leaves while the link is down, so that no
/// cancellation reaches the receiver, which goes on.
#[test]
fn a_write_whose_client_left_while_the_link_was_down_is_not_attempted_again() {
    let sites = Sites::start();
    let mut client = sites.local.client();
    let id = sites.send_waiting_write(&mut client);
    sites.relay.cut(true);
    drop(client);
    until("the loss of the links", || sites.remote.driver().logged("link down"));
    sites.ledger.home.store(1, Ordering::SeqCst);
    thread::sleep(LONGER_THAN_WRITE_HOLD);
    assert_eq!(sites.ledger.runs(&id), 0, "attempted after its client had left");
}

/// Guards against the same where the sending process is killed, and another one takes its place.
#[test]
fn a_write_whose_sender_was_replaced_is_not_attempted_again() {
    let mut sites = Sites::start();
    let mut client = sites.local.client();
    let id = sites.send_waiting_write(&mut client);
    let mut proxy = sites.local.driver.take().unwrap();
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    drop(proxy);
    sites.local.start(&[(1, Some(sites.relay.address))]);
    until("the new process", || sites.remote.driver().logged("peer gateway restarted"));
    sites.ledger.home.store(1, Ordering::SeqCst);
    thread::sleep(LONGER_THAN_WRITE_HOLD);
    assert_eq!(sites.ledger.runs(&id), 0, "attempted though nobody waits for it");
    until("a served write", || served(&sites.local.client().ask(&order(TIMEOUT_MS))));
}

/// A write that waits goes on once its sender asks for it over a new link.
#[test]
fn a_write_that_waits_at_the_remote_site_is_served_after_its_link_returns() {
    let sites = Sites::start();
    let mut client = sites.local.client();
    let id = sites.send_waiting_write(&mut client);
    sites.relay.cut(false);
    until("the loss of the links", || sites.remote.driver().logged("link down"));
    sites.ledger.home.store(1, Ordering::SeqCst);
    assert!(served(&client.answer().expect("a final answer")));
    assert_eq!(sites.ledger.runs(&id), 1);
}

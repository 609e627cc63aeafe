//! Tests of writes whose repeats the members of a group drop for a limited time, between sites. Each runs the built
//! program; the members count how often each write was sent to them and ran.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{Cable, Client, Ledger, Site, list, named, new_id, order, served, until};

/// How long members remember the key of a write after its first attempt, in milliseconds.
const WINDOW_MS: u64 = 700;
/// How long members take for a write, in milliseconds.
const WORK_MS: u64 = 100;
/// How long clients wait for a write, in milliseconds.
const TIMEOUT_MS: u32 = 2500;
/// The site number that no site has: while the primary is there, no member takes writes.
const NOWHERE: usize = 99;

/// Sets the effect of writes: members of the group drop repeats within [`WINDOW_MS`].
fn deduplicated(settings: String) -> String {
    let unlimited = r#""effect":"side_effect","dedupScope":"all","windowMs":0"#;
    let limited = format!(r#""effect":"token","dedupScope":"cell","windowMs":{WINDOW_MS}"#);
    assert!(settings.contains(unlimited));
    settings.replace(unlimited, &limited)
}

/// Sends a write and waits until a member runs it.
fn start_write(client: &mut Client, ledger: &Ledger) -> String {
    let id = new_id();
    client.send(&named(&order(TIMEOUT_MS), &id));
    until("the write runs", || ledger.runs(&id) == 1);
    id
}

/// Guards against a write that takes effect twice: its link drops after it ran, the copy that follows waits at the
/// primary's site until members have forgotten its key, and is then sent to a member as if it were the first attempt.
#[test]
fn a_copy_that_follows_a_lost_link_is_not_attempted_after_the_deduplication_window() {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut local = Site::new(0, 1, &ledger, deduplicated);
    let mut remote = Site::new(1, 1, &ledger, deduplicated);
    let relay = Cable::to(remote.links);
    remote.start(&[(0, None)]);
    local.start(&[(1, Some(relay.address))]);
    let mut client = local.client();
    until("a forwarded write", || served(&client.ask(&order(TIMEOUT_MS))));

    ledger.work.store(WORK_MS as usize, Ordering::SeqCst);
    let id = start_write(&mut client, &ledger);
    let first_run_at = Instant::now();
    // No member takes writes while the group has no primary. The remote site's router sends the copy to its member,
    // and after the refusal waits for longer than the rest of the window before it tries again.
    ledger.home.store(NOWHERE, Ordering::SeqCst);
    relay.cut(true);
    // The copy would be rejected as under way while the first one is.
    thread::sleep(Duration::from_millis(2 * WORK_MS));
    relay.cut(false);
    thread::sleep(Duration::from_millis(WINDOW_MS).saturating_sub(first_run_at.elapsed()));
    ledger.home.store(1, Ordering::SeqCst);
    let response = client.answer().expect("a final answer");
    assert_ne!(response.code, "53300", "rejected as harmless to repeat, though it ran");
    assert_eq!(ledger.runs(&id), 1, "sent to a member again after its key was forgotten");
}

/// Guards against two attempts of one write at once: the link to one of two gateways drops, and the write was sent over
/// the other one while the first attempt still ran.
#[test]
fn a_write_whose_link_is_lost_is_not_attempted_through_another_gateway_while_it_runs() {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let unexpired = |settings: String| deduplicated(settings).replace(&WINDOW_MS.to_string(), "20000");
    let mut local = Site::new(0, 1, &ledger, unexpired);
    let mut remote = Site::new(1, 1, &ledger, unexpired);
    // The second gateway of the remote site has the same member, and opens its links itself.
    let mut second = Site::new(1, 0, &ledger, |settings| unexpired(settings).replace(r#""n1""#, r#""n9""#));
    second.discovery.say(list(2, true, &[("s1-a", &remote.members[0], "in_service")]));
    let relay = Cable::to(remote.links);
    remote.start(&[(0, None)]);
    local.start(&[(1, Some(relay.address))]);
    second.start(&[(0, Some(local.links))]);
    let links_up =
        || local.driver().log.lock().unwrap().iter().filter(|line| line.contains("link up")).count();
    until("links to both gateways", || links_up() >= 4);
    let mut client = local.client();
    until("a forwarded write", || served(&client.ask(&order(TIMEOUT_MS))));

    ledger.work.store(3 * WORK_MS as usize, Ordering::SeqCst);
    for _ in 0..10 {
        let id = start_write(&mut client, &ledger);
        let links_before = links_up();
        relay.cut(false);
        assert!(served(&client.answer().expect("a final answer")));
        assert_eq!(ledger.runs(&id), 1, "attempted twice at once");
        until("the links after the cut", || links_up() >= links_before + 2);
    }
}

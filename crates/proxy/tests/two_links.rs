//! Tests of requests that cross two links, to a third site that the first one is not linked to. Each runs the built
//! program.

use std::sync::atomic::Ordering;

use aldermill_test_support::{
    Cable, Client, Ledger, Site, list, look, named, new_id, order, replica_at, served, unix_millis, until,
};

/// How long clients wait, in milliseconds.
const TIMEOUT_MS: u32 = 2500;
/// How long members take for a write whose link drops, in milliseconds.
const WORK_MS: usize = 200;

/// Three sites in a row. The primary is at the last one.
struct Sites {
    sites: [Site; 3],
    /// The connections between the second and the third site.
    relay: Cable,
    ledger: Ledger,
}

impl Sites {
    fn start(change_settings: impl Fn(String) -> String) -> Sites {
        let ledger = Ledger::default();
        ledger.home.store(2, Ordering::SeqCst);
        let mut sites = [0, 1, 2].map(|number| {
            let members = [0, 1, 1][number];
            let mut site = Site::new(number, members, &ledger, &change_settings);
            site.hops = 2;
            site
        });
        let relay = Cable::to(sites[2].links);
        let middle = sites[1].links;
        sites[2].start(&[(1, None)]);
        sites[1].start(&[(0, None), (2, Some(relay.address))]);
        sites[0].start(&[(1, Some(middle))]);
        let sites = Sites { sites, relay, ledger };
        let mut client = sites.client();
        until("a write over both links", || served(&client.ask(&order(TIMEOUT_MS))));
        sites
    }

    /// Returns a client of the first site.
    fn client(&self) -> Client {
        self.sites[0].client()
    }
}

/// Guards against a write that was applied behind two links and is refused as harmless to repeat when the second link
/// drops.
#[test]
fn a_deduplicated_write_that_ran_behind_two_links_is_not_refused_when_the_second_one_drops() {
    let sites = Sites::start(|settings| {
        let unlimited = r#""effect":"side_effect","dedupScope":"all","windowMs":0"#;
        settings.replace(unlimited, r#""effect":"token","dedupScope":"cell","windowMs":1200"#)
    });
    let mut client = sites.client();
    sites.ledger.work.store(WORK_MS, Ordering::SeqCst);
    let id = new_id();
    client.send(&named(&order(TIMEOUT_MS), &id));
    until("the write runs", || sites.ledger.runs(&id) == 1);
    sites.relay.cut(true);
    assert_eq!(client.answer().expect("a final answer").code, "40003");
    assert_eq!(sites.ledger.runs(&id), 1);
}

/// Guards against a stale read behind two links: the gateways at the second and the third site have restarted and know of
/// no write, and the second one has to pass on what the first one states.
#[test]
fn a_read_behind_two_links_sees_its_sessions_write() {
    let mut sites = Sites::start(|settings| {
        let settings = settings.replace(r#"["loose","#, r#"["own_writes","#);
        settings.replace(r#""tokens":"client""#, r#""tokens":"router""#)
    });
    let position = unix_millis();
    let stuck = replica_at(move || position);
    let members = [("s2-a", &sites.sites[2].members[0], "in_service"), ("stuck", &stuck, "in_service")];
    sites.sites[2].discovery.say(list(2, true, &members));
    until("the replica in the endpoint list", || sites.sites[2].driver().logged("revision: 2"));
    let mut client = sites.client();
    let sessions: Vec<String> = (0..10).map(|number| format!("session-{number}")).collect();
    for session in &sessions {
        let write = order(TIMEOUT_MS).replace("'k'", &format!("'{session}'"));
        assert!(served(&client.ask(&write)));
    }
    for number in [1, 2] {
        let mut proxy = sites.sites[number].driver.take().unwrap();
        proxy.child.kill().unwrap();
        proxy.child.wait().unwrap();
    }
    sites.sites[2].start(&[(1, None)]);
    sites.sites[1].start(&[(0, None), (2, Some(sites.relay.address))]);
    until("a write after the restart", || served(&client.ask(&order(TIMEOUT_MS))));
    for session in &sessions {
        client.ask(&look(TIMEOUT_MS).replace("'k'", &format!("'{session}'")));
    }
    let is_stale = |text: &&String| text.contains("SELECT") && text.contains("session-");
    assert_eq!(stuck.requests().iter().filter(is_stale).count(), 0, "reads at the stuck replica");
}

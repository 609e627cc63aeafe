//! Tests of reads that must see their session's writes, between sites. Each runs the built program, and replicas that
//! have applied nothing since before the first write.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use aldermill_test_support::{
    Client, Ledger, Member, Site, list, look, order, refuse, replica_at, serve, served, unix_millis, until,
};

/// How long clients wait, in milliseconds.
const TIMEOUT_MS: u32 = 5_000;
/// Number of sessions of each test.
const SESSIONS: usize = 20;

/// Sets that reads must see the writes of their session, of which the proxy keeps account.
fn tracked_sessions(settings: &str) -> String {
    let settings = settings.replace(r#"["loose","#, r#"["own_writes","#);
    settings.replace(r#""tokens":"client""#, r#""tokens":"router""#)
}

/// Starts a member that is the primary while `home` is its site.
fn member(site: usize, home: &Arc<AtomicUsize>) -> Member {
    let home = home.clone();
    Member::start(move |text, stream| {
        let is_primary = home.load(Ordering::SeqCst) == site;
        let role = if is_primary { "writer" } else { "reader" };
        if text.contains("INSERT") && !is_primary {
            refuse("25006", role, stream)
        } else {
            serve(text, role, stream)
        }
    })
}

/// Starts a replica that applies no commit after its start.
fn stuck_replica() -> Member {
    let position = unix_millis();
    replica_at(move || position)
}

/// Two sites: clients use the gateway of the local one. The remote site has one or two gateways, and a member and a
/// stuck replica of the group.
struct Sites {
    local: Site,
    gateways: Vec<Site>,
    home: Arc<AtomicUsize>,
    _local_member: Member,
    remote_member: Member,
    replica: Member,
}

impl Sites {
    /// Starts `gateways` gateways at the remote site. The primary is at site `home`.
    fn start(gateways: usize, home: usize) -> Sites {
        let home = Arc::new(AtomicUsize::new(home));
        let (local_member, remote_member) = (member(0, &home), member(1, &home));
        let replica = stuck_replica();
        let ledger = Ledger::default();
        let mut local = Site::new(0, 0, &ledger, |settings| tracked_sessions(&settings));
        local.discovery.say(list(2, true, &[("a", &local_member, "in_service")]));
        let mut gateways: Vec<Site> = (0..gateways).map(|index| gateway(index, &ledger)).collect();
        let members = [("b", &remote_member, "in_service"), ("c", &replica, "in_service")];
        gateways.iter().for_each(|gateway| gateway.discovery.say(list(2, true, &members)));
        // The first gateway is connected to, the second one connects.
        gateways[0].start(&[(0, None)]);
        local.start(&[(1, Some(gateways[0].links))]);
        let local_links = local.links;
        gateways.iter_mut().skip(1).for_each(|gateway| gateway.start(&[(0, Some(local_links))]));
        let count = gateways.len();
        let sites = Sites { local, gateways, home, _local_member: local_member, remote_member, replica };
        until("links to all gateways", || sites.links_up() >= 2 * count);
        let mut client = sites.local.client();
        until("a served write", || served(&client.ask(&write("warm-up"))));
        sites
    }

    fn links_up(&self) -> usize {
        let log = self.local.driver().log.lock().unwrap();
        log.iter().filter(|line| line.contains("link up")).count()
    }

    /// Returns whether one of the two members of the remote site got a read of the session.
    fn remote_read(&self, session: &str) -> (bool, bool) {
        let has_read = |member: &Member| {
            member
                .requests()
                .iter()
                .any(|text| text.contains("SELECT") && text.contains(&format!("'{session}'")))
        };
        (has_read(&self.remote_member), has_read(&self.replica))
    }

    /// Reads in each session, and asserts that no read went to the stuck replica and that most were served.
    #[track_caller]
    fn assert_fresh_reads(&self, client: &mut Client, sessions: &[String]) {
        let answers = sessions.iter().map(|session| served(&client.ask(&read(session))));
        let served_count = answers.filter(|&is_served| is_served).count();
        let stale = sessions.iter().filter(|session| self.remote_read(session).1).count();
        assert_eq!(stale, 0, "of {} reads went to a replica without the session's write", sessions.len());
        assert!(2 * served_count > sessions.len(), "{served_count} of {} served", sessions.len());
    }
}

/// Returns a gateway of the remote site that is not started. Each has a name of its own.
fn gateway(index: usize, ledger: &Ledger) -> Site {
    Site::new(1, 0, ledger, |settings| {
        tracked_sessions(&settings.replace(r#""n1""#, &format!(r#""n1{index}""#)))
    })
}

fn write(session: &str) -> String {
    order(TIMEOUT_MS).replace("'k'", &format!("'{session}'"))
}

fn read(session: &str) -> String {
    look(TIMEOUT_MS).replace("'k'", &format!("'{session}'"))
}

/// Writes in new sessions, and returns those of the writes that were served.
fn write_sessions(client: &mut Client) -> Vec<String> {
    let sessions = (0..SESSIONS).map(|number| format!("session-{number}"));
    let sessions: Vec<String> = sessions.filter(|session| served(&client.ask(&write(session)))).collect();
    assert!(2 * sessions.len() > SESSIONS, "{sessions:?}");
    sessions
}

/// Guards against a stale read through a gateway that did not forward the session's write to a member: the other
/// gateway of the primary's site.
#[test]
fn reads_through_any_gateway_of_the_primarys_site_see_their_sessions_forwarded_writes() {
    let sites = Sites::start(2, 1);
    let mut client = sites.local.client();
    let sessions = write_sessions(&mut client);
    sites.assert_fresh_reads(&mut client, &sessions);
}

/// Guards against a stale read through a gateway that forgot its sessions with a restart.
#[test]
fn reads_after_a_restart_of_the_remote_gateway_see_their_sessions_forwarded_writes() {
    let mut sites = Sites::start(1, 1);
    let mut client = sites.local.client();
    let sessions = write_sessions(&mut client);
    let mut proxy = sites.gateways[0].driver.take().unwrap();
    proxy.child.kill().unwrap();
    proxy.child.wait().unwrap();
    drop(proxy);
    sites.gateways[0].start(&[(0, None)]);
    until("the links after the restart", || sites.links_up() >= 4);
    sites.assert_fresh_reads(&mut client, &sessions);
}

/// Guards against a stale read at the site that the primary has moved to, of a write that was made at the local site.
#[test]
fn reads_at_another_site_see_writes_that_their_session_made_at_the_local_site() {
    let sites = Sites::start(1, 0);
    let mut client = sites.local.client();
    let sessions = write_sessions(&mut client);
    sites.home.store(1, Ordering::SeqCst);
    until("a forwarded write", || {
        let before = sites.remote_member.requests().len();
        served(&client.ask(&write("after the move"))) && sites.remote_member.requests().len() > before
    });
    sites.assert_fresh_reads(&mut client, &sessions);
}

//! Tests, over loopback, of a proxy with more members than it may have connections to: a needed connection is
//! opened at once, and only a few idle ones are closed for it.

use std::sync::atomic::Ordering;

use aldermill_test_support::{Client, Discovery, Driver, Member, config, look, served, sound};

/// Number of connections to members that the process may have if `limits.sockets` is [`MIN_SOCKETS`].
const MAX_MEMBER_CONNECTIONS: usize = 12;
/// Minimum of `limits.sockets` in a configuration.
const MIN_SOCKETS: usize = 64;
/// Maximum number of idle connections that are closed if one connection is needed.
const MAX_CLOSED_CONNECTIONS: usize = 3;

/// Returns an endpoint list in which each member forms a group of its own; the group's number is the member's
/// index.
fn list_of_single_member_groups(members: &[Member]) -> String {
    let entries: Vec<String> = (members.iter().enumerate())
        .map(|(group, member)| {
            format!(
                r#"{{"id":"m{group}","host_port":"{}","locality":"here","flavor":"m","cell":{group},"phase":"in_service","size":1.0,"up_since_ms":0}}"#,
                member.address
            )
        })
        .collect();
    format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","))
}

/// Sends a read to the group, and asserts that it is served.
fn assert_read_served(client: &mut Client, group: usize) {
    // Shorter than the wait for a descriptor if no idle connection is closed.
    let statement = look(1500).replace("cluster=2", &format!("cluster={group}"));
    let response = client.ask(&statement);
    assert!(served(&response), "group {group}: {response:?}");
}

#[test]
fn a_needed_connection_is_opened_at_once_and_a_few_of_the_longest_idle_are_closed() {
    let members: Vec<Member> = (0..=MAX_MEMBER_CONNECTIONS).map(|_| sound("writer")).collect();
    let opened_connections = |group: usize| members[group].connections.load(Ordering::SeqCst);
    let (discovery, initial_list) = (Discovery::default(), list_of_single_member_groups(&members));
    discovery.say(initial_list.clone());
    // Without health checks, connections are opened only for requests.
    let settings = config(discovery.start(), MIN_SOCKETS, &initial_list)
        .replace(r#""probes":true"#, r#""probes":false"#);
    let proxy = Driver::of(&settings);
    let mut client = Client::connect(proxy.address);
    (0..MAX_MEMBER_CONNECTIONS).for_each(|group| assert_read_served(&mut client, group));
    assert!(
        (0..MAX_MEMBER_CONNECTIONS).all(|group| opened_connections(group) == 1),
        "each member has an idle connection"
    );

    assert_read_served(&mut client, MAX_MEMBER_CONNECTIONS);
    assert_eq!(opened_connections(MAX_MEMBER_CONNECTIONS), 1);
    // The connections that had been idle for the shortest time are still open, and are used again.
    (MAX_CLOSED_CONNECTIONS..=MAX_MEMBER_CONNECTIONS)
        .for_each(|group| assert_read_served(&mut client, group));
    let opened: Vec<usize> = (0..=MAX_MEMBER_CONNECTIONS).map(opened_connections).collect();
    assert_eq!(opened, vec![1; MAX_MEMBER_CONNECTIONS + 1], "connections by member");
    // More connections were closed than the one that was needed, so the next ones open without closing
    // others.
    (0..MAX_CLOSED_CONNECTIONS - 1).for_each(|group| assert_read_served(&mut client, group));
    assert_eq!(
        (0..=MAX_MEMBER_CONNECTIONS).map(opened_connections).sum::<usize>(),
        MAX_MEMBER_CONNECTIONS + MAX_CLOSED_CONNECTIONS
    );
}

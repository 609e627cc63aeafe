//! More members than the process may have connections to, over loopback: a connection that is needed is opened at once,
//! and few idle ones are closed for it.

use std::sync::atomic::Ordering;

use aldermill_test_support::{Client, Discovery, Driver, Member, config, look, served, sound};

/// Connections to members that the process may have with [`DESCRIPTORS`].
const MEMBER_CONNECTIONS: usize = 12;
/// The least `limits.sockets` that a configuration may have.
const DESCRIPTORS: usize = 64;
/// Idle connections that are closed at the most where one is needed.
const CLOSED_AT_MOST: usize = 3;

/// An endpoint list in which each member is a group of its own, numbered by its place.
fn list_of_groups(members: &[Member]) -> String {
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

fn read(client: &mut Client, group: usize) {
    // Less time than a wait for a connection that nobody closes would take.
    let statement = look(1500).replace("cluster=2", &format!("cluster={group}"));
    let said = client.ask(&statement);
    assert!(served(&said), "group {group}: {said:?}");
}

#[test]
fn a_needed_connection_is_opened_and_few_of_the_longest_idle_ones_are_closed_for_it() {
    let members: Vec<Member> = (0..=MEMBER_CONNECTIONS).map(|_| sound("writer")).collect();
    let connections = |group: usize| members[group].connections.load(Ordering::SeqCst);
    let (discovery, known) = (Discovery::default(), list_of_groups(&members));
    discovery.say(known.clone());
    // Connections are opened for requests alone.
    let settings =
        config(discovery.start(), DESCRIPTORS, &known).replace(r#""probes":true"#, r#""probes":false"#);
    let driver = Driver::of(&settings);
    let mut client = Client::connect(driver.address);
    (0..MEMBER_CONNECTIONS).for_each(|group| read(&mut client, group));
    assert!(
        (0..MEMBER_CONNECTIONS).all(|group| connections(group) == 1),
        "each member has an idle connection"
    );

    read(&mut client, MEMBER_CONNECTIONS);
    assert_eq!(connections(MEMBER_CONNECTIONS), 1);
    // Those that were idle for the shortest time are still open and are used again.
    (CLOSED_AT_MOST..=MEMBER_CONNECTIONS).for_each(|group| read(&mut client, group));
    let opened: Vec<usize> = (0..=MEMBER_CONNECTIONS).map(connections).collect();
    assert_eq!(opened, vec![1; MEMBER_CONNECTIONS + 1], "connections by member");
    // More were closed than the one connection needed, so that these open without closing others.
    (0..CLOSED_AT_MOST - 1).for_each(|group| read(&mut client, group));
    assert_eq!((0..=MEMBER_CONNECTIONS).map(connections).sum::<usize>(), MEMBER_CONNECTIONS + CLOSED_AT_MOST);
}

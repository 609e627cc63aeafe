//! Fewer descriptors than members: a wanted connection is opened at once, and few idle ones are closed for it, over
//! loopback.

use std::sync::atomic::Ordering;

use aldermill_test_support::{Client, Discovery, Driver, Member, config, look, served, sound};

/// The process has room for so many connections to members, with the fewest descriptors that it starts with.
const ROOM: usize = 12;
const DESCRIPTORS: usize = 64;
/// Idle connections that are closed at the most where one is wanted.
const CLOSED: usize = 3;

/// A list in which each member is a group of its own, by its place.
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
    // Less than a wait for a connection that nobody gives up.
    let statement = look(1500).replace("cluster=2", &format!("cluster={group}"));
    let said = client.ask(&statement);
    assert!(served(&said), "group {group}: {said:?}");
}

#[test]
fn a_wanted_connection_is_opened_and_few_of_the_longest_idle_ones_are_closed_for_it() {
    let members: Vec<Member> = (0..=ROOM).map(|_| sound("writer")).collect();
    let connections = |group: usize| members[group].connections.load(Ordering::SeqCst);
    let (discovery, known) = (Discovery::default(), list_of_groups(&members));
    discovery.say(known.clone());
    // Connections are opened for requests alone.
    let settings =
        config(discovery.start(), DESCRIPTORS, &known).replace(r#""probes":true"#, r#""probes":false"#);
    let driver = Driver::of(&settings);
    let mut client = Client::connect(driver.address);
    (0..ROOM).for_each(|group| read(&mut client, group));
    assert!((0..ROOM).all(|group| connections(group) == 1), "each member has an idle connection");

    read(&mut client, ROOM);
    assert_eq!(connections(ROOM), 1);
    // Those that rested least are used again.
    (CLOSED..=ROOM).for_each(|group| read(&mut client, group));
    let opened: Vec<usize> = (0..=ROOM).map(connections).collect();
    assert_eq!(opened, vec![1; ROOM + 1], "connections by member");
    // What was closed left room for others than the one that was wanted.
    (0..CLOSED - 1).for_each(|group| read(&mut client, group));
    assert_eq!((0..=ROOM).map(connections).sum::<usize>(), ROOM + CLOSED);
}

//! What changes between the decision on an attempt and its last byte, over loopback: every connection to the member
//! comes up only when the test lets it.

use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use aldermill_test_support::{
    Client, Discovery, Driver, Hold, Member, closed, config, list, look, named, order, refuse, serve, served,
    until,
};

/// A member whose new connections wait at `hold` before they are welcomed.
fn late(hold: &Hold, act: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> Member {
    let hold = hold.clone();
    let bears = move |_: &[u8], welcomed: bool| {
        if !welcomed {
            hold.pass();
        }
        true
    };
    Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), bears, act)
}

/// A proxy before this member alone, which sends no health checks; `settings` changes its settings.
fn before(member: &Member, settings: impl Fn(String) -> String) -> Driver {
    let known = list(1, true, &[("a", member, "in_service")]);
    let discovery = Discovery::default();
    discovery.say(known.clone());
    let config = config(discovery.start(), 256, &known).replace(r#""probes":true"#, r#""probes":false"#);
    Driver::of(&settings(config))
}

/// By the time that this many round trips are over, the proxy has seen all that was sent before them.
fn settle(client: &mut Client) {
    for _ in 0..3 {
        assert!(client.ask("").empty);
    }
}

#[test]
fn an_attempt_whose_client_left_while_its_connection_came_up_is_not_sent() {
    for statement in [look(15000), order(15000)] {
        let hold = Hold::default();
        let member = late(&hold, |text, stream| serve(text, "writer", stream));
        let driver = before(&member, |config| config);
        let mut other = Client::connect(driver.address);
        hold.close();
        let mut client = Client::connect(driver.address);
        client.send(&named(&statement, "left"));
        hold.reached();
        closed(client.stream);
        settle(&mut other);
        hold.open();
        assert!(served(&other.ask(&look(15000))));
        settle(&mut other);
        assert!(
            member.requests().iter().all(|request| !request.contains("id=left")),
            "{:?}",
            member.requests()
        );
    }
}

#[test]
fn a_client_that_left_behind_more_than_is_read_of_it_has_left_all_the_same() {
    let hold = Hold::default();
    let seen = hold.clone();
    let member = Member::start(move |text, stream| {
        seen.pass();
        serve(text, "writer", stream);
    });
    let driver = before(&member, |config| config);
    let mut other = Client::connect(driver.address);
    hold.close();
    let mut client = Client::connect(driver.address);
    // More statements than are taken at once, and behind them more than is read ahead. Their time lasts longer than
    // this case waits for anything.
    for number in 0..250 {
        client.send(&named(&look(90_000), &format!("ahead{number}")));
    }
    hold.reached();
    // The ids of what waits for the member are free once nobody waits for it.
    let waits = |other: &mut Client, number: usize| {
        other.ask(&named(&look(200), &format!("ahead{number}"))).code == "08P01"
    };
    until("the last that is taken", || waits(&mut other, 63));
    closed(client.stream);
    until("the leaving to be seen", || !waits(&mut other, 63));
    let sent = member.requests().len();
    hold.open();
    assert!(served(&other.ask(&look(15000))));
    settle(&mut other);
    assert_eq!(member.requests().len(), sent + 1, "what waited was sent on for nobody");
}

#[test]
fn a_member_is_told_no_more_time_than_the_client_has_left_when_its_connection_is_there() {
    let hold = Hold::default();
    let member = late(&hold, |text, stream| serve(text, "writer", stream));
    let driver = before(&member, |config| config);
    let mut client = Client::connect(driver.address);
    hold.close();
    let held = Duration::from_millis(400);
    client.send(&look(5000));
    hold.reached();
    thread::sleep(held);
    hold.open();
    assert!(served(&client.answer().unwrap()));
    let request = member.requests().pop().unwrap();
    let told: u128 = request.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!(told <= 5000 - held.as_millis() + 1, "told {told} ms");
}

#[test]
fn an_attempt_does_not_follow_a_connection_to_where_its_member_was() {
    let hold = Hold::default();
    let before = late(&hold, |text, stream| serve(text, "writer", stream));
    let now = Member::start(|text, stream| serve(text, "writer", stream));
    let discovery = Discovery::default();
    let known = list(1, true, &[("a", &before, "in_service")]);
    discovery.say(known.clone());
    let config = config(discovery.start(), 256, &known).replace(r#""probes":true"#, r#""probes":false"#);
    let driver = Driver::of(&config);
    let mut client = Client::connect(driver.address);
    hold.close();
    client.send(&order(15000));
    hold.reached();
    discovery.say(list(2, false, &[("a", &now, "in_service")]));
    until("the move", || driver.logged("revision: 2"));
    hold.open();
    assert!(served(&client.answer().unwrap()), "where its member is now");
    assert!(before.requests().is_empty(), "{:?}", before.requests());
}

#[test]
fn a_repeat_whose_window_ends_while_its_connection_comes_up_is_not_sent() {
    let window = Duration::from_millis(600);
    let hold = Hold::default();
    let seen = hold.clone();
    // The first attempt may have run, and takes its connection along.
    let member = late(&hold, move |_, stream| {
        seen.close();
        refuse("XX000", "writer", stream);
        let _ = stream.shutdown(Shutdown::Both);
    });
    let receipted = r#""effect":"token","dedupScope":"cell","windowMs":600"#;
    let driver = before(&member, |config| {
        config.replace(r#""effect":"side_effect","dedupScope":"all","windowMs":0"#, receipted)
    });
    let mut client = Client::connect(driver.address);
    client.send(&order(15000));
    hold.reached();
    thread::sleep(window);
    hold.open();
    assert_eq!(client.answer().unwrap().code, "40003", "it may have run, and cannot be repeated");
    assert_eq!(member.requests().len(), 1, "{:?}", member.requests());
}

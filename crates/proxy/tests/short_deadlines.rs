//! Tests of requests with deadlines of 1 to 50 ms: each gets exactly one response in time, no attempt is sent with
//! no time left, and a member that silently drops such requests is not blamed for it.

use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, sound};

/// Lateness up to which a final response counts, less the delays of a busy machine.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(400);

/// Returns the deadline that a statement gives to its member, in milliseconds from its arrival.
fn stated_deadline_ms(statement: &str) -> u32 {
    let digits = statement.split_once(",d=").expect("the statement contains no deadline").1.split(',').next();
    digits.and_then(|digits| digits.parse().ok()).expect("the deadline is not a number")
}

/// Sends reads and writes with deadlines of 1 to 50 ms, up and down again. Returns how many were served.
fn ask_with_short_deadlines(client: &mut Client) -> usize {
    let mut served_count = 0;
    for deadline_ms in (1..=50).chain((5..=50).rev()) {
        for statement in [look(deadline_ms), order(deadline_ms)] {
            let sent_at = Instant::now();
            client.send(&statement);
            let response = client.answer().expect("the connection ended without a response");
            let limit = Duration::from_millis(deadline_ms.into()) + LATENESS_TOLERANCE;
            assert!(sent_at.elapsed() < limit, "{deadline_ms} ms: {:?}, {response:?}", sent_at.elapsed());
            assert!(
                served(&response) || ["53300", "40003"].contains(&response.code.as_str()),
                "{response:?}"
            );
            served_count += usize::from(served(&response));
        }
    }
    served_count
}

#[test]
fn requests_with_short_deadlines_are_answered_in_time_and_never_sent_with_no_time_left() {
    let member = Member::start(|text, stream| serve(text, "writer", stream));
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    // After these requests, the proxy knows the member's response times.
    for _ in 0..60 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    let requests_before = member.requests().len();
    let served_count = ask_with_short_deadlines(&mut client);
    let sent = &member.requests()[requests_before..];
    assert!(served_count > 0 && sent.len() >= served_count, "{served_count} served of {} sent", sent.len());
    assert!(sent.iter().all(|request| (1..=50).contains(&stated_deadline_ms(request))), "{sent:?}");
}

/// The margin protects against a process that is held up before it sends, which would give the member too much
/// time.
#[test]
fn the_deadline_given_to_a_member_is_shorter_than_the_time_left() {
    let member = sound("writer");
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let margin_ms = 10;
    for _ in 0..20 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    assert!(
        member.requests().iter().all(|request| stated_deadline_ms(request) <= 5000 - margin_ms),
        "{:?}",
        member.requests()
    );
}

#[test]
fn a_member_that_silently_drops_requests_with_short_deadlines_serves_the_others() {
    let member = Member::start(|text, stream| {
        if !text.starts_with("/*") || stated_deadline_ms(text) > 50 {
            serve(text, "writer", stream);
        }
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    for _ in 0..60 {
        assert!(served(&client.ask(&look(5000))) && served(&client.ask(&order(5000))));
    }
    assert_eq!(ask_with_short_deadlines(&mut client), 0);
    for _ in 0..10 {
        for statement in [look(5000), order(5000)] {
            let start = Instant::now();
            let response = client.ask(&statement);
            assert!(served(&response), "{response:?} after {:?}", start.elapsed());
            assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
        }
    }
    assert!(!proxy.logged("member lost"));
}

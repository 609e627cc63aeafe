//! Two ends of a link joined by bytes, and one end before hostile bytes.

use aldermill_site_link::{
    Confirm, Identity, Inbound, Link, LinkConfig, LinkError, Outbound, OutcomeQuery, OutcomeReply,
    OutcomeReplyKind, Request, Response, ResponseKind,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn identity(site: &str) -> Identity {
    Identity { site: site.into(), instance: "n0".into(), incarnation: 7 }
}

fn bounds() -> LinkConfig {
    LinkConfig::standard(200_000, 400_000)
}

fn ends() -> (Link, Link) {
    let mut ends = (Link::new(bounds(), &identity("a"), 0), Link::new(bounds(), &identity("b"), 0));
    let hello = (ends.0.next_bytes(1).unwrap(), ends.1.next_bytes(1).unwrap());
    assert_eq!(ends.0.receive(0, &hello.1).unwrap(), [Inbound::Greeted(identity("b"))]);
    assert_eq!(ends.1.receive(0, &hello.0).unwrap(), [Inbound::Greeted(identity("a"))]);
    ends
}

fn request(number: u64) -> Request {
    Request { number, class: "renew".into(), group: 3, timeout_us: 5, ..Request::default() }
}

/// Carries all that waits either way, in pieces of such a size; what each end heard.
fn carry(ends: &mut (Link, Link), piece: usize) -> (Vec<Inbound>, Vec<Inbound>) {
    let mut heard = (Vec::new(), Vec::new());
    loop {
        let (to_b, to_a) = (ends.0.next_bytes(4096), ends.1.next_bytes(4096));
        if to_a.is_none() && to_b.is_none() {
            return heard;
        }
        for part in to_b.unwrap_or_default().chunks(piece) {
            heard.1.extend(ends.1.receive(0, part).unwrap());
        }
        for part in to_a.unwrap_or_default().chunks(piece) {
            heard.0.extend(ends.0.receive(0, part).unwrap());
        }
    }
}

#[test]
fn messages_arrive_whole_and_in_order_however_the_bytes_are_split() {
    for piece in [1, 7, 4096] {
        let mut ends = ends();
        let (statement, value) = (vec![1; 150_000], vec![2; 300_000]);
        ends.0.send(Outbound::Request(request(1), statement.clone()));
        ends.0.send(Outbound::OutcomeQuery(OutcomeQuery { number: 9, receiver_incarnation: 7 }));
        ends.1.send(Outbound::Response(
            Response { number: 5, kind: ResponseKind::Served.into(), ..Response::default() },
            value.clone(),
        ));
        ends.1.send(Outbound::OutcomeReply(
            OutcomeReply {
                number: 6,
                kind: OutcomeReplyKind::NeverAccepted.into(),
                ..OutcomeReply::default()
            },
            vec![],
        ));
        let (a, b) = carry(&mut ends, piece);
        assert!(matches!(&b[0], Inbound::OutcomeQuery(ask) if ask.number == 9), "what is short goes first");
        assert!(
            matches!(&b[1], Inbound::Request(request, bytes) if request.number == 1 && *bytes == statement)
        );
        assert!(matches!(&a[0], Inbound::OutcomeReply(fate, _) if fate.number == 6));
        assert!(matches!(&a[1], Inbound::Response(outcome, bytes) if outcome.number == 5 && *bytes == value));
    }
}

#[test]
fn a_large_statement_delays_neither_a_short_one_nor_a_heartbeat() {
    let mut ends = ends();
    ends.0.send(Outbound::Request(request(1), vec![1; 200_000]));
    let first = ends.0.next_bytes(1).unwrap();
    ends.1.receive(0, &first).unwrap();
    ends.0.send(Outbound::Request(request(2), vec![1; 20]));
    ends.0.wake(0).unwrap();
    let mut before = 0;
    while let Some(bytes) = ends.0.next_bytes(1) {
        before += bytes.len();
        if ends
            .1
            .receive(0, &bytes)
            .unwrap()
            .iter()
            .any(|event| matches!(event, Inbound::Request(request, _) if request.number == 2))
        {
            break;
        }
    }
    assert!(before < 20_000, "{before} bytes before the short one");
    let pong = ends.1.next_bytes(1).unwrap();
    assert_eq!(ends.0.receive(300, &pong).unwrap(), [Inbound::RoundTrip(300)]);
}

#[test]
fn no_data_goes_beyond_the_window_until_it_is_widened() {
    let mut ends = ends();
    ends.0.send(Outbound::Request(request(1), vec![1; 200_000]));
    let mut sent = 0;
    while let Some(bytes) = ends.0.next_bytes(1) {
        sent += bytes.len();
    }
    assert!((65_536..80_000).contains(&sent), "{sent}");
    // A cancel drops the rest, and what is left of it is passed over.
    ends.0.send(Outbound::Cancel(1));
    let bytes = ends.0.next_bytes(1).unwrap();
    assert_eq!(ends.1.receive(0, &bytes).unwrap(), [Inbound::Cancel(1)]);
    assert!(ends.0.next_bytes(1).is_none());
}

#[test]
fn a_frame_out_of_place_ends_the_link() {
    let fresh = || Link::new(bounds(), &identity("b"), 0);
    let said = |said: Outbound| {
        let mut link = Link::new(bounds(), &identity("a"), 0);
        let hello = link.next_bytes(1).unwrap();
        link.receive(0, &fresh().next_bytes(1).unwrap()).unwrap();
        link.send(said);
        (hello, link.next_bytes(1 << 20).unwrap())
    };
    let (hello, confirm) = said(Outbound::Confirm(Confirm { up_to: 3 }));
    assert!(matches!(fresh().receive(0, &confirm), Err(LinkError::OutOfPlace(_))));
    let mut link = fresh();
    link.receive(0, &hello).unwrap();
    assert!(matches!(link.receive(0, &hello), Err(LinkError::OutOfPlace(_))));
    let mut link = fresh();
    link.receive(0, &hello).unwrap();
    let (_, twice) = said(Outbound::Request(request(1), vec![1; 60_000]));
    let announced = 4 + u32::from_be_bytes(twice[..4].try_into().unwrap()) as usize;
    link.receive(0, &twice[..announced]).unwrap();
    assert!(matches!(link.receive(0, &twice[..announced]), Err(LinkError::OutOfPlace(_))));
    // An unknown kind, a frame too long, another version, silence.
    assert_eq!(fresh().receive(0, &[0, 0, 0, 3, 0xfa, 0x0f, 0]), Err(LinkError::UnknownKind));
    assert!(matches!(fresh().receive(0, &[0, 1, 0, 0]), Err(LinkError::Malformed(_))));
    let mut other = hello.clone();
    let version = other.windows(2).position(|pair| pair == [8, 1]).unwrap();
    other[version + 1] = 9;
    assert_eq!(fresh().receive(0, &other), Err(LinkError::Version(9)));
    assert_eq!(fresh().wake(2_000_000), Err(LinkError::Silent));
    assert_eq!(fresh().receive(0, &Link::close("enough")), Err(LinkError::Closed("enough".into())));
    // Unknown fields pass: field 99 of the greeting.
    let mut more = hello.clone();
    more.extend_from_slice(&[0x98, 0x06, 1]);
    more[5] += 3;
    let length = (more.len() - 4) as u32;
    more[..4].copy_from_slice(&length.to_be_bytes());
    assert_eq!(fresh().receive(0, &more).unwrap(), [Inbound::Greeted(identity("a"))]);
}

#[test]
fn hostile_bytes_end_a_link_and_never_the_program() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let limits = Config { cases: 2000, failure_persistence: None, ..Config::default() };
    let pieces = prop::collection::vec((prop::collection::vec(any::<u8>(), 0..80), any::<bool>()), 1..12);
    TestRunner::new_with_rng(limits, rng)
        .run(&(pieces, any::<bool>(), 0usize..200), |(pieces, greeted, flip)| {
            let mut link = Link::new(bounds(), &identity("b"), 0);
            let mut other = Link::new(bounds(), &identity("a"), 0);
            let hello = other.next_bytes(1).unwrap();
            if greeted {
                link.receive(0, &hello).unwrap();
            }
            let mut whole = Vec::new();
            for (bytes, framed) in pieces {
                if framed {
                    whole.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
                }
                whole.extend_from_slice(&bytes);
            }
            // Sound frames with one byte turned, among the noise.
            other.receive(0, &Link::new(bounds(), &identity("b"), 0).next_bytes(1).unwrap()).unwrap();
            other.send(Outbound::Request(request(3), vec![9; 100]));
            let mut sound = other.next_bytes(4096).unwrap();
            let at = flip % sound.len();
            sound[at] ^= 1 << (flip % 8);
            let _ = link.receive(1, &sound).and_then(|_| link.receive(2, &whole));
            while link.next_bytes(1 << 16).is_some() {}
            Ok(())
        })
        .unwrap();
}

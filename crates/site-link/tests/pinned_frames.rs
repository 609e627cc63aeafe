//! The bytes of each kind of frame, as gateways of other versions send and read them.

use aldermill_site_link::{
    Ask, Bounds, Broken, Close, Confirm, Credit, Event, Fate, FateKind, Frame, Hello, Home, Identity, Kind,
    Link, Outcome, OutcomeKind, Ping, Pong, Request, Room, Said,
};
use prost::Message;

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Encodes to these bytes, and is decoded from them.
#[track_caller]
fn pinned(kind: Kind, bytes: &[u8]) {
    let frame = Frame { kind: Some(kind) };
    assert_eq!(text(&frame.encode_to_vec()), text(bytes));
    assert_eq!(Frame::decode(bytes), Ok(frame));
}

#[test]
fn hello() {
    let hello = Hello {
        version: 1,
        site: "north".into(),
        instance: "n0".into(),
        start: 0x0102_0304_0506,
        heartbeat_us: 250_000,
        window: 65_536,
    };
    pinned(
        Kind::Hello(hello),
        b"\
        \n\x1c\x08\x01\x12\x05north\x1a\x02n0 \x86\x8a\x90\x98\xa0 (\x90\xa1\x0f0\x80\x80\x04",
    );
}

fn request() -> Request {
    Request {
        number: 300,
        receiver_start: 9,
        class: "look".into(),
        group: 7,
        left_us: 1_500_000,
        written_ago_us: 40,
        repeat: true,
        visited: vec!["a".into(), "b".into()],
        length: 5,
    }
}

#[test]
fn request_with_every_field() {
    pinned(
        Kind::Request(request()),
        b"\
        \x12\x1d\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05",
    );
}

// The types of data and of windows have no public name; their fields are public.

#[test]
fn data_of_a_statement_and_of_a_value() {
    for (value, bytes) in [
        (false, &b"\x1a\x0b\x08\xac\x02\x1a\x06\0part\xff"[..]),
        (
            true,
            b"\
        \x1a\r\x08\xac\x02\x10\x01\x1a\x06\0part\xff",
        ),
    ] {
        let mut kind = Kind::Data(Default::default());
        if let Kind::Data(data) = &mut kind {
            data.number = 300;
            data.value = value;
            data.bytes = b"\0part\xff".to_vec();
        }
        pinned(kind, bytes);
    }
}

#[test]
fn window_of_a_statement_and_of_a_value() {
    for (value, bytes) in [
        (false, &b"\"\x07\x08\xac\x02\x18\x80\x80\x02"[..]),
        (
            true,
            b"\
        \"\t\x08\xac\x02\x10\x01\x18\x80\x80\x02",
        ),
    ] {
        let mut kind = Kind::Window(Default::default());
        if let Kind::Window(window) = &mut kind {
            window.number = 300;
            window.value = value;
            window.bytes = 32_768;
        }
        pinned(kind, bytes);
    }
}

#[test]
fn outcome_of_each_kind() {
    let cases: [(OutcomeKind, &[u8]); 6] = [
        (OutcomeKind::Unset, b"*\x10\x08\xac\x02\x18\xe8\x07\"\x04east(\x050M"),
        (OutcomeKind::Served, b"*\x12\x08\xac\x02\x10\x01\x18\xe8\x07\"\x04east(\x050M"),
        (OutcomeKind::Rejected, b"*\x12\x08\xac\x02\x10\x02\x18\xe8\x07\"\x04east(\x050M"),
        (OutcomeKind::Failed, b"*\x12\x08\xac\x02\x10\x03\x18\xe8\x07\"\x04east(\x050M"),
        (OutcomeKind::NotHere, b"*\x12\x08\xac\x02\x10\x04\x18\xe8\x07\"\x04east(\x050M"),
        (OutcomeKind::Wrong, b"*\x12\x08\xac\x02\x10\x05\x18\xe8\x07\"\x04east(\x050M"),
    ];
    for (kind, bytes) in cases {
        let outcome = Outcome {
            number: 300,
            kind: kind.into(),
            cool_down_us: 1_000,
            hint: "east".into(),
            length: 5,
            took_us: 77,
        };
        pinned(Kind::Outcome(outcome), bytes);
    }
}

#[test]
fn cancel() {
    pinned(Kind::Cancel(300), b"0\xac\x02");
}

#[test]
fn ask() {
    pinned(Kind::Ask(Ask { number: 300, receiver_start: 9 }), b":\x05\x08\xac\x02\x10\t");
}

#[test]
fn fate_of_each_kind() {
    let cases: [(FateKind, &[u8]); 7] = [
        (FateKind::Unset, b"B\x08\x08\xac\x02\x18\xe8\x07 \x05"),
        (FateKind::NeverTaken, b"B\n\x08\xac\x02\x10\x01\x18\xe8\x07 \x05"),
        (FateKind::Rejected, b"B\n\x08\xac\x02\x10\x02\x18\xe8\x07 \x05"),
        (FateKind::Served, b"B\n\x08\xac\x02\x10\x03\x18\xe8\x07 \x05"),
        (FateKind::Failed, b"B\n\x08\xac\x02\x10\x04\x18\xe8\x07 \x05"),
        (FateKind::Unknown, b"B\n\x08\xac\x02\x10\x05\x18\xe8\x07 \x05"),
        (FateKind::UnderWay, b"B\n\x08\xac\x02\x10\x06\x18\xe8\x07 \x05"),
    ];
    for (kind, bytes) in cases {
        let fate = Fate { number: 300, kind: kind.into(), cool_down_us: 1_000, length: 5 };
        pinned(Kind::Fate(fate), bytes);
    }
}

#[test]
fn confirm() {
    pinned(Kind::Confirm(Confirm { upto: 300 }), b"J\x03\x08\xac\x02");
}

#[test]
fn ping_and_pong() {
    pinned(Kind::Ping(Ping { number: 300 }), b"R\x03\x08\xac\x02");
    pinned(Kind::Pong(Pong { number: 300 }), b"Z\x03\x08\xac\x02");
}

fn room() -> Room {
    Room {
        credits: vec![
            Credit { class: "look".into(), requests: 300 },
            Credit { class: "renew".into(), requests: 0 },
        ],
        homes: vec![Home { group: 7, primary: true }, Home { group: 8, primary: false }],
        draining: true,
    }
}

#[test]
fn room_with_credits_and_homes() {
    pinned(
        Kind::Room(room()),
        b"\
        b \n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\x08\x18\
        \x01",
    );
}

#[test]
fn close() {
    pinned(Kind::Close(Close { why: "enough".into() }), b"j\x08\n\x06enough");
}

// ---- What a link itself sends and reads: each frame behind four bytes of its length.

const HELLO_A: &[u8] = b"\0\0\0\x15\n\x13\x08\x01\x12\x01a\x1a\x02n0 \x07(\x90\xa1\x0f0\x80\x80\x04";

fn identity(site: &str) -> Identity {
    Identity { site: site.into(), instance: "n0".into(), start: 7 }
}

/// A link of site `b` that read the greeting of site `a`, and whose own has gone out.
fn link() -> Link {
    let mut link = Link::start(Bounds::usual(200_000, 400_000), &identity("b"), 0);
    assert_eq!(link.receive(0, HELLO_A), Ok(vec![Event::Met(identity("a"))]));
    link.next_bytes(1).unwrap();
    link
}

/// What is said goes out as these bytes, and they are heard as this.
#[track_caller]
fn crosses(said: Said, bytes: &[u8], heard: Event) {
    let mut sender = link();
    sender.say(said);
    assert_eq!(text(&sender.next_bytes(1 << 20).unwrap()), text(bytes));
    assert_eq!(link().receive(0, bytes), Ok(vec![heard]));
}

#[test]
fn the_greeting_that_a_link_sends() {
    let mut link = Link::start(Bounds::usual(200_000, 400_000), &identity("a"), 0);
    assert_eq!(text(&link.next_bytes(1).unwrap()), text(HELLO_A));
}

#[test]
fn messages_that_a_link_sends_and_reads() {
    let heard = Event::Request(request(), b"read!".to_vec());
    crosses(
        Said::Request(Request { length: 0, ..request() }, b"read!".to_vec()),
        b"\
        \0\0\0\x1f\x12\x1d\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05\0\0\
        \0\x0c\x1a\n\x08\xac\x02\x1a\x05read!",
        heard,
    );
    let outcome = Outcome { number: 300, kind: OutcomeKind::Served.into(), length: 5, ..Outcome::default() };
    let said = Said::Outcome(Outcome { length: 0, ..outcome.clone() }, b"value".to_vec());
    crosses(
        said,
        b"\
        \0\0\0\t*\x07\x08\xac\x02\x10\x01(\x05\0\0\0\x0e\x1a\x0c\x08\xac\x02\x10\x01\x1a\x05value",
        Event::Outcome(
            outcome,
            b"\
        value"
                .to_vec(),
        ),
    );
    let fate = Fate { number: 300, kind: FateKind::Served.into(), length: 5, ..Fate::default() };
    let said = Said::Fate(Fate { length: 0, ..fate.clone() }, b"value".to_vec());
    crosses(
        said,
        b"\
        \0\0\0\tB\x07\x08\xac\x02\x10\x03 \x05\0\0\0\x0e\x1a\x0c\x08\xac\x02\x10\x01\x1a\x05value",
        Event::Fate(
            fate,
            b"\
        value"
                .to_vec(),
        ),
    );
    crosses(Said::Cancel(300), b"\0\0\0\x030\xac\x02", Event::Cancel(300));
    let ask = Ask { number: 300, receiver_start: 9 };
    crosses(Said::Ask(ask.clone()), b"\0\0\0\x07:\x05\x08\xac\x02\x10\t", Event::Ask(ask));
    let confirm = Confirm { upto: 300 };
    crosses(Said::Confirm(confirm.clone()), b"\0\0\0\x05J\x03\x08\xac\x02", Event::Confirm(confirm));
    crosses(
        Said::Room(room()),
        b"\
        \0\0\0\"b \n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\
        \x08\x18\x01",
        Event::Room(room()),
    );
}

#[test]
fn ping_pong_and_close_that_a_link_sends_and_reads() {
    let (ping, pong, close) = (
        b"\0\0\0\x04R\x02\x08\x01",
        b"\0\0\0\x04Z\x02\x08\x01",
        b"\
        \0\0\0\nj\x08\n\x06enough",
    );
    let mut asking = link();
    asking.wake(0).unwrap();
    assert_eq!(text(&asking.next_bytes(1).unwrap()), text(ping));
    let mut answering = link();
    assert_eq!(answering.receive(0, ping), Ok(vec![]));
    assert_eq!(text(&answering.next_bytes(1).unwrap()), text(pong));
    assert_eq!(asking.receive(300, pong), Ok(vec![Event::Trip(300)]));
    assert_eq!(text(&Link::close("enough")), text(close));
    assert_eq!(link().receive(0, close), Err(Broken::Closed("enough".into())));
}

#[test]
fn window_that_a_link_sends_and_reads() {
    let window = b"\0\0\0\x08\"\x06\x08\x01\x18\x80\x80\x02";
    let long = Request { number: 1, class: "look".into(), ..Request::default() };
    let mut sender = link();
    sender.say(Said::Request(long, vec![1; 100_000]));
    let mut receiver = link();
    while let Some(bytes) = sender.next_bytes(1) {
        receiver.receive(0, &bytes).unwrap();
    }
    let wider = receiver.next_bytes(1).unwrap();
    assert_eq!(text(&wider), text(window));
    assert_eq!(sender.receive(0, window), Ok(vec![]));
    assert!(sender.next_bytes(1).is_some(), "more of the statement goes out");
}

//! The bytes of each kind of frame, as gateways of other versions send and read them.

use aldermill_site_link::{
    CapacityAnnouncement, Close, Confirm, Credit, Frame, FrameKind, Hello, HomeAnnouncement, Identity,
    Inbound, Link, LinkConfig, LinkError, Outbound, OutcomeQuery, OutcomeReply, OutcomeReplyKind, Ping, Pong,
    Request, Response, ResponseKind,
};
use prost::Message;

fn text(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// Encodes to these bytes, and is decoded from them.
#[track_caller]
fn pinned(kind: FrameKind, bytes: &[u8]) {
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
        incarnation: 0x0102_0304_0506,
        heartbeat_us: 250_000,
        window: 65_536,
    };
    pinned(
        FrameKind::Hello(hello),
        b"\
        \n\x1c\x08\x01\x12\x05north\x1a\x02n0 \x86\x8a\x90\x98\xa0 (\x90\xa1\x0f0\x80\x80\x04",
    );
}

fn request() -> Request {
    Request {
        number: 300,
        receiver_incarnation: 9,
        class: "look".into(),
        group: 7,
        timeout_us: 1_500_000,
        written_ago_us: 40,
        client_retry: true,
        visited: vec!["a".into(), "b".into()],
        length: 5,
        ..Request::default()
    }
}

#[test]
fn request_with_every_field() {
    pinned(
        FrameKind::Request(request()),
        b"\
        \x12\x1d\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05",
    );
}

/// A gateway that does not know the age reads the other fields as before; one that does takes a request without it, as
/// gateways of earlier versions send them, for one of which no attempt may have run.
#[test]
fn request_after_an_attempt_that_may_have_run() {
    let repeated = Request { earlier_attempt_ago_us: 400_000, ..request() };
    pinned(
        FrameKind::Request(repeated),
        b"\
        \x12!\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05P\x80\xb5\x18",
    );
}

#[test]
fn request_that_states_its_transit() {
    let stating = Request { announcement: 300, announcement_ago_us: 40, one_way_delay_us: 5, ..request() };
    pinned(
        FrameKind::Request(stating),
        b"\
        \x12$\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05X\xac\x02`(h\x05",
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
        let mut kind = FrameKind::Data(Default::default());
        if let FrameKind::Data(data) = &mut kind {
            data.number = 300;
            data.is_response = value;
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
        let mut kind = FrameKind::Window(Default::default());
        if let FrameKind::Window(window) = &mut kind {
            window.number = 300;
            window.is_response = value;
            window.bytes = 32_768;
        }
        pinned(kind, bytes);
    }
}

#[test]
fn response_of_each_kind() {
    let cases: [(ResponseKind, &[u8]); 6] = [
        (ResponseKind::Unset, b"*\x10\x08\xac\x02\x18\xe8\x07\"\x04east(\x050M"),
        (ResponseKind::Served, b"*\x12\x08\xac\x02\x10\x01\x18\xe8\x07\"\x04east(\x050M"),
        (ResponseKind::Rejected, b"*\x12\x08\xac\x02\x10\x02\x18\xe8\x07\"\x04east(\x050M"),
        (ResponseKind::Failed, b"*\x12\x08\xac\x02\x10\x03\x18\xe8\x07\"\x04east(\x050M"),
        (ResponseKind::NotPrimary, b"*\x12\x08\xac\x02\x10\x04\x18\xe8\x07\"\x04east(\x050M"),
        (ResponseKind::Invalid, b"*\x12\x08\xac\x02\x10\x05\x18\xe8\x07\"\x04east(\x050M"),
    ];
    for (kind, bytes) in cases {
        let outcome = Response {
            number: 300,
            kind: kind.into(),
            retry_after_us: 1_000,
            hint: "east".into(),
            length: 5,
            duration_us: 77,
        };
        pinned(FrameKind::Response(outcome), bytes);
    }
}

#[test]
fn cancel() {
    pinned(FrameKind::Cancel(300), b"0\xac\x02");
}

#[test]
fn outcome_query() {
    pinned(
        FrameKind::OutcomeQuery(OutcomeQuery { number: 300, receiver_incarnation: 9 }),
        b":\x05\x08\xac\x02\x10\t",
    );
}

#[test]
fn outcome_reply_of_each_kind() {
    let cases: [(OutcomeReplyKind, &[u8]); 7] = [
        (OutcomeReplyKind::Unset, b"B\x08\x08\xac\x02\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::NeverAccepted, b"B\n\x08\xac\x02\x10\x01\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::Rejected, b"B\n\x08\xac\x02\x10\x02\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::Served, b"B\n\x08\xac\x02\x10\x03\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::Failed, b"B\n\x08\xac\x02\x10\x04\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::Unknown, b"B\n\x08\xac\x02\x10\x05\x18\xe8\x07 \x05"),
        (OutcomeReplyKind::InFlight, b"B\n\x08\xac\x02\x10\x06\x18\xe8\x07 \x05"),
    ];
    for (kind, bytes) in cases {
        let fate = OutcomeReply { number: 300, kind: kind.into(), retry_after_us: 1_000, length: 5 };
        pinned(FrameKind::OutcomeReply(fate), bytes);
    }
}

#[test]
fn confirm() {
    pinned(FrameKind::Confirm(Confirm { up_to: 300 }), b"J\x03\x08\xac\x02");
}

#[test]
fn ping_and_pong() {
    pinned(FrameKind::Ping(Ping { number: 300 }), b"R\x03\x08\xac\x02");
    pinned(FrameKind::Pong(Pong { number: 300 }), b"Z\x03\x08\xac\x02");
}

fn announcement() -> CapacityAnnouncement {
    CapacityAnnouncement {
        credits: vec![
            Credit { class: "look".into(), requests: 300 },
            Credit { class: "renew".into(), requests: 0 },
        ],
        homes: vec![
            HomeAnnouncement { group: 7, has_primary: true },
            HomeAnnouncement { group: 8, has_primary: false },
        ],
        draining: true,
        ..CapacityAnnouncement::default()
    }
}

#[test]
fn capacity_announcement_with_credits_and_homes() {
    pinned(
        FrameKind::CapacityAnnouncement(announcement()),
        b"\
        b \n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\x08\x18\
        \x01",
    );
}

#[test]
fn capacity_announcement_of_a_gateway_that_reads_attempt_ages() {
    let reading = CapacityAnnouncement { reads_attempt_ages: true, ..announcement() };
    pinned(
        FrameKind::CapacityAnnouncement(reading),
        b"\
        b\"\n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\x08\x18\
        \x01 \x01",
    );
}

#[test]
fn capacity_announcement_with_a_number() {
    let numbered = CapacityAnnouncement { number: 300, ..announcement() };
    pinned(
        FrameKind::CapacityAnnouncement(numbered),
        b"\
        b#\n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\x08\x18\
        \x01(\xac\x02",
    );
}

#[test]
fn close() {
    pinned(FrameKind::Close(Close { why: "enough".into() }), b"j\x08\n\x06enough");
}

// ---- What a link itself sends and reads: each frame behind four bytes of its length.

const HELLO_A: &[u8] = b"\0\0\0\x15\n\x13\x08\x01\x12\x01a\x1a\x02n0 \x07(\x90\xa1\x0f0\x80\x80\x04";

fn identity(site: &str) -> Identity {
    Identity { site: site.into(), instance: "n0".into(), incarnation: 7 }
}

/// A link of site `b` that read the greeting of site `a`, and whose own has gone out.
fn link() -> Link {
    let mut link = Link::new(LinkConfig::standard(200_000, 400_000), &identity("b"), 0);
    assert_eq!(link.receive(0, HELLO_A), Ok(vec![Inbound::Greeted(identity("a"))]));
    link.next_bytes(1).unwrap();
    link
}

/// What is said goes out as these bytes, and they are heard as this.
#[track_caller]
fn crosses(said: Outbound, bytes: &[u8], heard: Inbound) {
    let mut sender = link();
    sender.send(said);
    assert_eq!(text(&sender.next_bytes(1 << 20).unwrap()), text(bytes));
    assert_eq!(link().receive(0, bytes), Ok(vec![heard]));
}

#[test]
fn the_greeting_that_a_link_sends() {
    let mut link = Link::new(LinkConfig::standard(200_000, 400_000), &identity("a"), 0);
    assert_eq!(text(&link.next_bytes(1).unwrap()), text(HELLO_A));
}

#[test]
fn messages_that_a_link_sends_and_reads() {
    let heard = Inbound::Request(request(), b"read!".to_vec());
    crosses(
        Outbound::Request(Request { length: 0, ..request() }, b"read!".to_vec()),
        b"\
        \0\0\0\x1f\x12\x1d\x08\xac\x02\x10\t\x1a\x04look \x07(\xe0\xc6[0(8\x01B\x01aB\x01bH\x05\0\0\
        \0\x0c\x1a\n\x08\xac\x02\x1a\x05read!",
        heard,
    );
    let outcome =
        Response { number: 300, kind: ResponseKind::Served.into(), length: 5, ..Response::default() };
    let said = Outbound::Response(Response { length: 0, ..outcome.clone() }, b"value".to_vec());
    crosses(
        said,
        b"\
        \0\0\0\t*\x07\x08\xac\x02\x10\x01(\x05\0\0\0\x0e\x1a\x0c\x08\xac\x02\x10\x01\x1a\x05value",
        Inbound::Response(
            outcome,
            b"\
        value"
                .to_vec(),
        ),
    );
    let fate = OutcomeReply {
        number: 300,
        kind: OutcomeReplyKind::Served.into(),
        length: 5,
        ..OutcomeReply::default()
    };
    let said = Outbound::OutcomeReply(OutcomeReply { length: 0, ..fate.clone() }, b"value".to_vec());
    crosses(
        said,
        b"\
        \0\0\0\tB\x07\x08\xac\x02\x10\x03 \x05\0\0\0\x0e\x1a\x0c\x08\xac\x02\x10\x01\x1a\x05value",
        Inbound::OutcomeReply(
            fate,
            b"\
        value"
                .to_vec(),
        ),
    );
    crosses(Outbound::Cancel(300), b"\0\0\0\x030\xac\x02", Inbound::Cancel(300));
    let ask = OutcomeQuery { number: 300, receiver_incarnation: 9 };
    crosses(
        Outbound::OutcomeQuery(ask.clone()),
        b"\0\0\0\x07:\x05\x08\xac\x02\x10\t",
        Inbound::OutcomeQuery(ask),
    );
    let confirm = Confirm { up_to: 300 };
    crosses(Outbound::Confirm(confirm.clone()), b"\0\0\0\x05J\x03\x08\xac\x02", Inbound::Confirm(confirm));
    crosses(
        Outbound::CapacityAnnouncement(announcement()),
        b"\
        \0\0\0\"b \n\t\n\x04look\x10\xac\x02\n\x07\n\x05renew\x12\x04\x08\x07\x10\x01\x12\x02\x08\
        \x08\x18\x01",
        Inbound::CapacityAnnouncement(announcement()),
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
    assert_eq!(asking.receive(300, pong), Ok(vec![Inbound::RoundTrip(300)]));
    assert_eq!(text(&Link::close("enough")), text(close));
    assert_eq!(link().receive(0, close), Err(LinkError::Closed("enough".into())));
}

#[test]
fn window_that_a_link_sends_and_reads() {
    let window = b"\0\0\0\x08\"\x06\x08\x01\x18\x80\x80\x02";
    let long = Request { number: 1, class: "look".into(), ..Request::default() };
    let mut sender = link();
    sender.send(Outbound::Request(long, vec![1; 100_000]));
    let mut receiver = link();
    while let Some(bytes) = sender.next_bytes(1) {
        receiver.receive(0, &bytes).unwrap();
    }
    let wider = receiver.next_bytes(1).unwrap();
    assert_eq!(text(&wider), text(window));
    assert_eq!(sender.receive(0, window), Ok(vec![]));
    assert!(sender.next_bytes(1).is_some(), "more of the statement goes out");
}

//! Any split of the bytes reads the same, garbage never panics, and what is encoded decodes to itself.

use aldermill_wire::http::{Body, BodyLines, LineRead};
use aldermill_wire::statement::{Comment, first_quoted_text, is_empty};
use aldermill_wire::{Buffer, Exchange, Malformed, http, pg};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};

const MAX: usize = 1 << 16;

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config =
        Config { cases: 512, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng).run(strategy, test).unwrap();
}

/// The bytes in pieces of these lengths, over and over.
fn pieces<'a>(mut bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    for &cut in cuts.iter().cycle() {
        if bytes.is_empty() {
            break;
        }
        let (piece, rest) = bytes.split_at(cut.min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces
}

fn cuts() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1usize..40, 1..8)
}

fn garbage() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..400)
}

fn absorb(bytes: &[u8], cuts: &[usize]) -> (Result<(), Malformed>, Exchange, Vec<u8>) {
    let (mut exchange, mut buffer) = (Exchange::default(), Buffer::default());
    let mut result = Ok(());
    for piece in pieces(bytes, cuts) {
        buffer.tail().extend_from_slice(piece);
        result = result.and_then(|()| exchange.absorb(&mut buffer, MAX));
    }
    (result, exchange, buffer.held().to_vec())
}

fn lines(bytes: &[u8], cuts: &[usize], body: Body) -> (Result<(), Malformed>, Vec<Vec<u8>>, bool) {
    let (mut lines, mut buffer, mut read) = (BodyLines::new(body, MAX), Buffer::default(), Vec::new());
    for piece in pieces(bytes, cuts) {
        buffer.tail().extend_from_slice(piece);
        loop {
            match lines.next_line(buffer.held()) {
                Err(bad) => return (Err(bad), read, lines.is_over()),
                Ok(LineRead { consumed, line }) => {
                    buffer.consume(consumed);
                    let Some(line) = line else { break };
                    read.push(line);
                }
            }
        }
    }
    (Ok(()), read, lines.is_over())
}

#[test]
fn a_split_response_reads_as_a_whole_one() {
    let value = prop::collection::vec(any::<u8>(), 0..300);
    check(&(value, "[a-z]{0,9}", any::<u32>(), cuts()), |(value, role, position, cuts)| {
        let mut bytes = Vec::new();
        pg::write_single_row(&mut bytes, "val", &value, "SELECT 1");
        let rows = bytes.len();
        pg::write_parameter_status(&mut bytes, "server_role", &role);
        pg::write_parameter_status(&mut bytes, "commit_clock", &position.to_string());
        pg::write_parameter_status(&mut bytes, "usage", "inflight=7,util=0.61");
        pg::write_ready_for_query(&mut bytes);
        let end = bytes.len();
        bytes.extend_from_slice(b"next");
        let (result, exchange, rest) = absorb(&bytes, &cuts);
        prop_assert!(result.is_ok() && exchange.is_served() && exchange.is_ready());
        prop_assert_eq!(exchange.value(), &value[..]);
        prop_assert_eq!(&exchange.rows.concat()[..], &bytes[..rows]);
        prop_assert_eq!(exchange.role.as_deref(), Some(&role[..]));
        prop_assert_eq!(exchange.position, Some(position.to_string()));
        prop_assert_eq!(exchange.usage.as_deref(), Some("inflight=7,util=0.61"));
        prop_assert_eq!(&rest[..], &bytes[end..]);
        // Cut off anywhere before its completion it is never taken for a whole value.
        let (_, cut, _) = absorb(&bytes[..rows - 1], &cuts);
        prop_assert!(!cut.is_served());
        Ok(())
    });
}

#[test]
fn an_error_response_is_no_value_and_a_fatal_one_ends_the_response() {
    for fatal in [false, true] {
        let mut bytes = Vec::new();
        pg::write_error_response(&mut bytes, fatal, "25006", "no primary", Some("250"));
        let response = pg::ErrorResponse::parse(pg::message(&bytes, MAX).unwrap().unwrap().body).unwrap();
        assert_eq!(response, pg::ErrorResponse { fatal, code: "25006", detail: "250" });
        let (result, exchange, _) = absorb(&bytes, &[5]);
        assert!(result.is_ok() && !exchange.is_served());
        assert_eq!((exchange.error.as_deref(), exchange.is_over()), (Some("25006"), fatal));
        assert!(!exchange.is_ready());
    }
}

#[test]
fn messages_out_of_place_are_malformed() {
    let mut two_rows = Vec::new();
    pg::write_single_row(&mut two_rows, "val", b"1", "SELECT 1");
    let mut completion = Vec::new();
    pg::write_single_row(&mut completion, "val", b"1", "SELECT 1");
    let mut ready = Vec::new();
    pg::write_ready_for_query(&mut ready);
    two_rows.extend_from_slice(&completion);
    assert!(absorb(&two_rows, &[1000]).0.is_err(), "a second answer");
    assert!(absorb(&ready, &[1000]).0.is_err(), "ready without an answer");
    assert!(absorb(&[b'D', 0, 0, 0, 8, 0, 2, 0, 0], &[1000]).0.is_err(), "a row that was not described");
    assert!(absorb(&[b'T', 255, 255, 255, 255], &[1000]).0.is_err(), "a length beyond all bounds");
}

#[test]
fn split_client_messages_read_as_whole_ones() {
    let text = prop::collection::vec(1u8..255, 0..200);
    check(&(prop::collection::vec(text, 1..5), cuts()), |(texts, cuts)| {
        let mut bytes = Vec::new();
        pg::write_startup_message(&mut bytes, "client", "core");
        texts.iter().for_each(|text| pg::write_query(&mut bytes, &[text]));
        let (mut buffer, mut read, mut opened) = (Buffer::default(), Vec::new(), false);
        for piece in pieces(&bytes, &cuts) {
            buffer.tail().extend_from_slice(piece);
            if !opened {
                let Some(pg::InitialMessage { kind, length }) = pg::initial_message(buffer.held()).unwrap()
                else {
                    continue;
                };
                prop_assert_eq!(kind, pg::InitialMessageKind::StartupMessage);
                buffer.consume(length);
                opened = true;
            }
            while let Some(message) = pg::message(buffer.held(), MAX).unwrap() {
                prop_assert_eq!(message.tag, b'Q');
                read.push(pg::parse_query(message.body).unwrap().to_vec());
                let length = message.length;
                buffer.consume(length);
            }
        }
        prop_assert_eq!(read, texts);
        Ok(())
    });
}

#[test]
fn body_lines_read_the_same_however_chunks_and_reads_are_split() {
    let line = "[ -~]{0,60}";
    check(&(prop::collection::vec(line, 1..6), cuts(), cuts()), |(texts, chunk_cuts, cuts)| {
        let plain: Vec<u8> = texts.iter().flat_map(|text| format!("{text}\n").into_bytes()).collect();
        let mut chunked = Vec::new();
        for chunk in pieces(&plain, &chunk_cuts) {
            chunked.extend_from_slice(format!("{:x};note\r\n", chunk.len()).as_bytes());
            chunked.extend_from_slice(chunk);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\nTrailer: x\r\n\r\n");
        let wanted: Vec<Vec<u8>> = texts.iter().map(|text| format!("{text}\n").into_bytes()).collect();
        prop_assert_eq!(lines(&chunked, &cuts, Body::Chunked), (Ok(()), wanted.clone(), true));
        prop_assert_eq!(lines(&plain, &cuts, Body::UntilClose), (Ok(()), wanted.clone(), false));
        prop_assert_eq!(lines(&plain, &cuts, Body::ContentLength(plain.len())), (Ok(()), wanted, true));
        Ok(())
    });
}

#[test]
fn a_response_head_is_read_whole_or_not_at_all() {
    let head =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n4\r\n";
    for end in 0..head.len() {
        let read = http::parse_response_head(&head[..end], 200).unwrap();
        assert_eq!(read.is_some(), end >= head.len() - 3, "{end}");
    }
    let read = http::parse_response_head(head, 200).unwrap().unwrap();
    assert_eq!((read.status, read.body, read.length), (200, Body::Chunked, head.len() - 3));
    assert!(http::parse_response_head(b"SMTP ready\r\n\r\n", 200).is_err());
    assert!(http::parse_response_head(&[b'a'; 201], 200).is_err());
}

#[test]
fn garbage_never_panics() {
    check(&(garbage(), cuts()), |(bytes, cuts)| {
        let _ = pg::initial_message(&bytes);
        let _ = pg::parse_query(&bytes);
        let _ = pg::ErrorResponse::parse(&bytes);
        let _ = pg::parse_parameter_status(&bytes);
        let _ = pg::parse_data_row(&bytes);
        let _ = http::parse_response_head(&bytes, MAX);
        let _ = Comment::parse(&bytes);
        let _ = (first_quoted_text(&bytes), is_empty(&bytes));
        let _ = absorb(&bytes, &cuts);
        for body in [Body::Chunked, Body::ContentLength(bytes.len() / 2), Body::UntilClose] {
            let _ = lines(&bytes, &cuts, body);
        }
        Ok(())
    });
    // Damage to what is almost right goes further into the parsers.
    let mut answer = Vec::new();
    pg::write_single_row(&mut answer, "val", b"12345", "SELECT 1");
    pg::write_parameter_status(&mut answer, "usage", "x0=1.5");
    pg::write_ready_for_query(&mut answer);
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\ncd\r\n0\r\n\r\n".to_vec();
    let comment = b"/* id=9b,c=order,d=480,r=1,cluster=2,after=17 */ SELECT E'a\\'b'".to_vec();
    check(&(any::<prop::sample::Index>(), any::<u8>(), cuts()), |(at, byte, cuts)| {
        let damaged = |text: &[u8]| {
            let mut text = text.to_vec();
            let at = at.index(text.len());
            text[at] = byte;
            text
        };
        let _ = absorb(&damaged(&answer), &cuts);
        let malformed = damaged(&chunked);
        if let Ok(Some(head)) = http::parse_response_head(&malformed, MAX) {
            let _ = lines(&malformed[head.length..], &cuts, head.body);
        }
        let malformed = damaged(&comment);
        let _ = (Comment::parse(&malformed), first_quoted_text(&malformed));
        Ok(())
    });
}

#[test]
fn a_comment_names_the_whole_request_or_is_malformed() {
    let statement = b" /* id=9b1f,c=basket,d=480,r=1,cluster=2,after=1767225600123,more=x */ SELECT 1";
    let comment = Comment::parse(statement).unwrap();
    assert_eq!((&comment.class[..], comment.timeout_ms, comment.group), ("basket", 480, 2));
    assert_eq!((comment.client_retry, comment.min_position_ms), (true, Some(1_767_225_600_123)));
    assert_eq!(&statement[comment.timeout_range.clone()], b"480");
    assert_eq!(&statement[comment.end..], b" SELECT 1");
    for bad in [
        "SELECT 1",
        "/* id=9b,c=a,d=1,cluster=2",
        "/* c=a,d=1,cluster=2 */",
        "/* id=,c=a,d=1,cluster=2 */",
        "/* id=9b,c=a,cluster=2 */",
        "/* id=9b,c=a,d=0,cluster=2 */",
        "/* id=9b,c=a,d=-5,cluster=2 */",
        "/* id=9b,c=a,d=+5,cluster=2 */",
        "/* id=9b,c=a,d=99999999999,cluster=2 */",
        "/* id=9b,c=a,d=5,d=6,cluster=2 */",
        "/* id=9b,c=a,d=5,cluster=two */",
        "/* id=9b,c=a,d=5 */",
        "/* id=9b,c=a,d=5,cluster=2,alone */",
    ] {
        assert!(Comment::parse(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn a_quoted_key_is_the_same_however_it_is_written() {
    assert_eq!(first_quoted_text(b"WHERE uid = '7f3a'").as_deref(), Some("7f3a"));
    assert_eq!(first_quoted_text(b"WHERE uid = 'a''b'").as_deref(), Some("a'b"));
    assert_eq!(first_quoted_text(b"WHERE uid = E'a\\'b'").as_deref(), Some("a'b"));
    assert_eq!(first_quoted_text(b"VALUES ('a\\', 'x')").as_deref(), Some("a\\"));
    assert_eq!(first_quoted_text(b"WHERE uid = 'a''"), None);
    assert_eq!(first_quoted_text(b"SELECT 1"), None);
}

#[test]
fn a_buffer_releases_the_memory_of_a_large_message() {
    let mut buffer = Buffer::default();
    for _ in 0..3 {
        buffer.tail().extend_from_slice(&[7; 100_000]);
        buffer.consume(99_999);
        buffer.tail().push(8);
        assert_eq!(buffer.held(), [7, 8]);
        buffer.consume(2);
        assert!(buffer.is_empty() && buffer.tail().capacity() <= 8192);
    }
}

/// Clients read these texts in an ErrorResponse; they must not change with the names in the code.
#[test]
fn malformed_messages_are_explained_in_the_same_words() {
    for (malformed, text) in [
        (pg::initial_message(&[0, 0, 0, 7]).unwrap_err(), "startup message of impossible length"),
        (pg::initial_message(&[0, 0, 0, 8, 0, 2, 0, 0]).unwrap_err(), "unsupported protocol version"),
        (pg::message(b"Q\0\0\0\x03", MAX).unwrap_err(), "bytes that are no message"),
        (pg::message(b"Q\0\0\0\x09", 8).unwrap_err(), "message too long"),
        (pg::parse_query(b"SELECT 1").unwrap_err(), "query without its end"),
        (pg::check_prefix(b"?").unwrap_err(), "message that has no place in an answer"),
        (Malformed::UnknownMessageType, "unknown message type"),
    ] {
        assert_eq!(malformed.to_string(), text);
    }
    for (comment, text) in [
        ("SELECT 1", "no comment names the task"),
        ("/* id=9b,c=a,d=1,cluster=2", "comment without an end"),
        ("/* c=a,d=1,cluster=2 */", "comment lacks id"),
        ("/* id=9b,c=a,cluster=2 */", "comment lacks d"),
        ("/* id=9b,d=1,cluster=2 */", "comment lacks c"),
        ("/* id=9b,c=a,d=5 */", "comment lacks cluster"),
        ("/* id=,c=a,d=1,cluster=2 */", "comment field repeated or empty"),
        ("/* id=9b,c=a,d=0,cluster=2 */", "comment leaves no time, or more than any client has"),
        ("/* id=9b,c=a,d=-5,cluster=2 */", "comment field is no number in range"),
        ("/* id=9b,c=a,d=5,cluster=2,alone */", "comment field without a value"),
    ] {
        assert_eq!(Comment::parse(comment.as_bytes()).unwrap_err().to_string(), text);
    }
}

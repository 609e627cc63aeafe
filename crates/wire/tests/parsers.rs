//! Any split of the bytes reads the same, garbage never panics, and what is encoded decodes to itself.

use aldermill_wire::http::{Body, Lines};
use aldermill_wire::statement::{Comment, is_empty, quoted};
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
    let (mut lines, mut buffer, mut told) = (Lines::new(body, MAX), Buffer::default(), Vec::new());
    for piece in pieces(bytes, cuts) {
        buffer.tail().extend_from_slice(piece);
        loop {
            match lines.next(buffer.held()) {
                Err(bad) => return (Err(bad), told, lines.is_over()),
                Ok((used, line)) => {
                    buffer.consume(used);
                    let Some(line) = line else { break };
                    told.push(line);
                }
            }
        }
    }
    (Ok(()), told, lines.is_over())
}

#[test]
fn an_answer_reads_the_same_however_it_is_split() {
    let value = prop::collection::vec(any::<u8>(), 0..300);
    check(&(value, "[a-z]{0,9}", any::<u32>(), cuts()), |(value, role, position, cuts)| {
        let mut bytes = Vec::new();
        pg::single_row(&mut bytes, "val", &value, "SELECT 1");
        let rows = bytes.len();
        pg::parameter_status(&mut bytes, "server_role", &role);
        pg::parameter_status(&mut bytes, "commit_clock", &position.to_string());
        pg::parameter_status(&mut bytes, "usage", "inflight=7,util=0.61");
        pg::ready(&mut bytes);
        let end = bytes.len();
        bytes.extend_from_slice(b"next");
        let (result, exchange, left) = absorb(&bytes, &cuts);
        prop_assert!(result.is_ok() && exchange.is_served() && exchange.is_ready());
        prop_assert_eq!(exchange.value(), &value[..]);
        prop_assert_eq!(&exchange.rows.concat()[..], &bytes[..rows]);
        prop_assert_eq!(exchange.role.as_deref(), Some(&role[..]));
        prop_assert_eq!(exchange.position, Some(position.to_string()));
        prop_assert_eq!(exchange.usage.as_deref(), Some("inflight=7,util=0.61"));
        prop_assert_eq!(&left[..], &bytes[end..]);
        // Cut off anywhere before its completion it is never taken for a whole value.
        let (_, cut, _) = absorb(&bytes[..rows - 1], &cuts);
        prop_assert!(!cut.is_served());
        Ok(())
    });
}

#[test]
fn an_error_is_no_value_and_a_fatal_one_ends_the_answer() {
    for fatal in [false, true] {
        let mut bytes = Vec::new();
        pg::error(&mut bytes, fatal, "25006", "no primary", Some("250"));
        let refusal = pg::refusal(pg::message(&bytes, MAX).unwrap().unwrap().body).unwrap();
        assert_eq!(refusal, pg::Refusal { fatal, code: "25006", detail: "250" });
        let (result, exchange, _) = absorb(&bytes, &[5]);
        assert!(result.is_ok() && !exchange.is_served());
        assert_eq!((exchange.error.as_deref(), exchange.is_over()), (Some("25006"), fatal));
        assert!(!exchange.is_ready());
    }
}

#[test]
fn members_that_talk_nonsense_are_found_out() {
    let mut two_rows = Vec::new();
    pg::single_row(&mut two_rows, "val", b"1", "SELECT 1");
    let mut completion = Vec::new();
    pg::single_row(&mut completion, "val", b"1", "SELECT 1");
    let mut ready = Vec::new();
    pg::ready(&mut ready);
    two_rows.extend_from_slice(&completion);
    assert!(absorb(&two_rows, &[1000]).0.is_err(), "a second answer");
    assert!(absorb(&ready, &[1000]).0.is_err(), "ready without an answer");
    assert!(absorb(&[b'D', 0, 0, 0, 8, 0, 2, 0, 0], &[1000]).0.is_err(), "a row that was not described");
    assert!(absorb(&[b'T', 255, 255, 255, 255], &[1000]).0.is_err(), "a length beyond all bounds");
}

#[test]
fn client_messages_read_the_same_however_they_are_split() {
    let text = prop::collection::vec(1u8..255, 0..200);
    check(&(prop::collection::vec(text, 1..5), cuts()), |(texts, cuts)| {
        let mut bytes = Vec::new();
        pg::startup(&mut bytes, "client", "core");
        texts.iter().for_each(|text| pg::query(&mut bytes, &[text]));
        let (mut buffer, mut read, mut opened) = (Buffer::default(), Vec::new(), false);
        for piece in pieces(&bytes, &cuts) {
            buffer.tail().extend_from_slice(piece);
            if !opened {
                let Some((opening, length)) = pg::opening(buffer.held()).unwrap() else { continue };
                prop_assert_eq!(opening, pg::Opening::Startup);
                buffer.consume(length);
                opened = true;
            }
            while let Some(message) = pg::message(buffer.held(), MAX).unwrap() {
                prop_assert_eq!(message.tag, b'Q');
                read.push(pg::query_text(message.body).unwrap().to_vec());
                let length = message.length;
                buffer.consume(length);
            }
        }
        prop_assert_eq!(read, texts);
        Ok(())
    });
}

#[test]
fn list_lines_read_the_same_however_chunks_and_reads_are_split() {
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
        prop_assert_eq!(lines(&plain, &cuts, Body::Counted(plain.len())), (Ok(()), wanted, true));
        Ok(())
    });
}

#[test]
fn heads_are_read_whole_or_not_at_all() {
    let head =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\ntransfer-encoding: Chunked\r\n\r\n4\r\n";
    for end in 0..head.len() {
        let read = http::head(&head[..end], 200).unwrap();
        assert_eq!(read.is_some(), end >= head.len() - 3, "{end}");
    }
    let read = http::head(head, 200).unwrap().unwrap();
    assert_eq!((read.status, read.body, read.length), (200, Body::Chunked, head.len() - 3));
    assert!(http::head(b"SMTP ready\r\n\r\n", 200).is_err());
    assert!(http::head(&[b'a'; 201], 200).is_err());
}

#[test]
fn garbage_never_panics() {
    check(&(garbage(), cuts()), |(bytes, cuts)| {
        let _ = pg::opening(&bytes);
        let _ = pg::query_text(&bytes);
        let _ = pg::refusal(&bytes);
        let _ = pg::parameter(&bytes);
        let _ = pg::single_value(&bytes);
        let _ = http::head(&bytes, MAX);
        let _ = Comment::parse(&bytes);
        let _ = (quoted(&bytes), is_empty(&bytes));
        let _ = absorb(&bytes, &cuts);
        for body in [Body::Chunked, Body::Counted(bytes.len() / 2), Body::UntilClose] {
            let _ = lines(&bytes, &cuts, body);
        }
        Ok(())
    });
    // Damage to what is almost right goes further into the parsers.
    let mut answer = Vec::new();
    pg::single_row(&mut answer, "val", b"12345", "SELECT 1");
    pg::parameter_status(&mut answer, "usage", "x0=1.5");
    pg::ready(&mut answer);
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab\ncd\r\n0\r\n\r\n".to_vec();
    let comment = b"/* id=9b,c=order,d=480,r=1,cluster=2,after=17 */ SELECT E'a\\'b'".to_vec();
    check(&(any::<prop::sample::Index>(), any::<u8>(), cuts()), |(at, byte, cuts)| {
        let spoil = |text: &[u8]| {
            let mut text = text.to_vec();
            let at = at.index(text.len());
            text[at] = byte;
            text
        };
        let _ = absorb(&spoil(&answer), &cuts);
        let malformed = spoil(&chunked);
        if let Ok(Some(head)) = http::head(&malformed, MAX) {
            let _ = lines(&malformed[head.length..], &cuts, head.body);
        }
        let malformed = spoil(&comment);
        let _ = (Comment::parse(&malformed), quoted(&malformed));
        Ok(())
    });
}

#[test]
fn comments_say_all_of_the_request_or_are_refused() {
    let statement = b" /* id=9b1f,c=basket,d=480,r=1,cluster=2,after=1767225600123,more=x */ SELECT 1";
    let comment = Comment::parse(statement).unwrap();
    assert_eq!((&comment.class[..], comment.wait, comment.group), ("basket", 480, 2));
    assert_eq!((comment.repeat, comment.after), (true, Some(1_767_225_600_123)));
    assert_eq!(&statement[comment.wait_at.clone()], b"480");
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
fn quoted_keys_are_the_same_key_however_they_are_written() {
    assert_eq!(quoted(b"WHERE uid = '7f3a'").as_deref(), Some("7f3a"));
    assert_eq!(quoted(b"WHERE uid = 'a''b'").as_deref(), Some("a'b"));
    assert_eq!(quoted(b"WHERE uid = E'a\\'b'").as_deref(), Some("a'b"));
    assert_eq!(quoted(b"VALUES ('a\\', 'x')").as_deref(), Some("a\\"));
    assert_eq!(quoted(b"WHERE uid = 'a''"), None);
    assert_eq!(quoted(b"SELECT 1"), None);
}

#[test]
fn a_buffer_gives_back_what_a_large_message_took() {
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

//! Responses of a member that are truncated, over loopback. Each message states its length, so a response is
//! complete with its CommandComplete message, whatever is missing after that.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, whole};
use socket2::SockRef;

/// What happens to the connection after a truncated response.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// The member closes the connection in both directions.
    Closed,
    /// The member resets the connection.
    Reset,
    /// The connection stays open and nothing more is sent.
    Silent,
}

/// Starts a primary that omits the last `missing_bytes` bytes of its responses to requests, and then treats the
/// connection as `connection_end` says.
fn truncating_primary(missing_bytes: usize, connection_end: ConnectionEnd) -> Member {
    Member::start(move |text: &str, stream: &mut TcpStream| {
        if !text.starts_with("/*") {
            return serve(text, "writer", stream);
        }
        let bytes = whole(b"the value", text, "writer");
        let _ = stream.write_all(&bytes[..bytes.len() - missing_bytes]);
        match connection_end {
            ConnectionEnd::Closed => drop(stream.shutdown(Shutdown::Both)),
            ConnectionEnd::Reset => {
                // With a linger time of zero the kernel sends a reset once the last owner of the socket drops
                // it, which happens when nothing more can be read.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
            ConnectionEnd::Silent => {}
        }
    })
}

/// Returns the number of bytes after CommandComplete in such a response: two ParameterStatus messages and
/// ReadyForQuery.
fn bytes_after_completion() -> usize {
    let bytes = whole(b"the value", "/* */", "writer");
    let completion = b"SELECT 1\0";
    let position = bytes
        .windows(completion.len())
        .position(|window| window == completion)
        .expect("CommandComplete in the response");
    bytes.len() - position - completion.len()
}

#[test]
fn a_response_that_lacks_only_what_follows_its_completion_is_forwarded() {
    for connection_end in [ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::Silent] {
        for missing_bytes in [1, 6, bytes_after_completion()] {
            let member = truncating_primary(missing_bytes, connection_end);
            let driver = Driver::before(&[("a", &member)]);
            let mut client = Client::connect(driver.address);
            let served_reads = (0..20).filter(|_| served(&client.ask(&look(2000)))).count();
            assert!(
                served_reads * 2 >= 20,
                "{connection_end:?}, {missing_bytes} bytes missing: {served_reads} of 20"
            );
            let (mut served_writes, requests_before) = (0, member.requests().len());
            for _ in 0..20 {
                served_writes += usize::from(served(&client.ask(&order(2000))));
            }
            assert!(
                served_writes * 2 >= 20,
                "{connection_end:?}, {missing_bytes} bytes missing: {served_writes} of 20 writes"
            );
            assert!(member.requests().len() <= requests_before + 20, "a write was sent twice");
        }
    }
}

#[test]
fn a_response_cut_before_its_completion_is_never_forwarded() {
    for connection_end in [ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::Silent] {
        let member = truncating_primary(bytes_after_completion() + 1, connection_end);
        let driver = Driver::before(&[("a", &member)]);
        let mut client = Client::connect(driver.address);
        for _ in 0..3 {
            let response = client.ask(&order(1000));
            assert!(response.value.is_none() && response.code == "40003", "{connection_end:?}: {response:?}");
        }
    }
}

/// Guards against a response whose deadline is never looked at, as there are always more bytes to read.
#[test]
fn a_member_that_sends_notices_without_end_does_not_keep_a_request_from_its_answer() {
    /// A NoticeResponse without fields.
    const NOTICE: [u8; 6] = [b'N', 0, 0, 0, 5, 0];
    const TIMEOUT: Duration = Duration::from_secs(2);
    let member = Member::start(|text, stream| {
        if text.starts_with("/*") {
            while stream.write_all(&NOTICE.repeat(1024)).is_ok() {}
        }
        serve(text, "writer", stream);
    });
    let proxy = Driver::before(&[("a", &member)]);
    let mut client = Client::connect(proxy.address);
    let sent_at = Instant::now();
    let answer = client.ask(&order(TIMEOUT.as_millis() as u32));
    assert!(answer.value.is_none() && !answer.code.is_empty(), "{answer:?}");
    assert!(sent_at.elapsed() < TIMEOUT + Duration::from_millis(500), "{:?}", sent_at.elapsed());
}

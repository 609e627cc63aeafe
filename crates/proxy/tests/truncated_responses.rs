//! Responses whose end never comes, over loopback. Each message states its length, so that a response is complete
//! with its CommandComplete, whatever is missing behind that.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, whole};
use socket2::SockRef;

/// How the connection of a truncated response ends.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Closed,
    Reset,
    Silent,
}

/// A primary whose responses to requests lack `missing` bytes at the end, and whose connections then end in this way.
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
                // Sent as a reset once the socket's last owner drops it, which is when nothing more can be read.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
            ConnectionEnd::Silent => {}
        }
    })
}

/// The bytes behind CommandComplete in such a response: two ParameterStatus messages and ReadyForQuery.
fn bytes_after_completion() -> usize {
    let bytes = whole(b"the value", "/* */", "writer");
    let completion = b"SELECT 1\0";
    let position =
        bytes.windows(completion.len()).position(|window| window == completion).expect("a completion");
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
            assert!(member.requests().len() <= requests_before + 20, "rule 2: a write twice");
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

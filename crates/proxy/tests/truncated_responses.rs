//! Responses whose end never comes, over loopback. Each message states its length, so that a response is complete
//! with its CommandComplete, whatever is missing behind that.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use aldermill_test_support::{Client, Driver, Member, look, order, serve, served, whole};
use socket2::SockRef;

/// How the connection of a truncated response ends.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Closed,
    Reset,
    Silent,
}

/// A primary whose responses to requests lack `missing` bytes at the end, and whose connections then end in this way.
fn truncating(missing: usize, ending: Ending) -> Member {
    Member::start(move |text: &str, stream: &mut TcpStream| {
        if !text.starts_with("/*") {
            return serve(text, "writer", stream);
        }
        let bytes = whole(b"the value", text, "writer");
        let _ = stream.write_all(&bytes[..bytes.len() - missing]);
        match ending {
            Ending::Closed => drop(stream.shutdown(Shutdown::Both)),
            Ending::Reset => {
                // Sent as a reset once the socket's last owner drops it, which is when nothing more can be read.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
            Ending::Silent => {}
        }
    })
}

/// The bytes behind CommandComplete in such a response: two ParameterStatus messages and ReadyForQuery.
fn bytes_behind_completion() -> usize {
    let bytes = whole(b"the value", "/* */", "writer");
    let completion = b"SELECT 1\0";
    let at = bytes.windows(completion.len()).position(|part| part == completion).expect("a completion");
    bytes.len() - at - completion.len()
}

#[test]
fn a_response_that_lacks_only_what_follows_its_completion_is_forwarded() {
    for ending in [Ending::Closed, Ending::Reset, Ending::Silent] {
        for missing in [1, 6, bytes_behind_completion()] {
            let member = truncating(missing, ending);
            let driver = Driver::before(&[("a", &member)]);
            let mut client = Client::connect(driver.address);
            let served_count = (0..20).filter(|_| served(&client.ask(&look(2000)))).count();
            assert!(served_count * 2 >= 20, "{ending:?}, {missing} bytes missing: {served_count} of 20");
            let (mut written, before) = (0, member.requests().len());
            for _ in 0..20 {
                written += usize::from(served(&client.ask(&order(2000))));
            }
            assert!(written * 2 >= 20, "{ending:?}, {missing} bytes missing: {written} of 20 writes");
            assert!(member.requests().len() <= before + 20, "rule 2: a write twice");
        }
    }
}

#[test]
fn a_response_cut_before_its_completion_is_never_forwarded() {
    for ending in [Ending::Closed, Ending::Reset, Ending::Silent] {
        let member = truncating(bytes_behind_completion() + 1, ending);
        let driver = Driver::before(&[("a", &member)]);
        let mut client = Client::connect(driver.address);
        for _ in 0..3 {
            let said = client.ask(&order(1000));
            assert!(said.value.is_none() && said.code == "40003", "{ending:?}: {said:?}");
        }
    }
}

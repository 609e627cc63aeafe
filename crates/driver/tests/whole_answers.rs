//! Answers whose end never comes, over loopback. The protocol here gives each message its length, so that an answer is
//! whole with its CommandComplete; what is missing behind that is only ReadyForQuery.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use aldermill_stand_ins::{Client, Driver, Member, honour, honoured, look, order, whole};
use socket2::SockRef;

#[derive(Clone, Copy, Debug)]
enum Ending {
    Closed,
    Reset,
    Silent,
}

/// A primary whose answers to requests lack so many bytes at the end, and whose connections then end so.
fn short_of(missing: usize, ending: Ending) -> Member {
    Member::start(move |text: &str, stream: &mut TcpStream| {
        if !text.starts_with("/*") {
            return honour(text, "writer", stream);
        }
        let bytes = whole(b"the value", text, "writer");
        let _ = stream.write_all(&bytes[..bytes.len() - missing]);
        match ending {
            Ending::Closed => drop(stream.shutdown(Shutdown::Both)),
            Ending::Reset => {
                // Reset once its last holder lets go of it, which is when nothing more can be read.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                let _ = stream.shutdown(Shutdown::Read);
            }
            Ending::Silent => {}
        }
    })
}

/// What stands behind CommandComplete in such an answer: two settings told, and ReadyForQuery.
fn behind_completion() -> usize {
    let bytes = whole(b"the value", "/* */", "writer");
    let completion = b"SELECT 1\0";
    let at = bytes.windows(completion.len()).position(|part| part == completion).expect("a completion");
    bytes.len() - at - completion.len()
}

#[test]
fn an_answer_that_lacks_nothing_but_its_end_is_forwarded() {
    for ending in [Ending::Closed, Ending::Reset, Ending::Silent] {
        for missing in [1, 6, behind_completion()] {
            let member = short_of(missing, ending);
            let driver = Driver::before(&[("a", &member)]);
            let mut client = Client::connect(driver.address);
            let served = (0..20).filter(|_| honoured(&client.ask(&look(2000)))).count();
            assert!(served * 2 >= 20, "{ending:?}, {missing} bytes missing: {served} of 20");
            let (mut written, before) = (0, member.tasks().len());
            for _ in 0..20 {
                written += usize::from(honoured(&client.ask(&order(2000))));
            }
            assert!(written * 2 >= 20, "{ending:?}, {missing} bytes missing: {written} of 20 writes");
            assert!(member.tasks().len() <= before + 20, "rule 2: a write twice");
        }
    }
}

#[test]
fn an_answer_cut_before_its_completion_is_never_forwarded() {
    for ending in [Ending::Closed, Ending::Reset, Ending::Silent] {
        let member = short_of(behind_completion() + 1, ending);
        let driver = Driver::before(&[("a", &member)]);
        let mut client = Client::connect(driver.address);
        for _ in 0..3 {
            let said = client.ask(&order(1000));
            assert!(said.value.is_none() && said.code == "40003", "{ending:?}: {said:?}");
        }
    }
}

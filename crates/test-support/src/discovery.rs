//! The list of members as an HTTP agent tells it.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Member;

/// Discovery: every watch is told the lines said so far and those to come, in chunks cut at odd places.
#[derive(Clone, Default)]
pub struct Discovery {
    pub lines: Arc<Mutex<Vec<String>>>,
    pub mute: Arc<AtomicBool>,
    pub requests: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.watch(stream));
            }
        });
        address
    }

    pub fn watch(&self, stream: TcpStream) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut request = String::new();
        while !request.ends_with("\r\n\r\n") {
            reader.read_line(&mut request).ok().filter(|&count| count > 0)?;
        }
        self.requests.lock().unwrap().push(request);
        let mut stream = stream;
        let mut chunk = |bytes: &[u8]| {
            stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).ok()?;
            stream.write_all(bytes).ok()?;
            stream.write_all(b"\r\n").ok()
        };
        let mut told = 0;
        let mut head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".as_slice();
        loop {
            if !self.mute.load(Ordering::SeqCst) {
                if !head.is_empty() {
                    reader.get_mut().write_all(std::mem::take(&mut head)).ok()?;
                }
                let lines = self.lines.lock().unwrap().get(told..).unwrap_or_default().to_vec();
                told += lines.len();
                for line in lines {
                    let (first, second) = line.as_bytes().split_at(line.len() / 2);
                    chunk(first)?;
                    chunk(&[second, b"\n"].concat())?;
                }
                chunk(b"\n")?;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn say(&self, line: String) {
        self.lines.lock().unwrap().push(line);
    }
}

/// One line of the list; a member whose id ends in a digit is of that group, others of group 2.
pub fn list(revision: u64, complete: bool, members: &[(&str, &Member, &str)]) -> String {
    let members: Vec<String> = members
        .iter()
        .map(|(id, member, phase)| {
            format!(
                r#"{{"id":"{id}","host_port":"{}","locality":"here","flavor":"m","cell":{},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#,
                member.address,
                id.chars().last().and_then(|last| last.to_digit(10)).unwrap_or(2)
            )
        })
        .collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

//! A member of a group, scripted.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use aldermill_wire::{Buffer, pg};

use crate::{MAX, unix_millis};

pub type Act = dyn Fn(&str, &mut TcpStream) + Send + Sync;

/// A member: answers startups by itself, and queries as `act` writes; to cut a connection, `act` shuts it.
pub struct Member {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<AtomicUsize>,
}

impl Member {
    pub fn start(act: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> Member {
        Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), |_, _| true, act)
    }

    /// One that gives up a connection when `bears` does not bear what has come on it: first an opening, then
    /// queries, whole or not.
    pub fn at(
        listener: TcpListener,
        bears: impl Fn(&[u8], bool) -> bool + Send + Sync + 'static,
        act: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static,
    ) -> Member {
        let address = listener.local_addr().unwrap();
        let (seen, connections) = (Arc::<Mutex<Vec<String>>>::default(), Arc::<AtomicUsize>::default());
        let member = Member { address, seen: seen.clone(), connections: connections.clone() };
        let (bears, act) = (Arc::new(bears), Arc::new(act));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let (bears, act, seen) = (bears.clone(), act.clone(), seen.clone());
                thread::spawn(move || serve_member(stream, &seen, &*bears, &*act));
            }
        });
        member
    }

    /// Statements of requests that came whole.
    pub fn requests(&self) -> Vec<String> {
        self.seen.lock().unwrap().iter().filter(|text| text.starts_with("/*")).cloned().collect()
    }
}

fn serve_member(
    mut stream: TcpStream,
    seen: &Mutex<Vec<String>>,
    bears: &dyn Fn(&[u8], bool) -> bool,
    act: &Act,
) {
    let mut buffer = Buffer::default();
    let mut welcomed = false;
    let mut piece = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        buffer.tail().extend_from_slice(&piece[..count]);
        if !bears(buffer.held(), welcomed) {
            return;
        }
        if !welcomed {
            let Some(pg::InitialMessage { length, .. }) = pg::initial_message(buffer.held()).unwrap() else {
                continue;
            };
            buffer.consume(length);
            let mut out = Vec::new();
            pg::write_startup_response(&mut out, 1);
            let _ = stream.write_all(&out);
            welcomed = true;
        }
        while let Some(message) = pg::message(buffer.held(), MAX).unwrap() {
            let text = String::from_utf8(pg::parse_query(message.body).unwrap().to_vec()).unwrap();
            let length = message.length;
            buffer.consume(length);
            if text.is_empty() {
                let mut out = Vec::new();
                pg::write_empty_query_response(&mut out);
                pg::write_ready_for_query(&mut out);
                let _ = stream.write_all(&out);
                continue;
            }
            seen.lock().unwrap().push(text.clone());
            act(&text, &mut stream);
        }
    }
}

/// A whole answer: the value for requests, the report for health checks, and the role that the member claims.
pub fn serve(text: &str, role: &str, stream: &mut TcpStream) {
    serve_with(b"the value", text, role, stream);
}

pub fn serve_with(value: &[u8], text: &str, role: &str, stream: &mut TcpStream) {
    let _ = stream.write_all(&whole(value, text, role));
}

/// The bytes of such an answer.
pub fn whole(value: &[u8], text: &str, role: &str) -> Vec<u8> {
    whole_at(unix_millis(), value, text, role)
}

/// The bytes of such an answer of a member that has applied all commits up to `position`, in Unix milliseconds.
fn whole_at(position: u128, value: &[u8], text: &str, role: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let report = format!("x0={}.0,x1={},inflight=0", position / 1000, u8::from(role == "writer"));
    let value = if text == "SHOW usage" { report.as_bytes() } else { value };
    pg::write_single_row(&mut out, "val", value, "SELECT 1");
    pg::write_parameter_status(&mut out, "server_role", role);
    pg::write_parameter_status(&mut out, "commit_clock", &position.to_string());
    pg::write_ready_for_query(&mut out);
    out
}

/// A replica that has applied all commits up to the position that `position` returns, in Unix milliseconds.
pub fn replica_at(position: impl Fn() -> u128 + Send + Sync + 'static) -> Member {
    Member::start(move |text, stream| {
        let _ = stream.write_all(&whole_at(position(), b"the value", text, "reader"));
    })
}

pub fn refuse(code: &str, role: &str, stream: &mut TcpStream) {
    let mut out = Vec::new();
    pg::write_error_response(&mut out, false, code, "stand-in", None);
    pg::write_parameter_status(&mut out, "server_role", role);
    pg::write_ready_for_query(&mut out);
    let _ = stream.write_all(&out);
}

/// A whole-hearted member: the primary answers all, a replica reads only.
pub fn sound(role: &'static str) -> Member {
    Member::start(move |text, stream| {
        if role == "reader" && text.contains("INSERT") {
            refuse("25006", role, stream);
        } else {
            serve(text, role, stream);
        }
    })
}

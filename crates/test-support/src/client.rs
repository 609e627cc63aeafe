//! A client that speaks as much of the protocol as tests need.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_wire::{Buffer, pg};

use crate::{LONG, MAX, read_some};

/// How the driver answered one query.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Said {
    pub value: Option<Vec<u8>>,
    pub code: String,
    pub detail: String,
    pub empty: bool,
}

pub struct Client {
    pub stream: TcpStream,
    pub buffer: Buffer,
}

impl Client {
    pub fn bare(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client { stream, buffer: Buffer::default() }
    }

    pub fn connect(address: SocketAddr) -> Client {
        Client::bare(address).greeted().expect("a greeting")
    }

    /// Once it was welcomed; `None` where it was not.
    pub fn greeted(mut self) -> Option<Client> {
        let mut hello = Vec::new();
        pg::write_startup_message(&mut hello, "client", "core");
        self.stream.write_all(&hello).ok()?;
        (self.answer() == Some(Said::default())).then_some(self)
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).unwrap();
    }

    pub fn send(&mut self, statement: &str) {
        let mut out = Vec::new();
        pg::write_query(&mut out, &[statement.as_bytes()]);
        self.raw(&out);
    }

    /// Sends a statement; whether the other side was there for it.
    pub fn offer(&mut self, statement: &str) -> bool {
        let mut out = Vec::new();
        pg::write_query(&mut out, &[statement.as_bytes()]);
        self.stream.write_all(&out).is_ok()
    }

    /// All up to the next ReadyForQuery, or to the end if that came with an error; `None` is a bare end.
    pub fn answer(&mut self) -> Option<Said> {
        let mut said = Said::default();
        let mut piece = [0; 4096];
        loop {
            while let Some(message) = pg::message(self.buffer.held(), MAX).unwrap() {
                match message.tag {
                    b'D' => said.value = pg::parse_data_row(message.body).unwrap().map(<[u8]>::to_vec),
                    b'E' => {
                        let refusal = pg::ErrorResponse::parse(message.body).unwrap();
                        (said.code, said.detail) = (refusal.code.to_owned(), refusal.detail.to_owned());
                    }
                    b'I' => said.empty = true,
                    _ => {}
                }
                let (tag, length) = (message.tag, message.length);
                self.buffer.consume(length);
                if tag == b'Z' {
                    return Some(said);
                }
            }
            match read_some(&mut self.stream, &mut piece) {
                Ok(0) | Err(_) => return (!said.code.is_empty()).then_some(said),
                Ok(count) => self.buffer.tail().extend_from_slice(&piece[..count]),
            }
        }
    }

    pub fn ask(&mut self, statement: &str) -> Said {
        self.send(statement);
        self.answer().expect("an answer before the end")
    }

    pub fn ended(&mut self) -> bool {
        !matches!(read_some(&mut self.stream, &mut [0; 64]), Ok(1..))
    }
}

pub fn served(said: &Said) -> bool {
    said.value.as_deref() == Some(b"the value") && said.code.is_empty()
}

/// Clients that ask at a fixed pace whatever becomes of what they asked, spread over it, each with its connection if one
/// stands: when a turn was due is told.
pub fn paced(
    clients: usize,
    every: Duration,
    long: Duration,
    turn: impl Fn(u32, Instant, &mut Option<Client>) + Sync,
) {
    thread::scope(|scope| {
        for number in 0..clients as u32 {
            let turn = &turn;
            scope.spawn(move || {
                let mut client = None;
                let start = Instant::now() + every / clients as u32 * number;
                for at in 0..(long.as_millis() / every.as_millis()) as u32 {
                    let due = start + every * at;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    turn(at, due, &mut client);
                }
            });
        }
    });
}

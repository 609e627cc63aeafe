//! A scripted driver for the judges' own tests: it serves by the list, plainly, and breaks the rule that it is told to.
//!
//! `aldermill-fault-injection-breaker HOW serve --config FILE ...`, HOW being one of the words below.

#![allow(
    clippy::needless_continue,
    reason = "this package is not reworked for readers yet (docs/ROADMAP.md)"
)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use aldermill_fault_injection::terms::{CLASSES, is_write};
use aldermill_wire::statement::Comment;
use aldermill_wire::{Buffer, pg};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

#[derive(Clone, Copy, PartialEq)]
enum How {
    Sound,
    /// Some requests are never answered.
    Mute,
    /// Something comes behind the answer.
    Behind,
    /// An effectful request that was served is attempted again.
    Twice,
    /// Two attempts are out at once.
    Both,
    /// What ran is rejected.
    Rejected,
    /// What the list says of drains is not heeded.
    Drained,
    /// Attempted when its client has gone.
    Late,
    /// It ends by itself.
    Ends,
    /// Told to end, it goes on; some requests are never answered.
    Stays,
}

const WORDS: [(&str, How); 10] = [
    ("sound", How::Sound),
    ("mute", How::Mute),
    ("behind", How::Behind),
    ("twice", How::Twice),
    ("both", How::Both),
    ("denied", How::Rejected),
    ("drained", How::Drained),
    ("late", How::Late),
    ("ends", How::Ends),
    ("stays", How::Stays),
];

struct Member {
    address: String,
    group: u64,
    serves: bool,
}

struct Scripted {
    how: How,
    members: RefCell<Vec<(String, Member)>>,
    turn: Cell<usize>,
}

/// What one attempt brought.
enum Brought {
    Served(Vec<u8>),
    /// It never ran.
    Refused,
    /// Nobody knows.
    Lost,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let how = WORDS.iter().find(|(word, _)| Some(word) == arguments.get(1).map(String::as_str).as_ref());
    let (_, how) = how.expect("the first word says what to break");
    let config = arguments.iter().position(|word| word == "--config").expect("--config");
    let config = std::fs::read_to_string(&arguments[config + 1]).expect("the configuration");
    let config: Value = serde_json::from_str(&config).expect("JSON");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, serve(*how, config));
}

async fn serve(how: How, config: Value) {
    let scripted = Rc::new(Scripted { how, members: RefCell::default(), turn: Cell::default() });
    scripted.heed(&config["known"]);
    let at = config["discovery"].as_str().unwrap_or_default().to_owned();
    spawn_local(scripted.clone().watch(at));
    if how == How::Ends {
        spawn_local(async {
            sleep(Duration::from_secs(2)).await;
            std::process::exit(1);
        });
    }
    if how == How::Stays {
        let mut ends =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).expect("signals");
        spawn_local(async move { while ends.recv().await.is_some() {} });
    }
    // Whatever its configuration says later, it goes on as it began: it breaks that a list that moved is followed.
    let mut hangup = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::hangup()).expect("signals");
    spawn_local(async move { while hangup.recv().await.is_some() {} });
    let listener =
        TcpListener::bind(config["listen"].as_str().unwrap_or_default()).await.expect("its address");
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(scripted.clone().client(stream));
    }
}

impl Scripted {
    fn heed(&self, list: &Value) {
        let mut members = self.members.borrow_mut();
        for entry in list["members"].as_array().into_iter().flatten() {
            let text = |field: &str| entry[field].as_str().unwrap_or_default().to_owned();
            let serves = text("phase") == "in_service" || self.how == How::Drained;
            let (id, group) = (text("id"), entry["cell"].as_u64().unwrap_or(0));
            members.retain(|(known, _)| *known != id);
            members.push((id, Member { address: text("host_port"), group, serves }));
        }
        members.sort_by(|a, b| a.0.cmp(&b.0));
    }

    async fn watch(self: Rc<Scripted>, at: String) {
        loop {
            let _ = self.hear(&at).await;
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn hear(&self, at: &str) -> Option<()> {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream.write_all(b"GET /list HTTP/1.1\r\n\r\n").await.ok()?;
        let mut text = Vec::new();
        while stream.read_buf(&mut text).await.ok()? > 0 {
            while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = text.drain(..=end).collect();
                if let Ok(list) = serde_json::from_slice::<Value>(&line)
                    && list.is_object()
                {
                    self.heed(&list);
                }
            }
        }
        Some(())
    }

    async fn client(self: Rc<Scripted>, mut stream: TcpStream) -> Option<()> {
        let (mut buffer, mut out) = (Buffer::default(), Vec::new());
        let mut greeted = false;
        loop {
            if !greeted
                && let Some(pg::InitialMessage { length, .. }) = pg::initial_message(buffer.held()).ok()?
            {
                buffer.consume(length);
                greeted = true;
                pg::write_startup_response(&mut out, 1);
            }
            while greeted && let Some(message) = pg::message(buffer.held(), 1 << 20).ok()? {
                let (tag, length) = (message.tag, message.length);
                let text =
                    if tag == b'Q' { pg::parse_query(message.body).ok()?.to_vec() } else { return None };
                buffer.consume(length);
                if text.is_empty() {
                    pg::write_empty_query_response(&mut out);
                } else {
                    self.request(&mut out, &text).await?;
                }
                pg::write_ready_for_query(&mut out);
                if self.how == How::Behind && !text.is_empty() {
                    pg::write_ready_for_query(&mut out);
                }
            }
            stream.write_all(&out).await.ok()?;
            out.clear();
            if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                return None;
            }
        }
    }

    async fn request(self: &Rc<Scripted>, out: &mut Vec<u8>, text: &[u8]) -> Option<()> {
        let comment = Comment::parse(text).ok()?;
        let class = CLASSES.iter().position(|class| class.name == comment.class)?;
        let effect = CLASSES[class].effect;
        let (number, wait) =
            (comment.id.parse::<u64>().ok()?, Duration::from_millis(comment.timeout_ms.into()));
        if matches!(self.how, How::Mute | How::Stays) && number.is_multiple_of(5) {
            std::future::pending::<()>().await;
        }
        if self.how == How::Late && !is_write(class) {
            let (late, text) = (self.clone(), text.to_vec());
            spawn_local(async move {
                sleep(wait + Duration::from_millis(900)).await;
                late.walk(&comment, class, &text).await;
            });
            pg::write_error_response(out, false, "53300", "later", Some("500"));
            return Some(());
        }
        if self.how == How::Both && effect == "pure" {
            let walked = tokio::join!(self.walk(&comment, class, text), self.walk(&comment, class, text));
            drop(walked.1);
            self.answer(out, walked.0);
            return Some(());
        }
        let spare = Duration::from_millis(40);
        let brought = timeout(wait.saturating_sub(spare), self.walk(&comment, class, text)).await;
        let brought = brought.unwrap_or(Brought::Lost);
        if self.how == How::Twice && effect == "side_effect" && matches!(brought, Brought::Served(_)) {
            self.walk(&comment, class, text).await;
        }
        match brought {
            Brought::Served(_) if self.how == How::Rejected && effect != "pure" => {
                pg::write_error_response(out, false, "53300", "later", Some("500"));
            }
            brought => self.answer(out, brought),
        }
        Some(())
    }

    fn answer(&self, out: &mut Vec<u8>, brought: Brought) {
        match brought {
            Brought::Served(rows) => out.extend_from_slice(&rows),
            Brought::Refused => pg::write_error_response(out, false, "53300", "nobody takes it", Some("200")),
            Brought::Lost => pg::write_error_response(out, false, "40003", "broken off", None),
        }
    }

    /// One member after the other: writes from the first, reads from any of the others.
    async fn walk(&self, comment: &Comment, class: usize, text: &[u8]) -> Brought {
        let mut addresses: Vec<String> = {
            let members = self.members.borrow();
            let of = members.iter().filter(|(_, member)| member.group == comment.group && member.serves);
            of.map(|(_, member)| member.address.clone()).collect()
        };
        if !is_write(class) && addresses.len() > 1 {
            let turn = self.turn.get();
            self.turn.set(turn + 1);
            let others = addresses.len() - 1;
            addresses.rotate_left(1 + turn % others);
        }
        for address in addresses {
            match attempt(&address, text).await {
                Brought::Refused => continue,
                brought => return brought,
            }
        }
        Brought::Refused
    }
}

async fn attempt(address: &str, text: &[u8]) -> Brought {
    let Ok(mut stream) = TcpStream::connect(address).await else { return Brought::Refused };
    let mut hello = Vec::new();
    pg::write_startup_message(&mut hello, "client", "core");
    let (mut buffer, mut welcomed) = (Buffer::default(), false);
    if stream.write_all(&hello).await.is_err() {
        return Brought::Refused;
    }
    let (mut rows, mut refused) = (Vec::new(), false);
    loop {
        while let Ok(Some(message)) = pg::message(buffer.held(), 1 << 20) {
            let (tag, length) = (message.tag, message.length);
            match tag {
                b'T' | b'D' | b'C' => rows.extend_from_slice(&buffer.held()[..length]),
                b'E' => refused = true,
                _ => {}
            }
            buffer.consume(length);
            if tag == b'Z' && welcomed {
                return if refused { Brought::Refused } else { Brought::Served(rows) };
            }
            if tag == b'Z' {
                welcomed = true;
                let mut query = Vec::new();
                pg::write_query(&mut query, &[text]);
                if stream.write_all(&query).await.is_err() {
                    return Brought::Lost;
                }
            }
        }
        match stream.read_buf(buffer.tail()).await {
            Ok(count) if count > 0 => {}
            _ if refused || !welcomed => return Brought::Refused,
            _ => return Brought::Lost,
        }
    }
}

//! Discovery's agent: pushes the list and its changes, roles not among them, and counts what that takes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::ground::Ground;

const FIRST: usize = 1;
const HEARTBEAT: Duration = Duration::from_secs(2);

pub struct Agent {
    ground: Rc<Ground>,
    addresses: Vec<SocketAddr>,
    sizes: RefCell<Vec<f64>>,
    /// Which member each revision behind the first has changed.
    changes: RefCell<Vec<usize>>,
    changed: Notify,
    bytes: Cell<u64>,
}

impl Agent {
    pub fn new(ground: &Rc<Ground>, addresses: Vec<SocketAddr>) -> Rc<Agent> {
        Rc::new(Agent {
            ground: ground.clone(),
            sizes: RefCell::new(vec![1.0; addresses.len()]),
            addresses,
            changes: RefCell::default(),
            changed: Notify::new(),
            bytes: Cell::default(),
        })
    }

    /// Of list lines sent to all processes together.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    pub fn at_start(&self) -> Value {
        self.lines_of(FIRST, true, 0..self.addresses.len())
    }

    fn lines_of(&self, revision: usize, complete: bool, members: impl Iterator<Item = usize>) -> Value {
        let members: Vec<Value> = members.map(|member| self.entry(member)).collect();
        json!({"revision": revision, "complete": complete, "members": members})
    }

    fn entry(&self, member: usize) -> Value {
        json!({"id": format!("s-{member:04}"), "host_port": self.addresses[member].to_string(),
            "locality": crate::terms::zone(0), "flavor": "m", "cell": self.ground.group_of(member),
            "phase": "in_service", "size": self.sizes.borrow()[member], "up_since_ms": 0})
    }

    /// Changes the list again and again: a member's size, which the settings give no weight.
    pub async fn change(self: Rc<Agent>) {
        loop {
            sleep(self.ground.day.change_every).await;
            let member = self.ground.rng.borrow_mut().random_range(0..self.addresses.len());
            let size = &mut self.sizes.borrow_mut()[member];
            *size = if *size > 1.0 { 1.0 } else { 1.05 };
            self.changes.borrow_mut().push(member);
            self.changed.notify_waiters();
        }
    }

    pub async fn listen(self: &Rc<Agent>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, agent) = (listener.local_addr()?, self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let agent = agent.clone();
                spawn_local(async move { agent.watch(stream).await });
            }
        });
        Ok(address)
    }

    async fn watch(&self, mut stream: TcpStream) -> Option<()> {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut request).await.ok()? == 0 {
                return None;
            }
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let index = request.split_once("index=").and_then(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<usize>().ok()
        });
        let mut held = index.filter(|&index| (FIRST..=self.newest()).contains(&index));
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        loop {
            let changed = self.changed.notified();
            let line = self.line(held);
            held = Some(self.newest());
            let chunk = format!("{}{:x}\r\n{line}\n\r\n", std::mem::take(&mut head), line.len() + 1);
            self.bytes.set(self.bytes.get() + chunk.len() as u64);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            let mut byte = [0; 1];
            tokio::select! {
                _ = timeout(HEARTBEAT, changed) => {}
                _ = stream.peek(&mut byte) => return None,
            }
        }
    }

    fn newest(&self) -> usize {
        FIRST + self.changes.borrow().len()
    }

    /// What one who has this revision is to be told; empty where that is nothing.
    fn line(&self, held: Option<usize>) -> String {
        match held {
            None => self.lines_of(self.newest(), true, 0..self.addresses.len()).to_string(),
            Some(held) if held == self.newest() => String::new(),
            Some(held) => {
                let mut members = self.changes.borrow()[held - FIRST..].to_vec();
                members.sort_unstable();
                members.dedup();
                self.lines_of(self.newest(), false, members.into_iter()).to_string()
            }
        }
    }
}

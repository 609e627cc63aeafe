//! Discovery's agent of each driver: the list, its changes, and the ways in which it may be of no help.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::cable::reset;
use crate::history::{Event, Told};
use crate::member::Member;
use crate::plan::Agent;
use crate::world::World;

pub struct Discovery {
    world: Rc<World>,
    members: Vec<Rc<Member>>,
    /// Where each driver reaches each member.
    ways: Vec<Vec<SocketAddr>>,
    standing: RefCell<Vec<Told>>,
    /// What has changed, from revision 2 on.
    changes: RefCell<Vec<usize>>,
    pub how: Cell<Agent>,
    /// Whether the next call is refused, while it is crowded.
    turned_away: Cell<bool>,
    /// Which of a driver's agents is the present one; those before are gone.
    turns: RefCell<Vec<u64>>,
    changed: Notify,
}

const FIRST: usize = 1;
const SLOW_PIECES: usize = 20;
const SLOW_PAUSE: Duration = Duration::from_millis(50);

impl Discovery {
    pub fn new(world: &Rc<World>, members: &[Rc<Member>], ways: Vec<Vec<SocketAddr>>) -> Rc<Discovery> {
        Rc::new(Discovery {
            world: world.clone(),
            members: members.to_vec(),
            turns: RefCell::new(vec![0; ways.len()]),
            ways,
            standing: RefCell::new(vec![Told::Ready; members.len()]),
            changes: RefCell::default(),
            how: Cell::default(),
            turned_away: Cell::default(),
            changed: Notify::new(),
        })
    }

    /// The list as this driver is told it at the start.
    pub fn at_start(&self, driver: usize) -> Value {
        let members = self.of(driver).map(|member| self.entry(driver, member, true));
        json!({"revision": FIRST, "complete": true, "members": members.collect::<Vec<_>>()})
    }

    /// Members of the driver's own site.
    fn of(&self, driver: usize) -> impl Iterator<Item = usize> {
        let site = self.world.site_of_driver(driver);
        (0..self.members.len()).filter(move |&member| self.world.site_of_member(member) == site)
    }

    fn entry(&self, driver: usize, member: usize, as_first: bool) -> Value {
        let told = if as_first { Told::Ready } else { self.standing.borrow()[member] };
        let phase = match told {
            Told::Ready => "in_service",
            Told::Draining => "terminating",
            Told::Gone => "terminated",
        };
        let started = self.members[member].started.get();
        let since = aldermill_stand_ins::unix_millis() as i64 - (self.world.now() - started) / 1000;
        let since = if as_first || started < 0 { 0 } else { since };
        json!({"id": format!("s-{member:02}"), "host_port": self.ways[driver][member].to_string(), "locality": crate::terms::zone(self.world.zone_of_member(member)),
            "flavor": "m", "cell": self.world.group_of(member), "phase": phase, "size": 1.0, "up_since_ms": since})
    }

    pub fn tell(&self, member: usize, told: Told) {
        self.world.note(Event::Learnt { member, told });
        self.standing.borrow_mut()[member] = told;
        self.changes.borrow_mut().push(member);
        self.changed.notify_waiters();
    }

    pub fn be(&self, how: Agent) {
        self.how.set(how);
        let reached = matches!(how, Agent::Well | Agent::Slow | Agent::Crowded);
        self.world.note(Event::Discovery { reached });
        self.changed.notify_waiters();
    }

    /// An agent of this driver, in the place of the one before.
    pub async fn start(self: &Rc<Discovery>, driver: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        let turn = {
            let mut turns = self.turns.borrow_mut();
            turns[driver] += 1;
            turns[driver]
        };
        self.changed.notify_waiters();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if discovery.how.get() == Agent::Gone {
                    discovery.world.note(Event::Knocked { driver });
                }
                if discovery.how.get() == Agent::Gone || discovery.is_past(driver, turn) {
                    reset(&stream);
                    continue;
                }
                let discovery = discovery.clone();
                spawn_local(async move { discovery.watch(stream, driver, turn).await });
            }
        });
        Ok(address)
    }

    fn is_past(&self, driver: usize, turn: u64) -> bool {
        self.turns.borrow()[driver] != turn
    }

    async fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
        if self.how.get() != Agent::Slow {
            return stream.write_all(bytes).await.ok();
        }
        for piece in bytes.chunks(bytes.len().div_ceil(SLOW_PIECES)) {
            stream.write_all(piece).await.ok()?;
            sleep(SLOW_PAUSE).await;
        }
        Some(())
    }

    async fn watch(&self, mut stream: TcpStream, driver: usize, turn: u64) -> Option<()> {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut request).await.ok()? == 0 {
                return None;
            }
        }
        self.world.note(Event::Listed { driver });
        if self.how.get() == Agent::Crowded && self.turned_away.replace(!self.turned_away.get()) {
            let _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
            return None;
        }
        let request = String::from_utf8_lossy(&request).into_owned();
        let index = request.split_once("index=").and_then(|(_, rest)| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<usize>().ok()
        });
        let mut held = index.filter(|&index| index >= FIRST && index <= FIRST + self.changes.borrow().len());
        let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        loop {
            let changed = self.changed.notified();
            if self.is_past(driver, turn) {
                return None;
            }
            match self.how.get() {
                Agent::Gone => return None,
                Agent::Silent => {
                    changed.await;
                    continue;
                }
                Agent::Well | Agent::Older | Agent::Slow | Agent::Crowded => {}
            }
            let older = self.how.get() == Agent::Older;
            let newest = if older { FIRST } else { FIRST + self.changes.borrow().len() };
            let line = match held {
                Some(held) if held >= newest => String::new(),
                None => {
                    let members = self.of(driver).map(|member| self.entry(driver, member, older));
                    json!({"revision": newest, "complete": true, "members": members.collect::<Vec<_>>()})
                        .to_string()
                }
                Some(held) => {
                    let mut of = self.changes.borrow()[held - FIRST..].to_vec();
                    of.retain(|&member| self.of(driver).any(|own| own == member));
                    of.sort_unstable();
                    of.dedup();
                    let members: Vec<_> =
                        of.iter().map(|&member| self.entry(driver, member, false)).collect();
                    json!({"revision": newest, "complete": false, "members": members}).to_string()
                }
            };
            let chunk = format!("{}{:x}\r\n{line}\n\r\n", std::mem::take(&mut head), line.len() + 1);
            self.write(&mut stream, chunk.as_bytes()).await?;
            if !line.is_empty() && !older {
                for (member, &told) in self.standing.borrow().iter().enumerate() {
                    if told != Told::Ready {
                        self.world.note(Event::Said { driver, member, told });
                    }
                }
            }
            held = Some(newest.max(held.unwrap_or(0)));
            // An empty line every two seconds; whoever asked may have gone.
            let mut bytes = [0; 1];
            tokio::select! {
                _ = timeout(Duration::from_secs(2), changed) => {}
                _ = stream.peek(&mut bytes) => return None,
            }
        }
    }
}

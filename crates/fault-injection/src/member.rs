//! A member: a database that a group has, with workers, a queue, few connections, a log position and a cold start.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::statement::Comment;
use aldermill_wire::{Buffer, pg};
use rand::Rng;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{sleep, timeout_at};

use crate::cable::reset;
use crate::history::{At, Event};
use crate::terms::{CLASSES, FALL_MS, is_write};
use crate::world::World;

pub struct Member {
    world: Rc<World>,
    pub id: usize,
    /// Where each driver finds it: an address of its own for each.
    pub addresses: Vec<SocketAddr>,
    workers: Semaphore,
    waiting: Cell<usize>,
    connections: Cell<usize>,
    /// When its process started, in microseconds of the run; warm where that is long ago.
    pub started: Cell<At>,
    up: Cell<bool>,
    hangs: Cell<bool>,
    changed: Notify,
    /// Work that reached it since it started, in milliseconds.
    work: RefCell<VecDeque<(At, f64)>>,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    TcpListener::from_std(socket.into())
}

impl Member {
    /// Starts it, warm.
    pub fn start(world: &Rc<World>, id: usize) -> std::io::Result<Rc<Member>> {
        let drivers = world.plan.drivers;
        // An address of the loopback network that no other run uses: while it is down its ports may be given out anew.
        let own = aldermill_test_support::free_port();
        let listeners: Result<Vec<_>, _> =
            (0..drivers).map(|_| listen(SocketAddr::new(own.ip(), 0))).collect();
        let listeners = listeners?;
        let addresses: Result<Vec<_>, _> = listeners.iter().map(TcpListener::local_addr).collect();
        let member = Rc::new(Member {
            world: world.clone(),
            id,
            addresses: addresses?,
            workers: Semaphore::new(world.plan.bearing.workers),
            waiting: Cell::new(0),
            connections: Cell::new(0),
            started: Cell::new(-3_600_000_000),
            up: Cell::new(true),
            hangs: Cell::new(false),
            changed: Notify::new(),
            work: RefCell::default(),
        });
        member.clone().open(listeners);
        Ok(member)
    }

    fn open(self: Rc<Member>, listeners: Vec<TcpListener>) {
        for (driver, listener) in listeners.into_iter().enumerate() {
            let member = self.clone();
            spawn_local(async move {
                let mut open = JoinSet::new();
                loop {
                    tokio::select! {
                        accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                            open.spawn_local(member.clone().welcome(stream, driver));
                        },
                        Some(_) = open.join_next() => {}
                        () = member.died() => break,
                    }
                }
                // What stands is reset by each connection for itself.
                drop(listener);
                while open.join_next().await.is_some() {}
            });
        }
    }

    async fn died(&self) {
        while self.up.get() {
            self.changed.notified().await;
        }
    }

    /// Its process ends; all connections are reset, new ones refused.
    pub fn kill(&self) {
        self.up.set(false);
        self.changed.notify_waiters();
        if self.world.is_primary(self.id) {
            self.world.lose_primary(self.world.group_of(self.id));
        }
    }

    /// Its process starts anew, cold.
    pub async fn restart(self: &Rc<Member>) {
        // Another fault may have started it meanwhile.
        while !self.up.get() {
            let listeners: Result<Vec<_>, _> =
                self.addresses.iter().map(|&address| listen(address)).collect();
            if let Ok(listeners) = listeners {
                self.up.set(true);
                self.started.set(self.world.now());
                self.work.borrow_mut().clear();
                return self.clone().open(listeners);
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn is_up(&self) -> bool {
        self.up.get()
    }

    /// It takes everything and says nothing, or goes on.
    pub fn hang(&self, hangs: bool) {
        self.hangs.set(hangs);
        self.changed.notify_waiters();
    }

    async fn awake(&self) {
        while self.hangs.get() {
            self.changed.notified().await;
        }
    }

    async fn welcome(self: Rc<Member>, mut stream: TcpStream, driver: usize) {
        let _ = stream.set_nodelay(true);
        self.connections.set(self.connections.get() + 1);
        tokio::select! {
            _ = self.serve(&mut stream, driver) => {}
            () = self.died() => reset(&stream),
        }
        self.connections.set(self.connections.get() - 1);
    }

    async fn serve(&self, stream: &mut TcpStream, driver: usize) -> Option<()> {
        self.world.note(Event::Connected { driver, member: self.id });
        let mut buffer = Buffer::default();
        let mut out = Vec::new();
        loop {
            if let Some(pg::InitialMessage { length, .. }) = pg::initial_message(buffer.held()).ok()? {
                buffer.consume(length);
                break;
            }
            if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                return None;
            }
        }
        self.awake().await;
        if self.connections.get() > self.world.plan.bearing.connections {
            pg::write_error_response(&mut out, true, "53300", "too many connections", None);
            return stream.write_all(&out).await.ok();
        }
        self.occupied(self.world.plan.bearing.handshake_ms).await;
        pg::write_startup_response(&mut out, 1);
        stream.write_all(&out).await.ok()?;
        loop {
            let message = pg::message(buffer.held(), 1 << 20).ok()?;
            let Some(message) = message else {
                if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                    return None;
                }
                continue;
            };
            let (tag, length) = (message.tag, message.length);
            let text = if tag == b'Q' { pg::parse_query(message.body).ok()?.to_vec() } else { return None };
            buffer.consume(length);
            out.clear();
            if text.is_empty() {
                pg::write_empty_query_response(&mut out);
                pg::write_ready_for_query(&mut out);
            } else if let Ok(comment) = Comment::parse(&text) {
                self.request(stream, &mut out, driver, &comment).await?;
            } else {
                self.world.note(Event::HealthChecked { driver, member: self.id });
                self.awake().await;
                let primary = u8::from(self.world.is_primary(self.id));
                let report = format!("x0={:.3},x1={primary},inflight=0", self.unix_millis() as f64 / 1000.0);
                pg::write_single_row(&mut out, "usage", report.as_bytes(), "SHOW");
                self.state(&mut out);
                pg::write_ready_for_query(&mut out);
            }
            stream.write_all(&out).await.ok()?;
        }
    }

    /// One request, from its last byte to its answer; `None` where whoever asked has gone meanwhile.
    async fn request(
        &self,
        stream: &mut TcpStream,
        out: &mut Vec<u8>,
        driver: usize,
        comment: &Comment,
    ) -> Option<()> {
        let Some(class) = CLASSES.iter().position(|class| class.name == comment.class) else {
            pg::write_error_response(out, false, "08P01", "no such request class", None);
            pg::write_ready_for_query(out);
            return Some(());
        };
        let id: u64 = comment.id.parse().ok()?;
        let (world, member) = (&self.world, self.id);
        let arrived = tokio::time::Instant::now();
        world.note(Event::Reached { id, driver, member });
        let work = CLASSES[class].work_ms;
        self.feels(work);
        let over = Over { world, id, driver, member };
        self.awake().await;
        // A client's end is seen while it waits, and what has not begun then is dropped.
        let until = arrived + Duration::from_millis(u64::from(comment.timeout_ms));
        let full = self.waiting.get() >= world.plan.bearing.queue;
        self.waiting.set(self.waiting.get() + 1);
        let begun = tokio::select! {
            () = async {}, if full => Some(None),
            begun = timeout_at(until, self.workers.acquire()), if !full => Some(begun.ok().and_then(Result::ok)),
            () = ended(stream) => None,
        };
        self.waiting.set(self.waiting.get() - 1);
        let begun = begun?;
        if begun.is_none() {
            pg::write_error_response(out, false, "53300", "queue full, or over", None);
        } else if is_write(class) && !world.is_primary(member) {
            pg::write_error_response(out, false, "25006", "not the primary", None);
        } else {
            // What runs runs to its end, whoever waits for it; its effect is there from the start.
            let age = world.now() - world.position(member);
            world.note(Event::Ran { id, member, age });
            let spread = 0.5 + world.rng.borrow_mut().random::<f64>();
            let done = sleep(Duration::from_secs_f64(work * spread * self.slowness() / 1000.0));
            tokio::pin!(done);
            tokio::select! {
                () = &mut done => {}
                () = ended(stream) => {
                    drop(over);
                    done.await;
                    return None;
                }
            }
            if is_write(class) && !world.is_primary(member) {
                // Its role was lost under it: nobody is told what became of it.
                return None;
            }
            pg::write_single_row(out, "val", b"the value", "SELECT 1");
        }
        drop(begun);
        self.awake().await;
        self.state(out);
        pg::write_ready_for_query(out);
        drop(over);
        Some(())
    }

    fn state(&self, out: &mut Vec<u8>) {
        let role = if self.world.is_primary(self.id) { "writer" } else { "reader" };
        pg::write_parameter_status(out, "server_role", role);
        pg::write_parameter_status(out, "commit_clock", &self.unix_millis().to_string());
    }

    /// Its position as Unix milliseconds, rounded down.
    fn unix_millis(&self) -> i64 {
        let behind = self.world.now() - self.world.position(self.id);
        aldermill_test_support::unix_millis() as i64 - behind / 1000 - 1
    }

    async fn occupied(&self, millis: f64) {
        let Ok(_worker) = self.workers.acquire().await else { return };
        sleep(Duration::from_secs_f64(millis * self.slowness() / 1000.0)).await;
    }

    /// A cold member works more slowly.
    fn slowness(&self) -> f64 {
        let age = (self.world.now() - self.started.get()) as f64 / 1000.0;
        let part = (age / self.world.plan.bearing.warm_ms as f64).min(1.0);
        1.0 / (crate::terms::COLD_FROM + (1.0 - crate::terms::COLD_FROM) * part)
    }

    /// Work that reaches it, done or not. A cold member that gets too much in one window falls and stays down.
    fn feels(&self, millis: f64) {
        let (now, world) = (self.world.now(), &self.world);
        let age = now - self.started.get();
        if age >= world.plan.bearing.warm_ms as At * 1000 {
            return;
        }
        let mut work = self.work.borrow_mut();
        work.push_back((now, millis));
        work.retain(|&(at, _)| at > now - FALL_MS * 1000);
        // The window's start is what counts: the member was weakest then.
        let at_start = (age - FALL_MS * 1000).max(0);
        if work.iter().map(|&(_, millis)| millis).sum::<f64>() > world.bears_cold(at_start) {
            world.note(Event::Fell { member: self.id });
            drop(work);
            self.kill();
        }
    }
}

/// Notes the end of an attempt wherever that comes.
struct Over<'a> {
    world: &'a World,
    id: u64,
    driver: usize,
    member: usize,
}

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.world.note(Event::Over { id: self.id, driver: self.driver, member: self.member });
    }
}

/// Resolves when the other side has closed. Nobody speaks before the answer.
async fn ended(stream: &TcpStream) {
    let mut bytes = [0; 1];
    while !matches!(stream.peek(&mut bytes).await, Ok(0) | Err(_)) {
        sleep(Duration::from_millis(5)).await;
    }
}

//! The clients and the front that spreads them over the drivers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::{Buffer, pg};
use rand::Rng;
use rand::seq::IndexedRandom;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

use crate::history::{At, Event, How};
use crate::judge::SLACK;
use crate::keys;
use crate::plan::Keys;
use crate::terms::{CLASSES, MINE, bears, is_write};
use crate::world::World;

/// How long the front goes on sending clients to a driver that is dead.
const NOTICES: Duration = Duration::from_secs(2);
/// A connection that stood idle and ends so soon behind a request was closed as that crossed it; later, the
/// request was read.
const CROSSES: Duration = Duration::from_millis(200);
/// How long a client goes on waiting for an answer that has not come in time, so that one that comes late is told from
/// one that never comes.
const STAYS: Duration = Duration::from_secs(2);
const TRIES: u32 = 4;
const IDLE: usize = 16;

struct Place {
    address: SocketAddr,
    admitted: Cell<bool>,
    /// It is being stopped: not to be admitted before it was started again.
    leaves: Cell<bool>,
    /// Since when connections to it fail.
    fails: Cell<Option<Instant>>,
    idle: RefCell<Vec<Connection>>,
}

struct Connection {
    stream: TcpStream,
    buffer: Buffer,
    /// The try that was answered last.
    last: Option<u64>,
}

pub struct Front {
    world: Rc<World>,
    places: Vec<Place>,
    next: Cell<u64>,
}

impl Front {
    pub fn new(world: &Rc<World>, drivers: Vec<SocketAddr>) -> Rc<Front> {
        let place = |address| Place {
            address,
            admitted: Cell::default(),
            leaves: Cell::default(),
            fails: Cell::default(),
            idle: RefCell::default(),
        };
        let places = drivers.into_iter().map(place).collect();
        Rc::new(Front { world: world.clone(), places, next: Cell::new(1) })
    }

    pub fn admitted(&self) -> usize {
        self.places.iter().filter(|place| place.admitted.get()).count()
    }

    /// No new clients are sent there until it was seen to be ready anew.
    pub fn dismiss(&self, driver: usize) {
        self.places[driver].admitted.set(false);
        self.places[driver].leaves.set(true);
    }

    pub fn expect(&self, driver: usize) {
        self.places[driver].leaves.set(false);
    }

    /// Admits drivers that answer an empty query.
    pub async fn admit(self: Rc<Front>) {
        loop {
            for (driver, place) in self.places.iter().enumerate() {
                if !place.admitted.get() && !place.leaves.get() {
                    let front = self.clone();
                    spawn_local(async move {
                        let asked = timeout(Duration::from_secs(1), front.is_ready(driver)).await;
                        let place = &front.places[driver];
                        if asked.ok().flatten().is_some() && !place.leaves.get() {
                            place.admitted.set(true);
                            place.fails.set(None);
                        }
                    });
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn is_ready(&self, driver: usize) -> Option<()> {
        let mut stream = TcpStream::connect(self.places[driver].address).await.ok()?;
        let mut out = Vec::new();
        pg::write_startup_message(&mut out, "client", "core");
        pg::write_query(&mut out, &[]);
        stream.write_all(&out).await.ok()?;
        let mut buffer = Buffer::default();
        loop {
            while let Some(message) = pg::message(buffer.held(), 1 << 20).ok()? {
                if message.tag == b'I' {
                    return Some(());
                }
                let length = message.length;
                buffer.consume(length);
            }
            if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Clients come by chance at the plan's load, whatever becomes of those before, until the time is over and the
    /// last of them has gone.
    pub async fn run(self: &Rc<Front>) {
        let plan = &self.world.plan;
        let rate = plan.load * bears(plan.groups, plan.members, plan.bearing.workers);
        let end = Instant::now() + Duration::from_secs_f64(plan.seconds);
        let (mut due, mut clients) = (Instant::now(), JoinSet::new());
        loop {
            let gap = -(1.0 - self.world.rng.borrow_mut().random::<f64>()).ln() / rate;
            due += Duration::from_secs_f64(gap);
            if due >= end {
                break;
            }
            sleep_until(due).await;
            clients.spawn_local(self.clone().client());
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
    }

    fn pick(&self, session: usize, roams: bool) -> Option<usize> {
        let admitted: Vec<usize> =
            (0..self.places.len()).filter(|&driver| self.places[driver].admitted.get()).collect();
        if roams && self.world.plan.sites == 1 {
            return admitted.choose(&mut *self.world.rng.borrow_mut()).copied();
        }
        let plan = &self.world.plan;
        let even = session % self.places.len();
        // Sessions that lean to the first zone, the same ones all the time.
        let leans = ((session * 7919 % 1000) as f64) < plan.skew * 1000.0;
        let own = if leans { even / plan.zones * plan.zones } else { even };
        // Another of the same site first.
        let away = |driver: usize| (driver + self.places.len() - own) % self.places.len();
        admitted.into_iter().min_by_key(|&driver| (driver % plan.sites != own % plan.sites, away(driver)))
    }

    async fn client(self: Rc<Front>) {
        let (session, class, group) = {
            let mut rng = self.world.rng.borrow_mut();
            let mut part: f64 = rng.random();
            let class = CLASSES.iter().position(|class| {
                part -= class.share;
                part < 0.0
            });
            let session = rng.random_range(0..self.places.len() * 20);
            (session, class.unwrap_or(0), rng.random_range(0..self.world.plan.groups))
        };
        let (first, limit) = (self.world.now(), self.world.plan.timeout_ms(class) * 1000);
        let keys = self.world.plan.keys;
        let key = keys::key(keys, &mut self.world.rng.borrow_mut(), session, first);
        if keys != Keys::Sessions {
            self.world.note(Event::Keyed { group, class, key: key.clone() });
        }
        let mut roams = false;
        for attempt in 0..TRIES {
            let wait = first + limit - self.world.now();
            if wait < 20_000 {
                return;
            }
            let Some(driver) = self.pick(session, roams) else {
                sleep(Duration::from_millis(50)).await;
                continue;
            };
            let id = self.next.get();
            self.next.set(id + 1);
            let mark = if attempt > 0 { ",r=1" } else { "" };
            let wrote = self.world.wrote.borrow().get(&(session, group)).copied();
            let after = wrote.filter(|_| class == MINE);
            // In the primary's whole milliseconds.
            let carried = after.map(|at| {
                let ago = (self.world.now() - at) / 1000;
                format!(",after={}", aldermill_test_support::unix_millis() as At - ago)
            });
            let carried = carried.unwrap_or_default();
            let named = if self.world.plan.sites > 1 { format!(",s={session}") } else { String::new() };
            let verb = if is_write(class) {
                format!("INSERT INTO state (uid, val) VALUES ('{key}', '\\x9f') RETURNING val")
            } else {
                format!("SELECT val FROM state WHERE uid = '{key}'")
            };
            let text = format!(
                "/* id={id:016},c={},d={},cluster={group}{mark}{carried}{named} */ {verb}",
                CLASSES[class].name,
                wait / 1000
            );
            let wait = wait / 1000 * 1000;
            if self.world.plan.sites > 1 {
                self.world.note(Event::Bound { id, session });
            }
            self.world.note(Event::Asked { id, driver, class, group, wait, first, after });
            let (how, again) = self.ask(driver, id, &text, wait).await;
            if how == How::Served && is_write(class) {
                // It took effect when it began; up to now is what a client may take it for.
                self.world.wrote.borrow_mut().insert((session, group), self.world.now());
            }
            match how {
                How::Rejected => sleep(again.unwrap_or(Duration::from_millis(50))).await,
                How::Unreached => {
                    roams = true;
                    sleep(Duration::from_millis(50)).await;
                }
                // What may be done twice is asked again.
                How::Lost if !is_write(class) => roams = true,
                _ => return,
            }
        }
    }

    /// One try, and after how long the client is asked to come again.
    async fn ask(&self, driver: usize, id: u64, text: &str, wait: At) -> (How, Option<Duration>) {
        let until = Instant::now() + Duration::from_micros((wait + SLACK) as u64);
        let mut exchange = pin!(self.exchange(driver, id, text));
        let in_time = timeout_at(until, &mut exchange).await;
        let said = in_time.unwrap_or((How::Nothing, None));
        self.world.note(Event::Answered { id, driver, how: said.0 });
        if said.0 == How::Nothing {
            let late = timeout_at(until + STAYS, exchange).await;
            let how = late.map_or(How::Nothing, |(how, _)| how);
            self.world.note(Event::AnsweredLate { id, how });
        }
        said
    }

    /// Asks and waits, however long it takes.
    async fn exchange(&self, driver: usize, id: u64, text: &str) -> (How, Option<Duration>) {
        let place = &self.places[driver];
        loop {
            let pooled = place.idle.borrow_mut().pop();
            let was_idle = pooled.is_some();
            let connection = match pooled {
                Some(connection) => connection,
                None => match TcpStream::connect(place.address).await {
                    Err(_) => {
                        self.fails(driver);
                        return (How::Unreached, None);
                    }
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        Connection { stream, buffer: Buffer::default(), last: None }
                    }
                },
            };
            let mut connection = connection;
            let asked = Instant::now();
            return match self.converse(&mut connection, text).await {
                // It was closed for standing idle, as this crossed it.
                None if was_idle && asked.elapsed() < CROSSES => continue,
                None => {
                    self.fails(driver);
                    (How::Lost, None)
                }
                Some(said) => {
                    place.fails.set(None);
                    connection.last = Some(id);
                    if place.idle.borrow().len() < IDLE {
                        place.idle.borrow_mut().push(connection);
                    }
                    said
                }
            };
        }
    }

    fn fails(&self, driver: usize) {
        let place = &self.places[driver];
        place.idle.borrow_mut().clear();
        let since = place.fails.get().unwrap_or_else(Instant::now);
        place.fails.set(Some(since));
        if since.elapsed() >= NOTICES {
            place.admitted.set(false);
        }
    }

    async fn converse(&self, connection: &mut Connection, text: &str) -> Option<(How, Option<Duration>)> {
        let Connection { stream, buffer, last } = connection;
        let mut out = Vec::new();
        match *last {
            None => pg::write_startup_message(&mut out, "client", "core"),
            Some(last) => {
                // Nothing may come behind an answer.
                if stream.try_read_buf(buffer.tail()).is_ok_and(|count| count > 0) {
                    let how = How::Twice;
                    self.world.note(Event::Answered { id: last, driver: usize::MAX, how });
                    return None;
                }
            }
        }
        pg::write_query(&mut out, &[text.as_bytes()]);
        stream.write_all(&out).await.ok()?;
        let (mut how, mut again, mut welcomed) = (How::Wrong, None, last.is_some());
        loop {
            while let Some(message) = pg::message(buffer.held(), 1 << 20).ok()? {
                match message.tag {
                    b'D' => how = How::Served,
                    b'E' => {
                        let refusal = pg::ErrorResponse::parse(message.body).ok()?;
                        how = match refusal.code {
                            "53300" | "57P03" => How::Rejected,
                            "40003" => How::Failed,
                            _ => How::Wrong,
                        };
                        again = refusal.detail.parse().ok().map(Duration::from_millis);
                    }
                    _ => {}
                }
                let (tag, length) = (message.tag, message.length);
                buffer.consume(length);
                if tag == b'Z' && std::mem::replace(&mut welcomed, true) {
                    if !buffer.is_empty() {
                        how = How::Twice;
                    }
                    return Some((how, again));
                }
            }
            if stream.read_buf(buffer.tail()).await.ok()? == 0 {
                return None;
            }
        }
    }
}

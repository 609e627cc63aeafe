//! Measures two sites joined by a line that is cut at least once a second:
//! `cargo run --release -p aldermill-fault-injection --example gateway [seconds a round trip]`. Wants the machine to itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{
    BACK, Cable, Client, Ledger, Site, THERE, named, new_id, order, paced, quantile, until,
};

const CLIENTS: usize = 60;
const EVERY: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Seen {
    asked: usize,
    by_code: BTreeMap<String, usize>,
    took: Vec<Duration>,
    late: usize,
    untrue: usize,
}

impl Seen {
    fn share(&self, code: &str) -> f64 {
        self.by_code.get(code).copied().unwrap_or(0) as f64 / self.asked.max(1) as f64
    }
}

/// How a client goes about it.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// Asks its own site once.
    Once,
    /// Goes to the other site itself, and sends again where a connection breaks.
    Again,
}

/// Renewals at a fixed pace, each under an id of its own.
fn load(address: SocketAddr, way: Way, long: Duration, ledger: &Ledger) -> Seen {
    let seen = Mutex::<Seen>::default();
    paced(CLIENTS, EVERY, long, |_, _, client| {
        let (id, began) = (new_id(), Instant::now());
        let statement = named(&order(3000), &id);
        let mut said = None;
        while said.is_none() && began.elapsed() < Duration::from_secs(3) {
            *client = client.take().or_else(|| Client::bare(address).greeted());
            let Some(open) = client.as_mut() else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            said = open.offer(&statement).then(|| open.answer()).flatten();
            if said.is_none() {
                *client = None;
                if way == Way::Once && ledger.runs(&id) > 0 {
                    break;
                }
            }
        }
        let code = said.as_ref().map_or("none", |said| match &said.value {
            Some(_) => "honoured",
            None => said.code.as_str(),
        });
        let runs = ledger.runs(&id);
        let mut seen = seen.lock().unwrap();
        seen.asked += 1;
        *seen.by_code.entry(code.to_owned()).or_default() += 1;
        seen.late += usize::from(began.elapsed() > Duration::from_millis(3050));
        // Rejected although it ran, or served though it did not.
        seen.untrue += usize::from(code == "53300" && runs > 0 || code == "honoured" && runs == 0);
        if code == "honoured" {
            seen.took.push(began.elapsed());
        }
    });
    seen.into_inner().unwrap()
}

/// Cuts the line at least once a second, at a byte by chance one way or the other, or all of it at once.
fn cutting(cable: Cable, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut chance = 0x2545_f491_4f6c_dd1du64;
        while !stop.load(Ordering::SeqCst) {
            chance ^= chance << 13;
            chance ^= chance >> 7;
            chance ^= chance << 17;
            match chance % 3 {
                0 => cable.cut(false),
                way => cable.cut_after([THERE, BACK][way as usize - 1], (chance >> 8) as usize % 20_000),
            }
            thread::sleep(Duration::from_millis(500 + (chance >> 32) % 400));
        }
    })
}

fn row(what: &str, trip: u64, seen: &mut Seen, cuts: usize, cpu: f64, ledger: &Ledger) {
    let (half, most) = (quantile(&mut seen.took, 0.5), quantile(&mut seen.took, 0.99));
    let (broken, asked) = (seen.by_code.get("40003").copied().unwrap_or(0), seen.asked as f64);
    println!(
        "{what:<12} {trip:>4} ms  {:>6} asked  {:.4} honoured  {:.4} denied  {broken} broken off ({:.2} a cut)  {} none  {} late  \
         {} untrue  {} doubles  p50 +{:.1} ms  p99 +{:.1} ms  {cuts} cuts  {:.0} us CPU a request",
        seen.asked,
        seen.share("honoured"),
        seen.share("53300"),
        broken as f64 / cuts.max(1) as f64,
        seen.by_code.get("none").copied().unwrap_or(0),
        seen.late,
        seen.untrue,
        ledger.doubles().len(),
        half - trip as f64,
        most - trip as f64,
        cpu * 1e6 / asked,
    );
}

fn main() {
    let seconds = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(60);
    let long = Duration::from_secs(seconds);
    for trip in [10, 40, 150] {
        let ledger = Ledger::default();
        ledger.home.store(1, Ordering::SeqCst);
        let mut near = Site::new(0, 1, &ledger, |terms| terms);
        let mut far = Site::new(1, 2, &ledger, |terms| terms);
        let cable = Cable::to(far.links);
        cable.delay(Duration::from_millis(trip / 2));
        far.start(&[(0, None)]);
        near.start(&[(1, Some(cable.address))]);
        until("a write crosses", || near.client().ask(&order(3000)).value.is_some());

        let calm = Duration::from_secs(10);
        let before = near.driver().cpu() + far.driver().cpu();
        let mut seen = load(near.address, Way::Once, calm, &ledger);
        row("no cuts", trip, &mut seen, 0, near.driver().cpu() + far.driver().cpu() - before, &ledger);

        let (stop, cuts) = (Arc::<AtomicBool>::default(), cable.cuts());
        let cutter = cutting(cable.clone(), stop.clone());
        let before = near.driver().cpu() + far.driver().cpu();
        let mut seen = load(near.address, Way::Once, long, &ledger);
        stop.store(true, Ordering::SeqCst);
        cutter.join().unwrap();
        let used = near.driver().cpu() + far.driver().cpu() - before;
        row("gateway", trip, &mut seen, cable.cuts() - cuts, used, &ledger);

        // Without a book: clients go across by themselves, and send again what a cut left open.
        let ledger = Ledger::default();
        ledger.home.store(1, Ordering::SeqCst);
        let mut alone = Site::new(1, 2, &ledger, |terms| terms);
        alone.start(&[]);
        let cable = Cable::to(alone.address);
        cable.delay(Duration::from_millis(trip / 2));
        let (stop, cuts) = (Arc::<AtomicBool>::default(), cable.cuts());
        let cutter = cutting(cable.clone(), stop.clone());
        let mut seen = load(cable.address, Way::Again, calm, &ledger);
        stop.store(true, Ordering::SeqCst);
        cutter.join().unwrap();
        row("plain retry", trip, &mut seen, cable.cuts() - cuts, alone.driver().cpu(), &ledger);

        // Home only: the near site has a replica, and nobody to forward to.
        let ledger = Ledger::default();
        ledger.home.store(1, Ordering::SeqCst);
        let mut home = Site::new(0, 1, &ledger, |terms| terms);
        home.start(&[]);
        let mut seen = load(home.address, Way::Once, Duration::from_secs(5), &ledger);
        row("home only", trip, &mut seen, 0, home.driver().cpu(), &ledger);
    }
}

//! One trial: the proxy as a process of its own, its members, ordinary and hostile clients, and signals.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use aldermill_test_support::{Discovery, Driver, config};
use serde::Serialize;
use tokio::runtime;
use tokio::task::{LocalSet, spawn_local};

use super::attack::{AttackContext, DepartureLog, HostileClient, HostileGroup};
use super::members::{self, ArrivalLog, Member, MemberTrouble, Role};
use super::ordinary::{DEADLINE, LATE_ANSWER_WINDOW, OrdinaryClient, RequestLog};
use super::report::{Outage, Report};

/// Number of threads that hostile clients share.
const HOSTILE_THREADS: usize = 4;
/// Time after which the hostile clients begin.
const HOSTILE_START: Duration = Duration::from_millis(1500);
/// Time from SIGTERM to SIGKILL, in addition to the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time that a process stays away between its end and its next start.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Interval at which the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// A signal during a trial.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum SignalPlan {
    /// A series of so many SIGHUPs.
    Reload {
        /// When the first comes, in milliseconds.
        at_ms: u64,
        /// How many come, 50 ms apart.
        times: u32,
    },
    /// SIGTERM, SIGKILL at the earliest time that is allowed, and a new start.
    Restart {
        /// When SIGTERM comes, in milliseconds.
        at_ms: u64,
    },
    /// SIGKILL and a new start.
    Kill {
        /// When it comes, in milliseconds.
        at_ms: u64,
    },
}

impl SignalPlan {
    fn at(self) -> Duration {
        let (SignalPlan::Reload { at_ms, .. } | SignalPlan::Restart { at_ms } | SignalPlan::Kill { at_ms }) =
            self;
        Duration::from_millis(at_ms)
    }
}

/// A trial.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Memory limit of the proxy, in MiB.
    pub memory_mb: u64,
    /// Descriptor limit of the proxy.
    pub sockets: usize,
    /// Number of ordinary clients.
    pub ordinary: usize,
    /// How long the ordinary clients send requests, in milliseconds.
    pub length_ms: u64,
    /// The hostile clients.
    pub hostile: Vec<HostileGroup>,
    /// Signals, in the order of their times.
    pub signals: Vec<SignalPlan>,
    /// How one of the two replicas answers wrongly; `None` if it is sound.
    pub trouble: Option<MemberTrouble>,
}

/// What the trial's threads share.
#[derive(Clone, Default)]
struct Logs {
    arrivals: ArrivalLog,
    departures: DepartureLog,
    requests: RequestLog,
    stop: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
}

impl Trial {
    /// Plays the trial.
    pub fn run(&self) -> Report {
        let logs = Logs::default();
        let (discovery, known) = start_members(&logs.arrivals, self.trouble);
        let config = config(discovery, self.sockets, &known)
            .replace("\"memory_mb\":192", &format!("\"memory_mb\":{}", self.memory_mb))
            .replace("\"deadlineMs\":20000", &format!("\"deadlineMs\":{}", DEADLINE.as_millis()));
        let mut process = Process::start(config);
        let address = process.driver.address;
        let clients = self.start_clients(address, &logs);
        process.play(&self.signals, Duration::from_millis(self.length_ms));
        logs.stop.store(true, Ordering::Relaxed);
        let mut report = process.finish();
        for client in clients {
            let _ = client.join();
        }
        report.limit_kib = self.memory_mb * 1024;
        report.hostile_connections = logs.connections.load(Ordering::Relaxed);
        report.count(&logs.requests.lock().expect("the requests"), &process.outages);
        report.compare(&logs.arrivals, &logs.departures);
        report
    }

    fn start_clients(&self, proxy: SocketAddr, logs: &Logs) -> Vec<thread::JoinHandle<()>> {
        let until = Instant::now() + Duration::from_millis(self.length_ms) - DEADLINE - LATE_ANSWER_WINDOW;
        let mut threads = vec![spawn_runtime({
            let (log, clients) = (logs.requests.clone(), self.ordinary);
            move || async move {
                let tasks: Vec<_> = (0..clients)
                    .map(|number| {
                        let client = OrdinaryClient { proxy, log: log.clone(), until };
                        spawn_local(client.run(Duration::from_millis(3 * number as u64)))
                    })
                    .collect();
                for task in tasks {
                    let _ = task.await;
                }
            }
        })];
        let context = AttackContext {
            proxy,
            stop: logs.stop.clone(),
            departures: logs.departures.clone(),
            connections: logs.connections.clone(),
        };
        let all: Vec<HostileGroup> =
            self.hostile.iter().flat_map(|&group| std::iter::repeat_n(group, group.connections)).collect();
        for share in 0..HOSTILE_THREADS {
            let groups: Vec<HostileGroup> =
                all.iter().copied().skip(share).step_by(HOSTILE_THREADS).collect();
            threads.push(spawn_runtime({
                let context = context.clone();
                move || attack(context, groups)
            }));
        }
        threads
    }
}

/// Runs these clients until the trial ends.
async fn attack(context: AttackContext, groups: Vec<HostileGroup>) {
    tokio::time::sleep(HOSTILE_START).await;
    for group in groups {
        spawn_local(HostileClient { context: context.clone(), group }.run());
    }
    while !context.stop.load(Ordering::Relaxed) {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Runs a future on a thread of its own.
fn spawn_runtime<F: Future<Output = ()>>(
    make: impl FnOnce() -> F + Send + 'static,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(LocalSet::new().run_until(make()));
    })
}

/// Starts the members and discovery. Returns discovery's address and the list.
fn start_members(log: &ArrivalLog, trouble: Option<MemberTrouble>) -> (SocketAddr, String) {
    let (sender, receiver) = mpsc::channel();
    let log = log.clone();
    spawn_runtime(move || async move {
        let all = [("a", Role::Primary, None), ("b", Role::Replica, trouble), ("c", Role::Replica, None)];
        for (name, role, trouble) in all {
            let (listener, address) = members::listen().await.expect("a socket");
            spawn_local(members::serve(listener, Member { role, log: log.clone(), trouble }));
            sender.send((name, address)).expect("the trial waits");
        }
        std::future::pending::<()>().await;
    });
    let members: Vec<String> = receiver
        .iter()
        .take(3)
        .map(|(name, address)| {
            format!(
                r#"{{"id":"{name}","host_port":"{address}","locality":"here","flavor":"m","cell":2,"phase":"in_service","size":1.0,"up_since_ms":0}}"#
            )
        })
        .collect();
    let known = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","));
    let discovery = Discovery::default();
    discovery.say(known.clone());
    (discovery.start(), known)
}

/// The proxy, which signals may end and which is then started again.
struct Process {
    driver: Driver,
    config: String,
    outages: Vec<Outage>,
    peak_kib: u64,
    cpu_seconds: f64,
    crashed: bool,
}

impl Process {
    fn start(config: String) -> Process {
        let driver = Driver::of(&config);
        Process { driver, config, outages: Vec::new(), peak_kib: 0, cpu_seconds: 0.0, crashed: false }
    }

    /// Sends the signals at their times, and watches the process up to the end.
    fn play(&mut self, signals: &[SignalPlan], length: Duration) {
        let start = Instant::now();
        for &signal in signals {
            self.watch_until(start + signal.at());
            match signal {
                SignalPlan::Reload { times, .. } => {
                    for _ in 0..times {
                        self.driver.signal("-HUP");
                        self.watch_until(Instant::now() + Duration::from_millis(50));
                    }
                }
                SignalPlan::Restart { .. } => {
                    let from = Instant::now();
                    self.driver.signal("-TERM");
                    self.watch_until_exit(from + DEADLINE + KILL_MARGIN);
                    self.replace(from);
                }
                SignalPlan::Kill { .. } => self.replace(Instant::now()),
            }
        }
        self.watch_until(start + length);
    }

    /// Kills the process, if it still runs, and starts the next one at the same address.
    fn replace(&mut self, from: Instant) {
        self.cpu_seconds += self.driver.cpu();
        let _ = self.driver.child.kill();
        let _ = self.driver.child.wait();
        thread::sleep(DOWN_TIME);
        self.driver = Driver::at(self.driver.address, &self.config);
        self.outages.push(Outage { from, until: Instant::now() });
    }

    fn watch_until(&mut self, until: Instant) {
        while Instant::now() < until {
            self.sample();
            if self.driver.child.try_wait().is_ok_and(|ended| ended.is_some()) {
                self.crashed = true;
                return;
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    fn watch_until_exit(&mut self, until: Instant) {
        while Instant::now() < until && self.driver.child.try_wait().is_ok_and(|ended| ended.is_none()) {
            self.sample();
            thread::sleep(SAMPLE_INTERVAL);
        }
    }

    fn sample(&mut self) {
        self.peak_kib = self.peak_kib.max(self.driver.memory("VmHWM"));
    }

    /// Ends the last process and returns what was seen of all.
    fn finish(&mut self) -> Report {
        self.sample();
        self.cpu_seconds += self.driver.cpu();
        let _ = self.driver.child.kill();
        Report {
            peak_kib: self.peak_kib,
            cpu_seconds: self.cpu_seconds,
            crashed: self.crashed,
            ..Report::default()
        }
    }
}

//! What a wide fleet costs each process: the same traffic before few members and before many, side by side.
//!
//! Traffic of a process, its limits, and the capacity of all members per process stay the same while the number of
//! members grows. Members, discovery and clients are models in this process; the processes measured are those of the
//! built program.

mod agent;
mod clients;
mod ground;
mod member;
mod process;
mod table;

use std::rc::Rc;
use std::time::Duration;

use aldermill_stand_ins::program;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::Trouble;
use agent::Agent;
use clients::Clients;
use ground::Ground;
use member::Member;
use process::Process;
pub use table::{Compared, compare, excess, table};

const READY: Duration = Duration::from_secs(30);
const SAMPLE: Duration = Duration::from_millis(200);

/// One day of one fleet.
#[derive(Clone, Debug)]
pub struct Day {
    pub processes: usize,
    pub members: usize,
    pub groups: usize,
    /// How long clients come.
    pub length: Duration,
    /// Requests a second that each process gets.
    pub rate: f64,
    /// The share of them that are writes.
    pub writes: f64,
    /// Between two changes of the list.
    pub change_every: Duration,
    /// Workers of all members together, for each process.
    pub workers: f64,
    /// Connections that all members together take, for each process.
    pub connections: f64,
    /// After so long another member of each group becomes primary.
    pub failover: Option<Duration>,
    /// What the settings say of idle connections; members close theirs after it too.
    pub idle: Duration,
    /// Whether the settings allow probes.
    pub probes: bool,
    /// The limits of each process.
    pub sockets: u64,
    pub memory_mb: u64,
    pub seed: u64,
}

impl Default for Day {
    fn default() -> Day {
        Day {
            processes: 1,
            members: 20,
            groups: 4,
            length: Duration::from_secs(60),
            rate: 60.0,
            writes: 0.25,
            change_every: Duration::from_millis(500),
            workers: 80.0,
            connections: 4000.0,
            failover: None,
            idle: Duration::from_secs(30),
            probes: true,
            sockets: 256,
            memory_mb: 64,
            seed: 1,
        }
    }
}

/// How a fleet gets its more members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// As many groups, each so many times as large.
    LargeGroups,
    /// So many times as many groups of the same size.
    ManyGroups,
}

impl Day {
    /// The same day before so many times the members.
    pub fn wide(&self, shape: Shape, times: usize) -> Day {
        let groups = if shape == Shape::ManyGroups { self.groups * times } else { self.groups };
        Day { members: self.members * times, groups, ..self.clone() }
    }

    /// What one member has of that which all together have per process.
    fn part(&self, all: f64) -> f64 {
        all * self.processes as f64 / self.members as f64
    }
}

/// Per process, in the mean over all of them where nothing else is said.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    pub cpu_s: f64,
    /// Peak resident memory.
    pub memory_mb: f64,
    /// Most descriptors at once, as sampled.
    pub descriptors: f64,
    /// Connections made to members.
    pub connections: f64,
    pub list_kb: f64,
    pub writes: Answers,
    pub reads: Answers,
    /// Probes, and writes that reached a member other than the primary.
    pub probes: f64,
    pub misses: f64,
    /// Groups that clients of a process wrote to: no policy touches fewer members than these have primaries.
    pub primaries: f64,
    /// From the first write of a group at a process until one reached the primary; `None` where none did. Sorted.
    pub found_at_start: Vec<Option<Duration>>,
    /// The same after the primaries moved.
    pub found_after_failover: Vec<Option<Duration>>,
}

/// How requests ended, over all processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    pub asked: u64,
    pub served: u64,
    pub rejected: u64,
    /// Errors, and no answer in time.
    pub failed: u64,
}

impl Answers {
    pub fn share_served(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// Plays a day to its end with the built program.
pub fn measure(day: &Day) -> Result<Measured, Trouble> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, play(day))?)
}

async fn play(day: &Day) -> std::io::Result<Measured> {
    let ground = Ground::new(day);
    let mut addresses = Vec::new();
    for id in 0..day.members {
        addresses.push(Member::start(&ground, id).await?);
    }
    let agent = Agent::new(&ground, addresses);
    let discovery = agent.listen().await?;
    let mut processes = Vec::new();
    for at in 0..day.processes {
        processes.push(Process::start(&program(), day, at, discovery, agent.at_start())?);
    }
    let clients = Clients::new(&ground, processes.iter().map(|process| process.address).collect());
    let start = Instant::now();
    while !clients.are_ready().await {
        if start.elapsed() > READY || processes.iter_mut().any(Process::has_ended) {
            return Err(std::io::Error::other("not all processes were ready"));
        }
        sleep(Duration::from_millis(20)).await;
    }
    spawn_local(agent.clone().change());
    spawn_local(ground.clone().fail_over());
    let mut run = spawn_local(clients.run());
    loop {
        tokio::select! {
            _ = &mut run => break,
            () = sleep(SAMPLE) => processes.iter_mut().for_each(Process::sample),
        }
    }
    processes.iter_mut().for_each(Process::sample);
    if processes.iter_mut().any(Process::has_ended) {
        return Err(std::io::Error::other("a process ended by itself"));
    }
    Ok(measured(&ground, &agent, &processes))
}

fn measured(ground: &Rc<Ground>, agent: &Agent, processes: &[Process]) -> Measured {
    let count = processes.len() as f64;
    let mean = |of: &dyn Fn(&Process) -> f64| processes.iter().map(of).sum::<f64>() / count;
    Measured {
        cpu_s: mean(&|process| process.cpu_s),
        memory_mb: mean(&|process| process.memory_mb),
        descriptors: mean(&|process| process.descriptors as f64),
        connections: ground.connections.get() as f64 / count,
        list_kb: agent.bytes() as f64 / 1000.0 / count,
        writes: ground.writes.get(),
        reads: ground.reads.get(),
        probes: ground.probes.get() as f64 / count,
        misses: ground.misses.get() as f64 / count,
        primaries: ground.written_groups() as f64 / count,
        found_at_start: ground.found(0),
        found_after_failover: ground.found(1),
    }
}

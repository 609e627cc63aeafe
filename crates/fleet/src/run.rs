//! One run of a plan.

use std::collections::{BTreeMap, HashMap};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use aldermill_stand_ins::{free_port, program};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::Trouble;
use crate::cable::{BACK, Line, THERE};
use crate::council;
use crate::discovery::Discovery;
use crate::drivers::{Drivers, Gateway, Introduced};
use crate::faults::Stage;
use crate::front::Front;
use crate::history::{At, Event};
use crate::judge::{Verdict, judge};
use crate::member::Member;
use crate::plan::{Known, Plan};
use crate::scheduled;
use crate::world::World;

const READY: Duration = Duration::from_secs(30);

pub struct Run {
    pub plan: Plan,
    pub seed: u64,
    pub events: Vec<(At, Event)>,
    pub verdict: Verdict,
}

/// Plays a plan to its end with the built program. Logs of the drivers go to that folder, if one is named.
pub fn run(plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<Run, Trouble> {
    run_of(&[program().into()], plan, seed, logs)
}

/// With another program in the drivers' place, and what stands before its own arguments.
pub fn run_of(program: &[OsString], plan: &Plan, seed: u64, logs: Option<&Path>) -> Result<Run, Trouble> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime?;
    // Told to stop, it still ends the processes that it started.
    let told_to_stop = async {
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
        Err(std::io::Error::other("told to stop"))
    };
    let played = async {
        tokio::select! {
            played = play(program, plan, seed, logs) => played,
            stopped = told_to_stop => stopped,
        }
    };
    let events = LocalSet::new().block_on(&runtime, played)?;
    let verdict = judge(plan, &events);
    Ok(Run { plan: plan.clone(), seed, events, verdict })
}

/// Notes when this process itself is late: the judges allow for it.
async fn punctual(world: Rc<World>) {
    loop {
        let due = world.now() + 5_000;
        sleep(Duration::from_millis(5)).await;
        let by = world.now() - due;
        if by > 20_000 {
            world.note(Event::Late { by });
        }
    }
}

/// A line between each two drivers, for what they say to each other.
async fn introduce(drivers: &Drivers, seed: u64) -> std::io::Result<HashMap<(usize, usize), Rc<Line>>> {
    let own: Vec<SocketAddr> = (0..drivers.len()).map(|_| free_port()).collect();
    let (mut lines, mut ways) = (HashMap::new(), vec![Vec::new(); drivers.len()]);
    for low in 0..drivers.len() {
        for high in low + 1..drivers.len() {
            let line = Line::new(seed ^ (1 << 22 | low << 8 | high) as u64);
            ways[low].push((high, line.datagrams_on(THERE, own[high]).await?));
            ways[high].push((low, line.datagrams_on(BACK, own[low]).await?));
            lines.insert((low, high), line);
        }
    }
    for (driver, others) in ways.into_iter().enumerate() {
        drivers.knows(driver, Introduced { own: own[driver], others });
    }
    Ok(lines)
}

/// Lines from each gateway to those of other sites, by who opens the link.
async fn join(
    world: &World,
    drivers: &Drivers,
    seed: u64,
) -> std::io::Result<HashMap<(usize, usize), Rc<Line>>> {
    let own: Vec<SocketAddr> = (0..drivers.len()).map(|_| free_port()).collect();
    let mut lines = HashMap::new();
    for from in 0..drivers.len() {
        let mut others: BTreeMap<usize, Vec<SocketAddr>> = BTreeMap::new();
        for (to, listens) in own.iter().enumerate() {
            let site = world.site_of_driver(to);
            if site != world.site_of_driver(from) {
                let line = Line::new(seed ^ (1 << 23 | from << 8 | to) as u64);
                others.entry(site).or_default().push(line.stream(*listens).await?);
                lines.insert((from, to), line);
            }
        }
        drivers.links(from, Gateway { listen: own[from], others });
    }
    Ok(lines)
}

async fn play(
    program: &[OsString],
    plan: &Plan,
    seed: u64,
    logs: Option<&Path>,
) -> std::io::Result<Vec<(At, Event)>> {
    let world = World::new(plan.clone(), seed);
    let members: std::io::Result<Vec<_>> = (0..world.members()).map(|id| Member::start(&world, id)).collect();
    let members = members?;
    let (mut to_members, mut ways, mut to_lists, mut from_clients) = (vec![], vec![], vec![], vec![]);
    for driver in 0..plan.drivers {
        let (mut lines, mut addresses) = (vec![], vec![]);
        for member in &members {
            let line = Line::new(seed ^ (driver * 1000 + member.id) as u64);
            addresses.push(line.stream(member.addresses[driver]).await?);
            lines.push(line);
        }
        to_members.push(lines);
        ways.push(addresses);
    }
    let discovery = Discovery::new(&world, &members, ways);
    let mut agents = vec![];
    for driver in 0..plan.drivers {
        let line = Line::new(seed ^ (1 << 20 | driver) as u64);
        agents.push(line.stream(discovery.start(driver).await?).await?);
        to_lists.push(line);
    }
    let drivers = Rc::new(Drivers::new(&world, &discovery, agents, logs, program)?);
    let fellows = if plan.fellows { introduce(&drivers, seed).await? } else { HashMap::new() };
    let links = if plan.sites > 1 { join(&world, &drivers, seed).await? } else { HashMap::new() };
    let mut addresses = vec![];
    for driver in 0..plan.drivers {
        let line = Line::new(seed ^ (1 << 21 | driver) as u64);
        let address = drivers.address(driver);
        addresses.push(if plan.needs_client_cables() { line.stream(address).await? } else { address });
        from_clients.push(line);
        drivers.start(driver, Known::AtStart)?;
    }
    let front = Front::new(&world, addresses);
    spawn_local(front.clone().admit());
    spawn_local(punctual(world.clone()));
    spawn_local(scheduled::watch(world.clone(), drivers.clone()));
    if plan.voters > 0 {
        spawn_local(council::watch(world.clone(), drivers.clone()));
    }
    let start = Instant::now();
    while front.admitted() < plan.drivers {
        if start.elapsed() > READY || !drivers.crashed().is_empty() {
            let error = format!("{} of {} drivers were ready", front.admitted(), plan.drivers);
            return Err(std::io::Error::other(error));
        }
        sleep(Duration::from_millis(20)).await;
    }
    drivers.keep_first_state();
    let stage = Rc::new(Stage {
        world: world.clone(),
        members,
        discovery,
        drivers: drivers.clone(),
        front: front.clone(),
        to_members,
        to_lists,
        from_clients,
        fellows,
        links,
    });
    let faults = spawn_local(stage.clone().play(seed));
    front.run().await;
    // What the faults still hold is let go before the end.
    let _ = faults.await;
    for driver in drivers.crashed() {
        drivers.ended(driver, drivers.starts(driver)).await;
    }
    Ok(world.history.take())
}

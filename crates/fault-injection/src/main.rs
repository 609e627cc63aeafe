//! Plays plans against many processes of the program.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use aldermill_fault_injection::Trouble;
use aldermill_fault_injection::hostile::{Behaviour, HostileGroup, Trial};
use aldermill_fault_injection::plan::Plan;
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::run;
use aldermill_fault_injection::wide::{self, Day, Shape};
use bpaf::{Bpaf, Parser, construct, long};

/// Many processes of aldermill under faults
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Play a plan: a name that `plans` lists, a file, `drawn` or `drawn-retire`
    #[bpaf(command)]
    Run {
        /// The seed of the first run
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// How many runs, each with the next seed
        #[bpaf(long, argument("N"), fallback(1))]
        runs: u64,
        /// Leave lines of JSON, a picture and the drivers' logs in this folder
        #[bpaf(long, argument("FOLDER"))]
        out: Option<PathBuf>,
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// List the plans kept in the repository
    #[bpaf(command)]
    Plans,
    /// Take away from a failing plan what it does not need to fail, and print what is left
    #[bpaf(command)]
    Shrink {
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        #[bpaf(positional("PLAN"))]
        plan: String,
    },
    /// Measure what sixteen times the members cost each process, beside the bounds
    #[bpaf(command)]
    Wide {
        #[bpaf(external(day))]
        day: Day,
        /// How many times the members
        #[bpaf(long, argument("N"), fallback(16))]
        times: usize,
        /// `large` groups, `many` groups, or `both`
        #[bpaf(long, argument("SHAPE"), fallback("both".to_owned()))]
        shape: String,
    },
    /// Print the JSON schema of a plan
    #[bpaf(command)]
    Schema,
    /// Play hostile clients against one process with little memory: by chance, or of one behaviour
    #[bpaf(command)]
    Hostile {
        /// The seed of the first trial
        #[bpaf(long, argument("N"), fallback(1))]
        seed: u64,
        /// How many trials, each with the next seed
        #[bpaf(long, argument("N"), fallback(1))]
        runs: u64,
        /// Descriptors of the process, without chance
        #[bpaf(long, argument("N"), fallback(1024))]
        sockets: usize,
        /// Connections of the hostile clients, without chance
        #[bpaf(long, argument("N"), fallback(6))]
        connections: usize,
        /// The hostile clients do not read what they are sent
        #[bpaf(long)]
        unread: bool,
        /// `drawn`, `none`, or a behaviour
        #[bpaf(positional("BEHAVIOUR"))]
        behaviour: String,
    },
}

const PLANS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/plans");

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Run { seed, runs, out, plan } => play(&plan, seed, runs, out),
        Command::Plans => plans().map(|()| true),
        Command::Shrink { seed, plan } => find(&plan, seed).and_then(|plan| shrink(plan, seed)),
        Command::Wide { day, times, shape } => widen(&day, times, &shape),
        Command::Hostile { seed, runs, sockets, connections, unread, behaviour } => {
            let chosen = Chosen { sockets, connections, reads: !unread, behaviour };
            play_hostile(&chosen, seed, runs)
        }
        Command::Schema => {
            print!("{}", Plan::schema());
            Ok(true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(why) => {
            eprintln!("aldermill-fault-injection: {why}");
            ExitCode::FAILURE
        }
    }
}

/// What the command line says of a trial of hostile clients.
struct Chosen {
    sockets: usize,
    connections: usize,
    reads: bool,
    behaviour: String,
}

impl Chosen {
    fn trial(&self, seed: u64) -> Result<Trial, Trouble> {
        if self.behaviour == "drawn" {
            return Ok(Trial::drawn(seed));
        }
        let mut trial = Trial {
            memory_mb: 32,
            sockets: self.sockets,
            ordinary: 20,
            length_ms: 8_000,
            hostile: Vec::new(),
            signals: Vec::new(),
            trouble: None,
        };
        if self.behaviour != "none" {
            let behaviour = Behaviour::named(&self.behaviour)
                .ok_or_else(|| Trouble::Behaviour(self.behaviour.clone()))?;
            let (connections, reads) = (self.connections, self.reads);
            trial.hostile.push(HostileGroup { behaviour, connections, reads });
        }
        Ok(trial)
    }
}

/// Plays trials of hostile clients. Returns whether all held.
fn play_hostile(chosen: &Chosen, seed: u64, runs: u64) -> Result<bool, Trouble> {
    let mut held = 0;
    for seed in seed..seed + runs {
        let trial = chosen.trial(seed)?;
        let report = trial.run();
        let violations = report.violations();
        println!(
            "seed {seed}, {} sockets, {:?} {:?} {:?}",
            trial.sockets, trial.hostile, trial.signals, trial.trouble
        );
        println!("  {report}");
        for violation in &violations {
            println!("  BROKEN {violation}");
        }
        held += u64::from(violations.is_empty());
    }
    println!("{held} of {runs} trials held");
    Ok(held == runs)
}

/// The day of the small fleet, by the command line.
fn day() -> impl Parser<Day> {
    let usual = Day::default();
    let processes = long("processes").argument::<usize>("N").fallback(usual.processes);
    let members = long("members").argument::<usize>("N").fallback(usual.members);
    let groups = long("groups").help("a fifth of the members, if not said").argument::<usize>("N").optional();
    let seconds = long("seconds").argument::<u64>("S").fallback(usual.length.as_secs());
    let failover = long("failover").help("primaries move after so long").argument::<u64>("S").optional();
    let idle_ms = long("idle-ms").argument::<u64>("MS").fallback(usual.idle.as_millis() as u64);
    let no_health_checks = long("no-probes").help("the settings allow none").switch();
    let sockets = long("sockets").argument::<u64>("N").fallback(usual.sockets);
    let memory_mb = long("memory-mb").argument::<u64>("N").fallback(usual.memory_mb);
    let seed = long("seed").argument::<u64>("N").fallback(usual.seed);
    construct!(
        processes,
        members,
        groups,
        seconds,
        failover,
        idle_ms,
        no_health_checks,
        sockets,
        memory_mb,
        seed
    )
    .map(
        |(
            processes,
            members,
            groups,
            seconds,
            failover,
            idle_ms,
            no_health_checks,
            sockets,
            memory_mb,
            seed,
        )| Day {
            processes,
            members,
            groups: groups.unwrap_or((members / 5).max(1)),
            length: Duration::from_secs(seconds),
            failover: failover.map(Duration::from_secs),
            idle: Duration::from_millis(idle_ms),
            health_checks: !no_health_checks,
            sockets,
            memory_mb,
            seed,
            ..Day::default()
        },
    )
}

/// Whether all figures of the wide fleets are within their bounds.
fn widen(day: &Day, times: usize, shape: &str) -> Result<bool, Trouble> {
    let shapes = match shape {
        "large" => vec![Shape::LargeGroups],
        "many" => vec![Shape::ManyGroups],
        "both" => vec![Shape::LargeGroups, Shape::ManyGroups],
        other => return Err(Trouble::Shape(other.to_owned())),
    };
    let small = wide::measure(day)?;
    let mut holds = true;
    for shape in shapes {
        let wide_day = day.wide(shape, times);
        let wide = wide::measure(&wide_day)?;
        println!("{}", wide::table(&wide_day, &small, &wide));
        holds &= wide::excess(&wide::compare(&small, &wide, wide_day.members)).is_empty();
    }
    Ok(holds)
}

fn find(name: &str, seed: u64) -> Result<Plan, Trouble> {
    if name == "drawn-retire" {
        return Ok(Plan::drawn_retiring(seed));
    }
    if name == "drawn" {
        return Ok(Plan::drawn(seed));
    }
    let kept = PathBuf::from(PLANS).join(format!("{name}.json"));
    let path = if kept.exists() { kept } else { PathBuf::from(name) };
    let text = std::fs::read_to_string(&path).map_err(|why| Trouble::File { path: path.clone(), why })?;
    Plan::parse(&text).map_err(|why| Trouble::Plan { path, why: Box::new(why) })
}

fn plans() -> Result<(), Trouble> {
    let entries = std::fs::read_dir(PLANS).map_err(|why| Trouble::File { path: PLANS.into(), why })?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.sort();
    for path in paths {
        let plan = find(&path.to_string_lossy(), 0)?;
        println!("{:<20} {}", path.file_stem().unwrap_or_default().to_string_lossy(), plan.about);
    }
    Ok(())
}

/// Whether all runs held.
fn play(name: &str, seed: u64, runs: u64, out: Option<PathBuf>) -> Result<bool, Trouble> {
    let (mut held, mut took, mut handed) = (0, Vec::new(), Vec::new());
    for seed in seed..seed + runs {
        let plan = find(name, seed)?;
        eprintln!("{} seed {seed}: {} drivers, {} s", plan.name, plan.drivers, plan.seconds);
        let folder = out.as_ref().map(|out| out.join(format!("{}-{seed}", plan.name)));
        let run = run(&plan, seed, folder.as_deref())?;
        println!("{}", report::table(&run));
        if let Some(folder) = &folder {
            let wrote = std::fs::write(folder.join("run.jsonl"), report::lines(&run));
            wrote.map_err(|why| Trouble::File { path: folder.clone(), why })?;
            report::picture(&run, &folder.join("run.svg"))?;
        }
        held += u64::from(run.verdict.broken.is_empty());
        took.extend(run.verdict.figures.full_service_ms);
        handed.extend(run.verdict.figures.handed_over_ms);
    }
    if runs > 1 {
        println!("{held} of {runs} runs held");
        took.sort_unstable_by_key(|&took| if took < 0 { i64::MAX } else { took });
        if let (Some(median), Some(worst)) = (took.get(took.len() / 2), took.last()) {
            println!("full service after, ms: median {median}, worst {worst}");
        }
    }
    handed.sort_unstable_by_key(|&took| if took < 0 { i64::MAX } else { took });
    if handed.len() > 1 {
        let at = |share: usize| handed[(handed.len() * share / 100).min(handed.len() - 1)];
        println!(
            "{} handed over after, ms: median {}, 99% {}, worst {}",
            handed.len(),
            at(50),
            at(99),
            at(100)
        );
    }
    Ok(held == runs)
}

/// Leaves out one fault after the other, then drivers, as long as it goes on failing.
fn shrink(mut plan: Plan, seed: u64) -> Result<bool, Trouble> {
    let fails = |plan: &Plan| run(plan, seed, None).map(|run| !run.verdict.broken.is_empty());
    if !fails(&plan)? {
        return Err(Trouble::Sound);
    }
    let mut at = 0;
    while at < plan.faults.len() {
        let mut less = plan.clone();
        less.faults.remove(at);
        if fails(&less)? {
            eprintln!("fails without fault {at}");
            plan = less;
        } else {
            at += 1;
        }
    }
    while plan.drivers > 3 {
        let mut less = plan.clone();
        less.drivers = (plan.drivers / 2).max(3);
        if !fails(&less)? {
            break;
        }
        plan = less;
    }
    println!("{}", serde_json::to_string_pretty(&plan).unwrap_or_default());
    Ok(true)
}

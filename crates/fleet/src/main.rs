//! Plays plans against many processes of the program.

use std::path::PathBuf;
use std::process::ExitCode;

use aldermill_fleet::Trouble;
use aldermill_fleet::plan::Plan;
use aldermill_fleet::report;
use aldermill_fleet::run::run;
use bpaf::Bpaf;

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
    /// Print the JSON schema of a plan
    #[bpaf(command)]
    Schema,
}

const PLANS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/plans");

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Run { seed, runs, out, plan } => play(&plan, seed, runs, out),
        Command::Plans => plans().map(|()| true),
        Command::Shrink { seed, plan } => find(&plan, seed).and_then(|plan| shrink(plan, seed)),
        Command::Schema => {
            print!("{}", Plan::schema());
            Ok(true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(why) => {
            eprintln!("aldermill-fleet: {why}");
            ExitCode::FAILURE
        }
    }
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

//! Short plans with several processes and all judges: kill, stop, cut, a lost folder.

use std::panic::catch_unwind;
use std::path::Path;

use aldermill_fault_injection::discovery::Discovery;
use aldermill_fault_injection::drivers::Drivers;
use aldermill_fault_injection::history::Event;
use aldermill_fault_injection::plan::{Known, Plan};
use aldermill_fault_injection::report;
use aldermill_fault_injection::run::{Run, run};
use aldermill_fault_injection::world::World;
use aldermill_test_support::program;
use rustix::process::Signal;
use tokio::task::LocalSet;

fn play(faults: &str, wants: &str) -> Run {
    let text = format!(
        r#"{{"name":"short","drivers":6,"load":0.12,"seconds":5,"keeps":false,"faults":[{faults}],"wants":{wants}}}"#
    );
    let run = run(&Plan::parse(&text).unwrap(), 1, None).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    assert!(run.verdict.figures.requests > 100);
    run
}

#[test]
fn drivers_that_stood_still_attempt_nothing_that_is_over() {
    let run = play(r#"{"at_ms":2000,"do":{"stop":{"share":0.7,"for_ms":2200}}}"#, "{}");
    let figures = &run.verdict.figures;
    assert_eq!(figures.past_limit, 0);
    assert!(figures.never_answered > 0, "clients gave up meanwhile");
}

#[test]
fn drivers_that_are_stopped_again_and_again_keep_the_rules() {
    play(r#"{"at_ms":1500,"do":{"stop":{"share":0.9,"for_ms":300,"times":4,"every_ms":400}}}"#, "{}");
}

#[test]
fn drivers_that_were_killed_come_back_to_full_service() {
    let run = play(r#"{"at_ms":1500,"do":{"kill":{"share":0.7,"down_ms":300}}}"#, "{}");
    let took = run.verdict.figures.full_service_ms.expect("some were restarted");
    assert!((0..2_500).contains(&took), "{}", report::table(&run));
}

#[test]
fn a_cut_between_drivers_and_members_breaks_no_rule() {
    let cut = r#"{"cut":{"between":"drivers_members","share":0.5,"way":"back","for_ms":900}}"#;
    play(&format!(r#"{{"at_ms":1500,"do":{cut}}}"#), "{}");
}

#[test]
fn no_process_is_left_behind_when_a_test_panics() {
    let folder = std::env::temp_dir().join(format!("aldermill-left-{}", std::process::id()));
    let ended = catch_unwind(|| {
        let plan = Plan::parse(r#"{"name":"left","drivers":3,"load":0.05,"seconds":1}"#).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let world = World::new(plan, 1);
            let discovery = Discovery::new(&world, &[], vec![vec![]; 3]);
            let agents = vec!["127.0.0.1:1".parse().unwrap(); 3];
            let drivers =
                Drivers::new(&world, &discovery, agents, Some(&folder), &[program().into()]).unwrap();
            (0..3).for_each(|driver| drivers.start(driver, Known::AtStart).unwrap());
            assert_eq!(running(&folder).len(), 3);
            assert!(drivers.signal(0, Signal::STOP));
            panic!("while they run, one of them stopped");
        })
    });
    assert!(ended.is_err());
    assert!(running(&folder).is_empty(), "{:?}", running(&folder));
    std::fs::remove_dir_all(folder).unwrap();
}

/// Processes whose command line names something in that folder.
fn running(folder: &Path) -> Vec<String> {
    let own = std::process::id().to_string();
    let processes = std::fs::read_dir("/proc").unwrap().flatten();
    let names = processes.map(|entry| entry.file_name().to_string_lossy().into_owned());
    names
        .filter(|pid| pid.bytes().all(|byte| byte.is_ascii_digit()) && *pid != own)
        .filter_map(|pid| std::fs::read_to_string(format!("/proc/{pid}/cmdline")).ok())
        .filter(|line| line.contains(&*folder.to_string_lossy()))
        .collect()
}

#[test]
fn folders_that_are_lost_torn_foreign_newer_or_older_break_no_rule() {
    let kill = |at: u32, folder: &str| {
        format!(r#"{{"at_ms":{at},"do":{{"kill":{{"share":0.9,"down_ms":100,"folder":"{folder}"}}}}}}"#)
    };
    let faults = [kill(2200, "torn"), kill(3100, "foreign"), kill(4000, "newer"), kill(4900, "emptied")];
    let text = format!(
        r#"{{"name":"folders","drivers":5,"load":0.08,"seconds":6,"keeps":true,"faults":[{}]}}"#,
        faults.join(",")
    );
    let folder = std::env::temp_dir().join(format!("aldermill-folders-{}", std::process::id()));
    let run = run(&Plan::parse(&text).unwrap(), 1, Some(&folder)).unwrap();
    assert!(run.verdict.broken.is_empty(), "{}", report::table(&run));
    let logs = (0..5).map(|driver| std::fs::read_to_string(folder.join(format!("n{driver}-log"))).unwrap());
    let logs: String = logs.collect();
    for said in [
        "state restored from data directory, newest_confirmation_age_ms",
        "the data directory belongs to proxy",
        "of version",
    ] {
        assert!(logs.contains(said), "{said}: {logs}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn drivers_whose_list_moves_ask_at_its_new_place_and_obey_what_it_says() {
    let faults = r#"{"at_ms":1200,"do":{"move_list":{"share":1.0}}},
        {"at_ms":1800,"do":{"drain":{"group":0,"gone_ms":600}}}"#;
    let run = play(faults, "{}");
    let moved = run.events.iter().filter(|(_, event)| matches!(event, Event::Moved { .. })).count();
    assert_eq!(moved, 6);
    let told = |driver: usize| {
        run.events.iter().any(|(_, event)| matches!(event, Event::Said { driver: at, .. } if *at == driver))
    };
    assert!((0..6).all(told), "each heard of the drain");
}

#[test]
fn reads_of_sessions_see_their_writes_when_the_primary_moves_and_drivers_are_stopped() {
    let faults = r#"{"at_ms":1500,"do":{"stop":{"share":0.5,"for_ms":700}}},
        {"at_ms":2000,"do":{"move_primary":{"group":0,"election_ms":300}}},
        {"at_ms":3000,"do":{"kill":{"share":0.5,"down_ms":200}}}"#;
    let run = play(faults, "{}");
    let bound = |event: &Event| matches!(event, Event::Asked { after: Some(_), .. });
    // Some dozen by the plan's load; how many is chance.
    assert!(run.events.iter().any(|(_, event)| bound(event)));
}

#[test]
fn faults_that_strike_the_same_one_twice_end() {
    let kill =
        |at: u32, down: u32| format!(r#"{{"at_ms":{at},"do":{{"kill":{{"share":1.0,"down_ms":{down}}}}}}}"#);
    let members = |at: u32, down: u32| {
        format!(r#"{{"at_ms":{at},"do":{{"kill_members":{{"share":0.5,"down_ms":{down}}}}}}}"#)
    };
    let terminate = r#"{"at_ms":3400,"do":{"terminate":{"share":1.0,"down_ms":100}}}"#;
    let faults = [kill(1200, 300), kill(1300, 100), members(2500, 700), members(2600, 500)].join(",");
    let started = std::time::Instant::now();
    play(&format!("{faults},{terminate},{}", terminate.replace("3400", "3450")), "{}");
    assert!(started.elapsed().as_secs() < 40);
}

//! Other settings that are watched beside those in force.

#[path = "../src/lifecycle"]
mod lifecycle {
    #[allow(dead_code, reason = "the program uses the rest")]
    pub mod errors;
}
#[path = "../src/shadow/mod.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod trial;

use aldermill_operator_config::ShadowConfig as Wanted;
use aldermill_routing::{
    Action, Actions, Listed, MemberReport, Outcome, Request, Role, Router, Standing, Verdict,
};
use aldermill_settings::Decoded;
use aldermill_test_support::{TERMS, file};
use trial::{Fate, Kind, ShadowRouter};

fn decoded(text: &str) -> Decoded {
    Decoded::parse(text).map_err(|trouble| trouble.to_string()).unwrap()
}

fn wanted(text: &str) -> Wanted {
    let settings = file("settings", text).display().to_string();
    Wanted { settings, one_in: Some(1), every_s: None }
}

/// A day of a router in small, each decision compared; what it did, line by line.
fn day(mut trial: Option<&mut ShadowRouter>) -> Vec<String> {
    let mut router = Router::start(decoded(TERMS).terms, 7, 0);
    let mut done = Vec::new();
    let mut ask = |router: &mut Router, decide: &dyn Fn(&mut Router) -> Actions| {
        let actions = match &mut trial {
            Some(trial) => trial.ask(router, |router| ((), decide(router))).1,
            None => decide(router),
        };
        done.push(format!("{actions:?}"));
        actions
    };
    let line = |member: usize| Listed {
        member,
        name: format!("m{member}"),
        group: 1,
        zone: 0,
        standing: Standing::Ready,
        since: None,
        size: 1.0,
        primary: false,
    };
    ask(&mut router, &|router| router.list(0, true, (0..4).map(line).collect()));
    for at in (1..400).map(|step| step * 40_000) {
        let class = (at / 40_000 % 3 / 2) as usize;
        let ttl = if at % 7 == 0 { 5_000 } else { 900_000 };
        let request = Request { class, group: 1, ttl, ..Request::default() };
        let actions = ask(&mut router, &|router| router.take(at, request.clone()).1);
        for (handle, step) in actions.requests {
            let Action::Attempt { member, .. } = step else { continue };
            let role = Some(if member == 2 { Role::Primary } else { Role::Replica });
            let verdict = if member == 2 || class == 0 { Verdict::Served } else { Verdict::NotPrimary };
            let report = MemberReport { role, position: Some(at), age: 0 };
            let closed = verdict == Verdict::Served;
            let outcome = Outcome { verdict, took: 30_000, report, closed };
            ask(&mut router, &|router| handle.ended(router, at + 30_000, outcome));
        }
        ask(&mut router, &|router| router.wake(at + 35_000));
    }
    done
}

#[test]
fn equal_settings_count_nothing_and_the_deciding_side_does_the_same() {
    let mut trial = ShadowRouter::read(&wanted(TERMS), &decoded(TERMS)).unwrap();
    let (with, without) = (day(Some(&mut trial)), day(None));
    assert_eq!(with, without);
    assert!(trial.compared > 800 && trial.kinds.is_empty(), "{:?}", trial.kinds);
}

#[test]
fn a_setting_that_differs_counts_in_its_kind() {
    let no_return = TERMS.replace(r#""retryAfter":true"#, r#""retryAfter":false"#);
    let mut trial = ShadowRouter::read(&wanted(&no_return), &decoded(TERMS)).unwrap();
    assert_eq!(day(Some(&mut trial)), day(None));
    assert_eq!(trial.kinds.keys().copied().collect::<Vec<_>>(), [Kind::CoolDown]);
    let many = TERMS.replace(r#""balancers":1"#, r#""balancers":400"#);
    let mut trial = ShadowRouter::read(&wanted(&many), &decoded(TERMS)).unwrap();
    assert_eq!(day(Some(&mut trial)), day(None));
    assert!(trial.kinds.contains_key(&Kind::Fate(Fate::Attempted, Fate::Held)), "{:?}", trial.kinds);
    assert!(trial.kinds.contains_key(&Kind::NotHealthChecked), "{:?}", trial.kinds);
}

#[test]
fn a_sample_is_one_in_so_many() {
    let mut trial =
        ShadowRouter::read(&Wanted { one_in: Some(8), ..wanted(TERMS) }, &decoded(TERMS)).unwrap();
    let decisions = day(Some(&mut trial)).len() as u64;
    assert_eq!(trial.compared, decisions / 8);
}

#[test]
fn settings_that_cannot_be_compared_are_refused_by_their_field() {
    let said =
        |text: &str| ShadowRouter::read(&wanted(text), &decoded(TERMS)).map(|_| ()).unwrap_err().to_string();
    assert!(said(&TERMS.replace("\"look\"", "\"see\"")).contains("categories"));
    assert!(said(&TERMS.replace("\"here\"", "\"there\"")).contains("azs"));
    assert!(said(&TERMS.replace("\"automatic\"", "\"manual\"")).contains("registryMode"));
    assert!(said("{").contains(": settings: "));
}

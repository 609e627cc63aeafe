//! Tests of shadow evaluation: other settings are evaluated beside those in force, and change no decision.

#[path = "../src/shadow/mod.rs"]
#[allow(dead_code, reason = "the proxy uses the remaining items")]
mod shadow;

use aldermill_operator_config::ShadowConfig;
use aldermill_routing::{
    Action, Actions, ListedMember, MemberReport, MemberStatus, Outcome, Request, Role, Router, Verdict,
};
use aldermill_settings::Settings;
use aldermill_test_support::{TERMS, file};
use shadow::ShadowRouter;
use shadow::difference::{Difference, Disposition};

/// Parses settings that are known to be valid.
fn parse(text: &str) -> Settings {
    Settings::parse(text).map_err(|error| error.to_string()).unwrap()
}

/// Writes settings to a file, and returns a configuration under which all decisions are compared with theirs.
fn config(text: &str) -> ShadowConfig {
    let settings = file("settings", text).display().to_string();
    ShadowConfig { settings, one_in: Some(1), every_s: None }
}

/// Runs a router for a short time, and returns the actions of each of its decisions, formatted with `Debug`.
///
/// If `shadow` is given, it takes part in each decision, and compares those in its sample. Times are in
/// microseconds.
fn run_router(mut shadow: Option<&mut ShadowRouter>) -> Vec<String> {
    let mut router = Router::start(parse(TERMS).router_config, 7, 0);
    let mut decisions = Vec::new();
    let mut record = |router: &mut Router, decide: &dyn Fn(&mut Router) -> Actions| {
        let actions = match &mut shadow {
            Some(shadow) => shadow.decide(router, |router| ((), decide(router))).1,
            None => decide(router),
        };
        decisions.push(format!("{actions:?}"));
        actions
    };
    let list_entry = |member: usize| ListedMember {
        member,
        name: format!("m{member}"),
        group: 1,
        zone: 0,
        status: MemberStatus::Ready,
        started_at: None,
        listed_start: 0,
        size: 1.0,
        is_primary: false,
    };
    record(&mut router, &|router| router.update_endpoint_list(0, true, (0..4).map(list_entry).collect()));
    for now in (1..400).map(|step| step * 40_000) {
        let class = (now / 40_000 % 3 / 2) as usize;
        let ttl = if now % 7 == 0 { 5_000 } else { 900_000 };
        let request = Request { class, group: 1, ttl, ..Request::default() };
        let actions = record(&mut router, &|router| router.accept_request(now, request.clone()).1);
        for (handle, action) in actions.requests {
            let Action::Attempt { member, .. } = action else { continue };
            let role = Some(if member == 2 { Role::Primary } else { Role::Replica });
            let verdict = if member == 2 || class == 0 { Verdict::Served } else { Verdict::NotPrimary };
            let report = MemberReport { role, position: Some(now), age: 0 };
            let closed = verdict == Verdict::Served;
            let outcome = Outcome { verdict, duration: 30_000, report, request_closed: closed };
            record(&mut router, &|router| handle.attempt_ended(router, now + 30_000, outcome));
        }
        record(&mut router, &|router| router.wake(now + 35_000));
    }
    decisions
}

#[test]
fn equal_settings_show_no_difference_and_change_no_decision() {
    let mut shadow = ShadowRouter::load(&config(TERMS), &parse(TERMS)).unwrap();
    let (with_shadow, without_shadow) = (run_router(Some(&mut shadow)), run_router(None));
    assert_eq!(with_shadow, without_shadow);
    assert!(shadow.compared > 800 && shadow.differences.is_empty(), "{:?}", shadow.differences);
}

#[test]
fn a_changed_setting_is_counted_as_its_difference() {
    let without_retry_after = TERMS.replace(r#""retryAfter":true"#, r#""retryAfter":false"#);
    let mut shadow = ShadowRouter::load(&config(&without_retry_after), &parse(TERMS)).unwrap();
    assert_eq!(run_router(Some(&mut shadow)), run_router(None));
    assert_eq!(shadow.differences.keys().copied().collect::<Vec<_>>(), [Difference::RetryAfter]);
    let many_balancers = TERMS.replace(r#""balancers":1"#, r#""balancers":400"#);
    let mut shadow = ShadowRouter::load(&config(&many_balancers), &parse(TERMS)).unwrap();
    assert_eq!(run_router(Some(&mut shadow)), run_router(None));
    assert!(
        shadow.differences.contains_key(&Difference::Disposition {
            made: Disposition::Attempted,
            shadow: Disposition::Queued
        }),
        "{:?}",
        shadow.differences
    );
    assert!(shadow.differences.contains_key(&Difference::NotHealthChecked), "{:?}", shadow.differences);
}

#[test]
fn only_the_configured_share_of_decisions_is_compared() {
    let mut shadow =
        ShadowRouter::load(&ShadowConfig { one_in: Some(8), ..config(TERMS) }, &parse(TERMS)).unwrap();
    let decisions = run_router(Some(&mut shadow)).len() as u64;
    assert_eq!(shadow.compared, decisions / 8);
}

#[test]
fn settings_that_cannot_be_compared_are_rejected_with_the_field_name() {
    let rejection =
        |text: &str| ShadowRouter::load(&config(text), &parse(TERMS)).map(|_| ()).unwrap_err().to_string();
    assert!(rejection(&TERMS.replace("\"look\"", "\"see\"")).contains("categories"));
    assert!(rejection(&TERMS.replace("\"here\"", "\"there\"")).contains("azs"));
    assert!(rejection(&TERMS.replace("\"automatic\"", "\"manual\"")).contains("registryMode"));
    assert!(rejection("{").contains(": settings: "));
}

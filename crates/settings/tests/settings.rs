//! Settings that are absent, good and bad, each by its field.

use aldermill_routing::{Effect, Scope};
use aldermill_settings::Decoded;
use aldermill_test_support::TERMS;
use serde_json::{Value, json};

fn with(path: &str, value: Option<Value>) -> Result<Decoded, String> {
    let mut settings: Value = serde_json::from_str(TERMS).unwrap();
    let (parent, field) = path.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    match value {
        Some(value) => parent[field] = value,
        None => drop(parent.as_object_mut().unwrap().remove(field)),
    }
    Decoded::parse(&settings.to_string()).map_err(|trouble| trouble.to_string())
}

fn refused(path: &str, value: Value) -> String {
    let why = with(path, Some(value)).map(|_| ()).expect_err(path);
    assert!(!why.contains('\n'), "{why}");
    why
}

#[test]
fn unknown_words_are_refused_by_their_field() {
    for (path, field) in [
        ("/categories/0/dedupScope", "dedupScope"),
        ("/categories/0/effect", "effect"),
        ("/weights", "weights"),
        ("/registryMode", "registryMode"),
        ("/familyInfo/behind", "behind"),
        ("/familyInfo/tokens", "tokens"),
        ("/familyInfo/roleListed", "roleListed"),
    ] {
        let why = refused(path, json!("other"));
        assert!(why.contains(field) && why.contains("other"), "{path}: {why}");
    }
    assert!(refused("/familyInfo/needsByClass", json!(["other", "update"])).contains("needsByClass"));
}

#[test]
fn figures_below_zero_are_refused_by_their_field() {
    for path in [
        "/categories/0/windowMs",
        "/categories/0/targetMs",
        "/categories/0/deadlineMs",
        "/categories/0/worth",
        "/categories/0/lateWorth",
        "/limits/maxRetryAfterMs",
        "/limits/connIdleMs",
        "/limits/connectTimeoutMs",
        "/rules/coldFrom",
        "/rules/warmWithinMs",
        "/rules/overloadFactor",
        "/rules/fallMs",
        "/deductions/crossZone",
    ] {
        let field = path.rsplit('/').next().unwrap();
        assert!(refused(path, json!(-1.5)).contains(field), "{path}");
        assert!(with(path, Some(json!(1.5))).is_ok(), "{path}");
    }
    assert!(refused("/familyInfo/maxAgeMs", json!([-1, 0])).contains("maxAgeMs"));
    assert!(refused("/balancers", json!(0)).contains("balancers"));
}

#[test]
fn what_is_absent_has_its_default_and_unknown_keys_are_passed_over() {
    let usual = with("/tenants", None).unwrap();
    assert!(usual.account("0").is_ok() && usual.account("north").is_err());
    assert!(!with("/rules/onlyDrainingBinds", None).unwrap().terms.only_draining_binds);
    assert!(with("/rules/onlyDrainingBinds", Some(json!(true))).unwrap().terms.only_draining_binds);
    assert!(refused("/rules/onlyDrainingBinds", json!("yes")).contains("expected a boolean"));
    assert!(with("/somethingNew", Some(json!({"a": [1]}))).is_ok());
}

#[test]
fn accounts_are_those_that_the_settings_name() {
    let lines = json!([{"name": "north", "quotaPerS": 12.5, "fraction": 1.0}]);
    let decoded = with("/tenants", Some(lines)).unwrap();
    assert!(decoded.account("north").is_ok());
    let why = decoded.account("south").unwrap_err().to_string();
    assert!(why.contains("account") && why.contains("south"));
    assert!(refused("/tenants", json!([{"quotaPerS": 1}])).contains("name"));
}

#[test]
fn a_receipt_reaches_as_far_as_its_scope() {
    for (word, scope) in [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Group)] {
        let category = json!({"name": "order", "effect": "token", "dedupScope": word, "windowMs": 1200,
            "targetMs": 750, "deadlineMs": 2000, "worth": 3, "lateWorth": 0.7});
        let decoded = with("/categories", Some(json!([category]))).unwrap();
        let window = 1_200_000;
        assert_eq!(decoded.terms.classes[0].effect, Effect::Deduplicated { scope, window });
    }
}

#[test]
fn without_a_time_to_return_a_rejection_names_none() {
    assert_eq!(with("/limits/retryAfter", Some(json!(false))).unwrap().terms.max_retry_after, 0);
    assert_eq!(with("/limits/retryAfter", Some(json!(true))).unwrap().terms.max_retry_after, 500_000);
    assert!(refused("/limits/retryAfter", json!(1)).contains("expected a boolean"));
}

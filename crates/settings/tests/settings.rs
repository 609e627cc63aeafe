//! Settings that are absent, usable and unusable, each by its field.

use aldermill_routing::{DeduplicationScope, Effect};
use aldermill_settings::Settings;
use aldermill_test_support::TERMS;
use serde_json::{Value, json};

fn with_value(path: &str, value: Option<Value>) -> Result<Settings, String> {
    let mut settings: Value = serde_json::from_str(TERMS).unwrap();
    let (parent, field) = path.rsplit_once('/').unwrap();
    let parent = settings.pointer_mut(parent).unwrap();
    match value {
        Some(value) => parent[field] = value,
        None => drop(parent.as_object_mut().unwrap().remove(field)),
    }
    Settings::parse(&settings.to_string()).map_err(|error| error.to_string())
}

fn rejection(path: &str, value: Value) -> String {
    let message = with_value(path, Some(value)).map(|_| ()).expect_err(path);
    assert!(!message.contains('\n'), "{message}");
    message
}

#[test]
fn unknown_words_are_rejected_by_their_field() {
    for (path, field) in [
        ("/categories/0/dedupScope", "dedupScope"),
        ("/categories/0/effect", "effect"),
        ("/weights", "weights"),
        ("/registryMode", "registryMode"),
        ("/familyInfo/behind", "behind"),
        ("/familyInfo/tokens", "tokens"),
        ("/familyInfo/roleListed", "roleListed"),
    ] {
        let message = rejection(path, json!("other"));
        assert!(message.contains(field) && message.contains("other"), "{path}: {message}");
    }
    assert!(rejection("/familyInfo/needsByClass", json!(["other", "update"])).contains("needsByClass"));
}

#[test]
fn negative_numbers_are_rejected_by_their_field() {
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
        assert!(rejection(path, json!(-1.5)).contains(field), "{path}");
        assert!(with_value(path, Some(json!(1.5))).is_ok(), "{path}");
    }
    assert!(rejection("/familyInfo/maxAgeMs", json!([-1, 0])).contains("maxAgeMs"));
    assert!(rejection("/balancers", json!(0)).contains("balancers"));
}

#[test]
fn absent_keys_have_their_default_and_unknown_keys_are_ignored() {
    let without_accounts = with_value("/tenants", None).unwrap();
    assert!(without_accounts.check_account("0").is_ok() && without_accounts.check_account("north").is_err());
    assert!(!with_value("/rules/onlyDrainingBinds", None).unwrap().router_config.unlisted_members_usable);
    assert!(
        with_value("/rules/onlyDrainingBinds", Some(json!(true)))
            .unwrap()
            .router_config
            .unlisted_members_usable
    );
    assert!(rejection("/rules/onlyDrainingBinds", json!("yes")).contains("expected a boolean"));
    assert!(!with_value("/limits/mayDuplicate", None).unwrap().duplicate_attempts_allowed);
    assert!(with_value("/limits/mayDuplicate", Some(json!(true))).unwrap().duplicate_attempts_allowed);
    assert!(with_value("/somethingNew", Some(json!({"a": [1]}))).is_ok());
}

#[test]
fn only_accounts_that_the_settings_name_are_known() {
    let accounts = json!([{"name": "north", "quotaPerS": 12.5, "fraction": 1.0}]);
    let decoded = with_value("/tenants", Some(accounts)).unwrap();
    assert!(decoded.check_account("north").is_ok());
    let message = decoded.check_account("south").unwrap_err().to_string();
    assert!(message.contains("account") && message.contains("south"));
    assert!(rejection("/tenants", json!([{"quotaPerS": 1}])).contains("name"));
}

#[test]
fn deduplication_reaches_as_far_as_its_scope() {
    for (word, scope) in [
        ("all", DeduplicationScope::All),
        ("zone", DeduplicationScope::Zone),
        ("cell", DeduplicationScope::Group),
    ] {
        let category = json!({"name": "order", "effect": "token", "dedupScope": word, "windowMs": 1200,
            "targetMs": 750, "deadlineMs": 2000, "worth": 3, "lateWorth": 0.7});
        let decoded = with_value("/categories", Some(json!([category]))).unwrap();
        let window = 1_200_000;
        assert_eq!(decoded.router_config.classes[0].effect, Effect::Deduplicated { scope, window });
    }
}

#[test]
fn without_permission_the_longest_retry_after_is_zero() {
    assert_eq!(
        with_value("/limits/retryAfter", Some(json!(false))).unwrap().router_config.max_retry_after,
        0
    );
    assert_eq!(
        with_value("/limits/retryAfter", Some(json!(true))).unwrap().router_config.max_retry_after,
        500_000
    );
    assert!(rejection("/limits/retryAfter", json!(1)).contains("expected a boolean"));
}

/// Operators read these texts; they must not change with the names in the code.
#[test]
fn messages_name_the_section_as_the_document_does() {
    for (path, section) in [
        ("/familyInfo", "Family"),
        ("/limits", "Limits"),
        ("/rules", "Rules"),
        ("/clients", "Clients"),
        ("/deductions", "Deductions"),
        ("/categories", "Category"),
    ] {
        let value = if path == "/categories" { json!([7]) } else { json!(7) };
        let message = rejection(path, value);
        let wanted =
            format!("field settings: invalid type: integer `7`, expected struct {section} at line 1 column ");
        assert!(message.starts_with(&wanted), "{message}");
    }
    let message = rejection("/deductions/crossZone", json!(-1.5));
    assert_eq!(message, "field deductions.crossZone: -1.5 is no figure from zero on");
    assert_eq!(rejection("/weights", json!("other")), "field weights: unknown value \"other\"");
    assert_eq!(rejection("/balancers", json!(0)), "field balancers: 0 is too few");
}

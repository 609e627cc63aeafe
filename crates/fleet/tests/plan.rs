//! Plans: what is refused, and what is drawn.

use aldermill_fleet::plan::Plan;

#[test]
fn what_cannot_be_meant_is_refused_by_its_field() {
    let said = |text: &str| Plan::parse(text).unwrap_err().to_string();
    assert!(said(r#"{"name":"a","drivers":0,"load":0.5,"seconds":5}"#).starts_with("drivers: "));
    assert!(said(r#"{"name":"a","drivers":41,"load":0.5,"seconds":5}"#).starts_with("drivers: "));
    let few = r#"{"name":"a","drivers":1,"load":0.5,"seconds":5,"descriptors":3}"#;
    assert!(said(few).starts_with("descriptors: "));
    let soon = r#"{"name":"a","drivers":1,"load":0.5,"seconds":5,"deadline_ms":3}"#;
    assert!(said(soon).starts_with("deadline_ms: "));
    assert!(said(r#"{"name":"a","drivers":3,"load":0.5,"seconds":5,"faluts":[]}"#).contains("faluts"));
    let stop = r#"{"name":"a","drivers":3,"load":0.5,"seconds":5,"faults":[{"at_ms":1,"do":{"stop":{"share":7,"for_ms":1}}}]}"#;
    assert!(said(stop).starts_with("faults[0].do.share: "));
    assert!(Plan::schema().contains("full_service_ms"));
}

#[test]
fn drawn_plans_are_plans_and_the_same_for_the_same_seed() {
    for seed in 0..200 {
        let text = serde_json::to_string(&Plan::drawn(seed)).unwrap();
        assert!(Plan::parse(&text).is_ok(), "{text}");
        assert_eq!(text, serde_json::to_string(&Plan::drawn(seed)).unwrap());
        let text = serde_json::to_string(&Plan::drawn_retiring(seed)).unwrap();
        assert!(Plan::parse(&text).is_ok(), "{text}");
    }
}

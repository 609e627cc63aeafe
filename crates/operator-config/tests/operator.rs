//! The operator's file: what is refused, by its path.

use aldermill_operator_config::Operator;

#[test]
fn a_wrong_field_is_refused_by_its_path() {
    let refusal = |text: &str| Operator::parse(text).unwrap_err().to_string();
    assert!(
        refusal(r#"{"slow_peers":{"reading":{"bytes_a_second":-1}}}"#)
            .starts_with("slow_peers.reading.bytes_a_second: ")
    );
    assert!(refusal(r#"{"slow_peers":{"raeding":{}}}"#).contains("raeding"));
    assert!(refusal(r#"{"slow_peers":{"room_kib":"much"}}"#).starts_with("slow_peers.room_kib: "));
    assert!(refusal(r#"{"slow_peers":{"short":{"enter":"0.5"}}}"#).starts_with("slow_peers.short"));
    assert!(refusal("{} {}").contains("trailing"));
    assert_eq!(Operator::parse("{}"), Ok(Operator::default()));
}

#[test]
fn a_gateway_that_cannot_work_is_refused_by_its_path() {
    let gateway = |more: &str| format!(r#"{{"gateway":{{"site":"a","listen":"127.0.0.1:7000",{more}}}}}"#);
    let peer = |site: &str, port: u16| {
        format!(
            r#"{{"site":"{site}","addresses":["127.0.0.1:{port}"],"networks":["127.0.0.0/8","::1/128"]}}"#
        )
    };
    let refusal = |more: String| Operator::parse(&gateway(&more)).map(|_| ()).unwrap_err().to_string();
    let (b, itself) = (peer("b", 7001), peer("a", 7001));
    assert!(refusal(format!(r#""peers":[{b},{itself}]"#)).starts_with("gateway.peers[1].site: "));
    assert!(refusal(format!(r#""peers":[{b},{b}]"#)).starts_with("gateway.peers[1].site: "));
    assert!(
        refusal(format!(r#""peers":[{}]"#, peer("b", 7000))).starts_with("gateway.peers[0].addresses[0]: ")
    );
    assert!(refusal(format!(r#""peers":[{b}],"homes":{{"3":"c"}}"#)).starts_with("gateway.homes.3: "));
    assert!(refusal(r#""peers":[{"site":"b"}]"#.to_owned()).starts_with("gateway.peers[0]: "));
    assert!(
        refusal(r#""peers":[{"site":"b","networks":["10.0.0.0/33"]}]"#.to_owned())
            .starts_with("gateway.peers[0].networks[0]: ")
    );
    assert!(Operator::parse(&gateway(&format!(r#""peers":[{b}],"homes":{{"3":"b"}}"#))).is_ok());
}

#[test]
fn a_membership_section_that_cannot_work_is_refused_by_its_path() {
    let parsed = |more: &str| {
        let text = format!(r#"{{"membership":{{"fleet":"f","networks":["127.0.0.0/8"],{more}}}}}"#);
        Operator::parse(&text).map(|_| ())
    };
    assert!(parsed(r#""listen":"127.0.0.1:7000""#).is_ok());
    assert!(
        parsed(r#""listen":"0.0.0.0:7000""#).unwrap_err().to_string().starts_with("membership.address: ")
    );
    assert!(parsed(r#""listen":"0.0.0.0:7000","address":"10.0.0.1:7000""#).is_ok());
    let nobody = r#""listen":"127.0.0.1:7000","peers":[{"name":"a","address":"127.0.0.1:0"}]"#;
    assert!(parsed(nobody).unwrap_err().to_string().starts_with("membership.peers[0].address: "));
    assert!(
        parsed(r#""listen":"127.0.0.1:7000","status":7"#)
            .unwrap_err()
            .to_string()
            .starts_with("membership.status: ")
    );
}

#[test]
fn a_coordination_section_that_cannot_work_is_refused_by_its_path() {
    let membership = r#""membership":{"fleet":"f","listen":"127.0.0.1:7000","networks":["127.0.0.0/8"]}"#;
    let refusal = |coordination: &str| {
        Operator::parse(&format!(r#"{{{membership},"coordination":{{{coordination}}}}}"#))
            .map(|_| ())
            .unwrap_err()
            .to_string()
    };
    let three = r#""voters":["a","b","c"]"#;
    let whole = format!(r#""coordination":{{{three},"leases":["zones"]}}"#);
    assert!(Operator::parse(&format!(r#"{{{membership},{whole}}}"#)).is_ok());
    assert!(
        Operator::parse(&format!(r#"{{{whole}}}"#))
            .unwrap_err()
            .to_string()
            .starts_with("membership: needed")
    );
    assert!(refusal(r#""voters":["a","b"],"leases":["zones"]"#).starts_with("coordination.voters: "));
    assert!(refusal(r#""voters":["a","b","a"],"leases":["zones"]"#).starts_with("coordination.voters[2]: "));
    assert!(refusal(&format!(r#"{three},"leases":[]"#)).starts_with("coordination.leases: "));
    assert!(refusal(&format!(r#"{three},"leases":["work"]"#)).starts_with("coordination.leases[0]: "));
    assert!(
        refusal(&format!(r#"{three},"leases":["zones"],"lease_ms":20"#))
            .starts_with("coordination.lease_ms: ")
    );
    let drain = r#"{"site":"a","number":1,"by":1}"#;
    assert!(
        refusal(&format!(r#"{three},"leases":["zones"],"site_drain":[{drain}]"#))
            .starts_with("coordination.leases: ")
    );
    let twice = format!(r#"{three},"leases":["retire"],"site_drain":[{drain},{drain}]"#);
    assert!(refusal(&twice).starts_with("coordination.site_drain[1].site: "));
    let zero = drain.replace(":1,", ":0,");
    assert!(
        refusal(&format!(r#"{three},"leases":["retire"],"site_drain":[{zero}]"#))
            .starts_with("coordination.site_drain[0].number: ")
    );
}

#[test]
fn the_schema_has_every_field_that_is_written() {
    let schema = Operator::schema();
    let text = serde_json::to_string(&Operator::default()).unwrap();
    assert!(Operator::parse(&text).is_ok());
    for field in ["slow_peers", "room_kib", "bytes_a_second", "per_address", "overdue_ms"] {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}");
    }
}

//! The operator file's key names and forms: installations have them in their files, so none may change.

use std::collections::BTreeSet;

use aldermill_operator_config::{
    AddressLimits, CoordinationConfig, DrainOrder, GatewayConfig, LeaseKind, MembershipConfig, MinimumRate,
    Operator, PeerSite, SeedPeer, ShadowConfig, ShortageLevel, SiteDrainConfig, SlowPeersConfig,
    WarmStartConfig,
};
use serde_json::Value;

/// Every key under its first name, as installations have it.
const EVERY_KEY: &str = include_str!("fixtures/every_key.json");
/// The same values, every key under the name that the schema shows.
const EVERY_RENAMED_KEY: &str = include_str!("fixtures/every_key_renamed.json");

/// All key paths of the file, under their first names; `[]` stands for each item of an array, `{}` for a group's number.
const KEY_PATHS: &str = "
$schema council council.cuts council.cuts{} council.duties council.lease_ms council.least_term council.retire
council.retire[].by council.retire[].number council.retire[].order council.retire[].site council.voters
fellows fellows.address fellows.fleet fellows.listen fellows.networks fellows.peers fellows.peers[].address
fellows.peers[].name fellows.status
gateway gateway.credit gateway.homes gateway.homes{} gateway.hops gateway.listen gateway.peers
gateway.peers[].addresses gateway.peers[].links gateway.peers[].networks gateway.peers[].site gateway.session
gateway.site gateway.status
slow_peers slow_peers.answering slow_peers.answering.bytes_a_second slow_peers.answering.start_ms
slow_peers.answering.window_ms slow_peers.best_paid_share slow_peers.buffer_kib slow_peers.connection_kib
slow_peers.lingering_ms slow_peers.overdue_ms slow_peers.patience_ms slow_peers.per_address
slow_peers.per_address.connections slow_peers.per_address.room_kib slow_peers.reading
slow_peers.reading.bytes_a_second slow_peers.reading.start_ms slow_peers.reading.window_ms slow_peers.room_kib
slow_peers.sending slow_peers.sending.bytes_a_second slow_peers.sending.start_ms slow_peers.sending.window_ms
slow_peers.short slow_peers.short.enter slow_peers.short.leave slow_peers.stopping_ms slow_peers.taking
slow_peers.taking.bytes_a_second slow_peers.taking.start_ms slow_peers.taking.window_ms
suspension
trial trial.every_s trial.one_in trial.settings
warm warm.folder
";

/// The keys that have another name in the schema: the path under the first name, and under the new one.
const RENAMED: [(&str, &str); 6] = [
    ("council.duties", "council.leases"),
    ("council.retire", "council.site_drain"),
    ("council", "coordination"),
    ("fellows", "membership"),
    ("trial", "shadow"),
    ("warm", "warm_start"),
];

/// The path that the schema shows for a path under first names.
fn renamed(path: &str) -> String {
    RENAMED.iter().fold(path.to_owned(), |path, (first, new)| match path.strip_prefix(first) {
        Some(rest) if rest.is_empty() || rest.starts_with(['.', '[']) => format!("{new}{rest}"),
        _ => path,
    })
}

/// Adds the paths of all keys under `value`, which stands at `path`.
fn collect_key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let path = match (path, key.parse::<u64>()) {
                    (_, Ok(_)) => format!("{path}{{}}"),
                    ("", _) => key.clone(),
                    _ => format!("{path}.{key}"),
                };
                collect_key_paths(field, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(items) => {
            items.iter().for_each(|item| collect_key_paths(item, &format!("{path}[]"), paths));
        }
        _ => {}
    }
}

fn json(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

/// Each object of the schema: the names of its properties.
fn schema_properties(schema: &Value, names: &mut Vec<String>) {
    match schema {
        Value::Object(fields) => {
            if let Some(Value::Object(properties)) = fields.get("properties") {
                names.extend(properties.keys().cloned());
            }
            fields.values().for_each(|field| schema_properties(field, names));
        }
        Value::Array(items) => items.iter().for_each(|item| schema_properties(item, names)),
        _ => {}
    }
}

fn key_paths(text: &str) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths(&json(text), "", &mut paths);
    paths
}

#[test]
fn the_operator_file_has_exactly_these_keys() {
    let expected: BTreeSet<String> = KEY_PATHS.split_whitespace().map(str::to_owned).collect();
    assert_eq!(key_paths(EVERY_KEY), expected);
    let expected: BTreeSet<String> = KEY_PATHS.split_whitespace().map(renamed).collect();
    assert_eq!(key_paths(EVERY_RENAMED_KEY), expected);
    // Each name that the schema knows is one of them, and the other way round.
    let mut known = Vec::new();
    schema_properties(&json(&Operator::schema()), &mut known);
    let known: BTreeSet<&str> = known.iter().map(String::as_str).collect();
    let pinned = expected.iter().filter(|path| !path.ends_with("{}"));
    assert_eq!(known, pinned.map(|path| path.rsplit('.').next().unwrap()).collect());
}

#[test]
fn an_operator_file_with_every_key_is_written_back_under_the_names_of_the_schema() {
    for text in [EVERY_KEY, EVERY_RENAMED_KEY] {
        let operator = Operator::parse(text).unwrap();
        assert_eq!(serde_json::to_value(&operator).unwrap(), json(EVERY_RENAMED_KEY));
    }
}

#[test]
fn an_empty_operator_file_is_written_back_with_these_defaults() {
    let operator = serde_json::to_value(Operator::parse("{}").unwrap()).unwrap();
    let rate = r#"{"bytes_a_second":null,"start_ms":null,"window_ms":null}"#;
    let expected = format!(
        r#"{{"slow_peers":{{"room_kib":null,"connection_kib":null,"per_address":null,"best_paid_share":null,
        "short":null,"reading":{rate},"sending":{rate},"answering":{rate},"taking":{rate},"patience_ms":null,
        "overdue_ms":null,"lingering_ms":null,"stopping_ms":null,"buffer_kib":null}}}}"#
    );
    assert_eq!(operator, json(&expected));
}

#[test]
fn keys_left_out_of_coordination_or_a_site_drain_have_these_defaults() {
    let text = r#"{"fellows":{"fleet":"f","listen":"127.0.0.1:1","networks":["::1/128"]},
        "council":{"voters":["a","b","c"],"duties":["retire"],"retire":[{"site":"s","number":1,"by":2}]}}"#;
    let operator = serde_json::to_value(Operator::parse(text).unwrap()).unwrap();
    let coordination = json(
        r#"{"voters":["a","b","c"],"leases":["retire"],"lease_ms":3000,"least_term":0,
        "site_drain":[{"site":"s","number":1,"order":"goes","by":2}]}"#,
    );
    assert_eq!(operator["coordination"], coordination);
    let membership = json(
        r#"{"fleet":"f","listen":"127.0.0.1:1","address":null,"networks":["::1/128"],"peers":[],"status":null}"#,
    );
    assert_eq!(operator["membership"], membership);
}

fn rate(first: u64) -> MinimumRate {
    MinimumRate {
        bytes_a_second: Some(first),
        start_ms: Some(first as u32 + 1),
        window_ms: Some(first as u32 + 2),
    }
}

#[test]
fn each_value_under_slow_peers_arrives_in_its_field() {
    let expected = SlowPeersConfig {
        room_kib: Some(1001),
        connection_kib: Some(1002),
        per_address: Some(AddressLimits { connections: 1003, room_kib: 1004 }),
        best_paid_share: Some(0.125),
        short: Some(ShortageLevel { enter: 0.75, leave: 0.5 }),
        reading: rate(1011),
        sending: rate(1021),
        answering: rate(1031),
        taking: rate(1041),
        patience_ms: Some(1051),
        overdue_ms: Some(1052),
        lingering_ms: Some(1053),
        stopping_ms: Some(1054),
        buffer_kib: Some(1055),
    };
    assert_eq!(Operator::parse(EVERY_KEY).unwrap().slow_peers, expected);
}

#[test]
fn each_value_under_gateway_shadow_warm_start_and_suspension_arrives_in_its_field() {
    let operator = Operator::parse(EVERY_KEY).unwrap();
    let peer = PeerSite {
        site: "site-b".to_owned(),
        addresses: vec!["127.0.0.2:7002".parse().unwrap()],
        networks: vec!["10.2.0.0/16".parse().unwrap(), "::1/128".parse().unwrap()],
        links: Some(3),
    };
    let gateway = GatewayConfig {
        site: "site-a".to_owned(),
        listen: Some("127.0.0.1:7001".parse().unwrap()),
        peers: vec![peer],
        homes: [(7, "site-b".to_owned())].into(),
        credit: Some(2001),
        hops: Some(4),
        session: Some("tenant".to_owned()),
        status: Some("/run/sites.sock".to_owned()),
    };
    let shadow =
        ShadowConfig { settings: "/etc/trial.json".to_owned(), one_in: Some(3001), every_s: Some(3002) };
    assert_eq!(operator.gateway, Some(gateway));
    assert_eq!(operator.shadow, Some(shadow));
    assert_eq!(operator.warm_start, Some(WarmStartConfig { folder: "/var/lib/warm".to_owned() }));
    assert!(operator.suspension);
    assert_eq!(operator.schema.as_deref(), Some("operator.schema.json"));
}

#[test]
fn each_value_under_membership_and_coordination_arrives_in_its_field() {
    let operator = Operator::parse(EVERY_KEY).unwrap();
    let peer = SeedPeer { name: Some("n1".to_owned()), address: "127.0.0.4:7103".parse().unwrap() };
    let membership = MembershipConfig {
        fleet: "shop".to_owned(),
        listen: "0.0.0.0:7101".parse().unwrap(),
        address: Some("127.0.0.3:7102".parse().unwrap()),
        networks: vec!["10.3.0.0/16".parse().unwrap()],
        peers: vec![peer],
        status: Some("/run/fellows.sock".to_owned()),
    };
    let drain =
        |site: &str, number, order| SiteDrainConfig { site: site.to_owned(), number, order, by: number + 1 };
    let coordination = CoordinationConfig {
        voters: ["n0", "n1", "n2"].map(str::to_owned).to_vec(),
        leases: vec![LeaseKind::ZoneFailover, LeaseKind::SplitPoints, LeaseKind::SiteDrain],
        lease_ms: 4001,
        least_term: 4002,
        cuts: [(8, vec!["c".to_owned(), "m".to_owned()])].into(),
        site_drain: vec![
            drain("site-a", 4011, DrainOrder::Run),
            drain("site-b", 4021, DrainOrder::Pause),
            drain("site-c", 4031, DrainOrder::Cancel),
            drain("site-d", 4041, DrainOrder::Expedite),
        ],
    };
    assert_eq!(operator.membership, Some(membership));
    assert_eq!(operator.coordination, Some(coordination));
    assert_eq!(
        [LeaseKind::ZoneFailover, LeaseKind::SplitPoints, LeaseKind::SiteDrain].map(LeaseKind::name),
        ["zones", "splits", "retire"]
    );
}

/// What each old key's section is in a file that is otherwise complete.
const OLD_AND_NEW: [(&str, &str); 6] = [
    (r#"{"fellows":MEMBERSHIP}"#, r#"{"membership":MEMBERSHIP}"#),
    (
        r#"{"membership":MEMBERSHIP,"council":{"voters":["a","b","c"],"leases":["zones"]}}"#,
        r#"{"membership":MEMBERSHIP,"coordination":{"voters":["a","b","c"],"leases":["zones"]}}"#,
    ),
    (
        r#"{"membership":MEMBERSHIP,"coordination":{"voters":["a","b","c"],"duties":["splits"]}}"#,
        r#"{"membership":MEMBERSHIP,"coordination":{"voters":["a","b","c"],"leases":["splits"]}}"#,
    ),
    (
        r#"{"membership":MEMBERSHIP,"coordination":{"voters":["a","b","c"],"leases":["retire"],"retire":DRAINS}}"#,
        r#"{"membership":MEMBERSHIP,"coordination":{"voters":["a","b","c"],"leases":["retire"],"site_drain":DRAINS}}"#,
    ),
    (r#"{"trial":{"settings":"t.json"}}"#, r#"{"shadow":{"settings":"t.json"}}"#),
    (r#"{"warm":{"folder":"w"}}"#, r#"{"warm_start":{"folder":"w"}}"#),
];

fn filled(text: &str) -> String {
    text.replace("MEMBERSHIP", r#"{"fleet":"f","listen":"127.0.0.1:1","networks":["::1/128"]}"#)
        .replace("DRAINS", r#"[{"site":"s","number":1,"by":2}]"#)
}

#[test]
fn each_old_key_alone_is_read_as_the_new_one() {
    for (old, new) in OLD_AND_NEW {
        let read = Operator::parse(&filled(old));
        assert!(read.is_ok(), "{old}: {read:?}");
        assert_eq!(read, Operator::parse(&filled(new)), "{old}");
        assert_ne!(read, Ok(Operator::default()), "{old}");
    }
}

#[test]
fn an_old_key_beside_its_new_form_is_refused_as_a_duplicate() {
    let duplicates = [
        (r#"{"fellows":MEMBERSHIP,"membership":MEMBERSHIP}"#, "membership"),
        (r#"{"membership":MEMBERSHIP,"fellows":MEMBERSHIP}"#, "membership"),
        (r#"{"coordination":COORDINATION,"council":COORDINATION}"#, "coordination"),
        (r#"{"coordination":{"voters":[],"leases":["zones"],"duties":["zones"]}}"#, "leases"),
        (r#"{"coordination":{"voters":[],"leases":[],"retire":DRAINS,"site_drain":DRAINS}}"#, "site_drain"),
        (r#"{"trial":{"settings":"t.json"},"shadow":{"settings":"t.json"}}"#, "shadow"),
        (r#"{"warm":{"folder":"w"},"warm_start":{"folder":"w"}}"#, "warm_start"),
    ];
    for (text, key) in duplicates {
        let text = filled(&text.replace("COORDINATION", r#"{"voters":["a","b","c"],"leases":["zones"]}"#));
        let refusal = Operator::parse(&text).unwrap_err().to_string();
        assert!(refusal.contains(&format!("duplicate field `{key}`")), "{refusal}");
    }
}

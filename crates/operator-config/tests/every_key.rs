//! The operator file's key names and forms: installations have them in their files, so none may change.

use std::collections::BTreeSet;

use aldermill_operator_config::{
    Connections, Council, Duty, FellowAt, Fellows, Gateway, Level, Operator, Pace, PeerSite, Rate, Retiring,
    SlowPeers, Trial, Warm,
};
use serde_json::Value;

const EVERY_KEY: &str = include_str!("fixtures/every_key.json");

/// All key paths of the file; `[]` stands for each item of an array, `{}` for a group's number.
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

#[test]
fn the_operator_file_has_exactly_these_keys() {
    let mut paths = BTreeSet::new();
    collect_key_paths(&json(EVERY_KEY), "", &mut paths);
    let expected: BTreeSet<String> = KEY_PATHS.split_whitespace().map(str::to_owned).collect();
    assert_eq!(paths, expected);
    // Each name that the schema knows is one of them, and the other way round.
    let mut known = Vec::new();
    schema_properties(&json(&Operator::schema()), &mut known);
    let known: BTreeSet<&str> = known.iter().map(String::as_str).collect();
    let last = |path: &'static str| path.rsplit('.').next().unwrap();
    let pinned = KEY_PATHS.split_whitespace().filter(|path| !path.ends_with("{}")).map(last);
    assert_eq!(known, pinned.collect());
}

#[test]
fn an_operator_file_with_every_key_is_written_back_unchanged() {
    let operator = Operator::parse(EVERY_KEY).unwrap();
    assert_eq!(serde_json::to_value(&operator).unwrap(), json(EVERY_KEY));
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
fn keys_left_out_of_a_council_or_a_retiring_site_have_these_defaults() {
    let text = r#"{"fellows":{"fleet":"f","listen":"127.0.0.1:1","networks":["::1/128"]},
        "council":{"voters":["a","b","c"],"duties":["retire"],"retire":[{"site":"s","number":1,"by":2}]}}"#;
    let operator = serde_json::to_value(Operator::parse(text).unwrap()).unwrap();
    let council = json(
        r#"{"voters":["a","b","c"],"duties":["retire"],"lease_ms":3000,"least_term":0,
        "retire":[{"site":"s","number":1,"order":"goes","by":2}]}"#,
    );
    assert_eq!(operator["council"], council);
    let fellows = json(
        r#"{"fleet":"f","listen":"127.0.0.1:1","address":null,"networks":["::1/128"],"peers":[],"status":null}"#,
    );
    assert_eq!(operator["fellows"], fellows);
}

fn rate(first: u64) -> Rate {
    Rate { bytes_a_second: Some(first), start_ms: Some(first as u32 + 1), window_ms: Some(first as u32 + 2) }
}

#[test]
fn each_value_under_slow_peers_arrives_in_its_field() {
    let expected = SlowPeers {
        room_kib: Some(1001),
        connection_kib: Some(1002),
        per_address: Some(Connections { connections: 1003, room_kib: 1004 }),
        best_paid_share: Some(0.125),
        short: Some(Level { enter: 0.75, leave: 0.5 }),
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
fn each_value_under_gateway_trial_warm_and_suspension_arrives_in_its_field() {
    let operator = Operator::parse(EVERY_KEY).unwrap();
    let peer = PeerSite {
        site: "site-b".to_owned(),
        addresses: vec!["127.0.0.2:7002".parse().unwrap()],
        networks: vec!["10.2.0.0/16".parse().unwrap(), "::1/128".parse().unwrap()],
        links: Some(3),
    };
    let gateway = Gateway {
        site: "site-a".to_owned(),
        listen: Some("127.0.0.1:7001".parse().unwrap()),
        peers: vec![peer],
        homes: [(7, "site-b".to_owned())].into(),
        credit: Some(2001),
        hops: Some(4),
        session: Some("tenant".to_owned()),
        status: Some("/run/sites.sock".to_owned()),
    };
    let trial = Trial { settings: "/etc/trial.json".to_owned(), one_in: Some(3001), every_s: Some(3002) };
    assert_eq!(operator.gateway, Some(gateway));
    assert_eq!(operator.trial, Some(trial));
    assert_eq!(operator.warm, Some(Warm { folder: "/var/lib/warm".to_owned() }));
    assert!(operator.suspension);
    assert_eq!(operator.schema.as_deref(), Some("operator.schema.json"));
}

#[test]
fn each_value_under_fellows_and_council_arrives_in_its_field() {
    let operator = Operator::parse(EVERY_KEY).unwrap();
    let peer = FellowAt { name: Some("n1".to_owned()), address: "127.0.0.4:7103".parse().unwrap() };
    let fellows = Fellows {
        fleet: "shop".to_owned(),
        listen: "0.0.0.0:7101".parse().unwrap(),
        address: Some("127.0.0.3:7102".parse().unwrap()),
        networks: vec!["10.3.0.0/16".parse().unwrap()],
        peers: vec![peer],
        status: Some("/run/fellows.sock".to_owned()),
    };
    let retiring =
        |site: &str, number, order| Retiring { site: site.to_owned(), number, order, by: number + 1 };
    let council = Council {
        voters: ["n0", "n1", "n2"].map(str::to_owned).to_vec(),
        duties: vec![Duty::Zones, Duty::Splits, Duty::Retire],
        lease_ms: 4001,
        least_term: 4002,
        cuts: [(8, vec!["c".to_owned(), "m".to_owned()])].into(),
        retire: vec![
            retiring("site-a", 4011, Pace::Goes),
            retiring("site-b", 4021, Pace::Held),
            retiring("site-c", 4031, Pace::TakenBack),
            retiring("site-d", 4041, Pace::Hurried),
        ],
    };
    assert_eq!(operator.fellows, Some(fellows));
    assert_eq!(operator.council, Some(council));
    assert_eq!([Duty::Zones, Duty::Splits, Duty::Retire].map(Duty::name), ["zones", "splits", "retire"]);
}

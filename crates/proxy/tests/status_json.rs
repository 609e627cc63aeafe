//! Tests of the JSON from the status sockets. Operators' programs read it, so no key may change.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;

use aldermill_store::{Batch, Disk, Limits, Store};
use aldermill_test_support::*;
use aldermill_zone_failover::{FailoverLevel, ZoneHealth};
use serde_json::{Value, json};

/// Adds the paths of all keys in `value`, whose own path is `path`. `[]` stands for every item of an array, `{}` for a
/// site name used as a key of `shares`.
fn collect_key_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                let path = match path {
                    "" => key.clone(),
                    _ if path.ends_with(".shares") => format!("{path}{{}}"),
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

/// Returns the paths of all keys in `value`, as [`collect_key_paths`] writes them.
fn key_paths(value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths(value, "", &mut paths);
    paths
}

/// Splits a list of key paths at white space.
fn key_set(paths: &str) -> BTreeSet<String> {
    paths.split_whitespace().map(str::to_owned).collect()
}

/// Runs the program with these arguments on a status socket. Returns the JSON that it prints, or null if it prints
/// none.
fn query_status(arguments: &[&str], socket: &Path) -> Value {
    let output = Command::new(program()).args(arguments).arg(socket).output().unwrap();
    serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
}

/// A temporary directory of one test, removed on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn create(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("aldermill-status-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        TempDir(path)
    }

    /// Returns the path of a file or directory of this kind for the proxy with this name.
    fn path(&self, kind: &str, name: &str) -> PathBuf {
        self.0.join(format!("{kind}-{name}"))
    }

    /// Returns the `fellows` section of a proxy's operator configuration, with the status socket in this directory.
    fn membership_section(&self, name: &str, listen: SocketAddr, peers: &[SocketAddr]) -> String {
        let peers: Vec<String> = peers.iter().map(|peer| format!(r#"{{"address":"{peer}"}}"#)).collect();
        let (peers, status_socket) = (peers.join(","), self.path("peers", name));
        format!(
            r#""fellows":{{"fleet":"shop","listen":"{listen}","networks":["127.0.0.0/8"],"peers":[{peers}],"status":{status_socket:?}}}"#
        )
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a proxy that knows only this member, from an endpoint list newer than the stored one.
fn start_proxy(name: &str, member: &Member, operator: &str) -> Driver {
    let endpoint_list = list(8, true, &[("s-a", member, "in_service")]);
    let config =
        config(Discovery::default().start(), 256, &endpoint_list).replace("\"n0\"", &format!("\"{name}\""));
    Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(operator))
}

/// Key paths in the report of `aldermill fellows --json` without coordination.
const PEERS_KEYS: &str = "
at_ms council dropped dropped.fleet dropped.not_ours dropped.stranger dropped.unusable dropped.version
fellows fellows[].address fellows[].name fellows[].start fellows[].turn not_sent room_shared_by
self self.address self.name self.start self.turn sent sent.bytes sent.datagrams
view view.alive view.may_be_smaller view.most_seen view.sure
";

/// Key paths under `council` in the reports of all coordinating proxies of a fleet together.
const COORDINATION_KEYS: &str = "
council.aside
council.decrees council.decrees[].by council.decrees[].duty council.decrees[].left_ms council.decrees[].number
council.decrees[].says council.decrees[].subject council.decrees[].term
council.duties council.duties[].held_by council.duties[].holds council.duties[].name
council.duties[].reporting council.duties[].term
council.retire council.retire.acts_by council.retire.acts_by[].by_ms council.retire.acts_by[].number
council.retire.acts_by[].order council.retire.acts_by[].shares council.retire.acts_by[].shares{}
council.retire.acts_by[].site council.retire.acts_by[].stage
council.retire.acts_by[].waits council.retire.acts_by[].weight
council.retire.words council.retire.words[].by_ms council.retire.words[].number council.retire.words[].order
council.retire.words[].site
council.votes
council.zones council.zones.ill council.zones.views council.zones.views[].asked council.zones.views[].bears
council.zones.views[].drivers council.zones.views[].finding council.zones.views[].group
council.zones.views[].level council.zones.views[].sent council.zones.views[].served council.zones.views[].zone
";

/// Key paths in the report of `aldermill sites`.
const SITES_KEYS: &str = "
book draining fates_kept gateways gateways[].barred gateways[].credits gateways[].credits.look
gateways[].credits.order gateways[].draining gateways[].instance gateways[].links gateways[].round_trip_us
gateways[].site gateways[].under_way groups groups[].group groups[].home groups[].members_here guests instance
site start tasks
";

#[test]
fn peers_json_without_coordination_has_exactly_these_keys_and_values() {
    let directory = TempDir::create("plain");
    let member = sound("writer");
    let addresses = [free_port(), free_port()];
    let operator = |index: usize| {
        format!("{{{}}}", directory.membership_section(["n0", "n1"][index], addresses[index], &addresses))
    };
    let _proxies = [0, 1].map(|index| start_proxy(["n0", "n1"][index], &member, &operator(index)));
    let report = || query_status(&["fellows", "--json"], &directory.path("peers", "n0"));
    until("the other proxy in the view", || report()["view"]["alive"] == 2);
    let report = report();
    assert_eq!(key_paths(&report), key_set(PEERS_KEYS));
    assert_eq!(report["council"], Value::Null);
    assert_eq!(report["view"]["most_seen"], 2);
    assert_eq!(report["view"]["may_be_smaller"], false);
    assert!(
        report["view"]["sure"].is_boolean()
            && report["room_shared_by"].is_u64()
            && report["not_sent"].is_u64()
    );
    assert!(
        report["at_ms"].as_u64() > Some(1_000_000_000_000) && report["sent"]["datagrams"].as_u64() > Some(0)
    );
    for (entry, name, address) in
        [(&report["self"], "n0", addresses[0]), (&report["fellows"][0], "n1", addresses[1])]
    {
        assert_eq!((&entry["name"], &entry["address"]), (&json!(name), &json!(address.to_string())));
        assert_eq!(entry["turn"], 0);
        assert!(entry["start"].as_u64() > Some(1_000_000_000_000_000), "microseconds: {entry}");
    }
    let no_drops = json!({"fleet": 0, "not_ours": 0, "stranger": 0, "unusable": 0, "version": 0});
    assert_eq!(report["dropped"], no_drops);
}

/// Returns the operator configuration of one of three coordinating proxies, with all leases and a data directory.
fn operator_configuration(
    directory: &TempDir,
    name: &str,
    listen: SocketAddr,
    peers: &[SocketAddr],
) -> String {
    let (membership, data_directory) =
        (directory.membership_section(name, listen, peers), directory.path("data", name));
    let status_socket = directory.path("sites", name);
    format!(
        r#"{{{membership},"warm":{{"folder":{data_directory:?}}},"gateway":{{"site":"site0",
        "peers":[{{"site":"site1","networks":["127.0.0.0/8"]}}],"status":{status_socket:?}}},
        "council":{{"voters":["n0","n1","n2"],"duties":["zones","splits","retire"],
        "retire":[{{"site":"site1","number":3,"order":"held","by":4000000000}}]}}}}"#
    )
}

/// Copies `fixtures/stored_data` into the data directory of n0.
fn copy_stored_data(directory: &TempDir) {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_data");
    let data_directory = directory.path("data", "n0");
    std::fs::create_dir(&data_directory).unwrap();
    for segment in ["0000000002.log", "0000000003.log", "0000000004.log"] {
        std::fs::copy(fixture.join(segment), data_directory.join(segment)).unwrap();
    }
}

/// Starts n0, n1 and n2 as the voters of one fleet.
fn start_coordinating_proxies(directory: &TempDir, member: &Member) -> Vec<Driver> {
    let addresses: Vec<SocketAddr> = PROXY_NAMES.iter().map(|_| free_port()).collect();
    let proxies = PROXY_NAMES.iter().zip(&addresses);
    proxies
        .map(|(name, &listen)| {
            start_proxy(name, member, &operator_configuration(directory, name, listen, &addresses))
        })
        .collect()
}

/// Names of the coordinating proxies.
const PROXY_NAMES: [&str; 3] = ["n0", "n1", "n2"];

/// Returns the report of `aldermill fellows --json` for each coordinating proxy.
fn query_peers_reports(directory: &TempDir) -> Vec<Value> {
    PROXY_NAMES
        .iter()
        .map(|name| query_status(&["fellows", "--json"], &directory.path("peers", name)))
        .collect()
}

#[test]
fn peers_json_with_coordination_has_exactly_these_keys() {
    let directory = TempDir::create("council");
    let member = sound("writer");
    copy_stored_data(&directory);
    let proxies = start_coordinating_proxies(&directory, &member);
    let expected = key_set(&[PEERS_KEYS, COORDINATION_KEYS].concat());
    let mut reports = Vec::new();
    // Collected over time, because n0 may acquire the lease on site drains and then makes new plans.
    let mut seen_keys = BTreeSet::new();
    until("every key", || {
        // A zone is reported only after proxies have sent requests there.
        proxies[1..].iter().for_each(|proxy| drop(Client::connect(proxy.address).ask(&look(1000))));
        reports = query_peers_reports(&directory);
        seen_keys.extend(reports.iter().flat_map(key_paths));
        let split_seen =
            reports[0]["council"]["decrees"].as_array().is_some_and(|all| all.iter().any(is_split));
        expected.is_subset(&seen_keys)
            && split_seen
            && reports.iter().any(|report| zone_view(report).is_object())
    });
    assert_eq!(seen_keys, expected);
    let coordination = &reports[0]["council"];
    let lease_names: Vec<&Value> =
        coordination["duties"].as_array().unwrap().iter().map(|lease| &lease["name"]).collect();
    assert_eq!(lease_names, ["zones", "splits", "retire"]);
    assert_eq!(coordination["votes"], true);
    let commands = json!([{"site": "site1", "number": 3, "order": "held", "by_ms": 4_000_000_000_000_u64}]);
    assert_eq!(coordination["retire"]["words"], commands);
    let view = reports.iter().map(zone_view).find(|view| view.is_object()).unwrap();
    assert_eq!((&view["group"], &view["zone"]), (&json!(2), &json!(0)));
    // `Unknown` with too few requests, `Well` once there are enough.
    let finding = view["finding"].as_str().unwrap();
    assert!(["Unknown", "Well"].contains(&finding) && view["level"] == "Near", "{view}");
    let split =
        coordination["decrees"].as_array().unwrap().iter().find(|directive| is_split(directive)).unwrap();
    let body: Value = serde_json::from_str(split["says"].as_str().unwrap()).unwrap();
    assert!(key_set("cost_ms drivers state").is_subset(&key_paths(&body)), "{body}");
}

/// Returns the view of the first zone, which only the holder of the `zones` lease reports; null elsewhere.
fn zone_view(report: &Value) -> &Value {
    &report["council"]["zones"]["views"][0]
}

/// Tells whether a directive contains the split recommendation for group 2.
fn is_split(directive: &Value) -> bool {
    directive["duty"] == "splits" && directive["subject"] == "2"
}

#[test]
fn a_proxy_started_on_the_stored_data_reports_its_plans_and_outcomes() {
    let directory = TempDir::create("restored");
    let member = sound("writer");
    copy_stored_data(&directory);
    let proxies = start_coordinating_proxies(&directory, &member);
    let plan = |site: &str, order: &str, stage: &str| {
        json!({"site": site, "number": 3, "order": order, "by_ms": 1_700_000_600_000_u64, "stage": stage,
            "weight": 250, "shares": {"site1": 400, "site2": 600}})
    };
    let mut moving = plan("site3", "goes", "moving");
    moving["waits"] = json!("room at site1");
    let expected = json!([moving, plan("site4", "held", "emptied"), plan("site5", "hurried", "retired")]);
    until("the stored plans in the report", || {
        query_peers_reports(&directory)[0]["council"]["retire"]["acts_by"] == expected
    });
    let sites = query_status(&["sites"], &directory.path("sites", "n0"));
    assert_eq!(sites["book"], json!({"disk": true, "earlier_records": 5, "earlier_starts": 1}));
    // The stored primary and service times are too old by now and count as unusable; the endpoint list is restored.
    assert!(proxies[0].logged("unusable_records: 2") && proxies[0].logged("revision: 7"));
}

#[test]
fn a_lease_is_granted_above_the_stored_granted_term() {
    // A term of the year 2096: terms are taken from the clock, in milliseconds since the Unix epoch.
    const TERM: u64 = 4_000_000_000_000;
    let limits = Limits {
        max_segment_bytes: 4 << 20,
        max_batch_bytes: 1 << 20,
        max_live_bytes: 1 << 24,
        max_log_ratio: 4,
    };
    let directory = TempDir::create("terms");
    for name in PROXY_NAMES {
        let disk = Disk::open(&directory.path("data", name)).unwrap();
        let (mut store, _) = Store::open(disk, limits, 1).unwrap();
        let mut batch = Batch::default();
        batch.put(1, b"", format!(r#"{{"name":"{name}","format":1}}"#).as_bytes(), None);
        batch.put(8, b"zones", &TERM.to_be_bytes(), None);
        store.commit(1, vec![batch]).unwrap();
    }
    let member = sound("writer");
    let _proxies = start_coordinating_proxies(&directory, &member);
    let mut leases = Value::Null;
    until("a holder of every lease", || {
        leases = query_peers_reports(&directory)[0]["council"]["duties"].clone();
        leases.as_array().is_some_and(|all| all.iter().all(|lease| lease["term"].is_u64()))
    });
    let above_stored_term: Vec<bool> =
        leases.as_array().unwrap().iter().map(|lease| lease["term"].as_u64() > Some(TERM)).collect();
    assert_eq!(above_stored_term, [true, false, false], "only the `zones` lease has a stored term: {leases}");
}

#[test]
fn sites_json_has_exactly_these_keys_and_values() {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut local_site = Site::new(0, 1, &ledger, |terms| terms);
    let mut remote_site = Site::new(1, 2, &ledger, |terms| terms);
    remote_site.start(&[(0, None)]);
    local_site.start(&[(1, Some(remote_site.links))]);
    let query = || query_status(&["sites"], &local_site.status());
    until("both links between the sites", || query()["gateways"][0]["links"] == 2);
    let mut client = local_site.client();
    until("a write forwarded to the other site", || served(&client.ask(&order(3000))));
    until("the end of all tasks", || query()["tasks"] == 0);
    let report = query();
    assert_eq!(key_paths(&report), key_set(SITES_KEYS));
    assert_eq!((&report["site"], &report["instance"]), (&json!("site0"), &json!("n0")));
    assert_eq!((&report["draining"], &report["book"]), (&json!(false), &Value::Null));
    assert_eq!(report["groups"], json!([{"group": 2, "home": "site1", "members_here": 1}]));
    let gateway = &report["gateways"][0];
    assert_eq!((&gateway["site"], &gateway["instance"]), (&json!("site1"), &json!("n1")));
    assert_eq!((&gateway["draining"], &gateway["barred"]), (&json!(false), &json!(false)));
    assert_eq!(report["guests"], 0);
    assert!(report["fates_kept"].is_u64() && gateway["under_way"].is_number());
    assert!(gateway["round_trip_us"].is_number() && report["start"].as_u64() > Some(1_000_000_000_000_000));
}

#[test]
fn zone_health_and_failover_levels_have_these_status_values() {
    let zone_health = [
        ZoneHealth::Unknown,
        ZoneHealth::Healthy,
        ZoneHealth::Marginal,
        ZoneHealth::Unreachable,
        ZoneHealth::Partitioned,
        ZoneHealth::Overloaded,
        ZoneHealth::PartlyServed,
    ];
    let status_values = zone_health.map(ZoneHealth::status_value);
    assert_eq!(status_values, ["Unknown", "Well", "Between", "Lost", "CutOff", "Crowded", "Some"]);
    let levels = [
        FailoverLevel::Local,
        FailoverLevel::Spillover,
        FailoverLevel::FailedOver,
        FailoverLevel::FailingBack,
    ];
    assert_eq!(levels.map(FailoverLevel::status_value), ["Near", "Leaning", "Left", "Coming"]);
}

//! The status sockets' JSON: operators' programs read it, so no key may change.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::Ordering;

use aldermill_store::{Batch, Disk, Limits, Store};
use aldermill_test_support::*;
use aldermill_zone_failover::{FailoverLevel, ZoneHealth};
use serde_json::{Value, json};

/// Adds the paths of all keys under `value`, which stands at `path`; `[]` stands for each item of an array,
/// `{}` for a site's name among shares.
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

fn key_paths(value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    collect_key_paths(value, "", &mut paths);
    paths
}

fn literal(paths: &str) -> BTreeSet<String> {
    paths.split_whitespace().map(str::to_owned).collect()
}

fn asked(arguments: &[&str], socket: &Path) -> Value {
    let output = Command::new(program()).args(arguments).arg(socket).output().unwrap();
    serde_json::from_slice(&output.stdout).unwrap_or(Value::Null)
}

/// A folder of this test's own, removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn empty(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("aldermill-status-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir(&path).unwrap();
        Folder(path)
    }

    fn socket(&self, kind: &str, name: &str) -> PathBuf {
        self.0.join(format!("{kind}-{name}"))
    }

    /// The operator's `fellows` of a driver, whose status socket is in this folder.
    fn fellows(&self, name: &str, listen: SocketAddr, peers: &[SocketAddr]) -> String {
        let peers: Vec<String> = peers.iter().map(|peer| format!(r#"{{"address":"{peer}"}}"#)).collect();
        let (peers, status) = (peers.join(","), self.socket("fellows", name));
        format!(
            r#""fellows":{{"fleet":"shop","listen":"{listen}","networks":["127.0.0.0/8"],"peers":[{peers}],"status":{status:?}}}"#
        )
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A driver that knows this one member by a list newer than the stored one.
fn start(name: &str, member: &Member, operator: &str) -> Driver {
    let known = list(8, true, &[("s-a", member, "in_service")]);
    let config = config(Discovery::default().start(), 256, &known).replace("\"n0\"", &format!("\"{name}\""));
    Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(operator))
}

const FELLOWS_KEYS: &str = "
at_ms council dropped dropped.fleet dropped.not_ours dropped.stranger dropped.unusable dropped.version
fellows fellows[].address fellows[].name fellows[].start fellows[].turn not_sent room_shared_by
self self.address self.name self.start self.turn sent sent.bytes sent.datagrams
view view.alive view.may_be_smaller view.most_seen view.sure
";

/// What stands under `council` at the drivers of a fleet, taken together.
const COUNCIL_KEYS: &str = "
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

const SITES_KEYS: &str = "
book draining fates_kept gateways gateways[].barred gateways[].credits gateways[].credits.look
gateways[].credits.order gateways[].draining gateways[].instance gateways[].links gateways[].round_trip_us
gateways[].site gateways[].under_way groups groups[].group groups[].home groups[].members_here guests instance
site start tasks
";

#[test]
fn fellows_json_without_a_council_has_exactly_these_keys_and_values() {
    let folder = Folder::empty("plain");
    let member = sound("writer");
    let at = [free_port(), free_port()];
    let operator = |own: usize| format!("{{{}}}", folder.fellows(["n0", "n1"][own], at[own], &at));
    let _drivers = [0, 1].map(|own| start(["n0", "n1"][own], &member, &operator(own)));
    let said = || asked(&["fellows", "--json"], &folder.socket("fellows", "n0"));
    until("it sees the other", || said()["view"]["alive"] == 2);
    let said = said();
    assert_eq!(key_paths(&said), literal(FELLOWS_KEYS));
    assert_eq!(said["council"], Value::Null);
    assert_eq!(said["view"]["most_seen"], 2);
    assert_eq!(said["view"]["may_be_smaller"], false);
    assert!(
        said["view"]["sure"].is_boolean() && said["room_shared_by"].is_u64() && said["not_sent"].is_u64()
    );
    assert!(said["at_ms"].as_u64() > Some(1_000_000_000_000) && said["sent"]["datagrams"].as_u64() > Some(0));
    for (entry, name, address) in [(&said["self"], "n0", at[0]), (&said["fellows"][0], "n1", at[1])] {
        assert_eq!((&entry["name"], &entry["address"]), (&json!(name), &json!(address.to_string())));
        assert_eq!(entry["turn"], 0);
        assert!(entry["start"].as_u64() > Some(1_000_000_000_000_000), "microseconds: {entry}");
    }
    let none = json!({"fleet": 0, "not_ours": 0, "stranger": 0, "unusable": 0, "version": 0});
    assert_eq!(said["dropped"], none);
}

/// The operator's file of a driver of a council of three, for all duties, with a data directory.
fn council_operator(folder: &Folder, name: &str, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let (fellows, warm) = (folder.fellows(name, listen, peers), folder.socket("warm", name));
    let status = folder.socket("sites", name);
    format!(
        r#"{{{fellows},"warm":{{"folder":{warm:?}}},"gateway":{{"site":"site0",
        "peers":[{{"site":"site1","networks":["127.0.0.0/8"]}}],"status":{status:?}}},
        "council":{{"voters":["n0","n1","n2"],"duties":["zones","splits","retire"],
        "retire":[{{"site":"site1","number":3,"order":"held","by":4000000000}}]}}}}"#
    )
}

/// The data directory of `fixtures/stored_data` for n0.
fn store_fixture(folder: &Folder) {
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored_data");
    let warm = folder.socket("warm", "n0");
    std::fs::create_dir(&warm).unwrap();
    for segment in ["0000000002.log", "0000000003.log", "0000000004.log"] {
        std::fs::copy(stored.join(segment), warm.join(segment)).unwrap();
    }
}

/// Drivers n0, n1 and n2 of one council.
fn council(folder: &Folder, member: &Member) -> Vec<Driver> {
    let at: Vec<SocketAddr> = NAMES.iter().map(|_| free_port()).collect();
    let drivers = NAMES.iter().zip(&at);
    drivers.map(|(name, &own)| start(name, member, &council_operator(folder, name, own, &at))).collect()
}

const NAMES: [&str; 3] = ["n0", "n1", "n2"];

fn fellows_of(folder: &Folder) -> Vec<Value> {
    NAMES.iter().map(|name| asked(&["fellows", "--json"], &folder.socket("fellows", name))).collect()
}

#[test]
fn fellows_json_of_a_council_has_exactly_these_keys() {
    let folder = Folder::empty("council");
    let member = sound("writer");
    store_fixture(&folder);
    let drivers = council(&folder, &member);
    let expected = literal(&[FELLOWS_KEYS, COUNCIL_KEYS].concat());
    let mut said = Vec::new();
    // Taken together over time: n0 may come to hold the lease on draining sites, and then plans anew.
    let mut seen = BTreeSet::new();
    until("every key is there", || {
        // The zones have something to show once drivers have sent requests there.
        drivers[1..].iter().for_each(|driver| drop(Client::connect(driver.address).ask(&look(1000))));
        said = fellows_of(&folder);
        seen.extend(said.iter().flat_map(key_paths));
        let split_seen = said[0]["council"]["decrees"].as_array().is_some_and(|all| all.iter().any(is_split));
        expected.is_subset(&seen) && split_seen && said.iter().any(|said| zone_view(said).is_object())
    });
    assert_eq!(seen, expected);
    let council = &said[0]["council"];
    let names: Vec<&Value> = council["duties"].as_array().unwrap().iter().map(|duty| &duty["name"]).collect();
    assert_eq!(names, ["zones", "splits", "retire"]);
    assert_eq!(council["votes"], true);
    let words = json!([{"site": "site1", "number": 3, "order": "held", "by_ms": 4_000_000_000_000_u64}]);
    assert_eq!(council["retire"]["words"], words);
    let zone = said.iter().map(zone_view).find(|view| view.is_object()).unwrap();
    assert_eq!((&zone["group"], &zone["zone"]), (&json!(2), &json!(0)));
    // Too few requests at first, then enough of them.
    let finding = zone["finding"].as_str().unwrap();
    assert!(["Unknown", "Well"].contains(&finding) && zone["level"] == "Near", "{zone}");
    let split = council["decrees"].as_array().unwrap().iter().find(|decree| is_split(decree)).unwrap();
    let body: Value = serde_json::from_str(split["says"].as_str().unwrap()).unwrap();
    assert!(literal("cost_ms drivers state").is_subset(&key_paths(&body)), "{body}");
}

/// What the holder of the lease on zones knows of the first one.
fn zone_view(said: &Value) -> &Value {
    &said["council"]["zones"]["views"][0]
}

/// Whether a directive says where group 2 is to be split.
fn is_split(directive: &Value) -> bool {
    directive["duty"] == "splits" && directive["subject"] == "2"
}

#[test]
fn a_program_on_the_stored_data_shows_its_plans_and_outcomes() {
    let folder = Folder::empty("restored");
    let member = sound("writer");
    store_fixture(&folder);
    let drivers = council(&folder, &member);
    let plan = |site: &str, order: &str, stage: &str| {
        json!({"site": site, "number": 3, "order": order, "by_ms": 1_700_000_600_000_u64, "stage": stage,
            "weight": 250, "shares": {"site1": 400, "site2": 600}})
    };
    let mut moving = plan("site3", "goes", "moving");
    moving["waits"] = json!("room at site1");
    let expected = json!([moving, plan("site4", "held", "emptied"), plan("site5", "hurried", "retired")]);
    until("the plans are obeyed", || fellows_of(&folder)[0]["council"]["retire"]["acts_by"] == expected);
    let sites = asked(&["sites"], &folder.socket("sites", "n0"));
    assert_eq!(sites["book"], json!({"disk": true, "earlier_records": 5, "earlier_starts": 1}));
    // The primary and the paces are too old by now; the list is read.
    assert!(drivers[0].logged("unusable_records: 2") && drivers[0].logged("revision: 7"));
}

#[test]
fn a_lease_is_granted_above_the_stored_granted_term() {
    // In 2096, while terms are taken from the clock.
    const TERM: u64 = 4_000_000_000_000;
    let limits = Limits {
        max_segment_bytes: 4 << 20,
        max_batch_bytes: 1 << 20,
        max_live_bytes: 1 << 24,
        max_log_ratio: 4,
    };
    let folder = Folder::empty("terms");
    for name in NAMES {
        let disk = Disk::open(&folder.socket("warm", name)).unwrap();
        let (mut store, _) = Store::open(disk, limits, 1).unwrap();
        let mut batch = Batch::default();
        batch.put(1, b"", format!(r#"{{"name":"{name}","format":1}}"#).as_bytes(), None);
        batch.put(8, b"zones", &TERM.to_be_bytes(), None);
        store.commit(1, vec![batch]).unwrap();
    }
    let member = sound("writer");
    let _drivers = council(&folder, &member);
    let mut duties = Value::Null;
    until("all leases are held", || {
        duties = fellows_of(&folder)[0]["council"]["duties"].clone();
        duties.as_array().is_some_and(|all| all.iter().all(|duty| duty["term"].is_u64()))
    });
    let terms: Vec<bool> =
        duties.as_array().unwrap().iter().map(|duty| duty["term"].as_u64() > Some(TERM)).collect();
    assert_eq!(terms, [true, false, false], "zones alone: {duties}");
}

#[test]
fn sites_json_has_exactly_these_keys_and_values() {
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut near = Site::new(0, 1, &ledger, |terms| terms);
    let mut far = Site::new(1, 2, &ledger, |terms| terms);
    far.start(&[(0, None)]);
    near.start(&[(1, Some(far.links))]);
    let ask = || asked(&["sites"], &near.status());
    until("both links", || ask()["gateways"][0]["links"] == 2);
    let mut client = near.client();
    until("a write crosses", || served(&client.ask(&order(3000))));
    until("nothing is under way", || ask()["tasks"] == 0);
    let said = ask();
    assert_eq!(key_paths(&said), literal(SITES_KEYS));
    assert_eq!((&said["site"], &said["instance"]), (&json!("site0"), &json!("n0")));
    assert_eq!((&said["draining"], &said["book"]), (&json!(false), &Value::Null));
    assert_eq!(said["groups"], json!([{"group": 2, "home": "site1", "members_here": 1}]));
    let gateway = &said["gateways"][0];
    assert_eq!((&gateway["site"], &gateway["instance"]), (&json!("site1"), &json!("n1")));
    assert_eq!((&gateway["draining"], &gateway["barred"]), (&json!(false), &json!(false)));
    assert_eq!(said["guests"], 0);
    assert!(said["fates_kept"].is_u64() && gateway["under_way"].is_number());
    assert!(gateway["round_trip_us"].is_number() && said["start"].as_u64() > Some(1_000_000_000_000_000));
}

#[test]
fn renamed_verdicts_and_levels_keep_their_words_in_the_status() {
    let verdicts = [
        ZoneHealth::Unknown,
        ZoneHealth::Healthy,
        ZoneHealth::Marginal,
        ZoneHealth::Unreachable,
        ZoneHealth::Partitioned,
        ZoneHealth::Overloaded,
        ZoneHealth::PartlyServed,
    ];
    let shown = verdicts.map(ZoneHealth::status_value);
    assert_eq!(shown, ["Unknown", "Well", "Between", "Lost", "CutOff", "Crowded", "Some"]);
    let levels = [
        FailoverLevel::Local,
        FailoverLevel::Spillover,
        FailoverLevel::FailedOver,
        FailoverLevel::FailingBack,
    ];
    assert_eq!(levels.map(FailoverLevel::status_value), ["Near", "Leaning", "Left", "Coming"]);
}

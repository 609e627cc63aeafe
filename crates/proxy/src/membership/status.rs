//! What a proxy knows of its fleet, as `aldermill peers` shows it: as JSON, or as a table. The keys are read by operators'
//! programs and stay as they are.

use aldermill_membership::{DroppedDatagrams, Peer, Snapshot};
use serde_json::{Value, json};

use super::actor::SendCounters;
use crate::cli::status;
use crate::lifecycle::errors::ProgramError;

/// What the status socket shows.
pub(super) struct StatusReport<'a> {
    /// This proxy.
    pub(super) local: &'a Peer,
    pub(super) snapshot: Snapshot,
    /// By how many proxies the dispatcher divides the capacity of members.
    pub(super) quota_divisor: usize,
    /// What coordination shows, if this proxy takes part in it.
    pub(super) coordination: Option<Value>,
    /// The time of the report, in Unix milliseconds.
    pub(super) at_ms: i64,
    pub(super) dropped: DroppedDatagrams,
    pub(super) sent: SendCounters,
    /// The other proxies that are known to be alive.
    pub(super) alive: Vec<&'a Peer>,
}

impl StatusReport<'_> {
    pub(super) fn to_json(&self) -> Value {
        let SendCounters { datagrams, bytes, failed } = self.sent;
        json!({
            "self": peer_json(self.local),
            "view": snapshot_json(self.snapshot),
            "room_shared_by": self.quota_divisor,
            "council": self.coordination,
            "at_ms": self.at_ms,
            "dropped": dropped_json(self.dropped),
            "sent": {"datagrams": datagrams, "bytes": bytes},
            "not_sent": failed,
            "fellows": self.alive.iter().map(|peer| peer_json(peer)).collect::<Vec<_>>(),
        })
    }
}

fn peer_json(peer: &Peer) -> Value {
    let Peer { name, start, rejoins, address } = peer;
    json!({"name": &**name, "start": start, "turn": rejoins, "address": address.to_string()})
}

fn snapshot_json(snapshot: Snapshot) -> Value {
    let Snapshot { alive, most_alive, is_certain, may_be_minority } = snapshot;
    json!({"alive": alive, "most_seen": most_alive, "sure": is_certain, "may_be_smaller": may_be_minority})
}

fn dropped_json(dropped: DroppedDatagrams) -> Value {
    let DroppedDatagrams { unknown_network, not_membership, unsupported_version, unknown_fleet, unusable } =
        dropped;
    json!({
        "stranger": unknown_network,
        "not_ours": not_membership,
        "version": unsupported_version,
        "fleet": unknown_fleet,
        "unusable": unusable,
    })
}

/// What the proxy behind this status socket knows of its fleet: a table, or its JSON as it comes.
///
/// # Errors
///
/// No proxy answers at the socket, or it is of a version whose answer can't be read.
pub fn query(path: &str, as_json: bool) -> Result<String, ProgramError> {
    let text = status::ask(path)?;
    if as_json {
        return Ok(text);
    }
    let report: Value =
        serde_json::from_str(&text).map_err(|why| ProgramError::Said { path: path.to_owned(), why })?;
    Ok(table(&report))
}

fn table(report: &Value) -> String {
    let snapshot = &report["view"];
    let mut table = format!(
        "{} knows of {} drivers, itself among them; {} at most{}{}\n",
        report["self"]["name"].as_str().unwrap_or_default(),
        snapshot["alive"],
        snapshot["most_seen"],
        if snapshot["sure"] == true { "" } else { "; in doubt" },
        if snapshot["may_be_smaller"] == true { "; may be the smaller part" } else { "" },
    );
    for peer in report["fellows"].as_array().into_iter().flatten() {
        let name = peer["name"].as_str().unwrap_or_default();
        let address = peer["address"].as_str().unwrap_or_default();
        table += &format!("{name:<24} {address:<24} started {} turn {}\n", peer["start"], peer["turn"]);
    }
    table
}

//! The report of the membership status socket: what a proxy knows about its fleet, as JSON. The keys must not
//! change, as operators' programs read them.

use aldermill_membership::{DroppedDatagrams, Peer, Snapshot};
use serde_json::{Value, json};

use super::actor::SendCounters;

/// Contents of one report.
pub(super) struct StatusReport<'a> {
    /// Identity of this proxy.
    pub(super) local: &'a Peer,
    pub(super) snapshot: Snapshot,
    /// Number of proxies by which the dispatcher divides the capacity of members in normal operation.
    pub(super) quota_divisor: usize,
    /// Description of coordination; `None` if this proxy does not take part in it.
    pub(super) coordination: Option<Value>,
    /// Time of the report by the wall clock, in milliseconds since the Unix epoch.
    pub(super) at_ms: i64,
    pub(super) dropped: DroppedDatagrams,
    pub(super) sent: SendCounters,
    /// Other proxies that are known to be alive.
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

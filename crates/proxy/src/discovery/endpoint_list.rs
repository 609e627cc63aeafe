//! Endpoint list in the JSON format of the discovery service, in which it is also saved across restarts.

use aldermill_routing::{MemberStatus, Micros};
use aldermill_warm_start::StateSnapshot;
use serde::{Deserialize, Serialize};

/// Value of `access` for a member that takes writes.
const WRITER_ACCESS: &str = "writer";

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Entry of one member in the endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// Name of the member, unchanged across its restarts and moves.
    pub id: String,
    /// IP address and port of the member; host names are not resolved.
    pub host_port: String,
    /// Name of the member's zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// Number of the member's group, whose members hold the same data.
    #[serde(rename = "cell")]
    pub group: u64,
    phase: Phase,
    /// Size relative to other members; zero if the list does not state it.
    #[serde(default)]
    pub size: f64,
    /// When the member was started, in Unix milliseconds; zero means long ago.
    #[serde(default)]
    up_since_ms: f64,
    /// Role of the member; `None` if the list does not state it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    access: Option<String>,
}

/// Phase in the life of a member.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    /// The member takes requests.
    InService,
    /// The member is draining: nothing new may be sent to it.
    Terminating,
    /// The member has ended.
    Terminated,
}

impl Endpoint {
    /// Returns whether the list names this member as the primary. If the list does not state roles, it names
    /// no member, and the primary is found by querying the members.
    pub fn is_primary(&self) -> bool {
        self.access.as_deref() == Some(WRITER_ACCESS)
    }

    /// Returns the time of the member's last start as the list states it, in Unix microseconds; zero if it was long ago.
    pub fn listed_start(&self) -> Micros {
        (self.up_since_ms * MICROS_PER_MILLI) as Micros
    }

    /// Returns the member's status for the router: ready, draining or unlisted.
    pub fn status(&self) -> MemberStatus {
        match self.phase {
            Phase::InService => MemberStatus::Ready,
            Phase::Terminating => MemberStatus::Draining,
            Phase::Terminated => MemberStatus::Unlisted,
        }
    }
}

/// Update of the endpoint list: either the complete list or only its changes.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// Revision of the list after this update; later revisions are higher.
    pub revision: u64,
    /// Whether this is the complete list, so that members it does not name are gone.
    pub complete: bool,
    /// All listed members, or only those that have changed.
    #[serde(rename = "members")]
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Returns the endpoint list that an earlier start saved, without entries that cannot be parsed, or
    /// `None` if none was saved.
    pub fn from_snapshot(snapshot: &StateSnapshot) -> Option<EndpointList> {
        let endpoints = snapshot.members.values().filter_map(|entry| serde_json::from_str(entry).ok());
        let revision = snapshot.revision?;
        Some(EndpointList { revision, complete: true, endpoints: endpoints.collect() })
    }
}

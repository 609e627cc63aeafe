//! The endpoint list in discovery's form, which is also the form in which it is saved over a restart.

use aldermill_routing::MemberStatus;
use aldermill_warm_start::StateSnapshot;
use serde::{Deserialize, Serialize};

/// The access of a member that takes writes, where the list tells.
const WRITER_ACCESS: &str = "writer";

/// One member, as the endpoint list has it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    /// The member's name, which stays the same over its restarts and moves.
    pub id: String,
    /// Its address and port as text; names are not resolved.
    pub host_port: String,
    /// The name of its zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The group of members that hold the same data.
    #[serde(rename = "cell")]
    pub group: u64,
    phase: Phase,
    /// Its size relative to others; zero where the list does not tell.
    #[serde(default)]
    pub size: f64,
    /// When it was started, as Unix time in milliseconds; zero means long ago.
    #[serde(default)]
    pub up_since_ms: f64,
    /// Its role, where the list tells.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    access: Option<String>,
}

/// Where a member is in its life.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    /// It serves.
    InService,
    /// It drains: nothing new is to be sent to it.
    Terminating,
    /// It has ended.
    Terminated,
}

impl Endpoint {
    /// Whether the list says that it is the primary. Where the list does not tell roles no member is, and the primary is
    /// found by asking.
    pub fn is_primary(&self) -> bool {
        self.access.as_deref() == Some(WRITER_ACCESS)
    }

    /// Whether it may be sent requests, in the router's terms: ready, draining or gone.
    pub fn status(&self) -> MemberStatus {
        match self.phase {
            Phase::InService => MemberStatus::Ready,
            Phase::Terminating => MemberStatus::Draining,
            Phase::Terminated => MemberStatus::Unlisted,
        }
    }
}

/// One update of the endpoint list: the whole of it, or what has changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    /// The list's revision after this update; a later one is higher.
    pub revision: u64,
    /// Whether this is the whole list: a member that it does not name is gone.
    pub complete: bool,
    /// The members that are listed, or those that have changed.
    #[serde(rename = "members")]
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// The endpoint list that a former start saved, as far as it can be read; `None` where it saved none.
    pub fn from_snapshot(snapshot: &StateSnapshot) -> Option<EndpointList> {
        let endpoints = snapshot.members.values().filter_map(|entry| serde_json::from_str(entry).ok());
        let revision = snapshot.revision?;
        Some(EndpointList { revision, complete: true, endpoints: endpoints.collect() })
    }
}

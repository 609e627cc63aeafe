//! The member list in discovery's form.

use aldermill_routing::Standing;
use aldermill_warm_start::StateSnapshot;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    pub id: String,
    pub host_port: String,
    pub locality: String,
    pub cell: u64,
    phase: Phase,
    #[serde(default)]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: f64,
    /// Where the list tells roles.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    access: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
enum Phase {
    InService,
    Terminating,
    Terminated,
}

impl Entry {
    pub fn is_primary(&self) -> bool {
        self.access.as_deref() == Some("writer")
    }

    pub fn standing(&self) -> Standing {
        match self.phase {
            Phase::InService => Standing::Ready,
            Phase::Terminating => Standing::Draining,
            Phase::Terminated => Standing::Gone,
        }
    }
}

/// The whole list, or what has changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Entry>,
}

impl EndpointList {
    /// The endpoint list that a former start saved, as far as it can be read.
    pub fn from_snapshot(snapshot: &StateSnapshot) -> Option<EndpointList> {
        let entries = snapshot.members.values().filter_map(|entry| serde_json::from_str(entry).ok());
        let revision = snapshot.revision?;
        Some(EndpointList { revision, complete: true, members: entries.collect() })
    }
}

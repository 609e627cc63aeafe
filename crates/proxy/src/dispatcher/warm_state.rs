//! The dispatcher's part in a warm start: it publishes snapshots to be saved, and uses the state that an
//! earlier start saved.

use std::collections::BTreeMap;

use aldermill_routing::{LearnedState, MemberStatus, Micros};
use aldermill_warm_start::{KnownPrimary, ServiceTime, StateSnapshot};
use tokio::sync::watch;

use super::{Dispatcher, GatewayPart};
use crate::discovery::endpoint_list::EndpointList;

/// Interval at which snapshots are published, in microseconds.
const SNAPSHOT_INTERVAL: Micros = 1_000_000;

/// The dispatcher's data for a warm start.
pub struct WarmState {
    /// The state that an earlier start saved. It is used, and replaced by an empty one, when the first
    /// endpoint list maps its names to members.
    pub restored: StateSnapshot,
    /// The channel on which snapshots are published; `None` without a data directory.
    pub snapshots: Option<watch::Sender<Option<StateSnapshot>>>,
}

/// The newest endpoint list from discovery, kept for snapshots.
#[derive(Default)]
pub(super) struct LastEndpointList {
    revision: Option<u64>,
    /// The endpoints as JSON, by the member's name.
    endpoints: BTreeMap<String, String>,
    /// The time at which the next snapshot is due, in microseconds on the router's clock.
    next_snapshot_at: Micros,
}

impl LastEndpointList {
    fn update(&mut self, list: &EndpointList) {
        if list.complete {
            self.endpoints.clear();
        }
        for endpoint in &list.endpoints {
            match serde_json::to_string(endpoint) {
                Ok(text) if endpoint.status() != MemberStatus::Unlisted => {
                    self.endpoints.insert(endpoint.id.clone(), text);
                }
                _ => {
                    self.endpoints.remove(&endpoint.id);
                }
            }
        }
        self.revision = Some(list.revision);
    }
}

impl Dispatcher {
    /// Gives the router the restored state together with the first endpoint list, which maps the saved names
    /// to members. Later lists are only kept for snapshots.
    pub(super) fn use_restored_state(&mut self, list: &EndpointList) {
        if self.warm_state.snapshots.is_some() {
            self.last_endpoint_list.update(list);
        }
        let restored = std::mem::take(&mut self.warm_state.restored);
        if restored != StateSnapshot::default() {
            let learned = self.map_restored_state(&restored);
            self.router.restore_learned_state(&learned);
        }
    }

    /// Converts the restored state to the router's form; members that are not listed now are left out.
    fn map_restored_state(&self, restored: &StateSnapshot) -> LearnedState {
        let id = |name: &String| self.member_ids.get(name).copied();
        let primary = |primary: &KnownPrimary| Some((id(&primary.member)?, primary.confirmed_at));
        let service_time =
            |name: &String| restored.service_times.get(name).map_or((0, 0), |time| (time.median, time.p90));
        let concurrency_limits = restored.concurrency_limits.iter();
        LearnedState {
            primaries: restored.primaries.values().filter_map(primary).collect(),
            durations: self.settings.class_names().iter().map(service_time).collect(),
            concurrency_limits: concurrency_limits
                .filter_map(|(name, &exponent)| Some((id(name)?, exponent)))
                .collect(),
        }
    }

    /// Publishes a snapshot if the last one is at least [`SNAPSHOT_INTERVAL`] old and there is a data
    /// directory.
    pub(super) fn publish_snapshot(&mut self) {
        let now = self.context.clock.now();
        let Some(snapshots) = &self.warm_state.snapshots else { return };
        if now < self.last_endpoint_list.next_snapshot_at {
            return;
        }
        self.last_endpoint_list.next_snapshot_at = now + SNAPSHOT_INTERVAL;
        snapshots.send_replace(Some(self.snapshot()));
    }

    fn snapshot(&self) -> StateSnapshot {
        let learned = self.router.learned_state();
        let names: BTreeMap<usize, &String> = self.member_ids.iter().map(|(name, &id)| (id, name)).collect();
        let name = |id: usize| names.get(&id).map(|&name| name.clone());
        let group = |id: usize| self.members.get(id).and_then(Option::as_ref).map(|entry| entry.group);
        let primary = |&(id, confirmed_at): &(usize, Micros)| {
            Some((group(id)?, KnownPrimary { member: name(id)?, confirmed_at }))
        };
        let service_times = self
            .settings
            .class_names()
            .into_iter()
            .zip(&learned.durations)
            .filter(|(_, durations)| durations.0 > 0);
        let home_sites = self.gateway_part.as_ref().map(GatewayPart::homes);
        StateSnapshot {
            revision: self.last_endpoint_list.revision,
            members: self.last_endpoint_list.endpoints.clone(),
            primaries: learned.primaries.iter().filter_map(primary).collect(),
            home_sites: home_sites.unwrap_or_default(),
            service_times: service_times
                .map(|(name, &(median, p90))| (name, ServiceTime { median, p90 }))
                .collect(),
            concurrency_limits: learned
                .concurrency_limits
                .iter()
                .filter_map(|&(id, exponent)| Some((name(id)?, exponent)))
                .collect(),
        }
    }
}

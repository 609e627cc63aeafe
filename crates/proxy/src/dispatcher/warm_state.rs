//! The dispatcher's part in a warm start: it publishes snapshots to be saved, and uses what a former start saved.

use std::collections::BTreeMap;

use aldermill_routing::{LearnedState, MemberStatus, Micros};
use aldermill_warm_start::{KnownPrimary, ServiceTime, StateSnapshot};
use tokio::sync::watch;

use super::{Dispatcher, GatewayPart};
use crate::discovery::endpoint_list::EndpointList;

/// How often a snapshot is published, in microseconds.
const SNAPSHOT_INTERVAL: Micros = 1_000_000;

/// What the dispatcher has of a warm start.
pub struct WarmState {
    /// What a former start saved; used, and then empty, once the first endpoint list maps its names to members.
    pub restored: StateSnapshot,
    /// Where snapshots are published; `None` without a data directory.
    pub snapshots: Option<watch::Sender<Option<StateSnapshot>>>,
}

/// The endpoint list as discovery sent it last, for snapshots.
#[derive(Default)]
pub(super) struct LastEndpointList {
    revision: Option<u64>,
    /// Each endpoint as JSON, by the member's name.
    endpoints: BTreeMap<String, String>,
    /// When the next snapshot is due, on the router's clock.
    snapshot_at: Micros,
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
    /// Uses restored state with the first endpoint list, which says which members it is about.
    pub(super) fn use_restored_state(&mut self, list: &EndpointList) {
        if self.warm_state.snapshots.is_some() {
            self.last_endpoint_list.update(list);
        }
        let restored = std::mem::take(&mut self.warm_state.restored);
        if restored != StateSnapshot::default() {
            let learnt = self.learnt_by_former_start(&restored);
            self.router.restore_learned_state(&learnt);
        }
    }

    /// What a former start learned of the members that are listed now.
    fn learnt_by_former_start(&self, restored: &StateSnapshot) -> LearnedState {
        let id = |name: &String| self.member_ids.get(name).copied();
        let primary = |primary: &KnownPrimary| Some((id(&primary.member)?, primary.confirmed_at));
        let service_time =
            |name: &String| restored.service_times.get(name).map_or((0, 0), |time| (time.median, time.p90));
        let concurrency_limits = restored.concurrency_limits.iter();
        LearnedState {
            primaries: restored.primaries.values().filter_map(primary).collect(),
            durations: self.decoded.class_names().iter().map(service_time).collect(),
            concurrency_limits: concurrency_limits
                .filter_map(|(name, &power)| Some((id(name)?, power)))
                .collect(),
        }
    }

    /// Publishes a snapshot, once a second.
    pub(super) fn publish_snapshot(&mut self) {
        let now = self.context.clock.now();
        let Some(snapshots) = &self.warm_state.snapshots else { return };
        if now < self.last_endpoint_list.snapshot_at {
            return;
        }
        self.last_endpoint_list.snapshot_at = now + SNAPSHOT_INTERVAL;
        snapshots.send_replace(Some(self.snapshot()));
    }

    fn snapshot(&self) -> StateSnapshot {
        let learnt = self.router.learned_state();
        let names: BTreeMap<usize, &String> = self.member_ids.iter().map(|(name, &id)| (id, name)).collect();
        let name = |id: usize| names.get(&id).map(|&name| name.clone());
        let group = |id: usize| self.members.get(id).and_then(Option::as_ref).map(|entry| entry.group);
        let primary = |&(id, confirmed_at): &(usize, Micros)| {
            Some((group(id)?, KnownPrimary { member: name(id)?, confirmed_at }))
        };
        let service_times =
            self.decoded.class_names().into_iter().zip(&learnt.durations).filter(|(_, took)| took.0 > 0);
        let home_sites = self.gateway_part.as_ref().map(GatewayPart::homes);
        StateSnapshot {
            revision: self.last_endpoint_list.revision,
            members: self.last_endpoint_list.endpoints.clone(),
            primaries: learnt.primaries.iter().filter_map(primary).collect(),
            home_sites: home_sites.unwrap_or_default(),
            service_times: service_times
                .map(|(name, &(median, p90))| (name, ServiceTime { median, p90 }))
                .collect(),
            concurrency_limits: learnt
                .concurrency_limits
                .iter()
                .filter_map(|&(id, power)| Some((name(id)?, power)))
                .collect(),
        }
    }
}

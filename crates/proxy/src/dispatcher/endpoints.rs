//! The dispatcher's handling of the endpoint list: members that appear, move, drain and leave, and an actor
//! for each.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::{Actions, ListedMember, MemberId, MemberStatus, Micros};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::Dispatcher;
use super::member_entry::{MemberEntry, StartBounds};
use crate::discovery::endpoint_list::{Endpoint, EndpointList};
use crate::member::{LastHeard, MemberActor, MemberSharedState};
use crate::messages::{ListUpdate, ReplicaReports};

impl Dispatcher {
    /// Applies a full endpoint list, a change to it, or the report that discovery is unreachable, and carries
    /// out the router's actions.
    pub(super) fn apply_list_update(&mut self, list_update: ListUpdate) {
        let now = self.context.clock.now();
        let actions = match list_update {
            ListUpdate::Unavailable => self.decide(|router| ((), router.list_unavailable(now))).1,
            ListUpdate::Received(list) => self.apply_endpoint_list(now, &list),
        };
        self.carry_out(actions);
        self.forget_unlisted_members(now);
        self.report_groups_to_sites();
        if !self.members.is_empty() {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Starts and updates the members' actors, and lets the router decide with the new list.
    fn apply_endpoint_list(&mut self, now: Micros, list: &EndpointList) -> Actions {
        info!(self.context.log, "endpoint list received"; "revision" => list.revision,
            "complete" => list.complete, "endpoints" => list.endpoints.len());
        let listed = list.endpoints.iter().filter_map(|endpoint| self.register_endpoint(endpoint));
        let listed: Vec<ListedMember> = listed.collect();
        let ((), actions) =
            self.decide(|router| ((), router.update_endpoint_list(now, list.complete, listed.clone())));
        self.publish_availability();
        self.warn_of_binding_drains(&listed);
        self.use_restored_state(list);
        actions
    }

    /// Logs which members the list names as ready although an earlier drain of them still binds.
    fn warn_of_binding_drains(&self, listed: &[ListedMember]) {
        let is_listed_ready = |entry: &&ListedMember| entry.status == MemberStatus::Ready;
        for entry in listed.iter().filter(is_listed_ready) {
            if !self.router.is_ready(entry.member) {
                warn!(self.context.log, "member listed as in service after its drain, not used until it starts again";
                    "member" => &entry.name);
            }
        }
    }

    /// Reports the number of ready members of each group at this site to the gateway part.
    fn report_groups_to_sites(&mut self) {
        if self.gateway_part.is_none() {
            return;
        }
        let mut ready_members: BTreeMap<u64, usize> = BTreeMap::new();
        for (id, entry) in self.members.iter().enumerate() {
            if let Some(entry) = entry.as_ref().filter(|_| self.router.is_ready(id)) {
                *ready_members.entry(entry.group).or_default() += 1;
            }
        }
        self.groups_listed(&ready_members.into_iter().collect::<Vec<_>>());
    }

    /// Drops the actors, connections and indices of members that the router forgets: they have left the list,
    /// and no more reports of them can arrive.
    fn forget_unlisted_members(&mut self, now: Micros) {
        let Dispatcher { router, members, member_ids, clock_offset, .. } = self;
        member_ids.retain(|_, &mut id| {
            let is_forgotten = router.forget_member(now, id);
            if is_forgotten {
                members[id] = None;
                clock_offset.discard_samples(id);
            }
            !is_forgotten
        });
    }

    /// Tells the members' actors which of them the router may send anything new to with the list that it now has.
    fn publish_availability(&mut self) {
        let Dispatcher { router, members, .. } = self;
        for (id, entry) in members.iter_mut().enumerate() {
            let Some(entry) = entry else { continue };
            let accepts_requests = router.is_in_service(id);
            entry.accepts_requests.send_if_modified(|accepted| {
                std::mem::replace(accepted, accepts_requests) != accepts_requests
            });
        }
    }

    /// Applies one endpoint to its member's actor, which is started if the member is new, and returns the
    /// endpoint in the router's form. Returns `None` if the endpoint has no usable address, or if it has
    /// terminated and its member is unknown.
    fn register_endpoint(&mut self, endpoint: &Endpoint) -> Option<ListedMember> {
        let Some(address) = self.usable_address(endpoint) else {
            warn!(self.context.log, "list endpoint without a usable address, left out";
                "member" => &endpoint.id, "host_port" => &endpoint.host_port);
            return None;
        };
        let status = endpoint.status();
        let member = match self.member_ids.get(&endpoint.id) {
            Some(&member) => member,
            None if status == MemberStatus::Unlisted => return None,
            None => self.start_member(endpoint, address),
        };
        self.update_member(member, endpoint, address);
        let started_at = self.members[member].as_ref()?.started_at;
        self.groups.insert(endpoint.group);
        Some(ListedMember {
            member,
            name: endpoint.id.clone(),
            group: endpoint.group,
            zone: self.settings.zone_index(&endpoint.zone),
            status,
            started_at,
            listed_start: endpoint.listed_start(),
            size: self.settings.member_size(endpoint.size),
            is_primary: endpoint.is_primary(),
        })
    }

    /// Returns the address that the endpoint states. If it states none that is usable, a member that drains or is gone
    /// keeps the address at which it is known, because the drain has to be applied all the same.
    fn usable_address(&self, endpoint: &Endpoint) -> Option<SocketAddr> {
        let stated = endpoint.host_port.parse().ok();
        stated.or_else(|| {
            let entry = self.members[*self.member_ids.get(&endpoint.id)?].as_ref()?;
            (endpoint.status() != MemberStatus::Ready).then_some(entry.address)
        })
    }

    /// Applies an endpoint to a known member.
    fn update_member(&mut self, member: MemberId, endpoint: &Endpoint, address: SocketAddr) {
        let clock = self.context.clock;
        let offset = self.reported_offset;
        let listed_start = endpoint.listed_start();
        let Some(entry) = &mut self.members[member] else { return };
        let was_accepting = *entry.accepts_requests.borrow();
        entry.group = endpoint.group;
        entry.zone = self.settings.zone_index(&endpoint.zone);
        let restarted = endpoint.status() == MemberStatus::Ready && entry.listed_start != listed_start;
        if restarted {
            entry.record_restart(listed_start, was_accepting, clock, offset);
        }
        if restarted || entry.address != address {
            entry.reconnect(address);
        }
    }

    /// Records the number of replica reports that the router's decisions are based on from now on.
    pub(super) fn record_replica_reports(&mut self, reports: ReplicaReports) {
        if let Some(entry) = self.members.get_mut(reports.member).and_then(Option::as_mut) {
            entry.replica_reports = entry.replica_reports.max(reports.count);
        }
    }

    /// Starts the actor of a new member and returns the member's index.
    fn start_member(&mut self, endpoint: &Endpoint, address: SocketAddr) -> MemberId {
        let id = self.members.iter().position(Option::is_none).unwrap_or(self.members.len());
        let (commands, mailbox) = mpsc::channel(self.context.limits.queues.member);
        // The router decides this once it has the list that names the member.
        let (accepts_requests, accepting) = watch::channel(false);
        let oldest_idle_since = Rc::new(Cell::new(None));
        let last_heard = LastHeard::default();
        let links = MemberSharedState {
            accepts_requests: accepting,
            oldest_idle_since: oldest_idle_since.clone(),
            last_heard: last_heard.clone(),
        };
        let member = MemberActor::new(self.context.clone(), id, endpoint.id.clone(), address, links);
        spawn_local(member.run(mailbox));
        let mut entry = MemberEntry {
            group: endpoint.group,
            zone: self.settings.zone_index(&endpoint.zone),
            commands,
            oldest_idle_since,
            accepts_requests,
            last_heard,
            address,
            listed_start: endpoint.listed_start(),
            started_at: None,
            start_bounds: StartBounds::of_new_member(self.context.clock.now()),
            replica_reports: 0,
        };
        entry.started_at = entry.start_time(self.reported_offset);
        if id == self.members.len() {
            self.members.push(None);
        }
        self.members[id] = Some(entry);
        self.member_ids.insert(endpoint.id.clone(), id);
        id
    }
}

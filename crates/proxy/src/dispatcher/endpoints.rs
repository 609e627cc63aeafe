//! The dispatcher's handling of the endpoint list: members that appear, move, drain and leave, and an actor
//! for each.

use std::cell::Cell;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::{Actions, ListedMember, MemberId, MemberStatus, Micros};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::Dispatcher;
use crate::discovery::endpoint_list::{Endpoint, EndpointList};
use crate::lifecycle::clock::Clock;
use crate::member::{LastHeard, MemberActor, MemberSharedState};
use crate::messages::{ListUpdate, MemberCommand, ReplicaReports};

/// The dispatcher's record of a member and the channels to its actor.
pub(super) struct MemberEntry {
    pub(super) group: u64,
    pub(super) zone: usize,
    /// Whether the endpoint list says that the member is in service.
    ready: bool,
    pub(super) commands: mpsc::Sender<MemberCommand>,
    /// The time since which the member's oldest idle connection has been idle; `None` if there is no such
    /// connection, or the actor was just told to close it.
    pub(super) oldest_idle_since: Rc<Cell<Option<Instant>>>,
    /// Whether the member may be sent anything new, according to the endpoint list. The member's actor
    /// watches this.
    accepts_requests: watch::Sender<bool>,
    last_heard: LastHeard,
    address: SocketAddr,
    /// The time of the member's last start according to the endpoint list, as Unix time in milliseconds; zero
    /// if it was long ago.
    up_since_ms: f64,
    /// The time of the member's last start on the router's clock, clamped to `start_bounds`; `None` if it was
    /// long ago.
    pub(super) started_at: Option<Micros>,
    start_bounds: StartBounds,
    /// The number of the member's responses known to the router that said that the member is a replica.
    pub(super) replica_reports: u64,
}

/// Bounds on the time of a member's last start, in microseconds on the router's clock.
struct StartBounds {
    /// The time at which the member's previous incarnation was last heard; `Micros::MIN` if unknown.
    previous_last_heard: Micros,
    /// The time at which the endpoint list first named this start.
    first_listed_at: Micros,
}

impl MemberEntry {
    /// Returns the time of the member's last start on the router's clock; `None` if it was long ago. The time
    /// in the endpoint list is clamped to the bounds, because the wall clock may have been wrong when this
    /// process started. `offset` is how far the members' clock is ahead of the router's, in microseconds.
    pub(super) fn start_time(&self, offset: Micros) -> Option<Micros> {
        let listed = (self.up_since_ms > 0.0).then_some((self.up_since_ms * 1000.0) as Micros)?;
        let StartBounds { previous_last_heard, first_listed_at } = self.start_bounds;
        Some(listed.saturating_sub(offset).max(previous_last_heard).min(first_listed_at))
    }

    /// Records that the endpoint list names another start of the member, which is a new incarnation.
    /// `was_accepting` says whether the previous one could be sent requests until now.
    fn record_restart(&mut self, up_since_ms: f64, was_accepting: bool, clock: Clock, offset: Micros) {
        self.up_since_ms = up_since_ms;
        let previous =
            self.last_heard.previous_incarnation_last_heard(was_accepting).map(|heard| clock.at(heard));
        let previous_last_heard = previous.unwrap_or(Micros::MIN);
        self.start_bounds = StartBounds { previous_last_heard, first_listed_at: clock.now() };
        self.started_at = self.start_time(offset);
    }

    /// Tells the member's actor to open new connections to this address. If the actor's mailbox is full, the
    /// old address is kept, so that a later list update tries again.
    fn reconnect(&mut self, address: SocketAddr) {
        if self.commands.try_send(MemberCommand::Reconnect(address)).is_ok() {
            self.address = address;
        }
    }
}

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
        let listed = self.register_endpoints(list);
        let ((), actions) =
            self.decide(|router| ((), router.update_endpoint_list(now, list.complete, listed.clone())));
        self.use_restored_state(list);
        actions
    }

    /// Reports the number of ready members of each group at this site to the gateway part.
    fn report_groups_to_sites(&mut self) {
        if self.gateway_part.is_none() {
            return;
        }
        let mut ready_members: BTreeMap<u64, usize> = BTreeMap::new();
        for entry in self.members.iter().flatten().filter(|entry| entry.ready) {
            *ready_members.entry(entry.group).or_default() += 1;
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

    /// Applies the list to the members' actors, and returns the endpoints in the router's form.
    fn register_endpoints(&mut self, list: &EndpointList) -> Vec<ListedMember> {
        if list.complete {
            self.mark_unlisted_members(list);
        }
        list.endpoints.iter().filter_map(|endpoint| self.register_endpoint(endpoint)).collect()
    }

    /// Marks the members that a complete list does not name as unlisted.
    fn mark_unlisted_members(&mut self, list: &EndpointList) {
        let listed: HashSet<&str> = list.endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
        let accepts_requests = self.accepts_requests(MemberStatus::Unlisted);
        for (_, &id) in self.member_ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(entry) = &mut self.members[id] {
                entry.accepts_requests.send_replace(accepts_requests);
                entry.ready = false;
            }
        }
    }

    /// Returns whether a member with this status may be sent anything new. An unlisted member may, if the
    /// settings forbid it only for draining members.
    fn accepts_requests(&self, status: MemberStatus) -> bool {
        match status {
            MemberStatus::Ready => true,
            MemberStatus::Draining => false,
            MemberStatus::Unlisted => self.settings.router_config.unlisted_members_usable,
        }
    }

    /// Applies one endpoint to its member's actor, which is started if the member is new, and returns the
    /// endpoint in the router's form. Returns `None` if the endpoint has no usable address, or if it has
    /// terminated and its member is unknown.
    fn register_endpoint(&mut self, endpoint: &Endpoint) -> Option<ListedMember> {
        let Ok(address) = endpoint.host_port.parse::<SocketAddr>() else {
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
            size: self.settings.member_size(endpoint.size),
            is_primary: endpoint.is_primary(),
        })
    }

    /// Applies an endpoint to a known member.
    fn update_member(&mut self, member: MemberId, endpoint: &Endpoint, address: SocketAddr) {
        let clock = self.context.clock;
        let offset = self.reported_offset;
        let status = endpoint.status();
        let accepts_requests = self.accepts_requests(status);
        let Some(entry) = &mut self.members[member] else { return };
        let was_accepting = entry.accepts_requests.send_replace(accepts_requests);
        entry.group = endpoint.group;
        entry.zone = self.settings.zone_index(&endpoint.zone);
        entry.ready = status == MemberStatus::Ready;
        let restarted = entry.ready && entry.up_since_ms != endpoint.up_since_ms;
        if restarted {
            entry.record_restart(endpoint.up_since_ms, was_accepting, clock, offset);
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
        let (accepts_requests, accepting) = watch::channel(self.accepts_requests(endpoint.status()));
        let oldest_idle_since = Rc::new(Cell::new(None));
        let last_heard = LastHeard::default();
        let links = MemberSharedState {
            accepts_requests: accepting,
            oldest_idle_since: oldest_idle_since.clone(),
            last_heard: last_heard.clone(),
        };
        let member = MemberActor::new(self.context.clone(), id, endpoint.id.clone(), address, links);
        spawn_local(member.run(mailbox));
        let first_listed_at = self.context.clock.now();
        let mut entry = MemberEntry {
            group: endpoint.group,
            zone: self.settings.zone_index(&endpoint.zone),
            ready: false,
            commands,
            oldest_idle_since,
            accepts_requests,
            last_heard,
            address,
            up_since_ms: endpoint.up_since_ms,
            started_at: None,
            start_bounds: StartBounds { previous_last_heard: Micros::MIN, first_listed_at },
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

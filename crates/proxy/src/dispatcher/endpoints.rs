//! The dispatcher's part in the endpoint list: members that appear, move, drain and go, and an actor for each.

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

/// A member's actor, as the dispatcher sees it.
pub(super) struct MemberEntry {
    pub(super) group: u64,
    pub(super) zone: usize,
    /// Whether the endpoint list has it in service.
    ready: bool,
    pub(super) commands: mpsc::Sender<MemberCommand>,
    /// Since when its oldest idle connection has been idle.
    pub(super) oldest_idle_since: Rc<Cell<Option<Instant>>>,
    /// Whether the endpoint list lets it receive anything new; its actor watches this.
    accepts_requests: watch::Sender<bool>,
    last_heard: LastHeard,
    address: SocketAddr,
    /// When it was last started, as the endpoint list says: Unix time in milliseconds, zero for long ago.
    up_since_ms: f64,
    /// When it was last started, on the router's clock, within the bounds; `None` for long ago.
    pub(super) started_at: Option<Micros>,
    started_within: StartBounds,
    /// How many of its responses have told the router that it is a replica.
    pub(super) replica_reports: u64,
}

/// Bounds on when a member was last started, in microseconds on the router's clock.
struct StartBounds {
    /// When its former incarnation was last heard; `Micros::MIN` where that is not known.
    former_last_heard: Micros,
    /// When the endpoint list first named this start.
    first_listed: Micros,
}

impl MemberEntry {
    /// When it was last started, on the router's clock; `None` for long ago. The endpoint list's time counts only within
    /// the bounds, as the wall clock may have been wrong when this process started. `offset` is how far the members' clock
    /// is ahead of the router's, in microseconds.
    pub(super) fn started(&self, offset: Micros) -> Option<Micros> {
        let listed = (self.up_since_ms > 0.0).then_some((self.up_since_ms * 1000.0) as Micros)?;
        let StartBounds { former_last_heard, first_listed } = self.started_within;
        Some(listed.saturating_sub(offset).max(former_last_heard).min(first_listed))
    }

    /// The endpoint list names another start, that is a new incarnation. `was_accepting` says whether the former one could
    /// be sent requests until now.
    fn record_restart(&mut self, up_since_ms: f64, was_accepting: bool, clock: Clock, offset: Micros) {
        self.up_since_ms = up_since_ms;
        let former =
            self.last_heard.previous_incarnation_last_heard(was_accepting).map(|heard| clock.at(heard));
        let former_last_heard = former.unwrap_or(Micros::MIN);
        self.started_within = StartBounds { former_last_heard, first_listed: clock.now() };
        self.started_at = self.started(offset);
    }

    /// Has the member's actor connect anew. Where its mailbox is full the former address is kept, so that a later list tries
    /// again.
    fn reconnect(&mut self, address: SocketAddr) {
        if self.commands.try_send(MemberCommand::Reconnect(address)).is_ok() {
            self.address = address;
        }
    }
}

impl Dispatcher {
    /// Takes in the whole endpoint list, changes to it, or that it is unavailable, and carries out what follows.
    pub(super) fn list_update(&mut self, list_update: ListUpdate) {
        let now = self.context.clock.now();
        let actions = match list_update {
            ListUpdate::Unavailable => self.decide(|router| ((), router.list_unavailable(now))).1,
            ListUpdate::Received(list) => self.list_received(now, &list),
        };
        self.carry_out(actions);
        self.forget_gone_members(now);
        self.report_groups_to_sites();
        if !self.members.is_empty() {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Starts and updates members' actors, and has the router decide with the list.
    fn list_received(&mut self, now: Micros, list: &EndpointList) -> Actions {
        info!(self.context.log, "endpoint list received"; "revision" => list.revision,
            "complete" => list.complete, "endpoints" => list.endpoints.len());
        let listed = self.listed_members(list);
        let ((), actions) =
            self.decide(|router| ((), router.update_endpoint_list(now, list.complete, listed.clone())));
        self.use_restored_state(list);
        actions
    }

    /// Reports to the gateway part how many ready members each group has at this site.
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

    /// Drops the actor, the connections and the index of members that are gone and of which no more reports can come.
    fn forget_gone_members(&mut self, now: Micros) {
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

    /// The endpoints in the router's form. Their actors act by the list from here on.
    fn listed_members(&mut self, list: &EndpointList) -> Vec<ListedMember> {
        if list.complete {
            self.stop_using_unlisted(list);
        }
        list.endpoints.iter().filter_map(|endpoint| self.listed_member(endpoint)).collect()
    }

    /// Members that a complete list does not name are gone.
    fn stop_using_unlisted(&mut self, list: &EndpointList) {
        let listed: HashSet<&str> = list.endpoints.iter().map(|endpoint| endpoint.id.as_str()).collect();
        let accepts_requests = self.accepts_requests(MemberStatus::Unlisted);
        for (_, &id) in self.member_ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(known) = &mut self.members[id] {
                known.accepts_requests.send_replace(accepts_requests);
                known.ready = false;
            }
        }
    }

    /// Whether a member may be sent anything new. One that is gone may, where the settings bind only draining members.
    fn accepts_requests(&self, standing: MemberStatus) -> bool {
        match standing {
            MemberStatus::Ready => true,
            MemberStatus::Draining => false,
            MemberStatus::Unlisted => self.decoded.router_config.unlisted_members_usable,
        }
    }

    /// One endpoint in the router's form; `None` where it has no usable address, or is gone and was never known.
    fn listed_member(&mut self, endpoint: &Endpoint) -> Option<ListedMember> {
        let Ok(address) = endpoint.host_port.parse::<SocketAddr>() else {
            warn!(self.context.log, "list endpoint without a usable address, left out";
                "member" => &endpoint.id, "host_port" => &endpoint.host_port);
            return None;
        };
        let standing = endpoint.status();
        let member = match self.member_ids.get(&endpoint.id) {
            Some(&member) => member,
            None if standing == MemberStatus::Unlisted => return None,
            None => self.start_member(endpoint, address),
        };
        self.update_member(member, endpoint, address);
        let since = self.members[member].as_ref()?.started_at;
        self.groups.insert(endpoint.group);
        Some(ListedMember {
            member,
            name: endpoint.id.clone(),
            group: endpoint.group,
            zone: self.decoded.zone_index(&endpoint.zone),
            status: standing,
            started_at: since,
            size: self.decoded.member_size(endpoint.size),
            is_primary: endpoint.is_primary(),
        })
    }

    /// Applies what the endpoint list says to a known member.
    fn update_member(&mut self, member: MemberId, endpoint: &Endpoint, address: SocketAddr) {
        let clock = self.context.clock;
        let offset = self.reported_offset;
        let standing = endpoint.status();
        let accepts_requests = self.accepts_requests(standing);
        let Some(known) = &mut self.members[member] else { return };
        let was_accepting = known.accepts_requests.send_replace(accepts_requests);
        known.group = endpoint.group;
        known.zone = self.decoded.zone_index(&endpoint.zone);
        known.ready = standing == MemberStatus::Ready;
        let restarted = known.ready && known.up_since_ms != endpoint.up_since_ms;
        if restarted {
            known.record_restart(endpoint.up_since_ms, was_accepting, clock, offset);
        }
        if restarted || known.address != address {
            known.reconnect(address);
        }
    }

    /// The router is about to receive these reports, and decides with them from now on.
    pub(super) fn note_replica_reports(&mut self, reports: ReplicaReports) {
        if let Some(known) = self.members.get_mut(reports.member).and_then(Option::as_mut) {
            known.replica_reports = known.replica_reports.max(reports.count);
        }
    }

    /// Starts the actor of a member that was never listed before.
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
        let first_listed = self.context.clock.now();
        let mut known = MemberEntry {
            group: endpoint.group,
            zone: self.decoded.zone_index(&endpoint.zone),
            ready: false,
            commands,
            oldest_idle_since,
            accepts_requests,
            last_heard,
            address,
            up_since_ms: endpoint.up_since_ms,
            started_at: None,
            started_within: StartBounds { former_last_heard: Micros::MIN, first_listed },
            replica_reports: 0,
        };
        known.started_at = known.started(self.reported_offset);
        if id == self.members.len() {
            self.members.push(None);
        }
        self.members[id] = Some(known);
        self.member_ids.insert(endpoint.id.clone(), id);
        id
    }
}

//! The endpoint list: members that are added, move, drain and go, and an actor for each.

use std::cell::Cell;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::{Actions, Listed, MemberId, Micros, Standing};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::Dispatcher;
use crate::discovery::endpoint_list::{EndpointList, Entry};
use crate::lifecycle::clock::Clock;
use crate::member::{LastHeard, Member};
use crate::messages::{ListUpdate, MemberCommand, ReplicaReports};

/// A member's actor, as the dispatcher sees it.
pub(super) struct MemberEntry {
    pub(super) group: u64,
    pub(super) zone: usize,
    /// Whether the list says that it serves.
    ready: bool,
    pub(super) commands: mpsc::Sender<MemberCommand>,
    /// Since when its oldest idle connection has been idle.
    pub(super) resting: Rc<Cell<Option<Instant>>>,
    /// Whether the last list lets anything new be sent there.
    accepts_requests: watch::Sender<bool>,
    last_heard: LastHeard,
    address: SocketAddr,
    /// Its last start as the list tells it: Unix time in milliseconds.
    up_since_ms: f64,
    /// Its last start as it is believed, on the router's clock.
    pub(super) since: Option<Micros>,
    started_within: StartBounds,
    /// How often the router has heard it say that it is a replica.
    pub(super) replica_reports: u64,
}

/// Between what a member's last start must lie, on the router's clock.
struct StartBounds {
    /// When its former incarnation was last heard.
    former_heard: Micros,
    /// When the list first told of the start.
    first_told: Micros,
}

impl MemberEntry {
    /// Its last start on the router's clock, by the list, where zero is long ago. It lies neither in the future nor
    /// before its former incarnation was last heard, whatever the wall clock was when this process started. `offset`
    /// is what the members' clock is ahead, in microseconds.
    pub(super) fn started(&self, offset: Micros) -> Option<Micros> {
        let told = (self.up_since_ms > 0.0).then_some((self.up_since_ms * 1000.0) as Micros)?;
        let StartBounds { former_heard, first_told } = self.started_within;
        Some(told.saturating_sub(offset).max(former_heard).min(first_told))
    }

    /// The list tells of another start: a new incarnation. `accepted` says whether the former one was in use until now.
    fn restarted(&mut self, up_since_ms: f64, accepted: bool, clock: Clock, offset: Micros) {
        self.up_since_ms = up_since_ms;
        let former = self.last_heard.former_life(accepted).map(|heard| clock.at(heard));
        let former_heard = former.unwrap_or(Micros::MIN);
        self.started_within = StartBounds { former_heard, first_told: clock.now() };
        self.since = self.started(offset);
    }

    /// Tells the member's actor to connect anew, unless its mailbox is full: the former address is kept then, so that a
    /// later list tries again.
    fn reconnect(&mut self, address: SocketAddr) {
        if self.commands.try_send(MemberCommand::Reconnect(address)).is_ok() {
            self.address = address;
        }
    }
}

impl Dispatcher {
    /// Discovery told the whole list or changes, or that it is unavailable.
    pub(super) fn list_update(&mut self, list_update: ListUpdate) {
        let now = self.context.clock.now();
        let actions = match list_update {
            ListUpdate::Unavailable => self.decide(|router| ((), router.list_unavailable(now))).1,
            ListUpdate::Received(catalog) => self.list_received(now, &catalog),
        };
        self.carry_out(actions);
        self.forget_gone_members(now);
        self.report_groups_to_sites();
        if !self.members.is_empty() {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    fn list_received(&mut self, now: Micros, catalog: &EndpointList) -> Actions {
        info!(self.context.log, "list"; "revision" => catalog.revision,
            "complete" => catalog.complete, "entries" => catalog.members.len());
        let listed = self.listed_members(catalog);
        let ((), actions) = self.decide(|router| ((), router.list(now, catalog.complete, listed.clone())));
        self.use_restored_state(catalog);
        actions
    }

    /// Tells the gateway part how many ready members each group has here.
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

    /// Lets go of members that are gone and will not be heard of again: actor, connections and index.
    fn forget_gone_members(&mut self, now: Micros) {
        let Dispatcher { router, members, member_ids, clock_offset, .. } = self;
        member_ids.retain(|_, &mut id| {
            let forgotten = router.forget(now, id);
            if forgotten {
                members[id] = None;
                clock_offset.forget(id);
            }
            !forgotten
        });
    }

    /// The list as the router takes it. What it says of members holds from here on.
    fn listed_members(&mut self, catalog: &EndpointList) -> Vec<Listed> {
        if catalog.complete {
            self.stop_using_unlisted(catalog);
        }
        catalog.members.iter().filter_map(|entry| self.listed_member(entry)).collect()
    }

    /// Members that a complete list does not name are gone.
    fn stop_using_unlisted(&mut self, catalog: &EndpointList) {
        let listed: HashSet<&str> = catalog.members.iter().map(|entry| entry.id.as_str()).collect();
        let accepts_requests = self.accepts_requests(Standing::Gone);
        for (_, &id) in self.member_ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
            if let Some(known) = &mut self.members[id] {
                known.accepts_requests.send_replace(accepts_requests);
                known.ready = false;
            }
        }
    }

    /// The rule on drains: where only draining members are bound by it, others may be asked still.
    fn accepts_requests(&self, standing: Standing) -> bool {
        match standing {
            Standing::Ready => true,
            Standing::Draining => false,
            Standing::Gone => self.decoded.terms.only_draining_binds,
        }
    }

    /// One entry of the list; `None` where it is of no use.
    fn listed_member(&mut self, entry: &Entry) -> Option<Listed> {
        let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
            warn!(self.context.log, "list entry without a usable address, left out";
                "member" => &entry.id, "host_port" => &entry.host_port);
            return None;
        };
        let standing = entry.standing();
        let member = match self.member_ids.get(&entry.id) {
            Some(&member) => member,
            None if standing == Standing::Gone => return None,
            None => self.start_member(entry, address),
        };
        self.update_member(member, entry, address);
        let since = self.members[member].as_ref()?.since;
        self.groups.insert(entry.cell);
        Some(Listed {
            member,
            name: entry.id.clone(),
            group: entry.cell,
            zone: self.decoded.zone(&entry.locality),
            standing,
            since,
            size: self.decoded.size(entry.size),
            primary: entry.is_primary(),
        })
    }

    /// Takes in what the list says of a known member.
    fn update_member(&mut self, member: MemberId, entry: &Entry, address: SocketAddr) {
        let (clock, offset) = (self.context.clock, self.reported_offset);
        let standing = entry.standing();
        let accepts_requests = self.accepts_requests(standing);
        let Some(known) = &mut self.members[member] else { return };
        let accepted = known.accepts_requests.send_replace(accepts_requests);
        known.group = entry.cell;
        known.zone = self.decoded.zone(&entry.locality);
        known.ready = standing == Standing::Ready;
        let restarted = known.ready && known.up_since_ms != entry.up_since_ms;
        if restarted {
            known.restarted(entry.up_since_ms, accepted, clock, offset);
        }
        if restarted || known.address != address {
            known.reconnect(address);
        }
    }

    /// The router is about to hear these reports, and decides with them from now on.
    pub(super) fn note_replica_reports(&mut self, reports: ReplicaReports) {
        if let Some(known) = self.members.get_mut(reports.member).and_then(Option::as_mut) {
            known.replica_reports = known.replica_reports.max(reports.count);
        }
    }

    /// Starts the actor of a member that was never listed before.
    fn start_member(&mut self, entry: &Entry, address: SocketAddr) -> MemberId {
        let id = self.members.iter().position(Option::is_none).unwrap_or(self.members.len());
        let (commands, mailbox) = mpsc::channel(self.context.limits.queues.member);
        let (accepts_requests, accepting) = watch::channel(self.accepts_requests(entry.standing()));
        let resting = Rc::new(Cell::new(None));
        let last_heard = LastHeard::default();
        let member = Member::new(
            self.context.clone(),
            id,
            entry.id.clone(),
            address,
            accepting,
            resting.clone(),
            last_heard.clone(),
        );
        spawn_local(member.run(mailbox));
        let first_told = self.context.clock.now();
        let mut known = MemberEntry {
            group: entry.cell,
            zone: self.decoded.zone(&entry.locality),
            ready: false,
            commands,
            resting,
            accepts_requests,
            last_heard,
            address,
            up_since_ms: entry.up_since_ms,
            since: None,
            started_within: StartBounds { former_heard: Micros::MIN, first_told },
            replica_reports: 0,
        };
        known.since = known.started(self.reported_offset);
        if id == self.members.len() {
            self.members.push(None);
        }
        self.members[id] = Some(known);
        self.member_ids.insert(entry.id.clone(), id);
        id
    }
}

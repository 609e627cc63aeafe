//! What the list says: members come, move, drain and go, and an actor for each.

use std::cell::Cell;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::{Listed, MemberId, Micros, Standing};
use slog::{info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::Desk;
use crate::catalog::{Catalog, Entry};
use crate::member::{LastHeard, Member};
use crate::words::{Bulletin, MemberCommand};

/// A member's actor, as the desk sees it.
pub(super) struct Peer {
    pub(super) group: u64,
    pub(super) zone: usize,
    pub(super) ready: bool,
    pub(super) commands: mpsc::Sender<MemberCommand>,
    /// Since when its oldest idle connection has rested.
    pub(super) resting: Rc<Cell<Option<Instant>>>,
    /// Whether the list's last word lets anything new be sent there.
    pub(super) open: watch::Sender<bool>,
    last_heard: LastHeard,
    pub(super) address: SocketAddr,
    /// Its last start as the list tells it, and as it is believed, on the router's clock.
    pub(super) up_since: f64,
    pub(super) since: Option<Micros>,
    /// Between what it must lie: when its former life was last heard, and when it was first told.
    pub(super) started_within: (Micros, Micros),
    /// How often the router has heard it say that it is a replica.
    pub(super) replica_words: u64,
}

impl Peer {
    /// Its last start on the router's clock, by the list's word, where zero is long ago. It lies neither in the future nor
    /// before its former life was last heard, whatever the wall clock was when this process started. `offset` is what
    /// the members' clock is ahead.
    pub(super) fn started(&self, offset: Micros) -> Option<Micros> {
        let told = (self.up_since > 0.0).then_some((self.up_since * 1000.0) as Micros)?;
        let (former_heard, first_told) = self.started_within;
        Some(told.saturating_sub(offset).max(former_heard).min(first_told))
    }
}

impl Desk {
    pub(super) fn bulletin(&mut self, bulletin: Bulletin) {
        let now = self.context.clock.now();
        let todo = match bulletin {
            Bulletin::Unavailable => self.ask(|router| ((), router.list_unavailable(now))).1,
            Bulletin::List(catalog) => {
                info!(self.context.log, "list"; "revision" => catalog.revision,
                    "complete" => catalog.complete, "entries" => catalog.members.len());
                let lines = self.lines(&catalog);
                let todo = self.ask(|router| ((), router.list(now, catalog.complete, lines.clone()))).1;
                self.warm_up(&catalog);
                todo
            }
        };
        self.carry_out(todo);
        self.forget(now);
        if self.hub.is_some() {
            let mut groups: BTreeMap<u64, usize> = BTreeMap::new();
            for peer in self.peers.iter().flatten().filter(|peer| peer.ready) {
                *groups.entry(peer.group).or_default() += 1;
            }
            self.groups_listed(&groups.into_iter().collect::<Vec<_>>());
        }
        if !self.peers.is_empty() {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
    }

    /// Lets go of members that are gone and will not be heard of again: actor, connections and index.
    fn forget(&mut self, now: Micros) {
        let Desk { router, peers, member_ids, clock_offset, .. } = self;
        member_ids.retain(|_, &mut id| {
            let forgotten = router.forget(now, id);
            if forgotten {
                peers[id] = None;
                clock_offset.forget(id);
            }
            !forgotten
        });
    }

    fn lines(&mut self, catalog: &Catalog) -> Vec<Listed> {
        if catalog.complete {
            let listed: HashSet<&str> = catalog.members.iter().map(|entry| entry.id.as_str()).collect();
            let open = self.lets_send(Standing::Gone);
            for (_, &id) in self.member_ids.iter().filter(|(name, _)| !listed.contains(name.as_str())) {
                if let Some(peer) = &mut self.peers[id] {
                    peer.open.send_replace(open);
                    peer.ready = false;
                }
            }
        }
        catalog.members.iter().filter_map(|entry| self.line(entry)).collect()
    }

    /// The rule on drains: where only draining members are bound by it, others may be asked still.
    fn lets_send(&self, standing: Standing) -> bool {
        match standing {
            Standing::Ready => true,
            Standing::Draining => false,
            Standing::Gone => self.decoded.terms.only_draining_binds,
        }
    }

    fn line(&mut self, entry: &Entry) -> Option<Listed> {
        let Ok(address) = entry.host_port.parse::<SocketAddr>() else {
            warn!(self.context.log, "list entry without a usable address, left out";
                "member" => &entry.id, "host_port" => &entry.host_port);
            return None;
        };
        let standing = entry.standing();
        let member = match self.member_ids.get(&entry.id) {
            Some(&member) => member,
            None if standing == Standing::Gone => return None,
            None => self.meet(entry, address),
        };
        let (clock, offset) = (self.context.clock, self.told_offset);
        let open = self.lets_send(standing);
        let peer = self.peers[member].as_mut()?;
        let was_open = peer.open.send_replace(open);
        (peer.group, peer.zone) = (entry.cell, self.decoded.zone(&entry.locality));
        peer.ready = standing == Standing::Ready;
        let restarted = peer.up_since != entry.up_since_ms && standing == Standing::Ready;
        if restarted {
            peer.up_since = entry.up_since_ms;
            let former = peer.last_heard.former_life(was_open).map(|heard| clock.at(heard));
            peer.started_within = (former.unwrap_or(Micros::MIN), clock.now());
            peer.since = peer.started(offset);
        }
        if (restarted || peer.address != address)
            && peer.commands.try_send(MemberCommand::Renew(address)).is_ok()
        {
            peer.address = address;
        }
        let since = peer.since;
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

    /// The router is about to hear this word, and decides with it from now on.
    pub(super) fn said_replica(&mut self, member: MemberId, words: u64) {
        if let Some(peer) = self.peers.get_mut(member).and_then(Option::as_mut) {
            peer.replica_words = peer.replica_words.max(words);
        }
    }

    /// Starts the actor of a member that was never listed before.
    fn meet(&mut self, entry: &Entry, address: SocketAddr) -> MemberId {
        let id = self.peers.iter().position(Option::is_none).unwrap_or(self.peers.len());
        let (commands, mailbox) = mpsc::channel(self.context.limits.commands);
        let (open, seen) = watch::channel(self.lets_send(entry.standing()));
        let (resting, last_heard) = (Rc::new(Cell::new(None)), LastHeard::default());
        let member = Member::new(
            self.context.clone(),
            id,
            entry.id.clone(),
            address,
            seen,
            resting.clone(),
            last_heard.clone(),
        );
        spawn_local(member.run(mailbox));
        if id == self.peers.len() {
            self.peers.push(None);
        }
        let (group, ready, zone) = (entry.cell, false, self.decoded.zone(&entry.locality));
        let mut peer = Peer {
            group,
            zone,
            ready,
            commands,
            resting,
            open,
            last_heard,
            address,
            up_since: entry.up_since_ms,
            since: None,
            started_within: (Micros::MIN, self.context.clock.now()),
            replica_words: 0,
        };
        peer.since = peer.started(self.told_offset);
        self.peers[id] = Some(peer);
        self.member_ids.insert(entry.id.clone(), id);
        id
    }
}

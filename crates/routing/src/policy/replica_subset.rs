//! The subset of replicas that a router uses when there are more members than it has requests for.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, TICK};
use crate::state::{Group, Member, PendingRequest, Router};
use crate::{MemberId, Micros};

/// Number of members up to which a router uses all of them alike. It lies between the largest usual number of
/// members (120) and the smallest one that was measured with descriptors or connections beyond their limits
/// (320).
///
/// The value is not derived. The actual limit is the number of descriptors that a process has for members
/// (about 87 of 256), which this crate is not told. What it is told implies no limit: 60 attempts a second
/// reuse each of 1,800 connections within the 30 s that one may be idle. The cost: a process with few
/// descriptors keeps reopening connections even below 100 members, and a process with many descriptors uses
/// fewer replicas than it could below 300 members.
const MAX_MEMBERS_WITHOUT_SUBSET: usize = 128;
/// Time within which an idle connection must be reused to be worth keeping, in microseconds.
const REUSE_INTERVAL: Micros = 1_000 * MS;
/// Minimum number of a group's members that a router uses.
const MIN_SUBSET: usize = 1;
/// Keeps what is derived from a router's seed independent of the random numbers drawn from the same seed.
const SEED_SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the attempts per tick that a router assumes until it has counted its own: enough to use a quarter
/// of [`MAX_MEMBERS_WITHOUT_SUBSET`] members.
pub(super) fn initial_attempts_per_tick() -> f64 {
    MAX_MEMBERS_WITHOUT_SUBSET as f64 / 4.0 * TICK as f64 / REUSE_INTERVAL as f64
}

/// Spreads consecutive seeds over the whole range of `u64`.
pub(super) fn scramble_seed(seed: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT).random()
}

/// Returns the rank of a member in a router's order of preference, lowest first, by rendezvous hashing: the
/// routers together spread evenly over the members, and a member that joins or leaves does not change the
/// order of the others.
fn preference(salt: u64, name: &str) -> u64 {
    let hashed = name.bytes().fold(salt, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let mixed = (hashed ^ (hashed >> 32)).wrapping_mul(SEED_SALT);
    mixed ^ (mixed >> 29)
}

impl Router {
    /// Returns whether there are more members than a router can keep connections to.
    pub(super) fn uses_subset(&self) -> bool {
        self.members.len() > MAX_MEMBERS_WITHOUT_SUBSET
    }

    /// Adds a member to its group's lists, which are sorted by name and by preference.
    pub(super) fn add_to_group(&mut self, group: usize, id: MemberId) {
        let salt = self.salt;
        let all_members = &self.members;
        let name = |id: MemberId| all_members[id].name.as_str();
        let Group { members, by_preference, .. } = &mut self.groups[group];
        let at = members.partition_point(|&other| name(other) <= name(id));
        members.insert(at, id);
        let key = |id: MemberId| (preference(salt, name(id)), name(id));
        let at = by_preference.partition_point(|&other| key(other) <= key(id));
        by_preference.insert(at, id);
    }

    /// Returns how many members of the group this router uses: as many as its requests reuse connections to,
    /// divided among the groups by their size. `usize::MAX` if it uses all members.
    pub(super) fn subset_size(&self, group: &Group) -> usize {
        if !self.uses_subset() {
            return usize::MAX;
        }
        let reused_connections = self.stall_pacing.recent_attempts() * REUSE_INTERVAL as f64 / TICK as f64;
        let group_share = group.members.len() as f64 / self.members.len() as f64;
        ((reused_connections * group_share).round() as usize).max(MIN_SUBSET)
    }

    /// Returns the members among which a read is drawn: of those that may take it, the first few by
    /// preference, and the primary. If there are none, or with `ignore_subset`, it returns all members that
    /// may take the read.
    ///
    /// Without a subset, every router would open a connection to each of very many members and close it
    /// unused. Members that fail, drain, are blacklisted, lag or have no capacity are skipped, and the next
    /// ones by preference take their place. The cost: less choice among fresh replicas.
    pub(super) fn read_subset(
        &self,
        now: Micros,
        pending: &PendingRequest,
        floor: Micros,
        ignore_subset: bool,
    ) -> Vec<MemberId> {
        let group = &self.groups[pending.group];
        let is_allowed = |id: &MemberId| self.may_read_from(now, pending, *id);
        let subset_size = self.subset_size(group);
        if ignore_subset || subset_size >= group.members.len() {
            return group.members.iter().copied().filter(is_allowed).collect();
        }
        let is_not_avoided =
            |id: &MemberId| self.members[*id].blacklist.allows(now) && Some(*id) != pending.last_member;
        let is_behind = |id: MemberId| {
            let Member { position, last_heard_at, .. } = self.members[id];
            position < floor && now - last_heard_at < self.catch_up_check_interval(id, floor)
        };
        let can_take = |id: &MemberId| {
            Some(*id) != group.primary
                && is_not_avoided(id)
                && !is_behind(*id)
                && self.available_capacity(now, *id) > 0.0
        };
        let chosen =
            group.by_preference.iter().copied().filter(is_allowed).filter(can_take).take(subset_size);
        let mut chosen: Vec<MemberId> = chosen.chain(group.primary.filter(is_allowed)).collect();
        if chosen.is_empty() {
            chosen = group.members.iter().copied().filter(is_allowed).collect();
        }
        chosen
    }

    /// Closes the idle connections to a member outside the subset, which were opened only to learn whether it
    /// is the primary. Otherwise searches through large groups use up descriptors and the members'
    /// connections. The cost: a handshake if the member is used next.
    pub(super) fn close_if_outside_subset(&mut self, id: MemberId) {
        let Some(member) = self.members.get(id).filter(|_| self.uses_subset()) else { return };
        let group = &self.groups[member.group];
        let mut kept = group.by_preference.iter().take(self.subset_size(group)).chain(&group.primary);
        if member.in_flight.is_empty() && !kept.any(|&kept| kept == id) {
            self.actions.close_idle.push(id);
        }
    }
}

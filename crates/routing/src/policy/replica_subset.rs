//! The replicas that this router keeps to, where there are more members than it has requests for.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, TICK};
use crate::state::{Group, Member, PendingRequest, Router};
use crate::{MemberId, Micros};

/// Up to this number of members a router uses all of them alike. A figure of our own, between the largest usual fleet (120
/// members) and the smallest that was measured with descriptors or connections beyond their bounds (320). It
/// is not derived: what bounds it is how many descriptors a process has for members (some 87 of 256), which
/// this package is not told. What it is told gives no bound: 60 attempts a second use each of 1,800
/// connections again within the 30 s that one may rest. The cost: a process with few descriptors opens connections
/// again and again before it has 100 members, and one with many uses fewer replicas than it could before 300.
const MAX_MEMBERS_USED_ALIKE: usize = 128;
/// An idle connection that is used again within this time is worth keeping.
const REUSED_WITHIN: Micros = 1_000 * MS;
/// The least number of a group's members that a router uses.
const MIN_SUBSET: usize = 1;
/// Keeps what is derived from a router's seed apart from what it draws.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Attempts in a beat, taken for usual until a router knows: enough for a quarter of those members.
pub(super) fn at_start() -> f64 {
    MAX_MEMBERS_USED_ALIKE as f64 / 4.0 * TICK as f64 / REUSED_WITHIN as f64
}

/// Spreads seeds that follow one another over all numbers.
pub(super) fn salt(seed: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(seed ^ SALT).random()
}

/// How much a router prefers a member: by rendezvous hashing, so that all routers together spread evenly, and
/// a member that comes or goes moves nothing else.
fn preference(salt: u64, name: &str) -> u64 {
    let hashed = name.bytes().fold(salt, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
    let mixed = (hashed ^ (hashed >> 32)).wrapping_mul(SALT);
    mixed ^ (mixed >> 29)
}

impl Router {
    /// There are more members than a router can keep connections to.
    pub(super) fn uses_subset(&self) -> bool {
        self.members.len() > MAX_MEMBERS_USED_ALIKE
    }

    /// Enters a member into its group, by name and by preference.
    pub(super) fn add_to_group(&mut self, group: usize, id: MemberId) {
        let salt = self.salt;
        let all = &self.members;
        let name = |id: MemberId| all[id].name.as_str();
        let Group { members, preferred, .. } = &mut self.groups[group];
        let at = members.partition_point(|&other| name(other) <= name(id));
        members.insert(at, id);
        let key = |id: MemberId| (preference(salt, name(id)), name(id));
        let at = preferred.partition_point(|&other| key(other) <= key(id));
        preferred.insert(at, id);
    }

    /// How many members of the group this router keeps to: as many as its requests use again and again,
    /// shared out among the groups by their size.
    pub(super) fn subset_size(&self, group: &Group) -> usize {
        if !self.uses_subset() {
            return usize::MAX;
        }
        let reused = self.stall_pacing.recent_attempts() * REUSED_WITHIN as f64 / TICK as f64;
        let part = group.members.len() as f64 / self.members.len() as f64;
        ((reused * part).round() as usize).max(MIN_SUBSET)
    }

    /// The members among which a read is drawn: of those that may take it the first few by preference, and
    /// the primary. Otherwise every router would open a connection to each of very many members and close it unused.
    /// Members that fail, drain, are blacklisted, lag or have no capacity are passed over, and the next ones stand in for
    /// them. The cost: less choice among fresh replicas.
    pub(super) fn read_subset(
        &self,
        now: Micros,
        pending: &PendingRequest,
        floor: Micros,
        all: bool,
    ) -> Vec<MemberId> {
        let group = &self.groups[pending.group];
        let may = |id: &MemberId| self.may_read_from(now, pending, *id);
        let kept = self.subset_size(group);
        if all || kept >= group.members.len() {
            return group.members.iter().copied().filter(may).collect();
        }
        let listed =
            |id: &MemberId| self.members[*id].blacklist.allows(now) && Some(*id) != pending.last_member;
        let behind = |id: MemberId| {
            let Member { position, last_heard_at, .. } = self.members[id];
            position < floor && now - last_heard_at < self.catch_up_check_interval(id, floor)
        };
        let takes = |id: &MemberId| {
            Some(*id) != group.primary
                && listed(id)
                && !behind(*id)
                && self.available_capacity(now, *id) > 0.0
        };
        let found = group.preferred.iter().copied().filter(may).filter(takes).take(kept);
        let mut found: Vec<MemberId> = found.chain(group.primary.filter(may)).collect();
        if found.is_empty() {
            found = group.members.iter().copied().filter(may).collect();
        }
        found
    }

    /// Closes what was opened to a member only to learn whether it is the primary. Otherwise searches through large groups
    /// use up descriptors and members' connections. The cost: a handshake, if the member is used next.
    pub(super) fn close_unless_kept(&mut self, id: MemberId) {
        let Some(member) = self.members.get(id).filter(|_| self.uses_subset()) else { return };
        let group = &self.groups[member.group];
        let mut kept = group.preferred.iter().take(self.subset_size(group)).chain(&group.primary);
        if member.in_flight.is_empty() && !kept.any(|&kept| kept == id) {
            self.actions.close_idle.push(id);
        }
    }
}

//! The replicas that this router keeps to, where there are more members than it has requests for.

use super::*;

/// Up to so many members a router uses all alike. A figure of our own, between the largest usual fleet (120
/// members) and the smallest that was measured with descriptors or connections beyond their bounds (320). It
/// is not derived: what bounds it is how many descriptors a process has for members (some 87 of 256), which
/// this module is not told. What it is told gives no bound: 60 attempts a second use each of 1,800
/// connections again within the 30 s that one may rest. Harms processes with few descriptors before 100
/// members, which open connections again and again, and those with many before 300, which use fewer replicas
/// than they could.
const KEPT_MEMBERS: usize = 128;
/// An idle connection that is used again within this time is worth keeping.
const REUSED_WITHIN: Micros = 1_000 * MS;
/// Of a group's members no fewer are kept to.
const LEAST_REPLICAS: usize = 1;
/// Keeps what is derived from a router's seed apart from what it draws.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Attempts in a beat, taken for usual until a router knows: enough for a quarter of those members.
pub(super) fn at_start() -> f64 {
    KEPT_MEMBERS as f64 / 4.0 * BEAT as f64 / REUSED_WITHIN as f64
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
    pub(super) fn keeps_to_some(&self) -> bool {
        self.members.len() > KEPT_MEMBERS
    }

    /// Enters a member into its group, by name and by preference.
    pub(super) fn enter(&mut self, group: usize, id: MemberId) {
        let (salt, all) = (self.salt, &self.members);
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
    pub(super) fn kept(&self, group: &Group) -> usize {
        if !self.keeps_to_some() {
            return usize::MAX;
        }
        let reused = self.stall_pacing.recent_attempts() * REUSED_WITHIN as f64 / BEAT as f64;
        let part = group.members.len() as f64 / self.members.len() as f64;
        ((reused * part).round() as usize).max(LEAST_REPLICAS)
    }

    /// The members among which a read is drawn: of those that may take it the first few by preference, and
    /// the primary. Protects descriptors and members' connections where every router would open one to each
    /// of very many members and close it unused. Members that fail, drain, are blacklisted, lag or have no
    /// room are passed over, and the next ones stand in for them. Harms by less choice among fresh replicas.
    pub(super) fn readable(
        &self,
        now: Micros,
        pending: &PendingRequest,
        floor: Micros,
        all: bool,
    ) -> Vec<MemberId> {
        let group = &self.groups[pending.group];
        let may = |id: &MemberId| self.may_follow(now, pending, *id);
        let kept = self.kept(group);
        if all || kept >= group.members.len() {
            return group.members.iter().copied().filter(may).collect();
        }
        let listed = |id: &MemberId| self.members[*id].blacklist.allows(now) && Some(*id) != pending.last;
        let behind = |id: MemberId| {
            let Member { position, heard, .. } = self.members[id];
            position < floor && now - heard < self.catches_up_in(id, floor)
        };
        let takes = |id: &MemberId| {
            Some(*id) != group.primary && listed(id) && !behind(*id) && self.room(now, *id) > 0.0
        };
        let found = group.preferred.iter().copied().filter(may).filter(takes).take(kept);
        let mut found: Vec<MemberId> = found.chain(group.primary.filter(may)).collect();
        if found.is_empty() {
            found = group.members.iter().copied().filter(may).collect();
        }
        found
    }

    /// Closes what was opened to a member only to hear whether it is the primary. Protects descriptors and
    /// members' connections from searches that go through large groups. Harms a member that is used next by a
    /// handshake.
    pub(super) fn part_with(&mut self, id: MemberId) {
        let Some(member) = self.members.get(id).filter(|_| self.keeps_to_some()) else { return };
        let group = &self.groups[member.group];
        let mut kept = group.preferred.iter().take(self.kept(group)).chain(&group.primary);
        if member.out.is_empty() && !kept.any(|&kept| kept == id) {
            self.actions.shut.push(id);
        }
    }
}

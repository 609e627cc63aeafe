//! How new the data of members is: positions, roles, sessions, and for how long a proof of freshness holds.

use super::SEND_DELAY_MARGIN;
use super::health_checks::{HEALTH_CHECK_EVERY, HEALTH_CHECK_NEEDED};
use super::sessions::Session;
use crate::state::{PendingRequest, RequestHandle, Router};
use crate::{Effect, MemberId, MemberReport, MemberStatus, Micros, Need, Outcome, Role, Validity, Verdict};

impl Router {
    /// Sets by how many microseconds the members' clock is ahead of this one, and when members started by
    /// this one.
    ///
    /// Guards bounded reads and slow start against a process whose wall clock is wrong; costs both when the
    /// caller's estimate is.
    pub fn set_members_clock(&mut self, offset: Micros, start_times: &[(MemberId, Option<Micros>)]) {
        self.clock_offset = offset;
        for &(id, started_at) in start_times {
            if let Some(member) = self.members.get_mut(id) {
                member.started_at = started_at;
            }
        }
    }

    /// The least time between two health checks of a member that is behind: half of what it lacks, as it may
    /// catch up at twice the pace of time.
    ///
    /// Guards the budget of health checks and the time of writes; costs up to a second when a member catches
    /// up faster.
    pub(super) fn catch_up_check_interval(&self, id: MemberId, floor: Micros) -> Micros {
        let position = self.members[id].position;
        let lag = if position == Micros::MIN { 0 } else { floor.saturating_sub(position) };
        (lag / 2).clamp(HEALTH_CHECK_NEEDED, HEALTH_CHECK_EVERY)
    }

    /// What must still hold when the attempt leaves.
    ///
    /// Guards reads and repeats against what comes between the decision and the last byte: a connection that
    /// comes up late, a primary that steps down, a window of repeats that ends, a process that is held up.
    /// Costs reads as much proof of freshness as [`SEND_DELAY_MARGIN`].
    pub(super) fn validity(&self, pending: &PendingRequest, id: MemberId) -> Validity {
        let effect = self.config.classes[pending.request.class].effect;
        let repeats_until = match (effect, pending.may_have_run) {
            (Effect::Deduplicated { window, .. }, Some(first_run)) => {
                first_run.sent_at + window - SEND_DELAY_MARGIN
            }
            _ => Micros::MAX,
        };
        let freshness = self.freshness_validity(pending, id);
        Validity { expires_at: repeats_until.min(freshness.expires_at), ..freshness }
    }

    /// For how long the member is proven fresh enough for the request.
    fn freshness_validity(&self, pending: &PendingRequest, id: MemberId) -> Validity {
        let member = &self.members[id];
        let is_confirmed_primary = self.groups[pending.group].primary == Some(id) && member.confirmed_primary;
        match self.config.classes[pending.request.class].need {
            Need::Write | Need::Any => Validity::UNLIMITED,
            _ if self.config.members_check_freshness => Validity::UNLIMITED,
            Need::Recent(bound) if !is_confirmed_primary => {
                let expires_at =
                    member.position.saturating_add(bound - SEND_DELAY_MARGIN - self.clock_offset);
                Validity { expires_at, requires_primary: false }
            }
            _ => Validity { expires_at: Micros::MAX, requires_primary: is_confirmed_primary },
        }
    }

    /// The session that a request writes to, where it is to be remembered.
    ///
    /// Guards its reads against a write whose answer was lost or is on its way; costs the primary these reads
    /// while such a write is in flight.
    pub(super) fn tracked_session(&mut self, handle: RequestHandle) -> Option<&mut Session> {
        let request = &self.pending_requests[&handle].request;
        let is_tracked_write =
            self.config.track_sessions && self.config.classes[request.class].need == Need::Write;
        if !is_tracked_write {
            return None;
        }
        let name = request.session.clone()?;
        Some(self.sessions.entry(name))
    }

    /// Takes in what a member reports of itself: true at `valid_at`, and asked for no earlier than `requested_at`.
    ///
    /// Guards against reports that come late or out of order: an older one never beats a newer one, and reads
    /// take a member for primary only by a report asked for after it was last heard to be a replica, which
    /// holds unless provably older, as positions never go back. Costs reads without a fresh replica a wait
    /// just after a failover.
    pub(super) fn record_report(
        &mut self,
        now: Micros,
        id: MemberId,
        report: MemberReport,
        requested_at: Micros,
        valid_at: Micros,
    ) {
        let member = &mut self.members[id];
        let position = report.position.unwrap_or(Micros::MIN);
        member.position = member.position.max(position);
        match report.role {
            Some(Role::Primary) if valid_at >= member.replica_since => {
                self.record_primary_report(id, position, requested_at, valid_at)
            }
            Some(Role::Replica) => {
                member.not_primary_at = member.not_primary_at.max(now - report.age);
                self.record_replica_report(now, id, position, valid_at);
            }
            _ => {}
        }
    }

    fn record_primary_report(
        &mut self,
        id: MemberId,
        position: Micros,
        requested_at: Micros,
        valid_at: Micros,
    ) {
        let member = &mut self.members[id];
        member.confirmed_primary |= requested_at >= member.replica_report_received_at;
        member.primary_position = member.primary_position.max(position);
        let group = &mut self.groups[member.group];
        let is_newer = valid_at >= group.primary_reported_at || group.primary.is_none();
        if member.status == MemberStatus::Ready && is_newer {
            group.primary = Some(id);
            group.primary_reported_at = valid_at;
        }
    }

    fn record_replica_report(&mut self, now: Micros, id: MemberId, position: Micros, valid_at: Micros) {
        let member = &mut self.members[id];
        let group = &mut self.groups[member.group];
        let is_newer = valid_at >= group.primary_reported_at || position >= member.primary_position;
        if is_newer && group.primary == Some(id) {
            group.primary = None;
            group.primary_reported_at = valid_at;
            group.search.round_started_at = now;
        }
        if is_newer || group.primary != Some(id) {
            member.confirmed_primary = false;
            member.replica_report_received_at = now;
            member.replica_since = member.replica_since.max(valid_at);
        }
    }

    /// A write of a session has ended: it was committed when its answer says, else by now if at all.
    pub(super) fn end_session_write(&mut self, now: Micros, handle: RequestHandle, outcome: &Outcome) {
        let verdict = outcome.verdict;
        let reported = outcome.report.position.filter(|_| verdict == Verdict::Served);
        let committed_at = if verdict.never_ran() { 0 } else { reported.unwrap_or(self.members_now(now)) };
        if let Some(session) = self.tracked_session(handle) {
            session.write_ended(committed_at);
        }
    }

    /// The position, by the members' clock, that a replica must have reached to serve the read.
    pub(super) fn position_floor(&self, now: Micros, pending: &PendingRequest, need: Need) -> Micros {
        match need {
            Need::Latest => self.members_now(pending.arrived_at),
            Need::OwnWrites => self.session_floor(now, pending),
            Need::Recent(bound) => self.members_now(now) - bound + SEND_DELAY_MARGIN,
            Need::Any | Need::Write => Micros::MIN,
        }
    }

    /// The newest write of the read's session, as far as the client says or this router remembers.
    fn session_floor(&self, now: Micros, pending: &PendingRequest) -> Micros {
        let client_reported = pending.request.last_write_age.map(|ago| pending.arrived_at - ago);
        let session = pending.request.session.as_ref();
        let remembered = session.and_then(|name| self.sessions.floor(name, self.members_now(now)));
        client_reported.max(remembered).unwrap_or(Micros::MIN)
    }
}

//! How new the data of members is: positions, roles, sessions, and for how long a proof of freshness holds.

use super::SEND_DELAY_MARGIN;
use super::health_checks::{HEALTH_CHECK_INTERVAL, URGENT_HEALTH_CHECK_INTERVAL};
use super::sessions::Session;
use crate::state::{PendingRequest, RequestHandle, Router};
use crate::{Effect, MemberId, MemberReport, Micros, Need, Outcome, Role, Standing, Validity, Verdict};

impl Router {
    /// Sets by how many microseconds the members' clock is ahead of this one, and when members started by
    /// this one.
    ///
    /// Guards bounded reads and slow start against a process whose wall clock is wrong; costs both when the
    /// caller's estimate is.
    pub fn members_clock(&mut self, offset: Micros, starts: &[(MemberId, Option<Micros>)]) {
        self.clock_offset = offset;
        for &(id, since) in starts {
            if let Some(member) = self.members.get_mut(id) {
                member.started_at = since;
            }
        }
    }

    /// The least time between two health checks of a member that is behind: half of what it lacks, as it may
    /// catch up at twice the pace of time.
    ///
    /// Guards the budget of health checks and the time of writes; costs up to a second when a member catches
    /// up faster.
    pub(super) fn time_to_catch_up(&self, id: MemberId, floor: Micros) -> Micros {
        let position = self.members[id].position;
        let lacks = if position == Micros::MIN { 0 } else { floor.saturating_sub(position) };
        (lacks / 2).clamp(URGENT_HEALTH_CHECK_INTERVAL, HEALTH_CHECK_INTERVAL)
    }

    /// What must still hold when the attempt leaves.
    ///
    /// Guards reads and repeats against what comes between the decision and the last byte: a connection that
    /// comes up late, a primary that steps down, a window of repeats that ends, a process that is held up.
    /// Costs reads as much proof of freshness as [`SEND_DELAY_MARGIN`].
    pub(super) fn validity(&self, pending: &PendingRequest, id: MemberId) -> Validity {
        let effect = self.terms.classes[pending.request.class].effect;
        let repeats_until = match (effect, pending.may_have_run) {
            (Effect::Deduplicated { window, .. }, Some(first)) => first.sent_at + window - SEND_DELAY_MARGIN,
            _ => Micros::MAX,
        };
        let fresh = self.freshness(pending, id);
        Validity { until: repeats_until.min(fresh.until), ..fresh }
    }

    /// For how long the member is proven fresh enough for the request.
    fn freshness(&self, pending: &PendingRequest, id: MemberId) -> Validity {
        let member = &self.members[id];
        let primary = self.groups[pending.group].primary == Some(id) && member.confirmed_primary;
        match self.terms.classes[pending.request.class].need {
            Need::Write | Need::Loose => Validity::LASTING,
            _ if self.terms.members_check => Validity::LASTING,
            Need::Recent(bound) if !primary => {
                let until = member.position.saturating_add(bound - SEND_DELAY_MARGIN - self.clock_offset);
                Validity { until, while_primary: false }
            }
            _ => Validity { until: Micros::MAX, while_primary: primary },
        }
    }

    /// The session that a request writes to, where it is to be remembered.
    ///
    /// Guards its reads against a write whose answer was lost or is on its way; costs the primary these reads
    /// while such a write is in flight.
    pub(super) fn session(&mut self, handle: RequestHandle) -> Option<&mut Session> {
        let request = &self.pending_requests[&handle].request;
        let writes = self.terms.remember_sessions && self.terms.classes[request.class].need == Need::Write;
        if !writes {
            return None;
        }
        let name = request.session.clone()?;
        Some(self.sessions.entry(name))
    }

    /// Takes in what a member reports of itself: true at `at`, and asked for no earlier than `asked`.
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
        asked: Micros,
        at: Micros,
    ) {
        let member = &mut self.members[id];
        let position = report.position.unwrap_or(Micros::MIN);
        member.position = member.position.max(position);
        match report.role {
            Some(Role::Primary) if at >= member.replica_since => {
                self.reported_primary(id, position, asked, at)
            }
            Some(Role::Replica) => {
                member.not_primary_at = member.not_primary_at.max(now - report.age);
                self.reported_replica(now, id, position, at);
            }
            _ => {}
        }
    }

    fn reported_primary(&mut self, id: MemberId, position: Micros, asked: Micros, at: Micros) {
        let member = &mut self.members[id];
        member.confirmed_primary |= asked >= member.replica_report_received_at;
        member.primary_position = member.primary_position.max(position);
        let group = &mut self.groups[member.group];
        let newer = at >= group.primary_reported_at || group.primary.is_none();
        if member.standing == Standing::Ready && newer {
            group.primary = Some(id);
            group.primary_reported_at = at;
        }
    }

    fn reported_replica(&mut self, now: Micros, id: MemberId, position: Micros, at: Micros) {
        let member = &mut self.members[id];
        let group = &mut self.groups[member.group];
        let newer = at >= group.primary_reported_at || position >= member.primary_position;
        if newer && group.primary == Some(id) {
            group.primary = None;
            group.primary_reported_at = at;
            group.search.round_started_at = now;
        }
        if newer || group.primary != Some(id) {
            member.confirmed_primary = false;
            member.replica_report_received_at = now;
            member.replica_since = member.replica_since.max(at);
        }
    }

    /// A write of a session has ended: it was committed when its answer says, else by now if at all.
    pub(super) fn end_session_write(&mut self, now: Micros, handle: RequestHandle, outcome: &Outcome) {
        let verdict = outcome.verdict;
        let reported = outcome.report.position.filter(|_| verdict == Verdict::Served);
        let commit = if verdict.never_ran() { 0 } else { reported.unwrap_or(self.members_now(now)) };
        if let Some(session) = self.session(handle) {
            session.write_ended(commit);
        }
    }

    /// The position, by the members' clock, that a replica must have reached to serve the read.
    pub(super) fn position_floor(&self, now: Micros, pending: &PendingRequest, need: Need) -> Micros {
        match need {
            Need::Latest => self.members_now(pending.arrived),
            Need::OwnWrites => self.session_floor(now, pending),
            Need::Recent(bound) => self.members_now(now) - bound + SEND_DELAY_MARGIN,
            Need::Loose | Need::Write => Micros::MIN,
        }
    }

    /// The newest write of the read's session, as far as the client says or this router remembers.
    fn session_floor(&self, now: Micros, pending: &PendingRequest) -> Micros {
        let said = pending.request.last_write.map(|ago| pending.arrived - ago);
        let session = pending.request.session.as_ref();
        let remembered = session.and_then(|name| self.sessions.floor(name, self.members_now(now)));
        said.max(remembered).unwrap_or(Micros::MIN)
    }
}

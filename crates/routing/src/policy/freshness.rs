//! Freshness of the data at members: positions, roles, writes of sessions, and how long a proof of freshness
//! holds.

use super::SEND_DELAY_MARGIN;
use super::health_checks::{HEALTH_CHECK_INTERVAL, URGENT_HEALTH_CHECK_INTERVAL};
use super::sessions::Session;
use crate::state::{PendingRequest, RequestHandle, Router};
use crate::{Effect, MemberId, MemberReport, MemberStatus, Micros, Need, Outcome, Role, Validity, Verdict};

impl Router {
    /// Sets the lead of the members' clock over the caller's, in microseconds, and the start times of members
    /// on the caller's clock; `None` if a member started long ago.
    ///
    /// This protects reads with a staleness bound, and slow start, from a wrong wall clock of the process.
    /// The cost: both suffer if the caller's estimate is wrong.
    pub fn set_members_clock(&mut self, offset: Micros, start_times: &[(MemberId, Option<Micros>)]) {
        self.clock_offset = offset;
        for &(id, started_at) in start_times {
            if let Some(member) = self.members.get_mut(id) {
                member.started_at = started_at;
            }
        }
    }

    /// Returns the minimum time between two health checks of a member that lags behind `floor`, in
    /// microseconds: half of its lag, as it may catch up at twice the pace of time.
    ///
    /// This protects the health check budget and the time that writes have. The cost: up to a second of delay
    /// if a member catches up faster.
    pub(super) fn catch_up_check_interval(&self, id: MemberId, floor: Micros) -> Micros {
        let position = self.members[id].position;
        let lag = if position == Micros::MIN { 0 } else { floor.saturating_sub(position) };
        (lag / 2).clamp(URGENT_HEALTH_CHECK_INTERVAL, HEALTH_CHECK_INTERVAL)
    }

    /// Returns the conditions that must still hold when the attempt is sent.
    ///
    /// They protect reads and repeats from what happens between the decision and the last byte: a connection
    /// that is established late, a primary that steps down, a deduplication window that ends, a process that
    /// is held up. The cost: a proof of freshness is shorter by [`SEND_DELAY_MARGIN`] for reads.
    pub(super) fn validity(&self, pending: &PendingRequest, id: MemberId) -> Validity {
        let effect = self.config.classes[pending.request.class].effect;
        let repeats_until = match (effect, pending.first_run_at()) {
            (Effect::Deduplicated { window, .. }, Some(first_run_at)) => {
                first_run_at + window - SEND_DELAY_MARGIN
            }
            _ => Micros::MAX,
        };
        let freshness = self.freshness_validity(pending, id);
        Validity { expires_at: repeats_until.min(freshness.expires_at), ..freshness }
    }

    /// Returns the conditions under which the member is proven fresh enough for the request.
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

    /// Returns the session in which the request's write is tracked; `None` if the request is no write, has no
    /// session, or the router tracks none.
    ///
    /// Tracking protects reads of the session from missing a write whose answer was lost or is still on its
    /// way. The cost: these reads go to the primary while such a write is in flight.
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

    /// Records the report of a member on itself. The report was true at `valid_at`, and was requested no
    /// earlier than `requested_at`.
    ///
    /// Reports may arrive late or out of order, so an older one never overrides a newer one. Reads take a
    /// member for the primary only by a report that was requested after the member was last heard to be a
    /// replica. A report that a member is a replica holds unless it is provably older, as positions never go
    /// back. The cost: just after a failover, reads without a fresh replica wait.
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

    /// Records a report that the member is the primary.
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

    /// Records a report that the member is a replica.
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

    /// Records the end of a session's write. It was committed at the time that its answer states, else by
    /// now, if at all.
    pub(super) fn end_session_write(&mut self, now: Micros, handle: RequestHandle, outcome: &Outcome) {
        let verdict = outcome.verdict;
        let reported = outcome.report.position.filter(|_| verdict == Verdict::Served);
        let committed_at = (!verdict.never_ran()).then(|| reported.unwrap_or(self.members_now(now)));
        if let Some(session) = self.tracked_session(handle) {
            session.attempt_ended(now, committed_at);
        }
    }

    /// Returns the position on the members' clock that a replica must have reached to serve the read;
    /// `Micros::MIN` if any will do.
    pub(super) fn position_floor(&self, now: Micros, pending: &PendingRequest, need: Need) -> Micros {
        match need {
            Need::Latest => self.members_now(pending.arrived_at),
            Need::OwnWrites => self.session_floor(now, pending),
            Need::Recent(bound) => self.members_now(now) - bound + SEND_DELAY_MARGIN,
            Need::Any | Need::Write => Micros::MIN,
        }
    }

    /// Returns the position of the newest write of the read's session, as far as the client or another router
    /// states it or this router remembers it; `Micros::MIN` if none does.
    fn session_floor(&self, now: Micros, pending: &PendingRequest) -> Micros {
        let request = &pending.request;
        let stated = request.last_write_age.map(|age| self.members_now(pending.arrived_at) - age);
        let session = request.session.as_ref();
        let remembered = session.and_then(|name| self.sessions.floor(name, self.clock_reading(now)));
        request.min_position.max(stated).max(remembered).unwrap_or(Micros::MIN)
    }
}

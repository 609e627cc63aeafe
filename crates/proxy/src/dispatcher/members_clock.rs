//! Estimation of how far the members' clock is ahead of the router's. The two may differ because the wall
//! clock of this machine may have been wrong when the process started.

use aldermill_routing::{Effect, MemberId, MemberReport, Micros, Need, RequestHandle};
use slog::warn;
use tokio::time::Instant;

use super::Dispatcher;

/// Changes of the clock offset of up to this many microseconds are not reported to the router.
pub(super) const MIN_OFFSET_CHANGE: Micros = 20_000;

impl Dispatcher {
    /// Returns whether the request is a non-idempotent write. The commit of such a write cannot predate its
    /// sending.
    pub(super) fn is_non_idempotent_write(&self, handle: RequestHandle) -> bool {
        let comment = self.open_requests.get(&handle).map(|open| &open.request.comment);
        let class = comment.and_then(|comment| self.settings.class_index(&comment.class).ok());
        let class = class.map(|class| &self.settings.router_config.classes[class]);
        class.is_some_and(|class| class.effect == Effect::NonIdempotent && class.need == Need::Write)
    }

    /// Uses the position in a response as a sample of the members' clock. If `write_sent_at` is set, the
    /// response is to a write that was sent no earlier than that, and the position is the commit time of that
    /// write. A position more than `max_clock_lead` ahead of the members' clock is removed from the report:
    /// nothing is applied before it is committed, so such a position proves nothing.
    pub(super) fn observe_clock(
        &mut self,
        member: MemberId,
        report: &mut MemberReport,
        write_sent_at: Option<Instant>,
    ) {
        let Some(position) = report.position else { return };
        let clock = self.context.clock;
        let now = clock.now();
        self.clock_offset.record_report(member, position, now);
        if let Some(sent) = write_sent_at {
            self.clock_offset.record_commit(member, position, clock.at(sent));
        }
        let offset = self.clock_offset.offset();
        if (offset - self.reported_offset).abs() > MIN_OFFSET_CHANGE {
            warn!(self.context.log, "wall clock at start differs from the members' clock";
                "offset_ms" => offset / 1000);
            self.set_clock_offset(offset);
        }
        let latest_plausible = now + self.reported_offset + self.context.limits.member.max_clock_lead;
        report.position = Some(position).filter(|&position| position <= latest_plausible);
    }

    /// Gives the router a new clock offset, in microseconds, and the members' start times that result from
    /// it.
    fn set_clock_offset(&mut self, offset: Micros) {
        self.reported_offset = offset;
        let mut starts = Vec::new();
        for (id, entry) in self.members.iter_mut().enumerate() {
            if let Some(entry) = entry {
                entry.started_at = entry.start_time(offset);
                starts.push((id, entry.started_at));
            }
        }
        let _ = self.decide(|router| (router.set_members_clock(offset, &starts), Default::default()));
    }
}

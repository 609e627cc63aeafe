//! The members' clock against the router's: a process may have been started under a wrong wall clock.

use aldermill_routing::{Effect, Handle, MemberId, MemberReport, Micros, Need};
use slog::warn;
use tokio::time::Instant;

use super::Dispatcher;

/// A smaller change is not worth telling the router.
const MIN_CHANGE: Micros = 20_000;

impl Dispatcher {
    /// Whether the request is a write that takes effect anew each time: its commit is never one from before.
    pub(super) fn is_non_idempotent_write(&self, handle: Handle) -> bool {
        let comment = self.open_requests.get(&handle).map(|open| &open.request.comment);
        let class = comment.and_then(|comment| self.decoded.class(&comment.class).ok());
        let class = class.map(|class| &self.decoded.terms.classes[class]);
        class.is_some_and(|class| class.effect == Effect::Effectful && class.need == Need::Write)
    }

    /// Takes in the position of an answer, which is the commit of a write that was sent at `written`, as a reading of
    /// the members' clock. One that is still ahead of that clock proves nothing, as nothing is applied before it was
    /// committed: it is left out.
    pub(super) fn observe_clock(
        &mut self,
        member: MemberId,
        report: &mut MemberReport,
        written: Option<Instant>,
    ) {
        let Some(position) = report.position else { return };
        let clock = self.context.clock;
        let now = clock.now();
        self.clock_offset.record_report(member, position, now);
        if let Some(sent) = written {
            self.clock_offset.record_commit(member, position, clock.at(sent));
        }
        let offset = self.clock_offset.offset();
        if (offset - self.reported_offset).abs() > MIN_CHANGE {
            warn!(self.context.log, "the wall clock at the start differs from the members'"; "ms" => offset / 1000);
            self.report_offset(offset);
        }
        let believable = now + self.reported_offset + self.context.limits.member.max_clock_lead;
        report.position = Some(position).filter(|&position| position <= believable);
    }

    /// Tells the router, and dates the members' starts anew.
    fn report_offset(&mut self, offset: Micros) {
        self.reported_offset = offset;
        let mut starts = Vec::new();
        for (id, entry) in self.members.iter_mut().enumerate() {
            if let Some(entry) = entry {
                entry.since = entry.started(offset);
                starts.push((id, entry.since));
            }
        }
        let _ = self.decide(|router| (router.members_clock(offset, &starts), Default::default()));
    }
}

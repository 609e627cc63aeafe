//! Repeats of requests that may have run: until when and where they may run again, and when their clients may be told
//! that a retry is harmless.

use super::SEND_DELAY_MARGIN;
use crate::state::{FirstRun, PendingRequest, Router};
use crate::{DeduplicationScope, Effect, MemberId, Micros, Need};

impl PendingRequest {
    /// Returns when the first attempt that may have run began, whether this router made it or another one.
    pub(super) fn first_run_at(&self) -> Option<Micros> {
        self.earlier_run_at().or(self.may_have_run.map(|first_run| first_run.sent_at))
    }

    /// Returns when the first attempt of another router that may have run began.
    fn earlier_run_at(&self) -> Option<Micros> {
        self.request.earlier_attempt_age.map(|age| self.arrived_at - age)
    }
}

/// Returns whether the request may be attempted again. Once it may have run, a non-idempotent request never
/// may, and a deduplicated one only within its window.
fn may_run_again(now: Micros, effect: Effect, pending: &PendingRequest) -> bool {
    match (effect, pending.first_run_at()) {
        (_, None) | (Effect::Idempotent, _) => true,
        (Effect::NonIdempotent, Some(_)) => false,
        // The zone of another router's attempt is not known, so no member is known to remember the key.
        (Effect::Deduplicated { scope: DeduplicationScope::Zone, .. }, Some(_))
            if pending.earlier_run_at().is_some() =>
        {
            false
        }
        (Effect::Deduplicated { window, .. }, Some(first_run_at)) => {
            now < first_run_at + window - SEND_DELAY_MARGIN
        }
    }
}

impl Router {
    /// Returns the first run of a request that only a part of its group may repeat: the members of that run's zone, which
    /// alone remember its key.
    fn zone_bound_run(&self, pending: &PendingRequest) -> Option<FirstRun> {
        let effect = self.config.classes[pending.request.class].effect;
        let is_zone_bound = matches!(effect, Effect::Deduplicated { scope: DeduplicationScope::Zone, .. });
        pending.may_have_run.filter(|_| is_zone_bound)
    }

    /// Returns whether only some of the members of its group may repeat the request.
    pub(super) fn is_zone_bound(&self, pending: &PendingRequest) -> bool {
        self.zone_bound_run(pending).is_some()
    }

    /// Returns whether the member may run the request, as far as its earlier attempts are concerned: it has not run, or
    /// the member drops repeats of it.
    pub(super) fn drops_repeats(&self, pending: &PendingRequest, id: MemberId) -> bool {
        self.zone_bound_run(pending).is_none_or(|first_run| first_run.zone == self.members[id].zone)
    }

    /// Returns whether the request may be attempted now or later: its earlier attempts allow it, and a member that drops
    /// repeats of it can take it. A write whose primary is known and does not drop them is not kept waiting for another
    /// primary.
    pub(super) fn can_be_attempted(&self, now: Micros, pending: &PendingRequest) -> bool {
        let class = &self.config.classes[pending.request.class];
        if !may_run_again(now, class.effect, pending) {
            return false;
        }
        if !self.is_zone_bound(pending) {
            return true;
        }
        let group = &self.groups[pending.group];
        match group.primary.filter(|_| class.need == Need::Write && !self.lacks_primary(now, group)) {
            Some(primary) => self.drops_repeats(pending, primary),
            None => group.members.iter().any(|&id| self.is_in_service(id) && self.drops_repeats(pending, id)),
        }
    }

    /// Returns whether the request's client may be told that a retry is harmless: the request has not run, or whichever
    /// member the retry reaches drops it.
    pub(super) fn may_be_rejected(&self, now: Micros, pending: &PendingRequest) -> bool {
        let effect = self.config.classes[pending.request.class].effect;
        match effect {
            Effect::Idempotent => true,
            _ if pending.may_have_run.is_none() && pending.in_flight.is_none() => true,
            Effect::Deduplicated { scope: DeduplicationScope::All, .. } => {
                may_run_again(now, effect, pending)
            }
            Effect::Deduplicated { .. } | Effect::NonIdempotent => false,
        }
    }
}

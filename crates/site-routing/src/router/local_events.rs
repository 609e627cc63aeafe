//! Events from the local router about requests that were handed to it.

use super::SiteRouter;
use crate::pending_requests::{PendingRequest, RequestLocation};
use crate::{Action, Actions, LOCAL_SITE, LocalResult, Micros, Need, RequestHandle};

/// How many attempts at a group's home must reach a member that is not the primary before the home is ruled
/// out, even if the site has fewer members: a single answer may predate a failover within the site.
const MIN_ANSWERS_TO_RULE_OUT_HOME: usize = 2;

impl SiteRouter {
    /// Handles an attempt at the local site whose member was not the primary.
    pub fn local_not_primary(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        if self.is_local_site_ruled_out(handle) {
            self.search_other_sites(now, handle);
        }
        self.take_actions()
    }

    /// Records that an attempt at the local site, which began at `started_at`, may have run.
    pub fn local_may_have_run(&mut self, handle: RequestHandle, started_at: Micros) {
        if let Some(pending) = self.pending.get_mut(handle).filter(|pending| pending.is_local()) {
            pending.record_possible_execution(started_at, LOCAL_SITE);
        }
    }

    /// Handles the local router's result for a request.
    pub fn local_finished(&mut self, now: Micros, handle: RequestHandle, result: LocalResult) -> Actions {
        self.finish_local(now, handle, result);
        self.take_actions()
    }

    /// Counts an answer of a member that is not the primary. Returns whether there were enough of them to
    /// rule out the local site: as many as it has members, and at least [`MIN_ANSWERS_TO_RULE_OUT_HOME`] if
    /// it is the group's home.
    fn is_local_site_ruled_out(&mut self, handle: RequestHandle) -> bool {
        let Some(pending) = self.pending.get_mut(handle) else { return false };
        let RequestLocation::Local { not_primary_answers } = &mut pending.location else { return false };
        // A request that may have run here stays with the local router, which alone knows about its attempts:
        // if it were withdrawn, it could be rejected or forwarded as one that never ran. The cost: a
        // deduplicated request fails here if the primary has moved to another site.
        if pending.may_have_run.is_some_and(|execution| execution.site == LOCAL_SITE) {
            return false;
        }
        *not_primary_answers += 1;
        let answers = *not_primary_answers;
        let group = pending.request.group;
        let is_home = self.homes.home(group) == Some(LOCAL_SITE);
        answers >= self.homes.local_members(group) && (!is_home || answers >= MIN_ANSWERS_TO_RULE_OUT_HOME)
    }

    /// Continues the search for the primary at other sites, as no member of the local site is the primary. If
    /// no other site can be asked, the local router keeps the request, which waits there for a primary as if
    /// there were only one site. A remote request is withdrawn in any case, as it can go back to the gateway
    /// that sent it.
    fn search_other_sites(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        self.homes.rule_out(now, pending.request.group, LOCAL_SITE, None);
        let can_withdraw =
            pending.request.is_remote() || self.site_selection(now).has_other_candidate(pending);
        let Some(pending) = self.pending.get_mut(handle) else { return };
        if !can_withdraw {
            // The next search may ask all sites again.
            pending.ruled_out.clear();
            return;
        }
        pending.location = RequestLocation::Queued;
        pending.ruled_out.push(LOCAL_SITE);
        self.push_action(handle, Action::Withdraw);
        self.place(now, handle);
    }

    fn finish_local(&mut self, now: Micros, handle: RequestHandle, result: LocalResult) {
        let Some(pending) = self.pending.get(handle).filter(|pending| pending.is_local()) else { return };
        match result {
            LocalResult::Served => {
                self.note_served_locally(now, handle);
                self.push_action(handle, Action::RelayResponse);
            }
            // The local router does not know that the request may have run at another site; then it may have
            // to fail.
            LocalResult::Rejected { retry_after } if may_have_run_elsewhere(pending) => {
                return self.reject(handle, retry_after);
            }
            LocalResult::Rejected { retry_after } => self.push_action(handle, Action::Reject { retry_after }),
            LocalResult::Failed => self.push_action(handle, Action::Fail),
        }
        self.close(handle);
    }

    /// Confirms the local site as the group's home if the request that was served needs the primary.
    fn note_served_locally(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        let needs_primary = self.class_of(&pending.request).need == Need::Primary;
        let group = pending.request.group;
        if needs_primary && self.confirm_home(now, group, LOCAL_SITE) {
            self.actions.announce_capacity = true;
        }
    }
}

fn may_have_run_elsewhere(pending: &PendingRequest) -> bool {
    pending.may_have_run.is_some_and(|execution| execution.site != LOCAL_SITE)
}

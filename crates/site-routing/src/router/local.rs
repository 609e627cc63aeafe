//! What the local router says of a request that it was handed.

use super::SiteRouter;
use crate::pending_requests::{PendingRequest, RequestLocation};
use crate::{Action, Actions, LOCAL_SITE, LocalResult, Micros, Need, RequestHandle};

/// How many attempts must find no primary at the home of a group before it is doubted, even if the site has fewer members: a
/// single answer may be from before a fail-over within the site.
const ANSWERS_TO_DOUBT_HOME: usize = 2;

impl SiteRouter {
    /// An attempt at this site found its member not to be the primary.
    pub fn local_not_primary(&mut self, now: Micros, handle: RequestHandle) -> Actions {
        if self.is_ruled_out_here(handle) {
            self.search_elsewhere(now, handle);
        }
        self.take_actions()
    }

    /// An attempt at this site, which began at that time, may have run.
    pub fn local_may_have_run(&mut self, handle: RequestHandle, began: Micros) {
        if let Some(pending) = self.pending.get_mut(handle).filter(|pending| pending.is_local()) {
            pending.record_possible_execution(began, LOCAL_SITE);
        }
    }

    /// The local router has ended the request.
    pub fn local_finished(&mut self, now: Micros, handle: RequestHandle, result: LocalResult) -> Actions {
        self.finish_local(now, handle, result);
        self.take_actions()
    }

    /// Counts an answer of a member that is not the primary. Returns whether all members here have said so.
    fn is_ruled_out_here(&mut self, handle: RequestHandle) -> bool {
        let Some(pending) = self.pending.get_mut(handle) else { return false };
        let RequestLocation::Local { not_primary_answers } = &mut pending.location else { return false };
        // Only the local router knows what it has done. If the request were taken back, it could be rejected or sent on
        // as one that never ran. The cost: a deduplicated request fails here if the primary has moved to another site.
        if pending.may_have_run.is_some_and(|execution| execution.site == LOCAL_SITE) {
            return false;
        }
        *not_primary_answers += 1;
        let answers = *not_primary_answers;
        let group = pending.request.group;
        let is_home = self.homes.home(group) == Some(LOCAL_SITE);
        answers >= self.homes.local_members(group) && (!is_home || answers >= ANSWERS_TO_DOUBT_HOME)
    }

    /// No member here is the primary: the search goes on at other sites, if any can be asked. Otherwise the local router
    /// keeps the request, which waits there for a primary as without other sites.
    fn search_elsewhere(&mut self, now: Micros, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        self.homes.rule_out(now, pending.request.group, LOCAL_SITE, None);
        let may_leave = pending.request.is_remote() || self.site_selection(now).has_other_candidate(pending);
        let Some(pending) = self.pending.get_mut(handle) else { return };
        if !may_leave {
            // The next search may ask all sites anew.
            pending.ruled_out.clear();
            return;
        }
        pending.location = RequestLocation::Queued;
        pending.ruled_out.push(LOCAL_SITE);
        self.act(handle, Action::Withdraw);
        self.place(now, handle);
    }

    fn finish_local(&mut self, now: Micros, handle: RequestHandle, result: LocalResult) {
        let Some(pending) = self.pending.get(handle).filter(|pending| pending.is_local()) else { return };
        match result {
            LocalResult::Served => {
                self.note_served_locally(now, handle);
                self.act(handle, Action::RelayResponse);
            }
            // The local router does not know that the request may have run at another site.
            LocalResult::Rejected { retry_after } if may_have_run_elsewhere(pending) => {
                return self.reject(handle, retry_after);
            }
            LocalResult::Rejected { retry_after } => self.act(handle, Action::Reject { retry_after }),
            LocalResult::Failed => self.act(handle, Action::Fail),
        }
        self.close(handle);
    }

    /// A request that only a primary can serve shows that this site has it.
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

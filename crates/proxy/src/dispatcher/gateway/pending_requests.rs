//! Pending requests: they are handed to the site router, and are at the local router, at another gateway or
//! queued until they are answered or abandoned.

use std::rc::Rc;

use aldermill_routing::{Micros, Need, RequestHandle as RouterHandle};
use aldermill_site_drain::Plan;
use aldermill_site_routing::{Action, LocalResult, Request, RequestHandle, SiteId};
use aldermill_wire::statement;

use super::site_actions::ReceivedAnswer;
use super::{GatewayPart, PendingRequest, Requester};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::open_request::{RequestOwner, WaitingClient};
use crate::dispatcher::requests::NotPrimaryFollowUp;
use crate::messages::{Answer, ClientRequest};

/// A request that is to be handed to the site router, and its requester.
pub(super) struct RequestToRoute {
    pub(super) request: ClientRequest,
    pub(super) class: usize,
    /// How much longer the requester waits, in microseconds.
    pub(super) timeout: Micros,
    pub(super) requester: Requester,
    /// Names of the sites that the request has passed through, its origin first; empty for a request of a
    /// local client.
    pub(super) visited: Vec<String>,
    /// How long ago the first attempt that may have run began, as the sender states it, in microseconds; `None`
    /// if the sender knows of none.
    pub(super) earlier_attempt_age: Option<Micros>,
}

impl Dispatcher {
    /// Hands a client's request to the site router, which chooses between the local router and another site.
    pub(in crate::dispatcher) fn route_between_sites(&mut self, request: ClientRequest, class: usize) {
        let waited = self.context.clock.now() - request.received_at;
        let timeout = Micros::from(request.comment.timeout_ms) * 1000 - waited;
        let requester = Requester::Client(WaitingClient::from_request(&request));
        self.route_request(RequestToRoute {
            request,
            class,
            timeout,
            requester,
            visited: Vec::new(),
            earlier_attempt_age: None,
        });
    }

    /// Hands a request to the site router, which decides where it is served, and carries out the decision.
    pub(super) fn route_request(&mut self, to_route: RequestToRoute) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let routed = gateway_part.routed_request(&to_route);
        let (handle, actions) = gateway_part.site_router.accept(now, routed);
        if let Requester::Gateway(remote) = &to_route.requester {
            gateway_part.remote_requests.insert((remote.gateway, remote.number), handle);
        }
        let RequestToRoute { request, class, requester, visited, .. } = to_route;
        self.request_owners.insert(request.request_id, RequestOwner::Gateway(handle));
        self.open_comment_ids.insert(request.comment.id.clone());
        let request = Rc::new(request);
        let pending =
            PendingRequest { request, class, local_handle: None, requester, forwarded_write: None, visited };
        gateway_part.pending_requests.insert(handle, pending);
        self.carry_out_site_actions(actions, None);
    }

    /// Drops a pending request that its requester no longer waits for. The local router abandons it, and
    /// another gateway that has it is told to cancel it.
    pub(in crate::dispatcher) fn abandon_pending_request(&mut self, handle: RequestHandle) {
        let now = self.context.clock.now();
        let Some(pending) = self.remove_pending_request(handle) else { return };
        // Whether it ran, here or at another site, is not known yet.
        self.ended_ids.remember(now, &pending.request.comment.id, pending.request.peer);
        if let Some(local) = pending.local_handle {
            self.abandon(&[local]);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.abandon(now, handle);
        self.carry_out_site_actions(actions, None);
    }

    /// Handles the local router's answer to a request that the gateway part handed to it.
    pub(in crate::dispatcher) fn local_request_answered(&mut self, handle: RequestHandle, answer: Answer) {
        let now = self.context.clock.now();
        let result = match &answer {
            Answer::Served(_) => LocalResult::Served,
            Answer::Rejected { retry_after } => LocalResult::Rejected { retry_after: *retry_after },
            Answer::Failed | Answer::InvalidStatement(_) => LocalResult::Failed,
        };
        self.count_local_result(handle, result == LocalResult::Served, now);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.local_finished(now, handle, result);
        self.carry_out_site_actions(actions, Some(ReceivedAnswer { handle, answer }));
    }

    fn count_local_result(&mut self, handle: RequestHandle, served: bool, now: Micros) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(pending) = gateway_part.pending_requests.get_mut(&handle) else { return };
        pending.local_handle = None;
        let class = &self.settings.router_config.classes[pending.class];
        let within_objective = served && now - pending.request.received_at <= class.objective;
        let reads = matches!(class.need, Need::Any | Need::Recent(_));
        let from_client = matches!(pending.requester, Requester::Client(_));
        gateway_part.ended_counts.total += 1;
        gateway_part.ended_counts.within_objective += u32::from(within_objective);
        gateway_part.ended_counts.session_reads += u32::from(reads && from_client);
    }

    /// Tells the site router that an attempt at the local site, which lasted `elapsed` microseconds, may have
    /// run.
    pub(in crate::dispatcher) fn may_have_run(&mut self, handle: RequestHandle, elapsed: Micros) {
        let began = self.context.clock.now() - elapsed;
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.site_router.local_may_have_run(handle, began);
        }
    }

    /// Handles an attempt at the local site whose member was not the primary. The caller carries out the
    /// returned actions after the local router has been told of the attempt's end as well.
    pub(in crate::dispatcher) fn local_not_primary(&mut self, handle: RequestHandle) -> NotPrimaryFollowUp {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return NotPrimaryFollowUp::default() };
        let actions = gateway_part.site_router.local_not_primary(now, handle);
        let withdrawn = actions.requests.contains(&(handle, Action::Withdraw));
        NotPrimaryFollowUp { actions: Some(actions), withdrawn }
    }

    /// Handles an answer in which a member of the local site acted as the primary of its group.
    pub(in crate::dispatcher) fn local_primary_found(&mut self, group: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.local_primary_found(now, group);
        self.carry_out_site_actions(actions, None);
    }

    /// Handles a changed endpoint list. `groups` holds each group with its number of ready members.
    pub(in crate::dispatcher) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.groups_listed(now, groups);
        self.carry_out_site_actions(actions, None);
    }

    /// Does the periodic work of the gateway part and of the site router.
    pub(in crate::dispatcher) fn wake_site_router(&mut self) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.do_periodic_work(now);
        let actions = gateway_part.site_router.wake(now);
        self.carry_out_site_actions(actions, None);
    }

    /// Applies the fleet's current plans for draining sites, which replace the earlier ones.
    pub fn apply_site_drain_plans(&mut self, plans: Vec<Plan>) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.assign_sessions(now, &gateway_part.site_names, plans);
        self.carry_out_site_actions(actions, None);
    }

    /// Tells the site router that a stall of this process has just ended.
    pub(in crate::dispatcher) fn report_stall_to_site_router(&mut self) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.site_router.stall_ended(now);
        }
    }

    /// Removes a pending request with all entries that refer to it. Returns the request, or `None` if it is not
    /// pending.
    pub(super) fn remove_pending_request(&mut self, handle: RequestHandle) -> Option<PendingRequest> {
        let now = self.context.clock.now();
        let gateway_part = self.gateway_part.as_mut()?;
        let pending = gateway_part.pending_requests.remove(&handle)?;
        if let Some(session) = &pending.forwarded_write {
            self.router.forwarded_write_ended(now, session);
        }
        if let Requester::Gateway(remote) = &pending.requester {
            gateway_part.remote_requests.remove(&(remote.gateway, remote.number));
        }
        self.open_comment_ids.remove(&pending.request.comment.id);
        self.request_owners.remove(&pending.request.request_id);
        Some(pending)
    }
}

impl GatewayPart {
    /// Returns a request in the form that the site router takes.
    fn routed_request(&self, to_route: &RequestToRoute) -> Request {
        let request = &to_route.request;
        let field = self.session_field.as_ref();
        let named = field.and_then(|field| statement::field(&request.statement, field));
        let visited: Vec<SiteId> = to_route.visited.iter().filter_map(|name| self.site_id(name)).collect();
        Request {
            class: to_route.class,
            group: request.comment.group,
            timeout: to_route.timeout,
            visited,
            // A request that names no session is a session of its own, under its ID.
            session: Some(named.unwrap_or(&request.comment.id).to_owned()),
            earlier_attempt_age: to_route.earlier_attempt_age,
        }
    }

    /// Takes the local router's handle of a request, which the caller then abandons there. Returns `None` if the
    /// local router does not have the request.
    pub(super) fn take_local_handle(&mut self, handle: RequestHandle) -> Option<RouterHandle> {
        self.pending_requests.get_mut(&handle)?.local_handle.take()
    }
}

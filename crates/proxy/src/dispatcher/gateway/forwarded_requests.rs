//! Requests on their way: with the router here, over a link, or waiting for either.

use std::rc::Rc;

use aldermill_routing::{Micros, Need, RequestHandle as RouterHandle};
use aldermill_site_drain::Plan;
use aldermill_site_routing::{Action, LocalResult, Request, RequestHandle, SiteId};
use aldermill_wire::statement;

use super::site_actions::ReceivedAnswer;
use super::{ForwardedRequest, GatewayPart, Requester};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::open_request::{RequestOwner, WaitingClient};
use crate::dispatcher::requests::NotPrimaryFollowUp;
use crate::messages::{Answer, ClientRequest};

/// A request for the site router, and who waits for it.
pub(super) struct RequestToForward {
    pub(super) request: ClientRequest,
    pub(super) class: usize,
    /// How long the requester still waits, in microseconds.
    pub(super) ttl: Micros,
    pub(super) requester: Requester,
    /// The sites that it has come through.
    pub(super) visited: Vec<String>,
}

impl Dispatcher {
    /// A client's request where there is a gateway: to the router here, or to another site.
    pub(in crate::dispatcher) fn route_between_sites(&mut self, request: ClientRequest, class: usize) {
        let waited = self.context.clock.now() - request.received_at;
        let ttl = Micros::from(request.comment.timeout_ms) * 1000 - waited;
        let requester = Requester::Client(WaitingClient::from_request(&request));
        self.forward(RequestToForward { request, class, ttl, requester, visited: Vec::new() });
    }

    /// Asks the site router where a request is to be served, and carries that out.
    pub(super) fn forward(&mut self, to_forward: RequestToForward) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let routed = gateway_part.routed_request(&to_forward);
        let (handle, actions) = gateway_part.site_router.accept(now, routed);
        if let Requester::Gateway(remote) = &to_forward.requester {
            gateway_part.remote_requests.insert((remote.gateway, remote.number), handle);
        }
        let RequestToForward { request, class, requester, visited, .. } = to_forward;
        self.request_owners.insert(request.request_id, RequestOwner::Gateway(handle));
        self.open_comment_ids.insert(request.comment.id.clone());
        let request = Rc::new(request);
        let forwarded = ForwardedRequest { request, class, local: None, requester, visited };
        gateway_part.forwarded.insert(handle, forwarded);
        self.carry_out_site_actions(actions, None);
    }

    /// Nobody waits for a request any more.
    pub(in crate::dispatcher) fn forwarded_request_left(&mut self, handle: RequestHandle) {
        let now = self.context.clock.now();
        let Some(forwarded) = self.forget_forwarded(handle) else { return };
        if let Some(local) = forwarded.local {
            self.abandon(local);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.abandon(now, handle);
        self.carry_out_site_actions(actions, None);
    }

    /// The router here has answered a request for the gateway part.
    pub(in crate::dispatcher) fn answered_here(&mut self, handle: RequestHandle, answer: Answer) {
        let now = self.context.clock.now();
        let ended = match &answer {
            Answer::Served(_) => LocalResult::Served,
            Answer::Rejected { retry_after } => LocalResult::Rejected { retry_after: *retry_after },
            Answer::Failed | Answer::InvalidStatement(_) => LocalResult::Failed,
        };
        self.count_ended_here(handle, ended == LocalResult::Served, now);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.local_finished(now, handle, ended);
        self.carry_out_site_actions(actions, Some(ReceivedAnswer { handle, answer }));
    }

    fn count_ended_here(&mut self, handle: RequestHandle, served: bool, now: Micros) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(forwarded) = gateway_part.forwarded.get_mut(&handle) else { return };
        forwarded.local = None;
        let class = &self.settings.router_config.classes[forwarded.class];
        let in_time = served && now - forwarded.request.received_at <= class.objective;
        let reads = matches!(class.need, Need::Any | Need::Recent(_));
        let from_client = matches!(forwarded.requester, Requester::Client(_));
        gateway_part.ended.all += 1;
        gateway_part.ended.in_time += u32::from(in_time);
        gateway_part.ended.bound += u32::from(reads && from_client);
    }

    /// An attempt here that lasted so long may have run.
    pub(in crate::dispatcher) fn may_have_run(&mut self, handle: RequestHandle, elapsed: Micros) {
        let began = self.context.clock.now() - elapsed;
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.site_router.local_may_have_run(handle, began);
        }
    }

    /// An attempt here found its member not primary. What follows is carried out once the router has heard it, too.
    pub(in crate::dispatcher) fn not_primary_here(&mut self, handle: RequestHandle) -> NotPrimaryFollowUp {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return NotPrimaryFollowUp::default() };
        let actions = gateway_part.site_router.local_not_primary(now, handle);
        let withdrawn = actions.requests.contains(&(handle, Action::Withdraw));
        NotPrimaryFollowUp { actions: Some(actions), withdrawn }
    }

    /// A member here answered as the primary of this group.
    pub(in crate::dispatcher) fn primary_here(&mut self, group: u64) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.local_primary_found(now, group);
        self.carry_out_site_actions(actions, None);
    }

    /// The endpoint list has changed: each group with its number of ready members.
    pub(in crate::dispatcher) fn groups_listed(&mut self, groups: &[(u64, usize)]) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.groups_listed(now, groups);
        self.carry_out_site_actions(actions, None);
    }

    /// The site router wanted to be woken now.
    pub(in crate::dispatcher) fn wake_sites(&mut self) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        gateway_part.do_periodic_work(now);
        let actions = gateway_part.site_router.wake(now);
        self.carry_out_site_actions(actions, None);
    }

    /// What was decided in common of sites that drain.
    pub fn follow_site_drains(&mut self, plans: Vec<Plan>) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let actions = gateway_part.site_router.assign_sessions(now, &gateway_part.names, plans);
        self.carry_out_site_actions(actions, None);
    }

    /// The process stalled until now.
    pub(in crate::dispatcher) fn report_stall_to_sites(&mut self) {
        let now = self.context.clock.now();
        if let Some(gateway_part) = &mut self.gateway_part {
            gateway_part.site_router.stall_ended(now);
        }
    }

    /// Drops what is kept of a forwarded request, which is returned.
    pub(super) fn forget_forwarded(&mut self, handle: RequestHandle) -> Option<ForwardedRequest> {
        let gateway_part = self.gateway_part.as_mut()?;
        let forwarded = gateway_part.forwarded.remove(&handle)?;
        if let Requester::Gateway(remote) = &forwarded.requester {
            gateway_part.remote_requests.remove(&(remote.gateway, remote.number));
        }
        self.open_comment_ids.remove(&forwarded.request.comment.id);
        self.request_owners.remove(&forwarded.request.request_id);
        Some(forwarded)
    }
}

impl GatewayPart {
    /// The request as the site router sees it.
    fn routed_request(&self, to_forward: &RequestToForward) -> Request {
        let request = &to_forward.request;
        let field = self.session_field.as_ref();
        let named = field.and_then(|field| statement::field(&request.statement, field));
        let visited: Vec<SiteId> = to_forward.visited.iter().filter_map(|name| self.site(name)).collect();
        Request {
            class: to_forward.class,
            group: request.comment.group,
            timeout: to_forward.ttl,
            visited,
            // One that names no session has none to keep with.
            session: Some(named.unwrap_or(&request.comment.id).to_owned()),
        }
    }

    /// Takes a forwarded request back from the router here: the handle to abandon there.
    pub(super) fn withdraw(&mut self, handle: RequestHandle) -> Option<RouterHandle> {
        self.forwarded.get_mut(&handle)?.local.take()
    }
}

//! Event handling of the simulation: actions of the site routers, results of the local routers, frames that
//! arrive, and the answer to each request.

use aldermill_site_routing::{
    Action, Actions, LocalResult, Micros, Outcome, PeerAnswer, Request, RequestHandle,
};
use rand::Rng;

use crate::gateway::{Frame, GROUP, MS, PEER_GATEWAY, REMOTE_SITE, origin};
use crate::simulation::Simulation;

impl Simulation {
    /// Carries out the actions that a gateway's site router asks for.
    pub fn execute(&mut self, gateway: usize, actions: Actions) {
        for (handle, action) in actions.requests {
            match action {
                Action::ServeLocally { timeout: remaining, .. } => {
                    self.assert_not_at_the_other_site(gateway, handle);
                    let duration = (self.rng.random_range(1..150) * MS).min((remaining - 20 * MS).max(0));
                    self.gateways[gateway]
                        .at_local_router
                        .insert(handle, (self.now + duration, self.now + remaining));
                }
                Action::Withdraw => {
                    self.gateways[gateway]
                        .at_local_router
                        .remove(&handle)
                        .expect("a withdrawn request is at the local router");
                }
                Action::Forward { number, timeout: remaining, .. } => {
                    assert!(remaining > 0, "forwarded after its deadline");
                    let (request, incarnation) = (
                        self.gateways[gateway].client_requests[&handle],
                        self.gateways[1 - gateway].incarnation,
                    );
                    self.forwarded_requests.insert(number as usize * 2 + gateway, request as u32);
                    self.gateways[gateway].sent_numbers.push(number);
                    self.gateways[gateway].receiver_incarnations.insert(number, incarnation);
                    let class = self.requests[request].class;
                    self.send(gateway, Frame::Request { number, class, remaining, incarnation });
                }
                Action::QueryOutcome { number, .. } => {
                    let incarnation = self.gateways[gateway].receiver_incarnations[&number];
                    self.send(gateway, Frame::OutcomeQuery { number, incarnation });
                }
                Action::Cancel { number, .. } => self.send(gateway, Frame::Cancel(number)),
                Action::RelayResponse => self.answer(gateway, handle, PeerAnswer::Served),
                Action::Reject { retry_after } => {
                    self.answer(gateway, handle, PeerAnswer::Rejected { retry_after })
                }
                Action::Fail => self.answer(gateway, handle, PeerAnswer::Failed),
                Action::ReportNotPrimary { hint } => {
                    self.answer(gateway, handle, PeerAnswer::NotPrimary { hint })
                }
            }
        }
        for (_, up_to) in actions.confirmations {
            self.send(gateway, Frame::Confirm(up_to));
        }
    }

    /// Asserts that the request, which the gateway is about to serve, is not being served at the other site.
    fn assert_not_at_the_other_site(&self, gateway: usize, handle: RequestHandle) {
        let Some(request) = self.request_of(gateway, handle) else { return };
        let other = 1 - gateway;
        let mut served = self.gateways[other].at_local_router.keys();
        assert!(
            !served.any(|&handle| self.request_of(other, handle) == Some(request)),
            "two attempts at once"
        );
    }

    /// Returns the index of a request that a gateway has from a client or from the other gateway.
    fn request_of(&self, gateway: usize, handle: RequestHandle) -> Option<usize> {
        let gateway_state = &self.gateways[gateway];
        let remote = gateway_state.remote_requests.get(&handle).map(|&(number, _)| number);
        let forwarded =
            remote.and_then(|number| self.forwarded_requests.get(&(number as usize * 2 + 1 - gateway)));
        gateway_state.client_requests.get(&handle).copied().or(forwarded.map(|&request| request as usize))
    }

    /// Answers a request to its client or to the gateway that forwarded it, and checks the answer to a
    /// client.
    pub fn answer(&mut self, gateway: usize, handle: RequestHandle, answer: PeerAnswer) {
        if let Some(request) = self.gateways[gateway].client_requests.remove(&handle) {
            let now = self.now;
            let request = &mut self.requests[request];
            if request.abandoned {
                return;
            }
            let label = match answer {
                PeerAnswer::Served => "served",
                PeerAnswer::Rejected { .. } => "rejected",
                PeerAnswer::Failed => "failed",
                _ => panic!("not an answer to a client: {answer:?}"),
            };
            assert_eq!(request.answer.replace(label), None, "a request was answered twice");
            assert!(
                now <= request.deadline,
                "answered {} microseconds after the deadline",
                now - request.deadline
            );
            let non_idempotent = request.class == 1;
            assert!(
                label != "rejected" || !non_idempotent || request.runs == 0,
                "a rejected non-idempotent request ran"
            );
            assert!(label != "served" || request.runs > 0, "a served request never ran");
        } else if let Some((number, class)) = self.gateways[gateway].remote_requests.remove(&handle) {
            let sender = origin(1 - gateway, self.gateways[1 - gateway].incarnation);
            let outcome = match answer {
                // As in the proxy, the outcome of an idempotent request is not kept.
                _ if class != 1 => Outcome::Failed,
                PeerAnswer::Served => Outcome::Served(()),
                PeerAnswer::Failed => Outcome::Failed,
                _ => Outcome::Rejected { retry_after: 0 },
            };
            self.gateways[gateway].outcomes.record(&sender, number, outcome);
            let rejected = matches!(answer, PeerAnswer::Rejected { .. });
            self.gateways[gateway].router.remote_request_ended(self.now, PEER_GATEWAY, class, rejected);
            self.send(gateway, Frame::Answer { number, answer });
        }
    }

    /// Ends an attempt at a gateway's local router. If the request needs the primary and the site does not
    /// have it, the site router is told so and the attempt is repeated after 30 ms, unless the site router
    /// withdraws the request. Less than 60 ms before the deadline the request is rejected instead.
    pub fn finish_local(&mut self, gateway: usize, handle: RequestHandle, deadline: Micros) {
        let gateway_state = &mut self.gateways[gateway];
        let request =
            match (gateway_state.client_requests.get(&handle), gateway_state.remote_requests.get(&handle)) {
                (Some(&request), _) => request,
                (None, Some(&(number, _))) => {
                    self.forwarded_requests[&(number as usize * 2 + (1 - gateway))] as usize
                }
                _ => return,
            };
        let has_primary = self.primary_site == gateway;
        let needs_primary = matches!(self.requests[request].class, 1 | 2);
        let actions = if needs_primary && !has_primary && self.now > deadline - 60 * MS {
            gateway_state.router.local_finished(self.now, handle, LocalResult::Rejected { retry_after: 0 })
        } else if needs_primary && !has_primary {
            let actions = gateway_state.router.local_not_primary(self.now, handle);
            if !actions.requests.contains(&(handle, Action::Withdraw)) {
                gateway_state.at_local_router.insert(handle, (self.now + 30 * MS, deadline));
            } else {
                gateway_state.at_local_router.insert(handle, (0, 0));
            }
            actions
        } else {
            let result = match self.rng.random_range(0..20) {
                0 => LocalResult::Rejected { retry_after: 0 },
                1 => LocalResult::Failed,
                _ => LocalResult::Served,
            };
            if !matches!(result, LocalResult::Rejected { .. }) {
                self.requests[request].runs += 1;
                let request_state = &self.requests[request];
                assert!(
                    request_state.class != 1 || request_state.runs == 1,
                    "a non-idempotent request ran twice"
                );
                assert!(
                    request_state.class != 1 || request_state.answer != Some("rejected"),
                    "a non-idempotent request ran after it was rejected"
                );
            }
            gateway_state.router.local_finished(self.now, handle, result)
        };
        self.execute(gateway, actions);
    }

    /// Handles a frame that arrives at a gateway.
    pub fn receive(&mut self, gateway: usize, frame: Frame) {
        let sender = origin(1 - gateway, self.gateways[1 - gateway].incarnation);
        let (now, own_incarnation) = (self.now, self.gateways[gateway].incarnation);
        match frame {
            Frame::Request { incarnation, .. } if incarnation != own_incarnation => {}
            Frame::Request { number, class, remaining, .. } => {
                // A number is accepted once, also for idempotent requests: a duplicate frame is not a second
                // request.
                if self.gateways[gateway].outcomes.accept(now, &sender, number, remaining).is_err() {
                    return;
                }
                self.gateways[gateway].router.remote_request_started(PEER_GATEWAY, class);
                let request = Request {
                    class,
                    group: GROUP,
                    timeout: remaining - self.delay,
                    visited: vec![REMOTE_SITE],
                    ..Request::default()
                };
                let (handle, actions) = self.gateways[gateway].router.accept(now, request);
                self.gateways[gateway].remote_requests.insert(handle, (number, class));
                self.execute(gateway, actions);
            }
            Frame::Answer { number, answer } => {
                let actions = self.gateways[gateway].router.answered(now, number, answer);
                self.execute(gateway, actions);
            }
            Frame::OutcomeQuery { number, incarnation } => {
                let outcome =
                    self.gateways[gateway].outcomes.query(now, &sender, number, incarnation, own_incarnation);
                self.send(gateway, Frame::OutcomeReply { number, outcome });
            }
            Frame::OutcomeReply { number, outcome } => {
                let actions = self.gateways[gateway].router.outcome_received(now, number, &outcome);
                self.execute(gateway, actions);
            }
            Frame::Cancel(number) => {
                let remote =
                    self.gateways[gateway].remote_requests.iter().find(|(_, remote)| remote.0 == number);
                if let Some((&handle, _)) = remote {
                    // An attempt that the local router has begun is not cancelled.
                    if !self.gateways[gateway].at_local_router.contains_key(&handle) {
                        let actions = self.gateways[gateway].router.abandon(now, handle);
                        self.execute(gateway, actions);
                    }
                }
            }
            Frame::Confirm(up_to) => self.gateways[gateway].outcomes.confirm(&sender, up_to),
        }
    }
}

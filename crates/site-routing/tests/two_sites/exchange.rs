//! What the two sides do with requests: the local router's answers, frames that arrive, and the one answer of each.

use aldermill_site_routing::{
    Action, Actions, LocalResult, Micros, Outcome, PeerAnswer, Request, RequestHandle,
};
use rand::Rng;

use crate::side::{FAR_SITE, Frame, GATEWAY, GROUP, MS, origin};
use crate::world::World;

impl World {
    pub fn carry_out(&mut self, at: usize, actions: Actions) {
        for (handle, step) in actions.requests {
            match step {
                Action::ServeLocally { timeout: ttl } => {
                    let takes = (self.rng.random_range(1..150) * MS).min((ttl - 20 * MS).max(0));
                    self.sides[at].local.insert(handle, (self.now + takes, self.now + ttl));
                }
                Action::Withdraw => {
                    self.sides[at].local.remove(&handle).expect("taken back from where it is");
                }
                Action::Forward { number, timeout: left, .. } => {
                    assert!(left > 0, "sent with no time left");
                    let (request, incarnation) =
                        (self.sides[at].own[&handle], self.sides[1 - at].incarnation);
                    self.forwarded.insert(number as usize * 2 + at, request as u32);
                    self.sides[at].sent.push(number);
                    self.sides[at].sent_to.insert(number, incarnation);
                    let class = self.requests[request].class;
                    self.send(at, Frame::Request { number, class, left, incarnation });
                }
                Action::QueryOutcome { number, .. } => {
                    let incarnation = self.sides[at].sent_to[&number];
                    self.send(at, Frame::OutcomeQuery { number, incarnation });
                }
                Action::Cancel { number, .. } => self.send(at, Frame::Cancel(number)),
                Action::RelayResponse => self.answer(at, handle, PeerAnswer::Served),
                Action::Reject { retry_after } => {
                    self.answer(at, handle, PeerAnswer::Rejected { retry_after })
                }
                Action::Fail => self.answer(at, handle, PeerAnswer::Failed),
                Action::ReportNotPrimary { hint } => self.answer(at, handle, PeerAnswer::NotPrimary { hint }),
            }
        }
        for (_, upto) in actions.confirmations {
            self.send(at, Frame::Confirm(upto));
        }
    }

    /// The one answer to a client, or to the other side.
    pub fn answer(&mut self, at: usize, handle: RequestHandle, answer: PeerAnswer) {
        if let Some(request) = self.sides[at].own.remove(&handle) {
            let now = self.now;
            let request = &mut self.requests[request];
            if request.left {
                return;
            }
            let said = match answer {
                PeerAnswer::Served => "served",
                PeerAnswer::Rejected { .. } => "rejected",
                PeerAnswer::Failed => "failed",
                _ => panic!("no answer for a client: {answer:?}"),
            };
            assert_eq!(request.answered.replace(said), None, "answered twice");
            assert!(now <= request.deadline, "{} too late", now - request.deadline);
            let effectful = request.class == 1;
            assert!(said != "rejected" || !effectful || request.runs == 0, "rejected, and it ran");
            assert!(said != "served" || request.runs > 0, "served, and it never ran");
        } else if let Some((number, class)) = self.sides[at].remote.remove(&handle) {
            let other = origin(1 - at, self.sides[1 - at].incarnation);
            if class == 1 {
                let outcome = match answer {
                    PeerAnswer::Served => Outcome::Served(()),
                    PeerAnswer::Failed => Outcome::Failed,
                    _ => Outcome::Rejected { retry_after: 0 },
                };
                self.sides[at].outcomes.record(&other, number, outcome);
            }
            let rejected = matches!(answer, PeerAnswer::Rejected { .. });
            self.sides[at].router.remote_request_ended(self.now, GATEWAY, class, rejected);
            self.send(at, Frame::Answer { number, answer });
        }
    }

    /// The module at a side is done with a request.
    pub fn local_done(&mut self, at: usize, handle: RequestHandle, deadline: Micros) {
        let side = &mut self.sides[at];
        let request = match (side.own.get(&handle), side.remote.get(&handle)) {
            (Some(&request), _) => request,
            (None, Some(&(number, _))) => self.forwarded[&(number as usize * 2 + (1 - at))] as usize,
            _ => return,
        };
        let primary = self.primary == at;
        let needs_primary = matches!(self.requests[request].class, 1 | 2);
        let actions = if needs_primary && !primary && self.now > deadline - 60 * MS {
            side.router.local_finished(self.now, handle, LocalResult::Rejected { retry_after: 0 })
        } else if needs_primary && !primary {
            let actions = side.router.local_not_primary(self.now, handle);
            if !actions.requests.contains(&(handle, Action::Withdraw)) {
                side.local.insert(handle, (self.now + 30 * MS, deadline));
            } else {
                side.local.insert(handle, (0, 0));
            }
            actions
        } else {
            let ended = match self.rng.random_range(0..20) {
                0 => LocalResult::Rejected { retry_after: 0 },
                1 => LocalResult::Failed,
                _ => LocalResult::Served,
            };
            if !matches!(ended, LocalResult::Rejected { .. }) {
                self.requests[request].runs += 1;
                let request_state = &self.requests[request];
                assert!(
                    request_state.class != 1 || request_state.runs == 1,
                    "an effectful request ran twice"
                );
                assert!(
                    request_state.class != 1 || request_state.answered != Some("rejected"),
                    "it ran after a denial"
                );
            }
            side.router.local_finished(self.now, handle, ended)
        };
        self.carry_out(at, actions);
    }

    pub fn arrive(&mut self, at: usize, frame: Frame) {
        let other = origin(1 - at, self.sides[1 - at].incarnation);
        let (now, own) = (self.now, self.sides[at].incarnation);
        match frame {
            Frame::Request { incarnation, .. } if incarnation != own => {}
            Frame::Request { number, class, left, .. } => {
                // Whatever its effect, a number is taken once: a doubled frame is no second request.
                if self.sides[at].outcomes.accept(now, &other, number, left).is_err() {
                    return;
                }
                self.sides[at].router.remote_request_started(GATEWAY, class);
                let request = Request {
                    class,
                    group: GROUP,
                    timeout: left - self.delay,
                    visited: vec![FAR_SITE],
                    session: None,
                };
                let (handle, actions) = self.sides[at].router.accept(now, request);
                self.sides[at].remote.insert(handle, (number, class));
                self.carry_out(at, actions);
            }
            Frame::Answer { number, answer } => {
                let actions = self.sides[at].router.answered(now, number, answer);
                self.carry_out(at, actions);
            }
            Frame::OutcomeQuery { number, incarnation } => {
                let outcome = self.sides[at].outcomes.query(now, &other, number, incarnation, own);
                self.send(at, Frame::OutcomeReply { number, outcome });
            }
            Frame::OutcomeReply { number, outcome } => {
                let actions = self.sides[at].router.outcome_received(now, number, &outcome);
                self.carry_out(at, actions);
            }
            Frame::Cancel(number) => {
                let remote = self.sides[at].remote.iter().find(|(_, remote)| remote.0 == number);
                if let Some((&handle, _)) = remote {
                    // What the module has begun goes on there.
                    if !self.sides[at].local.contains_key(&handle) {
                        let actions = self.sides[at].router.abandon(now, handle);
                        self.carry_out(at, actions);
                    }
                }
            }
            Frame::Confirm(upto) => self.sides[at].outcomes.confirm(&other, upto),
        }
    }
}

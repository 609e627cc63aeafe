//! The actor that owns the router: every decision is asked for here, and carried out at once.

mod book;
mod hub;
mod lists;
mod members_clock;
mod open;
mod sight;
mod steps;
mod warmth;

pub use hub::{Hub, Opening};
pub use sight::Sight;
pub use warmth::Warmth;

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use aldermill_measured::ClockOffset;
use aldermill_routing::{Handle, MemberId, Micros, Need, Outcome, Role, Router, Task, Todo, Verdict};
use aldermill_sites::Handle as SitesHandle;
use aldermill_terms::Decoded;
use aldermill_wire::statement::quoted;
use slog::warn;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use crate::context::Context;
use crate::desk::lists::Peer;
use crate::desk::open::Open;
use crate::trial::Trial;
use crate::words::{Answer, Bulletin, Call, ClientId, Ended, Gave, Mail, Order, Withdrawal};

/// Where a client's task is.
#[derive(Clone, Copy)]
pub(crate) enum Holder {
    Here(Handle),
    Via(SitesHandle),
}

/// What the desk turns to.
enum Next {
    Bulletin(Bulletin),
    Wake,
    WakeSites,
    Drain,
    /// A record of the gateway's book was kept, or was not; or has waited too long.
    Kept(bool),
    KeptLate,
    Call(Call),
}

/// How often others have their turn after a standstill, before the desk goes on: to hear of what came, to read it,
/// and to hand it on.
const TURNS: usize = 3;

pub struct Desk {
    pub(crate) context: Rc<Context>,
    pub(crate) decoded: Decoded,
    pub(crate) router: Router,
    /// Other settings that are watched.
    trial: Option<Trial>,
    /// Where this driver is a gateway to other sites.
    pub(crate) hub: Option<Hub>,
    /// By the router's index; an index whose member was let go stands empty until it is given out anew.
    peers: Vec<Option<Peer>>,
    member_ids: HashMap<String, MemberId>,
    /// What the members' clock is ahead of the router's, and what the router was told of that.
    clock_offset: ClockOffset,
    told_offset: Micros,
    groups: HashSet<u64>,
    pub(crate) open: HashMap<Handle, Open>,
    /// The ids of the tasks under way.
    pub(crate) open_ids: HashSet<String>,
    pub(crate) by_client: HashMap<ClientId, Holder>,
    /// What ended while a decision was being carried out.
    pending: VecDeque<Call>,
    warmth: Warmth,
    lines: warmth::Lines,
    /// Where the fleet decides on zones or splits in common: what it is to know of this driver.
    sight: Option<Sight>,
    wake_at: Micros,
    /// Of the time spent standing, what router and sites know of.
    stood: Micros,
    ready: watch::Sender<bool>,
    requests: Option<mpsc::Sender<()>>,
    /// Who waits until nothing of other gateways is under way.
    parted: Vec<oneshot::Sender<()>>,
}

impl Desk {
    #[expect(clippy::too_many_arguments)]
    pub fn new(
        context: Rc<Context>,
        decoded: Decoded,
        seed: u64,
        hub: Option<Hub>,
        trial: Option<Trial>,
        warmth: Warmth,
        sight: Option<Sight>,
        ready: watch::Sender<bool>,
        requests: Option<mpsc::Sender<()>>,
    ) -> Desk {
        let now = context.clock.now();
        Desk {
            router: Router::start(decoded.terms.clone(), seed, now),
            decoded,
            trial,
            hub,
            peers: Vec::new(),
            member_ids: HashMap::new(),
            clock_offset: ClockOffset::default(),
            told_offset: 0,
            groups: HashSet::new(),
            open: HashMap::new(),
            open_ids: HashSet::new(),
            by_client: HashMap::new(),
            pending: VecDeque::new(),
            warmth,
            lines: warmth::Lines::default(),
            sight,
            wake_at: now,
            stood: 0,
            ready,
            requests,
            parted: Vec::new(),
            context,
        }
    }

    /// Serves until every other actor is gone. The list comes first: the rule on drains counts from when it
    /// was written. Nothing here ever waits for another actor, but for some turns of all after a standstill.
    pub async fn run(mut self, mut bulletins: mpsc::Receiver<Bulletin>, mut calls: mpsc::Receiver<Call>) {
        let mut stopping = self.context.stopping.clone();
        loop {
            let (hub_wakes, draining) =
                self.hub.as_ref().map_or((None, true), |hub| (Some(hub.wake_at), hub.is_draining()));
            let book_due = self.hub.as_ref().and_then(|hub| hub.book.as_ref()?.due());
            let kept = self.hub.as_mut().and_then(|hub| hub.kept.as_mut());
            let clock = self.context.clock;
            let next = tokio::select! {
                biased;
                Some(bulletin) = bulletins.recv() => Next::Bulletin(bulletin),
                () = sleep_until(clock.instant(self.wake_at)) => Next::Wake,
                () = sleep_until(clock.instant(hub_wakes.unwrap_or(0))), if hub_wakes.is_some() => Next::WakeSites,
                Ok(_) = stopping.wait_for(Option::is_some), if !draining => Next::Drain,
                Some(well) = confirmed(kept) => Next::Kept(well),
                () = sleep_until(clock.instant(book_due.unwrap_or(0))), if book_due.is_some() => Next::KeptLate,
                call = calls.recv() => match call {
                    Some(call) => Next::Call(call),
                    None => return,
                },
            };
            let stood = self.context.lived.stood() - self.stood;
            if stood > 0 {
                warn!(self.context.log, "stood still"; "ms" => stood / 1000);
                self.tell_of_standstills();
                // What the list said meanwhile comes before what it forbids: the list's actor reads it first.
                for _ in 0..TURNS {
                    yield_now().await;
                }
                while let Ok(bulletin) = bulletins.try_recv() {
                    self.bulletin(bulletin);
                }
            }
            match next {
                Next::Bulletin(bulletin) => self.bulletin(bulletin),
                Next::Wake => {
                    let now = self.context.clock.now();
                    let ((), todo) = self.ask(|router| ((), router.wake(now)));
                    self.carry_out(todo);
                    self.keep_warm();
                }
                Next::WakeSites => self.wake_sites(),
                Next::Drain => self.drain_sites(),
                Next::Kept(well) => self.kept(well),
                Next::KeptLate => self.book_gives_up(),
                Next::Call(call) => self.call(call),
            }
            while let Some(call) = self.pending.pop_front() {
                self.call(call);
            }
            if !self.parted.is_empty() && self.hub.as_ref().is_none_or(|hub| hub.guests() == 0) {
                for asked in self.parted.drain(..) {
                    let _ = asked.send(());
                }
            }
        }
    }

    /// Whoever decides hears of a standstill before anything that fell into it.
    fn tell_of_standstills(&mut self) {
        let stood = self.context.lived.stood();
        let long = stood - std::mem::replace(&mut self.stood, stood);
        if long > 0 {
            self.router.stood_still(self.context.clock.now(), long);
            self.sites_stood_still();
        }
    }

    /// Asks the router, and, for a sample, a copy of it under the settings on trial, whose answer is only counted.
    pub(crate) fn ask<T>(&mut self, decide: impl Fn(&mut Router) -> (T, Todo)) -> (T, Todo) {
        self.tell_of_standstills();
        let Some(trial) = &mut self.trial else { return decide(&mut self.router) };
        let asked = trial.ask(&mut self.router, decide);
        trial.tell(&self.context.log, false);
        asked
    }

    fn call(&mut self, call: Call) {
        match call {
            Call::Take(order) => self.take(order),
            Call::Left(client) => {
                // Nobody waits for it any more, wherever it is.
                match self.by_client.remove(&client) {
                    Some(Holder::Here(handle)) => self.leave_here(handle),
                    Some(Holder::Via(handle)) => self.trip_left(handle),
                    None => {}
                }
            }
            Call::Ended(ended) => self.ended(ended),
            Call::Probed { member, verdict, took, mut told, replica_words } => {
                self.hears_clock(member, &mut told, None);
                self.said_replica(member, replica_words);
                let now = self.context.clock.now();
                let ((), todo) = self.ask(|router| ((), router.probed(now, member, verdict, took, told)));
                self.carry_out(todo);
                if told.role == Some(Role::Primary)
                    && let Some(group) =
                        self.peers.get(member).and_then(Option::as_ref).map(|peer| peer.group)
                {
                    self.primary_here(group);
                }
            }
            Call::Trial(trial) => {
                if let Some(ended) = &mut self.trial {
                    ended.tell(&self.context.log, true);
                }
                self.trial = trial.map(|trial| *trial);
            }
            Call::Link(link, call) => self.link(link, call),
            Call::Parted(asked) => {
                if let Some(trial) = &mut self.trial {
                    trial.tell(&self.context.log, true);
                }
                self.parted.push(asked);
            }
            Call::Fleet { living, at_cold } => {
                let told = |router: &mut Router| (router.fleet(living, at_cold), Todo::default());
                let ((), todo) = self.ask(told);
                self.carry_out(todo);
            }
            Call::Sight(asked) => self.tell_sight(asked),
            Call::Lean(leans) => self.leans(&leans),
            Call::Bind(plans) => self.bind(plans),
            Call::Describe(asked) => {
                let _ = asked.send(self.describe());
            }
            Call::Crowded(member) => self.make_room(member),
        }
    }

    /// A client's task: from its statement to the router, and on its way.
    fn take(&mut self, order: Order) {
        let refuse = |answer| {
            let _ = order.mailbox.try_send(Mail::Answer(order.client, answer));
        };
        let Ok(offering) = self.decoded.offering(&order.comment.offering) else {
            return refuse(Answer::Wrong("unknown offering"));
        };
        let elsewhere = self.hub.as_ref().is_some_and(|hub| hub.knows_group(order.comment.group));
        // The list may be older than its cluster: it was not sent on, and may be asked again.
        if !self.groups.contains(&order.comment.group) && !elsewhere {
            return refuse(Answer::Denied { cool_down: 0 });
        }
        if self.open_ids.contains(&order.comment.id) {
            return refuse(Answer::Wrong("a task with this id is under way"));
        }
        let trips = self.hub.as_ref().map_or(0, Hub::trips);
        if self.open.len().max(trips) >= self.context.limits.tasks {
            return refuse(Answer::Denied { cool_down: 0 });
        }
        if self.hub.is_some() {
            return self.dispatch(order, offering);
        }
        // The wait has run since the statement arrived.
        let deadline = order.arrived + Micros::from(order.comment.wait) * 1000;
        let (client, id) = (order.client, order.comment.id.clone());
        let mailbox = Some((client, order.mailbox.clone()));
        let (handle, todo) = self.hand_over(Rc::new(order), offering, deadline, mailbox, None);
        self.by_client.insert(client, Holder::Here(handle));
        self.open_ids.insert(id);
        self.carry_out(todo);
    }

    /// Hands a task to the module here, to be answered by `deadline` on the router's clock: a moment, which a process
    /// that is held up on the way does not put off. What the module returns is not carried out yet.
    pub(crate) fn hand_over(
        &mut self,
        order: Rc<Order>,
        offering: usize,
        deadline: Micros,
        client: Option<(ClientId, mpsc::Sender<Mail>)>,
        via: Option<SitesHandle>,
    ) -> (Handle, Todo) {
        let now = self.context.clock.now();
        let keyed = matches!(self.decoded.terms.offerings[offering].need, Need::Write | Need::OwnWrites);
        let session = if keyed { quoted(&order.statement[order.comment.end..]) } else { None };
        let task = Task {
            offering,
            group: order.comment.group,
            ttl: deadline - now,
            waited: now - order.arrived,
            session,
            last_write: order.last_write(now),
            repeat: order.comment.repeat,
        };
        let (handle, todo) = self.ask(|router| router.take(now, task.clone()));
        let best = self.context.best_paid.contains(&order.comment.offering);
        let withdrawal = Withdrawal::default();
        self.open.insert(handle, Open { via, best, deadline, client, withdrawal, order });
        (handle, todo)
    }

    fn ended(&mut self, ended: Ended) {
        let Ended { handle, verdict, sent, took, mut told, gave, replica_words } = ended;
        if let Some((member, words)) = replica_words {
            let written = self.writes_once(handle) && verdict == Verdict::Honoured;
            self.hears_clock(member, &mut told, written.then_some(sent));
            self.said_replica(member, words);
        }
        self.sees_end(handle, verdict, took);
        match gave {
            Gave::Rows(rows) => self.answer(handle, Answer::Honoured(rows)),
            Gave::MoreThanFits => self.deny_for_room(handle),
            Gave::Nothing => {}
        }
        let open = self.open.get(&handle);
        let (via, group) = open.map_or((None, 0), |open| (open.via, open.order.comment.group));
        // The gateway hears of a miss first: it may take the task back before the module sends it on.
        let (mut missed, mut taken_back) = (None, false);
        match via {
            Some(via) if verdict == Verdict::Miss => (missed, taken_back) = self.here_missed(via),
            Some(via) if verdict != Verdict::Honoured && !verdict.never_ran() => self.may_have_run(via, took),
            _ => {}
        }
        let closed = taken_back || self.open.get(&handle).is_none_or(|open| open.client.is_none());
        let outcome = Outcome { verdict, took, told, closed };
        let now = self.context.clock.now();
        let ((), todo) = self.ask(|router| ((), handle.ended(router, now, outcome)));
        self.carry_out(todo);
        self.release(handle);
        if let Some(missed) = missed {
            self.carry_out_sites(missed, None);
        }
        if via.is_some() && told.role == Some(Role::Primary) {
            self.primary_here(group);
        }
    }

    /// The router is to forget a request that nobody waits for here any more; what was sent of it goes on.
    pub(crate) fn leave_here(&mut self, handle: Handle) {
        if let Some(open) = self.open.get_mut(&handle) {
            open.withdraw();
        }
        let now = self.context.clock.now();
        let ((), todo) = self.ask(|router| ((), handle.left(router, now)));
        self.carry_out(todo);
        self.release(handle);
    }

    /// Drops what is kept for a task of which nothing more can be heard.
    pub(crate) fn release(&mut self, handle: Handle) {
        if !self.router.knows(handle)
            && let Some(open) = self.open.remove(&handle)
            && open.via.is_none()
        {
            self.open_ids.remove(&open.order.comment.id);
            if let Some((client, _)) = open.client {
                self.by_client.remove(&client);
            }
        }
    }
}

/// The next word on a record of the gateway's book, where there is one.
async fn confirmed(kept: Option<&mut mpsc::Receiver<bool>>) -> Option<bool> {
    match kept {
        Some(kept) => kept.recv().await,
        None => None,
    }
}

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use ipnet::IpNet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::frame::{self, Content, GossipCodec, RejectReason};
use crate::interface::{Actions, Change, DroppedDatagrams, LocalPeer, ProtocolPeriods, SeedAddress};
use crate::snapshot::{LiveCount, Snapshot};
use crate::{Health, Micros, Peer};

/// How often somebody who is not known to live is called: what was divided finds together, and who started alone.
const CALLING: Micros = 2_000_000;
/// Called each time.
const CALLS: usize = 2;
/// After a start, or an absence, others are asked whom they know, so often and for so long: what was news while nobody
/// listened here is told no more.
const ASKING: Micros = 500_000;
const NEW: Micros = 15_000_000;

type Swim = Foca<Peer, GossipCodec, Pcg64Mcg, NoCustomBroadcast>;

/// The other drivers, as this one knows of them.
pub struct Membership {
    swim: Swim,
    form: GossipCodec,
    fleet: u64,
    networks: Vec<IpNet>,
    peers: Vec<SeedAddress>,
    /// Where those are whom the operator names.
    routes: HashMap<String, SocketAddr>,
    health: Health,
    counted: LiveCount,
    dropped: DroppedDatagrams,
    /// By when, in their order.
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    next_timer: u64,
    call_at: Micros,
    /// When it was last new here, and when others are next asked whom they know.
    new_at: Micros,
    ask_at: Micros,
    rng: Pcg64Mcg,
    /// It left, or a later start has its name.
    silent: bool,
    actions: Actions,
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl Membership {
    /// `drivers` is how many there may be; `networks` are those that others may come from.
    pub fn start(
        now: Micros,
        own: LocalPeer,
        peers: Vec<SeedAddress>,
        networks: Vec<IpNet>,
        tempo: ProtocolPeriods,
        drivers: usize,
        seed: u64,
    ) -> (Membership, Actions) {
        let LocalPeer { fleet, name, address, start } = own;
        let own = Peer { name: name.as_str().into(), start, turn: 0, address };
        let form = GossipCodec { own: Rc::new(RefCell::new(own.clone())), later_self: Rc::default() };
        let time = |micros: Micros| Duration::from_micros(micros.max(1) as u64);
        let few = |count| NonZeroUsize::new(count).expect("not zero");
        // Each piece of news goes out as often as reaches all with near certainty.
        let often = (4.0 * (drivers as f64 + 1.0).log10()).ceil().clamp(2.0, 40.0);
        let terms = foca::Config {
            probe_period: time(tempo.period),
            probe_rtt: time(tempo.trip),
            num_indirect_probes: few(3),
            max_transmissions: NonZeroU8::new(often as u8).expect("not zero"),
            suspect_to_down_after: time(tempo.suspicion),
            remove_down_after: Duration::from_secs(3600),
            max_packet_size: few(frame::MOST - frame::HEAD),
            notify_down_members: true,
            periodic_announce: Some(PeriodicParams {
                frequency: Duration::from_secs(20),
                num_members: few(1),
            }),
            periodic_announce_to_down_members: Some(PeriodicParams {
                frequency: time(tempo.suspicion),
                num_members: few(1),
            }),
            periodic_gossip: Some(PeriodicParams { frequency: time(tempo.gossip), num_members: few(3) }),
        };
        let swim = Foca::new(own, terms, Pcg64Mcg::seed_from_u64(seed), form.clone());
        let routes = peers.iter().filter_map(|peer| Some((peer.name.clone()?, peer.address))).collect();
        let peers = peers.into_iter().filter(|peer| peer.name.as_deref() != Some(&name)).collect();
        let mut fellows = Membership {
            swim,
            form,
            fleet: frame::tag(&fleet),
            networks,
            peers,
            routes,
            health: Health::default(),
            counted: LiveCount::start(now),
            dropped: DroppedDatagrams::default(),
            timers: BTreeMap::new(),
            next_timer: 0,
            call_at: now,
            new_at: now,
            ask_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed.rotate_left(17)),
            silent: false,
            actions: Actions::default(),
        };
        let actions = fellows.wake(now);
        (fellows, actions)
    }

    pub fn view(&self, now: Micros) -> Snapshot {
        self.counted.view(now)
    }

    pub fn dropped(&self) -> DroppedDatagrams {
        self.dropped
    }

    /// This driver, under its present turn.
    pub fn own(&self) -> &Peer {
        self.swim.identity()
    }

    /// Those that live as far as is known, without this one.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.swim.iter_members().map(foca::Member::id)
    }

    /// What is to be sent so that the driver of that name hears these words, 1000 bytes at most; `None` where nobody knows
    /// where it is, or this one is silent. As any datagram it may be lost.
    pub fn encode_payload(&self, to: &str, words: &[u8]) -> Option<(SocketAddr, Vec<u8>)> {
        let known = || self.alive().find(|fellow| *fellow.name == *to).map(|fellow| fellow.address);
        let address = self.routes.get(to).copied().or_else(known)?;
        (!self.silent).then(|| (address, frame::word(self.fleet, self.own(), words)))
    }

    /// A datagram came. Whatever it holds, it harms nothing beyond itself.
    pub fn receive(&mut self, now: Micros, from: IpAddr, datagram: &[u8]) -> Actions {
        if self.silent {
            return Actions::default();
        }
        if !self.networks.iter().any(|network| network.contains(&from)) {
            self.dropped.stranger += 1;
            return self.settle(now);
        }
        let inner = match frame::open(self.fleet, datagram) {
            Ok(inner) => inner,
            Err(why) => {
                *match why {
                    RejectReason::NotMembership => &mut self.dropped.not_ours,
                    RejectReason::UnsupportedVersion => &mut self.dropped.version,
                    RejectReason::UnknownFleet => &mut self.dropped.fleet,
                } += 1;
                return self.settle(now);
            }
        };
        let (gossip, word, sender) = match inner {
            Content::Gossip(gossip, sender) => (Some(gossip), None, sender),
            Content::Payload(word, sender) => (None, Some(word), sender),
            Content::LaterStart(later) => {
                let own = self.swim.identity();
                if later.name == own.name && later.start > own.start {
                    self.displaced(later);
                } else {
                    self.dropped.unusable += 1;
                }
                return self.settle(now);
            }
        };
        // An earlier start that still runs would be told that it is dead, and come back without end.
        let supersedes = |at: &&Peer| at.name == sender.name && at.start > sender.start;
        let later = self.alive().find(supersedes).cloned();
        if let Some(later) = later {
            let word = frame::later_start(self.fleet, &later);
            self.actions.send.push((sender.address, word));
            return self.settle(now);
        }
        // An earlier start's words count no more.
        self.actions.words.extend(word.map(|word| (sender, word.to_vec())));
        let Some(gossip) = gossip else { return self.settle(now) };
        let mut out = AccumulatingRuntime::new();
        match self.swim.handle_data(gossip, &mut out) {
            Ok(()) => self.counted.heard(now),
            Err(_) => self.dropped.unusable += 1,
        }
        self.carry_out(now, out);
        let later = self.form.later_self.borrow_mut().take();
        later.into_iter().for_each(|later| self.displaced(later));
        self.settle(now)
    }

    /// Protects the fleet from two that call each other dead without end. Harms the wrong one of two where an operator
    /// gave one name twice: the older falls silent, and says why.
    fn displaced(&mut self, later: Peer) {
        self.silent = true;
        self.actions.changes.push(Change::Superseded(later));
    }

    /// To be called at the time that was asked for, after all datagrams that are there.
    pub fn wake(&mut self, now: Micros) -> Actions {
        if self.silent {
            return Actions::default();
        }
        self.call(now);
        self.ask(now);
        // Late ones in the order that the protocol wants: answers are counted before silence is.
        let later = self.timers.split_off(&(now + 1, 0));
        let mut due: Vec<Timer<Peer>> = std::mem::replace(&mut self.timers, later).into_values().collect();
        due.sort();
        for timer in due {
            let probes = matches!(timer, Timer::ProbeRandomMember(_));
            let mut out = AccumulatingRuntime::new();
            // What cannot be done any more concerns a fellow that is gone.
            let done = self.swim.handle_timer(timer, &mut out);
            let timers: Vec<_> = std::iter::from_fn(|| out.to_schedule()).collect();
            let before = self.health;
            if probes && done.is_ok() {
                // A round is over. Where the one probed is accused, this driver doubts itself as well.
                let accuses = |(_, timer): &_| matches!(timer, Timer::ChangeSuspectToDown { .. });
                if timers.iter().any(accuses) { self.health.unheard() } else { self.health.heard() }
            }
            self.schedule(now, timers, before);
            self.carry_out(now, out);
        }
        self.settle(now)
    }

    /// This process stood still for a time that `now` does not count.
    pub fn resume_after_stall(&mut self, now: Micros) {
        self.counted.away(now);
        self.health.absent();
        (self.call_at, self.new_at, self.ask_at) = (now, now, now);
    }

    /// The others are told that it goes; nothing is sent after that.
    pub fn leave(&mut self) -> Actions {
        let mut out = AccumulatingRuntime::new();
        if !self.silent && self.swim.leave_cluster(&mut out).is_ok() {
            self.carry_out(0, out);
        }
        self.silent = true;
        let mut actions = std::mem::take(&mut self.actions);
        actions.changes.clear();
        actions
    }

    /// Calls some of those whom the operator names and who are not known to live.
    fn call(&mut self, now: Micros) {
        if now < self.call_at {
            return;
        }
        // One that is alone is in a hurry, while it is new.
        let hurry = self.swim.num_members() == 0 && now - self.new_at < NEW;
        let pause = if hurry { CALLING / 8 } else { CALLING };
        self.call_at = now + pause + self.rng.random_range(0..pause / 4);
        let known = |peer: &SeedAddress| match &peer.name {
            Some(name) => self.swim.iter_members().any(|member| *member.id().name == **name),
            None => self.swim.iter_members().any(|member| member.id().address == peer.address),
        };
        let own = self.swim.identity().address;
        let unknown = self.peers.iter().filter(|peer| peer.address != own && !known(peer));
        let unknown: Vec<SocketAddr> = unknown.map(|peer| peer.address).collect();
        let count = if self.swim.num_members() == 0 { unknown.len().min(8) } else { CALLS };
        for at in rand::seq::index::sample(&mut self.rng, unknown.len(), count.min(unknown.len())) {
            let nobody = Peer { name: "".into(), start: 0, turn: 0, address: unknown[at] };
            let mut out = AccumulatingRuntime::new();
            if self.swim.announce(nobody, &mut out).is_ok() {
                self.carry_out(now, out);
            }
        }
    }

    /// One that is new here asks whom others know.
    fn ask(&mut self, now: Micros) {
        if now < self.ask_at || now - self.new_at > NEW {
            return;
        }
        self.ask_at = now + ASKING;
        let known = self.swim.num_members();
        let some = self.rng.random_range(0..known.max(1));
        let asked = self.alive().nth(some).cloned();
        let mut out = AccumulatingRuntime::new();
        if asked.is_some_and(|asked| self.swim.announce(asked, &mut out).is_ok()) {
            self.carry_out(now, out);
        }
    }

    fn carry_out(&mut self, now: Micros, mut out: AccumulatingRuntime<Peer>) {
        while let Some((to, inner)) = out.to_send() {
            let address = self.routes.get(&*to.name).copied().unwrap_or(to.address);
            self.actions.send.push((address, frame::gossip(self.fleet, &inner)));
        }
        self.schedule(now, std::iter::from_fn(|| out.to_schedule()), self.health);
        while let Some(note) = out.to_notify() {
            let change = match note {
                OwnedNotification::MemberUp(fellow) => Change::Up(fellow),
                OwnedNotification::MemberDown(fellow) => Change::Down(fellow),
                OwnedNotification::Rename(_, after) => Change::Restarted(after),
                OwnedNotification::Rejoin(own) => {
                    *self.form.own.borrow_mut() = own;
                    self.health.absent();
                    self.counted.away(now);
                    (self.new_at, self.ask_at) = (now, now);
                    Change::Rejoined
                }
                _ => continue,
            };
            self.actions.changes.push(change);
        }
    }

    /// `before` is the doubt before what has just been found out: nobody waits longer with an accusation for its own sake.
    fn schedule(
        &mut self,
        now: Micros,
        timers: impl IntoIterator<Item = (Duration, Timer<Peer>)>,
        before: Health,
    ) {
        for (after, timer) in timers {
            // The patience with a probe and with one that is suspected is stretched by doubt; so is the pace, as what a
            // probe needs must fit in its round.
            let stretch = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.stretch(),
                Timer::ChangeSuspectToDown { .. } => before.stretch(),
                _ => 1,
            };
            let after = micros(after) * Micros::from(stretch);
            self.timers.insert((now + after, self.next_timer), timer);
            self.next_timer += 1;
        }
    }

    fn settle(&mut self, now: Micros) -> Actions {
        self.counted.alive(now, self.swim.num_members() + 1);
        let first = self.timers.first_key_value().map(|(&(at, _), _)| at);
        let asks = (now - self.new_at <= NEW).then_some(self.ask_at);
        self.actions.wake_at = [first, Some(self.call_at), asks].into_iter().flatten().min();
        if self.silent {
            self.actions.wake_at = None;
        }
        std::mem::take(&mut self.actions)
    }
}

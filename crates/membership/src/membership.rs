//! The fleet as one proxy knows it: takes datagrams, fires timers, and keeps the count of live proxies.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams, Timer};
use ipnet::IpNet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::actions::{Actions, Change, DroppedDatagrams, OutgoingDatagram, ReceivedPayload};
use crate::catch_up::CatchUp;
use crate::codec::GossipCodec;
use crate::config::{Config, LocalPeer, ProtocolPeriods, SeedAddress};
use crate::frame::{self, Content};
use crate::live_count::LiveCount;
use crate::local_health::LocalHealth;
use crate::seeds::Seeds;
use crate::start_number::StartNumberAssigner;
use crate::timer_queue::TimerQueue;
use crate::{Micros, Peer, Snapshot};

/// Other proxies that probe in this one's place when a probe has no answer.
const INDIRECT_PROBES: usize = 3;
/// Proxies that a change is gossiped to at a time.
const GOSSIP_FANOUT: usize = 3;
/// How often a change is passed on by each proxy, for each decade of the fleet's size: with this it reaches all with near
/// certainty.
const TRANSMISSIONS_PER_DECADE: f64 = 4.0;
const MIN_TRANSMISSIONS: f64 = 2.0;
const MAX_TRANSMISSIONS: f64 = 40.0;
/// How often a random live proxy is asked whom it knows, which heals what gossip has missed.
const PEER_LIST_REQUEST_INTERVAL: Duration = Duration::from_secs(20);
/// How long a proxy that was declared dead is remembered, so that old gossip does not revive it.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);

type Swim = Foca<Peer, GossipCodec, Pcg64Mcg, NoCustomBroadcast>;

/// The fleet as one proxy knows it.
pub struct Membership {
    swim: Swim,
    codec: GossipCodec,
    fleet_tag: u64,
    networks: Vec<IpNet>,
    seeds: Seeds,
    /// Where proxies listen that the operator names.
    named_addresses: HashMap<String, SocketAddr>,
    local_health: LocalHealth,
    live_count: LiveCount,
    dropped: DroppedDatagrams,
    timers: TimerQueue,
    catch_up: CatchUp,
    start_number_assigner: StartNumberAssigner,
    rng: Pcg64Mcg,
    /// It has left, or a later start has its name: it neither sends nor takes anything.
    is_stopped: bool,
    /// What the running call returns in the end.
    actions: Actions,
}

impl Membership {
    /// Joins the fleet: the first actions announce this proxy to some of the seeds. Equal seeds of the random numbers give
    /// equal runs.
    pub fn start(now: Micros, config: Config, rng_seed: u64) -> (Membership, Actions) {
        let Config { local, seeds, networks, periods, fleet_size } = config;
        let LocalPeer { fleet, name, address, start } = local;
        let peer = Peer { name: name.as_str().into(), start, rejoins: 0, address };
        let codec = GossipCodec::new(peer.clone());
        let swim_config = swim_config(periods, fleet_size);
        let swim = Foca::new(peer, swim_config, Pcg64Mcg::seed_from_u64(rng_seed), codec.clone());
        let named = |seed: &SeedAddress| Some((seed.name.clone()?, seed.address));
        let named_addresses = seeds.iter().filter_map(named).collect();
        let other_seeds = seeds.into_iter().filter(|seed| seed.name.as_deref() != Some(&name)).collect();
        let mut membership = Membership {
            swim,
            codec,
            fleet_tag: frame::fleet_tag(&fleet),
            networks,
            seeds: Seeds::start(now, other_seeds),
            named_addresses,
            local_health: LocalHealth::default(),
            live_count: LiveCount::start(now),
            dropped: DroppedDatagrams::default(),
            timers: TimerQueue::default(),
            catch_up: CatchUp::start(now),
            start_number_assigner: StartNumberAssigner::new(now),
            rng: Pcg64Mcg::seed_from_u64(rng_seed.rotate_left(17)),
            is_stopped: false,
            actions: Actions::default(),
        };
        let actions = membership.wake(now);
        (membership, actions)
    }

    /// What this proxy may conclude on the fleet now.
    #[must_use]
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        self.live_count.snapshot(now)
    }

    /// How many datagrams were dropped since the start, by reason.
    #[must_use]
    pub fn dropped(&self) -> DroppedDatagrams {
        self.dropped
    }

    /// This proxy, as the others know it now.
    #[must_use]
    pub fn local(&self) -> &Peer {
        self.swim.identity()
    }

    /// The other proxies that are known to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.swim.iter_members().map(foca::Member::id)
    }

    /// The datagram that brings a payload of another package, of 1000 bytes at most, to the proxy of that name. `None` if
    /// its address is not known, or this proxy is silent. As any datagram it may be lost.
    #[must_use]
    pub fn encode_payload(&self, to: &str, payload: &[u8]) -> Option<OutgoingDatagram> {
        if self.is_stopped {
            return None;
        }
        let announced = || self.alive().find(|peer| *peer.name == *to).map(|peer| peer.address);
        let to = self.named_addresses.get(to).copied().or_else(announced)?;
        Some(OutgoingDatagram { to, bytes: frame::encode_payload(self.fleet_tag, self.local(), payload) })
    }

    /// Takes a datagram that came from this address. One that is malformed or not for this proxy is counted and dropped.
    pub fn receive(&mut self, now: Micros, from: IpAddr, datagram: &[u8]) -> Actions {
        if self.is_stopped {
            return Actions::default();
        }
        if !self.networks.iter().any(|network| network.contains(&from)) {
            self.dropped.unknown_network += 1;
            return self.take_actions(now);
        }
        match frame::decode(self.fleet_tag, datagram) {
            Err(reason) => self.dropped.increment(reason),
            Ok(Content::LaterStart(peer)) => self.receive_later_start(now, peer),
            Ok(Content::Payload { sender, payload }) => {
                if !self.reject_earlier_start(&sender) {
                    self.actions.payloads.push(ReceivedPayload { sender, payload: payload.to_vec() });
                }
            }
            Ok(Content::Gossip { sender, message }) => {
                if !self.reject_earlier_start(&sender) {
                    self.receive_gossip(now, message);
                }
            }
        }
        self.take_actions(now)
    }

    /// Another proxy says that this name has a later start.
    fn receive_later_start(&mut self, now: Micros, later: Peer) {
        let local = self.swim.identity();
        if later.name == local.name && later.start > local.start {
            self.resolve_name_conflict(now, later);
        } else {
            self.dropped.unusable += 1;
        }
    }

    /// Tells a sender whose name has a start with a higher number so, instead of taking what it sent. If SWIM took it, the
    /// sender would be told that it is dead, rejoin, and so on without end. One that is dead counts as well: SWIM remembers
    /// it for an hour, and takes no lower number meanwhile.
    fn reject_earlier_start(&mut self, sender: &Peer) -> bool {
        let is_later = |peer: &&Peer| peer.name == sender.name && peer.start > sender.start;
        let mut known = self.swim.iter_membership_state().map(foca::Member::id);
        let Some(later) = known.find(is_later) else { return false };
        let bytes = frame::encode_later_start(self.fleet_tag, later);
        self.actions.send.push(OutgoingDatagram { to: sender.address, bytes });
        true
    }

    fn receive_gossip(&mut self, now: Micros, message: &[u8]) {
        let mut effects = AccumulatingRuntime::new();
        match self.swim.handle_data(message, &mut effects) {
            Ok(()) => self.live_count.record_contact(now),
            Err(_) => self.dropped.unusable += 1,
        }
        self.apply(now, effects);
        if let Some(later) = self.codec.take_later_start() {
            self.resolve_name_conflict(now, later);
        }
    }

    /// A start of this name has a higher number. It is a later one, or an earlier one that a wall clock numbered which has
    /// been set back since.
    fn resolve_name_conflict(&mut self, now: Micros, other: Peer) {
        match self.start_number_assigner.number_above(now, self.swim.identity(), &other) {
            Some(start) => self.renumber(now, start),
            None => self.stop_as_superseded(other),
        }
    }

    /// Goes on under another number, by which the others take this start for the latest of its name.
    fn renumber(&mut self, now: Micros, start: u64) {
        let local = Peer { start, rejoins: 0, ..self.swim.identity().clone() };
        let mut effects = AccumulatingRuntime::new();
        // Fails for the present identity only, which has a lower number.
        if self.swim.change_identity(local.clone(), &mut effects).is_err() {
            return;
        }
        self.adopt_identity(now, local.clone());
        self.apply(now, effects);
        self.seeds.make_due(now);
        self.actions.changes.push(Change::Renumbered(local));
    }

    /// Two processes of one name would declare each other dead without end, so the earlier start falls silent. The cost: if
    /// an operator gave one name twice, the older process is out of the fleet, and says so.
    fn stop_as_superseded(&mut self, later: Peer) {
        self.is_stopped = true;
        self.actions.changes.push(Change::Superseded(later));
    }

    /// To be called at [`Actions::wake_at`], after all datagrams that are there.
    pub fn wake(&mut self, now: Micros) -> Actions {
        if self.is_stopped {
            return Actions::default();
        }
        self.announce_to_seeds(now);
        self.request_peer_list(now);
        for timer in self.timers.take_due(now) {
            self.fire_timer(now, timer);
        }
        self.take_actions(now)
    }

    fn fire_timer(&mut self, now: Micros, timer: Timer<Peer>) {
        let ends_probe_round = matches!(timer, Timer::ProbeRandomMember(_));
        let mut effects = AccumulatingRuntime::new();
        // A timer that fails concerns a peer that is gone.
        let fired = self.swim.handle_timer(timer, &mut effects);
        let timers: Vec<(Duration, Timer<Peer>)> = std::iter::from_fn(|| effects.to_schedule()).collect();
        let health_before = self.local_health;
        if ends_probe_round && fired.is_ok() {
            let is_suspicion = |(_, timer): &_| matches!(timer, Timer::ChangeSuspectToDown { .. });
            if timers.iter().any(is_suspicion) {
                self.local_health.record_probe_failure();
            } else {
                self.local_health.record_probe_success();
            }
        }
        self.schedule(now, timers, health_before);
        self.apply(now, effects);
    }

    /// This process was stalled for a time that `now` does not count.
    pub fn resume_after_stall(&mut self, now: Micros) {
        self.live_count.mark_uncertain(now);
        self.local_health.record_absence();
        self.seeds.make_due(now);
        self.catch_up = CatchUp::start(now);
    }

    /// Tells the others that this proxy leaves; it is silent afterwards.
    pub fn leave(&mut self) -> Actions {
        let mut effects = AccumulatingRuntime::new();
        if !self.is_stopped && self.swim.leave_cluster(&mut effects).is_ok() {
            // No timer fires any more, so the time does not matter.
            self.apply(0, effects);
        }
        self.is_stopped = true;
        let mut actions = std::mem::take(&mut self.actions);
        actions.changes.clear();
        actions
    }

    /// Announces this proxy to some of the seeds that are not known to be alive, if that is due.
    fn announce_to_seeds(&mut self, now: Micros) {
        if !self.seeds.is_due(now) {
            return;
        }
        let members: Vec<&foca::Member<Peer>> = self.swim.iter_members().collect();
        let is_new = self.catch_up.is_new(now);
        let local = self.swim.identity().address;
        for address in self.seeds.pick(now, is_new, local, &members, &mut self.rng) {
            let unnamed = Peer { name: "".into(), start: 0, rejoins: 0, address };
            self.announce(now, unnamed);
        }
    }

    /// Asks a random live proxy whom it knows, if this one is new here and that is due.
    fn request_peer_list(&mut self, now: Micros) {
        if !self.catch_up.take_due(now) {
            return;
        }
        let picked = self.rng.random_range(0..self.swim.num_members().max(1));
        let peer = self.alive().nth(picked).cloned();
        if let Some(peer) = peer {
            self.announce(now, peer);
        }
    }

    /// Announces this proxy to another, which answers with some of those that it knows.
    fn announce(&mut self, now: Micros, to: Peer) {
        let mut effects = AccumulatingRuntime::new();
        if self.swim.announce(to, &mut effects).is_ok() {
            self.apply(now, effects);
        }
    }

    /// Turns what SWIM wants into actions and timers.
    fn apply(&mut self, now: Micros, mut effects: AccumulatingRuntime<Peer>) {
        while let Some((to, message)) = effects.to_send() {
            let to = self.named_addresses.get(&*to.name).copied().unwrap_or(to.address);
            let bytes = frame::encode_gossip(self.fleet_tag, &message);
            self.actions.send.push(OutgoingDatagram { to, bytes });
        }
        self.schedule(now, std::iter::from_fn(|| effects.to_schedule()), self.local_health);
        while let Some(notification) = effects.to_notify() {
            let change = match notification {
                OwnedNotification::MemberUp(peer) => Change::Up(peer),
                OwnedNotification::MemberDown(peer) => Change::Down(peer),
                OwnedNotification::Rename(_, restarted) => Change::Restarted(restarted),
                OwnedNotification::Rejoin(local) => {
                    self.adopt_identity(now, local);
                    Change::Rejoined
                }
                _ => continue,
            };
            self.actions.changes.push(change);
        }
    }

    /// The others had declared this proxy dead, and it goes on as another identity.
    fn adopt_identity(&mut self, now: Micros, local: Peer) {
        self.codec.set_local(local);
        self.local_health.record_absence();
        self.live_count.mark_uncertain(now);
        self.catch_up = CatchUp::start(now);
    }

    /// Doubt about this proxy's own health makes probes rarer and their timeouts longer, as a probe must fit in its round,
    /// and suspicions last longer. `suspicion_health` is the health before the probe that raised a suspicion: its outcome
    /// does not lengthen its own suspicion.
    fn schedule(
        &mut self,
        now: Micros,
        timers: impl IntoIterator<Item = (Duration, Timer<Peer>)>,
        suspicion_health: LocalHealth,
    ) {
        for (delay, timer) in timers {
            let factor = match timer {
                Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => {
                    self.local_health.timeout_factor()
                }
                Timer::ChangeSuspectToDown { .. } => suspicion_health.timeout_factor(),
                _ => 1,
            };
            let delay = delay.as_micros() as Micros * Micros::from(factor);
            self.timers.insert(now + delay, timer);
        }
    }

    /// Ends a call: what the caller is to do, and when to call again.
    fn take_actions(&mut self, now: Micros) -> Actions {
        self.live_count.set_alive(now, self.swim.num_members() + 1);
        if !self.is_stopped {
            let announce_at = Some(self.seeds.announce_at());
            let due = [self.timers.next_due_at(), announce_at, self.catch_up.next_due_at(now)];
            self.actions.wake_at = due.into_iter().flatten().min();
        }
        std::mem::take(&mut self.actions)
    }
}

fn swim_config(periods: ProtocolPeriods, fleet_size: usize) -> foca::Config {
    let duration = |micros: Micros| Duration::from_micros(micros.max(1) as u64);
    let non_zero = |count| NonZeroUsize::new(count).expect("not zero");
    let periodic = |frequency, members| Some(PeriodicParams { frequency, num_members: non_zero(members) });
    let transmissions = (TRANSMISSIONS_PER_DECADE * (fleet_size as f64 + 1.0).log10()).ceil();
    let transmissions = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
    foca::Config {
        probe_period: duration(periods.probe_interval),
        probe_rtt: duration(periods.probe_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions).expect("not zero"),
        suspect_to_down_after: duration(periods.suspicion_timeout),
        remove_down_after: DOWN_RETENTION,
        max_packet_size: non_zero(frame::MAX_DATAGRAM_BYTES - frame::HEADER_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(PEER_LIST_REQUEST_INTERVAL, 1),
        // Proxies that were declared dead by mistake, or were cut off, find back by this.
        periodic_announce_to_down_members: periodic(duration(periods.suspicion_timeout), 1),
        periodic_gossip: periodic(duration(periods.gossip_interval), GOSSIP_FANOUT),
    }
}

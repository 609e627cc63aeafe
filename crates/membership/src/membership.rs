//! State machine of the membership protocol: handles datagrams and timers, and tracks the number of live proxies.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, NoCustomBroadcast, OwnedNotification, Timer};
use ipnet::IpNet;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::actions::{Actions, Change, DroppedDatagrams, OutgoingDatagram, ReceivedPayload};
use crate::catch_up::CatchUp;
use crate::codec::GossipCodec;
use crate::config::{Config, LocalPeer, SeedAddress};
use crate::frame::{self, Content};
use crate::live_count::LiveCount;
use crate::local_health::LocalHealth;
use crate::seeds::Seeds;
use crate::start_number::StartNumberAssigner;
use crate::swim_config::swim_config;
use crate::timer_queue::TimerQueue;
use crate::{Micros, Peer, Snapshot};

/// SWIM protocol state with the identity, codec and random number generator of this crate.
type Swim = Foca<Peer, GossipCodec, Pcg64Mcg, NoCustomBroadcast>;

/// One proxy's view of its fleet, and its part in the membership protocol.
pub struct Membership {
    swim: Swim,
    codec: GossipCodec,
    fleet_tag: u64,
    networks: Vec<IpNet>,
    seeds: Seeds,
    /// Configured addresses by proxy name. They take precedence over announced addresses.
    named_addresses: HashMap<String, SocketAddr>,
    local_health: LocalHealth,
    live_count: LiveCount,
    dropped: DroppedDatagrams,
    timers: TimerQueue,
    catch_up: CatchUp,
    start_number_assigner: StartNumberAssigner,
    rng: Pcg64Mcg,
    /// Whether this proxy has left the fleet or been superseded by a later instance of its name. A stopped proxy neither
    /// sends nor accepts datagrams.
    is_stopped: bool,
    /// Actions collected during the current call, to be returned at its end.
    actions: Actions,
}

impl Membership {
    /// Joins the fleet: the returned actions announce this proxy to some of the seeds.
    ///
    /// `rng_seed` seeds the random number generators. Equal values with equal inputs give equal runs.
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

    /// Returns what this proxy may conclude about the fleet at `now`.
    #[must_use]
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        self.live_count.snapshot(now)
    }

    /// Returns the counts of datagrams dropped since the start, by reason.
    #[must_use]
    pub fn dropped(&self) -> DroppedDatagrams {
        self.dropped
    }

    /// Returns the current identity of this proxy, by which the others know it.
    #[must_use]
    pub fn local(&self) -> &Peer {
        self.swim.identity()
    }

    /// Iterates over the other proxies that are known to be alive.
    pub fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.swim.iter_members().map(foca::Member::id)
    }

    /// Encodes a datagram that carries a payload of another crate, of at most 1000 bytes, to the proxy named `to`.
    ///
    /// Returns `None` if the address of that proxy is unknown, or if this proxy has left the fleet or been superseded.
    /// Like any datagram, it may be lost.
    #[must_use]
    pub fn encode_payload(&self, to: &str, payload: &[u8]) -> Option<OutgoingDatagram> {
        if self.is_stopped {
            return None;
        }
        let announced = || self.alive().find(|peer| *peer.name == *to).map(|peer| peer.address);
        let to = self.named_addresses.get(to).copied().or_else(announced)?;
        Some(OutgoingDatagram { to, bytes: frame::encode_payload(self.fleet_tag, self.local(), payload) })
    }

    /// Handles a datagram received from the address `from`. A malformed datagram, or one that is not meant for this proxy,
    /// is counted and dropped.
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
            Ok(Content::LaterInstance(peer)) => self.receive_later_instance(now, peer),
            Ok(Content::Payload { sender, payload }) => {
                if !self.reject_earlier_instance(&sender) {
                    self.actions.payloads.push(ReceivedPayload { sender, payload: payload.to_vec() });
                }
            }
            Ok(Content::Gossip { sender, message }) => {
                if !self.reject_earlier_instance(&sender) {
                    self.receive_gossip(now, message);
                }
            }
        }
        self.take_actions(now)
    }

    /// Handles a later instance notice: another proxy knows an instance of this proxy's name with a higher start number.
    fn receive_later_instance(&mut self, now: Micros, later: Peer) {
        let local = self.swim.identity();
        if later.name == local.name && later.start > local.start {
            self.resolve_name_conflict(now, later);
        } else {
            self.dropped.unusable += 1;
        }
    }

    /// Answers a sender with a later instance notice if a higher start number is known for its name, and returns whether it
    /// did so. The caller then ignores the datagram.
    ///
    /// If SWIM handled the datagram, the sender would be told that it is dead, rejoin, and so on without end. Instances
    /// that were declared dead count as well: SWIM remembers them for an hour, and accepts no lower start number during
    /// that time.
    fn reject_earlier_instance(&mut self, sender: &Peer) -> bool {
        let is_later = |peer: &&Peer| peer.name == sender.name && peer.start > sender.start;
        let mut known = self.swim.iter_membership_state().map(foca::Member::id);
        let Some(later) = known.find(is_later) else { return false };
        let bytes = frame::encode_later_instance(self.fleet_tag, later);
        self.actions.send.push(OutgoingDatagram { to: sender.address, bytes });
        true
    }

    /// Handles a SWIM message. Resolves the name conflict if the message holds a higher start number for this proxy's name.
    fn receive_gossip(&mut self, now: Micros, message: &[u8]) {
        let mut effects = AccumulatingRuntime::new();
        match self.swim.handle_data(message, &mut effects) {
            Ok(()) => self.live_count.record_contact(now),
            Err(_) => self.dropped.unusable += 1,
        }
        self.apply(now, effects);
        if let Some(later) = self.codec.take_later_instance() {
            self.resolve_name_conflict(now, later);
        }
    }

    /// Resolves the conflict with `other`, an instance of the same name with a higher start number. It is either a later
    /// instance, or an earlier one whose number was taken from a wall clock that has been set back since.
    fn resolve_name_conflict(&mut self, now: Micros, other: Peer) {
        match self.start_number_assigner.number_above(now, self.swim.identity(), &other) {
            Some(start) => self.renumber(now, start),
            None => self.stop_as_superseded(other),
        }
    }

    /// Continues under the start number `start`, by which the others accept this instance as the latest of its name.
    fn renumber(&mut self, now: Micros, start: u64) {
        let local = Peer { start, rejoins: 0, ..self.swim.identity().clone() };
        let mut effects = AccumulatingRuntime::new();
        // Fails only if the identity is unchanged, and the current one has a lower start number.
        if self.swim.change_identity(local.clone(), &mut effects).is_err() {
            return;
        }
        self.adopt_identity(now, local.clone());
        self.apply(now, effects);
        self.seeds.make_due(now);
        self.actions.changes.push(Change::Renumbered(local));
    }

    /// Stops this instance because `later` has taken over its name, and reports it as [`Change::Superseded`].
    ///
    /// Two running processes of one name would otherwise declare each other dead without end. The cost is that if an
    /// operator gave one name to two proxies, the older process drops out of the fleet.
    fn stop_as_superseded(&mut self, later: Peer) {
        self.is_stopped = true;
        self.actions.changes.push(Change::Superseded(later));
    }

    /// Does the work that is due. To be called at [`Actions::wake_at`], after all datagrams that have already arrived were
    /// passed to [`Membership::receive`].
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

    /// Handles a due timer of SWIM, and adjusts the local health at the end of a probe round.
    fn fire_timer(&mut self, now: Micros, timer: Timer<Peer>) {
        let ends_probe_round = matches!(timer, Timer::ProbeRandomMember(_));
        let mut effects = AccumulatingRuntime::new();
        // A timer fails if its peer no longer exists.
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

    /// Handles the end of a stall of this process. `now` does not include the time of the stall.
    pub fn resume_after_stall(&mut self, now: Micros) {
        self.live_count.mark_uncertain(now);
        self.local_health.record_absence();
        self.seeds.make_due(now);
        self.catch_up = CatchUp::start(now);
    }

    /// Leaves the fleet: the returned actions tell the others. This proxy sends and accepts nothing afterwards.
    pub fn leave(&mut self) -> Actions {
        let mut effects = AccumulatingRuntime::new();
        if !self.is_stopped && self.swim.leave_cluster(&mut effects).is_ok() {
            // The time is irrelevant, as no timer fires after this call.
            self.apply(0, effects);
        }
        self.is_stopped = true;
        let mut actions = std::mem::take(&mut self.actions);
        actions.changes.clear();
        actions
    }

    /// Announces this proxy to some of the seeds that are not known to be alive, if an announcement is due.
    fn announce_to_seeds(&mut self, now: Micros) {
        if !self.seeds.is_due(now) {
            return;
        }
        let live_peers: Vec<&foca::Member<Peer>> = self.swim.iter_members().collect();
        let is_new = self.catch_up.is_new(now);
        let local = self.swim.identity().address;
        for address in self.seeds.pick(now, is_new, local, &live_peers, &mut self.rng) {
            let unnamed = Peer { name: "".into(), start: 0, rejoins: 0, address };
            self.announce(now, unnamed);
        }
    }

    /// Requests the peer list of a random live proxy, if this proxy is new or was absent and a request is due.
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

    /// Announces this proxy to another, which answers with some of the peers that it knows.
    fn announce(&mut self, now: Micros, to: Peer) {
        let mut effects = AccumulatingRuntime::new();
        if self.swim.announce(to, &mut effects).is_ok() {
            self.apply(now, effects);
        }
    }

    /// Converts the effects of a SWIM call into actions and timers.
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

    /// Continues under the identity `local`, after the others had declared this proxy dead or its start number was raised.
    fn adopt_identity(&mut self, now: Micros, local: Peer) {
        self.codec.set_local(local);
        self.local_health.record_absence();
        self.live_count.mark_uncertain(now);
        self.catch_up = CatchUp::start(now);
    }

    /// Schedules timers, with delays that depend on the local health.
    ///
    /// While the local health is impaired, probe timeouts are longer, probes are rarer because a probe must fit in its
    /// round, and suspicions last longer. `suspicion_health` applies to suspicions. It is the health before the probe that
    /// raised the suspicion, so that a failed probe does not lengthen the suspicion that it raises.
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

    /// Updates the number of live proxies and returns the collected actions, with the time of the next call.
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

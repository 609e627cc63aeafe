//! Tests of which reservations are granted and which peers are disconnected.

mod common;

use aldermill_flow_control::{
    AddressLimits, ConnectionLimitReached, Disconnect, DisconnectReason, FlowController, FlowLimits,
    FlowLimitsError, PeerId, PressureThresholds, ProgressMeter, ReservationId, Transfer,
};

use common::{KIB, SECOND, TO_CLIENT, address, limits, request, with_highest_priority};

/// A peer that sends single bytes to look alive becomes slow; one that transferred fast may pause for the credit it
/// earned.
#[test]
fn fast_peer_may_pause_and_single_bytes_do_not_count_as_progress() {
    let mut fast = ProgressMeter::new(0, TO_CLIENT);
    fast.start(0);
    fast.record_progress(SECOND / 10, 64 * KIB);
    assert_eq!(fast.slow_since(SECOND / 10 + 4 * SECOND), None);
    assert!(fast.slow_since(SECOND / 10 + 4 * SECOND + 1).is_some());
    let (mut at_minimum_rate, mut single_bytes, mut at_half_rate) = (fast, fast, fast);
    for (meter, bytes) in
        [(&mut at_minimum_rate, 8 * KIB), (&mut single_bytes, 1), (&mut at_half_rate, 4 * KIB)]
    {
        *meter = ProgressMeter::new(0, TO_CLIENT);
        meter.start(0);
        (1..=60).for_each(|second| meter.record_progress(second * SECOND, bytes));
    }
    assert_eq!(at_minimum_rate.slow_since(60 * SECOND), None);
    assert!(single_bytes.slow_since(60 * SECOND).is_some_and(|since| since <= 21 * SECOND / 10));
    assert!(at_half_rate.slow_since(60 * SECOND).is_some_and(|since| since <= 5 * SECOND));
    // A peer that was slow for long catches up once it is fast again, and idle time costs no credit.
    at_half_rate.record_progress(60 * SECOND, 64 * KIB);
    assert_eq!(at_half_rate.slow_since(60 * SECOND), None);
    at_half_rate.stop(61 * SECOND);
    assert_eq!((at_half_rate.slow_since(600 * SECOND), at_half_rate.deadline()), (None, None));
    at_half_rate.start(600 * SECOND);
    assert!(at_half_rate.deadline().unwrap() >= 602 * SECOND);
}

/// Released space must not stay unused while a reservation waits for it, and a reservation that can never be granted
/// must not wait.
#[test]
fn released_space_is_granted_to_waiting_reservations_at_once() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> =
        (0..5).map(|last_octet| controller.register(0, address(last_octet)).unwrap()).collect();
    let mut reservations = Vec::new();
    for &peer in &peers[..3] {
        let (reservation, actions) = controller.reserve(0, request(peer, 256 * KIB, 0));
        assert_eq!(actions.granted, [reservation]);
        reservations.push(reservation);
    }
    // Only the highest priority may use the priority reserve.
    let (normal, actions) = controller.reserve(0, request(peers[3], 256 * KIB, SECOND));
    assert_eq!((actions.granted, actions.disconnect), (vec![], vec![]));
    let (small, actions) = controller.reserve(1, request(peers[4], 20 * KIB, SECOND));
    assert_eq!(actions.granted, [small]);
    let (highest, actions) = controller.reserve(1, with_highest_priority(request(peers[4], 200 * KIB, 1)));
    assert_eq!(actions.granted, [highest]);
    assert_eq!(controller.release(2, reservations[0]).granted, []);
    assert_eq!(controller.release(3, highest).granted, [normal]);
    // A reservation is rejected at its deadline, and one that could never be granted is rejected at once.
    let (timed_out, _) = controller.reserve(4, request(peers[0], 200 * KIB, SECOND));
    let (too_large, actions) = controller.reserve(4, request(peers[0], 257 * KIB, SECOND));
    assert_eq!(actions.rejected, [too_large]);
    assert_eq!(controller.wake(SECOND).rejected, [timed_out]);
    for reservation in [reservations[1], reservations[2], normal, small] {
        let _ = controller.release(SECOND, reservation);
    }
    assert_eq!(controller.used(), 0);
}

/// Slow peers are not disconnected until their space is needed. Then as few as possible are, and never one that keeps
/// its minimum rate.
#[test]
fn slow_peer_with_most_reserved_is_disconnected_first_and_only_when_space_is_needed() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> =
        (0..6).map(|last_octet| controller.register(0, address(last_octet)).unwrap()).collect();
    let held: Vec<ReservationId> = [200, 250, 200, 200]
        .iter()
        .zip(&peers)
        .map(|(&size, &peer)| controller.reserve(0, request(peer, size * KIB, 0)).0)
        .collect();
    peers[..4].iter().for_each(|&peer| drop(controller.start_metering(0, peer, Transfer::ToPeer)));
    let fast = 2;
    controller.record_progress(SECOND, peers[fast], 64 * KIB);
    assert_eq!(controller.wake(3 * SECOND).disconnect, []);
    let (reservation, actions) = controller.reserve(3 * SECOND, request(peers[4], 100 * KIB, 9 * SECOND));
    assert_eq!(actions.disconnect, [Disconnect { peer: peers[1], reason: DisconnectReason::BufferSpace }]);
    // No other peer is disconnected until this one is gone. What the kernel may hold of it stays in use for the
    // linger timeout.
    assert_eq!(controller.wake(3 * SECOND + 1).disconnect, []);
    assert_eq!(controller.shrink(3 * SECOND + 2, held[1], 32 * KIB).granted, [reservation]);
    let _ = controller.linger(3 * SECOND + 3, held[1]);
    let before = controller.used();
    let _ = controller.unregister(3 * SECOND + 4, peers[1]);
    assert_eq!(before, controller.used());
    controller.record_progress(4 * SECOND, peers[fast], 64 * KIB);
    // A request for a connection slot disconnects the next slow peer. The last one is disconnected only when it has
    // been slow for too long, as nobody needs what it holds.
    assert_eq!(
        controller.shed_one_connection(7 * SECOND).disconnect,
        [Disconnect { peer: peers[0], reason: DisconnectReason::ConnectionSlot }]
    );
    assert_eq!(
        controller.wake(8 * SECOND).disconnect,
        [Disconnect { peer: peers[3], reason: DisconnectReason::TooSlow }]
    );
    let _ = controller.wake(8 * SECOND + 10);
    assert_eq!(controller.used(), before - 32 * KIB);
}

/// A waiting reservation's attempt holds a slot at a member, so a reservation must not wait if space is freed too
/// slowly.
#[test]
fn reservation_that_cannot_be_granted_in_time_is_rejected_at_once() {
    let mut controller = FlowController::new(FlowLimits { reservation_timeout: SECOND / 4, ..limits() });
    let peers: Vec<PeerId> =
        (0..12).map(|last_octet| controller.register(0, address(last_octet)).unwrap()).collect();
    let held: Vec<ReservationId> =
        peers[..4].iter().map(|&peer| controller.reserve(0, request(peer, 220 * KIB, 0)).0).collect();
    // Initially the whole budget is assumed to be freed within a second, so a small shortfall may wait and a large
    // one may not.
    let (small, actions) = controller.reserve(0, request(peers[4], 200 * KIB, 9 * SECOND));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    let (large, actions) = controller.reserve(0, request(peers[5], 250 * KIB, 9 * SECOND));
    assert_eq!(actions.rejected, [large]);
    assert_eq!(controller.wake(SECOND / 4).rejected, [small]);
    // No space was freed for seconds, so even a small shortfall must not wait. Once space is freed again, it may.
    let (rejected_at_once, actions) =
        controller.reserve(9 * SECOND, request(peers[6], 200 * KIB, 19 * SECOND));
    assert_eq!(actions.rejected, [rejected_at_once]);
    for reservation in held {
        let _ = controller.shrink(9 * SECOND, reservation, 160 * KIB);
    }
    let _ = controller.reserve(9 * SECOND, request(peers[7], 200 * KIB, 9 * SECOND));
    let (small_again, actions) = controller.reserve(9 * SECOND, request(peers[8], 100 * KIB, 19 * SECOND));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    assert_eq!(controller.wake(10 * SECOND).rejected, [small_again]);
}

/// An address must not take what others need by opening many connections or by reconnecting right after a disconnect.
#[test]
fn address_limits_hold_and_reconnecting_right_after_a_disconnect_is_rejected() {
    let per_address = Some(AddressLimits { connections: 2, budget: 300 * KIB });
    let mut controller = FlowController::new(FlowLimits {
        per_address,
        pressure: PressureThresholds { enter: 100 * KIB, leave: 50 * KIB },
        ..limits()
    });
    let [first, second] =
        [controller.register(0, address(1)).unwrap(), controller.register(0, address(1)).unwrap()];
    assert_eq!(controller.register(0, address(1)), Err(ConnectionLimitReached::PerAddress));
    let (held, _) = controller.reserve(0, request(first, 250 * KIB, 0));
    let (over_address_budget, actions) = controller.reserve(0, request(second, 100 * KIB, 0));
    assert_eq!(actions.rejected, [over_address_budget]);
    let _ = controller.start_metering(0, first, Transfer::ToPeer);
    assert_eq!(
        controller.shed_one_connection(3 * SECOND).disconnect,
        [Disconnect { peer: first, reason: DisconnectReason::ConnectionSlot }]
    );
    let _ = controller.unregister(3 * SECOND, first);
    assert_eq!(
        controller.register(3 * SECOND, address(1)),
        Err(ConnectionLimitReached::RecentlyDisconnected)
    );
    assert!(controller.register(3 * SECOND, address(2)).is_ok());
    let _ = controller.release(4 * SECOND, held);
    assert!(controller.register(4 * SECOND, address(1)).is_ok());
}

/// Slow peers must not delay lowered limits or shutdown. A peer that keeps its minimum rate stays connected until the
/// shutdown grace ends.
#[test]
fn lowered_limits_and_shutdown_disconnect_slow_peers() {
    let mut controller = FlowController::new(limits());
    let [slow, fast] =
        [controller.register(0, address(1)).unwrap(), controller.register(0, address(2)).unwrap()];
    for peer in [slow, fast] {
        let _ = controller.reserve(0, request(peer, 256 * KIB, 0));
        let _ = controller.start_metering(0, peer, Transfer::ToPeer);
    }
    controller.record_progress(2 * SECOND, fast, 64 * KIB);
    let lowered = FlowLimits { budget: 400 * KIB, ..limits() };
    assert_eq!(
        controller.update_limits(3 * SECOND, lowered).disconnect,
        [Disconnect { peer: slow, reason: DisconnectReason::BufferSpace }]
    );
    let (over_budget, actions) = controller.reserve(3 * SECOND, request(fast, KIB, 3 * SECOND));
    assert_eq!(actions.rejected, [over_budget]);
    let actions = controller.shut_down(4 * SECOND);
    assert_eq!((actions.disconnect, actions.wake_at), (vec![], Some(6 * SECOND + 1)));
    controller.record_progress(5 * SECOND, fast, 64 * KIB);
    assert_eq!(
        controller.wake(9 * SECOND).disconnect,
        [Disconnect { peer: fast, reason: DisconnectReason::Shutdown }]
    );
}

/// Limits that could never serve a full-size request are rejected before the proxy starts, and the error names the
/// smallest value that suffices.
#[test]
fn limits_too_small_for_one_request_report_the_required_minimum() {
    assert_eq!(limits().validate(KIB, 255 * KIB), Ok(()));
    assert_eq!(limits().validate(KIB, 256 * KIB), Err(FlowLimitsError::PerConnection { minimum: 257 * KIB }));
    assert_eq!(limits().validate(KIB, 1024 * KIB), Err(FlowLimitsError::Budget { minimum: 1153 * KIB }));
}

/// Guards against a count of all peers for each waiting reservation at each event: hundreds of readers of large
/// responses used up the processor.
#[test]
fn hundreds_of_waiting_reservations_do_not_hold_up_others() {
    const PEERS: usize = 200;
    const RESERVATIONS_PER_PEER: usize = 3;
    const BYTES: u64 = 60 * KIB;
    let mut controller = FlowController::new(FlowLimits::for_memory(32 * KIB * KIB));
    let mut granted = Vec::new();
    let started_at = std::time::Instant::now();
    let peers: Vec<PeerId> = (0..PEERS).map(|_| controller.register(0, address(1)).unwrap()).collect();
    for _ in 0..RESERVATIONS_PER_PEER {
        for &peer in &peers {
            granted.extend(controller.reserve(0, request(peer, BYTES, SECOND)).1.granted);
        }
    }
    assert!(granted.len() < PEERS * RESERVATIONS_PER_PEER / 2, "most reservations wait");
    for reservation in granted {
        let _ = controller.release(1, reservation);
    }
    // On average 5 ms for each event, a twentieth of what a statement waits for space.
    assert!(started_at.elapsed() < std::time::Duration::from_secs(4), "{:?}", started_at.elapsed());
}

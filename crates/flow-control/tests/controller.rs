//! Who gets buffer space and who is disconnected.

mod common;

use aldermill_flow_control::{
    AddressLimits, ConnectionLimitReached, Disconnect, DisconnectReason, FlowController, FlowLimits,
    FlowLimitsError, PeerId, PressureThresholds, ProgressMeter, ReservationId, Transfer,
};

use common::{KIB, S, TO_CLIENT, address, limits, request, with_priority};

/// A peer that moves single bytes so as to look alive falls behind; one that was quick may pause for what it earned.
#[test]
fn a_quick_peer_may_pause_and_single_bytes_do_not_pass_for_progress() {
    let mut quick = ProgressMeter::new(0, TO_CLIENT);
    quick.start(0);
    quick.record_progress(S / 10, 64 * KIB);
    assert_eq!(quick.behind_since(S / 10 + 4 * S), None);
    assert!(quick.behind_since(S / 10 + 4 * S + 1).is_some());
    let (mut least, mut trickle, mut half) = (quick, quick, quick);
    for (meter, bytes) in [(&mut least, 8 * KIB), (&mut trickle, 1), (&mut half, 4 * KIB)] {
        *meter = ProgressMeter::new(0, TO_CLIENT);
        meter.start(0);
        (1..=60).for_each(|second| meter.record_progress(second * S, bytes));
    }
    assert_eq!(least.behind_since(60 * S), None);
    assert!(trickle.behind_since(60 * S).is_some_and(|since| since <= 21 * S / 10));
    assert!(half.behind_since(60 * S).is_some_and(|since| since <= 5 * S));
    // Behind for long, it catches up once it is quick again, and rests cost nothing.
    half.record_progress(60 * S, 64 * KIB);
    assert_eq!(half.behind_since(60 * S), None);
    half.stop(61 * S);
    assert_eq!((half.behind_since(600 * S), half.deadline()), (None, None));
    half.start(600 * S);
    assert!(half.deadline().unwrap() >= 602 * S);
}

/// Released space must not lie idle while somebody waits for it, and nobody waits for what can never be granted.
#[test]
fn released_buffer_space_goes_to_waiting_reservations_at_once() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> = (0..5).map(|last| controller.register(0, address(last)).unwrap()).collect();
    let mut reservations = Vec::new();
    for &peer in &peers[..3] {
        let (reservation, actions) = controller.reserve(0, request(peer, 256 * KIB, 0));
        assert_eq!(actions.granted, [reservation]);
        reservations.push(reservation);
    }
    // The part of the best paid is theirs alone.
    let (plain, actions) = controller.reserve(0, request(peers[3], 256 * KIB, S));
    assert_eq!((actions.granted, actions.disconnect), (vec![], vec![]));
    let (small, actions) = controller.reserve(1, request(peers[4], 20 * KIB, S));
    assert_eq!(actions.granted, [small]);
    let (best, actions) = controller.reserve(1, with_priority(request(peers[4], 200 * KIB, 1)));
    assert_eq!(actions.granted, [best]);
    assert_eq!(controller.release(2, reservations[0]).granted, []);
    assert_eq!(controller.release(3, best).granted, [plain]);
    // What has waited until its deadline is rejected, and what could never fit at once.
    let (late, _) = controller.reserve(4, request(peers[0], 200 * KIB, S));
    let (never, actions) = controller.reserve(4, request(peers[0], 257 * KIB, S));
    assert_eq!(actions.rejected, [never]);
    assert_eq!(controller.wake(S).rejected, [late]);
    for reservation in [reservations[1], reservations[2], plain, small] {
        let _ = controller.release(S, reservation);
    }
    assert_eq!(controller.used(), 0);
}

/// Slow peers cost nothing until their space is needed; then as few as possible are disconnected, and never a quick one.
#[test]
fn the_largest_holder_behind_is_disconnected_first_and_only_when_space_is_needed() {
    let mut controller = FlowController::new(limits());
    let peers: Vec<PeerId> = (0..6).map(|last| controller.register(0, address(last)).unwrap()).collect();
    let held: Vec<ReservationId> = [200, 250, 200, 200]
        .iter()
        .zip(&peers)
        .map(|(&size, &peer)| controller.reserve(0, request(peer, size * KIB, 0)).0)
        .collect();
    peers[..4].iter().for_each(|&peer| drop(controller.start_metering(0, peer, Transfer::ToPeer)));
    let quick = 2;
    controller.record_progress(S, peers[quick], 64 * KIB);
    assert_eq!(controller.wake(3 * S).disconnect, []);
    let (reservation, actions) = controller.reserve(3 * S, request(peers[4], 100 * KIB, 9 * S));
    assert_eq!(actions.disconnect, [Disconnect { peer: peers[1], reason: DisconnectReason::BufferSpace }]);
    // Nothing more until that one is gone; what the system may hold of it counts for a while.
    assert_eq!(controller.wake(3 * S + 1).disconnect, []);
    assert_eq!(controller.shrink(3 * S + 2, held[1], 32 * KIB).granted, [reservation]);
    let _ = controller.linger(3 * S + 3, held[1]);
    let before = controller.used();
    let _ = controller.unregister(3 * S + 4, peers[1]);
    assert_eq!(before, controller.used());
    controller.record_progress(4 * S, peers[quick], 64 * KIB);
    // A place that is wanted costs the next; nobody asks for the last one, which is overdue in the end.
    assert_eq!(
        controller.shed_one_connection(7 * S).disconnect,
        [Disconnect { peer: peers[0], reason: DisconnectReason::ConnectionSlot }]
    );
    assert_eq!(
        controller.wake(8 * S).disconnect,
        [Disconnect { peer: peers[3], reason: DisconnectReason::TooSlow }]
    );
    let _ = controller.wake(8 * S + 10);
    assert_eq!(controller.used(), before - 32 * KIB);
}

/// A reservation that waits holds a slot at a member: where space is not freed quickly enough it must not wait.
#[test]
fn a_reservation_that_cannot_be_granted_in_time_is_rejected_at_once() {
    let mut controller = FlowController::new(FlowLimits { reservation_timeout: S / 4, ..limits() });
    let peers: Vec<PeerId> = (0..12).map(|last| controller.register(0, address(last)).unwrap()).collect();
    let held: Vec<ReservationId> =
        peers[..4].iter().map(|&peer| controller.reserve(0, request(peer, 220 * KIB, 0)).0).collect();
    // At first it is taken to come free within a second: a little may wait, much may not.
    let (little, actions) = controller.reserve(0, request(peers[4], 200 * KIB, 9 * S));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    let (much, actions) = controller.reserve(0, request(peers[5], 250 * KIB, 9 * S));
    assert_eq!(actions.rejected, [much]);
    assert_eq!(controller.wake(S / 4).rejected, [little]);
    // Nothing came free for seconds: not even a little may wait. Where it does, it may.
    let (none, actions) = controller.reserve(9 * S, request(peers[6], 200 * KIB, 19 * S));
    assert_eq!(actions.rejected, [none]);
    for reservation in held {
        let _ = controller.shrink(9 * S, reservation, 160 * KIB);
    }
    let _ = controller.reserve(9 * S, request(peers[7], 200 * KIB, 9 * S));
    let (again, actions) = controller.reserve(9 * S, request(peers[8], 100 * KIB, 19 * S));
    assert_eq!((actions.granted, actions.rejected), (vec![], vec![]));
    assert_eq!(controller.wake(10 * S).rejected, [again]);
}

/// One address must not take what others need by many connections, or by reconnecting as soon as it was disconnected.
#[test]
fn an_address_keeps_to_its_limits_and_may_not_reconnect_at_once_after_a_disconnect() {
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
    let (wanted, actions) = controller.reserve(0, request(second, 100 * KIB, 0));
    assert_eq!(actions.rejected, [wanted]);
    let _ = controller.start_metering(0, first, Transfer::ToPeer);
    assert_eq!(
        controller.shed_one_connection(3 * S).disconnect,
        [Disconnect { peer: first, reason: DisconnectReason::ConnectionSlot }]
    );
    let _ = controller.unregister(3 * S, first);
    assert_eq!(controller.register(3 * S, address(1)), Err(ConnectionLimitReached::RecentlyDisconnected));
    assert!(controller.register(3 * S, address(2)).is_ok());
    let _ = controller.release(4 * S, held);
    assert!(controller.register(4 * S, address(1)).is_ok());
}

/// Lowered limits and shutdown are not held up by slow peers; a quick one is spared until the grace ends.
#[test]
fn lowered_limits_and_shutdown_disconnect_peers_that_are_behind() {
    let mut controller = FlowController::new(limits());
    let [slow, quick] =
        [controller.register(0, address(1)).unwrap(), controller.register(0, address(2)).unwrap()];
    for peer in [slow, quick] {
        let _ = controller.reserve(0, request(peer, 256 * KIB, 0));
        let _ = controller.start_metering(0, peer, Transfer::ToPeer);
    }
    controller.record_progress(2 * S, quick, 64 * KIB);
    let lowered = FlowLimits { budget: 400 * KIB, ..limits() };
    assert_eq!(
        controller.update_limits(3 * S, lowered).disconnect,
        [Disconnect { peer: slow, reason: DisconnectReason::BufferSpace }]
    );
    let (more, actions) = controller.reserve(3 * S, request(quick, KIB, 3 * S));
    assert_eq!(actions.rejected, [more]);
    let actions = controller.shut_down(4 * S);
    assert_eq!((actions.disconnect, actions.wake_at), (vec![], Some(6 * S + 1)));
    controller.record_progress(5 * S, quick, 64 * KIB);
    assert_eq!(
        controller.wake(9 * S).disconnect,
        [Disconnect { peer: quick, reason: DisconnectReason::Shutdown }]
    );
}

/// Limits under which a request of full size could never be served are refused before the start.
#[test]
fn limits_too_small_for_one_request_name_the_least_that_would_do() {
    assert_eq!(limits().validate(KIB, 255 * KIB), Ok(()));
    assert_eq!(limits().validate(KIB, 256 * KIB), Err(FlowLimitsError::PerConnection { minimum: 257 * KIB }));
    assert_eq!(limits().validate(KIB, 1024 * KIB), Err(FlowLimitsError::Budget { minimum: 1153 * KIB }));
}

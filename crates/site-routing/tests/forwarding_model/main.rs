//! Model checking of forwarded requests: the states of a sender and a receiver, with a network between them
//! that may lose, duplicate and delay any frame, a receiver that may restart, and a sender that may give up.

mod protocol;
mod state;

use stateright::{Checker, Model};

use protocol::{Protocol, SINGLE_REQUEST};

#[test]
fn no_request_runs_twice_although_frames_are_lost_duplicated_and_delayed() {
    let checked = Protocol { max_link_losses: 2, ..SINGLE_REQUEST }.checker().spawn_bfs().join();
    println!("one request: {} states", checked.unique_state_count());
    checked.assert_properties();
    assert!(checked.unique_state_count() > 500);
}

#[test]
fn the_model_finds_a_double_execution_without_fencing() {
    let checked =
        Protocol { max_restarts: 0, queries_fence: false, ..SINGLE_REQUEST }.checker().spawn_bfs().join();
    let discovery = checked.discovery("at most one side ever runs a request");
    println!("{:?}", discovery.expect("a double execution").into_actions());
}

#[test]
fn with_a_log_on_disk_no_request_runs_twice_and_previous_incarnations_are_answered_for() {
    let checked = Protocol { has_disk: true, ..SINGLE_REQUEST }.checker().spawn_bfs().join();
    println!("one request with a disk: {} states", checked.unique_state_count());
    checked.assert_properties();
}

#[test]
fn the_model_finds_a_double_execution_if_the_promise_is_not_kept() {
    let checked =
        Protocol { has_disk: true, keeps_promise: false, ..SINGLE_REQUEST }.checker().spawn_bfs().join();
    println!(
        "{:?}",
        checked.discovery("at most one side ever runs a request").expect("a double execution").into_actions()
    );
}

/// The model has millions of states. To run the test:
///
/// `cargo test --release -p aldermill-site-routing -- --ignored --nocapture`
#[test]
#[ignore = "minutes"]
fn two_requests_with_a_growing_fenced_range_do_not_run_twice() {
    let checker = Protocol { requests: 2, ..SINGLE_REQUEST }.checker();
    let checked = checker.threads(4).spawn_bfs().join();
    println!("two requests: {} states", checked.unique_state_count());
    checked.assert_properties();
}

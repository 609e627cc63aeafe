//! Tests that a read with a staleness bound is sent only while its member is proven fresh enough, up to its last
//! byte.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use aldermill_test_support::{
    Client, Discovery, Driver, Member, config, list, look, order, serve, served, unix_millis,
};
use aldermill_wire::pg;

/// Returns a configuration in which reads accept data that is at most 300 ms old.
fn config_with_staleness_bound(discovery: &Discovery, initial_list: &str) -> String {
    let config = config(discovery.start(), 256, initial_list);
    config.replace(r#""maxAgeMs":[0,0]"#, r#""maxAgeMs":[300,0]"#).replace(r#"["loose","#, r#"["recent","#)
}

/// Returns a complete response of a replica that has applied all commits up to `position`, a Unix time in
/// milliseconds.
fn replica_response(text: &str, position: u128) -> Vec<u8> {
    let mut out = Vec::new();
    let value = if text == "SHOW usage" {
        format!("x0={}.0,x1=0,inflight=0", position / 1000)
    } else {
        "the value".to_owned()
    };
    pg::write_single_row(&mut out, "val", value.as_bytes(), "SELECT 1");
    pg::write_parameter_status(&mut out, "server_role", "reader");
    pg::write_parameter_status(&mut out, "commit_clock", &position.to_string());
    pg::write_ready_for_query(&mut out);
    out
}

#[test]
fn a_read_is_not_sent_on_a_connection_that_opens_after_its_freshness_proof_expires() {
    // The replica catches up only every 0.4 s. Once the flag is set, it completes the handshake of new connections
    // 250 ms late.
    let (delay_handshakes, stale_reads, reads) =
        (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (delay_handshakes_flag, stale_read_counter, read_counter) =
        (delay_handshakes.clone(), stale_reads.clone(), reads.clone());
    let position = |now: u128| now - now % 400;
    let keep_connection = move |_: &[u8], startup_done: bool| {
        if !startup_done && delay_handshakes.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(250));
        }
        true
    };
    let respond = move |text: &str, stream: &mut std::net::TcpStream| {
        use std::io::Write;
        let now = unix_millis();
        if text.starts_with("/*") {
            read_counter.fetch_add(1, Ordering::SeqCst);
            if now - position(now) > 320 {
                stale_read_counter.fetch_add(1, Ordering::SeqCst);
            }
            // The connection is closed after each request, so that the next request has to open a new one.
            let _ = stream.write_all(&replica_response(text, position(now)));
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return;
        }
        let _ = stream.write_all(&replica_response(text, position(now)));
    };
    let replica = Member::at(TcpListener::bind("127.0.0.1:0").unwrap(), keep_connection, respond);
    let primary = Member::start(|text, stream| serve(text, "writer", stream));
    let discovery = Discovery::default();
    let initial_list = list(1, true, &[("a", &replica, "in_service"), ("b", &primary, "in_service")]);
    let proxy = Driver::of(&config_with_staleness_bound(&discovery, &initial_list));
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&look(15000))));
    delay_handshakes_flag.store(true, Ordering::SeqCst);
    for _ in 0..40 {
        assert!(served(&client.ask(&look(15000))));
        thread::sleep(Duration::from_millis(23));
    }
    assert!(reads.load(Ordering::SeqCst) > 0, "no read reached the replica");
    assert_eq!(
        stale_reads.load(Ordering::SeqCst),
        0,
        "stale reads of {} reads at the replica",
        reads.load(Ordering::SeqCst)
    );
}

#[test]
fn a_truncated_response_still_reports_that_its_member_is_not_the_primary() {
    // The member reports that it is the primary for the write, and a replica after that, in responses without their
    // last message.
    let member = Member::start(|text, stream| {
        use std::io::Write;
        if text.contains("c=order") {
            return serve(text, "writer", stream);
        }
        let complete_response = replica_response(text, unix_millis() - 5000);
        let mut ready_for_query = Vec::new();
        pg::write_ready_for_query(&mut ready_for_query);
        let _ = stream.write_all(&complete_response[..complete_response.len() - ready_for_query.len()]);
    });
    let discovery = Discovery::default();
    let initial_list = list(1, true, &[("a", &member, "in_service")]);
    let proxy = Driver::of(
        &config_with_staleness_bound(&discovery, &initial_list)
            .replace(r#""probes":true"#, r#""probes":false"#),
    );
    let mut client = Client::connect(proxy.address);
    assert!(served(&client.ask(&order(15000))));
    // By now the member's position no longer proves that it is fresh enough; only its role as primary does.
    thread::sleep(Duration::from_millis(350));
    assert!(served(&client.ask(&look(15000))), "the response contained the complete value");
    assert_eq!(client.ask(&look(2000)).code, "53300", "no member is known to be fresh enough");
    assert_eq!(member.requests().len(), 2);
}

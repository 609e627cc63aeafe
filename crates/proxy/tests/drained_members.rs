//! Drains as seen by the proxy as a child process, where only draining binds and the endpoint list does not prove which
//! members run.

use aldermill_test_support::*;

/// Number of reads that find a member which may be read from.
const READS: usize = 40;

/// Has some reads served, and returns how many requests the member has got by then.
fn requests_after_reads(proxy: &Driver, member: &Member) -> usize {
    let mut client = Client::connect(proxy.address);
    assert!((0..READS).all(|_| served(&client.ask(&look(15000)))));
    member.requests().len()
}

/// Guards against requests at a member that drained and is gone, until it starts again.
#[test]
fn a_drained_member_that_is_gone_gets_nothing_and_one_that_never_drained_does() {
    let (drained, gone, other) = (sound("reader"), sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    let in_service = [("a", &other, "in_service"), ("b", &drained, "in_service"), ("c", &gone, "in_service")];
    let proxy =
        Driver::of(&config_where_only_draining_binds(discovery.start(), 256, &list(1, true, &in_service)));
    discovery.say(list(2, false, &[("b", &drained, "terminating")]));
    discovery.say(list(3, false, &[("b", &drained, "terminated"), ("c", &gone, "terminated")]));
    until("the list without the drained member", || proxy.logged("revision: 3"));
    assert_eq!(requests_after_reads(&proxy, &drained), 0);
    assert!(requests_after_reads(&proxy, &gone) > 0);
    // The drain is not called off by a list that names the same start, but ends with a later one.
    let listed_again = list(4, false, &[("b", &drained, "in_service")]);
    discovery.say(listed_again.clone());
    until("the warning", || proxy.logged("member listed as in service after its drain"));
    assert_eq!(requests_after_reads(&proxy, &drained), 0);
    let up_since = format!("\"up_since_ms\":{}", unix_millis());
    discovery.say(listed_again.replace("\"up_since_ms\":0", &up_since));
    until("a request at the member that started again", || requests_after_reads(&proxy, &drained) > 0);
}

/// Guards against a drain that is ignored because its entry states no usable address.
#[test]
fn a_drain_whose_entry_has_no_usable_address_is_kept() {
    let (drained, other) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    let in_service = [("a", &other, "in_service"), ("b", &drained, "in_service")];
    let proxy = Driver::start(&discovery, 256, &list(1, true, &in_service));
    let drain = list(2, false, &[("b", &drained, "terminating")]);
    discovery.say(drain.replace(&drained.address.to_string(), ""));
    until("the drain", || proxy.logged("revision: 2"));
    assert_eq!(requests_after_reads(&proxy, &drained), 0);
}

/// Guards against requests at a member whose drain a process only knows from the list that it was started with.
#[test]
fn a_restarted_process_sends_nothing_to_a_member_that_its_saved_list_names_as_draining() {
    let folder = std::env::temp_dir().join(format!("aldermill-drained-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let operator = format!(r#"{{"warm_start":{{"folder":{folder:?}}}}}"#);
    let (drained, other) = (sound("reader"), sound("writer"));
    let discovery = Discovery::default();
    let config = config_where_only_draining_binds(discovery.start(), 256, "null");
    let start = || Driver::with("127.0.0.1:0".parse().unwrap(), &config, Some(&operator));
    discovery.say(list(1, true, &[("a", &other, "in_service"), ("b", &drained, "terminating")]));
    let proxy = start();
    let saved =
        || std::process::Command::new(program()).args(["store", "dump"]).arg(&folder).output().unwrap();
    until("the saved drain", || String::from_utf8_lossy(&saved().stdout).contains("terminating"));
    drop(proxy);
    discovery.lines.lock().unwrap().clear();
    discovery.say(list(2, true, &[("a", &other, "in_service")]));
    let proxy = start();
    until("the list without the drained member", || proxy.logged("revision: 2"));
    assert_eq!(requests_after_reads(&proxy, &drained), 0);
    std::fs::remove_dir_all(folder).unwrap();
}

//! Tests of a proxy that the system allows fewer open files than its configuration sets.

use aldermill_test_support::{Client, Discovery, Driver, config, list, look, served, sound, until};

#[test]
fn a_process_uses_only_the_descriptors_that_the_system_allows() {
    for descriptors in [24, 40] {
        let member = sound("writer");
        let discovery = Discovery::default();
        let initial_list = list(1, true, &[("a", &member, "in_service")]);
        let proxy = Driver::with_descriptors(descriptors, &config(discovery.start(), 1024, &initial_list));
        until("the warning about the descriptor limit", || {
            proxy.logged("the system allows fewer descriptors than limits.sockets")
        });
        let mut clients: Vec<Client> = (0..60).map(|_| Client::connect(proxy.address)).collect();
        let newest_client = clients.last_mut().unwrap();
        assert!(served(&newest_client.ask(&look(15000))), "{descriptors}");
        assert!(
            !proxy.logged("cannot accept connections"),
            "{descriptors}: a call ran into the system's limit"
        );
    }
}

#[test]
fn too_few_descriptors_are_an_error_at_startup() {
    let (mut command, config_path) =
        Driver::limited(20, "serve", &config("127.0.0.1:8500".parse().unwrap(), 256, "null"));
    let output = command.output().unwrap();
    std::fs::remove_file(config_path).unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(!output.status.success() && stderr.trim_end().lines().count() == 1, "{stderr}");
    assert!(stderr.contains("20 open files, 24 are needed"), "{stderr}");
}

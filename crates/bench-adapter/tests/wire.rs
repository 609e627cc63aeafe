//! Starts the adapter and speaks to it: what cannot be read ends it with one line that names the field.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use aldermill_test_support::TERMS;

fn said(settings: &str, lines: &str) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_aldermill-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let settings = settings.replace('\n', "");
    let member = "ITEM\t1\t1\tready\t10.0.0.1:9000\t1\there\t-\tm";
    let list = format!("SHEET\t0\t1\n{member}\nUPDATE\t3\t1\t0\trestored");
    let text = format!("MARK\t1000\nSPAWN\t3\t7\t{settings}\n{list}\n{lines}GO\n");
    adapter.stdin.take().unwrap().write_all(text.as_bytes()).unwrap();
    adapter.wait_with_output().unwrap()
}

fn order(account: &str) -> String {
    format!("ORDER\t3\t77\torder\t{account}\tk\t900\t-\t1\t-\t4\n")
}

#[test]
fn a_request_is_sent_to_the_listed_member() {
    let output = said(TERMS, &order("-"));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("CALL_OUT\t3\t77\t10.0.0.1:9000\t"), "{text}");
    assert!(text.ends_with("FINISHED\n"));
}

#[test]
fn unknown_accounts_classes_and_scopes_end_the_adapter_by_their_field() {
    let scope = TERMS.replacen(r#""dedupScope":"all""#, r#""dedupScope":"rack""#, 1);
    for (settings, lines, field) in [
        (TERMS, order("south"), "account"),
        (TERMS, order("-").replace("order", "other"), "service"),
        (scope.as_str(), String::new(), "dedupScope"),
    ] {
        let output = said(settings, &lines);
        assert!(!output.status.success(), "{field}");
        let why = String::from_utf8(output.stderr).unwrap();
        assert!(why.contains(field) && why.lines().count() == 1, "{why}");
    }
}

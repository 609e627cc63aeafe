//! Starts the adapter and speaks to it: what cannot be read ends it with one line that names the field.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use aldermill_test_support::TERMS;

fn run_adapter(settings: &str, lines: &str) -> Output {
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
fn a_request_is_attempted_at_the_listed_member() {
    let output = run_adapter(TERMS, &order("-"));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("CALL_OUT\t3\t77\t10.0.0.1:9000\t"), "{text}");
    assert!(text.ends_with("FINISHED\n"));
}

#[test]
fn an_unknown_account_class_or_scope_ends_the_adapter_and_is_named() {
    let scope = TERMS.replacen(r#""dedupScope":"all""#, r#""dedupScope":"rack""#, 1);
    for (settings, lines, field) in [
        (TERMS, order("south"), "account"),
        (TERMS, order("-").replace("order", "other"), "service"),
        (scope.as_str(), String::new(), "dedupScope"),
    ] {
        let output = run_adapter(settings, &lines);
        assert!(!output.status.success(), "{field}");
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains(field) && message.lines().count() == 1, "{message}");
    }
}

/// Whoever runs the bench reads these lines; they must not change with the names in the code.
#[test]
fn an_unreadable_message_is_named_with_its_line_and_field() {
    for (lines, wanted) in [
        ("MARK\n", "line 6, message MARK: field clock: missing"),
        ("MARK\tinf\n", "line 6, message MARK: field clock: not a finite time"),
        ("MARK\tx\n", "line 6, message MARK: field clock: bad number \"x\""),
        ("ITEM\t1\n", "line 6, message ITEM: field ITEM: unknown message"),
        ("SHEET\t2\t1\nGO\n", "line 7, message GO: field ITEM: a sheet's line is missing here"),
        (
            "SHEET\t2\t1\nITEM\t1\t1\tidle\n",
            "line 7, message ITEM: field condition: unknown condition \"idle\"",
        ),
        ("UPDATE\t3\t1\t9\tupdate\n", "line 6, message UPDATE: field page: no such sheet"),
        ("UPDATE\t3\t1\t0\tother\n", "line 6, message UPDATE: field form: unknown kind of list"),
        ("PONG\t3\tm\t999\n", "line 6, message PONG: field how: unknown outcome 999"),
        (
            "OUTCOME\t3\t1\t-\t-\t5\t200\t-\tyes\t-\n",
            "line 6, message OUTCOME: field closed: neither 0 nor 1: \"yes\"",
        ),
    ] {
        let output = run_adapter(TERMS, lines);
        assert!(!output.status.success(), "{wanted}");
        assert_eq!(String::from_utf8(output.stderr).unwrap(), format!("{wanted}\n"));
    }
}

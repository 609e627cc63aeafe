//! Checks that the runbook, docs/on-call.md, has an entry for each warning and error that the proxy logs, and
//! no other entries.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Log macros whose messages may page the on-call engineer.
const LOG_MACROS: [&str; 3] = ["warn!", "error!", "crit!"];
/// Parts that each entry has after the explanation of its message.
const REQUIRED_PARTS: [&str; 3] = ["- **The proxy:**", "- **Do:**", "- **Don't:**"];

/// Guards against a warning that nobody described, and against an entry for a message that is no longer
/// logged: both leave the paged engineer without help.
#[test]
fn every_warning_and_error_has_a_runbook_entry_and_every_entry_is_logged() {
    let logged = logged_messages(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let described: BTreeSet<String> = entries(&runbook()).into_iter().map(|entry| entry.message).collect();
    let missing: Vec<&String> = logged.difference(&described).collect();
    let stale: Vec<&String> = described.difference(&logged).collect();
    assert!(!logged.is_empty(), "no warnings found in the source files");
    assert!(missing.is_empty(), "logged, but missing from docs/on-call.md: {missing:#?}");
    assert!(stale.is_empty(), "in docs/on-call.md, but never logged: {stale:#?}");
}

#[test]
fn every_runbook_entry_has_a_meaning_and_all_required_parts() {
    let entries = entries(&runbook());
    let mut seen = BTreeSet::new();
    for entry in entries {
        assert!(seen.insert(entry.message.clone()), "duplicate entry: {}", entry.message);
        for part in REQUIRED_PARTS {
            assert!(entry.text.contains(part), "entry `{}` lacks the part `{part}`", entry.message);
        }
        let meaning = entry.text.split("- **").next().unwrap_or_default();
        assert!(!meaning.trim().is_empty(), "entry `{}` does not explain the message", entry.message);
    }
}

#[test]
fn a_multiline_invocation_is_found_and_one_in_a_comment_is_not() {
    let source = r#"
        // warn!(log, "in a comment");
        warn!(
            self.context.log,
            "on many lines";
            "why" => %why("a, b; c", ')'),
        );
        slog::error!(log, "a \"quoted\" name"; "n" => 1);
        my_warn!(log, "another macro");
        info!(log, "only information");
    "#;
    let messages: Vec<String> =
        invocations(source).into_iter().map(|invocation| constant_message(&invocation)).collect();
    assert_eq!(messages, ["on many lines", "a \"quoted\" name"]);
}

#[test]
#[should_panic(expected = "not constant")]
fn a_message_that_is_not_constant_is_rejected() {
    for invocation in invocations(r#"warn!(log, "{}", what; "by" => name);"#) {
        constant_message(&invocation);
    }
}

/// An entry of the runbook.
struct Entry {
    /// Log message in the entry's heading.
    message: String,
    /// Text between the entry's heading and the next one.
    text: String,
}

/// Returns the text of the runbook.
fn runbook() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/on-call.md");
    fs::read_to_string(page).expect("docs/on-call.md must be readable")
}

/// Returns the entries in the section on warnings and errors of the page.
fn entries(page: &str) -> Vec<Entry> {
    let section = page.split("\n## ").find(|section| section.starts_with("Warnings and errors\n"));
    let section = section.expect("the page must have a section on warnings and errors");
    let mut entries = Vec::new();
    for part in section.split("\n#### ").skip(1) {
        let (heading, text) = part.split_once('\n').expect("a heading must be followed by text");
        let message = heading.strip_prefix('`').and_then(|rest| rest.strip_suffix('`'));
        let message = message.unwrap_or_else(|| panic!("heading is not a message in backquotes: {heading}"));
        let text = text.split("\n### ").next().unwrap_or_default();
        entries.push(Entry { message: message.to_owned(), text: text.to_owned() });
    }
    entries
}

/// Returns the messages of all warnings and errors in the source files below a folder.
fn logged_messages(folder: &Path) -> BTreeSet<String> {
    let mut messages = BTreeSet::new();
    for file in source_files(folder) {
        let source = fs::read_to_string(&file).expect("a source file must be readable");
        messages.extend(invocations(&source).iter().map(|invocation| constant_message(invocation)));
    }
    messages
}

/// Returns all Rust source files below a folder.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("a source folder must be readable") {
        let path = entry.expect("a folder entry must be readable").path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the arguments of each invocation of a macro in [`LOG_MACROS`], as text, in source order. Lines
/// that start with a comment are skipped.
fn invocations(source: &str) -> Vec<String> {
    let source: String = source.lines().filter(|line| !line.trim_start().starts_with("//")).fold(
        String::new(),
        |mut kept, line| {
            kept.push_str(line);
            kept.push('\n');
            kept
        },
    );
    let mut found = Vec::new();
    for (index, _) in source.match_indices('!') {
        let (before, after) = (&source[..=index], source[index + 1..].trim_start());
        let is_log_macro = LOG_MACROS.iter().any(|name| {
            before
                .strip_suffix(name)
                .is_some_and(|rest| !rest.ends_with(|last: char| last.is_alphanumeric() || last == '_'))
        });
        if is_log_macro && let Some(arguments) = after.strip_prefix('(') {
            found.push(arguments[..arguments_length(arguments)].to_owned());
        }
    }
    found
}

/// Returns the length in bytes of the arguments of an invocation, up to its closing parenthesis. Parentheses
/// in strings and character literals are skipped.
///
/// `text` starts after the opening parenthesis.
fn arguments_length(text: &str) -> usize {
    let mut depth = 1;
    let mut rest = text.char_indices().peekable();
    while let Some((index, character)) = rest.next() {
        match character {
            '"' => {
                while let Some((_, quoted)) = rest.next() {
                    match quoted {
                        '\\' => drop(rest.next()),
                        '"' => break,
                        _ => {}
                    }
                }
            }
            '\'' if text[index..].starts_with("'('") || text[index..].starts_with("')'") => drop(rest.next()),
            '(' => depth += 1,
            ')' if depth == 1 => return index,
            ')' => depth -= 1,
            _ => {}
        }
    }
    panic!("unterminated macro invocation: {text}");
}

/// Returns the message of an invocation: its second argument, a string literal without placeholders.
///
/// # Panics
///
/// Panics if the message is not constant.
fn constant_message(arguments: &str) -> String {
    let (_, after_logger) = arguments.split_once(',').expect("an invocation needs a logger and a message");
    let text = after_logger.trim_start();
    let Some(literal) = text.strip_prefix('"') else { panic!("the message is not constant: {arguments}") };
    let mut message = String::new();
    let mut rest = literal.chars();
    while let Some(character) = rest.next() {
        match character {
            '"' => break,
            '\\' => message.extend(rest.next()),
            other => message.push(other),
        }
    }
    assert!(!message.contains('{'), "the message is not constant: {arguments}");
    message
}

//! The work of the lease `splits`: summaries of keys are reported, and the lease holder recommends where to split a
//! group's range.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, Micros, Reports, Topic};
use aldermill_split_points::{Group, Picture, RangeAdvice, Ranges, Said, State, Summary, frame};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport, WhileHeld};
use crate::messages::ObservationSummary;

/// The lease's name.
pub const LEASE: &str = "splits";
/// For how long a report counts: a proxy reports one group after the other.
const REPORTS_COUNT_FOR: Micros = 60_000_000;

/// What was last logged of a range.
#[derive(PartialEq)]
struct Logged {
    state: State,
    /// Where to split it, or why not.
    place_or_reason: String,
}

/// This proxy's part in split recommendations.
pub struct SplitPointWork {
    /// Where the operators have split each group.
    cuts: BTreeMap<u64, Vec<String>>,
    ranges: WhileHeld<BTreeMap<Group, Ranges>>,
    /// By the subject of the range.
    logged: BTreeMap<String, Logged>,
    /// Proxies whose figures were set aside in the last decision.
    set_aside: Vec<String>,
    log: Logger,
}

fn cuts_of(cuts: &BTreeMap<u64, Vec<String>>, group: Group) -> Vec<Vec<u8>> {
    cuts.get(&group).into_iter().flatten().map(|cut| cut.clone().into_bytes()).collect()
}

fn hex(key: &[u8]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// A range as a directive's subject: the group, and the range's first key where it is not the group's first.
fn subject(group: Group, from: &[u8]) -> String {
    if from.is_empty() { group.to_string() } else { format!("{group}+{}", hex(from)) }
}

/// What is recommended for a range, as it stands in the directive and on the status socket. Keys are in hexadecimal, and
/// as text.
fn body(of: &RangeAdvice, alone: bool) -> Value {
    let advice = &of.advice;
    let state = match advice.state {
        State::Seen => "seen",
        State::Proposed => "proposed",
        State::Withdrawn => "withdrawn",
    };
    let text = |key: &[u8]| String::from_utf8_lossy(key).into_owned();
    let rounded = |share: f64| (share * 1000.0).round() / 1000.0;
    let why = match &advice.said {
        _ if of.merges => json!({"why": "it and the range before it are cold, give both to one"}),
        Said::Balanced => json!({"why": "none too large among its group's ranges"}),
        Said::Unknown => json!({"why": "too little was seen"}),
        Said::Uncovered { heard, living } => {
            json!({"why": "too few drivers are heard", "heard": heard, "living": living})
        }
        Said::Even => json!({"why": "cost follows the number of keys, any cut by their number is as good"}),
        Said::HotKey { key, share } => {
            json!({"why": "one key has most of it, a cut does not help", "key": text(key), "share": rounded(*share)})
        }
        Said::Front { from } => {
            json!({"why": "load is at ever new keys, give those from here on to a new range", "from": text(from)})
        }
        Said::Waits => json!({"why": "it has not held for long enough"}),
        Said::Cut(cut) => json!({"at": hex(&cut.at), "at_text": text(&cut.at), "left": rounded(cut.left),
            "within": rounded(cut.within), "writes": cut.writes.map(rounded)}),
    };
    let mut body = json!({"state": state, "drivers": advice.drivers, "cost_ms": advice.cost.round()});
    if let (Value::Object(body), Value::Object(why)) = (&mut body, why) {
        body.extend(why);
    }
    if !alone {
        body["from"] = json!(hex(&of.from));
        body["from_text"] = json!(text(&of.from));
        body["share"] = json!(rounded(of.share));
        body["share_within"] = json!(rounded(of.within));
    }
    body
}

/// Where an earlier lease holder recommended to split a range.
fn proposed_cut(directives: &DirectiveStore, now: Micros, subject: &str) -> Option<Vec<u8>> {
    let body: Value = serde_json::from_slice(directives.in_force(now, &Topic::new(LEASE, subject))?).ok()?;
    let proposed = body["state"] == "proposed";
    from_hex(body["at"].as_str().filter(|_| proposed)?)
}

fn recent_pictures(now: Micros, reports: &Reports) -> BTreeMap<Group, Picture> {
    let mut summaries: BTreeMap<Group, BTreeMap<String, Summary>> = BTreeMap::new();
    for report in reports.recent(now, REPORTS_COUNT_FOR, LEASE) {
        if let Ok(group) = report.subject.parse()
            && let Ok(summary) = frame::decode(report.body)
        {
            summaries.entry(group).or_default().insert(report.reporter.to_owned(), summary);
        }
    }
    summaries.into_iter().map(|(group, of_group)| (group, Picture::of(&of_group))).collect()
}

impl SplitPointWork {
    /// The part of a proxy, with the splits that the operators have made.
    pub fn start(cuts: BTreeMap<u64, Vec<String>>, log: Logger) -> SplitPointWork {
        SplitPointWork {
            cuts,
            ranges: WhileHeld::none(),
            logged: BTreeMap::new(),
            set_aside: Vec::new(),
            log,
        }
    }

    /// The operators have split elsewhere: ranges that are as they were keep what is known of them.
    pub fn reconfigure(&mut self, now: Micros, cuts: &BTreeMap<u64, Vec<String>>) {
        self.cuts.clone_from(cuts);
        for (group, ranges) in self.ranges.get_mut().into_iter().flatten() {
            ranges.cut(now, &cuts_of(cuts, *group), |_| None);
        }
    }

    /// What is to be reported of what was observed, by group.
    pub(super) fn report(&self, observed: &ObservationSummary) -> Vec<LeaseReport> {
        let report = |(group, summary): &(u64, Vec<u8>)| LeaseReport {
            topic: Topic::new(LEASE, &group.to_string()),
            body: summary.clone(),
        };
        observed.keys.iter().map(report).collect()
    }

    /// Once a second: what is recommended, while this proxy holds the lease.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let now = inputs.at.now;
        let Some(groups) = self.ranges.under(inputs.term, BTreeMap::new) else { return Vec::new() };
        let pictures = recent_pictures(now, inputs.reports);
        for group in pictures.keys() {
            groups.entry(*group).or_insert_with(|| {
                let proposed = |from: &[u8]| proposed_cut(inputs.directives, now, &subject(*group, from));
                Ranges::start(now, &cuts_of(&self.cuts, *group), proposed)
            });
        }
        let ranges: usize = groups.values().map(Ranges::len).sum();
        let usual_cost = pictures.values().map(Picture::cost).sum::<f64>() / ranges.max(1) as f64;
        let mut decisions = Vec::new();
        self.set_aside.clear();
        for (group, picture) in pictures {
            let Some(ranges) = groups.get_mut(&group) else { continue };
            self.set_aside.extend(picture.aside.iter().cloned());
            let advice = ranges.look(now, &picture, inputs.living.len(), usual_cost);
            for of in &advice {
                let subject = subject(group, &of.from);
                let body = body(of, advice.len() == 1);
                log_changed(&mut self.logged, &self.log, &subject, of.advice.state, &body);
                decisions.push(Decision { subject, body: body.to_string().into_bytes() });
            }
        }
        decisions
    }

    /// Proxies whose figures were set aside.
    pub fn set_aside(&self) -> &[String] {
        &self.set_aside
    }
}

/// Logs a recommendation that is not what was last logged of its range.
fn log_changed(
    logged: &mut BTreeMap<String, Logged>,
    log: &Logger,
    subject: &str,
    state: State,
    body: &Value,
) {
    let place_or_reason = body["at_text"].as_str().or(body["why"].as_str()).unwrap_or_default().to_owned();
    let latest = Logged { state, place_or_reason };
    if logged.get(subject) != Some(&latest) {
        info!(log, "split recommendation"; "says" => body.to_string(), "range" => subject);
        logged.insert(subject.to_owned(), latest);
    }
}

//! The work of the lease `splits`: summaries of keys are reported, and the lease holder recommends where to split a
//! group's range.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, Micros, Reports, Topic};
use aldermill_split_points::{
    Group, KeyDistribution, KeySummary, RangeRecommendation, RangeSet, RecommendationState, SplitAssessment,
    SplitPoint,
};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport, WhileHeld};
use crate::messages::ObservationSummary;

/// The lease's name.
pub const LEASE: &str = "splits";
/// For how long a report counts, in microseconds: a proxy reports one group after the other, up to 64 of them.
const REPORTS_COUNT_FOR: Micros = 60_000_000;

/// What was last logged of a range.
#[derive(PartialEq)]
struct Logged {
    state: RecommendationState,
    /// Where to split it, or why not.
    split_or_reason: String,
}

/// This proxy's part in split recommendations.
pub struct SplitPointWork {
    /// Where the operators have split each group.
    splits: BTreeMap<Group, Vec<String>>,
    ranges: WhileHeld<BTreeMap<Group, RangeSet>>,
    /// By the subject of the range.
    logged: BTreeMap<String, Logged>,
    /// Proxies whose figures were left out of the last decision.
    excluded: Vec<String>,
    log: Logger,
}

fn splits_of(splits: &BTreeMap<Group, Vec<String>>, group: Group) -> Vec<Vec<u8>> {
    splits.get(&group).into_iter().flatten().map(|split| split.clone().into_bytes()).collect()
}

fn hex(key: &[u8]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// A key as operators read it; bytes that are not UTF-8 are replaced.
fn key_text(key: &[u8]) -> String {
    String::from_utf8_lossy(key).into_owned()
}

/// To thousandths, as operators need no more.
fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}

/// A range as a directive's subject: the group, and the range's first key where it is not the group's first.
fn subject(group: Group, from: &[u8]) -> String {
    if from.is_empty() { group.to_string() } else { format!("{group}+{}", hex(from)) }
}

/// What is recommended for a range, as it stands in the directive and on the status socket. Keys are in hexadecimal, and
/// as text. Users' programs read it: keys and texts keep their form.
fn body(range: &RangeRecommendation, only_range: bool) -> Value {
    let split = &range.split;
    let mut body = json!({
        "state": state_word(split.state),
        "drivers": split.reporters,
        "cost_ms": split.cost.round(),
    });
    let details = if range.merge_with_previous {
        json!({"why": "it and the range before it are cold, give both to one"})
    } else {
        describe_assessment(&split.assessment)
    };
    if let (Value::Object(body), Value::Object(details)) = (&mut body, details) {
        body.extend(details);
    }
    if !only_range {
        body["from"] = json!(hex(&range.from));
        body["from_text"] = json!(key_text(&range.from));
        body["share"] = json!(rounded(range.share));
        body["share_within"] = json!(rounded(range.margin));
    }
    body
}

fn state_word(state: RecommendationState) -> &'static str {
    match state {
        RecommendationState::Observing => "seen",
        RecommendationState::Proposed => "proposed",
        RecommendationState::Withdrawn => "withdrawn",
    }
}

fn describe_assessment(assessment: &SplitAssessment) -> Value {
    match assessment {
        SplitAssessment::Balanced => json!({"why": "none too large among its group's ranges"}),
        SplitAssessment::Unknown => json!({"why": "too little was seen"}),
        SplitAssessment::LowCoverage { reporters, live_proxies } => {
            json!({"why": "too few drivers are heard", "heard": reporters, "living": live_proxies})
        }
        SplitAssessment::Uniform => {
            json!({"why": "cost follows the number of keys, any cut by their number is as good"})
        }
        SplitAssessment::HotKey { key, share } => json!({
            "why": "one key has most of it, a cut does not help",
            "key": key_text(key),
            "share": rounded(*share),
        }),
        SplitAssessment::AscendingKeys { from } => json!({
            "why": "load is at ever new keys, give those from here on to a new range",
            "from": key_text(from),
        }),
        SplitAssessment::Pending => json!({"why": "it has not held for long enough"}),
        SplitAssessment::Split(split) => describe_split(split),
    }
}

fn describe_split(split: &SplitPoint) -> Value {
    json!({
        "at": hex(&split.key),
        "at_text": key_text(&split.key),
        "left": rounded(split.left_share),
        "within": rounded(split.margin),
        "writes": [rounded(split.writes.left), rounded(split.writes.right)],
    })
}

/// Where an earlier lease holder proposed to split a range.
fn proposed_split(directives: &DirectiveStore, now: Micros, subject: &str) -> Option<Vec<u8>> {
    let body: Value = serde_json::from_slice(directives.in_force(now, &Topic::new(LEASE, subject))?).ok()?;
    let proposed = body["state"] == "proposed";
    from_hex(body["at"].as_str().filter(|_| proposed)?)
}

/// The newest summaries of all proxies, combined by group; those that can't be read are left out.
fn recent_distributions(now: Micros, reports: &Reports) -> BTreeMap<Group, KeyDistribution> {
    let mut summaries: BTreeMap<Group, BTreeMap<String, KeySummary>> = BTreeMap::new();
    for report in reports.recent(now, REPORTS_COUNT_FOR, LEASE) {
        if let Ok(group) = report.subject.parse()
            && let Ok(summary) = KeySummary::decode(report.body)
        {
            summaries.entry(group).or_default().insert(report.reporter.to_owned(), summary);
        }
    }
    summaries.into_iter().map(|(group, of_group)| (group, KeyDistribution::combine(&of_group))).collect()
}

impl SplitPointWork {
    /// The part of a proxy, with the splits that the operators have made.
    pub fn start(splits: BTreeMap<Group, Vec<String>>, log: Logger) -> SplitPointWork {
        SplitPointWork {
            splits,
            ranges: WhileHeld::none(),
            logged: BTreeMap::new(),
            excluded: Vec::new(),
            log,
        }
    }

    /// The operators have split elsewhere: ranges that are as they were keep what is known of them.
    pub fn reconfigure(&mut self, now: Micros, splits: &BTreeMap<Group, Vec<String>>) {
        self.splits.clone_from(splits);
        for (group, ranges) in self.ranges.get_mut().into_iter().flatten() {
            ranges.set_splits(now, &splits_of(splits, *group), |_| None);
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
        let distributions = recent_distributions(now, inputs.reports);
        for group in distributions.keys() {
            groups.entry(*group).or_insert_with(|| {
                let proposed = |from: &[u8]| proposed_split(inputs.directives, now, &subject(*group, from));
                RangeSet::new(now, &splits_of(&self.splits, *group), proposed)
            });
        }
        let average_cost = average_range_cost(groups, &distributions);
        let mut decisions = Vec::new();
        self.excluded.clear();
        for (group, distribution) in distributions {
            let Some(ranges) = groups.get_mut(&group) else { continue };
            self.excluded.extend(distribution.excluded.iter().cloned());
            let recommendations = ranges.advise(now, &distribution, inputs.living.len(), average_cost);
            for range in &recommendations {
                let subject = subject(group, &range.from);
                let body = body(range, recommendations.len() == 1);
                log_changed(&mut self.logged, &self.log, &subject, range.split.state, &body);
                decisions.push(Decision { subject, body: body.to_string().into_bytes() });
            }
        }
        decisions
    }

    /// Proxies whose figures were left out of the last decision.
    pub fn set_aside(&self) -> &[String] {
        &self.excluded
    }
}

/// What a range costs on average over all groups, in milliseconds of recent member time.
fn average_range_cost(
    groups: &BTreeMap<Group, RangeSet>,
    distributions: &BTreeMap<Group, KeyDistribution>,
) -> f64 {
    let ranges: usize = groups.values().map(RangeSet::len).sum();
    distributions.values().map(KeyDistribution::cost).sum::<f64>() / ranges.max(1) as f64
}

/// Logs a recommendation that is not what was last logged of its range.
fn log_changed(
    logged: &mut BTreeMap<String, Logged>,
    log: &Logger,
    subject: &str,
    state: RecommendationState,
    body: &Value,
) {
    let split_or_reason = body["at_text"].as_str().or(body["why"].as_str()).unwrap_or_default().to_owned();
    let latest = Logged { state, split_or_reason };
    if logged.get(subject) != Some(&latest) {
        info!(log, "split recommendation"; "says" => body.to_string(), "range" => subject);
        logged.insert(subject.to_owned(), latest);
    }
}

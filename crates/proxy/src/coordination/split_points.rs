//! Controller of the lease `splits`: proxies report summaries of accessed keys, and the lease holder recommends where
//! to split the key ranges of a group.

use std::collections::BTreeMap;

use aldermill_directives::{DirectiveStore, Micros, Reports, Topic};
use aldermill_split_points::{
    Group, KeyDistribution, KeySummary, RangeRecommendation, RangeSet, RecommendationState, SplitAssessment,
    SplitPoint,
};
use serde_json::{Value, json};
use slog::{Logger, info};

use super::decision::{Decision, DecisionInputs, LeaseReport, TermState};
use crate::messages::ObservationSummary;

/// Name of the lease.
pub const LEASE: &str = "splits";
/// Maximum age of a report that decisions are based on, in microseconds. It is long because a proxy reports one group
/// after the other, up to 64 of them.
const MAX_REPORT_AGE: Micros = 60_000_000;

/// The recommendation that was last logged for a range.
#[derive(PartialEq)]
struct LoggedRecommendation {
    state: RecommendationState,
    /// Key at which to split the range, or the reason why not to.
    split_or_reason: String,
}

/// Controls split recommendations at this proxy.
pub struct SplitPointController {
    /// First key of each range but the first, by group, as the operators have split it.
    splits: BTreeMap<Group, Vec<String>>,
    /// Ranges of each group, kept while this proxy holds the lease.
    ranges: TermState<BTreeMap<Group, RangeSet>>,
    /// Recommendations last logged, by the subject of the range.
    logged: BTreeMap<String, LoggedRecommendation>,
    /// Names of the proxies whose summaries were excluded from the last decision.
    excluded_reporters: Vec<String>,
    log: Logger,
}

/// Returns the keys at which the operators have split a group; empty if it is not split.
fn split_keys(splits: &BTreeMap<Group, Vec<String>>, group: Group) -> Vec<Vec<u8>> {
    splits.get(&group).into_iter().flatten().map(|split| split.clone().into_bytes()).collect()
}

/// Formats a key in lower-case hexadecimal.
fn to_hex(key: &[u8]) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a key from hexadecimal. Returns `None` if the text is malformed.
fn from_hex(text: &str) -> Option<Vec<u8>> {
    let pairs = text.as_bytes().chunks(2);
    pairs.map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()).collect()
}

/// Returns a key as text for operators; bytes that are not UTF-8 are replaced.
fn key_text(key: &[u8]) -> String {
    String::from_utf8_lossy(key).into_owned()
}

/// Rounds to thousandths, as operators need no more precision.
fn rounded(share: f64) -> f64 {
    (share * 1000.0).round() / 1000.0
}

/// Returns the subject of a range's directive: `GROUP` for the group's first range, otherwise `GROUP+FROM` with the
/// range's first key in hexadecimal.
fn subject(group: Group, from: &[u8]) -> String {
    if from.is_empty() { group.to_string() } else { format!("{group}+{}", to_hex(from)) }
}

/// Returns the recommendation for a range as JSON, for the directive and the status socket. Range keys are given in
/// hexadecimal and as text. The first key and the share are left out if the range is the only one of its group.
/// Users' programs read the JSON, so its keys and texts never change.
fn recommendation_json(range: &RangeRecommendation, is_only_range: bool) -> Value {
    let split = &range.split;
    let mut body = json!({
        "state": state_name(split.state),
        "drivers": split.reporters,
        "cost_ms": split.cost.round(),
    });
    let details = if range.merge_with_previous {
        json!({"why": "it and the range before it are cold, give both to one"})
    } else {
        assessment_json(&split.assessment)
    };
    if let (Value::Object(body), Value::Object(details)) = (&mut body, details) {
        body.extend(details);
    }
    if !is_only_range {
        body["from"] = json!(to_hex(&range.from));
        body["from_text"] = json!(key_text(&range.from));
        body["share"] = json!(rounded(range.share));
        body["share_within"] = json!(rounded(range.margin));
    }
    body
}

fn state_name(state: RecommendationState) -> &'static str {
    match state {
        RecommendationState::Observing => "seen",
        RecommendationState::Proposed => "proposed",
        RecommendationState::Withdrawn => "withdrawn",
    }
}

fn assessment_json(assessment: &SplitAssessment) -> Value {
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
        SplitAssessment::Split(split) => split_json(split),
    }
}

fn split_json(split: &SplitPoint) -> Value {
    json!({
        "at": to_hex(&split.key),
        "at_text": key_text(&split.key),
        "left": rounded(split.left_share),
        "within": rounded(split.margin),
        "writes": [rounded(split.writes.left), rounded(split.writes.right)],
    })
}

/// Returns the key at which an earlier lease holder proposed to split a range, or `None` if no such directive is in
/// force.
fn proposed_split(directives: &DirectiveStore, now: Micros, subject: &str) -> Option<Vec<u8>> {
    let body: Value = serde_json::from_slice(directives.in_force(now, &Topic::new(LEASE, subject))?).ok()?;
    let proposed = body["state"] == "proposed";
    from_hex(body["at"].as_str().filter(|_| proposed)?)
}

/// Combines the recent summaries of all proxies by group. Summaries that cannot be decoded are left out.
fn recent_distributions(now: Micros, reports: &Reports) -> BTreeMap<Group, KeyDistribution> {
    let mut summaries: BTreeMap<Group, BTreeMap<String, KeySummary>> = BTreeMap::new();
    for report in reports.recent(now, MAX_REPORT_AGE, LEASE) {
        if let Ok(group) = report.subject.parse()
            && let Ok(summary) = KeySummary::decode(report.body)
        {
            summaries.entry(group).or_default().insert(report.reporter.to_owned(), summary);
        }
    }
    summaries.into_iter().map(|(group, of_group)| (group, KeyDistribution::combine(&of_group))).collect()
}

impl SplitPointController {
    /// Starts the controller. `splits` is the first key of each range but the first, by group, as the operators have
    /// split it.
    pub fn start(splits: BTreeMap<Group, Vec<String>>, log: Logger) -> SplitPointController {
        SplitPointController {
            splits,
            ranges: TermState::not_held(),
            logged: BTreeMap::new(),
            excluded_reporters: Vec::new(),
            log,
        }
    }

    /// Replaces the splits of the operators. Ranges whose bounds have not changed keep the state of their
    /// recommendations.
    pub fn reconfigure(&mut self, now: Micros, splits: &BTreeMap<Group, Vec<String>>) {
        self.splits.clone_from(splits);
        for (group, ranges) in self.ranges.get_mut().into_iter().flatten() {
            ranges.set_splits(now, &split_keys(splits, *group), |_| None);
        }
    }

    /// Builds one report for each group on what was observed.
    pub(super) fn build_report(&self, observations: &ObservationSummary) -> Vec<LeaseReport> {
        let report = |(group, summary): &(u64, Vec<u8>)| LeaseReport {
            topic: Topic::new(LEASE, &group.to_string()),
            body: summary.clone(),
        };
        observations.keys.iter().map(report).collect()
    }

    /// Makes the recommendations if this proxy holds the lease, otherwise none. Called once a second.
    pub(super) fn decide(&mut self, inputs: &DecisionInputs<'_>) -> Vec<Decision> {
        let now = inputs.at.now;
        let Some(groups) = self.ranges.for_term(inputs.term, BTreeMap::new) else { return Vec::new() };
        let distributions = recent_distributions(now, inputs.reports);
        for group in distributions.keys() {
            groups.entry(*group).or_insert_with(|| {
                let proposed = |from: &[u8]| proposed_split(inputs.directives, now, &subject(*group, from));
                RangeSet::new(now, &split_keys(&self.splits, *group), proposed)
            });
        }
        let average_cost = average_range_cost(groups, &distributions);
        let mut decisions = Vec::new();
        self.excluded_reporters.clear();
        for (group, distribution) in distributions {
            let Some(ranges) = groups.get_mut(&group) else { continue };
            self.excluded_reporters.extend(distribution.excluded.iter().cloned());
            let recommendations = ranges.advise(now, &distribution, inputs.live_proxies.len(), average_cost);
            for range in &recommendations {
                let subject = subject(group, &range.from);
                let body = recommendation_json(range, recommendations.len() == 1);
                log_if_changed(&mut self.logged, &self.log, &subject, range.split.state, &body);
                decisions.push(Decision { subject, body: body.to_string().into_bytes() });
            }
        }
        decisions
    }

    /// Returns the names of the proxies whose summaries were excluded from the last decision.
    pub fn excluded_reporters(&self) -> &[String] {
        &self.excluded_reporters
    }
}

/// Returns the average cost of a range over all groups, in milliseconds of recent member time.
fn average_range_cost(
    groups: &BTreeMap<Group, RangeSet>,
    distributions: &BTreeMap<Group, KeyDistribution>,
) -> f64 {
    let ranges: usize = groups.values().map(RangeSet::len).sum();
    distributions.values().map(KeyDistribution::cost).sum::<f64>() / ranges.max(1) as f64
}

/// Logs a recommendation if its state, split key or reason differs from the one that was last logged for the range.
fn log_if_changed(
    logged: &mut BTreeMap<String, LoggedRecommendation>,
    log: &Logger,
    subject: &str,
    state: RecommendationState,
    body: &Value,
) {
    let split_or_reason = body["at_text"].as_str().or(body["why"].as_str()).unwrap_or_default().to_owned();
    let latest = LoggedRecommendation { state, split_or_reason };
    if logged.get(subject) != Some(&latest) {
        info!(log, "split recommendation"; "says" => body.to_string(), "range" => subject);
        logged.insert(subject.to_owned(), latest);
    }
}

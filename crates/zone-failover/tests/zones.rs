//! Tests of failover for unreachable, partitioned, overloaded and flapping zones, and of invariants under arbitrary
//! reports.

use std::collections::BTreeMap;

use aldermill_zone_failover::{
    DecodeError, Evidence, FailoverLevel, FailoverPlanner, GroupZone, Micros, OutcomeCounts, ReadOutcome,
    TrafficShift, Zone, ZoneDirective, ZoneHealth, ZoneHistory, ZoneReport, ZoneRow, ZoneShare,
};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SECOND: Micros = 1_000_000;
const GROUP: u64 = 7;

/// The outcomes of one proxy's reads in one zone, as fractions of its attempts. The remaining attempts are served late.
#[derive(Clone, Copy)]
struct OutcomeShares {
    in_time: f64,
    unanswered: f64,
}

const SERVED: OutcomeShares = OutcomeShares { in_time: 1.0, unanswered: 0.0 };
const UNANSWERED: OutcomeShares = OutcomeShares { in_time: 0.0, unanswered: 1.0 };

/// Outcomes where this fraction is served in time and the rest is served late.
fn served_in_time(in_time: f64) -> OutcomeShares {
    OutcomeShares { in_time, unanswered: 0.0 }
}

/// A fleet of twelve proxies, four in each of three zones. Each proxy sends 20 reads per second to its own zone and 2
/// to each of the others. Proxy `n` is in zone `n % 3`.
struct Fleet {
    now: Micros,
    evidence: Evidence,
    planner: FailoverPlanner,
    /// Returns the outcomes for the number of a proxy and the zone that it reads from.
    outcome_shares: Box<dyn Fn(usize, Zone) -> OutcomeShares>,
    directives: Vec<ZoneDirective>,
}

impl Fleet {
    /// Creates a fleet whose zones have all been healthy for five seconds.
    fn healthy() -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            evidence: Evidence::default(),
            planner: FailoverPlanner::default(),
            outcome_shares: Box::new(|_, _| SERVED),
            directives: vec![],
        };
        fleet.advance(5);
        fleet
    }

    /// Runs the fleet for this many seconds; in each, every proxy reports and the lease holder decides.
    fn advance(&mut self, seconds: i64) {
        for _ in 0..seconds {
            self.now += SECOND;
            let reports = (0..12).map(|proxy| (format!("n{proxy}"), vec![self.report(proxy)]));
            self.evidence.evaluate(&reports.collect());
            self.directives = self.planner.decide(self.now, &self.evidence);
        }
    }

    fn report(&self, proxy: usize) -> ZoneReport {
        let own_zone = proxy % 3;
        let rows = (0..3).map(|zone| {
            let attempts = if zone == own_zone { 20 } else { 2 };
            let OutcomeShares { in_time, unanswered } = (self.outcome_shares)(proxy, zone);
            let count = |share: f64| (f64::from(attempts) * share).round() as u32;
            let counts = OutcomeCounts {
                attempts,
                in_time: count(in_time),
                unanswered: count(unanswered),
                ..OutcomeCounts::default()
            };
            ZoneRow { group: GROUP, zone, counts }
        });
        ZoneReport { zone: own_zone, span: SECOND, rows: rows.collect() }
    }

    fn level(&self, zone: Zone) -> FailoverLevel {
        self.planner.level(GroupZone { group: GROUP, zone }).unwrap()
    }

    fn shift(&self, zone: Zone) -> Option<&TrafficShift> {
        self.directives.iter().find(|directive| directive.zone == zone).map(|directive| &directive.shift)
    }

    fn health(&self, zone: Zone) -> ZoneHealth {
        self.evidence.views()[&GroupZone { group: GROUP, zone }].health
    }
}

#[test]
fn healthy_zones_get_no_directive() {
    let mut fleet = Fleet::healthy();
    fleet.advance(30);
    assert!(fleet.directives.is_empty() && (0..3).all(|zone| fleet.level(zone) == FailoverLevel::Local));
}

#[test]
fn unreachable_zone_fails_over_within_seconds_and_fails_back_in_steps() {
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares = Box::new(|_, zone| if zone == 0 { UNANSWERED } else { SERVED });
    fleet.advance(2);
    assert_eq!((fleet.health(0), fleet.level(0)), (ZoneHealth::Unreachable, FailoverLevel::FailedOver));
    let shift = fleet.shift(0).unwrap();
    assert!(shift.insufficient_capacity, "the other zones lack measured capacity for this load: {shift:?}");
    assert!(shift.targets.iter().all(|part| part.zone != 0));
    fleet.outcome_shares = Box::new(|_, _| SERVED);
    fleet.advance(2);
    assert_eq!(
        fleet.level(0),
        FailoverLevel::FailedOver,
        "the zone must answer for longer before it fails back"
    );
    fleet.advance(1);
    assert_eq!(fleet.level(0), FailoverLevel::FailingBack);
    let mut shifted_shares = Vec::new();
    for _ in 0..10 {
        shifted_shares.extend(fleet.shift(0).map(|shift| shift.shifted_share));
        fleet.advance(1);
    }
    assert!(shifted_shares.windows(2).all(|pair| pair[1] <= pair[0]), "{shifted_shares:?}");
    assert_eq!(fleet.shift(0).map_or(0, |shift| shift.shifted_share), 0);
}

#[test]
fn partitioned_zone_keeps_its_own_clients() {
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares =
        Box::new(|proxy, zone| if (proxy % 3 == 0) != (zone == 0) { UNANSWERED } else { SERVED });
    fleet.advance(10);
    assert_eq!((fleet.health(0), fleet.level(0)), (ZoneHealth::Partitioned, FailoverLevel::Local));
    assert!(
        (1..3).all(|zone| fleet.level(zone) == FailoverLevel::Local),
        "the other zones can still reach each other"
    );
}

#[test]
fn overloaded_zone_spills_over_in_steps_and_slow_paths_of_some_proxies_shift_nothing() {
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares = Box::new(|_, zone| if zone == 1 { served_in_time(0.6) } else { SERVED });
    fleet.advance(2);
    assert_eq!(fleet.level(1), FailoverLevel::Local);
    fleet.advance(3);
    assert_eq!((fleet.health(1), fleet.level(1)), (ZoneHealth::Overloaded, FailoverLevel::Spillover));
    assert!(fleet.shift(1).unwrap().shifted_share <= 200, "{:?}", fleet.shift(1));
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares =
        Box::new(|proxy, zone| if zone == 1 && proxy % 6 == 1 { served_in_time(0.5) } else { SERVED });
    fleet.advance(20);
    assert_eq!((fleet.health(1), fleet.level(1)), (ZoneHealth::PartlyServed, FailoverLevel::Local));
}

#[test]
fn one_unhealthy_proxy_shifts_nothing() {
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares = Box::new(|proxy, _| if proxy == 4 { UNANSWERED } else { SERVED });
    fleet.advance(20);
    assert!((0..3).all(|zone| fleet.level(zone) == FailoverLevel::Local));
    assert_eq!(fleet.evidence.unhealthy_reporters().iter().collect::<Vec<_>>(), ["n4"]);
}

#[test]
fn flapping_zone_changes_level_at_most_twice_a_minute() {
    let mut fleet = Fleet::healthy();
    let mut changes = Vec::new();
    let mut last = FailoverLevel::Local;
    for second in 0..240 {
        let down = second / 4 % 2 == 0;
        fleet.outcome_shares = Box::new(move |_, zone| if zone == 0 && down { UNANSWERED } else { SERVED });
        fleet.advance(1);
        if std::mem::replace(&mut last, fleet.level(0)) != last {
            changes.push(second);
        }
    }
    for &from in &changes {
        let within = changes.iter().filter(|&&at| (from..from + 60).contains(&at)).count();
        assert!(within <= 2, "{changes:?}");
    }
}

#[test]
fn new_lease_holder_resumes_the_failover() {
    let mut fleet = Fleet::healthy();
    fleet.outcome_shares = Box::new(|_, zone| if zone == 0 { UNANSWERED } else { SERVED });
    fleet.advance(3);
    let shift = fleet.shift(0).unwrap().clone();
    let directive = ZoneDirective { group: GROUP, zone: 0, shift };
    fleet.planner = FailoverPlanner::default();
    fleet.planner.resume(fleet.now, &directive);
    fleet.advance(1);
    assert_eq!(fleet.level(0), FailoverLevel::FailedOver);
}

/// One proxy's report as generated: the proxy's zone, the span in microseconds, and for each row the group, the zone,
/// the number of attempts, and the fractions served in time and unanswered.
type GeneratedReport = (Zone, Micros, Vec<(u64, Zone, u32, f64, f64)>);

fn build_report((zone, span, rows): GeneratedReport) -> ZoneReport {
    let rows = rows.into_iter().map(|(group, zone, attempts, in_time, unanswered)| {
        let count = |share: f64| (f64::from(attempts) * share) as u32;
        let counts = OutcomeCounts {
            attempts,
            in_time: count(in_time),
            unanswered: count(unanswered),
            ..OutcomeCounts::default()
        };
        ZoneRow { group, zone, counts }
    });
    ZoneReport { zone, span, rows: rows.collect() }
}

/// Checks that shares do not exceed the whole, that no two zones shift reads to each other, and that no zone receives
/// more than 1.1 times its measured capacity less its load.
fn check_directives(evidence: &Evidence, directives: &[ZoneDirective]) {
    let mut sent: BTreeMap<GroupZone, f64> = BTreeMap::new();
    for ZoneDirective { group, zone, shift } in directives {
        assert!(
            shift.shifted_share <= 1000
                && shift.targets.iter().map(|part| u32::from(part.share)).sum::<u32>() <= 1000
        );
        for &ZoneShare { zone: to, share } in &shift.targets {
            let sends_back =
                |d: &&ZoneDirective| d.group == *group && d.zone == to && d.shift.shifted_share > 0;
            assert!(
                directives.iter().find(sends_back).is_none(),
                "zones {zone} and {to} shift reads to each other"
            );
            let key = GroupZone { group: *group, zone: *zone };
            let shifted_rate = evidence.views()[&key].demand * f64::from(shift.shifted_share) / 1000.0;
            *sent.entry(GroupZone { group: *group, zone: to }).or_default() +=
                shifted_rate * f64::from(share) / 1000.0;
        }
    }
    for (key, rate) in sent {
        let view = evidence.views()[&key];
        let spare = (view.capacity * 1.1 - view.load).max(0.0);
        assert!(rate <= spare + 1e-6, "{rate} reads/s shifted to {key:?}, whose spare capacity is {spare}");
    }
}

/// Evaluates generated reports second by second, and checks the directives and that levels change at most twice a
/// minute.
fn check_history(seconds: Vec<Vec<(usize, GeneratedReport)>>) {
    let mut evidence = Evidence::default();
    let mut planner = FailoverPlanner::default();
    let mut reports: BTreeMap<String, Vec<ZoneReport>> = BTreeMap::new();
    let mut changes: BTreeMap<GroupZone, Vec<Micros>> = BTreeMap::new();
    let mut levels: BTreeMap<GroupZone, FailoverLevel> = BTreeMap::new();
    for (second, generated) in seconds.into_iter().enumerate() {
        let now = second as i64 * SECOND;
        for (proxy, report) in generated {
            reports.insert(format!("n{proxy}"), vec![build_report(report)]);
        }
        evidence.evaluate(&reports);
        check_directives(&evidence, &planner.decide(now, &evidence));
        for &key in evidence.views().keys() {
            let level = planner.level(key).unwrap();
            if levels.insert(key, level).is_some_and(|before| before != level) {
                changes.entry(key).or_default().push(now);
            }
        }
    }
    for changes in changes.values() {
        assert!(changes.windows(3).all(|triple| triple[2] - triple[0] >= 60 * SECOND), "{changes:?}");
    }
}

/// Checks the invariants for arbitrary reports, including reports that arrive in any order, late, repeatedly or never.
#[test]
fn arbitrary_reports_never_cause_mutual_shifts_or_exceed_measured_capacity() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let row = (0u64..2, 0usize..4, 0u32..60, 0.0..1.0f64, 0.0..1.0f64);
    let report = (0usize..4, 200_000i64..3_000_000, vec(row, 0..8));
    let seconds = vec(vec((0usize..9, report), 0..12), 1..40);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let check = |seconds| {
        check_history(seconds);
        Ok(())
    };
    runner.run(&seconds, check).unwrap();
}

/// Returns a history of two served reads and one unanswered read in zone 1, and one rejected and one failed read in
/// zone 2.
fn history_of_five_reads() -> ZoneHistory {
    let mut history = ZoneHistory::start(0);
    history.record(GROUP, 1, ReadOutcome::Served { in_time: true }, 20_000);
    history.record(GROUP, 1, ReadOutcome::Served { in_time: false }, 600_000);
    history.record(GROUP, 1, ReadOutcome::Unanswered, 0);
    history.record(GROUP, 2, ReadOutcome::Rejected, 0);
    history.record(GROUP, 2, ReadOutcome::Failed, 0);
    history
}

#[test]
fn history_counts_each_read_once_and_covers_two_intervals() {
    let mut history = history_of_five_reads();
    let recent = history.end_interval(SECOND);
    let first = &recent.rows[0].counts;
    assert_eq!((recent.span, recent.rows.len(), first.attempts, first.served_ms), (SECOND, 2, 3, 620));
    assert_eq!(
        history.end_interval(2 * SECOND).rows[0].counts.attempts,
        3,
        "a report covers the last two intervals"
    );
    assert!(history.end_interval(3 * SECOND).rows.is_empty());
}

#[test]
fn payloads_round_trip_and_invalid_ones_are_rejected() {
    let recent = history_of_five_reads().end_interval(SECOND);
    let report = ZoneReport { zone: 1, span: recent.span, rows: recent.rows };
    assert_eq!(ZoneReport::decode(&report.encode()), Ok(report));
    let targets = vec![ZoneShare { zone: 0, share: 400 }, ZoneShare { zone: 2, share: 600 }];
    let shift = TrafficShift {
        level: FailoverLevel::FailingBack,
        shifted_share: 300,
        targets,
        insufficient_capacity: true,
    };
    assert_eq!(TrafficShift::decode(&shift.encode()), Ok(shift));
    assert_eq!(TrafficShift::decode(&[1, 9, 9, 0]), Err(DecodeError::ShareTooLarge(0x909)));
    assert_eq!(TrafficShift::decode(&[9, 0, 0, 0]), Err(DecodeError::UnknownLevel(9)));
    assert!(ZoneReport::decode(&[1, 0]).is_err());
}

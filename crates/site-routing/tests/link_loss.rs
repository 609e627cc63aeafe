//! Requests that were forwarded over a link that is lost, at a site that has two gateways.

use aldermill_site_routing::{
    Action, Effect, Micros, Need, Outcome, Request, RequestClass, SiteRouter, SiteRouterConfig,
};

/// One millisecond in microseconds.
const MS: Micros = 1_000;
/// The timeout of all requests, in microseconds.
const TIMEOUT: Micros = 2_000 * MS;
const GROUP: u64 = 2;
/// The site of both gateways.
const REMOTE_SITE: usize = 1;
/// Index of the class whose repeats are deduplicated; the other one is idempotent.
const DEDUPLICATED: usize = 1;

fn config(duplicate_attempts_allowed: bool) -> SiteRouterConfig {
    let class = |effect| RequestClass {
        effect,
        need: Need::Primary,
        objective: 700 * MS,
        priority_weight: 1.0,
        late_priority_weight: 0.5,
    };
    let deduplicated = Effect::Deduplicated { window: 1_200 * MS, within_site: false };
    SiteRouterConfig {
        classes: vec![class(Effect::Idempotent), class(deduplicated)],
        sites: 2,
        max_hops: 1,
        max_credit: 64,
        max_retry_after: 1_000 * MS,
        duplicate_attempts_allowed,
    }
}

/// A router that has forwarded a request of the class to one of two gateways of a site.
struct Forwarded {
    router: SiteRouter,
    gateway: usize,
    number: u64,
}

impl Forwarded {
    fn new(class: usize) -> Forwarded {
        Forwarded::with_config(class, config(false))
    }

    fn with_config(class: usize, config: SiteRouterConfig) -> Forwarded {
        let mut router = SiteRouter::new(config, 1, 0);
        for gateway in 0..2 {
            router.links_changed(0, gateway, REMOTE_SITE, 1, true);
            router.attempt_ages_announced(gateway, true);
            router.capacity_announced(0, gateway, vec![9; 2], &[(GROUP, true)], false);
        }
        let request = Request { class, group: GROUP, timeout: TIMEOUT, ..Request::default() };
        let (_, actions) = router.accept(0, request);
        let [(_, Action::Forward { gateway, number, .. })] = actions.requests[..] else {
            panic!("{actions:?}")
        };
        Forwarded { router, gateway, number }
    }

    /// Loses the only link to the gateway. Returns the actions.
    fn lose_link(&mut self, now: Micros) -> Vec<Action> {
        let Forwarded { router, gateway, number } = self;
        let mut actions = router.links_changed(now, *gateway, REMOTE_SITE, 0, true).requests;
        actions.extend(router.link_lost(now, *gateway, &[*number]).requests);
        actions.into_iter().map(|(_, action)| action).collect()
    }
}

/// Guards against two attempts at once: a copy was sent over the other gateway while the first one ran.
#[test]
fn a_request_whose_link_is_lost_is_not_sent_again_before_its_outcome_is_known() {
    for class in [0, DEDUPLICATED] {
        let mut forwarded = Forwarded::new(class);
        assert_eq!(forwarded.lose_link(100 * MS), []);
        let Forwarded { mut router, gateway, number } = forwarded;
        assert!(router.wake(500 * MS).requests.is_empty());
        let actions = router.links_changed(600 * MS, gateway, REMOTE_SITE, 1, true);
        let asks = |action: &Action| matches!(action, Action::QueryOutcome { number: asked, .. } if *asked == number);
        assert!(matches!(&actions.requests[..], [(_, action)] if asks(action)), "{actions:?}");
        assert!(router.outcome_received::<()>(610 * MS, number, &Outcome::InFlight).requests.is_empty());
        // Once the first attempts are over, the request is sent again, with the age of the first one.
        let actions = router.outcome_received::<()>(700 * MS, number, &Outcome::Failed);
        let [(_, Action::Forward { earlier_attempt_age, .. })] = actions.requests[..] else {
            panic!("{actions:?}")
        };
        assert_eq!(earlier_attempt_age, (class == DEDUPLICATED).then_some(700 * MS));
    }
}

/// Where two attempts at once are allowed, a request need not wait for its first one.
#[test]
fn a_request_whose_link_is_lost_is_sent_again_at_once_where_two_attempts_are_allowed() {
    for class in [0, DEDUPLICATED] {
        let mut forwarded = Forwarded::with_config(class, config(true));
        assert!(matches!(forwarded.lose_link(100 * MS)[..], [Action::Forward { .. }]));
    }
}

/// A process that was replaced has no attempts under way: its requests need not wait for an answer that it cannot give.
#[test]
fn a_request_of_a_replaced_process_is_sent_again_at_once_if_it_may_be_repeated() {
    for class in [0, DEDUPLICATED] {
        let mut forwarded = Forwarded::new(class);
        assert_eq!(forwarded.lose_link(100 * MS), []);
        let Forwarded { mut router, gateway, .. } = forwarded;
        let actions = router.links_changed(400 * MS, gateway, REMOTE_SITE, 1, false);
        assert!(matches!(actions.requests[..], [(_, Action::Forward { .. })]), "{actions:?}");
    }
}

/// Guards against a request that waits for a lost link for longer than its requester does.
#[test]
fn a_request_whose_link_stays_lost_ends_by_its_deadline() {
    for (class, last) in [(0, Action::Reject { retry_after: 700 * MS }), (DEDUPLICATED, Action::Fail)] {
        let mut forwarded = Forwarded::new(class);
        forwarded.lose_link(100 * MS);
        assert!(forwarded.router.wake(TIMEOUT - 30 * MS).requests.is_empty());
        let actions = forwarded.router.wake(TIMEOUT - 10 * MS).requests;
        assert_eq!(actions.last().map(|&(_, action)| action), Some(last));
    }
}

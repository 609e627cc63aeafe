//! Differences between two sets of actions.

use std::collections::BTreeMap;
use std::fmt;

use aldermill_routing::{Action, Actions, MemberId, RequestHandle};

/// Result of a decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disposition {
    /// The request stays in the queue, or its attempt continues.
    Queued,
    /// The request is sent to a member.
    Attempted,
    /// The request is rejected, with a retry-after.
    Rejected,
    /// The request fails, and may have taken effect.
    Failed,
}

impl Disposition {
    /// Returns the disposition of a request; `None` means that the decision had no action for it.
    fn from_action(action: Option<Action>) -> Disposition {
        match action {
            None => Disposition::Queued,
            Some(Action::Attempt { .. }) => Disposition::Attempted,
            Some(Action::Reject { .. }) => Disposition::Rejected,
            Some(Action::Fail) => Disposition::Failed,
        }
    }
}

impl fmt::Display for Disposition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Disposition::Queued => "queued",
            Disposition::Attempted => "attempted",
            Disposition::Rejected => "rejected",
            Disposition::Failed => "failed",
        })
    }
}

/// Difference between a decision under the shadow settings and the decision that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Difference {
    /// The dispositions of a request differ.
    Disposition {
        /// Disposition that was carried out.
        made: Disposition,
        /// Disposition under the shadow settings.
        shadow: Disposition,
    },
    /// An attempt goes to another member.
    Member,
    /// An attempt goes to the same member with another timeout.
    Timeout,
    /// A request is rejected with another retry-after.
    RetryAfter,
    /// A member gets a health check that was not sent.
    HealthChecked,
    /// A member does not get a health check that was sent.
    NotHealthChecked,
    /// Idle connections of other members are closed.
    ConnectionsClosed,
    /// The endpoint list is subscribed to although it was not, or the other way round.
    Subscription,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Disposition { made, shadow } => write!(f, "{shadow}_not_{made}"),
            Difference::Member => f.write_str("another_member"),
            Difference::Timeout => f.write_str("another_timeout"),
            Difference::RetryAfter => f.write_str("another_retry_after"),
            Difference::HealthChecked => f.write_str("health_checked"),
            Difference::NotHealthChecked => f.write_str("not_health_checked"),
            Difference::ConnectionsClosed => f.write_str("other_connections_closed"),
            Difference::Subscription => f.write_str("other_list_subscription"),
        }
    }
}

/// Returns all differences between the actions that were carried out and those under the shadow settings.
pub(super) fn differences(made: &Actions, shadow: &Actions) -> Vec<Difference> {
    let mut found = request_differences(made, shadow);
    for _ in missing_from(&made.health_checks, &shadow.health_checks) {
        found.push(Difference::HealthChecked);
    }
    for _ in missing_from(&shadow.health_checks, &made.health_checks) {
        found.push(Difference::NotHealthChecked);
    }
    if made.close_idle != shadow.close_idle {
        found.push(Difference::ConnectionsClosed);
    }
    if made.subscribe != shadow.subscribe {
        found.push(Difference::Subscription);
    }
    found
}

/// Returns the elements of `members` that are not in `known`.
fn missing_from<'a>(known: &'a [MemberId], members: &'a [MemberId]) -> impl Iterator<Item = &'a MemberId> {
    members.iter().filter(|member| !known.contains(member))
}

/// Returns the differences in the actions for requests, at most one per request.
fn request_differences(made: &Actions, shadow: &Actions) -> Vec<Difference> {
    let made = last_actions(made);
    let shadow = last_actions(shadow);
    let only_shadow = shadow.keys().filter(|handle| !made.contains_key(handle));
    let requests = made.keys().chain(only_shadow);
    requests
        .filter_map(|handle| request_difference(made.get(handle).copied(), shadow.get(handle).copied()))
        .collect()
}

/// Returns the last action for each request.
fn last_actions(actions: &Actions) -> BTreeMap<RequestHandle, Action> {
    actions.requests.iter().copied().collect()
}

/// Returns the difference between the two actions for a request; `None` if there is none.
fn request_difference(made: Option<Action>, shadow: Option<Action>) -> Option<Difference> {
    match (made, shadow) {
        (
            Some(Action::Attempt { member, timeout, .. }),
            Some(Action::Attempt { member: shadow_member, timeout: shadow_timeout, .. }),
        ) => {
            if member != shadow_member {
                Some(Difference::Member)
            } else {
                (timeout != shadow_timeout).then_some(Difference::Timeout)
            }
        }
        (Some(Action::Reject { retry_after }), Some(Action::Reject { retry_after: shadow_retry_after })) => {
            (retry_after != shadow_retry_after).then_some(Difference::RetryAfter)
        }
        (made, shadow) => {
            let made = Disposition::from_action(made);
            let shadow = Disposition::from_action(shadow);
            (made != shadow).then_some(Difference::Disposition { made, shadow })
        }
    }
}

//! Texts for operators on what a plan waits for. They must not change, because programs of users read them
//! and other versions display them.

use crate::{RemainingWork, WaitReason};

/// Returns the text on what the next step waits for, and on a deadline that will be missed; `None` if there
/// is neither. The confirmation of the last step is left out because every step waits for it.
pub(crate) fn step_wait_text(wait_reason: Option<&WaitReason>, misses_deadline: bool) -> Option<String> {
    let wait_reason = wait_reason.filter(|reason| **reason != WaitReason::StepUnconfirmed).map(reason_text);
    let late = misses_deadline.then(|| "too late for the time named, at this pace".to_owned());
    let texts: Vec<String> = [wait_reason, late].into_iter().flatten().collect();
    Some(texts.join("; ")).filter(|text| !text.is_empty())
}

fn reason_text(reason: &WaitReason) -> String {
    match reason {
        WaitReason::StepUnconfirmed => "the last step to be confirmed".to_owned(),
        WaitReason::PoorService(site) => format!("service at {site}"),
        WaitReason::SiteNotReporting(site) => format!("site {site}, which is not heard"),
        WaitReason::TooFewReports => "more drivers to be heard".to_owned(),
        WaitReason::NoCapacity => "room elsewhere".to_owned(),
        WaitReason::Paused => "the operator's word".to_owned(),
    }
}

/// Returns the text on what the completion of the drain waits for. `None` stands for the directive by which
/// the site is emptied, which is not in force yet.
pub(crate) fn completion_wait_text(remaining: Option<RemainingWork>) -> String {
    match remaining {
        Some(RemainingWork::Proxies(names)) => {
            format!("drivers that have something there: {}", names.join(" "))
        }
        Some(RemainingWork::LostProxiesUntil(_)) => "drivers that are not heard and may act still".to_owned(),
        Some(RemainingWork::Nothing) => String::new(),
        None => "its decree to go round".to_owned(),
    }
}

//! What a plan waits for, for people. Users' programs read these texts, and other versions show them: they stay as they are.

use crate::{RemainingWork, WaitReason};

/// What the next step waits for. That the last one is to be confirmed is true of each, and not worth telling.
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

/// What the end of the drain waits for; `None` is the directive that says that the site is emptied.
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

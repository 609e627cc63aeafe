//! What a plan waits for, for people. Users' programs read these texts, and other versions show them: they stay as they are.

use crate::{Remaining, WaitReason};

/// What the next step waits for. That the last one is to be confirmed is true of each, and not worth telling.
pub(crate) fn moving_text(waits: Option<&WaitReason>, is_late: bool) -> Option<String> {
    let waits = waits.filter(|waits| **waits != WaitReason::StepUnconfirmed).map(wait_text);
    let late = is_late.then(|| "too late for the time named, at this pace".to_owned());
    let texts: Vec<String> = [waits, late].into_iter().flatten().collect();
    Some(texts.join("; ")).filter(|text| !text.is_empty())
}

fn wait_text(waits: &WaitReason) -> String {
    match waits {
        WaitReason::StepUnconfirmed => "the last step to be confirmed".to_owned(),
        WaitReason::PoorService(site) => format!("service at {site}"),
        WaitReason::SiteSilent(site) => format!("site {site}, which is not heard"),
        WaitReason::FewReports => "more drivers to be heard".to_owned(),
        WaitReason::NoCapacity => "room elsewhere".to_owned(),
        WaitReason::Paused => "the operator's word".to_owned(),
    }
}

/// What the end of the drain waits for; `None` is the directive that says that the site is emptied.
pub(crate) fn remaining_text(remaining: Option<Remaining>) -> String {
    match remaining {
        Some(Remaining::Proxies(names)) => {
            format!("drivers that have something there: {}", names.join(" "))
        }
        Some(Remaining::SilentUntil(_)) => "drivers that are not heard and may act still".to_owned(),
        Some(Remaining::Nothing) => String::new(),
        None => "its decree to go round".to_owned(),
    }
}

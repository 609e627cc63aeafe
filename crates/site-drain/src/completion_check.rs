//! Whether anything is left at a site that drains.

use std::collections::BTreeMap;

use crate::{DirectiveVersion, Micros, OpenWork};

/// What is left at a draining site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemainingWork {
    /// These proxies still have something there, or have not reported under the present plan that they have nothing.
    Proxies(Vec<String>),
    /// Proxies that are silent may still act, until then.
    LostProxiesUntil(Micros),
    /// Nothing: the site is drained.
    Nothing,
}

/// What a proxy last reported.
#[derive(Clone, Debug)]
struct LastReport {
    incarnation: u64,
    version: DirectiveVersion,
    open_work: OpenWork,
    received_at: Micros,
}

/// Gathers what proxies report of a draining site, and decides when nothing is left there.
///
/// Without it a site could be switched off while a proxy that nobody hears still sends requests there, and effects and
/// sessions would be lost. The cost: an operator may have to wait for the longest time that such a proxy can act.
#[derive(Clone, Debug, Default)]
pub struct CompletionCheck {
    reports: BTreeMap<String, LastReport>,
    /// Proxies that are silent, and until when each may act.
    lost_proxies_active_until: BTreeMap<String, Micros>,
    max_lost_proxy_activity: Micros,
}

impl CompletionCheck {
    /// `max_lost_proxy_activity` is the longest for which a proxy that is cut off may act by what it knew, in microseconds: the
    /// life of a directive, the longest timeout of a request, and all that follows it.
    pub fn new(max_lost_proxy_activity: Micros) -> CompletionCheck {
        CompletionCheck { max_lost_proxy_activity, ..CompletionCheck::default() }
    }

    /// A proxy reported what it has there, when it followed a plan of this version. Reports of an earlier incarnation or
    /// version do not count.
    pub fn record_report(
        &mut self,
        now: Micros,
        proxy: &str,
        incarnation: u64,
        version: DirectiveVersion,
        open_work: OpenWork,
    ) {
        let last_known = self.reports.get(proxy).map(|report| (report.incarnation, report.version));
        if last_known.is_none_or(|last_known| (incarnation, version) >= last_known) {
            let report = LastReport { incarnation, version, open_work, received_at: now };
            self.reports.insert(proxy.to_owned(), report);
            self.lost_proxies_active_until.remove(proxy);
        }
    }

    /// A proxy is taken for dead, or was never heard. It may act until it is past all that it could do.
    pub fn proxy_lost(&mut self, now: Micros, proxy: &str) {
        let report = self.reports.remove(proxy);
        let is_activity_over = |report: &LastReport| now - report.received_at > self.max_lost_proxy_activity;
        if report.is_some_and(|report| report.open_work.is_empty() && is_activity_over(&report)) {
            return;
        }
        self.lost_proxies_active_until.entry(proxy.to_owned()).or_insert(now + self.max_lost_proxy_activity);
    }

    /// What is left, where the plan of this version has emptied the site. Reports count for `report_lifetime`, in
    /// microseconds.
    pub fn remaining_work<'a>(
        &self,
        now: Micros,
        version: DirectiveVersion,
        alive_proxies: impl IntoIterator<Item = &'a str>,
        report_lifetime: Micros,
    ) -> RemainingWork {
        let reported_no_open_work = |report: &LastReport| {
            report.version >= version
                && report.open_work.is_empty()
                && now - report.received_at <= report_lifetime
        };
        let has_finished = |proxy: &&str| self.reports.get(*proxy).is_some_and(reported_no_open_work);
        let unfinished: Vec<String> =
            alive_proxies.into_iter().filter(|proxy| !has_finished(proxy)).map(str::to_owned).collect();
        if !unfinished.is_empty() {
            return RemainingWork::Proxies(unfinished);
        }
        match self.lost_proxies_active_until.values().max() {
            Some(&until) if now < until => RemainingWork::LostProxiesUntil(until),
            _ => RemainingWork::Nothing,
        }
    }
}

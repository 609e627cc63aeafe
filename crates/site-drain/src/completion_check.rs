//! Decision on whether a draining site has any work left.

use std::collections::BTreeMap;

use crate::{DirectiveVersion, Micros, OpenWork};

/// Work that may remain at a draining site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RemainingWork {
    /// Names of the proxies that are alive and still have work there, or have not reported under the current
    /// plan that they have none.
    Proxies(Vec<String>),
    /// Every proxy that is alive has finished, but lost proxies may still act until this instant.
    LostProxiesUntil(Micros),
    /// No work remains: the site is drained.
    Nothing,
}

/// The last report of one proxy on a draining site.
#[derive(Clone, Debug)]
struct LastReport {
    incarnation: u64,
    version: DirectiveVersion,
    open_work: OpenWork,
    received_at: Micros,
}

/// Collects the reports of all proxies on one draining site and decides when no work is left there.
///
/// Without this check a site could be switched off while an unreachable proxy still sends requests there, and
/// effects and sessions would be lost. The cost: an operator may have to wait for as long as such a proxy can
/// act.
#[derive(Clone, Debug, Default)]
pub struct CompletionCheck {
    reports: BTreeMap<String, LastReport>,
    /// For each lost proxy, the instant until which it may still act.
    lost_proxies_active_until: BTreeMap<String, Micros>,
    max_lost_proxy_activity: Micros,
}

impl CompletionCheck {
    /// Creates a check that has received no report.
    ///
    /// `max_lost_proxy_activity` is the longest time for which an isolated proxy may act on outdated
    /// knowledge, in microseconds: the lifetime of a directive, the longest timeout of a request, and
    /// everything that follows the request.
    pub fn new(max_lost_proxy_activity: Micros) -> CompletionCheck {
        CompletionCheck { max_lost_proxy_activity, ..CompletionCheck::default() }
    }

    /// Records the work that a proxy has at the site, as reported while it followed the plan of `version`.
    /// Reports of an earlier incarnation or version are ignored.
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

    /// Records that a proxy is considered dead or was never heard from. It may still act for the longest time
    /// that a lost proxy can, unless it reported no work and that time has passed since.
    pub fn proxy_lost(&mut self, now: Micros, proxy: &str) {
        let report = self.reports.remove(proxy);
        let is_activity_over = |report: &LastReport| now - report.received_at > self.max_lost_proxy_activity;
        if report.is_some_and(|report| report.open_work.is_empty() && is_activity_over(&report)) {
            return;
        }
        self.lost_proxies_active_until.entry(proxy.to_owned()).or_insert(now + self.max_lost_proxy_activity);
    }

    /// Returns what remains at the site, where `version` is that of the plan that emptied it. A report counts
    /// for `report_lifetime`, in microseconds.
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

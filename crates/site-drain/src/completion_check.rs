//! Whether anything is left at a site that drains.

use std::collections::BTreeMap;

use crate::{DirectiveVersion, Micros, OpenWork};

/// What is left at a draining site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Remaining {
    /// These proxies still have something there, or have not reported under the present plan that they have nothing.
    Proxies(Vec<String>),
    /// Proxies that are silent may still act, until then.
    SilentUntil(Micros),
    /// Nothing: the site is drained.
    Nothing,
}

/// What a proxy last reported.
#[derive(Clone, Debug)]
struct LastReport {
    incarnation: u64,
    version: DirectiveVersion,
    open: OpenWork,
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
    silent_until: BTreeMap<String, Micros>,
    longest_action: Micros,
}

impl CompletionCheck {
    /// `longest_action` is the longest for which a proxy that is cut off may act by what it knew, in microseconds: the
    /// life of a directive, the longest timeout of a request, and all that follows it.
    pub fn new(longest_action: Micros) -> CompletionCheck {
        CompletionCheck { longest_action, ..CompletionCheck::default() }
    }

    /// A proxy reported what it has there, when it followed a plan of this version. Reports of an earlier incarnation or
    /// version do not count.
    pub fn record_report(
        &mut self,
        now: Micros,
        proxy: &str,
        incarnation: u64,
        version: DirectiveVersion,
        open: OpenWork,
    ) {
        let known = self.reports.get(proxy).map(|report| (report.incarnation, report.version));
        if known.is_none_or(|known| (incarnation, version) >= known) {
            let report = LastReport { incarnation, version, open, received_at: now };
            self.reports.insert(proxy.to_owned(), report);
            self.silent_until.remove(proxy);
        }
    }

    /// A proxy is taken for dead, or was never heard. It may act until it is past all that it could do.
    pub fn proxy_lost(&mut self, now: Micros, proxy: &str) {
        let report = self.reports.remove(proxy);
        let is_past = |report: &LastReport| now - report.received_at > self.longest_action;
        if report.is_some_and(|report| report.open.is_nothing() && is_past(&report)) {
            return;
        }
        self.silent_until.entry(proxy.to_owned()).or_insert(now + self.longest_action);
    }

    /// What is left, where the plan of this version has emptied the site. Reports count for `report_lifetime`, in
    /// microseconds.
    pub fn remaining<'a>(
        &self,
        now: Micros,
        version: DirectiveVersion,
        alive: impl IntoIterator<Item = &'a str>,
        report_lifetime: Micros,
    ) -> Remaining {
        let has_nothing = |report: &LastReport| {
            report.version >= version
                && report.open.is_nothing()
                && now - report.received_at <= report_lifetime
        };
        let is_done = |proxy: &&str| self.reports.get(*proxy).is_some_and(has_nothing);
        let open: Vec<String> =
            alive.into_iter().filter(|proxy| !is_done(proxy)).map(str::to_owned).collect();
        if !open.is_empty() {
            return Remaining::Proxies(open);
        }
        match self.silent_until.values().max() {
            Some(&until) if now < until => Remaining::SilentUntil(until),
            _ => Remaining::Nothing,
        }
    }
}

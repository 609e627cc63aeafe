//! The directives that a process knows of.

use std::collections::BTreeMap;

use crate::frame::MAX_BODY_BYTES;
use crate::{DigestEntry, Directive, Micros, Term, Topic, Version};

/// Topics of all leases together. With [`MAX_BODY_BYTES`] it bounds what a process keeps to under 100 KB.
const MAX_TOPICS: usize = 96;
/// Topics whose last version is remembered after the directive has expired.
const MAX_REMEMBERED_VERSIONS: usize = 4 * MAX_TOPICS;
/// No directive is in force for longer, whatever it says.
const MAX_LIFETIME: Micros = 60_000_000;
/// A directive that expires within this time is not worth sending.
const MIN_REMAINING_TO_SEND: Micros = 100_000;

/// What became of a directive that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// It is in force, and new: forward it.
    New,
    /// This version is known, or a higher one.
    AlreadyKnown,
    /// A lease holder under a higher term is known.
    Superseded,
    /// Its lifetime was over when it arrived.
    Expired,
    /// Its body is too long, or there are too many topics.
    NoCapacity,
}

/// Who holds a lease, as far as a process knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownHolder<'a> {
    /// The lease holder's name.
    pub name: &'a str,
    /// The term under which it holds the lease.
    pub term: Term,
}

/// A directive as it is stored: its topic is the key.
#[derive(Clone, Debug)]
struct StoredDirective {
    version: Version,
    issuer: String,
    expires_at: Micros,
    body: Vec<u8>,
}

/// The directives that a process knows of, the highest version of each topic.
#[derive(Clone, Debug, Default)]
pub struct DirectiveStore {
    directives: BTreeMap<Topic, StoredDirective>,
    /// The highest term that was heard of for each lease: nothing lower is accepted.
    highest_terms: BTreeMap<String, Term>,
    /// The highest version that was ever accepted of each topic, also by an earlier start: nothing lower is accepted.
    highest_versions: BTreeMap<Topic, Version>,
}

impl DirectiveStore {
    /// A store that begins with the versions that an earlier start accepted.
    #[must_use]
    pub fn restored(accepted: impl IntoIterator<Item = (Topic, Version)>) -> DirectiveStore {
        let mut store = DirectiveStore::default();
        store.restore(accepted);
        store
    }

    /// The versions that an earlier start accepted, where they could be read only now: nothing lower is accepted from
    /// here on.
    pub fn restore(&mut self, accepted: impl IntoIterator<Item = (Topic, Version)>) {
        for (topic, version) in accepted {
            let highest_term = self.highest_terms.entry(topic.lease.clone()).or_default();
            *highest_term = version.term.max(*highest_term);
            let highest_version = self.highest_versions.entry(topic).or_insert(version);
            *highest_version = version.max(*highest_version);
        }
    }

    /// Issues a directive of this process, which holds the lease under `term`.
    ///
    /// `None` if there is no capacity, or if a higher term is known: then it no longer holds the lease.
    pub fn issue(
        &mut self,
        now: Micros,
        topic: Topic,
        term: Term,
        issuer: &str,
        lifetime: Micros,
        body: Vec<u8>,
    ) -> Option<Directive> {
        let highest = self.highest_version(&topic).unwrap_or_default();
        let number = if highest.term == term { highest.number + 1 } else { 1 };
        let version = Version { term, number };
        let directive = Directive { topic, version, issuer: issuer.to_owned(), remaining: lifetime, body };
        (self.receive(now, 0, directive.clone()) == ReceiveOutcome::New).then_some(directive)
    }

    /// Takes a directive; `age` is how long it may have waited here unread.
    ///
    /// Guards against what a superseded or stalled lease holder says, and against directives that arrive late, twice or
    /// out of order. Costs nothing: what is refused is renewed as long as it holds.
    pub fn receive(&mut self, now: Micros, age: Micros, directive: Directive) -> ReceiveOutcome {
        let Directive { topic, version, issuer, remaining, body } = directive;
        let highest_term = self.highest_term(&topic.lease);
        if version.term < highest_term {
            return ReceiveOutcome::Superseded;
        }
        if self.highest_version(&topic).is_some_and(|known| known >= version) {
            return ReceiveOutcome::AlreadyKnown;
        }
        let remaining = remaining.min(MAX_LIFETIME) - age;
        if remaining <= 0 {
            return ReceiveOutcome::Expired;
        }
        self.expire(now);
        if body.len() > MAX_BODY_BYTES || !self.has_capacity_for(&topic) {
            return ReceiveOutcome::NoCapacity;
        }
        if version.term > highest_term {
            self.highest_terms.insert(topic.lease.clone(), version.term);
        }
        self.highest_versions.insert(topic.clone(), version);
        self.directives.insert(topic, StoredDirective { version, issuer, expires_at: now + remaining, body });
        ReceiveOutcome::New
    }

    fn has_capacity_for(&self, topic: &Topic) -> bool {
        self.directives.len() < MAX_TOPICS || self.directives.contains_key(topic)
    }

    /// The highest term that was heard of for a lease, 0 if none was.
    #[must_use]
    pub fn highest_term(&self, lease: &str) -> Term {
        self.highest_terms.get(lease).copied().unwrap_or(0)
    }

    /// The highest version that was ever accepted of this topic.
    #[must_use]
    pub fn highest_version(&self, topic: &Topic) -> Option<Version> {
        let stored = self.directives.get(topic).map(|stored| stored.version);
        stored.max(self.highest_versions.get(topic).copied())
    }

    /// Drops the directives that have expired.
    pub fn expire(&mut self, now: Micros) {
        self.directives.retain(|_, stored| now < stored.expires_at);
        if self.highest_versions.len() > MAX_REMEMBERED_VERSIONS {
            // Topics that are no longer decided on; the terms of their leases stay.
            let directives = &self.directives;
            self.highest_versions.retain(|topic, _| directives.contains_key(topic));
        }
    }

    /// The body of the directive in force on this topic.
    #[must_use]
    pub fn in_force(&self, now: Micros, topic: &Topic) -> Option<&[u8]> {
        let stored = self.directives.get(topic).filter(|stored| now < stored.expires_at);
        stored.map(|stored| &stored.body[..])
    }

    fn stored_in_force(&self, now: Micros) -> impl Iterator<Item = (&Topic, &StoredDirective)> {
        self.directives.iter().filter(move |(_, stored)| now < stored.expires_at)
    }

    /// The subjects and bodies of all directives in force under a lease, without the one that only names its holder.
    pub fn in_force_under<'a>(
        &'a self,
        now: Micros,
        lease: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let is_decision =
            move |(topic, _): &(&Topic, &StoredDirective)| topic.lease == lease && !topic.subject.is_empty();
        self.stored_in_force(now)
            .filter(is_decision)
            .map(|(topic, stored)| (topic.subject.as_str(), &stored.body[..]))
    }

    /// Who holds a lease: whoever issued what is in force under its highest term.
    #[must_use]
    pub fn holder(&self, now: Micros, lease: &str) -> Option<KnownHolder<'_>> {
        let under_lease = self.stored_in_force(now).filter(|(topic, _)| topic.lease == lease);
        let (_, newest) = under_lease.max_by_key(|(_, stored)| stored.version.term)?;
        Some(KnownHolder { name: &newest.issuer, term: newest.version.term })
    }

    /// All directives in force.
    pub fn all_in_force(&self, now: Micros) -> impl Iterator<Item = Directive> {
        self.stored_in_force(now).map(move |(topic, stored)| Directive {
            topic: topic.clone(),
            version: stored.version,
            issuer: stored.issuer.clone(),
            remaining: stored.expires_at - now,
            body: stored.body.clone(),
        })
    }

    /// The versions of all directives in force.
    #[must_use]
    pub fn digest(&self, now: Micros) -> Vec<DigestEntry> {
        let entry = |(topic, stored): (&Topic, &StoredDirective)| DigestEntry {
            topic: topic.clone(),
            version: stored.version,
        };
        self.stored_in_force(now).map(entry).collect()
    }

    /// The directives that the sender of this digest lacks.
    #[must_use]
    pub fn missing_from(&self, now: Micros, digest: &[DigestEntry]) -> Vec<Directive> {
        let sender_versions: BTreeMap<&Topic, Version> =
            digest.iter().map(|entry| (&entry.topic, entry.version)).collect();
        let is_newer = |directive: &Directive| {
            sender_versions.get(&directive.topic).is_none_or(|&version| version < directive.version)
        };
        let is_worth_sending = |directive: &Directive| directive.remaining > MIN_REMAINING_TO_SEND;
        self.all_in_force(now)
            .filter(|directive| is_newer(directive) && is_worth_sending(directive))
            .collect()
    }

    /// Whether the sender of this digest knows of a version that this store would accept.
    #[must_use]
    pub fn is_behind(&self, digest: &[DigestEntry]) -> bool {
        digest.iter().any(|entry| {
            let is_newer = self.highest_version(&entry.topic).is_none_or(|version| version < entry.version);
            let is_superseded = entry.version.term < self.highest_term(&entry.topic.lease);
            is_newer && !is_superseded
        })
    }
}

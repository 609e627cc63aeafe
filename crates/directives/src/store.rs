//! The store of directives that a proxy has accepted.

use std::collections::BTreeMap;

use crate::frame::MAX_BODY_BYTES;
use crate::{DigestEntry, Directive, Micros, Term, Topic, Version};

/// Maximum number of topics with a directive, over all leases together. With [`MAX_BODY_BYTES`] it keeps what a
/// proxy stores below 100 KB.
const MAX_TOPICS: usize = 96;
/// Number of topics whose highest version is remembered, also after the directive has expired. Above it, the versions
/// of topics without a directive are dropped.
const MAX_REMEMBERED_VERSIONS: usize = 4 * MAX_TOPICS;
/// Maximum time that a directive stays in force, whatever lifetime it states.
const MAX_LIFETIME: Micros = 60_000_000;
/// Directives with no more than this remaining lifetime are not worth sending.
const MIN_REMAINING_TO_SEND: Micros = 100_000;

/// Whether a received directive was accepted, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The directive is new and now in force; it is to be forwarded.
    New,
    /// The same or a higher version on the topic is known.
    AlreadyKnown,
    /// A higher term of the lease is known.
    Superseded,
    /// The lifetime of the directive had ended before it was read.
    Expired,
    /// The body is too long, or the store has too many topics.
    NoCapacity,
}

/// The holder of a lease, as far as a proxy knows from directives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownHolder<'a> {
    /// Name of the lease holder.
    pub name: &'a str,
    /// Term under which the holder has the lease.
    pub term: Term,
}

/// A directive as the store keeps it, keyed by its topic.
#[derive(Clone, Debug)]
struct StoredDirective {
    version: Version,
    issuer: String,
    expires_at: Micros,
    body: Vec<u8>,
}

/// The directives that a proxy knows of: the highest version of each topic.
#[derive(Clone, Debug, Default)]
pub struct DirectiveStore {
    directives: BTreeMap<Topic, StoredDirective>,
    /// Highest known term of each lease; directives with a lower one are rejected.
    highest_terms: BTreeMap<String, Term>,
    /// Highest version accepted on each topic, also by an earlier incarnation; this version and lower ones are
    /// rejected.
    highest_versions: BTreeMap<Topic, Version>,
}

impl DirectiveStore {
    /// Creates a store that starts from the versions that an earlier incarnation accepted.
    #[must_use]
    pub fn restored(accepted: impl IntoIterator<Item = (Topic, Version)>) -> DirectiveStore {
        let mut store = DirectiveStore::default();
        store.restore(accepted);
        store
    }

    /// Takes over the versions that an earlier incarnation accepted, for a caller that can read them only after the
    /// store was created. From then on, these and lower versions are rejected.
    pub fn restore(&mut self, accepted: impl IntoIterator<Item = (Topic, Version)>) {
        for (topic, version) in accepted {
            let highest_term = self.highest_terms.entry(topic.lease.clone()).or_default();
            *highest_term = version.term.max(*highest_term);
            let highest_version = self.highest_versions.entry(topic).or_insert(version);
            *highest_version = version.max(*highest_version);
        }
    }

    /// Issues a directive of this proxy, which holds the lease under `term`. `lifetime` is in microseconds.
    ///
    /// Returns `None` if the store has no capacity for it, or if a higher term is known and this proxy thus no longer
    /// holds the lease.
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

    /// Accepts or rejects a directive. `age` is how long it may have waited unread, in microseconds.
    ///
    /// Rejects directives of superseded or stalled lease holders, and those that arrive late, twice or out of order.
    /// A rejection loses nothing, as a directive is renewed for as long as it applies.
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

    /// Returns the highest known term of a lease, or 0 if none is known.
    #[must_use]
    pub fn highest_term(&self, lease: &str) -> Term {
        self.highest_terms.get(lease).copied().unwrap_or(0)
    }

    /// Returns the highest version ever accepted on a topic, in force or not, or `None` if none is remembered.
    #[must_use]
    pub fn highest_version(&self, topic: &Topic) -> Option<Version> {
        let stored = self.directives.get(topic).map(|stored| stored.version);
        stored.max(self.highest_versions.get(topic).copied())
    }

    /// Drops expired directives, and also the versions of topics without a directive if too many are remembered.
    pub fn expire(&mut self, now: Micros) {
        self.directives.retain(|_, stored| now < stored.expires_at);
        if self.highest_versions.len() > MAX_REMEMBERED_VERSIONS {
            // Topics without a directive are no longer decided on. The highest terms of their leases are kept.
            let directives = &self.directives;
            self.highest_versions.retain(|topic, _| directives.contains_key(topic));
        }
    }

    /// Returns the body of the directive in force on a topic, or `None` if there is none.
    #[must_use]
    pub fn in_force(&self, now: Micros, topic: &Topic) -> Option<&[u8]> {
        let stored = self.directives.get(topic).filter(|stored| now < stored.expires_at);
        stored.map(|stored| &stored.body[..])
    }

    /// Returns the stored directives that have not expired.
    fn stored_in_force(&self, now: Micros) -> impl Iterator<Item = (&Topic, &StoredDirective)> {
        self.directives.iter().filter(move |(_, stored)| now < stored.expires_at)
    }

    /// Returns subject and body of the directives in force under a lease, except the one that only names its holder.
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

    /// Returns the holder of a lease: the issuer of the directive in force with the highest term. Returns `None` if
    /// no directive under the lease is in force.
    #[must_use]
    pub fn holder(&self, now: Micros, lease: &str) -> Option<KnownHolder<'_>> {
        let under_lease = self.stored_in_force(now).filter(|(topic, _)| topic.lease == lease);
        let (_, newest) = under_lease.max_by_key(|(_, stored)| stored.version.term)?;
        Some(KnownHolder { name: &newest.issuer, term: newest.version.term })
    }

    /// Returns all directives in force, with the lifetime that remains at `now`.
    pub fn all_in_force(&self, now: Micros) -> impl Iterator<Item = Directive> {
        self.stored_in_force(now).map(move |(topic, stored)| Directive {
            topic: topic.clone(),
            version: stored.version,
            issuer: stored.issuer.clone(),
            remaining: stored.expires_at - now,
            body: stored.body.clone(),
        })
    }

    /// Returns the versions of all directives in force, to be sent to another proxy.
    #[must_use]
    pub fn digest(&self, now: Micros) -> Vec<DigestEntry> {
        let entry = |(topic, stored): (&Topic, &StoredDirective)| DigestEntry {
            topic: topic.clone(),
            version: stored.version,
        };
        self.stored_in_force(now).map(entry).collect()
    }

    /// Returns the directives in force that the sender of `digest` lacks or knows only in a lower version, without
    /// those that are about to expire.
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

    /// Returns whether the sender of `digest` knows a version that this store would accept.
    #[must_use]
    pub fn is_behind(&self, digest: &[DigestEntry]) -> bool {
        digest.iter().any(|entry| {
            let is_newer = self.highest_version(&entry.topic).is_none_or(|version| version < entry.version);
            let is_superseded = entry.version.term < self.highest_term(&entry.topic.lease);
            is_newer && !is_superseded
        })
    }
}

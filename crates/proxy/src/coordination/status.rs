//! The state of coordination as JSON for the status socket. Operators' programs read the keys, so they never change.

use std::collections::BTreeSet;

use aldermill_directives::{DIRECTIVE_LIFETIME, Directive, Micros};
use serde_json::{Value, json};

use super::Coordination;

impl Coordination {
    /// Returns the state of coordination at this proxy for the status socket.
    pub fn status_json(&self, now: Micros) -> Value {
        let leases = self.leases.iter().map(|lease| self.lease_json(now, lease));
        json!({"votes": self.participant.is_voter(),
            "zones": self.controllers.zone_failover_json(),
            "retire": self.controllers.site_drain_json(),
            "aside": self.controllers.excluded_reporters(),
            "duties": leases.collect::<Vec<_>>(),
            "decrees": self.directives.all_in_force(now).map(directive_json).collect::<Vec<_>>()})
    }

    fn lease_json(&self, now: Micros, lease: &str) -> Value {
        let holder = self.directives.holder(now, lease);
        let reports = self.reports.recent(now, DIRECTIVE_LIFETIME, lease);
        let reporting: BTreeSet<&str> = reports.map(|report| report.reporter).collect();
        json!({"name": lease, "held_by": holder.map(|holder| holder.name),
            "term": holder.map(|holder| holder.term), "holds": self.participant.may_act(now, lease),
            "reporting": reporting.len()})
    }
}

fn directive_json(directive: Directive) -> Value {
    json!({"duty": directive.topic.lease, "subject": directive.topic.subject,
        "term": directive.version.term, "number": directive.version.number, "by": directive.issuer,
        "left_ms": directive.remaining / 1000, "says": String::from_utf8_lossy(&directive.body)})
}

//! What coordination shows at the status socket. The keys are read by operators' programs and stay as they are.

use std::collections::BTreeSet;

use aldermill_directives::{DIRECTIVE_LIFETIME, Directive, Micros};
use serde_json::{Value, json};

use super::Coordination;

impl Coordination {
    /// What is known here, for the status socket.
    pub fn describe(&self, now: Micros) -> Value {
        let leases = self.leases.iter().map(|lease| self.describe_lease(now, lease));
        json!({"votes": self.participant.is_voter(),
            "zones": self.work.describe_zone_failover(),
            "retire": self.work.describe_site_drain(),
            "aside": self.work.set_aside(),
            "duties": leases.collect::<Vec<_>>(),
            "decrees": self.directives.all_in_force(now).map(describe_directive).collect::<Vec<_>>()})
    }

    fn describe_lease(&self, now: Micros, lease: &str) -> Value {
        let holder = self.directives.holder(now, lease);
        let reports = self.reports.recent(now, DIRECTIVE_LIFETIME, lease);
        let reporting: BTreeSet<&str> = reports.map(|report| report.reporter).collect();
        json!({"name": lease, "held_by": holder.map(|holder| holder.name),
            "term": holder.map(|holder| holder.term), "holds": self.participant.may_act(now, lease),
            "reporting": reporting.len()})
    }
}

fn describe_directive(directive: Directive) -> Value {
    json!({"duty": directive.topic.lease, "subject": directive.topic.subject,
        "term": directive.version.term, "number": directive.version.number, "by": directive.issuer,
        "left_ms": directive.remaining / 1000, "says": String::from_utf8_lossy(&directive.body)})
}

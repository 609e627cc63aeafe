//! The fields that cannot change while the process runs: a reload compares them and only warns.

use aldermill_operator_config::{CoordinationConfig, Operator};
use serde::Serialize;
use serde_json::Value;

/// A field that is read at the start only.
#[derive(Clone, Debug, PartialEq)]
pub struct ImmutableField {
    /// Its key in the configuration or the operator's file.
    pub name: &'static str,
    /// What the file says.
    pub value: Value,
}

/// All such fields of one reading, in a fixed order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImmutableFields(Vec<ImmutableField>);

impl ImmutableFields {
    /// These fields of the configuration, followed by those of the operator's file.
    pub fn new(configuration: Vec<ImmutableField>, operator: &Operator) -> ImmutableFields {
        let coordination = operator.coordination.as_ref().map(immutable_coordination);
        let mut fields = configuration;
        fields.extend([
            ImmutableField::new("gateway", &operator.gateway),
            ImmutableField::new("slow_peers.buffer_kib", &operator.slow_peers.buffer_kib),
            ImmutableField::new("warm_start", &operator.warm_start),
            ImmutableField::new("suspension", &operator.suspension),
            ImmutableField::new("membership", &operator.membership),
            ImmutableField::new("coordination", &coordination),
        ]);
        ImmutableFields(fields)
    }

    /// The names of the fields that differ from those of an earlier reading.
    pub fn changed_since<'a>(
        &'a self,
        earlier: &'a ImmutableFields,
    ) -> impl Iterator<Item = &'static str> + 'a {
        let pairs = self.0.iter().zip(&earlier.0);
        pairs.filter(|(new, old)| new != old).map(|(new, _)| new.name)
    }
}

impl ImmutableField {
    /// The field with its value as JSON.
    pub fn new(name: &'static str, value: &impl Serialize) -> ImmutableField {
        ImmutableField { name, value: serde_json::to_value(value).unwrap_or_default() }
    }
}

/// The coordination's part that cannot change: a reload takes in cuts and sites that drain.
fn immutable_coordination(coordination: &CoordinationConfig) -> CoordinationConfig {
    CoordinationConfig { cuts: Default::default(), site_drain: Vec::new(), ..coordination.clone() }
}

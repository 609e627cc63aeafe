//! Configuration fields that cannot change while the process runs. A reload compares them and only logs a warning for
//! each that differs.

use aldermill_operator_config::{CoordinationConfig, Operator};
use serde::Serialize;
use serde_json::Value;

/// A field that is read only at startup.
#[derive(Clone, Debug, PartialEq)]
pub struct ImmutableField {
    /// Key of the field in the configuration or the operator's file.
    pub name: &'static str,
    /// Value of the field in the file; null for an optional field that is absent.
    pub value: Value,
}

/// All immutable fields as read at one time, in a fixed order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ImmutableFields(Vec<ImmutableField>);

impl ImmutableFields {
    /// Combines these fields of the configuration with the immutable fields of the operator's file.
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

    /// Returns the names of the fields whose values differ from those of an earlier reading.
    pub fn changed_since<'a>(
        &'a self,
        earlier: &'a ImmutableFields,
    ) -> impl Iterator<Item = &'static str> + 'a {
        let pairs = self.0.iter().zip(&earlier.0);
        pairs.filter(|(new, old)| new != old).map(|(new, _)| new.name)
    }
}

impl ImmutableField {
    /// Creates a field with its value converted to JSON.
    pub fn new(name: &'static str, value: &impl Serialize) -> ImmutableField {
        ImmutableField { name, value: serde_json::to_value(value).unwrap_or_default() }
    }
}

/// Returns the part of the coordination section that cannot change. A reload applies changes to `cuts` and
/// `site_drain`, which are left out.
fn immutable_coordination(coordination: &CoordinationConfig) -> CoordinationConfig {
    CoordinationConfig { cuts: Default::default(), site_drain: Vec::new(), ..coordination.clone() }
}

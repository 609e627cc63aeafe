//! The operator's own file: what one installation wants otherwise than the program's defaults, in JSON.
//!
//! Every field may be left out. Unknown fields and wrong values are named by their path. The schema is made from
//! the types below.

mod slow_peers;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use slow_peers::{Connections, Level, Rate, SlowPeers};

/// The operator's own file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where the schema of this file is; for editors, not read.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// What may wait for clients and members that move slowly, and when they are cut off.
    #[serde(default)]
    pub slow_peers: SlowPeers,
}

impl Operator {
    /// Reads the text of such a file; what is wrong is said with the field's path.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            format!("{path}: {}", error.into_inner())
        })?;
        reader.end().map_err(|error| error.to_string())?;
        Ok(read)
    }

    /// The schema of such a file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}

#[cfg(test)]
mod tests {
    use super::Operator;

    #[test]
    fn what_is_wrong_is_named_by_its_path() {
        let said = |text: &str| Operator::parse(text).unwrap_err();
        assert!(
            said(r#"{"slow_peers":{"reading":{"bytes_a_second":-1}}}"#)
                .starts_with("slow_peers.reading.bytes_a_second: ")
        );
        assert!(said(r#"{"slow_peers":{"raeding":{}}}"#).contains("raeding"));
        assert!(said(r#"{"slow_peers":{"room_kib":"much"}}"#).starts_with("slow_peers.room_kib: "));
        assert!(said(r#"{"slow_peers":{"short":{"enter":"0.5"}}}"#).starts_with("slow_peers.short"));
        assert!(said("{} {}").contains("trailing"));
        assert_eq!(Operator::parse("{}"), Ok(Operator::default()));
    }

    #[test]
    fn the_schema_knows_every_field_that_is_written() {
        let schema = Operator::schema();
        let text = serde_json::to_string(&Operator::default()).unwrap();
        assert!(Operator::parse(&text).is_ok());
        for field in ["slow_peers", "room_kib", "bytes_a_second", "per_address", "overdue_ms"] {
            assert!(schema.contains(&format!("\"{field}\"")), "{field}");
        }
    }
}

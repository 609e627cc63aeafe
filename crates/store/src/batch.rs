//! What a caller asks to be written.

use crate::Micros;
use crate::format::{Change, NEVER_EXPIRES};

/// Changes that take effect together: after a crash all of them are there, or none.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// In the order in which they take effect.
    pub(crate) changes: Vec<Change>,
}

impl Batch {
    /// Sets a key of a namespace; from `expires_at` on, by the caller's clock, it is not there any more.
    pub fn put(&mut self, namespace: u32, key: &[u8], value: &[u8], expires_at: Option<Micros>) {
        self.changes.push(Change {
            namespace,
            key: key.to_vec(),
            value: Some(value.to_vec()),
            expires_at: expires_at.unwrap_or(NEVER_EXPIRES),
        });
    }

    /// Removes a key of a namespace, if it is there.
    pub fn remove(&mut self, namespace: u32, key: &[u8]) {
        self.changes.push(Change { namespace, key: key.to_vec(), value: None, expires_at: NEVER_EXPIRES });
    }

    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

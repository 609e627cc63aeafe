//! Where a JSON value ends that may stand on several lines.

use crate::Malformed;

/// Gathers lines until the value that they make is whole.
#[derive(Debug, Default)]
pub struct Whole {
    text: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Whole {
    /// A value has begun and is not whole.
    pub fn is_open(&self) -> bool {
        !self.text.is_empty()
    }

    /// Adds a line, of which `max` bytes may be open at most; the value's text once it is whole. A line that is no
    /// object and no list is handed on as it is.
    pub fn add(&mut self, line: &[u8], max: usize) -> Result<Option<Vec<u8>>, Malformed> {
        for &byte in line {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.text.extend_from_slice(line);
        if self.text.len() > max {
            return Err(Malformed("value too long"));
        }
        let whole = self.depth == 0 && !self.in_string;
        Ok(whole.then(|| std::mem::take(&mut self.text)))
    }
}

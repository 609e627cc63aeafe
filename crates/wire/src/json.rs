//! Where a JSON value ends that may stand on several lines.

use crate::Malformed;

/// Gathers lines until the JSON value that they make is whole. It counts brackets outside of strings; whether the value is
/// valid JSON is left to its reader.
#[derive(Debug, Default)]
pub struct ValueAssembler {
    text: Vec<u8>,
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl ValueAssembler {
    /// A value has begun and is not whole.
    pub fn is_open(&self) -> bool {
        !self.text.is_empty()
    }

    /// Adds a line, and returns the value's text once it is whole. A line that is neither an object nor a list is returned
    /// as it is. `max` is the greatest length of a value, in bytes.
    ///
    /// # Errors
    ///
    /// [`Malformed::ValueTooLong`].
    pub fn add_line(&mut self, line: &[u8], max: usize) -> Result<Option<Vec<u8>>, Malformed> {
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
            return Err(Malformed::ValueTooLong);
        }
        let is_whole = self.depth == 0 && !self.in_string;
        Ok(is_whole.then(|| std::mem::take(&mut self.text)))
    }
}

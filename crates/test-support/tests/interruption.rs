//! Tests of reads that a signal interrupts.

use std::io::{Error, ErrorKind, Read, Result};

use aldermill_test_support::read_some;

/// A source whose reads have these results, the last one first.
struct Source(Vec<Result<usize>>);

impl Read for Source {
    fn read(&mut self, _: &mut [u8]) -> Result<usize> {
        self.0.pop().unwrap()
    }
}

/// Guards against a client that takes an interrupted read for the end of its connection.
#[test]
fn an_interrupted_read_is_repeated_and_any_other_result_is_returned() {
    let failed = |kind| Err(Error::from(kind));
    let mut source =
        Source(vec![failed(ErrorKind::WouldBlock), Ok(0), Ok(3), failed(ErrorKind::Interrupted)]);
    assert_eq!(read_some(&mut source, &mut [0; 8]).unwrap(), 3);
    assert_eq!(read_some(&mut source, &mut [0; 8]).unwrap(), 0);
    assert_eq!(read_some(&mut source, &mut [0; 8]).unwrap_err().kind(), ErrorKind::WouldBlock);
}

//! The received bytes of one connection.

/// What stays allocated while nothing is held, and the least by which the buffer grows, in bytes.
const BASE_CAPACITY: usize = 4096;
/// The least free space for a read, in bytes; with less the buffer grows first.
const MIN_FREE: usize = BASE_CAPACITY / 4;

/// The received bytes of one connection that have not been consumed. It grows as messages need, moves what is left to its
/// front, and gives back what a large message took once that is consumed.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    /// How many bytes of `data` have been consumed.
    start: usize,
    /// The length of the message at the front, if memory was reserved for it; else 0.
    expected: usize,
}

impl Buffer {
    /// The bytes that have not been consumed.
    pub fn held(&self) -> &[u8] {
        &self.data[self.start..]
    }

    /// Whether all bytes have been consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.data.len()
    }

    /// Where a read is to append its bytes, with free space for at least a few.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        self.compact();
        if self.data.capacity() - self.data.len() < self.wanted() {
            // It grows by half, not to twice its size: a statement of the greatest size must not take twice its memory.
            self.data.reserve_exact((self.data.len() / 2).max(BASE_CAPACITY));
        }
        &mut self.data
    }

    /// Consumes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.data.len());
        self.expected = 0;
        if self.is_empty() {
            self.data.clear();
            self.start = 0;
            self.data.shrink_to(BASE_CAPACITY);
        }
    }

    /// Removes all but the first `count` bytes that are held.
    pub fn truncate(&mut self, count: usize) {
        self.data.truncate(self.start + count);
    }

    /// Gives back memory that what is held does not need.
    pub fn shrink(&mut self) {
        self.compact();
        self.data.shrink_to(BASE_CAPACITY);
    }

    /// Reserves exactly the memory for a message of `length` bytes, of which the first may be held already.
    pub fn expect(&mut self, length: usize) {
        self.compact();
        self.data.reserve_exact(length.saturating_sub(self.data.len()));
        self.expected = length;
    }

    /// Takes the first `count` bytes. They are not copied: the buffer's allocation is handed out, and the rest is copied.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        self.compact();
        self.expected = 0;
        let rest = self.data.split_off(count.min(self.data.len()));
        std::mem::replace(&mut self.data, rest)
    }

    /// How much free space a read needs. The last read of a message that memory was reserved for needs no more than that
    /// has: otherwise the buffer would grow when nearly all has come.
    fn wanted(&self) -> usize {
        match self.expected.saturating_sub(self.data.len()) {
            0 => MIN_FREE,
            missing => missing.min(MIN_FREE),
        }
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.data.copy_within(self.start.., 0);
            self.data.truncate(self.data.len() - self.start);
            self.start = 0;
        }
    }
}

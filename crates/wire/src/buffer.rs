/// What is kept allocated while nothing is held.
const SMALL: usize = 4096;

/// The received bytes of one connection that are not yet dealt with. It grows as messages need, moves what is
/// left to its front, and gives back what a large message took once that is over.
#[derive(Debug, Default)]
pub struct Buffer {
    data: Vec<u8>,
    start: usize,
}

impl Buffer {
    pub fn held(&self) -> &[u8] {
        &self.data[self.start..]
    }

    pub fn is_empty(&self) -> bool {
        self.start == self.data.len()
    }

    /// Where the next bytes are to be appended, with room for at least a few.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        self.compact();
        if self.data.capacity() - self.data.len() < SMALL / 4 {
            // By half: a statement of full size is not to take twice its room.
            self.data.reserve_exact((self.data.len() / 2).max(SMALL));
        }
        &mut self.data
    }

    /// The first `count` bytes are dealt with.
    pub fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.data.len());
        if self.is_empty() {
            self.data.clear();
            self.start = 0;
            self.data.shrink_to(SMALL);
        }
    }

    /// A message of so many bytes is under way: room for exactly that, however it comes in.
    pub fn expect(&mut self, length: usize) {
        self.compact();
        self.data.reserve_exact(length.saturating_sub(self.data.len()));
    }

    /// The first `count` bytes, handed out without another copy of them where they are most of what is held.
    pub fn take(&mut self, count: usize) -> Vec<u8> {
        self.compact();
        let rest = self.data.split_off(count.min(self.data.len()));
        std::mem::replace(&mut self.data, rest)
    }

    fn compact(&mut self) {
        if self.start > 0 {
            self.data.copy_within(self.start.., 0);
            self.data.truncate(self.data.len() - self.start);
            self.start = 0;
        }
    }
}

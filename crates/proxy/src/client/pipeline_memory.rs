//! Memory of the small statements and responses of all client connections.
//!
//! The connection limits leave memory for one small statement in progress and its response on each connection. A client
//! that pipelines has more, which share a budget.

use std::cell::Cell;
use std::rc::Rc;

use slog::{Logger, info, warn};

/// Memory that the small statements in progress and their responses take.
pub struct PipelineMemory {
    used: Cell<usize>,
    limit: usize,
    /// What a response is taken to need before its size is known, in bytes.
    response: usize,
    /// Whether statements had to wait, which is logged, and more than half of the budget has been in use since.
    exhausted: Cell<bool>,
    log: Logger,
}

impl PipelineMemory {
    /// Creates the budget of a process. `limit` is in bytes; so is `response`, the longest response that needs no
    /// reservation.
    pub fn new(limit: usize, response: usize, log: Logger) -> Rc<PipelineMemory> {
        Rc::new(PipelineMemory { used: Cell::new(0), limit, response, exhausted: Cell::new(false), log })
    }

    /// Returns whether a connection may have another statement of up to `statement` bytes in progress in addition to
    /// its first one.
    pub(super) fn has_room(&self, statement: usize) -> bool {
        let used = self.used.get();
        let has_room = used + statement + self.response <= self.limit;
        if !has_room && !self.exhausted.replace(true) {
            warn!(self.log, "memory for pipelined statements used up, each client has one in progress";
                "used_kib" => used / 1024);
        }
        has_room
    }

    /// Gives back the bytes of a charge.
    fn release(&self, bytes: usize) {
        let used = self.used.get() - bytes;
        self.used.set(used);
        if used < self.limit / 2 && self.exhausted.replace(false) {
            info!(self.log, "less than half of the memory for pipelined statements in use again";
                "used_kib" => used / 1024);
        }
    }

    /// Charges a statement of so many bytes and its response. This never fails, as the first statement of a connection
    /// is always accepted.
    pub(super) fn charge(self: &Rc<PipelineMemory>, statement: usize) -> Rc<PipelineCharge> {
        let bytes = statement + self.response;
        self.used.set(self.used.get() + bytes);
        Rc::new(PipelineCharge { memory: self.clone(), bytes })
    }
}

/// Memory of one statement and its response. Held by whoever holds one of the two, and given back when all have dropped
/// it.
pub struct PipelineCharge {
    memory: Rc<PipelineMemory>,
    bytes: usize,
}

impl Drop for PipelineCharge {
    fn drop(&mut self) {
        self.memory.release(self.bytes);
    }
}

use crate::Micros;

/// The least that a peer must move while something waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Least {
    /// Bytes a second.
    pub rate: u64,
    /// How long it may take before its first bytes.
    pub start: Micros,
    /// How far ahead quick bytes may put it: so long may a quick peer pause.
    pub window: Micros,
}

/// What one address may have, where addresses tell clients apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PerAddress {
    pub connections: usize,
    pub room: u64,
}

/// The operator's limits on what waits. Sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// All that waits, in the program and in the system's buffers.
    pub room: u64,
    /// What one connection may hold of it.
    pub connection: u64,
    /// Off where a front stands before the driver and all clients have its address.
    pub address: Option<PerAddress>,
    /// What only tasks of the best paid offering may use.
    pub reserve: u64,
    /// Above the first, room is short; it is no longer below the second. In bytes.
    pub short: (u64, u64),
    /// For clients that are to read an answer, and for those that are to send the rest of a statement.
    pub reading: Least,
    pub sending: Least,
    /// For members that have begun an answer, and for those that are to take a statement.
    pub answering: Least,
    pub taking: Least,
    /// Who is under the least rate for so long is cut off in any case.
    pub overdue: Micros,
    /// How long the system keeps what a closed connection has not taken.
    pub lingering: Micros,
    /// Once the program is to end, how long answers may still be read.
    pub stopping: Micros,
}

impl Bounds {
    /// The least room with which a statement and an answer of full size fit beside the reserved part.
    pub fn least_room(&self, statement: u64, answer: u64) -> u64 {
        statement + answer + self.reserve
    }

    /// Whether everything allowed by itself can be granted at all; else the bound at fault and the least that
    /// would do.
    pub fn check(&self, statement: u64, answer: u64) -> Result<(), (&'static str, u64)> {
        let both = statement + answer;
        if self.room < self.least_room(statement, answer) {
            return Err(("room", self.least_room(statement, answer)));
        }
        if self.connection < both {
            return Err(("connection", both));
        }
        match self.address {
            Some(address) if address.room < both => Err(("per_address.room", both)),
            Some(address) if address.connections == 0 => Err(("per_address.connections", 1)),
            _ => Ok(()),
        }
    }

    pub fn least(&self, way: crate::Way) -> Least {
        match way {
            crate::Way::Reading => self.reading,
            crate::Way::Sending => self.sending,
        }
    }
}

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
    /// What only requests of the best paid request class may use.
    pub reserve: u64,
    /// Above the first, room is short; it is no longer below the second. In bytes.
    pub short: (u64, u64),
    /// For clients that are to read an answer, and for those that are to send the rest of a statement.
    pub reading: Least,
    pub sending: Least,
    /// For members that have begun an answer, and for those that are to take a statement.
    pub answering: Least,
    pub taking: Least,
    /// No longer than this is room waited for: who waits holds a place at a member.
    pub patience: Micros,
    /// Who is under the least rate for so long is cut off in any case.
    pub overdue: Micros,
    /// How long the system keeps what a closed connection has not taken.
    pub lingering: Micros,
    /// Once the program is to end, how long answers may still be read.
    pub stopping: Micros,
}

const MS: Micros = 1_000;

impl Bounds {
    /// Limits that are right from 32 MB on, for a program that may use so much memory.
    pub fn usual(memory: u64) -> Bounds {
        let room = memory / 2;
        let member = Least { rate: 32 * 1024, start: 300 * MS, window: 300 * MS };
        Bounds {
            room,
            connection: room / 4,
            address: None,
            reserve: room / 8,
            short: (room / 4 * 3, room / 2),
            // Buffers on the way empty in steps of some 10 KiB, which a reader at this rate takes in 1.3 s.
            reading: Least { rate: 8 * 1024, start: 2_000 * MS, window: 4_000 * MS },
            sending: Least { rate: 1024, start: 2_500 * MS, window: 4_000 * MS },
            answering: member,
            taking: Least { start: 1_000 * MS, window: 1_000 * MS, ..member },
            patience: 250 * MS,
            overdue: 6_000 * MS,
            lingering: 5_000 * MS,
            stopping: 5_000 * MS,
        }
    }

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

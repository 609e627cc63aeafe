//! The adapter's reply to a batch of messages.

use std::fmt::{self, Write as _};
use std::io::{self, Write};

use aldermill_routing::Micros;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// The reply to one batch: one line an action, in the order in which the routers asked for them. Times stand there in
/// milliseconds.
#[derive(Default)]
pub struct Reply {
    text: String,
}

impl Reply {
    /// A request's attempt is sent to a member, and may take so long (`CALL_OUT`).
    pub fn attempt(&mut self, router: u32, ticket: u64, member: &str, timeout: Micros) {
        self.add(format_args!("CALL_OUT\t{router}\t{ticket}\t{member}\t{}", millis(timeout)));
    }

    /// A request is rejected with that retry-after (`TURN_AWAY`).
    pub fn reject(&mut self, router: u32, ticket: u64, retry_after: Micros) {
        self.add(format_args!("TURN_AWAY\t{router}\t{ticket}\t{}", millis(retry_after)));
    }

    /// A request has failed (`ERROR`).
    pub fn fail(&mut self, router: u32, ticket: u64) {
        self.add(format_args!("ERROR\t{router}\t{ticket}"));
    }

    /// A health check is sent to a member (`POLL`).
    pub fn health_check(&mut self, router: u32, member: &str) {
        self.add(format_args!("POLL\t{router}\t{member}"));
    }

    /// A member's idle connections are closed (`SHUT_IDLE`).
    pub fn close_idle_connections(&mut self, router: u32, member: &str) {
        self.add(format_args!("SHUT_IDLE\t{router}\t{member}"));
    }

    /// The endpoint list is subscribed to (`STREAM_CHANGES`).
    pub fn subscribe(&mut self, router: u32) {
        self.add(format_args!("STREAM_CHANGES\t{router}\t1"));
    }

    /// The router is to be woken after that delay; the timer's number comes back with it (`DEFER`).
    pub fn start_timer(&mut self, router: u32, delay: Micros, timer: u64) {
        self.add(format_args!("DEFER\t{router}\t{}\t{timer}", millis(delay)));
    }

    /// Writes the batch's reply and its end (`FINISHED`), and begins the next one.
    pub fn finish(&mut self, out: &mut impl Write) -> io::Result<()> {
        self.text.push_str("FINISHED\n");
        out.write_all(self.text.as_bytes())?;
        self.text.clear();
        out.flush()
    }

    fn add(&mut self, line: fmt::Arguments) {
        // Writing to a String cannot fail.
        let _ = self.text.write_fmt(line);
        self.text.push('\n');
    }
}

fn millis(micros: Micros) -> f64 {
    micros as f64 / MICROS_PER_MILLI
}

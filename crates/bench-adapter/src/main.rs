//! Puts the routing decisions on the bench: lines in, calls on routers, lines out.
//!
//! Input: standard input, one message a line, its fields separated by tabs; the bench runs the clients, the members and
//! the clock. Output: on standard output, after each batch, what the routers want done, and a last line `FINISHED`.
//! Caller: the bench, which starts one process a run and lets it hold several routers.
//!
//! The adapter decides nothing and has no clock: it translates names and numbers for [`aldermill_routing::Router`], which
//! is the same as in the proxy. It assumes that the bench sends messages in their order, and waits for a batch's reply
//! before it sends the next one. A line that cannot be read ends it with exit code 1 and one line on standard error that
//! names the message and its field; the end of the input ends it with exit code 0.
//!
//! A batch that starts no router, and its reply:
//!
//! ```text
//! MARK    1000
//! GO
//!                 FINISHED
//! ```

#![warn(missing_docs)]

mod endpoint_list;
mod error;
mod fields;
mod reply;
mod router_instance;
mod session;

use std::io::{BufRead, Write};
use std::process::ExitCode;

use error::MessageError;
use session::BenchSession;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut out = std::io::stdout().lock();
    run(&mut input, &mut out)
}

/// Deals with all lines of the input, or up to the first one that cannot be dealt with.
fn run(input: &mut impl BufRead, out: &mut impl Write) -> ExitCode {
    let mut session = BenchSession::default();
    let mut line = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        let result = match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => session.accept_line(line.trim_end_matches(['\n', '\r']), out),
            Err(error) => Err(MessageError::Input(error)),
        };
        if let Err(error) = result {
            let message = line.split('\t').next().unwrap_or_default().trim_end();
            eprintln!("line {line_number}, message {message}: {error}");
            return ExitCode::FAILURE;
        }
    }
}

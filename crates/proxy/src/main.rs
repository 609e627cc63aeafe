//! aldermill: a proxy in front of groups of databases. Each group consists of a primary and its replicas.

mod cli;
mod client;
mod coordination;
mod discovery;
mod dispatcher;
mod flow_control;
mod gateway;
mod lifecycle;
mod member;
mod membership;
mod messages;
mod persistence;
mod shadow;
mod system;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::command().run().execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aldermill: {error}");
            ExitCode::FAILURE
        }
    }
}

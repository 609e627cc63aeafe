//! The command line: one file for each subcommand.

pub mod status;

//! Command line arguments, and one module for each subcommand.

mod check;
mod peers;
mod schema;
mod serve;
mod sites;
mod status;
mod store;
mod version;

use bpaf::Bpaf;

use crate::lifecycle::configuration::ConfigurationFiles;
use crate::lifecycle::errors::ProgramError;

/// A proxy before groups of databases, each a primary and its replicas
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Serve clients until stopped by SIGTERM or SIGINT
    #[bpaf(command)]
    Serve {
        #[bpaf(external(file_arguments))]
        files: FileArguments,
    },
    /// Check the configuration, and print a summary or what is wrong with it
    #[bpaf(command)]
    Check {
        #[bpaf(external(file_arguments))]
        files: FileArguments,
    },
    /// Print the state of sites and links of a running gateway, as JSON
    #[bpaf(command)]
    Sites {
        /// Path of the status socket, `gateway.status` in the operator's file
        #[bpaf(positional("SOCKET"))]
        socket: String,
    },
    /// List the peers that a running proxy knows
    #[bpaf(command("peers"), long("fellows"))]
    Peers {
        /// Print the JSON object as the proxy gives it
        #[bpaf(long)]
        json: bool,
        /// Path of the status socket, `membership.status` in the operator's file
        #[bpaf(positional("SOCKET"))]
        socket: String,
    },
    /// Check, dump or compact the data directory that a proxy keeps over restarts
    #[bpaf(command)]
    Store {
        #[bpaf(external(store_command))]
        command: StoreCommand,
    },
    /// Print the JSON schema of the operator's file
    #[bpaf(command)]
    Schema,
    /// Print the version
    #[bpaf(command)]
    Version,
}

/// Which files to read, by arguments or by environment variables.
#[derive(Clone, Debug, Bpaf)]
pub struct FileArguments {
    /// The configuration
    #[bpaf(long, argument("FILE"), env("GW_CONFIG"))]
    config: String,
    /// The operator's file
    #[bpaf(long, argument("FILE"), env("ALDERMILL_OPERATOR"))]
    operator: Option<String>,
}

/// What to do with a data directory.
#[derive(Clone, Debug, Bpaf)]
pub enum StoreCommand {
    /// Verify every record; exit code 1 if something is damaged
    #[bpaf(command)]
    Check {
        /// The data directory
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
    /// Print every record as a line of JSON
    #[bpaf(command)]
    Dump {
        /// The data directory
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
    /// Write the live records to one segment; no proxy may have the directory open
    #[bpaf(command)]
    Compact {
        /// The data directory
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
}

impl Command {
    /// Runs the subcommand until it ends.
    ///
    /// # Errors
    ///
    /// Returns the reason why the subcommand failed. The caller prints it and exits with code 1.
    pub fn execute(self) -> Result<(), ProgramError> {
        match self {
            Command::Serve { files } => serve::run(files.into()),
            Command::Check { files } => check::run(&files.into()),
            Command::Sites { socket } => sites::run(&socket),
            Command::Peers { json, socket } => peers::run(&socket, json),
            Command::Store { command } => store::run(&command),
            Command::Schema => {
                schema::run();
                Ok(())
            }
            Command::Version => {
                version::run();
                Ok(())
            }
        }
    }
}

impl From<FileArguments> for ConfigurationFiles {
    fn from(arguments: FileArguments) -> ConfigurationFiles {
        ConfigurationFiles { config: arguments.config, operator: arguments.operator }
    }
}

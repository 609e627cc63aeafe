//! `aldermill check`: reads the configuration as `serve` does, and prints a summary.

use crate::lifecycle::configuration::{self, Configuration, ConfigurationFiles};
use crate::lifecycle::errors::ProgramError;

const BYTES_PER_KIB: u64 = 1024;

/// Reads the configuration and prints a summary of it.
///
/// # Errors
///
/// Returns an error if a file cannot be read, or if its content cannot be used.
pub fn run(files: &ConfigurationFiles) -> Result<(), ProgramError> {
    print_summary(&Configuration::read(files, configuration::environment)?);
    Ok(())
}

fn print_summary(configuration: &Configuration) {
    let Configuration { name, listen, discovery, limits, .. } = configuration;
    println!("driver {name} listens on {listen}, discovery at {discovery}");
    let members = configuration.endpoint_list.as_ref().map_or(0, |list| list.endpoints.len());
    let classes = configuration.settings.router_config.classes.len();
    println!("{members} members known, {classes} offerings");
    let clients = limits.connections.clients;
    let members = limits.connections.members;
    println!("connections: {clients} from clients, {members} to members");
    let budget = configuration.flow_limits.budget / BYTES_PER_KIB;
    let connection = configuration.flow_limits.per_connection / BYTES_PER_KIB;
    println!("room for what waits: {budget} KiB, {connection} KiB for one connection");
}

//! `aldermill peers`: prints the peers that a running proxy knows, as a table or as JSON.

use serde_json::Value;

use crate::cli::status;
use crate::lifecycle::errors::ProgramError;

/// Prints the peers that the proxy at the status socket knows.
///
/// # Errors
///
/// Returns an error if no proxy listens at the socket, or if its answer is not valid JSON.
pub fn run(socket: &str, as_json: bool) -> Result<(), ProgramError> {
    let text = status::query(socket)?;
    if as_json {
        print!("{text}");
        return Ok(());
    }
    let status: Value = serde_json::from_str(&text)
        .map_err(|source| ProgramError::StatusFormat { path: socket.to_owned(), source })?;
    print!("{}{}", summary_line(&status), peer_table(&status));
    Ok(())
}

/// Returns one line on the proxy's own view of the fleet.
fn summary_line(status: &Value) -> String {
    let view = &status["view"];
    format!(
        "{} knows of {} drivers, itself among them; {} at most{}{}\n",
        status["self"]["name"].as_str().unwrap_or_default(),
        view["alive"],
        view["most_seen"],
        if view["sure"] == true { "" } else { "; in doubt" },
        if view["may_be_smaller"] == true { "; may be the smaller part" } else { "" },
    )
}

/// Returns one line for each peer.
fn peer_table(status: &Value) -> String {
    let peers = status["fellows"].as_array().into_iter().flatten();
    peers.map(peer_line).collect()
}

fn peer_line(peer: &Value) -> String {
    let string_field = |field: &str| peer[field].as_str().unwrap_or_default();
    let name = string_field("name");
    let address = string_field("address");
    format!("{name:<24} {address:<24} started {} turn {}\n", peer["start"], peer["turn"])
}

//! What survives a restart: the data directory and its opening, and the actor that saves snapshots of what the proxy
//! knows. `docs/restart.md` says what an operator sees of it.
//!
//! Nobody waits for a disk: file calls are made on threads of their own, and a start that finds the directory slow goes
//! on without what it holds.

mod data_directory;
mod errors;
pub mod maintenance;
mod open_attempt;
mod opening;
mod writer;

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use aldermill_operator_config::WarmStartConfig;
use aldermill_warm_start::{RestoredState, StateSnapshot};
use slog::{Logger, warn};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

pub use data_directory::{DataDirectory, StoredRecord};
use errors::OpenError;
use opening::Opener;

use crate::lifecycle::clock::Clock;

/// How long the start waits for the directory to be read.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What the start gets of the data directory.
pub struct Persistence {
    /// Open for writing, or opened later.
    pub directory: Rc<DataDirectory>,
    /// What a former start saved; empty where that could not be read in time.
    pub restored: RestoredState,
    /// Where what is to be saved is published; the newest counts.
    pub snapshots: watch::Sender<Option<StateSnapshot>>,
}

/// Opens the data directory of the proxy called `name`, and starts the actor that saves snapshots; `memory_bytes` is what the
/// process may use, in bytes. A failure is logged and never ends the process: opening is tried again for as long as it
/// lives, and the directory's users hold back what they could only claim by what it holds.
pub async fn start(
    config: &WarmStartConfig,
    name: &str,
    memory_bytes: u64,
    clock: Clock,
    log: &Logger,
) -> Persistence {
    let (snapshots, published_snapshots) = watch::channel(None);
    let opener = Opener::new(Path::new(&config.folder), name, memory_bytes, clock, log, published_snapshots);
    let directory = opener.directory.clone();
    let (restored_sender, restored_receiver) = oneshot::channel();
    spawn_local(opener.run(restored_sender));
    let restored = match timeout(OPEN_TIMEOUT, restored_receiver).await {
        Ok(restored) => restored.unwrap_or_default(),
        Err(_) => {
            warn!(log, "data directory unavailable, state is neither restored nor saved";
                "folder" => &config.folder, "error" => %OpenError::TimedOut(OPEN_TIMEOUT));
            RestoredState::default()
        }
    };
    Persistence { directory, restored, snapshots }
}

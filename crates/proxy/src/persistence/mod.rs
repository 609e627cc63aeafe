//! State that survives a restart: opens the data directory, and runs the actor that saves snapshots of the
//! proxy's state in it. `docs/restart.md` describes the behaviour that an operator sees.
//!
//! No actor blocks on a disk: file calls are made on separate threads, and if the directory is slow, startup
//! continues without the saved state.

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

/// Maximum time that startup waits for the data directory to be read.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// The data directory, the state restored from it, and the channel on which new state is published.
pub struct Persistence {
    /// The data directory, which may not be open yet: it is opened in the background.
    pub directory: Rc<DataDirectory>,
    /// The state that an earlier start saved; empty if it could not be read in time.
    pub restored: RestoredState,
    /// Publishes the snapshots that are to be saved. Only the newest is kept; `None` before the first.
    pub snapshots: watch::Sender<Option<StateSnapshot>>,
}

/// Opens the data directory of the proxy called `name` and starts the actor that saves snapshots.
/// `memory_bytes` is the amount of memory that the process may use. A failure is logged and never ends the
/// process: opening is retried for as long as the process runs. Until it succeeds, the users of the directory
/// make no statement that depends on its contents.
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

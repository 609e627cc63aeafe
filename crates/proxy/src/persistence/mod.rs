//! What is kept over a restart: the folder's opening, and the actor that hands what is believed to the disk.

mod data_directory;
pub mod maintenance;
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

pub use data_directory::DataDirectory;
use opening::{Opener, Unopened};

use crate::lifecycle::clock::Clock;

/// A folder that is not read by then is taken in later: nobody waits for a disk.
const OPENING: Duration = Duration::from_millis(500);

/// The folder, what was recalled from it by now, and who keeps what is believed from now on.
pub struct Persistence {
    pub directory: Rc<DataDirectory>,
    pub restored: RestoredState,
    pub snapshots: watch::Sender<Option<StateSnapshot>>,
}

/// Opens the folder and starts its keeper. Where that fails, which the log then says, it is tried again for as long as
/// the process lives, and the folder's users hold back what they could claim by it alone.
pub async fn start(
    warm: &WarmStartConfig,
    name: &str,
    memory: u64,
    clock: Clock,
    log: &Logger,
) -> Persistence {
    let (snapshots, beliefs) = watch::channel(None);
    let opener = Opener::new(Path::new(&warm.folder), name, memory, clock, log, beliefs);
    let directory = opener.folder.clone();
    let (sender, first) = oneshot::channel();
    spawn_local(opener.run(sender));
    let read = timeout(OPENING, first).await;
    if read.is_err() {
        warn!(log, "warm state refused, started without"; "folder" => &warm.folder,
            "why" => %Unopened::Late(OPENING.as_millis()));
    }
    let restored = read.ok().and_then(Result::ok).unwrap_or_default();
    Persistence { directory, restored, snapshots }
}

use std::net::SocketAddr;
use std::sync::Arc;

use slog::Logger;
use tokio::sync::{Semaphore, mpsc, watch};

use crate::clock::Clock;
use crate::desk::Call;
use crate::limits::Limits;

/// What every actor of the driver needs.
pub struct Context {
    pub clock: Clock,
    pub limits: Limits,
    pub log: Logger,
    pub discovery: SocketAddr,
    pub desk: mpsc::Sender<Call>,
    /// There is a list to decide on.
    pub ready: watch::Receiver<bool>,
    pub stopping: watch::Receiver<bool>,
    /// The members' share of descriptors.
    pub member_room: Arc<Semaphore>,
}

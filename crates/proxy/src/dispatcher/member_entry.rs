//! The dispatcher's record of a member, and the bounds on the time of its last start.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::Micros;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::lifecycle::clock::Clock;
use crate::member::LastHeard;
use crate::messages::MemberCommand;

/// The dispatcher's record of a member and the channels to its actor.
pub(super) struct MemberEntry {
    pub(super) group: u64,
    pub(super) zone: usize,
    pub(super) commands: mpsc::Sender<MemberCommand>,
    /// The time since which the member's oldest idle connection has been idle; `None` if there is no such
    /// connection, or the actor was just told to close it.
    pub(super) oldest_idle_since: Rc<Cell<Option<Instant>>>,
    /// Whether the router may send the member anything new. The member's actor watches this.
    pub(super) accepts_requests: watch::Sender<bool>,
    pub(super) last_heard: LastHeard,
    pub(super) address: SocketAddr,
    /// The time of the member's last start according to the endpoint list, in Unix microseconds; zero if it was
    /// long ago.
    pub(super) listed_start: Micros,
    /// The time of the member's last start on the router's clock, clamped to `start_bounds`; `None` if it was
    /// long ago.
    pub(super) started_at: Option<Micros>,
    pub(super) start_bounds: StartBounds,
    /// The number of the member's responses known to the router that said that the member is a replica.
    pub(super) replica_reports: u64,
}

/// Bounds on the time of a member's last start, in microseconds on the router's clock.
pub(super) struct StartBounds {
    /// The time at which the member's previous incarnation was last heard; `Micros::MIN` if unknown.
    previous_last_heard: Micros,
    /// The time at which the endpoint list first named this start.
    first_listed_at: Micros,
}

impl StartBounds {
    /// Bounds the start of a member that the endpoint list names for the first time at this time.
    pub(super) fn of_new_member(first_listed_at: Micros) -> StartBounds {
        StartBounds { previous_last_heard: Micros::MIN, first_listed_at }
    }
}

impl MemberEntry {
    /// Returns the time of the member's last start on the router's clock; `None` if it was long ago. The time
    /// in the endpoint list is clamped to the bounds, because the wall clock may have been wrong when this
    /// process started. `offset` is how far the members' clock is ahead of the router's, in microseconds.
    pub(super) fn start_time(&self, offset: Micros) -> Option<Micros> {
        let listed = Some(self.listed_start).filter(|&start| start > 0)?;
        let StartBounds { previous_last_heard, first_listed_at } = self.start_bounds;
        Some(listed.saturating_sub(offset).max(previous_last_heard).min(first_listed_at))
    }

    /// Records that the endpoint list names another start of the member, which is a new incarnation.
    /// `was_accepting` says whether the previous one could be sent requests until now.
    pub(super) fn record_restart(
        &mut self,
        listed_start: Micros,
        was_accepting: bool,
        clock: Clock,
        offset: Micros,
    ) {
        self.listed_start = listed_start;
        let previous =
            self.last_heard.previous_incarnation_last_heard(was_accepting).map(|heard| clock.at(heard));
        let previous_last_heard = previous.unwrap_or(Micros::MIN);
        self.start_bounds = StartBounds { previous_last_heard, first_listed_at: clock.now() };
        self.started_at = self.start_time(offset);
    }

    /// Tells the member's actor to open new connections to this address. If the actor's mailbox is full, the
    /// old address is kept, so that a later list update tries again.
    pub(super) fn reconnect(&mut self, address: SocketAddr) {
        if self.commands.try_send(MemberCommand::Reconnect(address)).is_ok() {
            self.address = address;
        }
    }
}

//! The members' clock against the router's: a process may have been started under a wrong wall clock.

use aldermill_routing::{Effect, Handle, MemberId, Micros, Need, Told};
use slog::warn;
use tokio::time::Instant;

use super::Desk;

/// A smaller change is not worth telling the router.
const CHANGE: Micros = 20_000;

impl Desk {
    /// Whether the request is a write that takes effect anew each time: its commit is never one from before.
    pub(super) fn writes_once(&self, handle: Handle) -> bool {
        let comment = self.open.get(&handle).map(|open| &open.order.comment);
        let class = comment.and_then(|comment| self.decoded.offering(&comment.offering).ok());
        let class = class.map(|class| &self.decoded.terms.offerings[class]);
        class.is_some_and(|class| class.effect == Effect::Effectful && class.need == Need::Write)
    }

    /// Takes in the position of an answer, which is the commit of a write that was sent at `written`, as word of the
    /// members' clock. One that is still ahead of that clock proves nothing, as nothing is applied before it was
    /// committed: it is left out.
    pub(super) fn hears_clock(&mut self, member: MemberId, told: &mut Told, written: Option<Instant>) {
        let Some(position) = told.position else { return };
        let clock = self.context.clock;
        let now = clock.now();
        self.clock_offset.told(member, position, now);
        if let Some(sent) = written {
            self.clock_offset.committed(member, position, clock.at(sent));
        }
        let offset = self.clock_offset.ahead();
        if (offset - self.told_offset).abs() > CHANGE {
            warn!(self.context.log, "the wall clock at the start differs from the members'"; "ms" => offset / 1000);
            self.tell_offset(offset);
        }
        let believable = now + self.told_offset + self.context.limits.ahead_of_clock;
        told.position = Some(position).filter(|&position| position <= believable);
    }

    fn tell_offset(&mut self, offset: Micros) {
        self.told_offset = offset;
        let mut starts = Vec::new();
        for (id, peer) in self.peers.iter_mut().enumerate() {
            if let Some(peer) = peer {
                peer.since = peer.started(offset);
                starts.push((id, peer.since));
            }
        }
        let _ = self.ask(|router| (router.members_clock(offset, &starts), Default::default()));
    }
}

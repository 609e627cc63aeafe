//! One statement on a connection, from its first byte to the end of its answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::{ProgressMeter, ReservationOwner};
use aldermill_routing::{Validity, Verdict};
use aldermill_wire::{Exchange, pg};
use tokio::sync::watch;
use tokio::task;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection::{Connection, before_send};
use crate::flow_control::BufferReservation;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Attempt, Query};
use crate::system::{self, Party, Peeked, SocketErrorKind};

/// The health check, as members know it.
const HEALTH_CHECK: &[u8] = b"SHOW usage";

/// What a member is told less than is left: it may be told 0.15 s too much, which is as long as the process may be held up
/// before the statement is written. This covers what comes on top, as the way from the client. Of little time, an eighth.
const RESERVE: Duration = Duration::from_millis(10);

/// What is asked for again when the connection is there, however long that took: whether the query may leave.
pub(super) struct Departure {
    /// None for a health check.
    pub(super) attempt: Option<Attempt>,
    pub(super) until: Instant,
    /// Whether the list's last word lets anything new be sent to the member.
    pub(super) open: watch::Receiver<bool>,
    /// How often the member has said that it is a replica.
    pub(super) replica_reports: Rc<Cell<u64>>,
    /// Where the connection leads, and where the list has the member now.
    pub(super) to: SocketAddr,
    pub(super) listed: Rc<Cell<SocketAddr>>,
}

impl Departure {
    /// A drain or a move that was told since the decision forbids it, and so does the deadline, which a
    /// standstill may have passed over; for an attempt its client's leaving, and the end of what made it
    /// valid.
    pub(super) fn may_leave(&self, context: &ProcessContext) -> bool {
        let in_time = Instant::now() < self.until;
        let allowed = *self.open.borrow() && self.to == self.listed.get();
        in_time && allowed && self.attempt.as_ref().is_none_or(|attempt| self.is_valid(attempt, context))
    }

    fn is_valid(&self, attempt: &Attempt, context: &ProcessContext) -> bool {
        let Validity { until, while_primary } = attempt.validity;
        let still_primary = self.replica_reports.get() == attempt.replica_reports;
        !attempt.cancellation.is_cancelled()
            && context.clock.now() < until
            && (still_primary || !while_primary)
    }

    /// The query in its words of now: a member is told what is left of the client's time, less the reserve, in whole
    /// milliseconds.
    pub(super) fn query(&self) -> Query {
        let Some(attempt) = &self.attempt else {
            let mut health_check = Vec::new();
            pg::query(&mut health_check, &[HEALTH_CHECK]);
            return Query::Whole(health_check);
        };
        let left = self.until.saturating_duration_since(Instant::now());
        let wait = left.saturating_sub((left / 8).min(RESERVE)).as_millis().max(1);
        Query::of(&attempt.request, &wait.to_string())
    }
}

/// One query on one connection.
pub(super) struct QueryTask<'a> {
    pub(super) context: &'a ProcessContext,
    /// For whom room is asked for a large answer; a health check has none.
    pub(super) reservation_owner: Option<ReservationOwner>,
    pub(super) until: Instant,
    pub(super) exchange: Exchange,
    pub(super) room: Option<BufferReservation>,
    pub(super) crowded_out: bool,
}

impl QueryTask<'_> {
    /// Sends the query and takes in the answer, as far as it comes before the deadline.
    pub(super) async fn converse(&mut self, connection: &mut Connection, query: &Query) -> Verdict {
        if let Err(verdict) = self.send(connection, query).await {
            return verdict;
        }
        let ended_by = self.take_in(connection).await;
        match self.exchange.error.as_deref() {
            _ if self.exchange.is_served() => Verdict::Served,
            Some("25006" | "72000") => Verdict::NotPrimary,
            Some("53300") => Verdict::Overloaded,
            Some(_) => Verdict::Error,
            None => ended_by,
        }
    }

    /// A member that does not have all of it cannot have begun.
    pub(super) async fn send(&mut self, connection: &mut Connection, query: &Query) -> Result<(), Verdict> {
        let clock = &self.context.unstalled_clock;
        let mut taking: Option<ProgressMeter> = None;
        for mut piece in query.pieces() {
            while !piece.is_empty() {
                let now = clock.now();
                let taking = taking.get_or_insert_with(|| {
                    ProgressMeter::new(now, self.context.flow_control.limits().to_member)
                });
                taking.start(now);
                let due = taking.deadline().map_or(self.until, |due| clock.instant(due).min(self.until));
                match timeout_at(due, system::write(Party::Member, &mut connection.stream, piece)).await {
                    Ok(Ok(count)) if count > 0 => {
                        taking.record_progress(clock.now(), count as u64);
                        piece = &piece[count..];
                    }
                    Ok(Err(error)) => return Err(before_send(&error)),
                    Err(_) if due >= self.until => return Err(Verdict::Unconnected),
                    _ => return Err(Verdict::ConnectionLost),
                }
            }
        }
        Ok(())
    }

    /// An answer comes in one piece, or nearly: what has begun and goes on under the least rate is malformed,
    /// and at once where its last bytes are those of a whole answer. One that is whole but for its end waits
    /// no longer for that.
    pub(super) async fn take_in(&mut self, connection: &mut Connection) -> Verdict {
        let QueryTask { context, reservation_owner, until, exchange, room, crowded_out } = self;
        let (limits, clock, until) = (&context.limits, &context.unstalled_clock, *until);
        let mut answering: Option<ProgressMeter> = None;
        loop {
            if exchange.absorb(&mut connection.buffer, limits.buffers.response).is_err() {
                return Verdict::Malformed;
            }
            if exchange.is_over() {
                return Verdict::Reset;
            }
            let claimed = pg::claimed(connection.buffer.held());
            if claimed > limits.buffers.small_message && room.is_none() {
                // While there is no room nothing is read: what the member sends stays with it, and holds its place.
                let Some(owner) = *reservation_owner else { return Verdict::Malformed };
                answering.iter_mut().for_each(|meter| meter.stop(clock.now()));
                *room = context.flow_control.reserve(owner, claimed, until).await;
                if room.is_none() {
                    // It did its part, and its place is wanted for others: the rest is not taken in.
                    *crowded_out = true;
                    return Verdict::Served;
                }
                connection.buffer.expect(claimed + 1);
            }
            let now = clock.now();
            answering.iter_mut().for_each(|meter| meter.start(now));
            let due = answering.as_ref().and_then(ProgressMeter::deadline);
            let due = due.map_or(until, |due| clock.instant(due).min(until));
            let cut_short = exchange.is_served() || pg::ends_as_answer(connection.buffer.held());
            let wait =
                if cut_short { due.min(Instant::now() + limits.member.completion_timeout) } else { due };
            let Connection { stream, buffer, .. } = &mut *connection;
            let mut read = timeout_at(wait, system::read(Party::Member, stream, buffer.tail())).await;
            if read.is_err() && matches!(system::peek(stream), Peeked::Unread | Peeked::EndOfStream) {
                // A signal or a standstill has let the clock be heard before the bytes, which came in time.
                read = timeout(
                    limits.member.completion_timeout,
                    system::read(Party::Member, stream, buffer.tail()),
                )
                .await;
            }
            match read {
                Err(_) if wait < until => return Verdict::Malformed,
                Err(_) => return Verdict::TimedOut,
                Ok(Ok(count)) if count > 0 => {
                    let now = clock.now();
                    let start = || ProgressMeter::new(now, context.flow_control.limits().from_member);
                    answering.get_or_insert_with(start).record_progress(now, count as u64);
                    if room.is_some() {
                        // Between the pieces of a large answer others have their turn.
                        task::yield_now().await;
                    }
                }
                Ok(Ok(_)) => return Verdict::Reset,
                Ok(Err(error)) => return after_send(&error),
            }
        }
    }
}

/// What an error says while an answer is waited for: the query may have run.
fn after_send(error: &std::io::Error) -> Verdict {
    match SocketErrorKind::of(error) {
        SocketErrorKind::Reset | SocketErrorKind::Refused => Verdict::Reset,
        // No answer came through in time, by the system's measure.
        SocketErrorKind::Unreachable => Verdict::TimedOut,
        SocketErrorKind::Local => Verdict::Unobserved,
    }
}

//! One query: a connection for it, the conditions under which it may still be sent, its bytes, and its end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::ProgressMeter;
use aldermill_routing::{MemberId, Micros, Validity};
use aldermill_wire::pg;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, connect, resynchronized};
use super::outcome::{Answer, Evidence, QueryError, QueryKind, Sent};
use super::pool::PoolGeneration;
use super::response::{Response, ResponseReader};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Attempt, Query};
use crate::system::{self, Party, SocketErrorKind};

/// The statement of a health check; members answer it with their load report.
const HEALTH_CHECK: &[u8] = b"SHOW usage";

/// A member is told this much less time than the client has left. It may be told up to 0.15 s too much, which is as long
/// as this process may be held up before the statement is written; the margin covers what comes on top of that, such as
/// the way from the client.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);
/// Of little time, the margin takes no more than this part.
const MARGIN_DIVISOR: u32 = 8;

/// Under which conditions a query may be sent. They are checked once its connection is there, however long that took.
pub(super) struct SendConditions {
    /// Whether the endpoint list lets the member receive anything new.
    pub(super) accepts_requests: watch::Receiver<bool>,
    /// The address that the endpoint list has for the member now.
    pub(super) listed_address: Rc<Cell<SocketAddr>>,
    /// How many of the member's responses have said that it is a replica.
    pub(super) replica_reports: Rc<Cell<u64>>,
}

/// One query of a member, from its connection to the end of its response.
pub(super) struct QueryTask {
    pub(super) context: Rc<ProcessContext>,
    pub(super) member: MemberId,
    /// Where its connection leads.
    pub(super) address: SocketAddr,
    /// `None` for a health check.
    pub(super) attempt: Option<Attempt>,
    /// When it times out.
    pub(super) deadline: Instant,
    pub(super) conditions: SendConditions,
    /// The generation of the pool that its connection is put back into.
    pub(super) pool_generation: PoolGeneration,
}

/// How a query ended.
pub(super) struct QueryEnd {
    /// When it began.
    pub(super) began: Instant,
    /// How much of it was written.
    pub(super) sent: Sent,
    /// What the member sent in response.
    pub(super) response: Response,
    /// What ended the query before its response was whole.
    pub(super) error: Option<QueryError>,
    /// How long ago the response came, in microseconds; above zero only after a stall of this process.
    pub(super) response_age: Micros,
    /// Present where it may carry another query.
    pub(super) connection: Option<Connection>,
    /// The generation of the pool when the query began.
    pub(super) pool_generation: PoolGeneration,
    /// Whether the process stalled since the query began; only determined where silence ended it.
    pub(super) stalled: bool,
    /// Whether a connection was given at least `limits.member.min_connect_time` to come up.
    pub(super) had_time_to_connect: bool,
}

impl QueryEnd {
    /// A query of which nothing is known any more; it may have run.
    pub(super) fn unknown(pool_generation: PoolGeneration) -> QueryEnd {
        QueryEnd {
            sent: Sent::Whole,
            error: Some(QueryError::Closed),
            ..QueryEnd::begin(Instant::now(), pool_generation)
        }
    }

    fn begin(began: Instant, pool_generation: PoolGeneration) -> QueryEnd {
        QueryEnd {
            began,
            sent: Sent::Nothing,
            response: Response::default(),
            error: None,
            response_age: 0,
            connection: None,
            pool_generation,
            stalled: false,
            had_time_to_connect: false,
        }
    }

    /// What was observed of the query, to be judged.
    pub(super) fn evidence(&self, kind: QueryKind) -> Evidence<'_> {
        Evidence {
            kind,
            sent: self.sent,
            result: self.result(),
            stalled: self.stalled,
            had_time_to_connect: self.had_time_to_connect,
        }
    }

    fn result(&self) -> Result<Answer<'_>, &QueryError> {
        let exchange = &self.response.exchange;
        match &exchange.error {
            _ if exchange.is_served() => Ok(Answer::Value),
            Some(code) => Ok(Answer::Error(code)),
            None if self.response.out_of_buffer_space => Ok(Answer::TooLarge),
            None => Err(self.error.as_ref().unwrap_or(&QueryError::Closed)),
        }
    }
}

impl QueryTask {
    /// Runs the query on this connection, or else on a new one, to its end or its deadline. `began` is when the
    /// connection was taken from the pool.
    pub(super) async fn run(self, pooled: Option<Connection>, began: Instant) -> QueryEnd {
        let mut end = QueryEnd::begin(began, self.pool_generation);
        match self.connection(pooled).await {
            Ok(connection) => self.run_on(connection, &mut end).await,
            Err(error) => end.error = Some(error),
        }
        if matches!(
            end.error,
            Some(QueryError::DeadlinePassed | QueryError::Socket { kind: SocketErrorKind::Unreachable, .. })
        ) {
            end.stalled = self.context.unstalled_clock.stalled_since(began);
            end.had_time_to_connect = began.elapsed() >= self.context.limits.member.min_connect_time;
        }
        end
    }

    async fn connection(&self, pooled: Option<Connection>) -> Result<Connection, QueryError> {
        match resynchronized(pooled, self.deadline, &self.context.limits).await {
            Some(connection) => Ok(connection),
            None => connect(&self.context, self.member, self.address, self.deadline).await,
        }
    }

    async fn run_on(&self, mut connection: Connection, end: &mut QueryEnd) {
        if !self.may_send() {
            end.error = Some(QueryError::Withheld);
            end.connection = Some(connection);
            return;
        }
        end.error = self.exchange(&mut connection, end).await.err();
        let received = self.context.unstalled_clock.receipt_bounds(&connection.stream, Some(end.began));
        end.response_age = received.map_or(0, |received| received.latest.elapsed().as_micros() as Micros);
        if end.response.exchange.is_ready() {
            end.connection = Some(connection);
        }
    }

    /// Writes the query and reads its response.
    async fn exchange(&self, connection: &mut Connection, end: &mut QueryEnd) -> Result<(), QueryError> {
        let query = self.encode();
        end.sent = Sent::Partly;
        self.write(connection, &query).await?;
        end.sent = Sent::Whole;
        let owner = self.attempt.as_ref().map(|attempt| attempt.reservation_owner);
        let mut reader = ResponseReader::new(&self.context, owner, self.deadline, &mut end.response);
        reader.read(connection).await
    }

    /// Whether the query may still be sent. A drain or a move of the member that was listed since the decision forbids it,
    /// and so does the deadline, which a stall may have passed; an attempt also the cancellation of its request, and the
    /// end of its validity.
    fn may_send(&self) -> bool {
        let in_time = Instant::now() < self.deadline;
        let conditions = &self.conditions;
        let is_allowed =
            *conditions.accepts_requests.borrow() && self.address == conditions.listed_address.get();
        in_time && is_allowed && self.attempt.as_ref().is_none_or(|attempt| self.is_valid(attempt))
    }

    fn is_valid(&self, attempt: &Attempt) -> bool {
        let Validity { expires_at, requires_primary } = attempt.validity;
        let is_still_primary = self.conditions.replica_reports.get() == attempt.replica_reports;
        !attempt.cancellation.is_cancelled()
            && self.context.clock.now() < expires_at
            && (is_still_primary || !requires_primary)
    }

    /// The query's bytes. An attempt tells the member how much time the client has left now, less the margin, in whole
    /// milliseconds.
    fn encode(&self) -> Query {
        let Some(attempt) = &self.attempt else {
            let mut health_check = Vec::new();
            pg::write_query(&mut health_check, &[HEALTH_CHECK]);
            return Query::Whole(health_check);
        };
        let left = self.deadline.saturating_duration_since(Instant::now());
        let margin = (left / MARGIN_DIVISOR).min(TIMEOUT_MARGIN);
        let timeout = left.saturating_sub(margin).as_millis().max(1);
        Query::of(&attempt.request, &timeout.to_string())
    }

    /// Writes the query, at the least rate or faster.
    async fn write(&self, connection: &mut Connection, query: &Query) -> Result<(), QueryError> {
        let mut meter: Option<ProgressMeter> = None;
        for mut piece in query.pieces() {
            while !piece.is_empty() {
                let count = self.write_some(connection, piece, &mut meter).await?;
                piece = &piece[count..];
            }
        }
        Ok(())
    }

    /// Writes the beginning of `piece`; returns how many bytes the system accepted, which is above zero.
    async fn write_some(
        &self,
        connection: &mut Connection,
        piece: &[u8],
        meter: &mut Option<ProgressMeter>,
    ) -> Result<usize, QueryError> {
        let clock = &self.context.unstalled_clock;
        let now = clock.now();
        let meter = meter
            .get_or_insert_with(|| ProgressMeter::new(now, self.context.flow_control.limits().to_member));
        meter.start(now);
        let wait_until = meter.deadline().map_or(self.deadline, |due| clock.instant(due).min(self.deadline));
        let written = timeout_at(wait_until, system::write(Party::Member, &mut connection.stream, piece));
        match written.await {
            Err(_) if wait_until >= self.deadline => Err(QueryError::DeadlinePassed),
            Err(_) => Err(QueryError::TooSlow),
            Ok(Err(error)) => Err(error.into()),
            Ok(Ok(0)) => Err(QueryError::Closed),
            Ok(Ok(count)) => {
                meter.record_progress(clock.now(), count as u64);
                Ok(count)
            }
        }
    }
}

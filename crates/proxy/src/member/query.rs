//! Runs one query on a member: obtains a connection, checks that the query may still be sent, and exchanges
//! its bytes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::ProgressMeter;
use aldermill_routing::{MemberId, Micros, Validity};
use aldermill_wire::pg;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::connection::{Connection, connect, resynchronize};
use super::outcome::{QueryError, QueryKind, QueryObservations, ResponseKind, Sent};
use super::pool::PoolGeneration;
use super::response::{Response, ResponseReader};
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{Attempt, Query};
use crate::system::{self, Party, SocketErrorKind};

/// Statement of a health check. Members respond to it with their load report.
const HEALTH_CHECK_STATEMENT: &[u8] = b"SHOW usage";

/// Time by which the timeout stated to a member is shorter than what the client has left. The stated timeout
/// may be up to 0.15 s too long, which is how long this process may be held up before it writes the
/// statement; the margin covers what comes on top of that, such as the network path from the client.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);
/// Limits the margin when little time is left: it is at most the time left divided by this.
const MARGIN_DIVISOR: u32 = 8;

/// Conditions for sending a query. They are checked once its connection is available, however long that took.
pub(super) struct SendConditions {
    /// Whether the endpoint list allows anything new to be sent to the member.
    pub(super) accepts_requests: watch::Receiver<bool>,
    /// Current address of the member in the endpoint list.
    pub(super) listed_address: Rc<Cell<SocketAddr>>,
    /// Number of responses in which the member reported that it is a replica.
    pub(super) replica_report_count: Rc<Cell<u64>>,
}

/// One query on a member, from obtaining its connection to the end of its response.
pub(super) struct QueryTask {
    /// State that all actors share.
    pub(super) context: Rc<ProcessContext>,
    /// Member that the query is sent to.
    pub(super) member: MemberId,
    /// Address to connect to.
    pub(super) address: SocketAddr,
    /// Attempt to send; `None` for a health check.
    pub(super) attempt: Option<Attempt>,
    /// When the query times out.
    pub(super) deadline: Instant,
    /// Conditions that must hold when the query is sent.
    pub(super) conditions: SendConditions,
    /// Generation of the pool when the query started.
    pub(super) pool_generation: PoolGeneration,
}

/// How a query ended.
pub(super) struct QueryOutcome {
    /// When the query started.
    pub(super) started_at: Instant,
    /// How much of the query was written.
    pub(super) sent: Sent,
    /// What the member sent in response.
    pub(super) response: Response,
    /// What ended the query before its response was complete; `None` if nothing did.
    pub(super) error: Option<QueryError>,
    /// Time since the response arrived, in microseconds; above zero only after a stall of this process.
    pub(super) response_age: Micros,
    /// The query's connection; `None` if it cannot carry another query.
    pub(super) connection: Option<Connection>,
    /// Generation of the pool when the query started.
    pub(super) pool_generation: PoolGeneration,
    /// Whether the process stalled after the query started; determined only if the query ended in silence,
    /// otherwise `false`.
    pub(super) stalled: bool,
    /// Whether a connection was given at least `limits.member.min_connect_time` to be established; determined
    /// only if the query ended in silence, otherwise `false`.
    pub(super) had_time_to_connect: bool,
}

impl QueryOutcome {
    /// Creates the outcome of a query about whose end nothing is known. The query may have run.
    pub(super) fn unknown(pool_generation: PoolGeneration) -> QueryOutcome {
        QueryOutcome {
            sent: Sent::Whole,
            error: Some(QueryError::Closed),
            ..QueryOutcome::new(Instant::now(), pool_generation)
        }
    }

    fn new(started_at: Instant, pool_generation: PoolGeneration) -> QueryOutcome {
        QueryOutcome {
            started_at,
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

    /// Returns what was observed of the query, from which its verdict follows.
    pub(super) fn observations(&self, kind: QueryKind) -> QueryObservations<'_> {
        QueryObservations {
            kind,
            sent: self.sent,
            result: self.result(),
            stalled: self.stalled,
            had_time_to_connect: self.had_time_to_connect,
        }
    }

    fn result(&self) -> Result<ResponseKind<'_>, &QueryError> {
        let exchange = &self.response.exchange;
        match &exchange.error {
            _ if exchange.is_served() => Ok(ResponseKind::Value),
            Some(code) => Ok(ResponseKind::Error(code)),
            None if self.response.out_of_buffer_space => Ok(ResponseKind::TooLarge),
            None => Err(self.error.as_ref().unwrap_or(&QueryError::Closed)),
        }
    }
}

impl QueryTask {
    /// Runs the query until it ends or its deadline passes, on the pooled connection if that can be used,
    /// otherwise on a new one. `started_at` is when the connection was taken from the pool.
    pub(super) async fn run(self, pooled: Option<Connection>, started_at: Instant) -> QueryOutcome {
        let mut outcome = QueryOutcome::new(started_at, self.pool_generation);
        match self.obtain_connection(pooled).await {
            Ok(connection) => self.run_on(connection, &mut outcome).await,
            Err(error) => outcome.error = Some(error),
        }
        if matches!(
            outcome.error,
            Some(
                QueryError::DeadlineExceeded | QueryError::Socket { kind: SocketErrorKind::Unreachable, .. }
            )
        ) {
            outcome.stalled = self.context.unstalled_clock.stalled_since(started_at);
            outcome.had_time_to_connect = started_at.elapsed() >= self.context.limits.member.min_connect_time;
        }
        outcome
    }

    async fn obtain_connection(&self, pooled: Option<Connection>) -> Result<Connection, QueryError> {
        match resynchronize(pooled, self.deadline, &self.context.limits).await {
            Some(connection) => Ok(connection),
            None => connect(&self.context, self.member, self.address, self.deadline).await,
        }
    }

    async fn run_on(&self, mut connection: Connection, outcome: &mut QueryOutcome) {
        if !self.may_send() {
            outcome.error = Some(QueryError::NoLongerValid);
            outcome.connection = Some(connection);
            return;
        }
        outcome.error = self.exchange(&mut connection, outcome).await.err();
        let received =
            self.context.unstalled_clock.receipt_bounds(&connection.stream, Some(outcome.started_at));
        outcome.response_age = received.map_or(0, |received| received.latest.elapsed().as_micros() as Micros);
        if outcome.response.exchange.is_ready() {
            outcome.connection = Some(connection);
        }
    }

    /// Writes the query and reads its response.
    async fn exchange(
        &self,
        connection: &mut Connection,
        outcome: &mut QueryOutcome,
    ) -> Result<(), QueryError> {
        let query = self.encode();
        outcome.sent = Sent::Partly;
        self.write(connection, &query).await?;
        outcome.sent = Sent::Whole;
        let owner = self.attempt.as_ref().map(|attempt| attempt.reservation_owner);
        let mut reader = ResponseReader::new(&self.context, owner, self.deadline, &mut outcome.response);
        reader.read(connection).await
    }

    /// Returns whether the query may still be sent. It may not after a drain or a move of the member that was
    /// listed since the decision, or after its deadline, which may have passed during a stall. Nor may an
    /// attempt once its request is cancelled or its validity has ended.
    fn may_send(&self) -> bool {
        let in_time = Instant::now() < self.deadline;
        let conditions = &self.conditions;
        let is_allowed =
            *conditions.accepts_requests.borrow() && self.address == conditions.listed_address.get();
        in_time && is_allowed && self.attempt.as_ref().is_none_or(|attempt| self.is_valid(attempt))
    }

    fn is_valid(&self, attempt: &Attempt) -> bool {
        let Validity { expires_at, requires_primary } = attempt.validity;
        let is_still_primary = self.conditions.replica_report_count.get() == attempt.replica_reports;
        !attempt.cancellation.is_cancelled()
            && !attempt.request.client_gone.is_cancelled()
            && self.context.clock.now() < expires_at
            && (is_still_primary || !requires_primary)
    }

    /// Returns the query's bytes. An attempt states the time that the client has left now, less the margin,
    /// in whole milliseconds and at least one.
    fn encode(&self) -> Query {
        let Some(attempt) = &self.attempt else {
            let mut health_check = Vec::new();
            pg::write_query(&mut health_check, &[HEALTH_CHECK_STATEMENT]);
            return Query::Whole(health_check);
        };
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let margin = (time_left / MARGIN_DIVISOR).min(TIMEOUT_MARGIN);
        let timeout = time_left.saturating_sub(margin).as_millis().max(1);
        Query::with_timeout(&attempt.request, timeout.to_string())
    }

    /// Writes the query, and fails if the member takes its bytes below the minimum rate.
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

    /// Writes the start of `piece`, and returns how many bytes the system accepted, which is above zero.
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
        let write_deadline =
            meter.deadline().map_or(self.deadline, |slow_at| clock.instant(slow_at).min(self.deadline));
        let written = timeout_at(write_deadline, system::write(Party::Member, &mut connection.stream, piece));
        match written.await {
            Err(_) if write_deadline >= self.deadline => Err(QueryError::DeadlineExceeded),
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

//! Actor of one member: starts attempts and health checks on the member's connections, and reports how they
//! ended.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_routing::{MemberId, MemberReport, RequestHandle, Verdict};
use tokio::sync::{mpsc, watch};
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::last_heard::LastHeard;
use super::outcome::{QueryKind, Symptom, symptom, verdict};
use super::pool::ConnectionPool;
use super::query::{QueryOutcome, QueryTask, SendConditions};
use super::report::{is_replica_report, member_report};
use super::response::Response;
use super::symptom_log::SymptomLog;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{
    Attempt, AttemptFinished, AttemptResponse, DispatcherMessage, HealthCheckFinished, MemberCommand,
    PoolUse, ReplicaReports, Rows,
};

/// The dispatcher has stopped, so there is nobody left to report to.
struct DispatcherStopped;

/// What a running query is for.
enum QueryPurpose {
    Attempt { handle: RequestHandle, decided_at: Instant },
    HealthCheck { decided_at: Instant },
}

impl QueryPurpose {
    fn kind(&self) -> QueryKind {
        match self {
            QueryPurpose::Attempt { .. } => QueryKind::Attempt,
            QueryPurpose::HealthCheck { .. } => QueryKind::HealthCheck,
        }
    }
}

/// State that a member's actor shares with the dispatcher.
pub struct MemberSharedState {
    /// Whether the endpoint list allows anything new to be sent to the member.
    pub accepts_requests: watch::Receiver<bool>,
    /// Since when the oldest idle connection has been idle; `None` if no connection is idle.
    pub oldest_idle_since: Rc<Cell<Option<Instant>>>,
    /// When the member last responded.
    pub last_heard: LastHeard,
}

/// Actor of one member.
pub struct MemberActor {
    context: Rc<ProcessContext>,
    id: MemberId,
    /// Current address of the member in the endpoint list.
    address: Rc<Cell<SocketAddr>>,
    accepts_requests: watch::Receiver<bool>,
    pool: ConnectionPool,
    /// Running queries; `purposes` says what each is for.
    queries: JoinSet<QueryOutcome>,
    purposes: HashMap<task::Id, QueryPurpose>,
    /// When the member last responded, or when its actor was started if it never did.
    last_response_at: Instant,
    last_heard: LastHeard,
    /// Number of responses in which the member reported that it is a replica.
    replica_report_count: Rc<Cell<u64>>,
    symptom_log: SymptomLog,
}

impl MemberActor {
    /// Creates the actor of the member with this name and address in the endpoint list.
    pub fn new(
        context: Rc<ProcessContext>,
        id: MemberId,
        name: String,
        address: SocketAddr,
        shared: MemberSharedState,
    ) -> MemberActor {
        let symptom_log =
            SymptomLog::new(context.log.clone(), name, context.limits.member.malformed_log_threshold);
        MemberActor {
            context,
            id,
            address: Rc::new(Cell::new(address)),
            accepts_requests: shared.accepts_requests,
            pool: ConnectionPool::new(shared.oldest_idle_since),
            queries: JoinSet::new(),
            purposes: HashMap::new(),
            last_response_at: Instant::now(),
            last_heard: shared.last_heard,
            replica_report_count: Rc::default(),
            symptom_log,
        }
    }

    /// Executes commands and reports how queries ended, until the dispatcher has stopped.
    pub async fn run(mut self, mut commands: mpsc::Receiver<MemberCommand>) {
        let mut sweep = interval(self.context.limits.member.sweep_interval);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.pool.publish_oldest_idle_since();
            tokio::select! {
                biased;
                Some(joined) = self.queries.join_next_with_id() => {
                    if self.handle_joined_query(joined).await.is_err() {
                        return;
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = sweep.tick(), if !self.pool.is_empty() => self.sweep(),
            }
        }
    }

    fn handle_command(&mut self, command: MemberCommand) {
        match command {
            MemberCommand::Send(attempt) => {
                if attempt.pool_use == PoolUse::NewConnection {
                    self.pool.close_all();
                }
                let Attempt { handle, decided_at, deadline, .. } = attempt;
                self.start_query(QueryPurpose::Attempt { handle, decided_at }, Some(attempt), deadline);
            }
            MemberCommand::HealthCheck { decided_at, deadline } => {
                self.start_query(QueryPurpose::HealthCheck { decided_at }, None, deadline);
            }
            MemberCommand::Reconnect(address) => {
                self.address.set(address);
                self.pool.invalidate();
            }
            MemberCommand::CloseOldestIdle => self.pool.close_oldest(),
            MemberCommand::CloseIdle => self.pool.close_all(),
        }
    }

    fn sweep(&mut self) {
        if *self.accepts_requests.borrow() {
            self.pool.sweep(&self.context.limits);
        } else {
            self.pool.close_all();
        }
    }

    /// Starts a query in a task of its own.
    fn start_query(&mut self, purpose: QueryPurpose, attempt: Option<Attempt>, deadline: Instant) {
        let query = QueryTask {
            context: self.context.clone(),
            member: self.id,
            address: self.address.get(),
            attempt,
            deadline,
            conditions: SendConditions {
                accepts_requests: self.accepts_requests.clone(),
                listed_address: self.address.clone(),
                replica_report_count: self.replica_report_count.clone(),
            },
            pool_generation: self.pool.generation(),
        };
        let started_at = Instant::now();
        let pooled = self.pool.take(&self.context.limits);
        let task = self.queries.spawn_local(query.run(pooled, started_at));
        self.purposes.insert(task.id(), purpose);
    }

    async fn handle_joined_query(
        &mut self,
        joined: Result<(task::Id, QueryOutcome), JoinError>,
    ) -> Result<(), DispatcherStopped> {
        let (id, outcome) = match joined {
            Ok(joined) => joined,
            Err(error) => {
                self.symptom_log.log_task_failure(&error);
                (error.id(), QueryOutcome::unknown(self.pool.generation()))
            }
        };
        match self.purposes.remove(&id) {
            Some(purpose) => self.finish_query(purpose, outcome).await,
            None => Ok(()),
        }
    }

    /// Evaluates the outcome of a query, and reports it to the dispatcher.
    async fn finish_query(
        &mut self,
        purpose: QueryPurpose,
        mut outcome: QueryOutcome,
    ) -> Result<(), DispatcherStopped> {
        let verdict = verdict(&outcome.observations(purpose.kind()), || self.pool.all_reset());
        self.record_response_time(&outcome, verdict);
        self.record_symptom(&outcome, verdict);
        self.return_connection(&mut outcome);
        if is_replica_report(&outcome.response.exchange) {
            self.replica_report_count.set(self.replica_report_count.get() + 1);
        }
        let message = self.finished_message(purpose, verdict, outcome);
        self.context.dispatcher.send(message).await.map_err(|_| DispatcherStopped)
    }

    /// Records when the member last responded. If a query met silence and the member has responded to nothing
    /// since that query started, older connections may be dead, and would stay silent forever if a machine
    /// vanished or a link was cut. They are closed, because new connections show the member's true state at
    /// once.
    fn record_response_time(&mut self, outcome: &QueryOutcome, verdict: Verdict) {
        if outcome.response.exchange.is_over() || outcome.response.out_of_buffer_space {
            self.last_response_at = Instant::now();
            self.last_heard.record_response();
        } else if symptom(verdict) == Symptom::Silent && self.last_response_at < outcome.started_at {
            self.pool.close_idle_before(outcome.started_at);
        }
    }

    fn record_symptom(&mut self, outcome: &QueryOutcome, verdict: Verdict) {
        let symptom = symptom(verdict);
        if matches!(symptom, Symptom::Unreachable | Symptom::ProcessGone) {
            self.last_heard.record_loss();
        }
        // The other connections most likely lead to the same dead process.
        if symptom == Symptom::ProcessGone && outcome.pool_generation == self.pool.generation() {
            self.pool.invalidate();
        }
        let is_ready = outcome.response.exchange.is_ready();
        self.symptom_log.record(self.address.get(), verdict, is_ready, outcome.error.as_ref());
    }

    /// Returns the query's connection to the pool, unless other connections wait for a descriptor. Those
    /// found no idle connection to close, so this one is closed to make room.
    fn return_connection(&mut self, outcome: &mut QueryOutcome) {
        if let Some(connection) = outcome.connection.take()
            && self.context.waiting_for_permit.get() == 0
        {
            self.pool.put(connection, outcome.pool_generation);
        }
    }

    fn finished_message(
        &self,
        purpose: QueryPurpose,
        verdict: Verdict,
        outcome: QueryOutcome,
    ) -> DispatcherMessage {
        let replica_reports = ReplicaReports { member: self.id, count: self.replica_report_count.get() };
        let report = extract_report(purpose.kind(), &outcome);
        match purpose {
            QueryPurpose::Attempt { handle, decided_at } => {
                DispatcherMessage::AttemptFinished(AttemptFinished {
                    request: handle,
                    verdict,
                    decided_at,
                    elapsed: self.context.unstalled_clock.unstalled_since(decided_at),
                    report,
                    response: attempt_response(verdict, outcome.response),
                    replica_reports: Some(replica_reports),
                })
            }
            QueryPurpose::HealthCheck { decided_at } => {
                DispatcherMessage::HealthCheckFinished(HealthCheckFinished {
                    verdict,
                    elapsed: self.context.unstalled_clock.unstalled_since(decided_at),
                    report,
                    replica_reports,
                })
            }
        }
    }
}

/// Returns what the response reports about the member. The load report accompanies the value of an attempt,
/// and is the value of a health check.
fn extract_report(kind: QueryKind, outcome: &QueryOutcome) -> MemberReport {
    let exchange = &outcome.response.exchange;
    let usage = match kind {
        QueryKind::Attempt => exchange.usage.as_deref(),
        QueryKind::HealthCheck => std::str::from_utf8(exchange.value()).ok(),
    };
    member_report(exchange, usage, outcome.response_age)
}

/// Returns what is passed on to the client.
fn attempt_response(verdict: Verdict, response: Response) -> AttemptResponse {
    match verdict {
        Verdict::Served if response.out_of_buffer_space => AttemptResponse::NoBufferSpace,
        Verdict::Served => {
            AttemptResponse::Rows(Rows { pieces: response.exchange.rows, reservation: response.reservation })
        }
        _ => AttemptResponse::None,
    }
}

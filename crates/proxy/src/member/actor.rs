//! The actor of one member: it starts attempts and health checks on the member's connections, and reports their ends.

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
use super::query::{QueryEnd, QueryTask, SendConditions};
use super::report::{is_replica_report, member_report};
use super::response::Response;
use super::symptom_log::SymptomLog;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{
    Attempt, AttemptFinished, AttemptResponse, DispatcherMessage, HealthCheckFinished, MemberCommand,
    PoolUse, ReplicaReports, Rows,
};

/// The dispatcher is gone, and with it whoever the member's actor works for.
struct DispatcherGone;

/// What a query that is running is for.
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

/// What a member's actor shares with the dispatcher.
pub struct MemberLinks {
    /// Whether the endpoint list lets the member receive anything new.
    pub accepts_requests: watch::Receiver<bool>,
    /// Since when its oldest idle connection has been idle.
    pub oldest_idle_since: Rc<Cell<Option<Instant>>>,
    /// When the member was last heard.
    pub last_heard: LastHeard,
}

/// The actor of one member.
pub struct Member {
    context: Rc<ProcessContext>,
    id: MemberId,
    /// The address that the endpoint list has for it now.
    address: Rc<Cell<SocketAddr>>,
    accepts_requests: watch::Receiver<bool>,
    pool: ConnectionPool,
    /// The queries that are running, and what each is for.
    queries: JoinSet<QueryEnd>,
    purposes: HashMap<task::Id, QueryPurpose>,
    /// When it last responded; when its actor was started, where it never did.
    last_response: Instant,
    last_heard: LastHeard,
    /// How many of its responses have said that it is a replica.
    replica_reports: Rc<Cell<u64>>,
    symptom_log: SymptomLog,
}

impl Member {
    /// The actor of the member that is listed under this name and at this address.
    pub fn new(
        context: Rc<ProcessContext>,
        id: MemberId,
        name: String,
        address: SocketAddr,
        links: MemberLinks,
    ) -> Member {
        let symptom_log =
            SymptomLog::new(context.log.clone(), name, context.limits.member.malformed_log_threshold);
        Member {
            context,
            id,
            address: Rc::new(Cell::new(address)),
            accepts_requests: links.accepts_requests,
            pool: ConnectionPool::new(links.oldest_idle_since),
            queries: JoinSet::new(),
            purposes: HashMap::new(),
            last_response: Instant::now(),
            last_heard: links.last_heard,
            replica_reports: Rc::default(),
            symptom_log,
        }
    }

    /// Executes commands and reports ends of queries, until the dispatcher is gone.
    pub async fn run(mut self, mut commands: mpsc::Receiver<MemberCommand>) {
        let mut sweep = interval(self.context.limits.member.sweep_interval);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.pool.publish_oldest();
            tokio::select! {
                biased;
                Some(joined) = self.queries.join_next_with_id() => {
                    if self.query_joined(joined).await.is_err() {
                        return;
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.execute(command),
                    None => return,
                },
                _ = sweep.tick(), if !self.pool.is_empty() => self.sweep(),
            }
        }
    }

    fn execute(&mut self, command: MemberCommand) {
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
                self.pool.renew();
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
                replica_reports: self.replica_reports.clone(),
            },
            pool_generation: self.pool.generation(),
        };
        let began = Instant::now();
        let pooled = self.pool.take(&self.context.limits);
        let task = self.queries.spawn_local(query.run(pooled, began));
        self.purposes.insert(task.id(), purpose);
    }

    async fn query_joined(
        &mut self,
        joined: Result<(task::Id, QueryEnd), JoinError>,
    ) -> Result<(), DispatcherGone> {
        let (id, end) = match joined {
            Ok(joined) => joined,
            Err(error) => {
                self.symptom_log.task_failed(&error);
                (error.id(), QueryEnd::unknown(self.pool.generation()))
            }
        };
        match self.purposes.remove(&id) {
            Some(purpose) => self.finish(purpose, end).await,
            None => Ok(()),
        }
    }

    /// Draws the conclusions from a query's end, and reports it to the dispatcher.
    async fn finish(&mut self, purpose: QueryPurpose, mut end: QueryEnd) -> Result<(), DispatcherGone> {
        let verdict = verdict(&end.evidence(purpose.kind()), || self.pool.all_reset());
        self.note_response(&end, verdict);
        self.note_symptom(&end, verdict);
        self.put_back_connection(&mut end);
        if is_replica_report(&end.response.exchange) {
            self.replica_reports.set(self.replica_reports.get() + 1);
        }
        let message = self.finished_message(purpose, verdict, end);
        self.context.dispatcher.send(message).await.map_err(|_| DispatcherGone)
    }

    /// Notes when the member was heard. Where it has not responded to anything since a query began that met silence,
    /// connections from before may lead nowhere, and stay silent for ever if a machine vanished or a link was cut: they
    /// are closed, as new ones show at once what is true.
    fn note_response(&mut self, end: &QueryEnd, verdict: Verdict) {
        if end.response.exchange.is_over() || end.response.out_of_buffer_space {
            self.last_response = Instant::now();
            self.last_heard.record_response();
        } else if symptom(verdict) == Symptom::Silent && self.last_response < end.began {
            self.pool.close_idle_before(end.began);
        }
    }

    fn note_symptom(&mut self, end: &QueryEnd, verdict: Verdict) {
        let symptom = symptom(verdict);
        if matches!(symptom, Symptom::Unreachable | Symptom::ProcessGone) {
            self.last_heard.record_loss();
        }
        // The other connections most likely lead to the process that is gone, too.
        if symptom == Symptom::ProcessGone && end.pool_generation == self.pool.generation() {
            self.pool.renew();
        }
        let is_ready = end.response.exchange.is_ready();
        self.symptom_log.record(self.address.get(), verdict, is_ready, end.error.as_ref());
    }

    /// Keeps the query's connection, unless others wait for a descriptor: there was no idle connection to close for them,
    /// so this one makes room.
    fn put_back_connection(&mut self, end: &mut QueryEnd) {
        if let Some(connection) = end.connection.take()
            && self.context.waiting_for_permit.get() == 0
        {
            self.pool.put(connection, end.pool_generation);
        }
    }

    fn finished_message(&self, purpose: QueryPurpose, verdict: Verdict, end: QueryEnd) -> DispatcherMessage {
        let replica_reports = ReplicaReports { member: self.id, count: self.replica_reports.get() };
        let report = report_of(purpose.kind(), &end);
        match purpose {
            QueryPurpose::Attempt { handle, decided_at } => {
                DispatcherMessage::AttemptFinished(AttemptFinished {
                    request: handle,
                    verdict,
                    decided_at,
                    elapsed: self.context.unstalled_clock.unstalled_since(decided_at),
                    report,
                    response: attempt_response(verdict, end.response),
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

/// What the response says of the member. Its load report comes beside the value of an attempt, and is the value of a
/// health check.
fn report_of(kind: QueryKind, end: &QueryEnd) -> MemberReport {
    let exchange = &end.response.exchange;
    let usage = match kind {
        QueryKind::Attempt => exchange.usage.as_deref(),
        QueryKind::HealthCheck => std::str::from_utf8(exchange.value()).ok(),
    };
    member_report(exchange, usage, end.response_age)
}

/// What is passed on to the client.
fn attempt_response(verdict: Verdict, response: Response) -> AttemptResponse {
    match verdict {
        Verdict::Served if response.out_of_buffer_space => AttemptResponse::NoBufferSpace,
        Verdict::Served => {
            AttemptResponse::Rows(Rows { pieces: response.exchange.rows, reservation: response.reservation })
        }
        _ => AttemptResponse::None,
    }
}

//! The actor of one member: its pool of connections, and the attempts and health checks on them.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_routing::{Handle, MemberId, MemberReport, Micros, Role, Verdict};
use aldermill_settings::Decoded;
use aldermill_wire::Exchange;
use slog::{error, info, warn};
use tokio::sync::{mpsc, watch};
use tokio::task::{self, JoinSet};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::connection::{Connection, Unopened, connect, settled};
use super::last_heard::LastHeard;
use super::query::{Departure, QueryTask};
use crate::flow_control::BufferReservation;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{
    Attempt, AttemptFinished, AttemptResponse, DispatcherMessage, HealthCheckFinished, MemberCommand,
    PoolUse, ReplicaReports, Rows,
};

/// A member's word on its own role.
const PRIMARY: &str = "writer";
const REPLICA: &str = "reader";

/// Between two lines in the log on connections to one member that cannot be opened here.
const LOCAL_FAILURE_TOLD_EVERY: Duration = Duration::from_secs(10);

/// What an attempt or a health check is for.
enum Purpose {
    Request { handle: Handle, sent: Instant },
    Probe { sent: Instant },
}

struct Done {
    verdict: Verdict,
    exchange: Exchange,
    room: Option<BufferReservation>,
    /// The member answered, and there is no room for that.
    crowded_out: bool,
    /// How long ago the answer came.
    age: Micros,
    /// Set where it may carry another query.
    connection: Option<Connection>,
    began: Instant,
    /// Renewals before it: a connection from before the last one is not kept.
    era: u64,
    /// What the system said where it opened no connection.
    unopened: Option<std::io::Error>,
}

pub struct Member {
    context: Rc<ProcessContext>,
    id: MemberId,
    name: String,
    /// As the list has it now.
    address: Rc<Cell<SocketAddr>>,
    /// Whether the list's last word lets anything new be sent there.
    open: watch::Receiver<bool>,
    idle: Vec<Connection>,
    /// Since when its oldest idle connection has rested, for whoever looks for one to close.
    resting: Rc<Cell<Option<Instant>>>,
    under_way: JoinSet<Done>,
    purposes: HashMap<task::Id, Purpose>,
    era: u64,
    /// When it last answered anything.
    heard: Instant,
    last_heard: LastHeard,
    /// How often it has said that it is a replica.
    replica_reports: Rc<Cell<u64>>,
    /// Answers in a row that were cut short or could not be read.
    malformed: usize,
    /// It could not be reached or broke connections, and that was logged.
    lost: bool,
    /// When it was last logged that this machine can open no connection to it.
    local_failure_told: Option<Instant>,
}

/// Whether a connection that has not come up since `began` tells anything of its member. Protects a sound member from
/// requests with so little time left that no handshake fits in. Harms by a wait of that time where a member vanished.
fn shows_no_way(context: &ProcessContext, began: Instant) -> bool {
    began.elapsed() >= context.limits.member.connect_evidence && !context.unstalled_clock.stalled_since(began)
}

impl Member {
    pub fn new(
        context: Rc<ProcessContext>,
        id: MemberId,
        name: String,
        address: SocketAddr,
        open: watch::Receiver<bool>,
        resting: Rc<Cell<Option<Instant>>>,
        last_heard: LastHeard,
    ) -> Member {
        Member {
            context,
            id,
            name,
            address: Rc::new(Cell::new(address)),
            open,
            idle: Vec::new(),
            resting,
            under_way: JoinSet::new(),
            purposes: HashMap::new(),
            era: 0,
            heard: Instant::now(),
            last_heard,
            replica_reports: Rc::default(),
            malformed: 0,
            lost: false,
            local_failure_told: None,
        }
    }

    pub async fn run(mut self, mut commands: mpsc::Receiver<MemberCommand>) {
        let mut sweep = interval(self.context.limits.member.sweep_interval);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            self.resting.set(self.idle.first().map(|connection| connection.idle_since));
            tokio::select! {
                biased;
                Some(done) = self.under_way.join_next_with_id() => {
                    let (visit, done) = match done {
                        Ok(done) => done,
                        // What became of it is not known, so it may have run.
                        Err(error) => {
                            error!(self.context.log, "a visit failed"; "member" => &self.name, "why" => %error);
                            let (verdict, exchange) = (Verdict::Reset, Exchange::default());
                            let (began, era) = (Instant::now(), self.era);
                            (error.id(), Done { verdict, exchange, room: None, crowded_out: false, age: 0, connection: None, began, era, unopened: None })
                        }
                    };
                    let Some(purpose) = self.purposes.remove(&visit) else { continue };
                    if self.ended(purpose, done).await.is_err() {
                        return;
                    }
                }
                command = commands.recv() => match command {
                    Some(MemberCommand::Send(attempt)) => {
                        if attempt.pool_use == PoolUse::ConnectAnew {
                            self.idle.clear();
                        }
                        let Attempt { handle, decided_at: sent, deadline: until, .. } = attempt;
                        self.visit(Purpose::Request { handle, sent }, Some(attempt), until);
                    }
                    Some(MemberCommand::HealthCheck { decided_at: sent, deadline: until }) => {
                        self.visit(Purpose::Probe { sent }, None, until);
                    }
                    Some(MemberCommand::Reconnect(address)) => {
                        self.address.set(address);
                        self.renew();
                    }
                    Some(MemberCommand::CloseOldestIdle) => {
                        if !self.idle.is_empty() {
                            self.idle.remove(0);
                        }
                    }
                    Some(MemberCommand::CloseIdle) => self.idle.clear(),
                    None => return,
                },
                _ = sweep.tick(), if !self.idle.is_empty() => {
                    let (now, limit) = (Instant::now(), self.context.limits.member.idle_timeout);
                    let open = *self.open.borrow();
                    self.idle.retain(|connection| {
                        open && now - connection.idle_since < limit && connection.is_quiet()
                    });
                }
            }
        }
    }

    /// A process that dies resets all of its connections. One that closes them, idle or after an answer, lives.
    fn all_reset(&self) -> bool {
        !self.idle.is_empty() && self.idle.iter().all(Connection::is_reset)
    }

    fn renew(&mut self) {
        self.era += 1;
        self.idle.clear();
    }

    /// The newest idle connection that still stands and has rested, else the one that stood longest.
    fn pooled(&mut self) -> Option<Connection> {
        let limits = &self.context.limits;
        while !self.idle.is_empty() {
            let rested = self
                .idle
                .iter()
                .rposition(|connection| connection.idle_since.elapsed() >= limits.member.settle_time);
            let connection = self.idle.remove(rested.unwrap_or(0));
            if connection.idle_since.elapsed() < limits.member.idle_timeout && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Starts one query on a connection of its own, to its end or its deadline: an attempt, or else a health
    /// check.
    fn visit(&mut self, purpose: Purpose, attempt: Option<Attempt>, until: Instant) {
        let for_request = attempt.is_some();
        let reservation_owner = attempt.as_ref().map(|attempt| attempt.reservation_owner);
        let (id, address, era) = (self.id, self.address.get(), self.era);
        let departure = Departure {
            attempt,
            until,
            open: self.open.clone(),
            replica_reports: self.replica_reports.clone(),
            to: address,
            listed: self.address.clone(),
        };
        let (began, pooled) = (Instant::now(), self.pooled());
        let context = self.context.clone();
        let visit = self.under_way.spawn_local(async move {
            let (mut exchange, mut room, mut crowded_out, mut age) = (Exchange::default(), None, false, 0);
            let mut unopened = None;
            let opened = match settled(pooled, until, &context.limits).await {
                Some(connection) => Ok(connection),
                None => connect(&context, id, address, until).await,
            };
            let (verdict, connection) = match opened {
                Ok(connection) if !departure.may_leave(&context) => (Verdict::NotSent, Some(connection)),
                Ok(mut connection) => {
                    let query = departure.query();
                    let mut visit = QueryTask {
                        context: &context,
                        reservation_owner,
                        until,
                        exchange,
                        room,
                        crowded_out,
                    };
                    let verdict = visit.converse(&mut connection, &query).await;
                    (exchange, room, crowded_out) = (visit.exchange, visit.room, visit.crowded_out);
                    let received = context.unstalled_clock.receipt_bounds(&connection.stream, Some(began));
                    age = received.map_or(0, |received| received.latest.elapsed().as_micros() as Micros);
                    (verdict, exchange.is_ready().then_some(connection))
                }
                // For a request that connection never came up; a health check was not answered, and no more
                // is known.
                Err(Unopened { verdict: Verdict::TimedOut, .. }) if for_request => {
                    // Nothing was sent. After a standstill nobody saw whether the connection came up in time, and with
                    // little time left it may not have had enough.
                    let lost = shows_no_way(&context, began);
                    (if lost { Verdict::Unconnected } else { Verdict::NotSent }, None)
                }
                Err(Unopened { verdict, why }) => {
                    unopened = why;
                    (verdict, None)
                }
            };
            // Its deadline fell into a standstill: nobody was there to see an answer.
            let unseen = verdict == Verdict::TimedOut && context.unstalled_clock.stalled_since(began);
            let verdict = if unseen { Verdict::Unobserved } else { verdict };
            Done { verdict, exchange, room, crowded_out, age, connection, began, era, unopened }
        });
        self.purposes.insert(visit.id(), purpose);
    }

    async fn ended(
        &mut self,
        purpose: Purpose,
        done: Done,
    ) -> Result<(), mpsc::error::SendError<DispatcherMessage>> {
        let Done { mut verdict, exchange, room, crowded_out, age, connection, began, era, unopened } = done;
        if exchange.is_over() || crowded_out {
            self.heard = Instant::now();
            self.last_heard.hears();
        } else if verdict == Verdict::TimedOut && self.heard < began {
            // Not a word since it began: connections from before may lead nowhere, and stay silent for ever
            // where a machine vanished or a link was cut. New ones tell at once.
            self.idle.retain(|connection| connection.idle_since >= began);
        }
        if verdict == Verdict::Reset && !self.all_reset() {
            // Only this connection broke, as far as can be seen. Where the process did die, the next one is refused.
            verdict = Verdict::Malformed;
        }
        if matches!(verdict, Verdict::Malformed | Verdict::ConnectionLost) {
            self.malformed += 1;
            if self.malformed == self.context.limits.member.malformed_log_threshold {
                warn!(self.context.log, "member answers nothing that can be used"; "member" => &self.name,
                    "peer" => %self.address.get(), "attempts" => self.malformed);
            }
        } else if exchange.is_ready() {
            self.malformed = 0;
        }
        if verdict == Verdict::LocalFailure {
            self.tell_local_failure(unopened);
        }
        if matches!(verdict, Verdict::Unconnected | Verdict::Unreachable | Verdict::Reset) {
            self.last_heard.loses();
            if verdict == Verdict::Reset && era == self.era {
                // What the other connections lead to is most likely gone, too.
                self.renew();
            }
            if !std::mem::replace(&mut self.lost, true) {
                warn!(self.context.log, "member lost"; "member" => &self.name, "peer" => %self.address.get(),
                    "symptom" => ?verdict);
            }
        } else if exchange.is_ready() && std::mem::take(&mut self.lost) {
            info!(self.context.log, "member back"; "member" => &self.name, "peer" => %self.address.get());
        }
        // Where others wait for a descriptor and no idle connection was there to be closed, this one makes room.
        if let Some(mut connection) = connection
            && era == self.era
            && self.context.waiting_for_room.get() == 0
        {
            connection.idle_since = Instant::now();
            self.idle.push(connection);
        }
        if exchange.role.as_deref() == Some(REPLICA) {
            self.replica_reports.set(self.replica_reports.get() + 1);
        }
        let replica_reports = ReplicaReports { member: self.id, count: self.replica_reports.get() };
        let message = match purpose {
            Purpose::Request { handle, sent, .. } => {
                let report = self.report(&exchange, exchange.usage.as_deref(), age);
                let took = self.context.unstalled_clock.unstalled_since(sent);
                let response = match verdict {
                    Verdict::Served if crowded_out => AttemptResponse::TooLarge,
                    Verdict::Served => {
                        AttemptResponse::Rows(Rows { pieces: exchange.rows, reservation: room })
                    }
                    _ => AttemptResponse::None,
                };
                DispatcherMessage::AttemptFinished(AttemptFinished {
                    request: handle,
                    verdict,
                    decided_at: sent,
                    elapsed: took,
                    report,
                    response,
                    replica_reports: Some(replica_reports),
                })
            }
            Purpose::Probe { sent } => {
                if exchange.error.as_deref() == Some("57P03") {
                    verdict = Verdict::Overloaded;
                }
                let report = self.report(&exchange, std::str::from_utf8(exchange.value()).ok(), age);
                let took = self.context.unstalled_clock.unstalled_since(sent);
                DispatcherMessage::HealthCheckFinished(HealthCheckFinished {
                    verdict,
                    elapsed: took,
                    report,
                    replica_reports,
                })
            }
        };
        self.context.dispatcher.send(message).await
    }

    fn tell_local_failure(&mut self, why: Option<std::io::Error>) {
        let now = Instant::now();
        if self.local_failure_told.is_some_and(|at| now - at < LOCAL_FAILURE_TOLD_EVERY) {
            return;
        }
        self.local_failure_told = Some(now);
        let why = why.map_or_else(|| "no descriptor to spare in time".to_owned(), |why| why.to_string());
        warn!(self.context.log, "no connection can be opened on this machine, tried again";
            "member" => &self.name, "why" => why);
    }

    /// What an answer says of the member; what cannot be read says nothing. Of one that was cut short no more is
    /// believed than that the member is a replica: where that is wrong it costs an answer, where it is missed reads
    /// are stale.
    fn report(&self, exchange: &Exchange, usage: Option<&str>, age: Micros) -> MemberReport {
        let says_replica = exchange.role.as_deref() == Some(REPLICA);
        if !exchange.is_over() {
            return MemberReport {
                role: says_replica.then_some(Role::Replica),
                age,
                ..MemberReport::default()
            };
        }
        let pairs = usage.into_iter().flat_map(|usage| usage.split(','));
        let pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
        let mut report = Decoded::report(pairs, 0).unwrap_or_default();
        report.age = age;
        match exchange.role.as_deref() {
            Some(PRIMARY) => report.role = Some(Role::Primary),
            Some(REPLICA) => report.role = Some(Role::Replica),
            _ => {}
        }
        let position = exchange.position.as_ref().and_then(|position| position.parse::<Micros>().ok());
        report.position = report.position.max(position.map(|millis| millis.saturating_mul(1000)));
        report
    }
}

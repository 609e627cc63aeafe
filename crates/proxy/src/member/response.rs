//! Reads the response to a query, as far as it comes in time.

use aldermill_flow_control::{ProgressMeter, ReservationOwner};
use aldermill_wire::{Buffer, Exchange, pg};
use tokio::task;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection::Connection;
use super::outcome::QueryError;
use crate::flow_control::BufferReservation;
use crate::lifecycle::process_context::ProcessContext;
use crate::system::{self, Party, Peeked};

/// What a member sent in response to a query.
#[derive(Default)]
pub(super) struct Response {
    pub(super) exchange: Exchange,
    /// The buffer space that a large response holds.
    pub(super) reservation: Option<BufferReservation>,
    /// A large response began, and no buffer space was to be had for it: the rest of it is not read.
    pub(super) out_of_buffer_space: bool,
}

/// Reads one response.
pub(super) struct ResponseReader<'a> {
    context: &'a ProcessContext,
    /// For whom buffer space for a large response is reserved; `None` for a health check, which gets none.
    owner: Option<ReservationOwner>,
    deadline: Instant,
    /// Measures the member's rate from the first bytes of the response on.
    meter: Option<ProgressMeter>,
    response: &'a mut Response,
}

impl<'a> ResponseReader<'a> {
    pub(super) fn new(
        context: &'a ProcessContext,
        owner: Option<ReservationOwner>,
        deadline: Instant,
        response: &'a mut Response,
    ) -> ResponseReader<'a> {
        ResponseReader { context, owner, deadline, meter: None, response }
    }

    /// Reads until the response is over, or there is no buffer space for it.
    ///
    /// Errors: as [`QueryError`] says of a query that was sent.
    pub(super) async fn read(&mut self, connection: &mut Connection) -> Result<(), QueryError> {
        loop {
            let absorbed = self
                .response
                .exchange
                .absorb(&mut connection.buffer, self.context.limits.buffers.max_response);
            absorbed.map_err(|_| QueryError::Malformed)?;
            if self.response.exchange.is_over() {
                return Ok(());
            }
            self.reserve_buffer_space(&mut connection.buffer).await?;
            if self.response.out_of_buffer_space {
                return Ok(());
            }
            self.read_more(connection).await?;
        }
    }

    /// Reserves buffer space where the response turns out to be large. Until it is granted nothing is read: what the
    /// member sends stays with it, and occupies its capacity.
    async fn reserve_buffer_space(&mut self, buffer: &mut Buffer) -> Result<(), QueryError> {
        let announced = pg::announced_length(buffer.held());
        if announced <= self.context.limits.buffers.small_message || self.response.reservation.is_some() {
            return Ok(());
        }
        let Some(owner) = self.owner else { return Err(QueryError::Malformed) };
        if let Some(meter) = &mut self.meter {
            meter.stop(self.context.unstalled_clock.now());
        }
        let flow_control = &self.context.flow_control;
        self.response.reservation = flow_control.reserve(owner, announced, self.deadline).await;
        if self.response.reservation.is_some() {
            buffer.expect(announced + 1);
        } else {
            self.response.out_of_buffer_space = true;
        }
        Ok(())
    }

    /// Reads what comes next. A response comes in one piece, or nearly: one that has begun and goes on below the least rate
    /// is of no use.
    async fn read_more(&mut self, connection: &mut Connection) -> Result<(), QueryError> {
        let now = self.context.unstalled_clock.now();
        if let Some(meter) = &mut self.meter {
            meter.start(now);
        }
        let wait_until = self.wait_until(&connection.buffer);
        match self.read_by(connection, wait_until).await {
            Err(_) if wait_until < self.deadline => Err(QueryError::TooSlow),
            Err(_) => Err(QueryError::DeadlinePassed),
            Ok(Err(error)) => Err(error.into()),
            Ok(Ok(0)) => Err(QueryError::Closed),
            Ok(Ok(count)) => {
                self.count_bytes(count);
                if self.response.reservation.is_some() {
                    // A large response must not keep the other tasks of this thread waiting.
                    task::yield_now().await;
                }
                Ok(())
            }
        }
    }

    /// By when more has to come: by the deadline, by the least rate, and soon where only the end of the response is
    /// missing, or its last bytes are those of a whole one.
    fn wait_until(&self, buffer: &Buffer) -> Instant {
        let due = self.meter.as_ref().and_then(ProgressMeter::deadline);
        let due =
            due.map_or(self.deadline, |due| self.context.unstalled_clock.instant(due).min(self.deadline));
        let lacks_only_its_end =
            self.response.exchange.is_served() || pg::ends_with_ready_for_query(buffer.held());
        if lacks_only_its_end {
            due.min(Instant::now() + self.context.limits.member.completion_timeout)
        } else {
            due
        }
    }

    /// One read. A signal or a stall may wake the timer before the bytes, which came in time: they are read all the same.
    async fn read_by(
        &self,
        connection: &mut Connection,
        wait_until: Instant,
    ) -> Result<std::io::Result<usize>, Elapsed> {
        let Connection { stream, buffer, .. } = connection;
        let read = timeout_at(wait_until, system::read(Party::Member, stream, buffer.tail())).await;
        if read.is_err() && matches!(system::peek(stream), Peeked::Unread | Peeked::EndOfStream) {
            let limit = self.context.limits.member.completion_timeout;
            return timeout(limit, system::read(Party::Member, stream, buffer.tail())).await;
        }
        read
    }

    fn count_bytes(&mut self, count: usize) {
        let now = self.context.unstalled_clock.now();
        let flow_control = &self.context.flow_control;
        let meter =
            self.meter.get_or_insert_with(|| ProgressMeter::new(now, flow_control.limits().from_member));
        meter.record_progress(now, count as u64);
    }
}

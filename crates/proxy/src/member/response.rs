//! Reads the response to a query, as far as it arrives in time.

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
    /// Messages of the response that have been parsed.
    pub(super) exchange: Exchange,
    /// Buffer space reserved for a large response; `None` if the response is small or no space was available.
    pub(super) reservation: Option<BufferReservation>,
    /// Whether a large response began for which no buffer space was available. The rest of it is not read.
    pub(super) out_of_buffer_space: bool,
}

/// Reads one response.
pub(super) struct ResponseReader<'a> {
    context: &'a ProcessContext,
    /// Owner of the buffer space that is reserved for a large response; `None` for a health check, which gets
    /// none.
    reservation_owner: Option<ReservationOwner>,
    deadline: Instant,
    /// Measures the member's transfer rate from the first bytes of the response on.
    meter: Option<ProgressMeter>,
    /// Number of bytes that were read.
    received: usize,
    response: &'a mut Response,
}

impl<'a> ResponseReader<'a> {
    /// Creates a reader that stores what it reads in `response`.
    pub(super) fn new(
        context: &'a ProcessContext,
        reservation_owner: Option<ReservationOwner>,
        deadline: Instant,
        response: &'a mut Response,
    ) -> ResponseReader<'a> {
        ResponseReader { context, reservation_owner, deadline, meter: None, received: 0, response }
    }

    /// Reads until the response is complete, or no buffer space is available for it.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was read, as a [`QueryError`] for a query that was sent.
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

    /// Reserves buffer space if the response turns out to be large. Nothing is read until the space is
    /// granted: the rest of the response stays with the member and occupies its capacity.
    async fn reserve_buffer_space(&mut self, buffer: &mut Buffer) -> Result<(), QueryError> {
        let announced = pg::announced_length(buffer.held());
        if announced <= self.context.limits.buffers.small_message || self.response.reservation.is_some() {
            return Ok(());
        }
        let Some(reservation_owner) = self.reservation_owner else { return Err(QueryError::Malformed) };
        if let Some(meter) = &mut self.meter {
            meter.stop(self.context.unstalled_clock.now());
        }
        let flow_control = &self.context.flow_control;
        self.response.reservation = flow_control.reserve(reservation_owner, announced, self.deadline).await;
        if self.response.reservation.is_some() {
            buffer.expect(announced + 1);
        } else {
            self.response.out_of_buffer_space = true;
        }
        Ok(())
    }

    /// Reads the next bytes. A response arrives in one piece or nearly so; one that has begun and continues
    /// below the minimum rate is of no use.
    async fn read_more(&mut self, connection: &mut Connection) -> Result<(), QueryError> {
        let now = self.context.unstalled_clock.now();
        if let Some(meter) = &mut self.meter {
            meter.start(now);
        }
        let read_deadline = self.read_deadline(&connection.buffer);
        match self.read_until(connection, read_deadline).await {
            Err(_) if read_deadline < self.deadline => Err(QueryError::TooSlow),
            Err(_) => Err(QueryError::DeadlineExceeded),
            Ok(Err(error)) => Err(error.into()),
            Ok(Ok(0)) => Err(QueryError::Closed),
            Ok(Ok(count)) => {
                self.record_bytes(count);
                self.check_progress(count).await
            }
        }
    }

    /// Fails if the response is longer than any response may be. Without this, one that never ends would be read
    /// for ever: the deadline of a read does not pass while there are always bytes to read.
    async fn check_progress(&mut self, count: usize) -> Result<(), QueryError> {
        let is_first = self.received == 0;
        self.received += count;
        let buffers = &self.context.limits.buffers;
        if self.received > buffers.max_response + buffers.small_message {
            return Err(QueryError::Malformed);
        }
        if !is_first {
            // A response that goes on and on must not keep other tasks on this thread from running.
            task::yield_now().await;
        }
        Ok(())
    }

    /// Returns by when more bytes must arrive: by the deadline, and as early as the minimum rate requires. If
    /// only the end of the response is missing, or the bytes held end like a complete response, more bytes
    /// must arrive within `limits.member.completion_timeout`.
    fn read_deadline(&self, buffer: &Buffer) -> Instant {
        let slow_at = self.meter.as_ref().and_then(ProgressMeter::deadline);
        let read_deadline =
            slow_at.map_or(self.deadline, |at| self.context.unstalled_clock.instant(at).min(self.deadline));
        let lacks_only_end =
            self.response.exchange.is_served() || pg::ends_with_ready_for_query(buffer.held());
        if lacks_only_end {
            read_deadline.min(Instant::now() + self.context.limits.member.completion_timeout)
        } else {
            read_deadline
        }
    }

    /// Reads once. A signal or a stall may let the timer expire first although the bytes arrived in time, so
    /// bytes that are waiting by then are read all the same.
    async fn read_until(
        &self,
        connection: &mut Connection,
        read_deadline: Instant,
    ) -> Result<std::io::Result<usize>, Elapsed> {
        let Connection { stream, buffer, .. } = connection;
        let read = timeout_at(read_deadline, system::read(Party::Member, stream, buffer.tail())).await;
        if read.is_err() && matches!(system::peek(stream), Peeked::Unread | Peeked::EndOfStream) {
            let limit = self.context.limits.member.completion_timeout;
            return timeout(limit, system::read(Party::Member, stream, buffer.tail())).await;
        }
        read
    }

    fn record_bytes(&mut self, count: usize) {
        let now = self.context.unstalled_clock.now();
        let flow_control = &self.context.flow_control;
        let meter =
            self.meter.get_or_insert_with(|| ProgressMeter::new(now, flow_control.limits().from_member));
        meter.record_progress(now, count as u64);
    }
}

//! From a message of a client to a statement that the dispatcher is asked about, and the room for it.

use super::*;

impl Client {
    /// Takes a whole message of such a length from the buffer, and its text where it is a query.
    pub(super) fn statement(&mut self, tag: u8, length: usize) -> Vec<u8> {
        if tag != b'Q' {
            self.buffer.consume(length);
            return Vec::new();
        }
        if length > self.context.limits.buffers.small_message {
            // Held once: what was the buffer becomes the statement.
            let mut message = self.buffer.take(length);
            message.pop();
            message.drain(..pg::BEFORE_BODY);
            return message;
        }
        let statement = self.buffer.held()[pg::BEFORE_BODY..length - 1].to_vec();
        self.buffer.consume(length);
        statement
    }

    /// Whether a statement is on the key of a write that is under way.
    pub(super) fn must_wait(&self, statement: &[u8]) -> bool {
        if self.owed.iter().all(|owed| owed.key.is_none()) {
            return false;
        }
        let Ok(comment) = Comment::parse(statement) else { return false };
        let key = quoted(&statement[comment.end..]);
        key.is_some() && self.owed.iter().any(|owed| owed.answer.is_none() && owed.key == key)
    }

    /// One whole message: a request goes to the dispatcher, anything else has its answer at once.
    pub(super) async fn handle(
        &mut self,
        tag: u8,
        statement: Vec<u8>,
        passing_over: &mut bool,
        large: &mut Option<BufferReservation>,
    ) -> Result<(), End> {
        let mut out = Vec::new();
        match tag {
            b'Q' if is_empty(&statement) => {
                self.context.ready.clone().wait_for(|&ready| ready).await.map_err(|_| End::Quiet)?;
                pg::empty_query(&mut out);
                pg::ready(&mut out);
            }
            b'Q' => match Comment::parse(&statement) {
                Ok(comment) => return self.ask(statement, comment, large.take()).await,
                Err(bad) => {
                    pg::error(&mut out, false, "08P01", bad.0, None);
                    pg::ready(&mut out);
                }
            },
            b'S' => {
                *passing_over = false;
                pg::ready(&mut out);
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                if !std::mem::replace(passing_over, true) {
                    pg::error(&mut out, false, "0A000", "only simple queries are served", None);
                }
            }
            b'F' => {
                pg::error(&mut out, false, "0A000", "only simple queries are served", None);
                pg::ready(&mut out);
            }
            // Left over from a copy that failed.
            b'd' | b'c' | b'f' => {}
            _ => return Err(Malformed("unknown message type").into()),
        }
        *large = None;
        if !out.is_empty() {
            let (answer, key, rows) = (Some(vec![out]), None, None);
            self.owed.push_back(Owed { request: ClientId::MAX, key, answer, statement: None, rows });
        }
        Ok(())
    }

    /// Room for a large message, which the client is refused where others have taken it all and nobody who is
    /// too slow can give it up.
    pub(super) async fn reserve(&mut self, size: usize) -> Result<BufferReservation, End> {
        let limits = &self.context.limits;
        let text = self.buffer.held().get(pg::BEFORE_BODY..).and_then(|text| Comment::parse(text).ok());
        let priority = text.map_or(Priority::Normal, |comment| self.context.priority(&comment.class));
        let until = Instant::now() + limits.client.reservation_wait;
        if let Some(room) = self.connection_guard.reserve(size, priority, until).await {
            self.buffer.expect(size + 1);
            return Ok(room);
        }
        if self.connection_guard.is_disconnected() {
            return Err(End::Cut);
        }
        let mut out = Vec::new();
        pg::error(&mut out, true, "53300", "no room for a statement of this size", None);
        self.send(vec![out], None).await?;
        Err(End::Quiet)
    }

    /// Hands the request to the dispatcher.
    pub(super) async fn ask(
        &mut self,
        statement: Vec<u8>,
        mut comment: Comment,
        large: Option<BufferReservation>,
    ) -> Result<(), End> {
        if let Some(left) = self.context.left_to_answer() {
            // It has its answer before the program may be killed.
            comment.wait = comment.wait.min(left.as_millis() as u32);
        }
        self.asked += 1;
        let client = (self.id << 24) + (self.asked & 0xff_ffff);
        let text = &statement[comment.end..];
        let reads = text.trim_ascii_start().get(..6).is_some_and(|verb| verb.eq_ignore_ascii_case(b"SELECT"));
        let key = if reads { None } else { quoted(text) };
        self.owed.push_back(Owed { request: client, key, answer: None, statement: large, rows: None });
        // The system tells when the last bytes came; a statement before these came at some time before.
        let old = self.old.map(|(first, last)| if self.buffer.is_empty() { last } else { first });
        let arrived = self.context.clock.at(old.unwrap_or_else(Instant::now));
        let mailbox = self.address.clone();
        let request = ClientRequest {
            client,
            peer: self.connection_guard.peer,
            mailbox,
            received_at: arrived,
            statement,
            comment,
            last_write_age: None,
        };
        self.context.dispatcher.send(DispatcherMessage::ClientRequest(request)).await.map_err(|_| End::Quiet)
    }

    /// Dates what was just read, where that may have waited for this process.
    pub(super) fn date(&mut self) {
        let came =
            self.context.unstalled_clock.receipt_bounds(&self.stream, self.read.replace(Instant::now()));
        let came = came.map(|received| (received.earliest, received.latest));
        // What is left of an earlier read is as old as that.
        let (first, began) = (came.map(|(first, _)| first), self.old.map(|(first, _)| first));
        self.old = came.map(|(_, last)| (first.into_iter().chain(began).min().unwrap_or(last), last));
    }
}

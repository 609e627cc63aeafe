//! Messages that were announced and whose data is arriving.

use std::collections::HashMap;

use crate::error::ProtocolViolation;
use crate::frame::{OutcomeReply, Request, Response};
use crate::outbox::StreamId;
use crate::{Inbound, LinkConfig, LinkError};

/// The frame that announces a message, before its data.
#[derive(Debug)]
pub(crate) enum Announcement {
    Request(Request),
    Response(Response),
    OutcomeReply(OutcomeReply),
}

impl Announcement {
    fn with_data(self, data: Vec<u8>) -> Inbound {
        match self {
            Announcement::Request(request) => Inbound::Request(request, data),
            Announcement::Response(response) => Inbound::Response(response, data),
            Announcement::OutcomeReply(reply) => Inbound::OutcomeReply(reply, data),
        }
    }
}

#[derive(Debug)]
struct IncomingMessage {
    announcement: Announcement,
    /// The length of its data in bytes.
    length: usize,
    data: Vec<u8>,
    /// Bytes that arrived since the sender was last told that it may send more.
    unacknowledged: usize,
}

/// What follows from a piece of data.
#[derive(Debug, PartialEq)]
pub(crate) enum DataProgress {
    /// The rest is to be waited for.
    Incomplete,
    /// The sender may send this many bytes more.
    WidenWindow(u32),
    /// The message has arrived whole.
    Complete(Inbound),
}

/// All messages whose data is arriving.
#[derive(Debug, Default)]
pub(crate) struct IncomingMessages {
    messages: HashMap<StreamId, IncomingMessage>,
}

impl IncomingMessages {
    /// A message was announced, with data of that length. One without data is returned at once.
    pub(crate) fn announce(
        &mut self,
        config: &LinkConfig,
        stream: StreamId,
        announcement: Announcement,
        length: usize,
    ) -> Result<Option<Inbound>, LinkError> {
        if self.messages.contains_key(&stream) {
            return Err(LinkError::OutOfPlace(ProtocolViolation::StreamInUse));
        }
        if self.messages.len() >= config.max_streams {
            return Err(LinkError::OutOfPlace(ProtocolViolation::TooManyStreams));
        }
        if length == 0 {
            return Ok(Some(announcement.with_data(Vec::new())));
        }
        let message = IncomingMessage { announcement, length, data: Vec::new(), unacknowledged: 0 };
        self.messages.insert(stream, message);
        Ok(None)
    }

    /// A piece of a message's data has arrived.
    pub(crate) fn receive(
        &mut self,
        config: &LinkConfig,
        stream: StreamId,
        bytes: &[u8],
    ) -> Result<DataProgress, LinkError> {
        let Some(message) = self.messages.get_mut(&stream) else {
            // The request was cancelled meanwhile, or nobody waits for the answer.
            return Ok(DataProgress::Incomplete);
        };
        if message.data.len() + bytes.len() > message.length {
            return Err(LinkError::OutOfPlace(ProtocolViolation::ExcessData));
        }
        let window = config.stream_window as usize;
        message.unacknowledged += bytes.len();
        if message.unacknowledged > window {
            return Err(LinkError::OutOfPlace(ProtocolViolation::WindowExceeded));
        }
        message.data.extend_from_slice(bytes);
        if message.data.len() == message.length {
            let whole = self.messages.remove(&stream);
            let whole = whole.map(|message| message.announcement.with_data(message.data));
            return Ok(whole.map_or(DataProgress::Incomplete, DataProgress::Complete));
        }
        // Asked for before the window is used up, so that the sender need not pause.
        if message.unacknowledged >= window / 2 {
            let more = std::mem::take(&mut message.unacknowledged);
            return Ok(DataProgress::WidenWindow(more as u32));
        }
        Ok(DataProgress::Incomplete)
    }

    /// The rest of a message is not waited for any more.
    pub(crate) fn cancel(&mut self, stream: StreamId) {
        self.messages.remove(&stream);
    }
}

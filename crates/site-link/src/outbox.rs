//! What waits to go out, in the order in which it goes: first what keeps the link alive, then short messages, then the data
//! of long ones, a part of each in turn.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use crate::frame::{Data, Frame, FrameKind};

/// How much of a statement or response one frame carries at most, in bytes: a short message waits for one such part at most.
const MAX_DATA_PART: usize = 8 * 1024;

/// The data of one message. The data of a request and of its response have the same number and go opposite ways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StreamId {
    pub(crate) number: u64,
    pub(crate) is_response: bool,
}

impl StreamId {
    /// The statement of the request with this number.
    pub(crate) fn statement(number: u64) -> StreamId {
        StreamId { number, is_response: false }
    }

    /// The data of the response to the request with this number.
    pub(crate) fn response(number: u64) -> StreamId {
        StreamId { number, is_response: true }
    }
}

#[derive(Debug)]
struct OutgoingData {
    bytes: Vec<u8>,
    sent: usize,
}

impl OutgoingData {
    fn remaining(&self) -> usize {
        self.bytes.len() - self.sent
    }
}

/// What waits to go out over one link.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    urgent: VecDeque<Vec<u8>>,
    short: VecDeque<Vec<u8>>,
    data: HashMap<StreamId, OutgoingData>,
    /// Streams that have something to send, and a window for it, in the order of their turns.
    turns: VecDeque<StreamId>,
    /// How many bytes more the other side takes of each stream.
    windows: HashMap<StreamId, usize>,
    /// The window that each stream begins with, as the other side greeted; zero before.
    initial_window: usize,
    queued: usize,
}

/// A frame as it is sent: its length in four bytes, and its Protocol Buffers form.
pub(crate) fn encode(kind: FrameKind) -> Vec<u8> {
    let frame = Frame { kind: Some(kind) };
    let length = frame.encoded_len();
    let mut out = Vec::with_capacity(4 + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    // Writing to a vector cannot fail.
    let _ = frame.encode(&mut out);
    out
}

impl Outbox {
    /// The other side has greeted; it takes `initial_window` bytes of each stream unasked.
    pub(crate) fn open(&mut self, initial_window: usize) {
        self.initial_window = initial_window;
        let streams: Vec<StreamId> = self.data.keys().copied().collect();
        for stream in streams {
            self.queue_turn(stream);
        }
    }

    /// Queues a frame that goes before all others.
    pub(crate) fn push_urgent(&mut self, kind: FrameKind) {
        let bytes = encode(kind);
        self.queued += bytes.len();
        self.urgent.push_back(bytes);
    }

    /// Queues a frame that goes before all data.
    pub(crate) fn push_short(&mut self, kind: FrameKind) {
        let bytes = encode(kind);
        self.queued += bytes.len();
        self.short.push_back(bytes);
    }

    /// Queues the data of a message that was announced by a short frame.
    pub(crate) fn push_data(&mut self, stream: StreamId, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        self.queued += bytes.len();
        self.data.insert(stream, OutgoingData { bytes, sent: 0 });
        self.queue_turn(stream);
    }

    /// The other side takes more of a stream. Its frame may come late, when the stream has ended.
    pub(crate) fn widen_window(&mut self, stream: StreamId, bytes: usize) {
        if !self.data.contains_key(&stream) {
            return;
        }
        let window = self.windows.entry(stream).or_insert(self.initial_window);
        let was_closed = *window == 0;
        *window = window.saturating_add(bytes);
        if was_closed {
            self.turns.push_back(stream);
        }
    }

    /// The rest of a stream is not to be sent.
    pub(crate) fn cancel_data(&mut self, stream: StreamId) {
        if let Some(data) = self.data.remove(&stream) {
            self.queued -= data.remaining();
        }
        self.windows.remove(&stream);
        self.turns.retain(|&turn| turn != stream);
    }

    /// How many bytes wait, whether or not a window is open for them.
    pub(crate) fn queued(&self) -> usize {
        self.queued
    }

    /// The next frame to go out.
    pub(crate) fn pop(&mut self) -> Option<Vec<u8>> {
        if let Some(bytes) = self.urgent.pop_front().or_else(|| self.short.pop_front()) {
            self.queued -= bytes.len();
            return Some(bytes);
        }
        self.pop_data()
    }

    /// The next part of the stream whose turn it is.
    fn pop_data(&mut self) -> Option<Vec<u8>> {
        let stream = self.turns.pop_front()?;
        let data = self.data.get_mut(&stream)?;
        let window = self.windows.entry(stream).or_insert(self.initial_window);
        let length = data.remaining().min(MAX_DATA_PART).min(*window);
        let bytes = data.bytes[data.sent..data.sent + length].to_vec();
        data.sent += length;
        *window -= length;
        self.queued -= length;
        if data.remaining() == 0 {
            self.data.remove(&stream);
            self.windows.remove(&stream);
        } else if *window > 0 {
            self.turns.push_back(stream);
        }
        Some(encode(FrameKind::Data(Data { number: stream.number, is_response: stream.is_response, bytes })))
    }

    fn queue_turn(&mut self, stream: StreamId) {
        let window = self.windows.get(&stream).copied().unwrap_or(self.initial_window);
        if window > 0 && !self.turns.contains(&stream) {
            self.turns.push_back(stream);
        }
    }
}

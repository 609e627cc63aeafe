//! What is to go out, in the order in which it goes: what keeps the link alive first, then short messages, then
//! parts of large ones in turn.

use std::collections::{HashMap, VecDeque};

use prost::Message;

use crate::frame::{Data, Frame, FrameKind};

/// No frame carries more of a statement or a value: nothing short waits longer than for one such part.
const PART: usize = 8 * 1024;

/// A stream's data: which request's, and whether it is a value.
pub(crate) type Stream = (u64, bool);

#[derive(Debug)]
struct Large {
    bytes: Vec<u8>,
    sent: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Outbox {
    urgent: VecDeque<Vec<u8>>,
    short: VecDeque<Vec<u8>>,
    large: HashMap<Stream, Large>,
    /// Streams that have something to send and may, in turn.
    turns: VecDeque<Stream>,
    /// How much of each stream's data the other side takes yet.
    windows: HashMap<Stream, usize>,
    window: usize,
    waiting: usize,
}

pub(crate) fn encode(kind: FrameKind) -> Vec<u8> {
    let frame = Frame { kind: Some(kind) };
    let length = frame.encoded_len();
    let mut out = Vec::with_capacity(4 + length);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    // A vector takes whatever is written.
    let _ = frame.encode(&mut out);
    out
}

impl Outbox {
    /// What the other side takes of a stream unasked.
    pub(crate) fn open(&mut self, window: usize) {
        self.window = window;
        let streams: Vec<Stream> = self.large.keys().copied().collect();
        streams.into_iter().for_each(|stream| self.take_turn(stream));
    }

    pub(crate) fn urgent(&mut self, kind: FrameKind) {
        let bytes = encode(kind);
        self.waiting += bytes.len();
        self.urgent.push_back(bytes);
    }

    pub(crate) fn short(&mut self, kind: FrameKind) {
        let bytes = encode(kind);
        self.waiting += bytes.len();
        self.short.push_back(bytes);
    }

    pub(crate) fn data(&mut self, stream: Stream, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        self.waiting += bytes.len();
        self.large.insert(stream, Large { bytes, sent: 0 });
        self.take_turn(stream);
    }

    /// The other side takes so much more. What was said of streams that are over says nothing.
    pub(crate) fn widen(&mut self, stream: Stream, bytes: usize) {
        if self.large.contains_key(&stream) {
            let window = self.windows.entry(stream).or_insert(self.window);
            let stood = std::mem::replace(window, window.saturating_add(bytes)) == 0;
            if stood {
                self.turns.push_back(stream);
            }
        }
    }

    /// Nothing more of a stream is to go out.
    pub(crate) fn drop_data(&mut self, stream: Stream) {
        if let Some(large) = self.large.remove(&stream) {
            self.waiting -= large.bytes.len() - large.sent;
        }
        self.windows.remove(&stream);
        self.turns.retain(|&turn| turn != stream);
    }

    /// Bytes that wait, whether or not they may go.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// The next frame to go out.
    pub(crate) fn next(&mut self) -> Option<Vec<u8>> {
        if let Some(bytes) = self.urgent.pop_front().or_else(|| self.short.pop_front()) {
            self.waiting -= bytes.len();
            return Some(bytes);
        }
        let stream = self.turns.pop_front()?;
        let large = self.large.get_mut(&stream)?;
        let window = self.windows.entry(stream).or_insert(self.window);
        let part = (large.bytes.len() - large.sent).min(PART).min(*window);
        let bytes = large.bytes[large.sent..large.sent + part].to_vec();
        large.sent += part;
        *window -= part;
        self.waiting -= part;
        let (done, may) = (large.sent == large.bytes.len(), *window > 0);
        if done {
            self.large.remove(&stream);
            self.windows.remove(&stream);
        } else if may {
            self.turns.push_back(stream);
        }
        Some(encode(FrameKind::Data(Data { number: stream.0, value: stream.1, bytes })))
    }

    fn take_turn(&mut self, stream: Stream) {
        let window = self.windows.get(&stream).copied().unwrap_or(self.window);
        if window > 0 && !self.turns.contains(&stream) {
            self.turns.push_back(stream);
        }
    }
}

//! The limits of a link, and who speaks on it.

use crate::Micros;

/// The largest frame that is taken, in bytes: twice the data that one frame carries, which leaves announcements of hundreds
/// of groups their place.
const MAX_FRAME: usize = 16 * 1024;
/// How much of a stream's data is taken before more is asked for, in bytes: a long line stays filled by a few streams.
const STREAM_WINDOW: u32 = 64 * 1024;
/// How many streams may be arriving at once; each of them holds up to a statement or a response in memory.
const MAX_STREAMS: usize = 4096;
/// How many bytes may wait to go out before no more input is taken, unless the caller has a limit of its own.
const MAX_QUEUED: usize = 4 * 1024 * 1024;
/// How often a ping goes out, in microseconds.
const HEARTBEAT_INTERVAL: Micros = 250_000;
/// After how long without a frame a link counts as dead, in microseconds: four pings in a row were lost.
const SILENCE_TIMEOUT: Micros = 1_000_000;

/// The limits and intervals of one link.
#[derive(Clone, Copy, Debug)]
pub struct LinkConfig {
    /// The largest frame that is taken, in bytes, its length prefix aside.
    pub max_frame: usize,
    /// The longest statement that is taken, in bytes.
    pub max_statement: usize,
    /// The longest response that is taken, in bytes.
    pub max_response: usize,
    /// How much of one stream's data is taken before more is asked for, in bytes.
    pub stream_window: u32,
    /// How many streams may have begun to arrive and not ended.
    pub max_streams: usize,
    /// How many bytes may wait to go out before no more input is taken.
    pub max_queued: usize,
    /// How often a ping goes out, in microseconds.
    pub heartbeat_interval: Micros,
    /// After how long without a frame the link counts as dead, in microseconds.
    pub silence_timeout: Micros,
}

impl LinkConfig {
    /// The usual limits, with the longest statement and response that the proxy takes, in bytes.
    pub fn standard(max_statement: usize, max_response: usize) -> LinkConfig {
        LinkConfig {
            max_frame: MAX_FRAME,
            max_statement,
            max_response,
            stream_window: STREAM_WINDOW,
            max_streams: MAX_STREAMS,
            max_queued: MAX_QUEUED,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            silence_timeout: SILENCE_TIMEOUT,
        }
    }
}

/// The process at one end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name of its site.
    pub site: String,
    /// The name of its instance within the site.
    pub instance: String,
    /// Differs between any two starts of that instance.
    pub incarnation: u64,
}

//! What a router holds: plain state, and what is read of it. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_statistics::Histogram;
use rand_pcg::Pcg64Mcg;

use crate::policy::{Backoff, RetryDetector};
use crate::{Actions, Learnt, MemberId, Micros, ReadShift, Request, Standing, Terms};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(pub(crate) u64);

/// The attempt of a request that is in flight.
#[derive(Clone, Copy)]
pub(crate) struct InFlight {
    pub(crate) member: MemberId,
    pub(crate) sent_at: Micros,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    pub(crate) sent_at: Micros,
    pub(crate) zone: usize,
}

/// How long the way to a member or a zone and back takes, by health checks of late.
#[derive(Clone, Copy, Default)]
pub(crate) struct RoundTrip {
    pub(crate) estimate: Micros,
    pub(crate) measured_at: Micros,
}

#[derive(Clone, Default)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) group: usize,
    pub(crate) arrived: Micros,
    pub(crate) objective_at: Micros,
    pub(crate) is_retry: bool,
    pub(crate) attempts: u32,
    pub(crate) unsent: u32,            // of these, that could not leave this machine
    pub(crate) tries_connection: bool, // its attempt is on a new connection where these failed
    pub(crate) out: Option<InFlight>,
    pub(crate) waits_from: Micros, // the same, without the time in which the driver stood still
    pub(crate) may_have_run: Option<FirstRun>,
    pub(crate) misses: usize,
    // how long its attempt's connection had, as a power of two; none where it is new
    pub(crate) rested: Option<usize>,
    pub(crate) erred: Vec<MemberId>, // that answered it with an error
    pub(crate) asked: bool,          // it has waited for a replica's word
    pub(crate) last: Option<MemberId>,
    pub(crate) closed: bool,
}

#[derive(Clone, Default)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) standing: Standing,
    pub(crate) since: Option<Micros>,
    pub(crate) size: f64,
    pub(crate) position: Micros,
    pub(crate) seen_primary: bool, // by its own word, and not since seen as replica
    pub(crate) demoted: Micros,    // the time of its newest word that it is a replica
    pub(crate) replica_heard: Micros, // when such a word was last heard
    pub(crate) not_primary: Micros, // the newest time at which it was known not to be the primary
    pub(crate) primary_position: Micros, // the newest that it told as primary, or zero
    pub(crate) heard: Micros,
    pub(crate) answered: Micros,
    pub(crate) newest_answered_sent: Micros, // when the newest attempt that it answered was sent
    pub(crate) lost_until: Micros, // it could not be reached; believed until then, or until it is heard
    pub(crate) fell: Option<Micros>, // since when its process seems dead; taken for cold when it is heard again
    pub(crate) blacklisted_until: Micros,
    pub(crate) failures: VecDeque<Micros>,
    pub(crate) malformed: usize, // attempts malformed or dropped since the last served one
    pub(crate) idle: Option<u32>, // connections known to be idle, since new ones to it failed here
    pub(crate) health_check_misses: u32,
    pub(crate) health_check_out: bool,
    pub(crate) health_checked: Micros,
    pub(crate) round_trip: RoundTrip, // by its own health checks
    pub(crate) out: Vec<Handle>,
    // attempts that may be out at once; below one, the part of the time that one may be
    pub(crate) window: f64,
    pub(crate) credit: f64, // attempts saved up at `credited`, where window or a cold part is below one
    pub(crate) credited: Micros,
    pub(crate) took: Histogram,
    pub(crate) sent: VecDeque<Micros>,
    pub(crate) served: f64, // attempts in one window of the overload rule, as of late
}

#[derive(Clone, Default)]
pub(crate) struct Group {
    pub(crate) members: Vec<MemberId>,   // by name
    pub(crate) preferred: Vec<MemberId>, // the same, in the order in which this router prefers them
    pub(crate) primary: Option<MemberId>,
    pub(crate) word: Micros, // the time of the newest word on the primary
    pub(crate) listed: Option<MemberId>,
    pub(crate) walk_after: Micros,
    pub(crate) search: PrimarySearch,
    pub(crate) owed: f64, // attempts due to the primary by its size and window, beyond those it had
    pub(crate) held: Vec<Handle>,
    pub(crate) read_shift: ReadShift,
}

/// The search for the primary of a group.
#[derive(Clone, Default)]
pub(crate) struct PrimarySearch {
    pub(crate) since: Micros, // what members said of their role before this round does not count
    pub(crate) next: usize,   // the position of the member that is asked next
    pub(crate) saved: f64,    // health checks due
}

/// What this router's own attempts wrote of a session.
#[derive(Clone, Copy, Default)]
pub(crate) struct Session {
    pub(crate) commit: Micros, // of its last write that ran or may have run, at the latest
    pub(crate) out: u32,       // writes that are out: each may have been committed by now
}

impl Session {
    /// What a read of the session must see now.
    pub(crate) fn floor(&self, now: Micros) -> Micros {
        if self.out > 0 { now } else { self.commit }
    }

    /// A write that was out has ended, and was committed by then at the latest: by now, if at all, where the answer
    /// does not tell.
    pub(crate) fn ended(&mut self, commit: Micros) {
        self.out -= 1;
        self.commit = self.commit.max(commit);
    }
}

#[derive(Clone)]
pub struct Router {
    pub(crate) terms: Terms,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) salt: u64, // sets this router's choices apart from those of others
    pub(crate) members: Vec<Member>,
    pub(crate) groups: Vec<Group>,
    pub(crate) group_ids: HashMap<u64, usize>,
    pub(crate) pending_requests: HashMap<Handle, PendingRequest>,
    pub(crate) next_handle: u64,
    pub(crate) sessions: HashMap<String, Session>,
    pub(crate) clock_offset: Micros, // what members' clock, by which positions are told, is ahead of this one
    pub(crate) forgotten: Option<Micros>, // a write of a session not found may be as new as that
    pub(crate) took: Vec<Histogram>,
    pub(crate) zone_round_trips: BTreeMap<usize, RoundTrip>,
    pub(crate) any_took: Histogram, // of attempts of all request classes together
    /// By request class.
    pub(crate) retry_detectors: Vec<RetryDetector>,
    pub(crate) warm_load: f64,
    pub(crate) mean_size: f64,
    pub(crate) allowance: f64,
    // the share met by silence of late, by how long the attempt's connection had rested
    pub(crate) rests: [f64; 6],
    pub(crate) tight_until: Micros, // a member lately had no connection to spare
    pub(crate) backoff: Backoff,    // of new connections that fail here
    pub(crate) next_beat: Micros,
    pub(crate) next_walk: Micros, // when all members are looked at again
    pub(crate) usual: f64,        // attempts in a beat, as of late
    pub(crate) attempted: f64,    // in this beat
    pub(crate) attempts: f64,     // in a beat, as of late, from a careful start
    pub(crate) rush_until: Micros,
    pub(crate) rush: f64, // attempts due until then
    pub(crate) ask_at: Micros,
    pub(crate) ask_wait: Micros,
    pub(crate) actions: Actions,
}

impl Router {
    /// A copy that goes on under other terms, to see how it would decide.
    pub fn under(&self, terms: &Terms) -> Router {
        Router { terms: terms.clone(), ..self.clone() }
    }

    pub fn knows(&self, handle: Handle) -> bool {
        self.pending_requests.contains_key(&handle)
    }

    pub fn learnt(&self) -> Learnt {
        let primary = |group: &Group| group.primary.map(|id| (id, group.word));
        let took = |of: &Histogram| (of.quantile(0.5).unwrap_or(0), of.quantile(0.9).unwrap_or(0));
        let window = |id: MemberId| (id, self.members[id].window.log2().floor() as i32);
        Learnt {
            primaries: self.groups.iter().filter_map(primary).collect(),
            took: self.took.iter().map(took).collect(),
            windows: (0..self.members.len()).map(window).collect(),
        }
    }

    /// Now by the members' clock: no position that is told later than this is older.
    pub(crate) fn members_now(&self, now: Micros) -> Micros {
        now + self.clock_offset
    }

    pub(crate) fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_beat);
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn group(&mut self, name: u64) -> usize {
        *self.group_ids.entry(name).or_insert_with(|| {
            self.groups.push(Group { word: Micros::MIN / 2, walk_after: Micros::MIN, ..Group::default() });
            self.groups.len() - 1
        })
    }
}

//! What a router holds: plain state, and what is read of it. Nothing is decided here.

use std::collections::{BTreeMap, HashMap, VecDeque};

use aldermill_measured::Histogram;
use rand_pcg::Pcg64Mcg;

use crate::policy::Backoff;
use crate::{Learnt, MemberId, Micros, Standing, Task, Terms, Todo};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle(pub(crate) u64);

#[derive(Clone, Default)]
pub(crate) struct Errand {
    pub(crate) task: Task,
    pub(crate) group: usize,
    pub(crate) arrived: Micros,
    pub(crate) quoted_by: Micros,
    pub(crate) repeat: bool,
    pub(crate) launches: u32,
    pub(crate) unsent: u32,            // of these, that could not leave this machine
    pub(crate) tries_connection: bool, // its launch is on a new connection where these failed
    pub(crate) out: Option<(MemberId, Micros)>, // where a launch is out, and since when
    pub(crate) waits_from: Micros,     // the same, without the time in which the driver stood still
    pub(crate) may_have_run: Option<(Micros, usize)>, // when first, and in which zone
    pub(crate) misses: usize,
    pub(crate) rested: Option<usize>, // how long its launch's connection had, as a power of two; none where it is new
    pub(crate) erred: Vec<MemberId>,  // that answered it with an error
    pub(crate) asked: bool,           // it has waited for a replica's word
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
    pub(crate) overtaken: Micros, // when the newest launch that it answered was sent
    pub(crate) lost_until: Micros, // it could not be reached; believed until then, or until it is heard
    pub(crate) fell: Option<Micros>, // since when its process seems dead; taken for cold when it is heard again
    pub(crate) barred_until: Micros,
    pub(crate) failures: VecDeque<Micros>,
    pub(crate) spoilt: usize, // launches spoilt or dropped since the last honoured one
    pub(crate) idle: Option<u32>, // connections known to be idle, since new ones to it failed here
    pub(crate) probe_misses: u32,
    pub(crate) probe_out: bool,
    pub(crate) probed: Micros,
    pub(crate) way: (Micros, Micros), // there and back by its own probes, and when last heard
    pub(crate) out: Vec<Handle>,
    pub(crate) window: f64, // launches that may be out at once; below one, the part of the time that one may be
    pub(crate) credit: f64, // launches saved up at `credited`, where window or a cold part is below one
    pub(crate) credited: Micros,
    pub(crate) took: Histogram,
    pub(crate) sent: VecDeque<Micros>,
    pub(crate) honoured: f64, // launches in one window of the overload rule, as of late
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
    pub(crate) owed: f64, // launches due to the primary by its size and window, beyond those it had
    pub(crate) held: Vec<Handle>,
    pub(crate) lean: (f64, BTreeMap<usize, f64>), // what the fleet decreed: the part that goes away, and where
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
    pub(crate) errands: HashMap<Handle, Errand>,
    pub(crate) next_handle: u64,
    pub(crate) sessions: HashMap<String, Session>,
    pub(crate) clock_offset: Micros, // what members' clock, by which positions are told, is ahead of this one
    pub(crate) forgotten: Option<Micros>, // a write of a session not found may be as new as that
    pub(crate) took: Vec<Histogram>,
    pub(crate) ways: BTreeMap<usize, (Micros, Micros)>, // there and back by zone, and when last heard
    pub(crate) any_took: Histogram,                     // of launches of all offerings together
    pub(crate) usual_wait: Vec<(Micros, i32)>, // that most tasks of an offering bring, and how sure that is
    pub(crate) warm_load: f64,
    pub(crate) mean_size: f64,
    pub(crate) allowance: f64,
    pub(crate) rests: [f64; 6], // the share met by silence of late, by how long the launch's connection had rested
    pub(crate) tight_until: Micros, // a member lately had no connection to spare
    pub(crate) backoff: Backoff, // of new connections that fail here
    pub(crate) next_beat: Micros,
    pub(crate) next_walk: Micros, // when all members are looked at again
    pub(crate) usual: f64,        // launches in a beat, as of late
    pub(crate) launched: f64,     // in this beat
    pub(crate) attempts: f64,     // in a beat, as of late, from a careful start
    pub(crate) rush_until: Micros,
    pub(crate) rush: f64, // launches due until then
    pub(crate) ask_at: Micros,
    pub(crate) ask_wait: Micros,
    pub(crate) todo: Todo,
}

impl Router {
    /// A copy that goes on under other terms, to see how it would decide.
    pub fn under(&self, terms: &Terms) -> Router {
        Router { terms: terms.clone(), ..self.clone() }
    }

    pub fn knows(&self, handle: Handle) -> bool {
        self.errands.contains_key(&handle)
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

    pub(crate) fn take_todo(&mut self) -> Todo {
        self.todo.wake_at = Some(self.next_beat);
        std::mem::take(&mut self.todo)
    }

    pub(crate) fn group(&mut self, name: u64) -> usize {
        *self.group_ids.entry(name).or_insert_with(|| {
            self.groups.push(Group { word: Micros::MIN / 2, walk_after: Micros::MIN, ..Group::default() });
            self.groups.len() - 1
        })
    }
}

//! What is done to a fleet, as a plan has it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From the first client on.
    pub at_ms: u64,
    #[serde(rename = "do")]
    pub what: What,
}

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// SIGSTOP, and SIGCONT after so long; again and again where `times` is more than one.
    Stop {
        share: f64,
        for_ms: u64,
        #[serde(default = "one")]
        times: u32,
        #[serde(default)]
        every_ms: u64,
    },
    /// SIGKILL, and a start under the same name and address after so long.
    Kill {
        share: f64,
        down_ms: u64,
        #[serde(default)]
        folder: Folder,
        #[serde(default)]
        known: Known,
    },
    /// SIGTERM, and a start once it has ended, at the soonest after so long.
    Terminate {
        share: f64,
        down_ms: u64,
        /// SIGKILL for those that have not ended after so long. It excuses nothing.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kill_after_ms: Option<u64>,
    },
    /// Processes may have only so many descriptors more than they have open (RLIMIT_NOFILE), for so long.
    Descriptors {
        share: f64,
        spare: u64,
        for_ms: u64,
    },
    /// The list is elsewhere from now on: the configuration is written anew, and SIGHUP sent.
    MoveList {
        share: f64,
    },
    /// Nothing comes through, and nothing is said.
    Cut {
        between: Between,
        share: f64,
        way: Way,
        for_ms: u64,
    },
    /// What is sent waits, and then comes all at once.
    Hold {
        between: Between,
        share: f64,
        way: Way,
        for_ms: u64,
    },
    Delay {
        between: Between,
        share: f64,
        ms: u64,
        jitter_ms: u64,
        for_ms: u64,
    },
    /// The connection that carries the byte after so many more is cut there.
    CutAt {
        between: Between,
        share: f64,
        way: Way,
        bytes: usize,
    },
    /// The far ends close, and the near ones are not told.
    HalfOpen {
        between: Between,
        share: f64,
        for_ms: u64,
    },
    /// The group has no primary for so long, then the next member is.
    MovePrimary {
        group: usize,
        election_ms: u64,
    },
    /// Members die, and come back cold after so long.
    KillMembers {
        share: f64,
        down_ms: u64,
    },
    HangMembers {
        share: f64,
        for_ms: u64,
    },
    /// One replica of a group is drained, gone from the list after so long.
    Drain {
        group: usize,
        gone_ms: u64,
    },
    List {
        how: Agent,
        for_ms: u64,
    },
    /// Whoever holds the duty is struck.
    Holder {
        duty: String,
        how: Strike,
        for_ms: u64,
    },
    /// All members of a zone die, and come back cold after so long.
    ZoneLost {
        zone: usize,
        for_ms: u64,
    },
    /// Nothing comes through between a zone and the others, drivers among themselves included.
    ZoneCut {
        zone: usize,
        for_ms: u64,
    },
    /// One driver's operator says that a site retires, by SIGHUP.
    Retire {
        site: usize,
        order: Order,
        by_s: u64,
    },
    /// All drivers of a site are killed, and started after so long.
    SiteDown {
        site: usize,
        down_ms: u64,
    },
    /// Nothing comes over the links of a site's gateways.
    SiteCut {
        site: usize,
        for_ms: u64,
    },
    /// Members of a zone are reached so much later, by a share of all drivers.
    ZoneFar {
        zone: usize,
        share: f64,
        ms: u64,
        for_ms: u64,
    },
}

/// What an operator says of a site that retires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    Goes,
    Held,
    TakenBack,
    Hurried,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Strike {
    /// SIGKILL, and a start after the time is over; SIGTERM likewise.
    Kill,
    Terminate,
    /// SIGSTOP for so long.
    Stop,
    /// What drivers say to each other does not reach it, does not leave it, or neither.
    CutThere,
    CutBack,
    CutBoth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Between {
    /// Drivers (the share is of these) and all members.
    DriversMembers,
    DriversLists,
    ClientsDrivers,
    /// Some drivers and all others: what they say to each other.
    DriversDrivers,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    There,
    Back,
    Both,
}

impl Way {
    /// The same, seen from the other side.
    pub fn turned(self) -> Way {
        match self {
            Way::There => Way::Back,
            Way::Back => Way::There,
            Way::Both => Way::Both,
        }
    }

    pub fn each(self) -> [bool; 2] {
        [self != Way::Back, self != Way::There]
    }
}

/// What a restarted driver finds in its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Folder {
    #[default]
    AsLeft,
    Emptied,
    /// The last file ends in the midst of a record.
    Torn,
    /// Another driver's.
    Foreign,
    /// As it was when the run began.
    Older,
    /// Written by a later version.
    Newer,
}

/// The list in a restarted driver's configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Known {
    #[default]
    AtStart,
    Nothing,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Agent {
    #[default]
    Well,
    /// It takes calls and says nothing.
    Silent,
    /// It says the list as it was at the start.
    Older,
    /// Nobody is there.
    Gone,
    /// What it says comes in small pieces, each list over about a second.
    Slow,
    /// Every second call is refused (503).
    Crowded,
}

fn one() -> u32 {
    1
}

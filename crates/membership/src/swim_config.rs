//! Parameters of the SWIM protocol.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::PeriodicParams;

use crate::Micros;
use crate::config::ProtocolPeriods;
use crate::frame;

/// Number of other proxies that are asked to probe indirectly after an unanswered direct probe.
const INDIRECT_PROBES: usize = 3;
/// Number of proxies to which a change is gossiped per round.
const GOSSIP_FANOUT: usize = 3;
/// Number of times that each proxy passes on a change, for each factor of ten in the fleet size. With this number a change
/// reaches all proxies almost certainly.
const TRANSMISSIONS_PER_DECADE: f64 = 4.0;
/// Lower bound of the number of times that each proxy passes on a change.
const MIN_TRANSMISSIONS: f64 = 2.0;
/// Upper bound of the number of times that each proxy passes on a change.
const MAX_TRANSMISSIONS: f64 = 40.0;
/// Time between two requests for the peer list of a random live proxy, which repair what gossip has missed.
const PEER_LIST_REQUEST_INTERVAL: Duration = Duration::from_secs(20);
/// Time for which a proxy that was declared dead is remembered, so that outdated gossip does not revive it.
const DOWN_RETENTION: Duration = Duration::from_secs(3600);

/// Converts the settings of this crate into a `foca` configuration.
pub(crate) fn swim_config(periods: ProtocolPeriods, fleet_size: usize) -> foca::Config {
    let duration = |micros: Micros| Duration::from_micros(micros.max(1) as u64);
    let non_zero = |count| NonZeroUsize::new(count).expect("the count is a non-zero constant");
    let periodic = |frequency, peers| Some(PeriodicParams { frequency, num_members: non_zero(peers) });
    let transmissions = (TRANSMISSIONS_PER_DECADE * (fleet_size as f64 + 1.0).log10()).ceil();
    let transmissions = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
    foca::Config {
        probe_period: duration(periods.probe_interval),
        probe_rtt: duration(periods.probe_timeout),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(transmissions).expect("MIN_TRANSMISSIONS is above zero"),
        suspect_to_down_after: duration(periods.suspicion_timeout),
        remove_down_after: DOWN_RETENTION,
        max_packet_size: non_zero(frame::MAX_DATAGRAM_BYTES - frame::HEADER_BYTES),
        notify_down_members: true,
        periodic_announce: periodic(PEER_LIST_REQUEST_INTERVAL, 1),
        // Lets proxies that were declared dead by mistake, or were cut off, return to the fleet.
        periodic_announce_to_down_members: periodic(duration(periods.suspicion_timeout), 1),
        periodic_gossip: periodic(duration(periods.gossip_interval), GOSSIP_FANOUT),
    }
}

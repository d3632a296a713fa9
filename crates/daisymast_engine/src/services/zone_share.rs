//! Splits the replicas of a service among the availability zones.

use daisymast_manifest::manifest::Service;
use daisymast_types::hashing;
use daisymast_types::ids::Zone;

use crate::shared::Context;

/// Number of replica indexes reserved for each zone.
const INDEXES_PER_ZONE: u32 = 10_000;

/// The replicas of a service that one zone runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ZoneShare {
    /// Number of replicas.
    pub(super) replicas: u32,
    /// Lowest index of the zone's replicas.
    pub(super) first_index: u32,
}

/// The `known` zones and the own zone, sorted and without duplicates.
pub(super) fn known_zones<'a>(
    known: impl Iterator<Item = &'a Zone>,
    cx: &Context<'_>,
) -> Vec<Zone> {
    let mut zones: Vec<Zone> = known.cloned().collect();
    zones.push(cx.config.zone.clone());
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// The share of zone `own` in the replicas of a service. The remainder of an uneven division goes
/// to the zones with the highest hashes, so that the extra replicas of many services do not all go
/// to the first zone. A service without declared zones runs in all `known` ones.
pub(super) fn zone_share(service: &Service, known: &[Zone], own: &Zone) -> ZoneShare {
    let mut zones = if service.zones.is_empty() {
        known.to_vec()
    } else {
        service.zones.clone()
    };
    zones.sort_unstable();
    zones.dedup();
    let Some(ordinal) = zones.iter().position(|zone| zone == own) else {
        return ZoneShare {
            replicas: 0,
            first_index: 0,
        };
    };
    let count = u32::try_from(zones.len()).unwrap_or(u32::MAX);
    let score = |zone: &Zone| {
        let name = service.name.as_str().as_bytes();
        hashing::stable_hash_pair(name, zone.as_str().as_bytes())
    };
    let own_score = (score(own), own);
    let ahead = zones
        .iter()
        .filter(|zone| (score(zone), *zone) > own_score)
        .count();
    let is_extra = u32::try_from(ahead).unwrap_or(u32::MAX) < service.replicas % count;
    let ordinal = u32::try_from(ordinal).unwrap_or(u32::MAX);
    ZoneShare {
        replicas: (service.replicas / count + u32::from(is_extra)).min(INDEXES_PER_ZONE),
        first_index: ordinal.saturating_mul(INDEXES_PER_ZONE),
    }
}

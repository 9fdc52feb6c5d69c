//! The configuration versions, rules and segment owners that a broker may act on; the broker checks them before each
//! action.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunepond_quota::Allocation;
use dunepond_shard_map::{MapTransition, TransitionPhase, VerifiedMap};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, RoutingRules, strictest_rules};

/// Retry-After, in seconds, with which a broker that has never had a lease rejects non-idempotent parts.
const UNLEASED_RETRY_AFTER_SECONDS: f64 = 1.0;

/// Which configuration versions a broker acts on at one moment. The values are the versions' numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigPhase {
    /// The broker knows no configuration version.
    Unconfigured,
    /// The broker acts only on the version of this number.
    Active(u64),
    /// The broker acts on the stricter values of the active and the proposed version, field by field. The first number
    /// is that of the active version, the second that of the proposed one.
    Joint(u64, u64),
    /// The broker has no valid lease: it acts on the strictest rules of the versions that it knows, and rejects
    /// non-idempotent parts of queries. The value is the number of the last known active version, or 0 if none is
    /// known.
    LeaseExpired(u64),
}

/// Which node may be sent non-idempotent parts of queries for a segment. A shard map restricts these parts to the
/// segment's owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SegmentOwner<'a> {
    /// No shard map names an owner of the segment, so any of its replicas may be sent non-idempotent parts of queries.
    AnyReplica,
    /// Only the node of this name, the segment's owner, may be sent non-idempotent parts of queries for the segment.
    Node(&'a str),
    /// No node may be sent non-idempotent parts of queries for the segment at present; the value is the Retry-After in
    /// seconds.
    Unavailable(f64),
}

/// This broker's shares of fleet-wide quotas, as known at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView<'a> {
    /// The allocation in the last lease grant since the process started; `None` before the first grant.
    pub allocation: Option<&'a Allocation>,
    /// Whether the broker had a valid lease when this view was taken; without a lease only the floor of each quota may
    /// be used.
    pub lease_valid: bool,
}

/// The version or versions that a broker acts on while it has a valid lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ApplicableVersions {
    /// Only the active version.
    Active,
    /// The joint configuration: the stricter values of the active and the proposed version, field by field.
    Joint,
    /// Only the proposed version.
    Proposed,
}

/// The versions, rules and segment owners that a broker may act on. It is cheap to clone. The lease client makes a new
/// one when the versions change and when a lease is granted. Methods whose result depends on the lease take the present
/// clock reading, so that a process that was suspended does not act on an expired lease.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    snapshot: Arc<ConfigSnapshot>,
    /// The last clock reading of the lease client when it returned this value. If a later call passes an earlier
    /// reading, the clock went back, and the lease does not count as valid.
    taken_at: f64,
}

/// The part of a lease client's state that an [`ActiveConfig`] contains.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSnapshot {
    pub active: Option<Arc<ConfigVersion>>,
    pub proposed: Option<Arc<ConfigVersion>>,
    /// The verified shard map of the active version, if it has one.
    pub active_map: Option<VerifiedMap>,
    /// The verified shard map of the proposed version, if it has one.
    pub proposed_map: Option<VerifiedMap>,
    /// The transition from the active version's shard map to the proposed version's, if both have one and they differ.
    pub transition: Option<MapTransition>,
    /// The version or versions that the broker acts on while it has a valid lease.
    pub applicable_versions: ApplicableVersions,
    /// Start of the lease in seconds on the broker's own clock: the time at which its request was sent.
    pub lease_from: f64,
    /// End of the lease in seconds on the broker's own clock, exclusive.
    pub lease_until: f64,
    /// Whether configuration versions may have a shard map.
    pub maps_enabled: bool,
    /// Whether a lease was granted since the process started.
    pub had_lease: bool,
    pub allocation: Option<Allocation>,
    /// Retry-After, in seconds, with which non-idempotent parts are rejected while no node may be sent them.
    pub retry_after_seconds: f64,
    /// The rules that apply while the lease is valid.
    leased_rules: Option<RoutingRules>,
    /// The strictest combination of the rules of the known versions; it applies without a valid lease.
    strictest_rules: Option<RoutingRules>,
    /// Names of the nodes that the active or the proposed version excludes.
    excluded_nodes: BTreeSet<String>,
}

impl ConfigSnapshot {
    pub fn unleased(maps_enabled: bool, retry_after_seconds: f64) -> Self {
        Self {
            active: None,
            proposed: None,
            active_map: None,
            proposed_map: None,
            transition: None,
            applicable_versions: ApplicableVersions::Active,
            lease_from: 0.0,
            lease_until: f64::NEG_INFINITY,
            maps_enabled,
            had_lease: false,
            allocation: None,
            retry_after_seconds,
            leased_rules: None,
            strictest_rules: None,
            excluded_nodes: BTreeSet::new(),
        }
    }

    /// Makes an [`ActiveConfig`] from this snapshot, after computing its rules and excluded nodes from the versions.
    pub fn into_active_config(mut self) -> ActiveConfig {
        let rules =
            |version: &Option<Arc<ConfigVersion>>| version.as_ref().map(|version| version.rules.clone());
        let (active, proposed) = (rules(&self.active), rules(&self.proposed));
        self.strictest_rules = match (&active, &proposed) {
            (Some(active), Some(proposed)) => Some(strictest_rules(active, proposed)),
            (active, proposed) => active.clone().or(proposed.clone()),
        };
        self.leased_rules = match self.applicable_versions {
            ApplicableVersions::Active => active,
            ApplicableVersions::Joint => self.strictest_rules.clone(),
            ApplicableVersions::Proposed => proposed,
        };
        let excluded = self.active.iter().chain(&self.proposed).map(|version| &version.excluded_nodes);
        self.excluded_nodes =
            excluded.flat_map(|nodes| nodes.draining.iter().chain(&nodes.removed)).cloned().collect();
        ActiveConfig { snapshot: Arc::new(self), taken_at: f64::NEG_INFINITY }
    }
}

fn owner_of(map: &VerifiedMap, segment: u64) -> Option<&str> {
    map.segment(segment).map(|segment| segment.owner.as_str())
}

/// The nodes whose replicas of a segment are filled; `None` if the map does not name the segment.
fn filled_replicas(map: &VerifiedMap, segment: u64) -> Option<Vec<&str>> {
    let segment = map.segment(segment)?;
    let nodes = segment.replicas.iter().map(|replica| replica.node.as_str());
    Some(nodes.filter(|node| map.is_filled(segment, node)).collect())
}

impl ActiveConfig {
    /// The configuration of a broker that has had no lease and knows no version: non-idempotent parts are rejected.
    pub fn unleased() -> Self {
        ConfigSnapshot::unleased(true, UNLEASED_RETRY_AFTER_SECONDS).into_active_config()
    }

    pub(crate) fn taken_at(&self, taken_at: f64) -> Self {
        Self { snapshot: self.snapshot.clone(), taken_at }
    }

    /// Whether the lease is valid at `now`. The other methods use `now` only for this check.
    // A reading before `taken_at` means that the clock went back, so it cannot show whether the lease has ended. This
    // also covers the first action after a suspension, before the lease client has read the clock.
    pub fn lease_valid(&self, now: f64) -> bool {
        let snapshot = &self.snapshot;
        let is_within_lease = snapshot.lease_from <= now && now < snapshot.lease_until;
        snapshot.had_lease && is_within_lease && self.taken_at <= now
    }

    /// When the request for the lease was sent, in seconds on the broker's own clock.
    pub fn lease_started_at(&self) -> f64 {
        self.snapshot.lease_from
    }

    /// When the lease ends, in seconds on the broker's own clock; negative infinity if there was no lease.
    pub fn lease_expires_at(&self) -> f64 {
        self.snapshot.lease_until
    }

    /// The configuration versions that the broker acts on at `now`.
    pub fn phase(&self, now: f64) -> ConfigPhase {
        let (active, proposed) = (self.active_number(), self.proposed_number().unwrap_or(0));
        if active == 0 && proposed == 0 {
            return ConfigPhase::Unconfigured;
        }
        if !self.lease_valid(now) {
            return ConfigPhase::LeaseExpired(active);
        }
        match self.snapshot.applicable_versions {
            ApplicableVersions::Active if active == 0 => ConfigPhase::Unconfigured,
            ApplicableVersions::Active => ConfigPhase::Active(active),
            ApplicableVersions::Joint => ConfigPhase::Joint(active, proposed),
            ApplicableVersions::Proposed => ConfigPhase::Active(proposed),
        }
    }

    /// The rules that apply at `now`. Without a lease they are the strictest of all known rules; `None` means that the
    /// broker's own settings apply.
    pub fn rules(&self, now: f64) -> Option<&RoutingRules> {
        let snapshot = &self.snapshot;
        if self.lease_valid(now) { snapshot.leased_rules.as_ref() } else { snapshot.strictest_rules.as_ref() }
    }

    /// This broker's shares of fleet-wide quotas at `now`, for [`dunepond_quota::LocalQuota::available_units`].
    pub fn quota(&self, now: f64) -> QuotaView<'_> {
        QuotaView { allocation: self.snapshot.allocation.as_ref(), lease_valid: self.lease_valid(now) }
    }

    /// The node to which non-idempotent parts of queries for `segment` may be sent at `now`.
    pub fn owner(&self, segment: u64, now: f64) -> SegmentOwner<'_> {
        let snapshot = &self.snapshot;
        let unavailable = SegmentOwner::Unavailable(snapshot.retry_after_seconds);
        let (active, proposed) = (snapshot.active_map.as_ref(), snapshot.proposed_map.as_ref());
        if !self.lease_valid(now) {
            // Without a lease this broker may not know yet that the owner of the segment changed, or that a first shard
            // map became active.
            let maps_impossible = snapshot.had_lease && !snapshot.maps_enabled;
            let has_no_map = active.is_none() && proposed.is_none();
            return if maps_impossible && has_no_map { SegmentOwner::AnyReplica } else { unavailable };
        }
        let owner = match (snapshot.applicable_versions, active, proposed) {
            (ApplicableVersions::Active, None, _) | (_, None, None) => return SegmentOwner::AnyReplica,
            (ApplicableVersions::Active, Some(active), _) => owner_of(active, segment),
            (ApplicableVersions::Proposed, _, Some(proposed)) => owner_of(proposed, segment),
            // A version without a map allows any owner, so the owner of the other version's map satisfies both.
            (ApplicableVersions::Joint, None, Some(map)) => owner_of(map, segment),
            (ApplicableVersions::Joint | ApplicableVersions::Proposed, Some(map), None) => {
                owner_of(map, segment)
            }
            (ApplicableVersions::Joint, Some(active), Some(proposed)) => match &snapshot.transition {
                Some(transition) => transition.owner_of_segment(segment, TransitionPhase::Joint),
                // If there is no shard map transition, both versions have the same map.
                None => {
                    let owner = owner_of(active, segment);
                    owner.filter(|owner| owner_of(proposed, segment) == Some(*owner))
                }
            },
        };
        owner.map_or(unavailable, SegmentOwner::Node)
    }

    /// The nodes from which `segment` may be read at `now`: those that are filled in the map of each version that the broker acts
    /// on, or without a lease of each version that it knows. If no node is filled in both maps, those of the active one, which
    /// still hold the segment. `None` if the maps do not name the segment.
    pub fn readable_replicas(&self, segment: u64, now: f64) -> Option<Vec<&str>> {
        let snapshot = &self.snapshot;
        let (active, proposed) = (snapshot.active_map.as_ref(), snapshot.proposed_map.as_ref());
        let (first, second) = match (self.lease_valid(now), snapshot.applicable_versions) {
            (true, ApplicableVersions::Active) => (active, None),
            (true, ApplicableVersions::Proposed) => (proposed.or(active), None),
            _ => (active, proposed),
        };
        let filled = [first, second].map(|map| filled_replicas(map?, segment));
        match filled.into() {
            (Some(first), Some(second)) => {
                let both: Vec<_> = first.iter().copied().filter(|node| second.contains(node)).collect();
                Some(if both.is_empty() { first } else { both })
            }
            (first, second) => first.or(second),
        }
    }

    /// Whether the active or the proposed version excludes the node, so that no new attempt may be sent to it.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.snapshot.excluded_nodes.contains(node)
    }

    /// The shard map whose segments the parts of a query have to cover at `now`: the proposed version's map if the
    /// broker acts only on that version or if the active version has no map, otherwise the active version's map. `None`
    /// if no known version has a map.
    pub fn map(&self, now: f64) -> Option<&VerifiedMap> {
        let snapshot = &self.snapshot;
        if snapshot.applicable_versions == ApplicableVersions::Proposed && self.lease_valid(now) {
            return snapshot.proposed_map.as_ref();
        }
        snapshot.active_map.as_ref().or(snapshot.proposed_map.as_ref())
    }

    /// Number of the active version as of the last adopted grant; 0 if there is none.
    pub fn active_number(&self) -> u64 {
        self.snapshot.active.as_ref().map_or(0, |version| version.number)
    }

    /// Number of the proposed version, if there is one.
    pub fn proposed_number(&self) -> Option<u64> {
        self.snapshot.proposed.as_ref().map(|version| version.number)
    }

    /// The active and the proposed version; `None` for one that does not exist.
    pub fn versions(&self) -> (Option<&ConfigVersion>, Option<&ConfigVersion>) {
        (self.snapshot.active.as_deref(), self.snapshot.proposed.as_deref())
    }

    /// The transition from the active map to the proposed one, with the fills that it requires and their source nodes.
    pub fn map_transition(&self) -> Option<&MapTransition> {
        self.snapshot.transition.as_ref()
    }
}

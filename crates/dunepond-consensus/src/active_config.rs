//! What a broker may act on, asked before each action.

use std::collections::BTreeSet;
use std::sync::Arc;

use dunepond_quota::Allocation;
use dunepond_shard_map::{MapTransition, TransitionPhase, VerifiedMap};
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, RoutingRules, strictest_rules};

/// Retry-After, in seconds, of a broker that has never had a lease.
const UNLEASED_RETRY_AFTER_SECONDS: f64 = 1.0;

/// Which versions a broker acts on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigPhase {
    /// No version is known.
    Unconfigured,
    /// On this version alone.
    Active(u64),
    /// On the stricter of the active and the proposed version, field by field.
    Joint(u64, u64),
    /// Without a lease: on the strictest of what is known, and without non-idempotent parts.
    LeaseExpired(u64),
}

/// Which node may be sent the non-idempotent parts of a segment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SegmentOwner<'a> {
    /// There is no map: any replica.
    AnyReplica,
    /// Only this one.
    Node(&'a str),
    /// Nobody for now; Retry-After in seconds.
    Unavailable(f64),
}

/// What is known of this broker's shares of fleet-wide quotas, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView<'a> {
    /// As last heard in this run.
    pub allocation: Option<&'a Allocation>,
    /// The lease covers the moment; without it only the floor is left.
    pub lease_valid: bool,
}

/// Which of the two versions of a change a broker acts on while it holds a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RolloutSide {
    Active,
    Joint,
    Proposed,
}

/// What a broker may act on. Cheap to clone; a new one is made at each change and each lease. Every answer is for the
/// moment that is handed in, so that a process that was suspended does not act on an expired lease.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    snapshot: Arc<ConfigSnapshot>,
    /// What the clock showed as this was taken from the lease client; no later moment is before that.
    taken_at: f64,
}

/// The state of a lease client from which [`ActiveConfig`]s are made.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSnapshot {
    pub active: Option<Arc<ConfigVersion>>,
    pub proposed: Option<Arc<ConfigVersion>>,
    pub active_proof: Option<VerifiedMap>,
    pub proposed_proof: Option<VerifiedMap>,
    pub transition: Option<MapTransition>,
    pub side: RolloutSide,
    /// The lease covers own times from `lease_from`, when its request was sent, up to `lease_until`, this excluded.
    pub lease_from: f64,
    pub lease_until: f64,
    /// Versions may have a map.
    pub maps_enabled: bool,
    /// A lease was granted in this run.
    pub had_lease: bool,
    pub allocation: Option<Allocation>,
    pub retry_after_seconds: f64,
    leased_rules: Option<RoutingRules>,
    strictest_rules: Option<RoutingRules>,
    excluded_nodes: BTreeSet<String>,
}

impl ConfigSnapshot {
    pub fn unleased(maps_enabled: bool, retry_after_seconds: f64) -> Self {
        Self {
            active: None,
            proposed: None,
            active_proof: None,
            proposed_proof: None,
            transition: None,
            side: RolloutSide::Active,
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

    /// Derives what follows from the versions.
    pub fn into_active_config(mut self) -> ActiveConfig {
        let rules = |version: &Option<Arc<ConfigVersion>>| version.as_ref().map(|it| it.rules.clone());
        let (active, proposed) = (rules(&self.active), rules(&self.proposed));
        self.strictest_rules = match (&active, &proposed) {
            (Some(active), Some(proposed)) => Some(strictest_rules(active, proposed)),
            (active, proposed) => active.clone().or(proposed.clone()),
        };
        self.leased_rules = match self.side {
            RolloutSide::Active => active,
            RolloutSide::Joint => self.strictest_rules.clone(),
            RolloutSide::Proposed => proposed,
        };
        let excluded = self.active.iter().chain(&self.proposed).map(|version| &version.excluded_nodes);
        self.excluded_nodes =
            excluded.flat_map(|nodes| nodes.draining.iter().chain(&nodes.removed)).cloned().collect();
        ActiveConfig { snapshot: Arc::new(self), taken_at: f64::NEG_INFINITY }
    }
}

fn owner_of(proof: &VerifiedMap, segment: u64) -> Option<&str> {
    proof.segment(segment).map(|segment| segment.owner.as_str())
}

impl ActiveConfig {
    /// Of a broker that has had no lease and knows nothing: non-idempotent parts are rejected.
    pub fn unleased() -> Self {
        ConfigSnapshot::unleased(true, UNLEASED_RETRY_AFTER_SECONDS).into_active_config()
    }

    pub(crate) fn taken_at(&self, taken_at: f64) -> Self {
        Self { snapshot: self.snapshot.clone(), taken_at }
    }

    /// Whether a lease covers `now`. All other answers are the same at any two moments for which this one is.
    // A reading before `taken_at` means that the clock went back, and says nothing about the end of the lease: also in the
    // first action after a suspension, before the lease client has looked at the clock.
    pub fn lease_valid(&self, now: f64) -> bool {
        let snapshot = &self.snapshot;
        let covers_now = snapshot.lease_from <= now && now < snapshot.lease_until;
        snapshot.had_lease && covers_now && self.taken_at <= now
    }

    /// When the request for the lease was sent, on the own clock.
    pub fn lease_started_at(&self) -> f64 {
        self.snapshot.lease_from
    }

    /// End of the lease on the own clock; in the past if there was none.
    pub fn lease_expires_at(&self) -> f64 {
        self.snapshot.lease_until
    }

    /// Which versions apply.
    pub fn phase(&self, now: f64) -> ConfigPhase {
        let (active, proposed) = (self.active_number(), self.proposed_number().unwrap_or(0));
        if active == 0 && proposed == 0 {
            return ConfigPhase::Unconfigured;
        }
        if !self.lease_valid(now) {
            return ConfigPhase::LeaseExpired(active);
        }
        match self.snapshot.side {
            RolloutSide::Active if active == 0 => ConfigPhase::Unconfigured,
            RolloutSide::Active => ConfigPhase::Active(active),
            RolloutSide::Joint => ConfigPhase::Joint(active, proposed),
            RolloutSide::Proposed => ConfigPhase::Active(proposed),
        }
    }

    /// The rules that apply, without a lease the strictest of all known ones; `None`: the broker's own settings.
    pub fn rules(&self, now: f64) -> Option<&RoutingRules> {
        let snapshot = &self.snapshot;
        if self.lease_valid(now) { snapshot.leased_rules.as_ref() } else { snapshot.strictest_rules.as_ref() }
    }

    /// This broker's shares of fleet-wide quotas, for [`dunepond_quota::LocalQuota::available_units`].
    pub fn quota(&self, now: f64) -> QuotaView<'_> {
        QuotaView { allocation: self.snapshot.allocation.as_ref(), lease_valid: self.lease_valid(now) }
    }

    /// Which node may be sent the non-idempotent parts of `segment`.
    pub fn owner(&self, segment: u64, now: f64) -> SegmentOwner<'_> {
        let snapshot = &self.snapshot;
        let unavailable = SegmentOwner::Unavailable(snapshot.retry_after_seconds);
        let (active, proposed) = (snapshot.active_proof.as_ref(), snapshot.proposed_proof.as_ref());
        if !self.lease_valid(now) {
            // Unheard, another node may be the owner by now, or the first map may be active.
            let maps_impossible = snapshot.had_lease && !snapshot.maps_enabled;
            let has_no_map = active.is_none() && proposed.is_none();
            return if maps_impossible && has_no_map { SegmentOwner::AnyReplica } else { unavailable };
        }
        let owner = match (snapshot.side, active, proposed) {
            (RolloutSide::Active, None, _) | (_, None, None) => return SegmentOwner::AnyReplica,
            (RolloutSide::Active, Some(active), _) => owner_of(active, segment),
            (RolloutSide::Proposed, _, Some(proposed)) => owner_of(proposed, segment),
            // Where only one version has a map, both allow its owner.
            (RolloutSide::Joint, None, Some(map)) => owner_of(map, segment),
            (RolloutSide::Joint | RolloutSide::Proposed, Some(map), None) => owner_of(map, segment),
            (RolloutSide::Joint, Some(active), Some(proposed)) => match &snapshot.transition {
                Some(transition) => transition.owner_of_segment(segment, TransitionPhase::Joint),
                // Both versions have the same map.
                None => {
                    let owner = owner_of(active, segment);
                    owner.filter(|owner| owner_of(proposed, segment) == Some(*owner))
                }
            },
        };
        owner.map_or(unavailable, SegmentOwner::Node)
    }

    /// Whether any known version excludes the node: no new attempt may go there.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.snapshot.excluded_nodes.contains(node)
    }

    /// The map under which the parts of a query have to cover its keys: that of the active version, until the proposed one
    /// is acted on alone; `None` if there is none.
    pub fn map(&self, now: f64) -> Option<&VerifiedMap> {
        let snapshot = &self.snapshot;
        if snapshot.side == RolloutSide::Proposed && self.lease_valid(now) {
            return snapshot.proposed_proof.as_ref();
        }
        snapshot.active_proof.as_ref().or(snapshot.proposed_proof.as_ref())
    }

    /// Number of the active version, as far as heard; 0 if there is none.
    pub fn active_number(&self) -> u64 {
        self.snapshot.active.as_ref().map_or(0, |version| version.number)
    }

    /// Number of the proposed version.
    pub fn proposed_number(&self) -> Option<u64> {
        self.snapshot.proposed.as_ref().map(|version| version.number)
    }

    /// The active and the proposed version.
    pub fn versions(&self) -> (Option<&ConfigVersion>, Option<&ConfigVersion>) {
        (self.snapshot.active.as_deref(), self.snapshot.proposed.as_deref())
    }

    /// From the active map to the proposed one: what has to be filled first, and from where.
    pub fn map_transition(&self) -> Option<&MapTransition> {
        self.snapshot.transition.as_ref()
    }
}

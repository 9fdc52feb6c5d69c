//! What a broker may act on, asked at each act.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::{ConfigPhase, ConfigVersion, RoutingRules, strictest_rules};
use dunepond_shard_map::{MapTransition, TransitionPhase, VerifiedMap};

/// Who may be sent a segment's non-replayable parts. Nothing is copied: it is asked for each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SegmentOwner<'a> {
    /// No map: any of its holders.
    AnyReplica,
    Node(&'a str),
    /// Nobody for now; seconds after which asking again is worth while.
    Unavailable(f64),
}

/// What of the agreed state a broker acts on while its lease lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Side {
    Old,
    Joint,
    New,
}

/// What a broker may act on. Cheap to clone; a new one is made at each change and each lease. Each answer is for the
/// moment that is handed in, so that a process that stood still does not act on what it had before. Beside it, what the
/// clock showed as this was taken from the member: no later moment is before that.
#[derive(Clone, Debug)]
pub struct ActiveConfig(Arc<Inner>, f64);

/// What is known of this broker's part of bounds that the fleet shares, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaView<'a> {
    /// As it was last heard in this run.
    pub allocation: Option<&'a dunepond_quota::Allocation>,
    /// Under a lease that is good at that moment; without, only the floor is left.
    pub lease_valid: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Inner {
    /// In force, and proposed.
    pub old: Option<Arc<ConfigVersion>>,
    pub new: Option<Arc<ConfigVersion>>,
    pub old_proof: Option<VerifiedMap>,
    pub new_proof: Option<VerifiedMap>,
    pub moving: Option<MapTransition>,
    pub side: Side,
    /// Own clock: the lease is good from `from` (when its question was sent) up to `until`, this excluded.
    pub from: f64,
    pub until: f64,
    /// Maps may come.
    pub maps: bool,
    /// It had a lease in this run.
    pub leased: bool,
    pub limits: Option<dunepond_quota::Allocation>,
    /// Seconds.
    pub retry: f64,
    pub leased_rules: Option<RoutingRules>,
    pub strictest: Option<RoutingRules>,
    pub leaving: BTreeSet<String>,
}

impl Inner {
    /// Fills in what follows from the versions.
    pub fn done(mut self) -> ActiveConfig {
        let rules =
            |version: &Option<Arc<ConfigVersion>>| version.as_ref().map(|version| version.rules.clone());
        let (old, new) = (rules(&self.old), rules(&self.new));
        self.strictest = match (&old, &new) {
            (Some(old), Some(new)) => Some(strictest_rules(old, new)),
            (old, new) => old.clone().or(new.clone()),
        };
        self.leased_rules = match self.side {
            Side::Old => old,
            Side::Joint => self.strictest.clone(),
            Side::New => new,
        };
        let standings = self.old.iter().chain(&self.new).map(|version| &version.excluded_nodes);
        self.leaving = standings.flat_map(|s| s.draining.iter().chain(&s.removed)).cloned().collect();
        ActiveConfig(Arc::new(self), f64::NEG_INFINITY)
    }

    pub fn empty(maps: bool, retry: f64) -> Self {
        Self {
            old: None,
            new: None,
            old_proof: None,
            new_proof: None,
            moving: None,
            side: Side::Old,
            from: 0.0,
            until: f64::NEG_INFINITY,
            maps,
            leased: false,
            limits: None,
            retry,
            leased_rules: None,
            strictest: None,
            leaving: BTreeSet::new(),
        }
    }
}

impl ActiveConfig {
    /// Of a broker that has had no lease and knows nothing: non-replayable parts are refused.
    pub fn unleased() -> Self {
        Inner::empty(true, 1.0).done()
    }

    /// Whether it has a lease. All other answers here are the same at any two moments of which this says the same.
    // A clock behind what it showed before went back, and says nothing about the lease's end: also in the first act after
    // a stand-still, before the member has looked.
    pub fn lease_valid(&self, now: f64) -> bool {
        self.0.leased && self.0.from <= now && self.1 <= now && now < self.0.until
    }

    /// As taken when the clock showed `seen`.
    pub(crate) fn taken(&self, seen: f64) -> Self {
        Self(self.0.clone(), seen)
    }

    /// When the question of the lease was sent, on the own clock.
    pub fn lease_started_at(&self) -> f64 {
        self.0.from
    }

    pub fn phase(&self, now: f64) -> ConfigPhase {
        let number =
            |version: &Option<Arc<ConfigVersion>>| version.as_ref().map_or(0, |version| version.number);
        let (old, new) = (number(&self.0.old), number(&self.0.new));
        if old == 0 && new == 0 {
            return ConfigPhase::Unconfigured;
        }
        if !self.lease_valid(now) {
            return ConfigPhase::LeaseExpired(old);
        }
        match self.0.side {
            Side::Old if old == 0 => ConfigPhase::Unconfigured,
            Side::Old => ConfigPhase::Active(old),
            Side::Joint => ConfigPhase::Joint(old, new),
            Side::New => ConfigPhase::Active(new),
        }
    }

    /// Those that apply, the strictest of all known while cut off; `None`: the broker's own settings.
    pub fn rules(&self, now: f64) -> Option<&RoutingRules> {
        if self.lease_valid(now) { self.0.leased_rules.as_ref() } else { self.0.strictest.as_ref() }
    }

    /// This broker's part of bounds that the fleet shares: with [`dunepond_quota::Own::part`] what it may use at `now`.
    pub fn quota(&self, now: f64) -> QuotaView<'_> {
        QuotaView { allocation: self.0.limits.as_ref(), lease_valid: self.lease_valid(now) }
    }

    /// End of the lease on the own clock; in the past if there was none.
    pub fn lease_expires_at(&self) -> f64 {
        self.0.until
    }

    /// Who may be sent non-replayable parts of `segment`.
    pub fn owner(&self, segment: u64, now: f64) -> SegmentOwner<'_> {
        let refused = SegmentOwner::Unavailable(self.0.retry);
        let (old, new) = (self.0.old_proof.as_ref(), self.0.new_proof.as_ref());
        if !self.lease_valid(now) {
            // The owner may have moved unheard, or the first map may have come.
            let free = self.0.leased && !self.0.maps && old.is_none() && new.is_none();
            return if free { SegmentOwner::AnyReplica } else { refused };
        }
        fn one(proof: &VerifiedMap, segment: u64) -> Option<&str> {
            proof.segment(segment).map(|segment| segment.owner.as_str())
        }
        let owner = match (self.0.side, old, new) {
            (Side::Old, None, _) | (_, None, None) => return SegmentOwner::AnyReplica,
            (Side::Old, Some(old), _) => one(old, segment),
            // Where one of two versions has a map, only what it says is allowed by both.
            (Side::New | Side::Joint, None, Some(new)) | (Side::New, _, Some(new)) => one(new, segment),
            (Side::Joint | Side::New, Some(old), None) => one(old, segment),
            (Side::Joint, Some(old), Some(new)) => match &self.0.moving {
                Some(moving) => moving.owner_of_segment(segment, TransitionPhase::Joint),
                // The same map in both versions.
                None => one(old, segment).filter(|owner| one(new, segment) == Some(*owner)),
            },
        };
        owner.map_or(refused, SegmentOwner::Node)
    }

    /// By any version that it knows, draining or gone: nothing new goes there.
    pub fn is_excluded(&self, node: &str) -> bool {
        self.0.leaving.contains(node)
    }

    /// The map under which a scan's parts have to cover its keys: that of the version in force, until the next is
    /// acted on alone; `None` if there is none.
    pub fn map(&self, now: f64) -> Option<&VerifiedMap> {
        match self.0.side {
            Side::New if self.lease_valid(now) => self.0.new_proof.as_ref(),
            _ => self.0.old_proof.as_ref().or(self.0.new_proof.as_ref()),
        }
    }

    /// Of the version in force, as far as it heard; 0 if there is none.
    pub fn active_number(&self) -> u64 {
        self.0.old.as_ref().map_or(0, |version| version.number)
    }

    /// Of the version that is proposed.
    pub fn proposed_number(&self) -> Option<u64> {
        self.0.new.as_ref().map(|version| version.number)
    }

    /// In force, and proposed.
    pub fn versions(&self) -> (Option<&ConfigVersion>, Option<&ConfigVersion>) {
        (self.0.old.as_deref(), self.0.new.as_deref())
    }

    /// From the map in force to the proposed one: what has to be filled first, and from where.
    pub fn map_transition(&self) -> Option<&MapTransition> {
        self.0.moving.as_ref()
    }
}

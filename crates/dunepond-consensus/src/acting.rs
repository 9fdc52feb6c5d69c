//! What a broker may act on, asked at each act.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::{Phase, Rules, Version, stricter};
use dunepond_shard_map::{Move, Proof, Step};

/// Who may be sent a segment's non-replayable parts. Nothing is copied: it is asked for each part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Owner<'a> {
    /// No map: any of its holders.
    Free,
    Only(&'a str),
    /// Nobody for now; seconds after which asking again is worth while.
    Refused(f64),
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
pub struct Acting(Arc<Inner>, f64);

/// What is known of this broker's part of bounds that the fleet shares, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits<'a> {
    /// As it was last heard in this run.
    pub told: Option<&'a dunepond_quota::Told>,
    /// Under a lease that is good at that moment; without, only the floor is left.
    pub live: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Inner {
    /// In force, and proposed.
    pub old: Option<Arc<Version>>,
    pub new: Option<Arc<Version>>,
    pub old_proof: Option<Proof>,
    pub new_proof: Option<Proof>,
    pub moving: Option<Move>,
    pub side: Side,
    /// Own clock: the lease is good from `from` (when its question was sent) up to `until`, this excluded.
    pub from: f64,
    pub until: f64,
    /// Maps may come.
    pub maps: bool,
    /// It had a lease in this run.
    pub leased: bool,
    pub limits: Option<dunepond_quota::Told>,
    /// Seconds.
    pub retry: f64,
    pub leased_rules: Option<Rules>,
    pub strictest: Option<Rules>,
    pub leaving: BTreeSet<String>,
}

impl Inner {
    /// Fills in what follows from the versions.
    pub fn done(mut self) -> Acting {
        let rules = |version: &Option<Arc<Version>>| version.as_ref().map(|version| version.rules.clone());
        let (old, new) = (rules(&self.old), rules(&self.new));
        self.strictest = match (&old, &new) {
            (Some(old), Some(new)) => Some(stricter(old, new)),
            (old, new) => old.clone().or(new.clone()),
        };
        self.leased_rules = match self.side {
            Side::Old => old,
            Side::Joint => self.strictest.clone(),
            Side::New => new,
        };
        let standings = self.old.iter().chain(&self.new).map(|version| &version.standings);
        self.leaving = standings.flat_map(|s| s.draining.iter().chain(&s.gone)).cloned().collect();
        Acting(Arc::new(self), f64::NEG_INFINITY)
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

impl Acting {
    /// Of a broker that has had no lease and knows nothing: non-replayable parts are refused.
    pub fn none() -> Self {
        Inner::empty(true, 1.0).done()
    }

    /// Whether it has a lease. All other answers here are the same at any two moments of which this says the same.
    // A clock behind what it showed before went back, and says nothing about the lease's end: also in the first act after
    // a stand-still, before the member has looked.
    pub fn live(&self, now: f64) -> bool {
        self.0.leased && self.0.from <= now && self.1 <= now && now < self.0.until
    }

    /// As taken when the clock showed `seen`.
    pub(crate) fn taken(&self, seen: f64) -> Self {
        Self(self.0.clone(), seen)
    }

    /// When the question of the lease was sent, on the own clock.
    pub fn since(&self) -> f64 {
        self.0.from
    }

    pub fn at(&self, now: f64) -> Phase {
        let number = |version: &Option<Arc<Version>>| version.as_ref().map_or(0, |version| version.number);
        let (old, new) = (number(&self.0.old), number(&self.0.new));
        if old == 0 && new == 0 {
            return Phase::None;
        }
        if !self.live(now) {
            return Phase::Cut(old);
        }
        match self.0.side {
            Side::Old if old == 0 => Phase::None,
            Side::Old => Phase::Alone(old),
            Side::Joint => Phase::Joint(old, new),
            Side::New => Phase::Alone(new),
        }
    }

    /// Those that apply, the strictest of all known while cut off; `None`: the broker's own settings.
    pub fn rules(&self, now: f64) -> Option<&Rules> {
        if self.live(now) { self.0.leased_rules.as_ref() } else { self.0.strictest.as_ref() }
    }

    /// This broker's part of bounds that the fleet shares: with [`dunepond_quota::Own::part`] what it may use at `now`.
    pub fn limits(&self, now: f64) -> Limits<'_> {
        Limits { told: self.0.limits.as_ref(), live: self.live(now) }
    }

    /// End of the lease on the own clock; in the past if there was none.
    pub fn until(&self) -> f64 {
        self.0.until
    }

    /// Who may be sent non-replayable parts of `segment`.
    pub fn owner(&self, segment: u64, now: f64) -> Owner<'_> {
        let refused = Owner::Refused(self.0.retry);
        let (old, new) = (self.0.old_proof.as_ref(), self.0.new_proof.as_ref());
        if !self.live(now) {
            // The owner may have moved unheard, or the first map may have come.
            let free = self.0.leased && !self.0.maps && old.is_none() && new.is_none();
            return if free { Owner::Free } else { refused };
        }
        fn one(proof: &Proof, segment: u64) -> Option<&str> {
            proof.segment(segment).map(|segment| segment.owner.as_str())
        }
        let owner = match (self.0.side, old, new) {
            (Side::Old, None, _) | (_, None, None) => return Owner::Free,
            (Side::Old, Some(old), _) => one(old, segment),
            // Where one of two versions has a map, only what it says is allowed by both.
            (Side::New | Side::Joint, None, Some(new)) | (Side::New, _, Some(new)) => one(new, segment),
            (Side::Joint | Side::New, Some(old), None) => one(old, segment),
            (Side::Joint, Some(old), Some(new)) => match &self.0.moving {
                Some(moving) => moving.owner(segment, Step::Joint),
                // The same map in both versions.
                None => one(old, segment).filter(|owner| one(new, segment) == Some(*owner)),
            },
        };
        owner.map_or(refused, Owner::Only)
    }

    /// By any version that it knows, draining or gone: nothing new goes there.
    pub fn draining(&self, node: &str) -> bool {
        self.0.leaving.contains(node)
    }

    /// The map under which a scan's parts have to cover its keys: that of the version in force, until the next is
    /// acted on alone; `None` if there is none.
    pub fn map(&self, now: f64) -> Option<&Proof> {
        match self.0.side {
            Side::New if self.live(now) => self.0.new_proof.as_ref(),
            _ => self.0.old_proof.as_ref().or(self.0.new_proof.as_ref()),
        }
    }

    /// Of the version in force, as far as it heard; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.0.old.as_ref().map_or(0, |version| version.number)
    }

    /// Of the version that is proposed.
    pub fn proposed(&self) -> Option<u64> {
        self.0.new.as_ref().map(|version| version.number)
    }

    /// In force, and proposed.
    pub fn versions(&self) -> (Option<&Version>, Option<&Version>) {
        (self.0.old.as_deref(), self.0.new.as_deref())
    }

    /// From the map in force to the proposed one: what has to be filled first, and from where.
    pub fn moving(&self) -> Option<&Move> {
        self.0.moving.as_ref()
    }
}

//! A shard map, and the proofs about it: it covers every key exactly once, a move between two maps keeps one
//! owner at each moment, and the parts of a scan cover its keys exactly once under one map. Pure.
//!
//! [`check`] turns a [`Map`] into a [`Proof`] or names every fault; [`check_move`] turns two proofs into a [`Move`];
//! [`check_change`] does both for a few segments of many; [`covers`] judges the parts of one scan.

mod change;
mod check;
mod cover;
mod digest;
mod fault;
mod proof;
mod step;

pub use change::{Change, check_change};
pub use check::{check, check_own};
pub use cover::{Piece, covers};
pub use digest::{HASH, place};
pub use fault::{Fault, Place, Spot};
pub use proof::Proof;
pub use step::{Move, check_move};

use serde::{Deserialize, Serialize};

/// Half-open stretch of the hashed key space (64 bits): from `from` up to `to`, or up to the end of the space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Range {
    pub from: u64,
    pub to: Option<u64>,
}

/// One past the last key, as [`Range::end`] tells it.
pub const END: u128 = 1 << 64;

impl Range {
    pub const ALL: Self = Self { from: 0, to: None };

    /// `from` below [`END`], `to` up to it.
    pub fn of(from: u128, to: u128) -> Self {
        Self { from: from as u64, to: (to < END).then_some(to as u64) }
    }

    /// One past the last key; wider than a key, since the space's own end is no key.
    pub fn end(&self) -> u128 {
        self.to.map_or(END, u128::from)
    }

    pub fn is_empty(&self) -> bool {
        self.end() <= u128::from(self.from)
    }

    pub fn holds(&self, key: u64) -> bool {
        self.from <= key && u128::from(key) < self.end()
    }

    /// The keys that are in both; empty ones are none.
    pub fn shared(&self, other: &Self) -> Option<Self> {
        let shared = Self::of(self.from.max(other.from).into(), self.end().min(other.end()));
        (!shared.is_empty()).then_some(shared)
    }
}

impl std::fmt::Display for Range {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.to {
            Some(to) => write!(f, "[{:#018x}, {to:#018x})", self.from),
            None => write!(f, "[{:#018x}, end)", self.from),
        }
    }
}

/// Who has a segment's data, or is to have it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Holder {
    /// The node's name in discovery's list.
    pub node: String,
    pub partner: String,
    /// Its data is there; a holder that is to be filled first has `false`.
    pub filled: bool,
    /// Its part of the segment's reads; the shares of a segment's holders add up to 1.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The shard's number in scans (`bucket` on the platform's doors).
    pub id: u64,
    pub keys: Range,
    /// The node that alone may be sent non-replayable work; one of the filled holders.
    pub owner: String,
    pub holders: Vec<Holder>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Map {
    pub epoch: u64,
    /// How keys come into the space: `xxh3-64` is the only one so far.
    pub hash: String,
    pub segments: Vec<Segment>,
    /// Of all the rest, as [`Map::digest_of`] tells it. Hexadecimal.
    pub digest: String,
}

/// A node as far as a map is judged by it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub partner: String,
    pub draining: bool,
}

/// What a map must keep besides covering the keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub least_holders: usize,
    pub least_zones: usize,
}

/// Which rules a broker acts on between two maps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Step {
    Old,
    Joint,
    New,
}

/// A holder that has to be filled before a map may come into force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    pub segment: u64,
    pub holder: String,
    /// Filled holders of the keys concerned under the old map, any of which may be the source.
    pub sources: Vec<String>,
}

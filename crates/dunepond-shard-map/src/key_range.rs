//! Ranges of the hashed key space.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One past the last key of the key space.
pub const KEY_SPACE_END: u128 = 1 << 64;

/// A half-open range of the hashed key space (64 bits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub from: u64,
    /// One past the last key; `None` if the range extends to the end of the key space.
    pub to: Option<u64>,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self { from: 0, to: None };

    /// Returns the range of keys from `from` to just before `to`. `from` must be below [`KEY_SPACE_END`], `to` at most equal to it.
    pub fn between(from: u128, to: u128) -> Self {
        Self { from: from as u64, to: (to < KEY_SPACE_END).then_some(to as u64) }
    }

    /// Returns one past the last key, as a `u128` since the end of the key space does not fit into a `u64`.
    pub fn end(&self) -> u128 {
        self.to.map_or(KEY_SPACE_END, u128::from)
    }

    /// Whether the range has no keys, or ends before it begins.
    pub fn is_empty(&self) -> bool {
        self.end() <= u128::from(self.from)
    }

    /// Whether the range contains `key`.
    pub fn contains(&self, key: u64) -> bool {
        self.from <= key && u128::from(key) < self.end()
    }

    /// Returns the keys that are in both ranges; `None` if there are none.
    pub fn intersection(&self, other: &Self) -> Option<Self> {
        let common = Self::between(self.from.max(other.from).into(), self.end().min(other.end()));
        (!common.is_empty()).then_some(common)
    }
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.to {
            Some(to) => write!(f, "[{:#018x}, {to:#018x})", self.from),
            None => write!(f, "[{:#018x}, end)", self.from),
        }
    }
}

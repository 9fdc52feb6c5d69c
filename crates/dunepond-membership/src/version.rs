//! Protocol versions. Each broker supports one contiguous range of versions; two brokers use the highest version that
//! both support, so that a fleet can be upgraded and rolled back one broker at a time.

use serde::{Deserialize, Serialize};

/// The highest protocol version that this release supports.
pub const PROTOCOL_VERSION: u8 = 2;
/// The first version whose messages state the sender's version range and a sequence number, and must echo the
/// receiver's address token.
pub(crate) const FIRST_VERSION_WITH_RANGE: u8 = 2;

/// An inclusive range of protocol versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionRange {
    /// The lowest version in the range.
    pub min: u8,
    /// The highest version in the range.
    pub max: u8,
}

impl VersionRange {
    /// The versions that this release supports.
    pub const SUPPORTED: VersionRange = VersionRange { min: 1, max: PROTOCOL_VERSION };

    /// Returns the range that contains only `version`.
    pub const fn exactly(version: u8) -> VersionRange {
        VersionRange { min: version, max: version }
    }

    /// Returns the highest version that is in both ranges, if there is one.
    pub fn highest_common(self, other: VersionRange) -> Option<u8> {
        let max = self.max.min(other.max);
        (max >= self.min.max(other.min)).then_some(max)
    }

    /// Returns whether `version` is in the range.
    pub fn contains(self, version: u8) -> bool {
        (self.min..=self.max).contains(&version)
    }
}

impl std::fmt::Display for VersionRange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.min == self.max {
            write!(f, "{}", self.max)
        } else {
            write!(f, "{} to {}", self.min, self.max)
        }
    }
}

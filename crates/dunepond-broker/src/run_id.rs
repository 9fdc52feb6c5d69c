//! Distinguishes the ids that one run of the program makes from those of its other runs and of other brokers.

use std::fmt;

/// A number drawn at random when the process starts. It is part of the ids that the broker makes itself: a node takes
/// a part of a keyed query whose id it knows for a repeat, and does not run it.
#[derive(Clone, Copy, Debug)]
pub struct RunId(u64);

impl RunId {
    /// Draws a number from the operating system's source of randomness.
    ///
    /// Fails if the source cannot be read.
    pub fn random() -> Result<Self, getrandom::Error> {
        getrandom::u64().map(Self)
    }
}

/// Writes 16 hexadecimal digits.
impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

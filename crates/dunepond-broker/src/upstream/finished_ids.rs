//! The ids of the attempts that have ended on a connection, as a node may report the end of an attempt twice.

use std::collections::VecDeque;
use std::hash::{BuildHasher, RandomState};

/// Maximum number of ids that are remembered, which bounds the memory for them.
pub(super) const MAX_FINISHED_IDS: usize = 512;

/// The ids of the attempts that most recently ended or were cancelled on a connection. Their hashes are stored, so that the
/// memory for them does not depend on the length of the ids, which clients choose.
#[derive(Default)]
pub(super) struct FinishedIds {
    hasher: RandomState,
    hashes: VecDeque<u64>,
}

impl FinishedIds {
    /// Remembers an id; forgets the oldest one if there are too many.
    pub fn add(&mut self, id: &str) {
        if self.hashes.len() == MAX_FINISHED_IDS {
            self.hashes.pop_front();
        }
        self.hashes.push_back(self.hasher.hash_one(id));
    }

    /// Whether an id is remembered.
    pub fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    /// Returns the memory of the ids in bytes.
    #[cfg(test)]
    pub fn allocated_bytes(&self) -> usize {
        self.hashes.capacity() * size_of::<u64>()
    }
}

#[cfg(test)]
mod tests;

//! Detection of replayed messages by their sequence numbers.

use std::collections::BTreeSet;

/// Number of sequence numbers, counted back from the highest received one, that are tracked individually; messages with
/// lower numbers count as replays.
const REPLAY_WINDOW: u64 = 1024;

/// The sequence numbers that were received recently from one sender.
#[derive(Default)]
pub(crate) struct ReplayWindow {
    received: BTreeSet<u64>,
}

impl ReplayWindow {
    /// Records `sequence`. Returns `false` if it was received before, or is too far below the highest recorded one to
    /// be checked.
    pub fn insert(&mut self, sequence: u64) -> bool {
        let latest = self.received.last().copied().unwrap_or(0).max(sequence);
        let oldest = latest.saturating_sub(REPLAY_WINDOW);
        if sequence <= oldest || !self.received.insert(sequence) {
            return false;
        }
        while self.received.first().is_some_and(|first| *first <= oldest) {
            self.received.pop_first();
        }
        true
    }
}

//! Replay protection, by the sequence numbers that were received from a sender.

use std::collections::BTreeSet;

/// How many numbers before the latest are tracked individually; older ones count as replays.
const REPLAY_WINDOW: u64 = 1024;

/// The sequence numbers that were received recently.
#[derive(Default)]
pub(crate) struct ReplayWindow {
    received: BTreeSet<u64>,
}

impl ReplayWindow {
    /// Records `sequence`. Returns `false` if it was received before, or is too old to be checked.
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

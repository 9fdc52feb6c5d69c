//! Replay protection: which sequence numbers of a sender were received.

use std::collections::BTreeSet;

/// So many numbers before the latest are tracked one by one; older ones count as replays.
const REPLAY_WINDOW: u64 = 1024;

/// The sequence numbers received lately.
#[derive(Default)]
pub(crate) struct ReplayWindow {
    received: BTreeSet<u64>,
}

impl ReplayWindow {
    /// Records `sequence`. False if it was received before, or is too old to tell.
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

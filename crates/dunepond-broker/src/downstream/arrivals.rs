//! When the bytes of a connection arrived: a request's time budget counts from its first byte, however long that waits to be read or
//! behind another request.

use std::collections::VecDeque;

/// Reads that follow each other this closely are recorded as one, with the time of the first: bounds what is recorded for a
/// client that sends byte by byte. A tenth of the 50 ms by which a time limit may be exceeded.
const COALESCE_SECONDS: f64 = 0.005;

/// The reads of a connection of which some bytes are not parsed yet.
pub struct ArrivalTimes {
    /// The time of each read, and how many bytes had arrived in total with it.
    reads: VecDeque<(f64, u64)>,
    total_bytes: u64,
    /// The bytes of the first read may have arrived at any time since then; `None` once the socket has been read empty.
    first_read_since: Option<f64>,
}

impl ArrivalTimes {
    /// For a connection that may have waited in the backlog since then.
    pub fn new(connected: f64) -> Self {
        Self { reads: VecDeque::new(), total_bytes: 0, first_read_since: Some(connected) }
    }

    /// Records a read of `count` bytes that arrived at `received_at` at the earliest.
    pub fn record(&mut self, count: usize, received_at: f64) {
        if count == 0 {
            return;
        }
        let received_at = self.first_read_since.map_or(received_at, |since| since.min(received_at));
        self.total_bytes += count as u64;
        match self.reads.back_mut().filter(|(at, _)| received_at - *at < COALESCE_SECONDS) {
            Some((_, end)) => *end = self.total_bytes,
            None => self.reads.push_back((received_at, self.total_bytes)),
        }
    }

    /// The socket has been read empty: later bytes have not waited.
    pub fn mark_drained(&mut self) {
        self.first_read_since = None;
    }

    /// When the first of the last `unparsed_bytes` bytes arrived.
    pub fn first_unparsed_at(&mut self, unparsed_bytes: usize) -> Option<f64> {
        let used = self.total_bytes.saturating_sub(unparsed_bytes as u64);
        while self.reads.front().is_some_and(|(_, end)| *end <= used) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;

//! Records when the bytes of a connection arrived. A request's time budget counts from the arrival of its first byte,
//! including the time that this byte waits in the socket or behind an earlier request.

use std::collections::VecDeque;

/// A read less than this time after the first read of the last record is added to that record, which keeps the time of
/// its first read. Bounds the memory for a client that sends byte by byte. A tenth of the 50 ms by which any time limit
/// may be exceeded.
const COALESCE_SECONDS: f64 = 0.005;

/// The arrival times of a connection's bytes that are not parsed yet.
pub struct ArrivalTimes {
    /// For each record of one or several reads, the arrival time and the total number of bytes read from the connection
    /// up to the record's end.
    reads: VecDeque<(f64, u64)>,
    /// How many bytes have been read from the connection.
    total_bytes: u64,
    /// The earliest time at which bytes that wait in the socket can have arrived, in Unix seconds. Applies to all reads until
    /// the socket has been read empty; `None` afterwards, until bytes wait again.
    pending_since: Option<f64>,
}

impl ArrivalTimes {
    /// Creates the arrival times of a connection that may have waited in the backlog since `connected_at` (Unix
    /// seconds).
    pub fn new(connected_at: f64) -> Self {
        Self { reads: VecDeque::new(), total_bytes: 0, pending_since: Some(connected_at) }
    }

    /// Records a read of `count` bytes, which arrived at `received_at` at the earliest.
    pub fn record(&mut self, count: usize, received_at: f64) {
        if count == 0 {
            return;
        }
        let received_at = self.pending_since.map_or(received_at, |since| since.min(received_at));
        self.total_bytes += count as u64;
        match self.reads.back_mut().filter(|(at, _)| received_at - *at < COALESCE_SECONDS) {
            Some((_, end)) => *end = self.total_bytes,
            None => self.reads.push_back((received_at, self.total_bytes)),
        }
    }

    /// Records that bytes may have arrived at `received_at`, and are read later.
    pub fn mark_pending(&mut self, received_at: f64) {
        self.pending_since.get_or_insert(received_at);
    }

    /// Records that the socket has been read empty, so that bytes which are read later have arrived after this call.
    pub fn mark_drained(&mut self) {
        self.pending_since = None;
    }

    /// Returns when the first unparsed byte arrived, if the last `unparsed_bytes` of the bytes read are not parsed yet;
    /// `None` if `unparsed_bytes` is 0.
    pub fn first_unparsed_at(&mut self, unparsed_bytes: usize) -> Option<f64> {
        let parsed = self.total_bytes.saturating_sub(unparsed_bytes as u64);
        while self.reads.front().is_some_and(|(_, end)| *end <= parsed) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;

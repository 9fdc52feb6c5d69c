//! When the bytes of a connection arrived: a request's time runs from its first byte, however long it waits to be read or behind another.

use std::collections::VecDeque;

/// Reads that follow each other this closely are kept as one, with the time of the first: a bound of the program on what
/// a client that sends byte by byte can have kept, a tenth of the slack by which each time limit is longer.
const COALESCE_SECONDS: f64 = 0.005;

/// The reads of a connection of which something is not used yet.
pub struct ArrivalTimes {
    /// When each came, and how many bytes had come with it since the connection was made.
    reads: VecDeque<(f64, u64)>,
    all: u64,
    /// What the first read brings may have come at any time since then; nothing once it is known to have brought all.
    first_read_since: Option<f64>,
}

impl ArrivalTimes {
    /// Of a connection that may have waited to be accepted since then.
    pub fn since(connected: f64) -> Self {
        Self { reads: VecDeque::new(), all: 0, first_read_since: Some(connected) }
    }

    /// So many bytes were read, which came then at the earliest.
    pub fn read(&mut self, count: usize, came: f64) {
        if count == 0 {
            return;
        }
        let came = self.first_read_since.map_or(came, |since| since.min(came));
        self.all += count as u64;
        match self.reads.back_mut().filter(|(at, _)| came - *at < COALESCE_SECONDS) {
            Some((_, end)) => *end = self.all,
            None => self.reads.push_back((came, self.all)),
        }
    }

    /// Nothing is left to be read: what comes from now on has not waited.
    pub fn drained(&mut self) {
        self.first_read_since = None;
    }

    /// When the first of the bytes came that are not used yet, of which there are so many.
    pub fn first_unparsed_at(&mut self, unparsed_bytes: usize) -> Option<f64> {
        let used = self.all.saturating_sub(unparsed_bytes as u64);
        while self.reads.front().is_some_and(|(_, end)| *end <= used) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_request_has_the_time_of_the_read_that_brought_its_first_byte() {
        let mut arrivals = ArrivalTimes::since(1.0);
        arrivals.drained();
        arrivals.read(100, 2.0);
        arrivals.read(50, 2.001);
        arrivals.read(30, 3.0);
        let first = [180, 31, 30, 1, 0].map(|unparsed_bytes| arrivals.first_unparsed_at(unparsed_bytes));
        assert_eq!(first, [Some(2.0), Some(2.0), Some(3.0), Some(3.0), None]);
        arrivals.read(10, 4.0);
        assert_eq!(arrivals.first_unparsed_at(10), Some(4.0));
    }

    #[test]
    fn what_waited_to_be_accepted_may_have_come_since_its_connection_did() {
        let mut arrivals = ArrivalTimes::since(1.0);
        arrivals.read(100, 2.0);
        assert_eq!(arrivals.first_unparsed_at(100), Some(1.0));
        arrivals.drained();
        arrivals.read(10, 3.0);
        assert_eq!(arrivals.first_unparsed_at(10), Some(3.0));
    }
}

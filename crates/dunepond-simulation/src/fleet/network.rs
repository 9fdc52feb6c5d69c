//! The network between brokers. It loses, duplicates, delays and reorders messages, and links can be blocked, in one
//! direction or between partitions.

use rand::RngExt;

use super::Fleet;
use super::message::{InFlight, Message};

/// Shortest time in seconds from the sending of a message until a late copy of it arrives.
const MIN_LATE_SECONDS: f64 = 2.0;
/// Longest time in seconds from the sending of a message until a late copy of it arrives.
const MAX_LATE_SECONDS: f64 = 30.0;
/// Ratio of messages that the links of a slow broker lose.
const SLOW_LOSS_RATIO: f64 = 0.2;
/// Additional delay in seconds of messages on the links of a slow broker.
const SLOW_EXTRA_SECONDS: f64 = 0.8;

/// Loss, duplication and delay on all links. By default, messages are delayed, but not lost or duplicated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// Ratio of messages that are lost.
    pub loss_ratio: f64,
    /// Ratio of messages that arrive twice.
    pub duplicate_ratio: f64,
    /// Ratio of messages of which an additional copy arrives seconds later.
    pub late_copy_ratio: f64,
    /// Shortest delay of a message.
    pub min_delay_seconds: f64,
    /// Longest delay of a message. Delays are random, so messages may overtake each other.
    pub max_delay_seconds: f64,
}

impl Default for LinkConditions {
    fn default() -> Self {
        Self {
            loss_ratio: 0.0,
            duplicate_ratio: 0.0,
            late_copy_ratio: 0.0,
            min_delay_seconds: 0.001,
            max_delay_seconds: 0.02,
        }
    }
}

/// Delays in seconds of the two copies of a message; `None` for a copy that does not arrive.
#[derive(Default)]
struct Copies {
    first: Option<f64>,
    duplicate: Option<f64>,
}

impl Fleet {
    /// Sends a message: counts it, and schedules the arrival of its copies under the conditions of the links.
    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages_sent += 1;
        let is_remote = from != to;
        let size_bytes = if is_remote { message.size_bytes() } else { 0 };
        if is_remote {
            self.brokers[from].load.messages_sent += 1;
            self.brokers[from].load.bytes_sent += size_bytes;
        }
        let in_flight = InFlight { size_bytes, from, to, message };
        let late_ratio = self.links.late_copy_ratio;
        if is_remote && late_ratio > 0.0 && self.rng.random::<f64>() < late_ratio {
            let seconds = self.rng.random_range(MIN_LATE_SECONDS..MAX_LATE_SECONDS);
            self.in_flight.schedule(self.now + seconds, in_flight.clone());
        }
        let copies = self.draw_copies(from, to);
        if let Some(seconds) = copies.duplicate {
            self.in_flight.schedule(self.now + seconds, in_flight.clone());
        }
        if let Some(seconds) = copies.first {
            self.in_flight.schedule(self.now + seconds, in_flight);
        }
    }

    /// Draws the random delays of a message's copies; if the message is lost, no copy arrives. A message of a broker to
    /// itself arrives without delay.
    fn draw_copies(&mut self, from: usize, to: usize) -> Copies {
        if from == to {
            return Copies { first: Some(0.0), duplicate: None };
        }
        let is_slow = self.slow_broker.is_some_and(|slow| slow == from || slow == to);
        let (loss_ratio, extra_seconds) =
            if is_slow { (SLOW_LOSS_RATIO, SLOW_EXTRA_SECONDS) } else { (self.links.loss_ratio, 0.0) };
        if self.is_blocked(from, to) || self.rng.random::<f64>() < loss_ratio {
            return Copies::default();
        }
        let delays =
            extra_seconds + self.links.min_delay_seconds..extra_seconds + self.links.max_delay_seconds;
        let (first, duplicate) = (self.rng.random_range(delays.clone()), self.rng.random_range(delays));
        let is_duplicated = self.rng.random::<f64>() < self.links.duplicate_ratio;
        Copies { first: Some(first), duplicate: is_duplicated.then_some(duplicate) }
    }

    /// Whether messages from `from` to `to` are lost because the link is blocked.
    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.partitions[from] != self.partitions[to] || self.blocked_links.contains(&(from, to))
    }

    /// Whether no link between brokers is blocked in any direction.
    pub fn is_fully_connected(&self) -> bool {
        self.blocked_links.is_empty() && self.partitions.iter().all(|partition| *partition == 0)
    }

    /// Opens the links within each group and blocks all others. A broker that is in no group is isolated.
    pub fn partition(&mut self, groups: &[&[usize]]) {
        let group_of = |broker: usize| groups.iter().position(|group| group.contains(&broker));
        self.blocked_links.clear();
        for from in 0..self.brokers.len() {
            for to in 0..self.brokers.len() {
                let is_open = group_of(from) == group_of(to) && group_of(from).is_some();
                if from != to && !is_open {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }

    /// Opens all links and removes all partitions.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.partitions.fill(0);
    }
}

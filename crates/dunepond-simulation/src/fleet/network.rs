//! The network between brokers: it loses, duplicates, delays and reorders, and links are blocked, one way or between
//! partitions.

use rand::RngExt;

use super::Fleet;
use super::message::{InFlight, Message};

/// Seconds after which a late copy arrives.
const MIN_LATE_SECONDS: f64 = 2.0;
const MAX_LATE_SECONDS: f64 = 30.0;
/// What a slow broker's links lose, and how much longer they take.
const SLOW_LOSS_RATIO: f64 = 0.2;
const SLOW_EXTRA_SECONDS: f64 = 0.8;

/// What links do to messages. Without faults by default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConditions {
    /// Ratio of messages that are lost.
    pub loss_ratio: f64,
    /// Ratio of messages that arrive twice.
    pub duplicate_ratio: f64,
    /// Ratio of messages of which a copy arrives much later.
    pub late_copy_ratio: f64,
    /// Shortest time that a message takes.
    pub min_delay_seconds: f64,
    /// Longest time that a message takes; one that was sent later may arrive earlier.
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

/// Seconds after which each copy of a message arrives.
#[derive(Default)]
struct Copies {
    first: Option<f64>,
    duplicate: Option<f64>,
}

impl Fleet {
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
        let copies = self.copies(from, to);
        if let Some(seconds) = copies.duplicate {
            self.in_flight.schedule(self.now + seconds, in_flight.clone());
        }
        if let Some(seconds) = copies.first {
            self.in_flight.schedule(self.now + seconds, in_flight);
        }
    }

    /// None if the message is lost. What a broker sends to itself arrives at once.
    fn copies(&mut self, from: usize, to: usize) -> Copies {
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

    fn is_blocked(&self, from: usize, to: usize) -> bool {
        self.partitions[from] != self.partitions[to] || self.blocked_links.contains(&(from, to))
    }

    /// Whether no link is blocked, in either direction.
    pub fn is_fully_connected(&self) -> bool {
        self.blocked_links.is_empty() && self.partitions.iter().all(|partition| *partition == 0)
    }

    /// Opens the links inside each group, and blocks those between groups; a broker in no group is alone.
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

    /// Opens all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.partitions.fill(0);
    }
}

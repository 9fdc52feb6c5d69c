//! Queue of events that are scheduled for a later simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event with its due time and its number in the order in which events were scheduled.
struct Scheduled<T> {
    due_at: f64,
    sequence: u64,
    event: T,
}

impl<T> Ord for Scheduled<T> {
    /// Compares in reverse, because the heap pops the greatest element: an event that is due earlier is greater, and of
    /// two events that are due at the same time, the one that was scheduled first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.due_at.total_cmp(&self.due_at).then(other.sequence.cmp(&self.sequence))
    }
}

impl<T> PartialOrd for Scheduled<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Scheduled<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Scheduled<T> {}

/// Queue of events ordered by due time. Events of the same time are popped in the order in which they were scheduled,
/// which makes runs repeatable.
pub struct EventQueue<T> {
    heap: BinaryHeap<Scheduled<T>>,
    last_sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Schedules an event for the simulated time `due_at`, in seconds.
    pub fn schedule(&mut self, due_at: f64, event: T) {
        self.last_sequence += 1;
        self.heap.push(Scheduled { due_at, sequence: self.last_sequence, event });
    }

    /// Removes and returns the next event that is due by `now`, if there is one.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        self.heap.peek().filter(|next| next.due_at <= now)?;
        self.heap.pop().map(|next| next.event)
    }

    /// Drops the events for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&T) -> bool) {
        self.heap.retain(|scheduled| is_kept(&scheduled.event));
    }

    /// Number of scheduled events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is scheduled.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

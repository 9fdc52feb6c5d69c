//! What happens later, in simulated time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Waiting<T> {
    at: f64,
    order: u64,
    what: T,
}

impl<T> Ord for Waiting<T> {
    /// The heap gives the greatest: the earliest, and of those the one that was put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Waiting<T> {}

/// Events by the time at which they are due; of one time in the order in which they came, so that a play is the same
/// each time.
pub struct Queue<T> {
    heap: BinaryHeap<Waiting<T>>,
    order: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Queue<T> {
    /// `at`: seconds of simulated time.
    pub fn put(&mut self, at: f64, what: T) {
        self.order += 1;
        self.heap.push(Waiting { at, order: self.order, what });
    }

    /// The next one that is due by `now`.
    pub fn due(&mut self, now: f64) -> Option<T> {
        self.heap.peek().filter(|next| next.at <= now)?;
        self.heap.pop().map(|next| next.what)
    }

    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.heap.retain(|waiting| keep(&waiting.what));
    }

    pub fn len(&self) -> usize {
        self.heap.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }
}

//! Records from which the retry budget is computed: the retries that were sent, and the queries and parts
//! that arrived.

use std::cell::Cell;
use std::collections::VecDeque;

use super::age;
use crate::{ArrivalRecord, Deployment};

/// What the retry budget remembers about sent retries and arrived work.
pub struct RetryHistory {
    /// Instants at which retries and hedged requests were sent, oldest first.
    pub retries_sent: VecDeque<f64>,
    /// The queries and parts that arrived, whether they were admitted or not, oldest first.
    pub arrived: VecDeque<ArrivedWork>,
    /// Longest window of any retry budget so far, in seconds; records are kept for that long.
    pub window_seconds: f64,
    /// Instant up to which the retry and slow start budgets count as fully spent, because it is not known
    /// what was spent before; `f64::MIN` if that is known.
    pub assumed_spent_until: f64,
    /// Number of attempts that the retry budget has denied since the last call of
    /// [`Router::quota_demand`](super::Router::quota_demand).
    pub denials: Cell<f64>,
}

/// Queries and parts that arrived at an instant.
#[derive(Clone, Copy)]
pub struct ArrivedWork {
    pub at: f64,
    /// Number of queries and parts.
    pub count: f64,
    /// Sum of `count` over all earlier records.
    pub count_before: f64,
}

impl RetryHistory {
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            retries_sent: VecDeque::new(),
            arrived: VecDeque::new(),
            window_seconds: deployment.retry_budget.as_ref().map_or(0.0, |budget| budget.window),
            assumed_spent_until: f64::MIN,
            denials: Cell::new(0.0),
        }
    }

    /// Adds a record of queries and parts that arrived.
    pub fn add_arrived(&mut self, at: f64, count: f64) {
        let count_before = self.arrived.back().map_or(0.0, |last| last.count + last.count_before);
        self.arrived.push_back(ArrivedWork { at, count, count_before });
    }
}

impl ArrivedWork {
    /// Converts the record to the stored form, with an age instead of an instant.
    pub fn to_record(self, now: f64) -> ArrivalRecord {
        ArrivalRecord { ago: age(self.at, now), count: self.count }
    }
}

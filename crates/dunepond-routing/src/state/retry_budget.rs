//! The spent part of the retry budget, and the admissions against which it is measured.

use std::cell::Cell;
use std::collections::VecDeque;

use super::age;
use crate::{AdmissionRecord, Deployment};

pub struct RetryHistory {
    /// Instants at which retries and hedged requests were sent.
    pub retries_sent: VecDeque<f64>,
    /// The queries and parts that arrived, whether they were admitted or not.
    pub arrived: VecDeque<ArrivedWork>,
    /// Longest window in seconds of any budget so far; records are kept for as long.
    pub window_seconds: f64,
    /// Up to this instant everything counts as spent, because the real use is not known; `f64::MIN` if it
    /// is known.
    pub charged_until: f64,
    /// Number of attempts that the budget has denied since this was last reported.
    pub denials: Cell<f64>,
}

/// Queries and parts that arrived at an instant.
#[derive(Clone, Copy)]
pub struct ArrivedWork {
    pub at: f64,
    pub count: f64,
    /// Count of all earlier records.
    pub count_before: f64,
}

impl RetryHistory {
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            retries_sent: VecDeque::new(),
            arrived: VecDeque::new(),
            window_seconds: deployment.retry_budget.as_ref().map_or(0.0, |budget| budget.window),
            charged_until: f64::MIN,
            denials: Cell::new(0.0),
        }
    }

    pub fn add_arrived(&mut self, at: f64, count: f64) {
        let count_before = self.arrived.back().map_or(0.0, |last| last.count + last.count_before);
        self.arrived.push_back(ArrivedWork { at, count, count_before });
    }
}

impl ArrivedWork {
    /// The record in the form that is stored for another process.
    pub fn to_record(self, now: f64) -> AdmissionRecord {
        AdmissionRecord { ago: age(self.at, now), count: self.count }
    }
}

//! The records of past queries that admission uses.

use std::collections::VecDeque;

use crate::Deployment;

pub struct AdmissionHistory {
    /// Value per unit of work of recent queries.
    pub value_densities: VecDeque<f64>,
    /// Instants at which queries were admitted within their tenant's quota, by tenant.
    pub within_quota: Vec<VecDeque<f64>>,
    /// The time in seconds that a client's last first try was given, by tenant and query class.
    pub first_try_seconds: Vec<f64>,
    /// Whether recent queries that had attempts missed their objective.
    pub missed_objectives: VecDeque<ObjectiveResult>,
}

/// The end of a query that had attempts.
#[derive(Clone, Copy)]
pub struct ObjectiveResult {
    pub at: f64,
    /// Whether it ended after its latency objective.
    pub missed: bool,
}

impl AdmissionHistory {
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            value_densities: VecDeque::new(),
            within_quota: deployment.quotas.iter().map(|_| VecDeque::new()).collect(),
            first_try_seconds: Vec::new(),
            missed_objectives: VecDeque::new(),
        }
    }
}

//! Records of past queries on which admission depends.

use std::collections::VecDeque;

use crate::Deployment;

/// What admission remembers about past queries.
pub struct AdmissionHistory {
    /// Value per unit of work of each recent query, oldest first.
    pub value_densities: VecDeque<f64>,
    /// Instants at which queries were admitted within their tenant's quota, by tenant.
    pub within_quota: Vec<VecDeque<f64>>,
    /// For each tenant and query class, the seconds for which the client of the last query that was not a
    /// retry was ready to wait.
    pub first_try_seconds: Vec<f64>,
    /// Whether each recent query that had attempts met its latency objective, oldest first.
    pub objective_results: VecDeque<ObjectiveResult>,
}

/// Whether a query that had attempts met its latency objective.
#[derive(Clone, Copy)]
pub struct ObjectiveResult {
    /// When the query ended.
    pub at: f64,
    /// Whether the query ended after its latency objective.
    pub missed: bool,
}

impl AdmissionHistory {
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            value_densities: VecDeque::new(),
            within_quota: deployment.quotas.iter().map(|_| VecDeque::new()).collect(),
            first_try_seconds: Vec::new(),
            objective_results: VecDeque::new(),
        }
    }
}

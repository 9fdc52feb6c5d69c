//! The polling state of an endpoint list that is only sent on request.

use crate::Deployment;

/// When the endpoint list is polled next, and how often polling has failed.
pub struct EndpointPoll {
    /// Instant of the next poll of the endpoint list; `f64::MIN` before the first one, `f64::MAX` if the list
    /// is pushed and never polled.
    pub next_at: f64,
    /// Number of consecutive polls of the endpoint list that failed, including watches that were interrupted.
    pub failed_polls: i32,
}

impl EndpointPoll {
    pub fn new(deployment: &Deployment) -> Self {
        let polled = deployment.list_poll_deadline.is_some();
        Self { next_at: if polled { f64::MIN } else { f64::MAX }, failed_polls: 0 }
    }
}

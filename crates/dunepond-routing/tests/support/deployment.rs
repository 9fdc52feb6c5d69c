//! The deployment that most tests use: its query classes, parts and endpoint rows.

use dunepond_routing::*;

/// Index of the class whose answers are complete with 60 % of the weight and have no value after the latency objective.
pub const QUICK: usize = 0;
/// Index of the class whose answers need all parts.
pub const FULL: usize = 1;
/// Index of the class whose parts must not run twice.
pub const NON_IDEMPOTENT: usize = 2;
/// Index of the class whose parts are idempotent by key: a repeat is safe within an idempotency window of one second.
pub const KEYED: usize = 3;
/// Index of the class whose queries have a second step: the answer to the first step contains the parts of the second.
pub const TWO_STEP: usize = 4;
/// Index of the class for which parts with half of the weight are enough for a partial answer.
pub const PARTIAL: usize = 5;
/// Index of the class with a latency objective of 20 s.
pub const PATIENT: usize = 6;

/// Returns a deployment of six nodes; the replicas of segment n are the nodes n, n + 1 and n + 2, modulo six.
pub fn deployment() -> Deployment {
    let full = QueryClass {
        latency_objective: 2.0,
        timeout: 6.0,
        priority_weight: 1.0,
        late_value_ratio: 0.3,
        idempotency: Idempotency::Idempotent,
        complete_at: 1.0,
        minimum_share: 1.0,
        second_step: false,
    };
    let quick = QueryClass {
        complete_at: 0.6,
        minimum_share: 0.6,
        late_value_ratio: 0.0,
        timeout: 4.0,
        priority_weight: 2.0,
        ..full.clone()
    };
    let non_idempotent = QueryClass { idempotency: Idempotency::NonIdempotent, ..full.clone() };
    let keyed = QueryClass { idempotency: Idempotency::Keyed { window_seconds: 1.0 }, ..full.clone() };
    let two_step = QueryClass { second_step: true, complete_at: 0.5, minimum_share: 0.5, ..full.clone() };
    let partial = QueryClass { minimum_share: 0.5, ..full.clone() };
    let patient = QueryClass { latency_objective: 20.0, timeout: 30.0, ..full.clone() };
    Deployment {
        seed: 7,
        broker_count: 3.0,
        zone: 0,
        query_classes: vec![quick, full, non_idempotent, keyed, two_step, partial, patient],
        quotas: Vec::new(),
        weight_by_work: false,
        replica_groups: 6,
        replicas: 3,
        cross_zone_cost: None,
        max_attempts: 4,
        hedging_enabled: true,
        may_cancel: true,
        may_probe: false,
        max_retry_after: 2.0,
        retry_budget: None,
        slow_start: SlowStart {
            initial_capacity_ratio: 0.2,
            duration: 15.0,
            rate_multiple: 2.5,
            window: 1.0,
        },
        list_poll_deadline: None,
        tick: 0.005,
    }
}

/// Returns parts of equal weight, one for each segment.
pub fn parts(segments: &[usize]) -> Vec<Part> {
    segments
        .iter()
        .map(|segment| Part { segment: *segment, weight: 1.0 / segments.len() as f64, required_node: None })
        .collect()
}

/// Returns a row of the endpoint list for a node that is the only one in its replica group.
pub fn row(node: NodeId, state: EndpointState, started_at: f64) -> Endpoint {
    Endpoint { node, replica_group: node, zone: node % 3, state, started_at }
}

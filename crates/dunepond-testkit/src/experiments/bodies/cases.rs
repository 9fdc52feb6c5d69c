//! Cases of the body experiment: the requests, the behavior of the nodes and the state of the disk.

use crate::body_cluster::{BodyNodeBehavior, BodyRequest, body_request, mib_bytes};

const SERVING: [BodyNodeBehavior; 3] = [BodyNodeBehavior::Serve; 3];

/// A set of requests that are sent concurrently to a cluster of its own.
pub(super) struct Case {
    /// Name of the case in the report and for the case filter.
    pub name: &'static str,
    /// Whether bodies may be spilled to files.
    pub spill_to_files: bool,
    /// Memory limit of a single body, in the syntax of the operator file.
    pub max_body_memory: &'static str,
    /// Behavior of each node.
    pub behaviors: [BodyNodeBehavior; 3],
    /// Fault of the disk in the syntax of [`crate::faulty_disk`]; empty for a working disk.
    pub disk_fault: &'static str,
    /// Requests that are sent at the same time.
    pub requests: Vec<BodyRequest>,
}

impl Case {
    /// Creates a case that may spill bodies to files, with serving nodes and a working disk.
    fn new(name: &'static str, max_body_memory: &'static str, requests: Vec<BodyRequest>) -> Self {
        Self { name, spill_to_files: true, max_body_memory, behaviors: SERVING, disk_fault: "", requests }
    }

    fn without_spilling(mut self) -> Self {
        self.spill_to_files = false;
        self
    }

    /// Sets the behavior of the first node; the other nodes serve.
    fn with_first_node(mut self, behavior: BodyNodeBehavior) -> Self {
        self.behaviors[0] = behavior;
        self
    }

    fn with_disk_fault(mut self, fault: &'static str) -> Self {
        self.disk_fault = fault;
        self
    }
}

/// Returns all cases, with fewer requests each if `quick`.
pub(super) fn cases(quick: bool) -> Vec<Case> {
    let request_count = if quick { 40 } else { 200 };
    let chunked = |mut request: BodyRequest| {
        request.chunked = true;
        request
    };
    let disconnecting = |mut request: BodyRequest| {
        request.disconnect_after_bytes = Some(mib_bytes(2));
        request
    };
    vec![
        Case::new("8 MiB each, no files", "8MiB", find_queries(request_count, 8)).without_spilling(),
        Case::new("8 MiB each, files", "8MiB", find_queries(request_count, 8)),
        Case::new("64 MiB passing", "1MiB", find_queries(8, 64)).without_spilling(),
        Case::new(
            "1 MiB each, chunked",
            "1MiB",
            find_queries(request_count, 1).into_iter().map(chunked).collect(),
        ),
        Case::new("fix-request, a node refuses half way", "4MiB", fix_queries(request_count, 4))
            .with_first_node(BodyNodeBehavior::RejectMidFrame),
        Case::new("fix-request, a node closes", "4MiB", fix_queries(request_count, 4))
            .with_first_node(BodyNodeBehavior::Close),
        Case::new("a node is stuck", "1MiB", find_queries(12, 16))
            .without_spilling()
            .with_first_node(BodyNodeBehavior::StopReading),
        Case::new(
            "clients leave",
            "1MiB",
            find_queries(request_count, 4).into_iter().map(disconnecting).collect(),
        ),
        Case::new("the disk is full", "1MiB", find_queries(request_count, 4)).with_disk_fault("full"),
        Case::new("the disk stalls", "1MiB", find_queries(request_count, 4)).with_disk_fault("stall 2"),
        Case::new("files cannot be read back", "1MiB", find_queries(request_count, 4))
            .with_disk_fault("unreadable"),
    ]
}

/// Creates idempotent queries of two shards, with bodies of `mib` MiB.
fn find_queries(count: usize, mib: u64) -> Vec<BodyRequest> {
    (0..count).map(|i| body_request("find", &format!("c{i}"), &[0, 1], mib_bytes(mib))).collect()
}

/// Creates non-idempotent queries of one shard, with bodies of `mib` MiB.
fn fix_queries(count: usize, mib: u64) -> Vec<BodyRequest> {
    (0..count).map(|i| body_request("fix", &format!("c{i}"), &[i % 6], mib_bytes(mib))).collect()
}

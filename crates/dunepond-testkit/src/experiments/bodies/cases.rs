//! Cases of large bodies: how many, which nodes and which disk.

use crate::body_cluster::{BodyNodeBehavior, BodyRequest, body_request, mib_bytes};

const SERVING: [BodyNodeBehavior; 3] = [BodyNodeBehavior::Serve; 3];

/// One case.
pub(super) struct Case {
    pub name: &'static str,
    /// Whether bodies may be spilled to files.
    pub files: bool,
    /// The most memory for one body, as the operator's file states it.
    pub memory_one: &'static str,
    pub behaviors: [BodyNodeBehavior; 3],
    /// What the disk does; see [`crate::faulty_disk`].
    pub disk: &'static str,
    pub requests: Vec<BodyRequest>,
}

impl Case {
    /// With files, and nodes and a disk that work.
    fn new(name: &'static str, memory_one: &'static str, requests: Vec<BodyRequest>) -> Self {
        Self { name, files: true, memory_one, behaviors: SERVING, disk: "", requests }
    }

    fn without_files(mut self) -> Self {
        self.files = false;
        self
    }

    /// The first node behaves so, the others serve.
    fn first_node(mut self, behavior: BodyNodeBehavior) -> Self {
        self.behaviors[0] = behavior;
        self
    }

    fn disk(mut self, fault: &'static str) -> Self {
        self.disk = fault;
        self
    }
}

/// All cases; with fewer requests where it has to be quick.
pub(super) fn cases(quick: bool) -> Vec<Case> {
    let many = if quick { 40 } else { 200 };
    let chunked = |mut request: BodyRequest| {
        request.chunked = true;
        request
    };
    let disconnecting = |mut request: BodyRequest| {
        request.disconnect_after_bytes = Some(mib_bytes(2));
        request
    };
    vec![
        Case::new("8 MiB each, no files", "8MiB", finds(many, 8)).without_files(),
        Case::new("8 MiB each, files", "8MiB", finds(many, 8)),
        Case::new("64 MiB passing", "1MiB", finds(8, 64)).without_files(),
        Case::new("1 MiB each, chunked", "1MiB", finds(many, 1).into_iter().map(chunked).collect()),
        Case::new("fix-request, a node refuses half way", "4MiB", fixes(many, 4))
            .first_node(BodyNodeBehavior::RefuseMidFrame),
        Case::new("fix-request, a node closes", "4MiB", fixes(many, 4)).first_node(BodyNodeBehavior::Close),
        Case::new("a node is stuck", "1MiB", finds(12, 16))
            .without_files()
            .first_node(BodyNodeBehavior::StopReading),
        Case::new("clients leave", "1MiB", finds(many, 4).into_iter().map(disconnecting).collect()),
        Case::new("the disk is full", "1MiB", finds(many, 4)).disk("full"),
        Case::new("the disk stalls", "1MiB", finds(many, 4)).disk("stall 2"),
        Case::new("files cannot be read back", "1MiB", finds(many, 4)).disk("unreadable"),
    ]
}

/// Idempotent queries of two shards with bodies of this size.
fn finds(count: usize, mib: u64) -> Vec<BodyRequest> {
    (0..count).map(|i| body_request("find", &format!("c{i}"), &[0, 1], mib_bytes(mib))).collect()
}

/// Queries that must not run twice, of one shard, with bodies of this size.
fn fixes(count: usize, mib: u64) -> Vec<BodyRequest> {
    (0..count).map(|i| body_request("fix", &format!("c{i}"), &[i % 6], mib_bytes(mib))).collect()
}

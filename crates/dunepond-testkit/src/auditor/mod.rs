//! Checks the audit records of all brokers of a fleet against the rules and reports each violation. The shard maps, the
//! clients' requests and the nodes' runs come from independent sources, so that the brokers' own statements are checked
//! and not trusted.

mod answers;
mod attempts;
mod finding;
mod leases;
pub mod quotas;
pub mod records;
mod runs;
mod settlements;
mod versions;

use std::collections::{BTreeMap, BTreeSet};

use attempts::SentAttempt;
pub use finding::Finding;
pub use leases::longest_version_conflict_seconds;
pub use records::{AuditEvent, AuditPhase, AuditRecord, Records};

/// What is known of a run from other sources than the brokers' audit records.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// Largest difference between two clock readings of one event, in seconds.
    pub clock_slack_seconds: f64,
    /// Longest query timeout, in seconds. A part may still be executing on its node for that long after it was sent.
    pub max_query_seconds: f64,
    /// Shard maps by the number of their configuration version. Versions without a map are left out.
    pub maps: BTreeMap<u64, MapVersion>,
    /// Ids of the segments that each request covers, by request id, as reported by clients. For other requests, they
    /// are taken from the recorded attempts.
    pub requested_segments: BTreeMap<String, BTreeSet<u64>>,
    /// All runs of non-idempotent parts, as counted by the nodes.
    pub node_runs: Vec<NodeRun>,
    /// Upper bound of the debt between any two partners, in bytes; `None` if it is unknown.
    pub max_debt_bytes: Option<u64>,
}

/// The shard map of a configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MapVersion {
    /// Epoch of the map.
    pub epoch: u64,
    /// Name of each segment's owner, by segment id.
    pub owners: BTreeMap<u64, String>,
}

/// A run of a non-idempotent part, as counted by the node that executed it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRun {
    /// Id of the request that the part belongs to.
    pub request_id: String,
    /// Id of the segment that the part is for.
    pub segment_id: u64,
    /// Time at which the part reached the node, in seconds on the monotonic clock.
    pub arrived_at: f64,
    /// Name of the node.
    pub node: String,
}

/// Checks the records and returns all findings, each violation once.
pub fn audit(records: &Records, truth: &GroundTruth) -> Vec<Finding> {
    let mut findings: Vec<_> = records
        .invalid_lines
        .iter()
        .map(|(file, line)| Finding::InvalidRecord { file: file.clone(), line: *line })
        .collect();
    let attempts: Vec<_> = records.entries.iter().filter_map(SentAttempt::from_record).collect();
    leases::check_leases(records, truth, &mut findings);
    leases::check_conflicting_versions(records, truth, &attempts, &mut findings);
    attempts::check_ownership(truth, &attempts, &mut findings);
    attempts::check_duplicates(&attempts, &mut findings);
    runs::check_repeated(truth, &mut findings);
    runs::check_late(records, truth, &attempts, &mut findings);
    runs::check_overlapping(truth, &mut findings);
    quotas::check_quotas(records, &mut findings);
    settlements::check(records, truth, &mut findings);
    answers::check(records, truth, &attempts, &mut findings);
    versions::check(records, &mut findings);
    findings
}

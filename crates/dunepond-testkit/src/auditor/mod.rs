//! Reads what all brokers of a fleet did and finds what must never be. It knows the lease, the maps and what clients
//! asked for from elsewhere than from brokers: what a broker says of itself is judged, not believed.

mod answers;
mod attempts;
mod finding;
mod leases;
pub mod limits;
pub mod records;
mod runs;
mod settlements;
mod versions;

use std::collections::{BTreeMap, BTreeSet};

use attempts::SentAttempt;
pub use finding::Finding;
pub use leases::longest_contradiction;
pub use records::{AuditEvent, AuditPhase, AuditRecord, Records};

/// What the records are judged by.
#[derive(Clone, Debug, Default)]
pub struct GroundTruth {
    /// What two clock readings of one event may be apart, in seconds.
    pub clock_slack_seconds: f64,
    /// For so long after a part was sent to one owner it may still run there: the longest query timeout, in seconds.
    pub max_query_seconds: f64,
    /// Each version that has a map.
    pub maps: BTreeMap<u64, MapVersion>,
    /// The segments that each request asked for, where the clients tell; from its attempts otherwise.
    pub requested: BTreeMap<String, BTreeSet<u64>>,
    /// Parts that must not run twice and came to nodes, once for each run.
    pub runs: Vec<NodeRun>,
    /// What there is to be settled between any two partners at most, if that is known, in bytes.
    pub max_debt_bytes: Option<u64>,
}

/// What the auditor knows of the map in a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MapVersion {
    /// The map's epoch.
    pub epoch: u64,
    /// Each segment's owner.
    pub owners: BTreeMap<u64, String>,
}

/// A part that must not run twice and came to a node, as the node counted it.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRun {
    /// The request that it is a part of.
    pub request_id: String,
    /// Its segment.
    pub segment_id: u64,
    /// When it came, in seconds of the monotonic clock.
    pub at: f64,
    /// The node's name.
    pub node: String,
}

/// All that is wrong, each thing once.
pub fn audit(records: &Records, truth: &GroundTruth) -> Vec<Finding> {
    let mut found: Vec<_> = records
        .unreadable
        .iter()
        .map(|(file, line)| Finding::Unreadable { file: file.clone(), line: *line })
        .collect();
    let attempts: Vec<_> = records.lines.iter().filter_map(SentAttempt::of).collect();
    leases::check_leases(records, truth, &mut found);
    leases::check_conflicting_versions(records, truth, &attempts, &mut found);
    attempts::check_ownership(truth, &attempts, &mut found);
    attempts::check_duplicates(&attempts, &mut found);
    runs::check_repeated(truth, &mut found);
    runs::check_late(records, truth, &attempts, &mut found);
    runs::check_overlapping(truth, &mut found);
    limits::check_quotas(records, &mut found);
    settlements::check(records, truth, &mut found);
    answers::check(records, truth, &attempts, &mut found);
    versions::check(records, &mut found);
    found
}

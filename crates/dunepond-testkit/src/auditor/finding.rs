//! What the auditor finds.

use thiserror::Error;

/// What must never be, with what shows it. Times are in seconds.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Finding {
    /// A part that must not run twice was sent on one version alone while another broker might act on another alone.
    #[error(
        "{broker} sent {request_id}/{segment_id} on version {version} alone at {at:.3}, while {other} might act on {other_version} alone"
    )]
    ConflictingVersions {
        broker: String,
        request_id: String,
        segment_id: u64,
        version: u64,
        other: String,
        other_version: u64,
        at: f64,
    },
    /// Parts of a segment went to two owners while the first might still be at work.
    #[error("segment {segment_id}: non-replayable parts at {first} and {second} within {apart:.3} s")]
    TwoOwners { segment_id: u64, first: String, second: String, apart: f64 },
    /// A part went to a node that does not own its segment in each version that it was sent on.
    #[error(
        "{broker} sent {request_id}/{segment_id} to {node}, which is not its one owner under {versions:?}"
    )]
    NotOwner { broker: String, request_id: String, segment_id: u64, node: String, versions: Vec<u64> },
    /// An attempt on a version after the end of the lease on it.
    #[error("{broker} sent {request_id}/{segment_id} {late:.3} s after the end of its lease")]
    SentAfterLease { broker: String, request_id: String, segment_id: u64, late: f64 },
    /// A part that must not run twice was sent by a broker that never had a lease.
    #[error("{broker} sent the non-replayable {request_id}/{segment_id} without a lease")]
    SentWithoutLease { broker: String, request_id: String, segment_id: u64 },
    /// A part that must not run twice was sent twice where nothing can have told that the first never ran.
    #[error(
        "the non-replayable {request_id}/{segment_id} was sent by {first} and by {second}, or twice in one go"
    )]
    DuplicateAttempt { request_id: String, segment_id: u64, first: String, second: String },
    /// Nodes counted more than one run of a part that must not run twice.
    #[error("nodes ran the non-replayable {request_id}/{segment_id} {times} times")]
    RanTwice { request_id: String, segment_id: u64, times: usize },
    /// A part came to its node long after all leases on the versions that it was sent on.
    #[error(
        "the non-replayable {request_id}/{segment_id}, sent by {broker} on {versions:?}, came {late:.3} s after the last lease on that"
    )]
    RanAfterLease { broker: String, request_id: String, segment_id: u64, versions: Vec<u64>, late: f64 },
    /// Two nodes may have been at work on one segment at a time.
    #[error("non-replayable parts of segment {segment_id} came to {first} and {second} within {apart:.3} s")]
    OverlappingRuns { segment_id: u64, first: String, second: String, apart: f64 },
    /// Brokers together might use more than the whole of a quota.
    #[error("at {at:.3} the brokers' parts of {bound} come to {units} of {whole}: {brokers}")]
    QuotaExceeded { bound: String, units: u64, whole: u64, at: f64, brokers: String },
    /// Brokers recorded different ends of one plan.
    #[error("plan {id} ended as {first} and as {second}")]
    PlanOutcomeConflict { id: String, first: String, second: String },
    /// A broker applied a settlement twice in one incarnation.
    #[error("{broker} applied settlement {id} again")]
    SettlementReapplied { broker: String, id: String },
    /// Two brokers disagree on what a settlement says.
    #[error("settlement {id} is not the same at {broker} as elsewhere")]
    SettlementMismatch { broker: String, id: String },
    /// One fill was settled under two ids.
    #[error("fill {fill} has settled as {first} and as {second}")]
    FillSettledTwice { fill: String, first: String, second: String },
    /// More was settled than was owed.
    #[error(
        "{broker} applied settlements of {settled} bytes that {debtor} owed {creditor}, of a debt of {owed}"
    )]
    SettledBeyondDebt { broker: String, debtor: String, creditor: String, settled: u64, owed: u64 },
    /// An answer called complete lacks segments that were asked for.
    #[error("{broker} called {request_id} whole without segments {missing:?}")]
    FalselyComplete { broker: String, request_id: String, missing: Vec<u64> },
    /// An answer called complete puts parts of two maps together.
    #[error(
        "{broker} called {request_id} whole under epoch {epoch}, but segment {segment_id} was sent under {under:?}"
    )]
    MixedEpochs { broker: String, request_id: String, epoch: u64, segment_id: u64, under: Vec<u64> },
    /// A version was confirmed with different contents.
    #[error("version {number} was confirmed with {digests:?}")]
    DigestConflict { number: u64, digests: Vec<String> },
    /// A version was both confirmed and withdrawn.
    #[error("version {number} was both confirmed and withdrawn")]
    ConfirmedAndWithdrawn { number: u64 },
    /// A broker could not record some of what it did.
    #[error("{broker} has no record of {count} of its acts")]
    RecordsLost { broker: String, count: u64 },
    /// A line that is no record.
    #[error("{file}, line {line}: not a record")]
    Unreadable { file: String, line: usize },
}

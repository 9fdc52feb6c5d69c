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
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// The version that it was sent on.
        version: u64,
        /// The other broker.
        other: String,
        /// The version that the other might act on.
        other_version: u64,
        /// When.
        at: f64,
    },
    /// Parts of a segment went to two owners while the first might still be at work.
    #[error("segment {segment_id}: non-replayable parts at {first} and {second} within {apart:.3} s")]
    TwoOwners {
        /// The segment.
        segment_id: u64,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
        /// Seconds between them.
        apart: f64,
    },
    /// A part went to a node that does not own its segment in each version that it was sent on.
    #[error(
        "{broker} sent {request_id}/{segment_id} to {node}, which is not its one owner under {versions:?}"
    )]
    NotOwner {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// The node.
        node: String,
        /// The versions that it was sent on.
        versions: Vec<u64>,
    },
    /// An attempt on a version after the end of the lease on it.
    #[error("{broker} sent {request_id}/{segment_id} {late:.3} s after the end of its lease")]
    SentAfterLease {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// By how many seconds.
        late: f64,
    },
    /// A part that must not run twice was sent by a broker that never had a lease.
    #[error("{broker} sent the non-replayable {request_id}/{segment_id} without a lease")]
    SentWithoutLease {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
    },
    /// A part that must not run twice was sent twice where nothing can have told that the first never ran.
    #[error(
        "the non-replayable {request_id}/{segment_id} was sent by {first} and by {second}, or twice in one go"
    )]
    DuplicateAttempt {
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
    },
    /// Nodes counted more than one run of a part that must not run twice.
    #[error("nodes ran the non-replayable {request_id}/{segment_id} {times} times")]
    RanTwice {
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// How often.
        times: usize,
    },
    /// A part came to its node long after all leases on the versions that it was sent on.
    #[error(
        "the non-replayable {request_id}/{segment_id}, sent by {broker} on {versions:?}, came {late:.3} s after the last lease on that"
    )]
    RanAfterLease {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The segment.
        segment_id: u64,
        /// The versions that it was sent on.
        versions: Vec<u64>,
        /// By how many seconds.
        late: f64,
    },
    /// Two nodes may have been at work on one segment at a time.
    #[error("non-replayable parts of segment {segment_id} came to {first} and {second} within {apart:.3} s")]
    OverlappingRuns {
        /// The segment.
        segment_id: u64,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
        /// Seconds between them.
        apart: f64,
    },
    /// Brokers together might use more than the whole of a quota.
    #[error("at {at:.3} the brokers' parts of {bound} come to {units} of {whole}: {brokers}")]
    QuotaExceeded {
        /// The quota.
        bound: String,
        /// The sum of the brokers' parts.
        units: u64,
        /// The whole of the quota.
        whole: u64,
        /// When.
        at: f64,
        /// Each broker's part.
        brokers: String,
    },
    /// Brokers recorded different ends of one plan.
    #[error("plan {id} ended as {first} and as {second}")]
    PlanOutcomeConflict {
        /// Its id.
        id: String,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
    },
    /// A broker applied a settlement twice in one incarnation.
    #[error("{broker} applied settlement {id} again")]
    SettlementReapplied {
        /// The broker.
        broker: String,
        /// Its id.
        id: String,
    },
    /// Two brokers disagree on what a settlement says.
    #[error("settlement {id} is not the same at {broker} as elsewhere")]
    SettlementMismatch {
        /// The broker.
        broker: String,
        /// Its id.
        id: String,
    },
    /// One fill was settled under two ids.
    #[error("fill {fill} has settled as {first} and as {second}")]
    FillSettledTwice {
        /// The fill.
        fill: String,
        /// The first of the two.
        first: String,
        /// The second of the two.
        second: String,
    },
    /// More was settled than was owed.
    #[error(
        "{broker} applied settlements of {settled} bytes that {debtor} owed {creditor}, of a debt of {owed}"
    )]
    SettledBeyondDebt {
        /// The broker.
        broker: String,
        /// The partner that owed.
        debtor: String,
        /// The partner that was owed.
        creditor: String,
        /// Bytes that were settled.
        settled: u64,
        /// Bytes that were owed.
        owed: u64,
    },
    /// An answer called complete lacks segments that were asked for.
    #[error("{broker} called {request_id} whole without segments {missing:?}")]
    FalselyComplete {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// Segments that are missing.
        missing: Vec<u64>,
    },
    /// An answer called complete puts parts of two maps together.
    #[error(
        "{broker} called {request_id} whole under epoch {epoch}, but segment {segment_id} was sent under {under:?}"
    )]
    MixedEpochs {
        /// The broker.
        broker: String,
        /// The request.
        request_id: String,
        /// The epoch that the answer names.
        epoch: u64,
        /// The segment.
        segment_id: u64,
        /// Epochs that the segment was sent under.
        under: Vec<u64>,
    },
    /// A version was confirmed with different contents.
    #[error("version {number} was confirmed with {digests:?}")]
    DigestConflict {
        /// The version.
        number: u64,
        /// The digests.
        digests: Vec<String>,
    },
    /// A version was both confirmed and withdrawn.
    #[error("version {number} was both confirmed and withdrawn")]
    ConfirmedAndWithdrawn {
        /// The version.
        number: u64,
    },
    /// A broker could not record some of what it did.
    #[error("{broker} has no record of {count} of its acts")]
    RecordsLost {
        /// The broker.
        broker: String,
        /// How many.
        count: u64,
    },
    /// A line that is no record.
    #[error("{file}, line {line}: not a record")]
    Unreadable {
        /// The file.
        file: String,
        /// The line.
        line: usize,
    },
}

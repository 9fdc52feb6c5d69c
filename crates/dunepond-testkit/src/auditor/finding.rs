//! Findings of the auditor: violations of the rules that the records of a run show.

use thiserror::Error;

/// A violation of a rule, with the evidence for it. Moments are in seconds on the monotonic clock.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Finding {
    /// A broker sent a non-idempotent part under one active configuration version while another broker might have had a
    /// different one active.
    #[error(
        "at {at:.3} s, broker {broker} sent the non-idempotent part {request_id}/{segment_id} under active \
         configuration version {version}, while version {other_version} might have been active at broker \
         {other_broker}"
    )]
    ConflictingVersions {
        /// Name of the broker that sent the part.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Number of the configuration version under which the part was sent.
        version: u64,
        /// Name of the broker with the other configuration version.
        other_broker: String,
        /// Number of the configuration version that might have been active at the other broker.
        other_version: u64,
        /// When the part was sent, in seconds on the monotonic clock.
        at: f64,
    },
    /// Non-idempotent parts for one segment were sent to two owners while the first might still have been executing.
    #[error(
        "segment {segment_id}: non-idempotent parts were sent to {first_node} and {second_node} within {interval_seconds:.3} s"
    )]
    TwoOwners {
        /// Id of the segment.
        segment_id: u64,
        /// Name of the node that the earlier part was sent to.
        first_node: String,
        /// Name of the node that the later part was sent to.
        second_node: String,
        /// Time between the two attempts, in seconds.
        interval_seconds: f64,
    },
    /// A non-idempotent part was sent to a node that is not the owner of its segment: at least one of the configuration
    /// versions under which the part was sent does not name this node as the owner.
    #[error(
        "broker {broker} sent the non-idempotent part {request_id}/{segment_id} to {node}, which does not own the \
         segment in all of the configuration versions {versions:?}"
    )]
    NotOwner {
        /// Name of the broker that sent the part.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Name of the node that the part was sent to.
        node: String,
        /// Numbers of the configuration versions under which the part was sent.
        versions: Vec<u64>,
    },
    /// A broker recorded an attempt as allowed by its lease after that lease had expired.
    #[error(
        "broker {broker} sent part {request_id}/{segment_id} {late_seconds:.3} s after its lease had expired"
    )]
    SentAfterLease {
        /// Name of the broker that sent the part.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Time from the end of the lease to the attempt, in seconds.
        late_seconds: f64,
    },
    /// A broker sent a non-idempotent part in a phase in which it had no valid lease.
    #[error("broker {broker} sent the non-idempotent part {request_id}/{segment_id} without a lease")]
    SentWithoutLease {
        /// Name of the broker that sent the part.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
    },
    /// A non-idempotent part was sent again by another incarnation, or under the same attempt number, so that the
    /// second sender cannot have known that the first attempt never ran.
    #[error(
        "the non-idempotent part {request_id}/{segment_id} was sent by broker {first_broker} and again by broker \
         {second_broker}, in different incarnations or under the same attempt number"
    )]
    DuplicateAttempt {
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Name of the broker that sent the first attempt.
        first_broker: String,
        /// Name of the broker that sent the second attempt. It is the same as `first_broker` if a single incarnation of that
        /// broker sent all attempts and repeated an attempt number.
        second_broker: String,
    },
    /// The nodes counted more than one run of a non-idempotent part.
    #[error("nodes ran the non-idempotent part {request_id}/{segment_id} {run_count} times")]
    RanTwice {
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Number of runs.
        run_count: usize,
    },
    /// A non-idempotent part reached its node after all leases that allowed it had expired, by more than the longest
    /// query timeout.
    #[error(
        "the non-idempotent part {request_id}/{segment_id}, sent by broker {broker} under configuration versions \
         {versions:?}, reached its node {late_seconds:.3} s after the last lease for them had expired"
    )]
    RanAfterLease {
        /// Name of the broker that sent the part.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Id of the segment that the part is for.
        segment_id: u64,
        /// Numbers of the configuration versions under which the part was sent.
        versions: Vec<u64>,
        /// Time from the end of the last lease, or from the attempt if that was later, to the part's arrival, in
        /// seconds.
        late_seconds: f64,
    },
    /// Two nodes might have executed non-idempotent parts for one segment at the same time.
    #[error(
        "segment {segment_id}: non-idempotent parts reached {first_node} and {second_node} within {interval_seconds:.3} s"
    )]
    OverlappingRuns {
        /// Id of the segment.
        segment_id: u64,
        /// Name of the node that the earlier part reached.
        first_node: String,
        /// Name of the node that the later part reached.
        second_node: String,
        /// Time between the two arrivals, in seconds.
        interval_seconds: f64,
    },
    /// The brokers' shares of a quota added up to more than the quota.
    #[error(
        "at {at:.3} s, the brokers' shares of quota {quota} add up to {total_units} units, but the quota has \
         {quota_units}: {shares}"
    )]
    QuotaExceeded {
        /// Name of the quota.
        quota: String,
        /// Sum of the brokers' shares, in units.
        total_units: u64,
        /// Number of units in the quota.
        quota_units: u64,
        /// When the sum first exceeded the quota, in seconds on the monotonic clock.
        at: f64,
        /// Share of each broker in units, as text.
        shares: String,
    },
    /// Brokers recorded different outcomes of one plan.
    #[error("plan {plan_id} was recorded with the outcomes {first_outcome} and {second_outcome}")]
    PlanOutcomeConflict {
        /// Id of the plan.
        plan_id: String,
        /// Outcome in the first record.
        first_outcome: String,
        /// Outcome in a later record.
        second_outcome: String,
    },
    /// A broker applied a settlement twice in one incarnation.
    #[error("broker {broker} applied settlement {settlement_id} twice in one incarnation")]
    SettlementReapplied {
        /// Name of the broker.
        broker: String,
        /// Id of the settlement.
        settlement_id: String,
    },
    /// A settlement has other terms at a broker than in the first record of it.
    #[error("settlement {settlement_id} has other terms at broker {broker} than in its first record")]
    SettlementMismatch {
        /// Name of the broker.
        broker: String,
        /// Id of the settlement.
        settlement_id: String,
    },
    /// One fill was settled under two settlement ids.
    #[error("fill {fill_id} was settled as {first_settlement_id} and as {second_settlement_id}")]
    FillSettledTwice {
        /// Id of the fill.
        fill_id: String,
        /// Id of the settlement that was recorded first.
        first_settlement_id: String,
        /// Id of the other settlement.
        second_settlement_id: String,
    },
    /// A broker settled more between two partners than was owed.
    #[error(
        "broker {broker} applied settlements of {settled_bytes} bytes from debtor {debtor} to creditor {creditor}, more \
         than the debt of {owed_bytes} bytes"
    )]
    SettledBeyondDebt {
        /// Name of the broker.
        broker: String,
        /// Name of the partner that owed the bytes.
        debtor: String,
        /// Name of the partner that the bytes were owed to.
        creditor: String,
        /// Number of bytes that were settled.
        settled_bytes: u64,
        /// Number of bytes that were owed at most.
        owed_bytes: u64,
    },
    /// An answer marked complete lacks segments that were requested.
    #[error(
        "broker {broker} marked the answer to {request_id} complete, but segments {missing_segments:?} are missing"
    )]
    FalselyComplete {
        /// Name of the broker.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Ids of the segments that are missing.
        missing_segments: Vec<u64>,
    },
    /// An answer marked complete combines parts of different shard maps.
    #[error(
        "broker {broker} marked the answer to {request_id} complete under map epoch {epoch}, but segment \
         {segment_id} was sent under epochs {attempt_epochs:?}"
    )]
    MixedEpochs {
        /// Name of the broker.
        broker: String,
        /// Id of the request.
        request_id: String,
        /// Map epoch that the answer names.
        epoch: u64,
        /// Id of a segment that was not sent under that epoch.
        segment_id: u64,
        /// Map epochs under which the segment was sent.
        attempt_epochs: Vec<u64>,
    },
    /// A configuration version was confirmed with different contents.
    #[error("configuration version {version} was confirmed with different digests: {digests:?}")]
    DigestConflict {
        /// Number of the configuration version.
        version: u64,
        /// Digests with which the version was confirmed.
        digests: Vec<String>,
    },
    /// A configuration version was both confirmed and withdrawn.
    #[error("configuration version {version} was both confirmed and withdrawn")]
    ConfirmedAndWithdrawn {
        /// Number of the configuration version.
        version: u64,
    },
    /// A broker lost audit records.
    #[error("broker {broker} lost {count} audit records")]
    RecordsLost {
        /// Name of the broker.
        broker: String,
        /// Number of lost records.
        count: u64,
    },
    /// A line of a file is not a valid audit record.
    #[error("{file}, line {line}: not a valid audit record")]
    InvalidRecord {
        /// Path of the file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
    },
}

//! Reasons for which a command, a configuration version or a lease reply is not accepted.

use dunepond_quota::QuotaError;
use dunepond_rebalance::RebalanceError;
use dunepond_settlement::SettlementError;
use dunepond_shard_map::MapFault;

/// Largest number of map faults that an error message lists.
const MAX_LISTED_FAULTS: usize = 3;

/// Why a command, a configuration version or a lease reply was rejected. A rejected input changes nothing.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The command was proposed at a follower. The value is the name of the leader, if it is known.
    #[error("this broker is not the leader; known leader: {0:?}")]
    NotLeader(Option<String>),
    /// Another version is already proposed, and neither active nor withdrawn yet; only one may be proposed at a time.
    #[error("version {number} is already proposed, and neither active nor withdrawn yet")]
    AlreadyProposed {
        /// Number of the proposed version.
        number: u64,
    },
    /// The version's number is not the next one; numbers are consecutive and never reused.
    #[error("the proposed version has number {given}, but the next number is {expected}")]
    WrongNumber {
        /// Number of the proposed version.
        given: u64,
        /// The next number.
        expected: u64,
    },
    /// The version is based on a version that is not the active one.
    #[error("the version is based on version {given}, but version {in_force} is active")]
    WrongBase {
        /// Number of the version on which the proposed one is based.
        given: u64,
        /// Number of the active version.
        in_force: u64,
    },
    /// A routing rule is out of range.
    #[error("rules: `{key}` is {value}, expected {expected}")]
    InvalidRule {
        /// Key of the rule in the operator's file.
        key: &'static str,
        /// Value that was proposed.
        value: f64,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The ratio of brokers that act on the version in its first stage is out of range.
    #[error("`stage` is {0}, expected a ratio above 0 and below 1")]
    InvalidStage(f64),
    /// The shard map is invalid, or there is no safe transition to it.
    #[error("the map is invalid: {}", list(.0))]
    InvalidMap(Vec<MapFault>),
    /// The version has a shard map, and the consensus configuration does not allow maps.
    #[error("the version has a shard map, and the fleet's configuration does not allow one")]
    MapsDisabled,
    /// The version has no shard map, but the active version has one; a map cannot be removed.
    #[error("version {0} has no shard map, but the active version has one")]
    MapDropped(u64),
    /// The version's map names a segment owner that the same version excludes.
    #[error("segment {segment}: its owner `{owner}` is draining or removed in the same version")]
    OwnerExcluded {
        /// Id of the segment.
        segment: u64,
        /// Name of the owner node.
        owner: String,
    },
    /// The version changes too many segments.
    #[error("the version changes {changed} of {total} segments; the largest allowed ratio is {max_ratio}")]
    TooManySegments {
        /// Number of segments that the version changes.
        changed: usize,
        /// Number of all segments.
        total: usize,
        /// Largest ratio of segments that one version may change.
        max_ratio: f64,
    },
    /// The command refers to a version that is not the proposed one.
    #[error("version {0} is not the proposed version")]
    NotProposed(u64),
    /// The command activates a version that is not in its first stage. Only the leader may write such a command, since
    /// it decides by its clock when all brokers act on the joint configuration.
    #[error("only the leader may activate version {0}")]
    LeaderOnly(u64),
    /// Fills that the proposed version requires are not complete.
    #[error("{missing} fills that version {number} requires are not complete")]
    FillsMissing {
        /// Number of the proposed version.
        number: u64,
        /// Number of fills that are not complete.
        missing: usize,
    },
    /// The fill is not required, or was already reported as complete.
    #[error(
        "version {number} requires no fill of segment {segment} at node `{holder}`, or it is already complete"
    )]
    FillNotNeeded {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node that stores the filled replica.
        holder: String,
    },
    /// The version is being rolled back from its first stage, so it can neither be activated nor withdrawn again.
    #[error("version {0} is being rolled back")]
    RollingBack(u64),
    /// The settlement of this id, which records that a fill paid off a transfer debt, was already applied.
    #[error("settlement `{0}` was already applied")]
    AlreadySettled(String),
    /// The log entry was already applied.
    #[error("the entry was already applied")]
    AlreadyApplied,
    /// The ledger of transfer debts between partners (organisations that run nodes) rejected the entry.
    #[error("{0}")]
    Settlement(SettlementError),
    /// The ledger of brokers' quota shares rejected the entry.
    #[error("{0}")]
    Quota(QuotaError),
    /// The rebalancing plan rejected the entry.
    #[error("{0}")]
    Rebalance(Box<RebalanceError>),
    /// The raft library did not accept the entry, because too many proposed entries are not yet committed.
    #[error("too many proposed entries are not yet committed")]
    Busy,
    /// The consensus configuration cannot change while a version is proposed.
    #[error("the consensus configuration cannot change while version {0} is proposed")]
    ConfigWhileProposed(u64),
    /// The list of voters is empty.
    #[error("the list of voters is empty")]
    NoVoters,
    /// A voter is listed twice.
    #[error("voter `{0}` is listed twice")]
    DuplicateVoter(String),
    /// The number of the list of voters is not the next one; numbers of lists are consecutive.
    #[error("the list of voters has number {given}, expected {expected}")]
    WrongVotersNumber {
        /// Number of the proposed list.
        given: u64,
        /// The next number.
        expected: u64,
    },
    /// The proposed list of voters is the same as the one in force.
    #[error("the proposed list of voters is already in force")]
    VotersUnchanged,
    /// Another list of voters is pending; only one change of voters is allowed at a time.
    #[error("voter list {number} is pending until its new voter is ready")]
    VotersPending {
        /// Number of the pending list.
        number: u64,
    },
    /// More than one voter would join, or more than one would leave.
    #[error("voters join ({}) and leave ({}); at most one may join and one may leave at a time", joins.join(", "), leaves.join(", "))]
    TooManyVoterChanges {
        /// Names of the joining voters.
        joins: Vec<String>,
        /// Names of the leaving voters.
        leaves: Vec<String>,
    },
    /// The replacement of voters is for a list that is no longer the pending one, or the folder of one of the voters
    /// has changed.
    #[error("voter list {number} is not the pending one, or a voter's folder has changed")]
    VotersSuperseded {
        /// Number of the list.
        number: u64,
    },
    /// The broker of this name is not a voter.
    #[error("`{0}` is not a voter in the committed list")]
    NotAVoter(String),
    /// The version has a required key that this build does not know.
    #[error("version {number} requires key `{key}`, which this build does not know")]
    UnknownKey {
        /// Number of the version.
        number: u64,
        /// Path of the key.
        key: String,
    },
    /// The version has a required key that another voter's build does not know.
    #[error("version {number} requires key `{key}`, which the build of voter `{voter}` does not know")]
    UnknownKeyAtVoter {
        /// Number of the version.
        number: u64,
        /// Path of the key.
        key: String,
        /// Name of the voter.
        voter: String,
    },
    /// A log entry was written by another build, or is malformed.
    #[error("the log entry was written by another build, or is malformed")]
    UnknownEntry,
    /// A lease reply has a required part that this build does not know.
    #[error("the reply requires part `{0}`, which this build does not know")]
    UnknownPart(String),
    /// A version's document in a lease reply differs from the one that was committed.
    #[error("version {number} has digest {actual}, but the committed digest is {stated}")]
    DigestMismatch {
        /// Number of the version.
        number: u64,
        /// Digest that was committed.
        stated: String,
        /// Digest of the document in the reply.
        actual: String,
    },
    /// A lease reply refers to a version whose document it does not contain and this broker does not have.
    #[error("the reply refers to version {0} and does not contain its document")]
    MissingDocument(u64),
    /// A lease reply contains an earlier replicated state than the one that this broker has already adopted.
    #[error(
        "the reply reflects the log up to index {stated}, and this broker knows the log up to index {known}"
    )]
    StaleReply {
        /// Log index of the reply.
        stated: u64,
        /// Log index that this broker knows.
        known: u64,
    },
    /// A lease reply states an earlier epoch than the fleet's. Each recovery from a lost majority begins a new epoch,
    /// so the reply is from before a recovery.
    #[error("the reply has epoch {stated}, and this broker knows that the fleet is in epoch {known}")]
    StaleEpoch {
        /// Epoch of the reply.
        stated: u64,
        /// Epoch that this broker knows.
        known: u64,
    },
    /// A lease reply is from another fleet, which was founded independently of this broker's.
    #[error("the reply is from another fleet")]
    OtherFleet,
    /// The fleet was recovered, and leases from before the recovery may still be valid.
    #[error("the fleet was recovered by an operator's order, and earlier leases may still be valid")]
    LeasesSuspended,
    /// A lease reply does not belong to a pending request that this process sent.
    #[error("the reply belongs to request {0}, which is not pending")]
    UnexpectedReply(u64),
    /// The voter that replied to a lease request knows no leader.
    #[error("the voter that replied knows no leader")]
    NoLeader,
    /// The monotonic clock of this broker went back.
    #[error("the monotonic clock went from {from} back to {to}")]
    ClockWentBack {
        /// The clock's reading before it went back, in seconds.
        from: f64,
        /// The clock's reading after it went back, in seconds; lower than `from`.
        to: f64,
    },
    /// The clock of this broker is slower than the leader's by more than the configured drift allows.
    #[error(
        "this broker's clock is too slow or the leader's is too fast: while {leader:.3} s passed on the leader's clock, \
         at most {local:.3} s passed on this broker's"
    )]
    ClockDrift {
        /// Longest time that may have passed on this broker's clock, in seconds.
        local: f64,
        /// Time that passed on the leader's clock, in seconds.
        leader: f64,
    },
}

impl From<RebalanceError> for Rejection {
    fn from(error: RebalanceError) -> Self {
        Self::Rebalance(Box::new(error))
    }
}

fn list(faults: &[MapFault]) -> String {
    let listed: Vec<String> = faults.iter().take(MAX_LISTED_FAULTS).map(ToString::to_string).collect();
    let more = faults.len().saturating_sub(MAX_LISTED_FAULTS);
    if more > 0 { format!("{}; and {more} more", listed.join("; ")) } else { listed.join("; ") }
}

impl Rejection {
    /// Returns what an operator can do about the rejection.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotLeader(_) => {
                "propose it at the leader; the broker does so by itself once it knows the leader"
            }
            Self::AlreadyProposed { .. } => {
                "wait until the proposed version is active or withdrawn, or withdraw it"
            }
            Self::WrongNumber { .. } => {
                "give the version the expected number; numbers are never reused, not even those of withdrawn versions"
            }
            Self::WrongBase { .. } => {
                "merge the changes of the active version, then set `follows` to its number"
            }
            Self::InvalidRule { .. } => "set the key to a value in the expected range",
            Self::InvalidStage(_) => {
                "set `stage` to the ratio of brokers that act on the version first, or omit it"
            }
            Self::InvalidMap(_) => "correct each listed fault; a map is only accepted if it has none",
            Self::MapsDisabled => {
                "add a `map` line to `fleet` in each broker's file, restart the brokers, then propose the version"
            }
            Self::MapDropped(_) => "add the active version's map to the new version",
            Self::OwnerExcluded { .. } => "choose an owner that is neither draining nor removed",
            Self::TooManySegments { .. } => {
                "split the change into several versions, or raise `map most-changed` in the voters' files"
            }
            Self::NotProposed(_) => {
                "check which version is proposed now; this one is active or withdrawn, or was never proposed"
            }
            Self::LeaderOnly(_) => {
                "nothing to do: the leader activates it once all brokers act on the joint configuration"
            }
            Self::FillsMissing { .. } => {
                "wait for the fills, or find out why the fill service does not complete them"
            }
            Self::FillNotNeeded { .. } => {
                "nothing to do: a fill of an earlier version completed late, or was reported twice"
            }
            Self::RollingBack(_) => "wait until the version is withdrawn, then propose a new one",
            Self::AlreadySettled(_) | Self::AlreadyApplied => "nothing to do: the entry is only counted once",
            Self::Settlement(error) => error.help(),
            Self::Quota(error) => error.help(),
            Self::Rebalance(error) => error.help(),
            Self::Busy => "wait; if it persists, check that a majority of the voters is up and connected",
            Self::ConfigWhileProposed(_) => {
                "nothing to do: the leader proposes it again once the version is active or withdrawn"
            }
            Self::NoVoters
            | Self::DuplicateVoter(_)
            | Self::WrongVotersNumber { .. }
            | Self::VotersUnchanged
            | Self::VotersPending { .. }
            | Self::TooManyVoterChanges { .. }
            | Self::VotersSuperseded { .. }
            | Self::NotAVoter(_) => self.voters_help(),
            Self::UnknownKey { .. } => {
                "upgrade this broker to the build of the broker that proposed the version"
            }
            Self::UnknownKeyAtVoter { .. } => {
                "upgrade all voters, and then all brokers, to a build that knows the key; then propose the version"
            }
            Self::UnknownEntry => "upgrade this voter to the leader's build",
            Self::UnknownPart(_)
            | Self::DigestMismatch { .. }
            | Self::MissingDocument(_)
            | Self::StaleReply { .. }
            | Self::StaleEpoch { .. }
            | Self::OtherFleet
            | Self::LeasesSuspended
            | Self::UnexpectedReply(_)
            | Self::NoLeader
            | Self::ClockWentBack { .. }
            | Self::ClockDrift { .. } => self.reply_help(),
        }
    }

    fn voters_help(&self) -> &'static str {
        match self {
            Self::NoVoters => "list three or five voters; the last voter cannot be removed",
            Self::DuplicateVoter(_) => "list each voter once",
            Self::WrongVotersNumber { .. } => {
                "give the list the expected number: one above that of the last committed list, even if it was withdrawn"
            }
            Self::VotersUnchanged => "nothing to do: these voters are already in force",
            Self::VotersPending { .. } => {
                "start the new voter with an empty folder; or withdraw the change: propose the list in force under the next number"
            }
            Self::TooManyVoterChanges { .. } => {
                "change one voter at a time: propose the list in force with one voter added, removed or replaced, wait \
                 until the log reports that it is in force, then propose the next change under the next number"
            }
            Self::VotersSuperseded { .. } => {
                "nothing to do: the leader writes the change again if it is still pending"
            }
            _ => {
                "ask a voter of the committed list, which the log contains; put that list into this broker's file"
            }
        }
    }

    fn reply_help(&self) -> &'static str {
        match self {
            Self::UnknownPart(_) => "upgrade this broker to the voters' build",
            Self::DigestMismatch { .. } => {
                "a voter sent a document that differs from the committed one: check that voter's folder and build"
            }
            Self::MissingDocument(_) => "nothing to do: the reply to the next request contains it",
            Self::StaleReply { .. } => "nothing to do: a later reply arrived first",
            Self::StaleEpoch { .. } => {
                "stop the voter that sent it: the fleet was recovered without that voter, and its state is obsolete"
            }
            Self::OtherFleet => {
                "if the fleet was founded again, empty this broker's folder; otherwise find out to which fleet the voter belongs"
            }
            Self::LeasesSuspended => "wait for about the time of `bound`, then propose it again",
            Self::UnexpectedReply(_) => {
                "nothing to do if it is rare; if it is frequent, find out what duplicates or delays replies"
            }
            Self::ClockWentBack { .. } => {
                "the machine's monotonic clock is faulty: take the broker out of service until it is repaired"
            }
            Self::ClockDrift { .. } => {
                "one of the two clocks exceeds the configured `drift`: repair it, or raise `drift` and `bound`"
            }
            _ => "check that a majority of the voters is up and connected",
        }
    }
}

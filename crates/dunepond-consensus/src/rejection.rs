//! Reasons for which a command, a version or a lease reply is not accepted.

use dunepond_quota::QuotaError;
use dunepond_rebalance::RebalanceError;
use dunepond_settlement::SettlementError;
use dunepond_shard_map::MapFault;

/// Number of faults of a map that an error message lists.
const SHOWN_FAULT_COUNT: usize = 3;

/// Why something was not accepted; nothing changed because of it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The command was proposed at a follower.
    #[error("this broker is not the leader; leader: {0:?}")]
    NotLeader(Option<String>),
    /// Another change is open; only one is allowed at a time.
    #[error("version {open} is proposed and not yet active or withdrawn")]
    ChangeOpen {
        /// Number of the proposed version.
        open: u64,
    },
    /// The version's number is not the next one; numbers are consecutive and never reused.
    #[error("version {given} was proposed, the next number is {expected}")]
    WrongNumber {
        /// Number of the proposed version.
        given: u64,
        /// The next number.
        expected: u64,
    },
    /// The version is based on another version than the active one.
    #[error("the version is based on {given}, and {in_force} is active")]
    WrongBase {
        /// Number on which the proposed version is based.
        given: u64,
        /// Number of the active version.
        in_force: u64,
    },
    /// A rule is out of range.
    #[error("rules: `{key}` is {value}, expected {expected}")]
    InvalidRule {
        /// Key in the operator's file.
        key: &'static str,
        /// Value that was proposed.
        value: f64,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// The ratio of the first stage is out of range.
    #[error("stage is {0}, expected a ratio above 0 and below 1")]
    InvalidStage(f64),
    /// The shard map is invalid, or there is no safe transition to it.
    #[error("the map is invalid: {}", list(.0))]
    InvalidMap(Vec<MapFault>),
    /// The version has a map, and the fleet runs without maps.
    #[error("the version has a map, and the fleet's configuration has none")]
    MapsDisabled,
    /// The version has no map, and the active one has; a map cannot be taken away.
    #[error("version {0} has no map, the active one has")]
    MapDropped(u64),
    /// The same version excludes the owner of a segment.
    #[error("segment {segment}: owner `{owner}` is draining or removed by the same version")]
    OwnerExcluded {
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        owner: String,
    },
    /// The change touches too many segments.
    #[error("{changed} of {of} segments change, at most a ratio of {most} may at once")]
    TooManySegments {
        /// Number of segments that the change touches.
        changed: usize,
        /// Number of all segments.
        of: usize,
        /// Largest ratio of segments that one change may touch.
        most: f64,
    },
    /// The command refers to a version that is not the proposed one.
    #[error("version {0} is not the proposed one")]
    NotProposed(u64),
    /// Only the leader's clock decides when a version is activated.
    #[error("only the leader may activate version {0}")]
    LeaderOnly(u64),
    /// Required fills are missing.
    #[error("{missing} fills of version {number} are missing")]
    FillsMissing {
        /// Number of the proposed version.
        number: u64,
        /// Number of missing fills.
        missing: usize,
    },
    /// The fill is not required, or was already completed.
    #[error("version {number} requires no fill of segment {segment} at `{holder}`")]
    FillNotNeeded {
        /// Number of the proposed version.
        number: u64,
        /// Id of the segment.
        segment: u64,
        /// Name of the node.
        holder: String,
    },
    /// The version is being rolled back.
    #[error("version {0} is being rolled back")]
    RollingBack(u64),
    /// The settlement was already applied.
    #[error("settlement `{0}` is applied already")]
    AlreadySettled(String),
    /// The entry was already applied.
    #[error("the entry is applied already")]
    AlreadyApplied,
    /// The ledger of accounts between partners rejected the entry.
    #[error("{0}")]
    Settlement(SettlementError),
    /// The ledger of quotas rejected the entry.
    #[error("{0}")]
    Quota(QuotaError),
    /// The rebalancing plan rejected the entry.
    #[error("{0}")]
    Rebalance(Box<RebalanceError>),
    /// Too many entries are proposed and not yet committed.
    #[error("too many entries are proposed and not yet committed")]
    Busy,
    /// The configuration of the consensus cannot change while a version is proposed.
    #[error("another configuration of the consensus while version {0} is proposed")]
    ConfigWhileOpen(u64),
    /// The list of voters is empty.
    #[error("the list of voters is empty")]
    NoVoters,
    /// A voter is listed twice.
    #[error("voter `{0}` is listed twice")]
    DuplicateVoter(String),
    /// The number of the list is not the next one; numbers of lists are consecutive.
    #[error("the list of voters has number {given}, expected {expected}")]
    WrongVotersNumber {
        /// Number of the proposed list.
        given: u64,
        /// The next number.
        expected: u64,
    },
    /// The list is the same as the one in force.
    #[error("the list of voters is the active one")]
    VotersUnchanged,
    /// Another list of voters is pending; only one change of voters is allowed at a time.
    #[error("list {number} of voters is pending until its new voter is ready")]
    VotersPending {
        /// Number of the pending list.
        number: u64,
    },
    /// More than one voter would join, or more than one would leave.
    #[error("voters join ({}) and leave ({}); one may join, one may leave, at once", joins.join(", "), leaves.join(", "))]
    TooManyVoterChanges {
        /// Names of the joining voters.
        joins: Vec<String>,
        /// Names of the leaving voters.
        leaves: Vec<String>,
    },
    /// The list is no longer the pending one.
    #[error("list {number} of voters is not the pending one")]
    VotersSuperseded {
        /// Number of the list.
        number: u64,
    },
    /// The broker is not a voter.
    #[error("`{0}` is no voter by the committed list")]
    NotAVoter(String),
    /// This build does not know a required key.
    #[error("version {number}: `{key}` is not known to this build, and is required")]
    UnknownKey {
        /// Number of the version.
        number: u64,
        /// Path of the key.
        key: String,
    },
    /// Another voter's build does not know a required key.
    #[error("version {number}: `{key}` is not known to the build of voter `{voter}`, and is required")]
    UnknownKeyAtVoter {
        /// Number of the version.
        number: u64,
        /// Path of the key.
        key: String,
        /// Name of the voter.
        voter: String,
    },
    /// A log entry was written by another build, or is malformed.
    #[error("an entry is of a later build, or malformed")]
    UnknownEntry,
    /// This build does not know a required part of a reply.
    #[error("the reply has `{0}`, which is not known to this build, and is required")]
    UnknownPart(String),
    /// A document differs from the one that was committed.
    #[error("version {number} has the digest {actual}, {stated} was committed")]
    DigestMismatch {
        /// Number of the version.
        number: u64,
        /// Digest that was committed.
        stated: String,
        /// Digest of the document.
        actual: String,
    },
    /// The reply refers to a version whose document it does not contain.
    #[error("version {0} was committed, and its document did not come with the reply")]
    MissingDocument(u64),
    /// The reply is older than one that was already accepted.
    #[error("the reply is about the log up to {stated}, this broker knows it up to {known}")]
    StaleReply {
        /// Index of the reply.
        stated: u64,
        /// Index that this broker knows.
        known: u64,
    },
    /// The reply is from before the fleet was recovered.
    #[error("the reply is of epoch {stated} of the fleet, this broker has heard of {known}")]
    StaleEpoch {
        /// Epoch of the reply.
        stated: u64,
        /// Epoch that this broker knows.
        known: u64,
    },
    /// The reply is from a fleet that was founded separately.
    #[error("the reply is of another fleet")]
    OtherFleet,
    /// Leases from before a recovery may still run.
    #[error("the fleet was recovered by an operator's order, and earlier leases may still run")]
    LeasesSuspended,
    /// The reply belongs to no pending request.
    #[error("the reply is to request {0}, which is not pending")]
    UnexpectedReply(u64),
    /// No voter that replied knows a leader.
    #[error("no voter that replied knows a leader")]
    NoLeader,
    /// The monotonic clock of this broker went back.
    #[error("the monotonic clock went from {from} back to {to}")]
    ClockWentBack {
        /// The earlier reading, in seconds.
        from: f64,
        /// The later reading, in seconds.
        to: f64,
    },
    /// The clocks of leader and broker differ by more than the configured drift.
    #[error(
        "this clock runs too slow by the leader's, or the leader's too fast: {here:.3} s here at most, {there:.3} s there"
    )]
    ClockDrift {
        /// Longest time that may have passed on this broker's clock, in seconds.
        here: f64,
        /// Time that passed on the leader's clock, in seconds.
        there: f64,
    },
}

impl From<RebalanceError> for Rejection {
    fn from(error: RebalanceError) -> Self {
        Self::Rebalance(Box::new(error))
    }
}

fn list(faults: &[MapFault]) -> String {
    let shown: Vec<String> = faults.iter().take(SHOWN_FAULT_COUNT).map(ToString::to_string).collect();
    let more = faults.len().saturating_sub(SHOWN_FAULT_COUNT);
    if more > 0 { format!("{}; and {more} more", shown.join("; ")) } else { shown.join("; ") }
}

impl Rejection {
    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotLeader(_) => "propose at the leader; the broker does so by itself once it knows one",
            Self::ChangeOpen { .. } => "wait until the change is active or withdrawn, or withdraw it",
            Self::WrongNumber { .. } => {
                "number the version as expected: numbers are never reused, not even of withdrawn versions"
            }
            Self::WrongBase { .. } => {
                "merge what the active version has, then base the new one on it with `follows`"
            }
            Self::InvalidRule { .. } => "set the named key to a value as expected",
            Self::InvalidStage(_) => {
                "set `stage` to the ratio of brokers that act on it first, or leave it out"
            }
            Self::InvalidMap(_) => "correct each fault named; a map is only accepted as a whole",
            Self::MapsDisabled => {
                "give `fleet` a `map` line in each broker's file and restart them first, then propose"
            }
            Self::MapDropped(_) => "add the active map to the version",
            Self::OwnerExcluded { .. } => "give the segment an owner that stays",
            Self::TooManySegments { .. } => "split the change, or raise `map most-changed` at the voters",
            Self::NotProposed(_) => "look at which version is proposed now; this one has ended",
            Self::LeaderOnly(_) => "nothing to do: the leader does so once all brokers are joint",
            Self::FillsMissing { .. } => {
                "wait for the fills, or see why the fill service does not carry them out"
            }
            Self::FillNotNeeded { .. } => "nothing to do: a fill of an earlier change completed late",
            Self::RollingBack(_) => "wait until it is withdrawn, then propose again",
            Self::AlreadySettled(_) | Self::AlreadyApplied => "nothing to do: it counts once",
            Self::Settlement(error) => error.help(),
            Self::Quota(error) => error.help(),
            Self::Rebalance(error) => error.help(),
            Self::Busy => "wait; if it persists, see that a majority of the voters is up and connected",
            Self::ConfigWhileOpen(_) => "nothing to do: the leader proposes it after the change",
            Self::NoVoters
            | Self::DuplicateVoter(_)
            | Self::WrongVotersNumber { .. }
            | Self::VotersUnchanged
            | Self::VotersPending { .. }
            | Self::TooManyVoterChanges { .. }
            | Self::VotersSuperseded { .. }
            | Self::NotAVoter(_) => self.voters_help(),
            Self::UnknownKey { .. } => "upgrade this broker to the build of the one that proposed it",
            Self::UnknownKeyAtVoter { .. } => {
                "upgrade all voters, and then all brokers, to the build that knows the key; then propose it"
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
            Self::NoVoters => "name three or five voters; the last one cannot be removed",
            Self::DuplicateVoter(_) => "name each voter once",
            Self::WrongVotersNumber { .. } => {
                "number the list as expected: one above the last that was committed, withdrawn or not"
            }
            Self::VotersUnchanged => "nothing to do: these voters are active",
            Self::VotersPending { .. } => {
                "start the new voter with an empty folder; or withdraw it: propose the active list, one number on"
            }
            Self::TooManyVoterChanges { .. } => {
                "go step by step: propose the active list with one voter added, removed or replaced, wait until \
                 the log says that it is active, then the next, one number on"
            }
            Self::VotersSuperseded { .. } => "nothing to do: another change of voters came first",
            _ => {
                "ask a voter of the committed list, which the log names; put that list into this broker's file"
            }
        }
    }

    fn reply_help(&self) -> &'static str {
        match self {
            Self::UnknownPart(_) => "upgrade this broker to the voters' build",
            Self::DigestMismatch { .. } => {
                "a voter sent another document than was committed: look at that voter's folder and build"
            }
            Self::MissingDocument(_) => "nothing to do: the next request asks for it",
            Self::StaleReply { .. } => "nothing to do: a reply was overtaken by a later one",
            Self::StaleEpoch { .. } => {
                "stop the voter that sent it: the fleet was recovered without it, and it acts on a lost state"
            }
            Self::OtherFleet => {
                "if the fleet was founded anew, empty this broker's folder; else find out whose voters these are"
            }
            Self::LeasesSuspended => "wait about as long as `bound`, then propose again",
            Self::UnexpectedReply(_) => {
                "nothing to do once; if often, something duplicates replies or delays them for long"
            }
            Self::ClockWentBack { .. } => {
                "the machine's monotonic clock is faulty: take the broker out until it is repaired"
            }
            Self::ClockDrift { .. } => {
                "one of the two clocks exceeds the `drift` of the file: repair it, or raise `drift` and `bound`"
            }
            _ => "see that a majority of the voters is up and connected",
        }
    }
}

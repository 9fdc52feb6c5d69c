//! Why a command, a version or a lease reply is not accepted.

use dunepond_quota::QuotaError;
use dunepond_rebalance::RebalanceError;
use dunepond_settlement::SettlementError;
use dunepond_shard_map::MapFault;

/// Faults of a map that an error message shows.
const SHOWN_FAULT_COUNT: usize = 3;

/// Something was not accepted; nothing changed by it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// Proposed at a follower.
    #[error("this broker is not the leader; leader: {0:?}")]
    NotLeader(Option<String>),
    /// One change at a time.
    #[error("version {open} is proposed and not yet active or withdrawn")]
    ChangeOpen {
        /// Number of the proposed version.
        open: u64,
    },
    /// Numbers are consecutive and never reused.
    #[error("version {given} was proposed, the next number is {expected}")]
    WrongNumber {
        /// As proposed.
        given: u64,
        /// The next one.
        expected: u64,
    },
    /// The version was made from another one than the active one.
    #[error("the version is based on {given}, and {in_force} is active")]
    WrongBase {
        /// As proposed.
        given: u64,
        /// The active one.
        in_force: u64,
    },
    /// A rule is out of range.
    #[error("rules: `{key}` is {value}, expected {expected}")]
    InvalidRule {
        /// In the operator's file.
        key: &'static str,
        /// As proposed.
        value: f64,
        /// Valid values.
        expected: &'static str,
    },
    /// The ratio of the first stage is out of range.
    #[error("stage is {0}, expected a ratio above 0 and below 1")]
    InvalidStage(f64),
    /// The shard map is invalid, or there is no safe transition to it.
    #[error("the map is invalid: {}", list(.0))]
    InvalidMap(Vec<MapFault>),
    /// The fleet runs without maps.
    #[error("the version has a map, and the fleet's configuration has none")]
    MapsDisabled,
    /// A map cannot be taken away.
    #[error("version {0} has no map, the active one has")]
    MapDropped(u64),
    /// An owner is excluded by the same version.
    #[error("segment {segment}: owner `{owner}` is draining or removed by the same version")]
    OwnerExcluded {
        /// Id.
        segment: u64,
        /// Name of the node.
        owner: String,
    },
    /// The change touches too many segments.
    #[error("{changed} of {of} segments change, at most a ratio of {most} may at once")]
    TooManySegments {
        /// By this change.
        changed: usize,
        /// All segments.
        of: usize,
        /// Ratio that is allowed.
        most: f64,
    },
    /// The command is about a version that is not proposed now.
    #[error("version {0} is not the proposed one")]
    NotProposed(u64),
    /// Only the leader's clock decides when a version is activated.
    #[error("only the leader may activate version {0}")]
    LeaderOnly(u64),
    /// Required fills are missing.
    #[error("{left} fills of version {number} are missing")]
    FillsMissing {
        /// Of the proposed version.
        number: u64,
        /// Missing fills.
        left: usize,
    },
    /// The fill is not required, or completed before.
    #[error("version {number} requires no fill of segment {segment} at `{holder}`")]
    FillNotNeeded {
        /// Of the proposed version.
        number: u64,
        /// Id.
        segment: u64,
        /// Name of the node.
        holder: String,
    },
    /// The version is being rolled back.
    #[error("version {0} is being rolled back")]
    RollingBack(u64),
    /// The settlement was applied before.
    #[error("settlement `{0}` is applied already")]
    AlreadySettled(String),
    /// The entry was applied before.
    #[error("the entry is applied already")]
    AlreadyApplied,
    /// By the ledger of accounts between partners.
    #[error("{0}")]
    Settlement(SettlementError),
    /// By the ledger of quotas.
    #[error("{0}")]
    Quota(QuotaError),
    /// By the rebalancing plan.
    #[error("{0}")]
    Rebalance(Box<RebalanceError>),
    /// Too many entries are uncommitted.
    #[error("too many entries are proposed and not yet committed")]
    Busy,
    /// The configuration of the consensus does not change during a change of version.
    #[error("another configuration of the consensus while version {0} is proposed")]
    ConfigWhileOpen(u64),
    /// The list of voters is empty.
    #[error("the list of voters is empty")]
    NoVoters,
    /// A voter stands in the list twice.
    #[error("voter `{0}` is listed twice")]
    DuplicateVoter(String),
    /// Numbers of lists are consecutive.
    #[error("the list of voters has number {given}, expected {expected}")]
    WrongVotersNumber {
        /// As proposed.
        given: u64,
        /// The next one.
        expected: u64,
    },
    /// The list repeats the one in force.
    #[error("the list of voters is the active one")]
    VotersUnchanged,
    /// One change of voters at a time.
    #[error("list {number} of voters is pending until its new voter is ready")]
    VotersPending {
        /// Of the pending list.
        number: u64,
    },
    /// More than one voter would join, or leave.
    #[error("voters join ({}) and leave ({}); one may join, one may leave, at once", joins.join(", "), leaves.join(", "))]
    TooManyVoterChanges {
        /// Names of joining voters.
        joins: Vec<String>,
        /// Names of leaving voters.
        leaves: Vec<String>,
    },
    /// The list is not the pending one any more.
    #[error("list {number} of voters is not the pending one")]
    VotersSuperseded {
        /// Of the list.
        number: u64,
    },
    /// The broker does not vote.
    #[error("`{0}` is no voter by the committed list")]
    NotAVoter(String),
    /// This build does not know a required key.
    #[error("version {number}: `{key}` is not known to this build, and is required")]
    UnknownKey {
        /// Of the version.
        number: u64,
        /// Path of the key.
        key: String,
    },
    /// Another voter's build does not know a required key.
    #[error("version {number}: `{key}` is not known to the build of voter `{voter}`, and is required")]
    UnknownKeyAtVoter {
        /// Of the version.
        number: u64,
        /// Path of the key.
        key: String,
        /// Name of the voter.
        voter: String,
    },
    /// A log entry of another build.
    #[error("an entry is of a later build, or malformed")]
    UnknownEntry,
    /// This build does not know a required part of a reply.
    #[error("the reply has `{0}`, which is not known to this build, and is required")]
    UnknownPart(String),
    /// A document differs from the one that was agreed on.
    #[error("version {number} has the digest {is}, {said} was committed")]
    DigestMismatch {
        /// Of the version.
        number: u64,
        /// As agreed on.
        said: String,
        /// Of the document.
        is: String,
    },
    /// The document of a version did not come with the reply.
    #[error("version {0} was committed, and its document did not come with the reply")]
    MissingDocument(u64),
    /// The reply is older than one that was accepted.
    #[error("the reply is about the log up to {said}, this broker knows it up to {known}")]
    StaleReply {
        /// Index in the reply.
        said: u64,
        /// Index of this broker.
        known: u64,
    },
    /// The reply is from before the fleet was recovered.
    #[error("the reply is of epoch {said} of the fleet, this broker has heard of {known}")]
    StaleEpoch {
        /// Of the reply.
        said: u64,
        /// Of this broker.
        known: u64,
    },
    /// The reply is from a fleet with another founding.
    #[error("the reply is of another fleet")]
    OtherFleet,
    /// Leases from before a recovery may still run.
    #[error("the fleet was recovered by an operator's order, and earlier leases may still run")]
    LeasesSuspended,
    /// No such request is pending.
    #[error("the reply is to request {0}, which is not pending")]
    UnexpectedReply(u64),
    /// No voter knows a leader.
    #[error("no voter that replied knows a leader")]
    NoLeader,
    /// The monotonic clock of this broker went back.
    #[error("the monotonic clock went from {from} back to {to}")]
    ClockWentBack {
        /// Seconds.
        from: f64,
        /// Seconds.
        to: f64,
    },
    /// The clocks of leader and broker differ by more than the configured drift.
    #[error(
        "this clock runs too slow by the leader's, or the leader's too fast: {here:.3} s here at most, {there:.3} s there"
    )]
    ClockDrift {
        /// Seconds that passed here, at most.
        here: f64,
        /// Seconds that passed at the leader.
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
    /// What an operator can do.
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

//! Why something is not adopted, proposed or believed; and what makes a voter stop.

use dunepond_settlement::DebtError;
use dunepond_shard_map::MapFault;

/// What is not taken, and why; nothing changed by it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    #[error("this broker does not lead; leader: {0:?}")]
    NotLeader(Option<String>),
    #[error("version {open} is proposed and not yet in force or withdrawn")]
    ChangeOpen { open: u64 },
    #[error("version {given} was proposed, the next number is {expected}")]
    WrongNumber { given: u64, expected: u64 },
    #[error("the version follows {given}, and {in_force} is in force")]
    WrongBase { given: u64, in_force: u64 },
    #[error("rules: `{key}` is {value}, expected {expected}")]
    InvalidRule { key: &'static str, value: f64, expected: &'static str },
    #[error("stage is {0}, expected a share above 0 and below 1")]
    InvalidStage(f64),
    #[error("the map does not prove: {}", list(.0))]
    InvalidMap(Vec<MapFault>),
    #[error("the version brings a map, and the fleet's terms have none")]
    MapsDisabled,
    #[error("version {0} has no map, the one in force has")]
    MapDropped(u64),
    #[error("segment {segment}: owner `{owner}` is draining or gone by the same version")]
    OwnerExcluded { segment: u64, owner: String },
    #[error("{changed} of {of} segments change, at most a share of {most} may at once")]
    TooManySegments { changed: usize, of: usize, most: f64 },
    #[error("version {0} is not the one that is proposed")]
    NotProposed(u64),
    #[error("only the leader may say that version {0} is in force or rolled out")]
    LeaderOnly(u64),
    #[error("{left} fills of version {number} are not done")]
    FillsMissing { number: u64, left: usize },
    #[error("version {number} needs no fill of segment {segment} at `{holder}`")]
    FillNotNeeded { number: u64, segment: u64, holder: String },
    #[error("version {0} is being taken back")]
    RollingBack(u64),
    #[error("settlement `{0}` is applied already")]
    AlreadySettled(String),
    #[error("what is said of a debt is applied already")]
    AlreadyApplied,
    #[error("{0}")]
    Settlement(DebtError),
    #[error("{0}")]
    Quota(dunepond_quota::QuotaError),
    #[error("{0}")]
    Rebalance(Box<dunepond_rebalance::MoveError>),
    #[error("too much is proposed and not yet agreed on")]
    Busy,
    #[error("new terms come while version {0} is proposed")]
    ConfigWhileOpen(u64),
    #[error("the list of voters is empty")]
    NoVoters,
    #[error("voter `{0}` stands in the list twice")]
    DuplicateVoter(String),
    #[error("the list of voters has number {given}, expected {expected}")]
    WrongVotersNumber { given: u64, expected: u64 },
    #[error("the list of voters is the one in force")]
    VotersUnchanged,
    #[error("list {number} of voters waits for its new voter")]
    VotersPending { number: u64 },
    #[error("voters join ({}) and leave ({}); one may join, one may leave, at once", joins.join(", "), leaves.join(", "))]
    TooManyVoterChanges { joins: Vec<String>, leaves: Vec<String> },
    #[error("list {number} of voters is not the one that waits")]
    VotersSuperseded { number: u64 },
    #[error("`{0}` is no voter by what is agreed on")]
    NotAVoter(String),
    #[error("version {number}: `{key}` is not known to this program, and must be")]
    UnknownKey { number: u64, key: String },
    #[error("version {number}: `{key}` is not known to the program of voter `{voter}`, and must be")]
    UnknownKeyAtVoter { number: u64, key: String, voter: String },
    #[error("an entry is of a later program, or of none")]
    UnknownEntry,
    #[error("the answer has `{0}`, which is not known to this program, and must be")]
    UnknownPart(String),
    #[error("version {number} has the digest {is}, {said} was agreed on")]
    DigestMismatch { number: u64, said: String, is: String },
    #[error("version {0} was agreed on, and its document did not come with the answer")]
    MissingDocument(u64),
    #[error("the answer is about the log up to {said}, this broker knows it up to {known}")]
    StaleReply { said: u64, known: u64 },
    #[error("the answer is of epoch {said} of the fleet, this broker has heard of {known}")]
    StaleEpoch { said: u64, known: u64 },
    #[error("the answer is of another fleet")]
    OtherFleet,
    #[error("the fleet was brought back by an operator's word, and leases of before may run")]
    LeasesSuspended,
    #[error("the answer is to question {0}, which is not waited for")]
    UnexpectedReply(u64),
    #[error("no voter that could be asked knows a leader")]
    NoLeader,
    #[error("the steady clock went from {from} back to {to}")]
    ClockWentBack { from: f64, to: f64 },
    #[error(
        "this clock runs too slow by the leader's, or the leader's too fast: {here:.3} s here at most, {there:.3} s there"
    )]
    ClockDrift { here: f64, there: f64 },
}

impl From<dunepond_rebalance::MoveError> for Rejection {
    fn from(why: dunepond_rebalance::MoveError) -> Self {
        Self::Rebalance(Box::new(why))
    }
}

fn list(faults: &[MapFault]) -> String {
    let shown: Vec<String> = faults.iter().take(3).map(ToString::to_string).collect();
    let more = faults.len().saturating_sub(3);
    if more > 0 { format!("{}; and {more} more", shown.join("; ")) } else { shown.join("; ") }
}

impl Rejection {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::NotLeader(_) => "propose at the leader; the broker does so by itself once it knows one",
            Self::ChangeOpen { .. } => "wait until the change is in force or withdrawn, or withdraw it",
            Self::WrongNumber { .. } => {
                "number the version as expected: numbers are never used again, even of withdrawn ones"
            }
            Self::WrongBase { .. } => {
                "take over what the version in force has, then say that the new one follows it"
            }
            Self::InvalidRule { .. } => "set the named key to a value as expected",
            Self::InvalidStage(_) => "set `stage` to the share of brokers that go first, or leave it out",
            Self::InvalidMap(_) => "mend each fault named; a map is only taken whole",
            Self::MapsDisabled => {
                "give `fleet` a `map` line in each broker's file and restart them first, then propose"
            }
            Self::MapDropped(_) => "add the map in force to the version",
            Self::OwnerExcluded { .. } => "give the segment an owner that stays",
            Self::TooManySegments { .. } => "split the change, or raise `map most-changed` at the voters",
            Self::NotProposed(_) => "look at which version is proposed now; this one was decided on before",
            Self::LeaderOnly(_) => "nothing to do: the leader says so by itself when all is done",
            Self::FillsMissing { .. } => "wait for the fills, or see why the filler does not carry them out",
            Self::FillNotNeeded { .. } => "nothing to do: a fill of an earlier change came late",
            Self::RollingBack(_) => "wait until it is withdrawn, then propose anew",
            Self::AlreadySettled(_) | Self::AlreadyApplied => "nothing to do: it counts once",
            Self::Settlement(why) => why.help(),
            Self::Quota(why) => why.help(),
            Self::Rebalance(why) => why.help(),
            Self::Busy => "wait; if it stays, see that a majority of the voters is up and linked",
            Self::ConfigWhileOpen(_) => "nothing to do: the leader takes them up after the change",
            Self::NoVoters => "name three or five voters; the last one cannot be taken away",
            Self::DuplicateVoter(_) => "name each voter once",
            Self::WrongVotersNumber { .. } => {
                "number the list as expected: one above the last that was agreed on, given up or not"
            }
            Self::VotersUnchanged => "nothing to do: these voters are in force",
            Self::VotersPending { .. } => {
                "start the new voter with an empty folder; or give it up: propose the list in force, one number on"
            }
            Self::TooManyVoterChanges { .. } => {
                "go step by step: propose the list in force with one voter added, removed or replaced, wait until \
                 the log says that it is in force, then the next, one number on"
            }
            Self::VotersSuperseded { .. } => "nothing to do: another word on the voters came first",
            Self::NotAVoter(_) => {
                "ask a voter of the agreed list, which the log names; put that list into this broker's file"
            }
            Self::UnknownKey { .. } => "bring this broker to the program of the one that proposed it",
            Self::UnknownKeyAtVoter { .. } => {
                "bring all voters, and then all brokers, to the program that knows the key; then propose it"
            }
            Self::UnknownEntry => "bring this voter to the program that the leader has",
            Self::UnknownPart(_) => "bring this broker to the program that the voters have",
            Self::DigestMismatch { .. } => {
                "a voter tells another document than was agreed on: look at that voter's folder and build"
            }
            Self::MissingDocument(_) => "nothing to do: the next question asks for it",
            Self::StaleReply { .. } => "nothing to do: an answer was overtaken",
            Self::StaleEpoch { .. } => {
                "end the voter that gave it: the fleet was brought back without it, and it acts on what is gone"
            }
            Self::OtherFleet => {
                "if the fleet was founded anew, empty this broker's folder; else find out whose voters these are"
            }
            Self::LeasesSuspended => "wait about as long as `bound`, then propose anew",
            Self::UnexpectedReply(_) => {
                "nothing to do once; if often, something doubles or delays answers for long"
            }
            Self::NoLeader => "see that a majority of the voters is up and linked",
            Self::ClockWentBack { .. } => {
                "the machine's steady clock is faulty: take the broker out until it is mended"
            }
            Self::ClockDrift { .. } => {
                "one of the two clocks breaks the `drift` of the file: mend it, or raise `drift` and `bound`"
            }
        }
    }
}

/// What a voter cannot go on from, or a message that is not believed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConsensusError {
    #[error("terms: {0}")]
    Config(#[from] crate::ConsensusConfigError),
    #[error("`{0}` is none of the voters of the file")]
    NotAVoter(String),
    #[error("the folder is of broker `{is}`, this is `{name}`")]
    ForeignFolder { is: String, name: String },
    #[error("the operator's word on a lost majority: {0}")]
    Recovery(#[from] crate::RecoveryError),
    #[error("a message of `{from}` is of epoch {said} of the fleet, this is {known}")]
    StaleEpoch { from: String, said: u64, known: u64 },
    #[error("a message of `{from}` is of another fleet")]
    OtherFleet { from: String },
    #[error("a record of the folder does not read: {0}")]
    CorruptRecord(&'static str),
    #[error("the folder's log has {0}")]
    CorruptLog(&'static str),
    #[error("a message of `{0}` does not read")]
    MalformedMessage(String),
    #[error("a message of `{from}` has version {version}, this broker speaks {ours}")]
    NewerProtocol { from: String, version: u8, ours: u8 },
    #[error("a message that came from `{from}` says that it is from `{says}`")]
    SenderMismatch { from: String, says: String },
}

impl ConsensusError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Self::Config(terms) => terms.help(),
            Self::NotAVoter(_) => {
                "a broker that is no `voter` in its file needs none of this; name it, or fix its name"
            }
            Self::ForeignFolder { .. } => "give each broker a folder of its own",
            Self::Recovery(why) => why.help(),
            Self::StaleEpoch { .. } => {
                "nothing to do: the fleet was brought back without it, and it is told; give it no voter's place unasked"
            }
            Self::OtherFleet { .. } => {
                "two fleets were founded that know each other: end the brokers of one, and empty their folders"
            }
            Self::CorruptRecord(_) => {
                "move the folder away and restart: the voter comes back empty and is brought up by the others"
            }
            Self::CorruptLog(_) => {
                "move the folder away and restart: the voter comes back empty and is brought up by the others"
            }
            Self::MalformedMessage(_) => {
                "see what stands between the brokers, and that they are of one build"
            }
            Self::NewerProtocol { .. } => "bring this broker to the newer build, too",
            Self::SenderMismatch { .. } => "give each broker a name of its own; see what stands between them",
        }
    }
}

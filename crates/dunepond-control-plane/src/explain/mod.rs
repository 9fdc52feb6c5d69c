//! Explanations: one log line for each decision of the control plane, with who decided it and why, the limit that
//! applied, and the alternatives. The same decision and state always result in the same line.
//!
//! Names and reasons come from operators' files and other brokers, so each field is truncated: no line is longer than
//! [`MAX_LINE_BYTES`], and none contains a line break.

mod changes;
mod text;

use std::fmt;

use dunepond_consensus::{Command, Rejection, ReplicatedState};
use dunepond_settlement::{Balances, Fill, FillDemand, FillSource, Settlement};

pub use text::MAX_LINE_BYTES;
use text::{abbreviated_list, proposer_and_reason, shortened, truncated};

/// The kind of decision that a line explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A configuration version was proposed, staged, rolled back, activated or withdrawn.
    Version,
    /// The leader refused a proposed command, or all brokers ignore an entry of the replicated log.
    Refused,
    /// A fill was planned or completed.
    Fill,
    /// A settlement was applied.
    Settlement,
    /// The brokers' shares of the quotas changed.
    Quota,
    /// A rebalancing plan progressed.
    Rebalance,
    /// A change of the voters started or was completed.
    Voters,
    /// Any other entry of the log.
    Entry,
}

impl Subject {
    /// Name of the subject in the log field `about`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Refused => "refused",
            Self::Fill => "fill",
            Self::Settlement => "settlement",
            Self::Quota => "limit",
            Self::Rebalance => "move",
            Self::Voters => "voters",
            Self::Entry => "entry",
        }
    }
}

/// The explanation of one decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The kind of decision.
    pub subject: Subject,
    /// The decision and its outcome.
    pub what: String,
    /// Who made or requested the decision, and why. Logged in the field `word`.
    pub authority: String,
    /// The limits that applied.
    pub limit: String,
    /// The alternatives, or the state that the decision was based on. Logged in the field `weighed`.
    pub alternatives: String,
}

/// Description of a proposed command or of a log entry, for the explanation of why it is refused or ignored.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedEntry {
    /// Name of the command and what it applies to, such as `version 7`; or the index of the ignored log entry.
    what: String,
    /// Who proposed the command, and why if known; `the replicated log` for a log entry.
    authority: String,
}

impl ProposedEntry {
    /// Describes a command that the broker `by` proposes.
    pub fn of(command: &Command, by: &str) -> Self {
        let what = match command {
            Command::Propose(version) => format!("version {}", version.number),
            Command::FillCompleted { number, segment, holder } => {
                format!("fill {number}/{segment}/{}", shortened(holder))
            }
            Command::Activate { number } => format!("confirm {number}"),
            Command::Withdraw { number, .. } => format!("withdraw {number}"),
            _ => String::from("another entry"),
        };
        let authority = match command {
            Command::Propose(version) => format!("{}, by {}", proposer_and_reason(version), shortened(by)),
            Command::Withdraw { why, .. } => format!("{}, by {}", shortened(why), shortened(by)),
            _ => shortened(by),
        };
        Self { what, authority }
    }

    /// Describes an ignored entry that is already in the log, by its index.
    pub fn logged(index: u64) -> Self {
        Self { what: format!("entry {index} is ignored"), authority: String::from("the replicated log") }
    }
}

impl Explanation {
    fn new(subject: Subject, what: &str, authority: &str, limit: &str, alternatives: &str) -> Self {
        Self {
            subject,
            what: truncated(what),
            authority: truncated(authority),
            limit: truncated(limit),
            alternatives: truncated(alternatives),
        }
    }

    /// Explains why a command was refused, or why an entry of the log is ignored by all brokers.
    pub fn for_refusal(entry: &ProposedEntry, why: &Rejection, state: &ReplicatedState) -> Self {
        let open = state.proposed.as_ref().map_or(0, |open| open.version.number);
        let alternatives =
            format!("in force {}, proposed {open}, next {}", state.active_number(), state.highest_number + 1);
        Self::new(Subject::Refused, &entry.what, &entry.authority, &why.to_string(), &alternatives)
    }

    /// Explains a planned fill: the source that was chosen for it, and the other sources that could have been chosen
    /// (the sources that `demand` lists).
    pub fn for_fill(fill: &Fill, demand: Option<&FillDemand>, balances: &Balances) -> Self {
        let settles = fill.settles.as_ref().map_or(0, |settlement| settlement.bytes);
        let what =
            format!("{} from {} of {}", shortened(&fill.id), shortened(&fill.source), shortened(&fill.from));
        let authority = format!("version {}, planned by the leader", fill.id.split('/').next().unwrap_or(""));
        let terms = balances.terms();
        let limit = format!(
            "{:.0} bytes per second, at most {:.0}; {settles} of {} bytes paid off, at most {} per fill",
            fill.rate, terms.max_fill_rate, fill.bytes, terms.max_fill_bytes
        );
        let others =
            demand.into_iter().flat_map(|demand| &demand.sources).filter(|source| source.node != fill.source);
        let other = |source: &FillSource| {
            format!("{} owed {}", shortened(&source.node), balances.net_debt(&source.partner, &fill.to))
        };
        let others = abbreviated_list(others.map(other));
        let alternatives = if others.is_empty() { String::from("no other source") } else { others };
        Self::new(Subject::Fill, &what, &authority, &limit, &alternatives)
    }

    /// Explains a settlement that is already applied in `balances`.
    pub fn for_settlement(settlement: &Settlement, balances: &Balances) -> Self {
        let Settlement { id, debtor, creditor, bytes, source, .. } = settlement;
        let what = format!(
            "{}: {bytes} bytes that {} owed {}",
            shortened(id),
            shortened(debtor),
            shortened(creditor)
        );
        let authority = format!("{}, for a fill from {}", shortened(settlement.broker()), shortened(source));
        let gross = balances.gross(creditor, debtor);
        let limit =
            format!("{gross} bytes were carried, {} of them are settled", balances.settled(debtor, creditor));
        let alternatives = format!(
            "{} still owed, {} in the other direction",
            balances.net_debt(debtor, creditor),
            balances.net_debt(creditor, debtor)
        );
        Self::new(Subject::Settlement, &what, &authority, &limit, &alternatives)
    }

    /// Logs the explanation as one line.
    pub fn log(&self) {
        // The names of the fields are documented for operators.
        let Self { subject, what, authority: word, limit, alternatives: weighed } = self;
        let about = subject.name();
        tracing::info!(target: "dunepond::why", about, what, word, limit, weighed, "why");
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { subject, what, authority, limit, alternatives } = self;
        let about = subject.name();
        write!(f, "why {about} {what} | word: {authority} | limit: {limit} | weighed: {alternatives}")
    }
}

//! Explanations: one log line for each decision of the control plane, with the authority on which it was taken, the limit
//! that applied, and the alternatives. Pure: a line is made of the decision alone.
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

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A version that is proposed, staged, rolled back, in force or withdrawn.
    Version,
    /// A command that was refused, or is ignored in the log.
    Refused,
    /// A fill that is planned or done.
    Fill,
    /// A settlement that was applied.
    Settlement,
    /// The shares of quotas have changed.
    Quota,
    /// A step of a rebalancing plan.
    Rebalance,
    /// A change of voters.
    Voters,
    /// Any other entry of the log.
    Entry,
}

impl Subject {
    /// Name in the log's field `about`.
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

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// What it is about.
    pub subject: Subject,
    /// The decision and its outcome.
    pub what: String,
    /// Who decided it or asked for it, and why; `word` in the log.
    pub authority: String,
    /// Limits that applied.
    pub limit: String,
    /// Other choices, or the state it was weighed against; `weighed` in the log.
    pub alternatives: String,
}

/// A proposed command, as far as a line names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedEntry {
    what: String,
    authority: String,
}

impl ProposedEntry {
    /// `by`: the broker that proposes it.
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

    /// An entry that is in the log.
    pub fn logged(index: u64) -> Self {
        Self { what: format!("entry {index} is ignored"), authority: String::from("the agreed log") }
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

    /// Explains a command that was refused, or an entry of the log that is ignored by all.
    pub fn for_refusal(entry: &ProposedEntry, why: &Rejection, state: &ReplicatedState) -> Self {
        let open = state.open.as_ref().map_or(0, |open| open.version.number);
        let alternatives =
            format!("in force {}, proposed {open}, next {}", state.active_number(), state.highest_number + 1);
        Self::new(Subject::Refused, &entry.what, &entry.authority, &why.to_string(), &alternatives)
    }

    /// Explains a planned fill: why this source, among those of its demand.
    pub fn for_fill(fill: &Fill, demand: Option<&FillDemand>, balances: &Balances) -> Self {
        let settles = fill.settles.as_ref().map_or(0, |settlement| settlement.bytes);
        let what =
            format!("{} from {} of {}", shortened(&fill.id), shortened(&fill.source), shortened(&fill.from));
        let authority = format!("version {}, planned by the leader", fill.id.split('/').next().unwrap_or(""));
        let terms = balances.terms();
        let limit = format!(
            "{:.0} bytes a second of {:.0} at most; {settles} of {} bytes paid off, {} a fill at most",
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

    /// Explains a settlement that this broker's balances have applied.
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
            format!("{gross} bytes were seen, {} of them are settled", balances.settled(debtor, creditor));
        let alternatives = format!(
            "{} still open, {} the other way",
            balances.net_debt(debtor, creditor),
            balances.net_debt(creditor, debtor)
        );
        Self::new(Subject::Settlement, &what, &authority, &limit, &alternatives)
    }

    /// Writes the line to the program's log.
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

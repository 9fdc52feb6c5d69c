//! Explanations: one log line for each decision of the control plane, with the authority on which it was taken, the limit
//! that applied, and the alternatives. Pure: a line is made of the decision alone.
//!
//! Names and reasons come from operators' files and other brokers, so each field is truncated: no line is longer than
//! [`MAX_LINE_BYTES`], and none contains a line break.

use std::fmt;

use dunepond_consensus::{
    ChangeEnd, Command, ConfigVersion, Rejection, ReplicatedState, RolloutStep, StateChange,
};
use dunepond_settlement::{Balances, Fill, FillDemand, FillSource, Settlement, SettlementEntry};
use dunepond_shard_map::MapTransition;

/// Longest field.
const MAX_FIELD_BYTES: usize = 160;
/// Longest line.
pub const MAX_LINE_BYTES: usize = 4 * MAX_FIELD_BYTES + 64;
/// Longest name or reason inside a field, in characters.
const MAX_NAME_CHARS: usize = 40;
/// Most alternatives that a line names.
const MAX_NAMED_COUNT: usize = 3;

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

/// A field in one line, no longer than [`MAX_FIELD_BYTES`].
fn truncated(text: &str) -> String {
    let mut short = String::new();
    for c in text.chars().map(|c| if c.is_control() { ' ' } else { c }) {
        if short.len() + c.len_utf8() > MAX_FIELD_BYTES - 3 {
            short.push_str("...");
            break;
        }
        short.push(c);
    }
    short
}

/// A name or reason, no longer than [`MAX_NAME_CHARS`].
fn shortened(text: &str) -> String {
    match text.char_indices().nth(MAX_NAME_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_string(),
    }
}

/// The first [`MAX_NAMED_COUNT`] names, and the number of the rest.
fn abbreviated_list(names: impl Iterator<Item = String>) -> String {
    let names: Vec<String> = names.collect();
    let more = names.len().saturating_sub(MAX_NAMED_COUNT);
    let named = names.into_iter().take(MAX_NAMED_COUNT).collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{named} and {more} more") } else { named }
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

    /// Explains an entry of the log that changed something; `state` is the state after the entry. `None` for settlements, which
    /// each broker explains as it applies them ([`Explanation::for_settlement`]), and for what nobody decided.
    pub fn for_change(index: u64, change: &StateChange, state: &ReplicatedState) -> Option<Self> {
        match change {
            StateChange::Proposed(number) => Self::for_proposed(index, *number, state),
            StateChange::Staged(number) => Self::for_staged(index, *number, state),
            StateChange::RollingBack(number) => Self::for_rollback(index, *number, state),
            StateChange::Activated(number) | StateChange::Withdrawn(number) => {
                Self::for_version_end(index, *number, state)
            }
            StateChange::FillCompleted { number, segment, holder } => {
                let what = format!("{number}/{segment}/{} is filled, entry {index}", shortened(holder));
                let alternatives = format!("{} fills are left", state.missing_fills());
                let limit = format!("within {} s", state.config.fill_deadline_seconds);
                Some(Self::new(Subject::Fill, &what, "the leader's filler", &limit, &alternatives))
            }
            StateChange::Settlement(SettlementEntry::Settle(_)) | StateChange::VoterSlot(_) => None,
            StateChange::Quota(generation) => Some(Self::for_quota(index, *generation, state)),
            StateChange::Rebalance { plan, status } => Some(Self::for_plan(index, plan, status, state)),
            StateChange::VotersPending(number) => Some(Self::for_voters(index, *number, "begins", state)),
            StateChange::VotersChanged(number) => Some(Self::for_voters(index, *number, "is done", state)),
            other => {
                let what = format!("entry {index}: {other:?}");
                Some(Self::new(Subject::Entry, &what, "the agreed log", "", ""))
            }
        }
    }

    fn for_proposed(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let config = &state.config;
        let Some(open) = state.open.as_ref().filter(|open| open.version.number == number) else {
            // Entries applied with it have ended it already.
            let ended = state.history.iter().rev().find(|ended| ended.number == number)?;
            let authority = format!("{}: {}", shortened(&ended.proposed_by), shortened(&ended.reason));
            let what = format!("{number} was proposed, entry {index}");
            return Some(Self::new(Subject::Version, &what, &authority, "", "it is over"));
        };
        let what = format!("{number} is proposed, entry {index}");
        let limit = format!(
            "in force no sooner than all have heard, at most {:.2} s on; {} of the segments at once; fills within {} s",
            state.quiescence_seconds(config),
            config.max_changed_ratio,
            config.fill_deadline_seconds
        );
        let alternatives = format!(
            "follows {}, {}, {} fills",
            state.active_number(),
            open_transition(state),
            state.missing_fills()
        );
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &alternatives))
    }

    fn for_staged(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.open.as_ref()?;
        let RolloutStep::Staged(share) = open.step else { return None };
        let what = format!("{number} goes to {share} of the brokers first, entry {index}");
        let limit = "the others stay joint until it is confirmed or withdrawn";
        let authority = proposer_and_reason(&open.version);
        Some(Self::new(Subject::Version, &what, &authority, limit, &open_transition(state)))
    }

    fn for_rollback(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.open.as_ref()?;
        let what = format!("{number} is taken back, entry {index}");
        let limit = format!("all are joint for {:.2} s more", state.quiescence_seconds(&state.config));
        let alternatives = format!("because: {}", shortened(open.withdraw_reason.as_deref().unwrap_or("")));
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &alternatives))
    }

    fn for_version_end(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let ended = state.history.iter().rev().find(|ended| ended.number == number)?;
        let (what, alternatives) = match &ended.end {
            ChangeEnd::Activated => {
                (format!("{number} is in force, entry {index}"), String::from("all fills are done"))
            }
            ChangeEnd::Withdrawn(why) => {
                (format!("{number} is withdrawn, entry {index}"), format!("because: {}", shortened(why)))
            }
        };
        let authority = format!("{}: {}", shortened(&ended.proposed_by), shortened(&ended.reason));
        let limit =
            format!("{} is in force, the next number is {}", state.active_number(), state.highest_number + 1);
        Some(Self::new(Subject::Version, &what, &authority, &limit, &alternatives))
    }

    fn for_quota(index: u64, generation: u64, state: &ReplicatedState) -> Self {
        let quota = &state.quota;
        let what = format!("parts of shared bounds, generation {generation}, entry {index}");
        let limit = format!("{} units in each bound, all brokers together", dunepond_quota::TOTAL_UNITS);
        let names = quota.shared.iter().flat_map(|shared| &shared.names);
        let free = |name: &String| format!("{} free of {}", quota.free_units(name), shortened(name));
        let alternatives =
            format!("{}; {} brokers share", abbreviated_list(names.map(free)), quota.brokers.len());
        Self::new(Subject::Quota, &what, "the leader, by what brokers need", &limit, &alternatives)
    }

    fn for_plan(index: u64, plan: &str, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("plan {}, entry {index}: {}", shortened(plan), truncated(status));
        let limit = format!("{} of the segments at once", state.config.max_changed_ratio);
        let running = state.rebalance().running.as_ref().filter(|running| running.plan.id == *plan);
        let authority = running.map_or(String::from("as its beginning said"), |running| {
            format!("{}: {}", shortened(&running.plan.proposed_by), shortened(&running.plan.reason))
        });
        Self::new(Subject::Rebalance, &what, &authority, &limit, &open_transition(state))
    }

    fn for_voters(index: u64, number: u64, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("change of voters {number} {status}, entry {index}");
        let limit = "one voter at a time, each majority with one of before";
        let next = state.voters.pending.as_ref().filter(|next| next.number == number);
        let authority = next.map_or(String::from("as its beginning said"), |next| {
            format!("{}: {}", shortened(&next.proposed_by), shortened(&next.reason))
        });
        let alternatives = abbreviated_list(state.voters.voters.iter().map(|voter| shortened(&voter.name)));
        Self::new(Subject::Voters, &what, &authority, limit, &format!("voters: {alternatives}"))
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

fn proposer_and_reason(version: &ConfigVersion) -> String {
    format!("{}: {}", shortened(&version.proposed_by), shortened(&version.reason))
}

fn changed_segments(transition: &MapTransition) -> String {
    format!("{} of {} segments change", transition.changed_segments(), transition.to().len())
}

/// How many segments the open transition changes.
fn open_transition(state: &ReplicatedState) -> String {
    state.map_transition().map_or(String::from("no segment moves"), changed_segments)
}

//! Explanations: one log line for each decision of the control plane, naming on whose authority it was taken, against which
//! limit it was held, and which alternatives there were. Pure: from what was decided to a line.
//!
//! Names and reasons come from others' files, so each field is cut: no line is longer than [`MAX_LINE_BYTES`] bytes, and none
//! has a line break in it.

use std::fmt;

use dunepond_consensus::{
    ChangeEnd, Command, ConfigVersion, Rejection, ReplicatedState, RolloutStep, StateChange,
};
use dunepond_settlement::{Balances, Fill, FillDemand, Settlement, SettlementEntry};
use dunepond_shard_map::MapTransition;

/// Bytes of one field at most.
const MAX_FIELD_BYTES: usize = 160;
/// Bytes of a whole line at most.
pub const MAX_LINE_BYTES: usize = 4 * MAX_FIELD_BYTES + 64;
/// Alternatives that a line names at most.
const MAX_NAMED_COUNT: usize = 3;

/// What a line is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A version: proposed, staged, rolled back, in force, withdrawn.
    Version,
    /// What was offered and not taken.
    Refused,
    /// A fill that is planned or done.
    Fill,
    /// A settlement that was applied.
    Settlement,
    /// Shared quotas were divided anew.
    Limit,
    /// A step of a rebalancing plan.
    Move,
    /// A change of voters.
    Voters,
    /// Any other entry of the agreed log.
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
            Self::Limit => "limit",
            Self::Move => "move",
            Self::Voters => "voters",
            Self::Entry => "entry",
        }
    }
}

/// One decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    pub subject: Subject,
    /// What was decided on, and the outcome.
    pub what: String,
    /// On whose authority.
    pub authority: String,
    /// Against which limit it was held.
    pub limit: String,
    /// What else there was to choose from, or stood beside it.
    pub alternatives: String,
}

/// An entry on its way, as far as a line names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedEntry {
    what: String,
    authority: String,
}

impl ProposedEntry {
    /// `by`: the broker that offers it.
    pub fn of(entry: &Command, by: &str) -> Self {
        let what = match entry {
            Command::Propose(version) => format!("version {}", version.number),
            Command::FillCompleted { number, segment, holder } => {
                format!("fill {number}/{segment}/{}", shortened(holder))
            }
            Command::Activate { number } => format!("confirm {number}"),
            Command::Withdraw { number, .. } => format!("withdraw {number}"),
            _ => String::from("another entry"),
        };
        let authority = match entry {
            Command::Propose(version) => format!("{}, by {}", proposer_and_reason(version), shortened(by)),
            Command::Withdraw { why, .. } => format!("{}, by {}", shortened(why), shortened(by)),
            _ => shortened(by),
        };
        Self { what, authority }
    }

    /// One that stands in the log.
    pub fn logged(index: u64) -> Self {
        Self { what: format!("entry {index} is ignored"), authority: String::from("the agreed log") }
    }
}

/// Cut to so many bytes, in one line.
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

/// Names and reasons of others, each with its share of a field.
fn shortened(text: &str) -> String {
    match text.char_indices().nth(40) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_string(),
    }
}

fn first_few(all: impl Iterator<Item = String>) -> String {
    let all: Vec<String> = all.collect();
    let more = all.len().saturating_sub(MAX_NAMED_COUNT);
    let first = all.into_iter().take(MAX_NAMED_COUNT).collect::<Vec<_>>().join(", ");
    if more > 0 { format!("{first} and {more} more") } else { first }
}

impl Explanation {
    fn new(subject: Subject, what: &str, word: &str, limit: &str, weighed: &str) -> Self {
        Self {
            subject,
            what: truncated(what),
            authority: truncated(word),
            limit: truncated(limit),
            alternatives: truncated(weighed),
        }
    }

    /// Explains an entry of the agreed log that changed something; `state` as it is after the entry. `None` for what is
    /// explained elsewhere ([`Explanation::for_settlement`]) and for what nobody chose.
    pub fn for_change(index: u64, change: &StateChange, state: &ReplicatedState) -> Option<Self> {
        match change {
            StateChange::Proposed(number) => Self::for_proposed(index, *number, state),
            StateChange::Staged(number) => Self::for_staged(index, *number, state),
            StateChange::RollingBack(number) => Self::for_rollback(index, *number, state),
            StateChange::Activated(number) | StateChange::Withdrawn(number) => {
                Self::for_ended(index, *number, state)
            }
            StateChange::FillCompleted { number, segment, holder } => {
                let what = format!("{number}/{segment}/{} is filled, entry {index}", shortened(holder));
                let weighed = format!("{} fills are left", state.missing_fills());
                let limit = format!("within {} s", state.config.fill_deadline_seconds);
                Some(Self::new(Subject::Fill, &what, "the leader's filler", &limit, &weighed))
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
        let terms = &state.config;
        let Some(open) = state.open.as_ref().filter(|open| open.version.number == number) else {
            // Entries applied with it have ended it already.
            let past = state.history.iter().rev().find(|past| past.number == number)?;
            let word = format!("{}: {}", shortened(&past.proposed_by), shortened(&past.reason));
            let what = format!("{number} was proposed, entry {index}");
            return Some(Self::new(Subject::Version, &what, &word, "", "it is over"));
        };
        let what = format!("{number} is proposed, entry {index}");
        let limit = format!(
            "in force no sooner than all have heard, at most {:.2} s on; {} of the segments at once; fills within {} s",
            state.quiescence_seconds(terms),
            terms.max_changed_ratio,
            terms.fill_deadline_seconds
        );
        let weighed = format!(
            "follows {}, {}, {} fills",
            state.active_number(),
            open_transition(state),
            state.missing_fills()
        );
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &weighed))
    }

    fn for_staged(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.open.as_ref()?;
        let RolloutStep::Staged(share) = open.step else { return None };
        let what = format!("{number} goes to {share} of the brokers first, entry {index}");
        let limit = "the others stay joint until it is confirmed or withdrawn";
        let word = proposer_and_reason(&open.version);
        Some(Self::new(Subject::Version, &what, &word, limit, &open_transition(state)))
    }

    fn for_rollback(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let open = state.open.as_ref()?;
        let what = format!("{number} is taken back, entry {index}");
        let limit = format!("all are joint for {:.2} s more", state.quiescence_seconds(&state.config));
        let weighed = format!("because: {}", shortened(open.withdraw_reason.as_deref().unwrap_or("")));
        Some(Self::new(Subject::Version, &what, &proposer_and_reason(&open.version), &limit, &weighed))
    }

    fn for_ended(index: u64, number: u64, state: &ReplicatedState) -> Option<Self> {
        let past = state.history.iter().rev().find(|past| past.number == number)?;
        let (what, weighed) = match &past.end {
            ChangeEnd::Activated => {
                (format!("{number} is in force, entry {index}"), String::from("all fills are done"))
            }
            ChangeEnd::Withdrawn(why) => {
                (format!("{number} is withdrawn, entry {index}"), format!("because: {}", shortened(why)))
            }
        };
        let word = format!("{}: {}", shortened(&past.proposed_by), shortened(&past.reason));
        let limit =
            format!("{} is in force, the next number is {}", state.active_number(), state.highest_number + 1);
        Some(Self::new(Subject::Version, &what, &word, &limit, &weighed))
    }

    fn for_quota(index: u64, generation: u64, state: &ReplicatedState) -> Self {
        let quota = &state.quota;
        let what = format!("parts of shared bounds, generation {generation}, entry {index}");
        let limit = format!("{} units in each bound, all brokers together", dunepond_quota::TOTAL_UNITS);
        let names = quota.shared.iter().flat_map(|shared| &shared.names);
        let free = |name: &String| format!("{} free of {}", quota.free_units(name), shortened(name));
        let weighed = format!("{}; {} brokers share", first_few(names.map(free)), quota.brokers.len());
        Self::new(Subject::Limit, &what, "the leader, by what brokers need", &limit, &weighed)
    }

    fn for_plan(index: u64, plan: &str, status: &str, state: &ReplicatedState) -> Self {
        let what = format!("plan {}, entry {index}: {}", shortened(plan), truncated(status));
        let limit = format!("{} of the segments at once", state.config.max_changed_ratio);
        let running = state.rebalance().running.as_ref().filter(|running| running.plan.id == *plan);
        let word = running.map_or(String::from("as its beginning said"), |running| {
            format!("{}: {}", shortened(&running.plan.who), shortened(&running.plan.why))
        });
        Self::new(Subject::Move, &what, &word, &limit, &open_transition(state))
    }

    fn for_voters(index: u64, number: u64, ends: &str, state: &ReplicatedState) -> Self {
        let what = format!("change of voters {number} {ends}, entry {index}");
        let limit = "one voter at a time, each majority with one of before";
        let next = state.voters.pending.as_ref().filter(|next| next.number == number);
        let word = next.map_or(String::from("as its beginning said"), |next| {
            format!("{}: {}", shortened(&next.proposed_by), shortened(&next.reason))
        });
        let weighed = first_few(state.voters.voters.iter().map(|voter| shortened(&voter.name)));
        Self::new(Subject::Voters, &what, &word, limit, &format!("voters: {weighed}"))
    }

    /// What was asked for was not taken, or stands in the log and is ignored by all.
    pub fn for_refusal(offer: &ProposedEntry, why: &Rejection, state: &ReplicatedState) -> Self {
        let open = state.open.as_ref().map_or(0, |open| open.version.number);
        let weighed =
            format!("in force {}, proposed {open}, next {}", state.active_number(), state.highest_number + 1);
        Self::new(Subject::Refused, &offer.what, &offer.authority, &why.to_string(), &weighed)
    }

    /// A fill as it is planned: why this source, among those of its need.
    pub fn for_fill(fill: &Fill, need: Option<&FillDemand>, book: &Balances) -> Self {
        let settles = fill.settles.as_ref().map_or(0, |settlement| settlement.bytes);
        let what =
            format!("{} from {} of {}", shortened(&fill.id), shortened(&fill.source), shortened(&fill.from));
        let word = format!("version {}, planned by the leader", fill.id.split('/').next().unwrap_or(""));
        let terms = book.terms();
        let limit = format!(
            "{:.0} bytes a second of {:.0} at most; {settles} of {} bytes paid off, {} a fill at most",
            fill.rate, terms.most_rate, fill.bytes, terms.most_move
        );
        let others = need.into_iter().flat_map(|need| &need.sources).filter(|source| source.0 != fill.source);
        let other = |(node, partner): &(String, String)| {
            format!("{} owed {}", shortened(node), book.net_debt(partner, &fill.to))
        };
        let others = first_few(others.map(other));
        let weighed = if others.is_empty() { String::from("no other source") } else { others };
        Self::new(Subject::Fill, &what, &word, &limit, &weighed)
    }

    /// A settlement as this broker's book takes it.
    pub fn for_settlement(settlement: &Settlement, book: &Balances) -> Self {
        let Settlement { id, debtor, creditor, bytes, source, .. } = settlement;
        let what = format!(
            "{}: {bytes} bytes that {} owed {}",
            shortened(id),
            shortened(debtor),
            shortened(creditor)
        );
        let word = format!("{}, for a fill from {}", shortened(settlement.by()), shortened(source));
        let gross = book.gross(creditor, debtor);
        let limit =
            format!("{gross} bytes were seen, {} of them are settled", book.settled(debtor, creditor));
        let weighed = format!(
            "{} still open, {} the other way",
            book.net_debt(debtor, creditor),
            book.net_debt(creditor, debtor)
        );
        Self::new(Subject::Settlement, &what, &word, &limit, &weighed)
    }

    /// Into the program's log.
    pub fn log(&self) {
        let Self { subject: about, what, authority: word, limit, alternatives: weighed } = self;
        let about = about.name();
        tracing::info!(target: "dunepond::why", about, what, word, limit, weighed, "why");
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { subject: about, what, authority: word, limit, alternatives: weighed } = self;
        write!(f, "why {} {what} | word: {word} | limit: {limit} | weighed: {weighed}", about.name())
    }
}

fn proposer_and_reason(version: &ConfigVersion) -> String {
    format!("{}: {}", shortened(&version.proposed_by), shortened(&version.reason))
}

fn changed_segments(moving: &MapTransition) -> String {
    format!("{} of {} segments change", moving.changed_segments(), moving.to().len())
}

/// How many segments the open transition changes.
fn open_transition(state: &ReplicatedState) -> String {
    state.map_transition().map_or(String::from("no segment moves"), changed_segments)
}

//! Times at which a voter observed changes of the replicated state, by its own clock. They are not stored. After a
//! restart, or when the clock goes back, the waits that are measured from them start again.

use std::collections::BTreeMap;

use dunepond_quota::QuotaLedger;

use crate::{ReplicatedState, RolloutStep, StateChange};

/// Initial age of [`Observations::last_attempt_at`] in seconds. It exceeds any retry delay, so that the first entry is
/// written without a delay.
const INITIAL_ATTEMPT_AGE_SECONDS: f64 = 1e9;

/// A proposed configuration version, and when this voter first saw it committed, on its own clock.
#[derive(Clone, Copy)]
pub(super) struct SeenChange {
    number: u64,
    seen_at: f64,
}

/// A term in which this voter leads, and since when it has led without interruption.
#[derive(Clone, Copy)]
struct Leadership {
    term: u64,
    since: f64,
}

/// A configuration version that this leader has written to the log at an index.
#[derive(Clone, Copy)]
struct UncommittedProposal {
    index: u64,
    number: u64,
}

/// A committed entry that shrank a broker's quota shares: its generation, and when this voter first saw it, on its own
/// clock.
#[derive(Clone, Copy)]
pub(super) struct SeenShrink {
    pub generation: u64,
    pub seen_at: f64,
}

/// Times at which a voter observed changes of the replicated state, by its own clock.
pub(super) struct Observations {
    /// The proposed configuration version, if there is one, and when it was first seen committed.
    proposed: Option<SeenChange>,
    /// When the start of the proposed version's rollback was first seen committed; `None` if no version is being rolled
    /// back.
    rollback_seen_at: Option<f64>,
    /// The present leadership of this voter, if it leads.
    leadership: Option<Leadership>,
    /// The last version that this leader wrote to the log in its present term.
    proposal: Option<UncommittedProposal>,
    /// When this leader last wrote an entry by itself.
    pub last_attempt_at: f64,
    /// The last shrink of each broker's quota shares, while the units taken from them are not released yet, by the
    /// broker's name.
    pub quota_shrinks: BTreeMap<String, SeenShrink>,
}

impl Observations {
    pub fn new(now: f64) -> Self {
        Self {
            proposed: None,
            rollback_seen_at: None,
            leadership: None,
            proposal: None,
            last_attempt_at: now - INITIAL_ATTEMPT_AGE_SECONDS,
            quota_shrinks: BTreeMap::new(),
        }
    }

    /// Forgets all earlier times. A proposed version, a rollback and shrinks of quota shares that are in `state` count
    /// as first seen at `now`, and a leadership counts as begun at `now`.
    pub fn restart(&mut self, now: f64, state: &ReplicatedState) {
        let leadership = self.leadership.map(|leadership| Leadership { since: now, ..leadership });
        *self = Self { leadership, proposal: self.proposal, ..Self::new(now) };
        if let Some(proposed) = &state.proposed {
            self.proposed = Some(SeenChange { number: proposed.version.number, seen_at: now });
            self.rollback_seen_at = (proposed.step == RolloutStep::RollingBack).then_some(now);
        }
        self.observe_quota(now, &state.quota);
    }

    /// Records an applied change.
    pub fn observe(&mut self, now: f64, change: &StateChange) {
        match change {
            StateChange::Proposed(number) => {
                self.proposed = Some(SeenChange { number: *number, seen_at: now });
                self.rollback_seen_at = None;
            }
            StateChange::RollingBack(_) => self.rollback_seen_at = Some(now),
            StateChange::Activated(_) | StateChange::Withdrawn(_) => {
                (self.proposed, self.rollback_seen_at) = (None, None);
            }
            _ => {}
        }
    }

    /// When the proposed version of this number was first seen committed; `None` if it is not proposed.
    pub fn proposed_seen_at(&self, number: u64) -> Option<f64> {
        self.proposed.filter(|proposed| proposed.number == number).map(|proposed| proposed.seen_at)
    }

    /// When the start of the proposed version's rollback was first seen committed; `None` if no version is being rolled
    /// back.
    pub fn rollback_seen_at(&self) -> Option<f64> {
        self.rollback_seen_at
    }

    /// Records each broker whose quota shares shrank while the units taken from them are not released yet, with the
    /// time when the shrink was first seen.
    pub fn observe_quota(&mut self, now: f64, ledger: &QuotaLedger) {
        let awaiting = ledger.brokers.iter().filter(|(_, shares)| shares.awaits_release());
        let seen = awaiting.map(|(broker, shares)| {
            let generation = shares.shrunk_generation;
            let earlier = self.quota_shrinks.get(broker).filter(|seen| seen.generation == generation);
            (broker.clone(), earlier.copied().unwrap_or(SeenShrink { generation, seen_at: now }))
        });
        self.quota_shrinks = seen.collect();
    }

    /// Records whether this voter leads. `term` is the term in which it leads; `None` if it does not.
    pub fn set_leading(&mut self, now: f64, term: Option<u64>) {
        if self.leadership.map(|leadership| leadership.term) != term {
            self.leadership = term.map(|term| Leadership { term, since: now });
            self.proposal = None;
        }
    }

    /// Since when this voter has led without interruption; `None` if it does not lead.
    pub fn leading_since(&self) -> Option<f64> {
        self.leadership.map(|leadership| leadership.since)
    }

    /// Records that this leader wrote the version `number` to the log at `index`.
    pub fn record_proposal(&mut self, index: u64, number: u64) {
        self.proposal = Some(UncommittedProposal { index, number });
    }

    /// Number of the last version that this leader wrote to the log; `None` if its entry is already applied. `applied`
    /// is the index up to which the log is applied.
    pub fn uncommitted_proposal(&self, applied: u64) -> Option<u64> {
        self.proposal.filter(|proposal| proposal.index > applied).map(|proposal| proposal.number)
    }
}

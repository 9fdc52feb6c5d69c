//! What a voter has observed, by its own clock, in this run. Nothing of it outlasts a restart or a clock that goes
//! back: then the waits that rely on it start again.

use std::collections::BTreeMap;

use dunepond_quota::QuotaLedger;

use crate::{ReplicatedState, RolloutStep, StateChange};

/// A time that is long enough ago for everything to be tried at once.
const LONG_AGO_SECONDS: f64 = 1e9;

#[derive(Clone, Copy)]
pub(super) struct SeenChange {
    number: u64,
    seen_at: f64,
}

#[derive(Clone, Copy)]
struct Leadership {
    term: u64,
    since: f64,
}

#[derive(Clone, Copy)]
struct UncommittedProposal {
    index: u64,
    number: u64,
}

/// A shrink of a quota share that was seen committed.
#[derive(Clone, Copy)]
pub(super) struct SeenShrink {
    pub generation: u64,
    pub seen_at: f64,
}

pub(super) struct LeaderWatch {
    /// The proposed version, and when it was first seen committed.
    open: Option<SeenChange>,
    rollback_seen_at: Option<f64>,
    /// The term in which this voter leads without interruption, if it leads.
    leadership: Option<Leadership>,
    proposal: Option<UncommittedProposal>,
    /// When this leader last wrote an entry of its own.
    pub last_attempt_at: f64,
    /// Shrinks that await their release, by broker.
    pub quota_shrinks: BTreeMap<String, SeenShrink>,
}

impl LeaderWatch {
    pub fn new(now: f64) -> Self {
        Self {
            open: None,
            rollback_seen_at: None,
            leadership: None,
            proposal: None,
            last_attempt_at: now - LONG_AGO_SECONDS,
            quota_shrinks: BTreeMap::new(),
        }
    }

    /// Forgets all earlier observations; a version that is proposed counts as seen now.
    pub fn restart(&mut self, now: f64, state: &ReplicatedState) {
        let leadership = self.leadership.map(|it| Leadership { since: now, ..it });
        *self = Self { leadership, proposal: self.proposal, ..Self::new(now) };
        if let Some(open) = &state.open {
            self.open = Some(SeenChange { number: open.version.number, seen_at: now });
            self.rollback_seen_at = (open.step == RolloutStep::RollingBack).then_some(now);
        }
        self.observe_quota(now, &state.quota);
    }

    pub fn observe(&mut self, now: f64, change: &StateChange) {
        match change {
            StateChange::Proposed(number) => {
                self.open = Some(SeenChange { number: *number, seen_at: now });
                self.rollback_seen_at = None;
            }
            StateChange::RollingBack(_) => self.rollback_seen_at = Some(now),
            StateChange::Activated(_) | StateChange::Withdrawn(_) => {
                (self.open, self.rollback_seen_at) = (None, None);
            }
            _ => {}
        }
    }

    /// When the proposed version was first seen committed.
    pub fn open_seen_at(&self, number: u64) -> Option<f64> {
        self.open.filter(|open| open.number == number).map(|open| open.seen_at)
    }

    pub fn rollback_seen_at(&self) -> Option<f64> {
        self.rollback_seen_at
    }

    /// Records shrinks of shares that await their release, each from when it was first seen.
    pub fn observe_quota(&mut self, now: f64, ledger: &QuotaLedger) {
        let awaiting = ledger.brokers.iter().filter(|(_, shares)| shares.awaits_release());
        let seen = awaiting.map(|(broker, shares)| {
            let generation = shares.shrunk_generation;
            let before = self.quota_shrinks.get(broker).filter(|seen| seen.generation == generation);
            (broker.clone(), before.copied().unwrap_or(SeenShrink { generation, seen_at: now }))
        });
        self.quota_shrinks = seen.collect();
    }

    /// Records whether the voter leads: `term` is the term in which it leads, `None` if it does not.
    pub fn set_leading(&mut self, now: f64, term: Option<u64>) {
        if self.leadership.map(|leadership| leadership.term) != term {
            self.leadership = term.map(|term| Leadership { term, since: now });
            self.proposal = None;
        }
    }

    /// Since when the voter has led without interruption.
    pub fn leading_since(&self) -> Option<f64> {
        self.leadership.map(|leadership| leadership.since)
    }

    /// Records that a version was written to the log at `index`.
    pub fn proposed(&mut self, index: u64, number: u64) {
        self.proposal = Some(UncommittedProposal { index, number });
    }

    /// Number of a version that is in the log and not applied yet.
    pub fn uncommitted_proposal(&self, applied: u64) -> Option<u64> {
        self.proposal.filter(|proposal| proposal.index > applied).map(|proposal| proposal.number)
    }
}

//! This broker's voter: its effects are carried out here, and entries go into the log through it.
//!
//! What a voter promises is on the disk before it is sent to anyone. After a failed write the voter is silent until its
//! journal could be rewritten.

use dunepond_consensus::{Command, ConsensusError, Effects, EntryOutcome, Rejection, Voter};
use dunepond_membership::RequestKind;
use tracing::{debug, error, info, warn};

use super::ControlLoop;
use super::messages::SentRequest;
use crate::clock::monotonic_seconds;
use crate::explain::{Explanation, ProposedEntry};
use crate::handle::increment;

/// Seconds after which a journal that could not be written is rewritten.
const STORAGE_RETRY_SECONDS: f64 = 0.5;
/// Seconds after which a message between voters is of no use any more.
const CONSENSUS_TIMEOUT_SECONDS: f64 = 1.0;

/// What the loop keeps for its voter.
#[derive(Default)]
pub(super) struct VoterState {
    /// A write has failed: the voter is silent. The journal is rewritten at this time.
    storage_retry_at: Option<f64>,
    /// The last refusal that was logged.
    last_refusal: Option<Explanation>,
}

impl ControlLoop {
    /// Whether the voter is silent, as it must not rely on what is not on the disk.
    pub(super) fn is_voter_silent(&self) -> bool {
        self.state.voter.storage_retry_at.is_some()
    }

    /// Whether this broker's voter leads and may speak.
    pub(super) fn is_leading(&self) -> bool {
        !self.is_voter_silent() && self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Ticks the voter, after a failed write only once the journal is rewritten.
    pub(super) fn tick_voter(&mut self, now: f64) {
        self.retry_storage(now);
        if self.is_voter_silent() {
            return;
        }
        if let Some(voter) = &mut self.voter {
            let effects = voter.tick(now);
            self.execute(effects);
        }
    }

    /// After a failed write the whole journal is rewritten; only then does the voter send messages again.
    fn retry_storage(&mut self, now: f64) {
        let is_due = self.state.voter.storage_retry_at.is_some_and(|retry_at| now >= retry_at);
        let Some(voter) = self.voter.as_ref().filter(|_| is_due) else { return };
        match self.data.rewrite_journal(voter.checkpoint().encode()) {
            Ok(()) => {
                info!("fleet: the folder can be written again");
                self.state.voter.storage_retry_at = None;
            }
            Err(e) => {
                debug!("fleet: folder: {e}");
                self.state.voter.storage_retry_at = Some(now + STORAGE_RETRY_SECONDS);
            }
        }
    }

    /// Carries out the voter's effects: writes to the disk first, and only then sends to others.
    pub(super) fn execute(&mut self, effects: Effects) {
        if !effects.write_batch.is_empty()
            && let Err(e) = self.write_to_journal(&effects.write_batch.encode())
        {
            error!("fleet: folder: {e}; this voter is silent until it can be written: look at the disk");
            self.state.voter.storage_retry_at = Some(monotonic_seconds() + STORAGE_RETRY_SECONDS);
            return;
        }
        for line in effects.log_lines {
            info!("fleet: {line}");
        }
        for outcome in effects.outcomes {
            self.log_outcome(outcome);
        }
        for (to, bytes) in effects.messages {
            let (kind, timeout) = (RequestKind::Raft, CONSENSUS_TIMEOUT_SECONDS);
            self.send_request(&to, kind, bytes, timeout, SentRequest::Consensus);
        }
        for (broker, reply) in effects.replies {
            self.send_lease_reply(broker, reply);
        }
    }

    /// Appends a record to the journal, and rewrites a journal that has become long.
    fn write_to_journal(&mut self, record: &[u8]) -> std::io::Result<()> {
        increment(&self.counters.syncs);
        self.data.append_to_journal(record)?;
        match &self.voter {
            Some(voter) if self.data.journal_is_long() => {
                self.data.rewrite_journal(voter.checkpoint().encode())
            }
            _ => Ok(()),
        }
    }

    /// A message of another voter.
    pub(super) fn handle_consensus_message(&mut self, from: &str, bytes: &[u8]) {
        if self.is_voter_silent() {
            return;
        }
        let Some(voter) = &mut self.voter else { return };
        match voter.receive(monotonic_seconds(), from, bytes) {
            Ok(effects) => self.execute(effects),
            Err(e @ ConsensusError::MalformedMessage(_)) => debug!("fleet: {e} ({})", e.help()),
            Err(e) => warn!("fleet: {e} ({})", e.help()),
        }
    }

    /// Enters a command of this broker into the log, where it leads.
    pub(super) fn propose(&mut self, command: Command) -> Result<(), Rejection> {
        let by = self.name.clone();
        self.propose_on_behalf_of(&by, command)
    }

    /// Enters a command that the broker `by` has sent.
    pub(super) fn propose_on_behalf_of(&mut self, by: &str, command: Command) -> Result<(), Rejection> {
        let is_silent = self.is_voter_silent();
        let Some(voter) = self.voter.as_mut().filter(|_| !is_silent) else {
            return Err(Rejection::NotLeader(None));
        };
        let entry = ProposedEntry::of(&command, by);
        match voter.propose(monotonic_seconds(), command) {
            Ok(effects) => {
                self.execute(effects);
                Ok(())
            }
            Err(why) => {
                self.explain_refusal(&entry, &why);
                Err(why)
            }
        }
    }

    /// Logs a committed entry and its explanation.
    fn log_outcome(&self, outcome: EntryOutcome) {
        let EntryOutcome { index, result } = outcome;
        if let Some(state) = self.voter.as_ref().map(Voter::state) {
            let explanation = match &result {
                Ok(change) => Explanation::for_change(index, change, state),
                Err(why) => Some(Explanation::for_refusal(&ProposedEntry::logged(index), why, state)),
            };
            if let Some(explanation) = explanation {
                explanation.log();
            }
        }
        match result {
            Ok(change) => debug!("fleet: entry {index}: {change:?}"),
            Err(why) => info!("fleet: entry {index} is left out: {why} ({})", why.help()),
        }
    }

    /// Logs the explanation of a refusal; one that repeats is logged once.
    fn explain_refusal(&mut self, entry: &ProposedEntry, why: &Rejection) {
        let is_routine = matches!(
            why,
            Rejection::NotLeader(_) | Rejection::AlreadySettled(_) | Rejection::FillNotNeeded { .. }
        );
        let Some(state) = self.voter.as_ref().map(Voter::state).filter(|_| !is_routine) else { return };
        let explanation = Explanation::for_refusal(entry, why, state);
        if self.state.voter.last_refusal.as_ref() != Some(&explanation) {
            explanation.log();
            self.state.voter.last_refusal = Some(explanation);
        }
    }
}

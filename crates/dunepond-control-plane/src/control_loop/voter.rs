//! Runs this broker's voter: passes ticks, messages and proposed commands to it, and carries out its effects.
//!
//! A voter's promises to other voters are on disk before any message that depends on them is sent. After a failed write
//! the voter is silent: it neither handles nor sends messages until its journal has been rewritten.

use dunepond_consensus::{Command, ConsensusError, Effects, EntryOutcome, Rejection, Voter};
use dunepond_membership::RequestKind;
use tracing::{debug, error, info, warn};

use super::ControlLoop;
use super::messages::SentRequest;
use crate::clock::monotonic_seconds;
use crate::explain::{Explanation, ProposedEntry};
use crate::handle::increment;

/// Time after a failed write until the journal is rewritten, and between two attempts to rewrite it.
const STORAGE_RETRY_SECONDS: f64 = 0.5;
/// Timeout of a message between voters. An undelivered message is obsolete by then.
const CONSENSUS_TIMEOUT_SECONDS: f64 = 1.0;

/// State that the control loop keeps for its voter.
#[derive(Default)]
pub(super) struct VoterState {
    /// When the journal is rewritten after a failed write. The voter is silent while this is set.
    storage_retry_at: Option<f64>,
    /// The explanation of a refused command that was logged last.
    last_refusal: Option<Explanation>,
}

impl ControlLoop {
    /// Whether the voter is silent after a failed write, as it must not depend on state that is not on disk.
    pub(super) fn is_voter_silent(&self) -> bool {
        self.state.voter.storage_retry_at.is_some()
    }

    /// Whether this broker's voter leads and is not silent.
    pub(super) fn is_leading(&self) -> bool {
        !self.is_voter_silent() && self.voter.as_ref().is_some_and(Voter::is_leader)
    }

    /// Ticks the voter, unless it is silent. After a failed write, first rewrites the journal if a rewrite is due.
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

    /// Rewrites the journal after a failed write, if a rewrite is due. If it succeeds, the voter is no longer silent.
    fn retry_storage(&mut self, now: f64) {
        let is_due = self.state.voter.storage_retry_at.is_some_and(|retry_at| now >= retry_at);
        let Some(voter) = self.voter.as_ref().filter(|_| is_due) else { return };
        match self.data.rewrite_journal(voter.checkpoint().encode()) {
            Ok(()) => {
                info!("fleet: the data directory can be written again");
                self.state.voter.storage_retry_at = None;
            }
            Err(e) => {
                debug!("fleet: data directory: {e}");
                self.state.voter.storage_retry_at = Some(now + STORAGE_RETRY_SECONDS);
            }
        }
    }

    /// Carries out the voter's effects: writes to disk first, and only then sends messages.
    pub(super) fn execute(&mut self, effects: Effects) {
        if !effects.write_batch.is_empty()
            && let Err(e) = self.write_to_journal(&effects.write_batch.encode())
        {
            error!(
                "fleet: data directory: {e}; this voter is silent until it can be written; check the disk"
            );
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

    /// Appends a record to the journal, and rewrites the journal if it has become too long.
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

    /// Handles a message from another voter.
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

    /// Proposes a command to the log on behalf of this broker, if its voter leads.
    pub(super) fn propose(&mut self, command: Command) -> Result<(), Rejection> {
        let by = self.name.clone();
        self.propose_on_behalf_of(&by, command)
    }

    /// Proposes a command to the log on behalf of the broker `by`, if this broker's voter leads. `by` is only used to
    /// explain why the command was refused.
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

    /// Logs the outcome of a committed entry and its explanation.
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
            Err(why) => info!("fleet: entry {index} is ignored: {why} ({})", why.help()),
        }
    }

    /// Logs why a command was refused, unless the refusal is routine or its explanation is the same as the last one.
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

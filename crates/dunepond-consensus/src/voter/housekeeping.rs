//! Entries that the leader writes by itself: the end of a rollout step after its wait, the withdrawal of a
//! configuration version whose fills are overdue, a changed consensus configuration, changed voters and folders, and
//! the release of units that were taken from a broker's quota share.

use super::Voter;
use super::raft_node::elections_seconds;
use crate::log_entry::LogEntry;
use crate::{Command, ConsensusConfig, ProposedChange, Rejection, RolloutStep};

/// Number of election timeouts after which the leader writes an entry again if the previous one is not applied yet.
const RETRY_ELECTIONS: f64 = 1.0;

impl Voter {
    /// Writes the next entry that the leader has to write by itself, if one is due.
    pub(super) fn run_housekeeping(&mut self, now: f64) {
        if !self.is_leader() {
            self.suspended_since = None;
            return;
        }
        if self.state.leases_suspended {
            self.suspended_since.get_or_insert(now);
        }
        self.forget_old_leases(now);
        let is_in_progress = self.node.raft.raft_log.last_index() > self.state.index;
        let retry_seconds = elections_seconds(RETRY_ELECTIONS, self.config.lease_seconds);
        if is_in_progress && now - self.observations.last_attempt_at < retry_seconds {
            return;
        }
        let Some(entry) = self.next_housekeeping_entry(now) else { return };
        self.observations.last_attempt_at = now;
        match entry {
            LogEntry::VoterSlot { voter, folder_start } => self.write_folder_start(voter, folder_start),
            LogEntry::VotersReplaced(replacement) => self.write_replacement(replacement),
            // If the log accepts no further entry now, the leader tries again later.
            entry => drop(self.append(&entry)),
        }
    }

    /// Forgets leases that ended long ago. The record of an expired lease is needed while queries that were sent under
    /// the lease may be in flight, and then while these queries count in the windows of shared quotas.
    fn forget_old_leases(&mut self, now: f64) {
        let (actions, window) = (self.action_seconds(), self.quota_window_seconds());
        self.lease_requests.granted.retain(|_, lease| lease.over_at + actions + window > now);
    }

    /// The next entry that the leader has to write by itself, if one is due.
    fn next_housekeeping_entry(&self, now: f64) -> Option<LogEntry> {
        if let Some(entry) = self.next_membership_entry() {
            return Some(entry);
        }
        if let Some(release) = self.next_quota_release(now) {
            return Some(LogEntry::Command(release));
        }
        if self.state.leases_suspended {
            let over_at = self.suspended_since? + self.state.quiescence_seconds(&self.config);
            return (now >= over_at).then_some(LogEntry::ResumeLeases { epoch: self.state.epoch });
        }
        match &self.state.proposed {
            Some(proposed) => self.next_rollout_entry(now, proposed),
            None => self.changed_config().map(LogEntry::Config),
        }
    }

    /// The consensus configuration in this leader's file, if it differs from the one in force. Name and voters are not
    /// compared, since the list of voters is replicated separately.
    fn changed_config(&self) -> Option<ConsensusConfig> {
        let in_force = &self.state.config;
        let (name, voters) = (in_force.name.clone(), in_force.voters.clone());
        let own = ConsensusConfig { name, voters, ..self.config.clone() };
        (own != *in_force).then_some(own)
    }

    /// The next entry about the proposed version, if one is due.
    fn next_rollout_entry(&self, now: f64, proposed: &ProposedChange) -> Option<LogEntry> {
        let number = proposed.version.number;
        let seen_at = self.observations.proposed_seen_at(number)?;
        match proposed.step {
            RolloutStep::Staged(_) => None,
            RolloutStep::RollingBack => {
                let over_at =
                    self.observations.rollback_seen_at()? + self.state.quiescence_seconds(&self.config);
                (now >= over_at).then_some(LogEntry::RollbackCompleted { number })
            }
            RolloutStep::Joint => self.next_joint_entry(now, proposed, seen_at),
        }
    }

    /// The entry that ends the joint step, if it is due: the first stage, the activation, or the withdrawal because fills
    /// are overdue.
    fn next_joint_entry(&self, now: f64, proposed: &ProposedChange, seen_at: f64) -> Option<LogEntry> {
        let number = proposed.version.number;
        let activate = LogEntry::Command(Command::Activate { number });
        match self.state.check(&activate) {
            Ok(()) if now >= self.all_joint_from(seen_at, number) => match proposed.version.first_stage_ratio
            {
                Some(_) => Some(LogEntry::StartStage { number }),
                None => Some(activate),
            },
            Err(Rejection::FillsMissing { missing, .. })
                if now - seen_at >= self.state.config.fill_deadline_seconds =>
            {
                let why = format!("{missing} fills were not completed in time");
                Some(LogEntry::Command(Command::Withdraw { number, why }))
            }
            _ => None,
        }
    }

    /// The time on this leader's clock from which no broker acts only on the active version any more, and all queries
    /// that were sent by brokers that did so have ended. `seen_at` is when this leader saw the proposal committed.
    fn all_joint_from(&self, seen_at: f64, number: u64) -> f64 {
        let latest = seen_at + self.state.quiescence_seconds(&self.config);
        // The wait may be shorter if this leader itself granted all leases that may still be valid. Then it knows which
        // brokers have reported that they act on the joint configuration, and when the leases of the other brokers end.
        let lease = self.state.longest_lease_seconds.max(self.config.lease_seconds);
        let longest_lease = self.config.with_drift(lease).max(self.state.config.with_drift(lease));
        if self.observations.leading_since().is_none_or(|since| seen_at - since < longest_lease) {
            return latest;
        }
        let joint_or_over = self.lease_requests.granted.values().map(|lease| match lease.joint {
            Some(joint) if joint.number == number => joint.at,
            _ => lease.over_at,
        });
        latest.min(joint_or_over.fold(seen_at, f64::max) + self.action_seconds())
    }
}

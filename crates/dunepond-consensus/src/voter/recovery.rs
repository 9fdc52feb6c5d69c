//! Recovery of a fleet whose majority of voters is permanently lost, from one voter's folder, by an operator's order.
//! Entries that only the lost voters had committed are lost. Three measures limit the consequences. The fleet's epoch
//! is increased. Brokers that know the new epoch accept nothing from an earlier one. No lease is granted until all
//! leases that the lost voters granted, and all queries sent under them, have ended.

use raft::eraftpb::{ConfState, EntryType};

use super::{Participation, Voter, raft_node};
use crate::log_storage::{LogStorage, snapshot};
use crate::{ConsensusConfig, ConsensusError, RECOVERY_CONFIRMATION, RecoveryError, RecoveryOrder};
use crate::{ReplicatedState, StoredVoter, decode};

/// Number by which a recovery increases the log's index and term, so that no new entry has the position of an entry
/// that only the lost voters have.
const POSITION_GAP: u64 = 1 << 20;

impl Voter {
    /// Opens a voter like [`Voter::open`], and lets it continue without the lost voters. The voter has a new folder
    /// identity, and is the only member of the raft group until the other remaining voters have joined with empty
    /// folders.
    ///
    /// # Errors
    /// An error of [`Voter::open`], or the order is invalid or not for this folder and log position.
    pub fn recover(
        config: ConsensusConfig,
        stored: StoredVoter,
        order: &RecoveryOrder,
        now: f64,
        seed: u64,
    ) -> Result<Self, ConsensusError> {
        let mut voter = Self::open(config, stored, now, seed)?;
        voter.check_position(order)?;
        let state = voter.state_with_all_entries()?;
        voter.check_order(order, &state)?;
        voter.continue_alone(now, order, state);
        Ok(voter)
    }

    /// Id of the folder and last index of its log, which a [`RecoveryOrder`] has to state.
    pub fn recovery_position(&self) -> (u64, u64) {
        (self.folder.id, self.node.raft.raft_log.last_index())
    }

    fn check_position(&self, order: &RecoveryOrder) -> Result<(), RecoveryError> {
        let (folder_id, last_index) = self.recovery_position();
        if !self.has_state {
            return Err(RecoveryError::NoState);
        }
        if order.folder_id != folder_id {
            return Err(RecoveryError::WrongFolder { stated: order.folder_id, actual: folder_id });
        }
        if order.last_index != last_index {
            return Err(RecoveryError::WrongPosition { stated: order.last_index, actual: last_index });
        }
        Ok(())
    }

    /// The state with all entries of the log applied, including those that this voter does not know to be committed, since
    /// the lost voters may have committed them.
    fn state_with_all_entries(&self) -> Result<ReplicatedState, RecoveryError> {
        let mut state = self.state.clone();
        for entry in self.node.store().entries_after(state.index) {
            let is_membership = entry.get_entry_type() != EntryType::EntryNormal;
            let bytes: &[u8] = if is_membership { &entry.context } else { &entry.data };
            if !bytes.is_empty() {
                let log_entry = decode::log_entry(bytes, &self.known_keys)
                    .map_err(|reason| RecoveryError::UnknownEntry(reason.to_string()))?;
                // An entry that is invalid in this state has no effect; every voter ignores it.
                let _ = state.apply(entry.index, log_entry);
            }
        }
        Ok(state)
    }

    fn check_order(&self, order: &RecoveryOrder, state: &ReplicatedState) -> Result<(), RecoveryError> {
        if let Some(name) = order.lost_voters.iter().find(|name| !state.voters.contains(name)) {
            return Err(RecoveryError::NotAVoter(name.clone()));
        }
        if order.lost_voters.contains(&self.config.name) {
            return Err(RecoveryError::OwnVoter);
        }
        let (lost, total) = (order.lost_voters.len(), state.voters.voters.len());
        if lost * 2 < total {
            return Err(RecoveryError::MajorityRemains { lost, total });
        }
        if order.highest_number < state.highest_number {
            let (stated, actual) = (order.highest_number, state.highest_number);
            return Err(RecoveryError::VersionTooLow { stated, actual });
        }
        if order.confirmation != RECOVERY_CONFIRMATION {
            return Err(RecoveryError::WrongConfirmation);
        }
        Ok(())
    }

    /// Turns this voter into the only member of the raft group, with `state` in the next epoch.
    fn continue_alone(&mut self, now: f64, order: &RecoveryOrder, mut state: ReplicatedState) {
        let (_, last_index) = self.recovery_position();
        self.begin_new_folder();
        state.voters.voters.retain(|voter| !order.lost_voters.contains(&voter.name));
        (state.voters.pending, state.voters.last_removed) = (None, None);
        state.voters.number += 1;
        state.folder_starts = [(self.config.name.clone(), self.folder_start())].into();
        state.highest_number = order.highest_number;
        state.epoch += 1;
        state.leases_suspended = true;
        state.index = last_index + POSITION_GAP;
        let conf_state = ConfState::from((vec![self.folder.id], Vec::new()));
        let term = self.node.raft.term + POSITION_GAP;
        let mut log = LogStorage::default();
        log.restore(snapshot(state.index, term, conf_state, state.encode()));
        self.node = raft_node(self.folder.id, state.index, log);
        self.log(format!(
            "recovered by an operator's order: epoch {}, lost voters {}; no lease is granted for {:.1} s",
            state.epoch,
            order.lost_voters.join(", "),
            state.quiescence_seconds(&self.config)
        ));
        (self.state, self.participation) = (state, Participation::Active);
        self.observations.restart(now, &self.state);
    }
}

//! Entries that change shares of fleet-wide quotas; the quota ledger checks and applies them.

use dunepond_quota::QuotaEntry;

use super::{ReplicatedState, StateChange};
use crate::Rejection;

impl ReplicatedState {
    pub(super) fn check_quota(&self, entry: &QuotaEntry) -> Result<(), Rejection> {
        self.quota.check(entry).map_err(Rejection::Quota)
    }

    pub(super) fn apply_quota(&mut self, entry: &QuotaEntry) -> Result<StateChange, Rejection> {
        self.quota.apply(entry).map_err(Rejection::Quota)?;
        Ok(StateChange::Quota(self.quota.generation))
    }
}

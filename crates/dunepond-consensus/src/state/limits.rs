//! Each broker's part of bounds that hold for the whole fleet: judged and applied by the ledger itself.

use dunepond_quota::QuotaEntry;

use super::{ReplicatedState, StateChange};
use crate::Rejection;

impl ReplicatedState {
    pub(super) fn check_limit(&self, entry: &QuotaEntry) -> Result<(), Rejection> {
        self.quota.check(entry).map_err(Rejection::Quota)
    }

    pub(super) fn limit(&mut self, entry: &QuotaEntry) -> Result<StateChange, Rejection> {
        self.quota.apply(entry).map_err(Rejection::Quota)?;
        Ok(StateChange::Quota(self.quota.generation))
    }
}

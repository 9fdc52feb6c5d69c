//! Each broker's part of bounds that hold for the whole fleet: judged and applied by the ledger itself.

use dunepond_quota::Agreed;

use super::{Change, State};
use crate::Refusal;

impl State {
    pub(super) fn check_limit(&self, entry: &Agreed) -> Result<(), Refusal> {
        self.limits.check(entry).map_err(Refusal::Limit)
    }

    pub(super) fn limit(&mut self, entry: &Agreed) -> Result<Change, Refusal> {
        self.limits.apply(entry).map_err(Refusal::Limit)?;
        Ok(Change::Limit(self.limits.generation))
    }
}

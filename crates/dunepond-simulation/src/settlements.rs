//! Helpers that find settlements in commands, in the log and in the updates that brokers receive.

use dunepond_consensus::{Command, LeaseClient, ReplicatedState, StateChange};
use dunepond_settlement::{Settlement, SettlementEntry};

/// The command with which a settlement is proposed.
pub fn settle_command(settlement: Settlement) -> Command {
    Command::Settlement(SettlementEntry::Settle(settlement))
}

/// The id of the settlement that a state change applied; `None` for other changes.
pub fn settled_id(change: &StateChange) -> Option<&str> {
    match change {
        StateChange::Settlement(SettlementEntry::Settle(settlement)) => Some(&settlement.id),
        _ => None,
    }
}

/// The settlement in an entry; `None` if the entry is of another kind.
fn settlement_of(entry: SettlementEntry) -> Option<Settlement> {
    match entry {
        SettlementEntry::Settle(settlement) => Some(settlement),
        _ => None,
    }
}

/// Ids of the settlements in the updates that a broker has received since the last call.
pub fn take_learned_ids(client: &mut LeaseClient) -> Vec<String> {
    let entries = client.take_settlement_updates().into_iter().flat_map(|update| update.entries);
    entries.filter_map(|noted| settlement_of(noted.entry)).map(|settlement| settlement.id).collect()
}

/// Result of [`settlements_after`]: settlements in a part of the log.
pub struct LoggedSettlements {
    /// Number of settlement entries in the log from its start to the end of this part.
    pub entry_count: u64,
    /// Settlements in this part of the log.
    pub settlements: Vec<Settlement>,
}

/// The settlements in the log after its first `known_count` settlement entries. Reads a single update, which has a
/// limited number of entries; settlements beyond it are not returned.
///
/// # Panics
/// The replicated state does not keep the entries after `known_count` any more.
pub fn settlements_after(state: &ReplicatedState, known_count: u64) -> LoggedSettlements {
    let update = state.settlements.updates_after(known_count);
    assert!(
        update.ledger.is_none() && update.from == known_count,
        "entries {known_count} to {} about settlement are not kept any more",
        update.from
    );
    let entry_count = known_count + update.entries.len() as u64;
    let settlements = update.entries.into_iter().filter_map(|noted| settlement_of(noted.entry)).collect();
    LoggedSettlements { entry_count, settlements }
}

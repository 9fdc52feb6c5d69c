//! Settlements as commands, in the log, and in what brokers learn from it.

use dunepond_consensus::{Command, LeaseClient, ReplicatedState, StateChange};
use dunepond_settlement::{Settlement, SettlementEntry};

/// The command that commits a settlement.
pub fn settle_command(settlement: Settlement) -> Command {
    Command::Settlement(SettlementEntry::Settle(settlement))
}

/// The id of the settlement that was applied, if the change is one.
pub fn settled_id(change: &StateChange) -> Option<&str> {
    match change {
        StateChange::Settlement(SettlementEntry::Settle(settlement)) => Some(&settlement.id),
        _ => None,
    }
}

fn settlement_of(entry: SettlementEntry) -> Option<Settlement> {
    match entry {
        SettlementEntry::Settle(settlement) => Some(settlement),
        _ => None,
    }
}

/// Ids of settlements that this broker has learned of since the last call.
pub fn take_learned_ids(client: &mut LeaseClient) -> Vec<String> {
    let entries = client.take_settlement_updates().into_iter().flat_map(|update| update.entries);
    entries.filter_map(|noted| settlement_of(noted.entry)).map(|settlement| settlement.id).collect()
}

/// A part of the log's entries about settlement.
pub struct LoggedSettlements {
    /// Entries about settlement up to the end of this part.
    pub entry_count: u64,
    /// The settlements among them.
    pub settlements: Vec<Settlement>,
}

/// Settlements of the log after its first `known_count` entries about settlement, as far as one update goes.
///
/// # Panics
/// The log does not have these entries any more.
pub fn settlements_after(state: &ReplicatedState, known_count: u64) -> LoggedSettlements {
    let update = state.settlements.updates_after(known_count);
    assert!(
        update.ledger.is_none() && update.from == known_count,
        "entries {known_count} to {} are forgotten",
        update.from
    );
    let entry_count = known_count + update.entries.len() as u64;
    let settlements = update.entries.into_iter().filter_map(|noted| settlement_of(noted.entry)).collect();
    LoggedSettlements { entry_count, settlements }
}

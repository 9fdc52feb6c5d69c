//! Debts as the agreed log has them.

use dunepond_consensus::{Command, LeaseClient, ReplicatedState, StateChange};
use dunepond_settlement::{Settlement, SettlementEntry};

pub fn settle(settlement: Settlement) -> Command {
    Command::Settlement(SettlementEntry::Settle(settlement))
}

/// The id of the settlement that was applied.
pub fn settled(change: &StateChange) -> Option<&str> {
    match change {
        StateChange::Settlement(SettlementEntry::Settle(settlement)) => Some(&settlement.id),
        _ => None,
    }
}

/// Ids of settlements that this broker has heard of since the last call.
pub fn heard(member: &mut LeaseClient) -> Vec<String> {
    let entries = member.take_settlement_updates().into_iter().flat_map(|told| told.entries);
    let settled = entries.filter_map(|noted| match noted.entry {
        SettlementEntry::Settle(settlement) => Some(settlement.id),
        _ => None,
    });
    settled.collect()
}

/// Settlements of the log after its first `known` entries about debts, as far as one answer tells them; and how many
/// entries these are with it.
pub fn since(state: &ReplicatedState, known: u64) -> (u64, Vec<Settlement>) {
    let told = state.settlements.updates_after(known);
    assert!(told.ledger.is_none() && told.from == known, "entries {known} to {} are forgotten", told.from);
    let count = known + told.entries.len() as u64;
    let settled = told.entries.into_iter().filter_map(|noted| match noted.entry {
        SettlementEntry::Settle(settlement) => Some(settlement),
        _ => None,
    });
    (count, settled.collect())
}

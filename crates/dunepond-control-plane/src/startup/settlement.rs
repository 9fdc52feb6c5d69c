//! Counts, balances and commitments at the start.

use dunepond_settlement::{Balances, BrokerPartners, LocalCounts, SettlementError, SettlementTerms};

use super::fills::fill_rate;
use super::stored::OpenedStorage;
use crate::commitments::Commitments;
use crate::config::{ControlPlaneConfig, Partner};
use crate::error::ControlPlaneError;

fn settlement_error(e: SettlementError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

/// What was counted and settled before this start.
pub(super) struct Accounts {
    pub(super) commitments: Commitments,
    pub(super) counts: LocalCounts,
    pub(super) balances: Balances,
}

impl Accounts {
    /// Takes the stored commitments and counts, and tells the lease client which settlements are known.
    pub(super) fn open(
        config: &ControlPlaneConfig,
        stored: &mut OpenedStorage,
    ) -> Result<Self, ControlPlaneError> {
        let broker = &config.terms.name;
        let commitments = open_commitments(stored.commitments.take(), broker)?;
        stored.lease_client.set_known_settlements(commitments.applied_entries);
        let counts = open_counts(stored.counts.take(), broker, stored.incarnation)?;
        let balances = new_balances(config, &commitments)?;
        Ok(Self { commitments, counts, balances })
    }
}

/// The stored counts, continued by this incarnation.
fn open_counts(
    stored: Option<LocalCounts>,
    broker: &str,
    incarnation: u64,
) -> Result<LocalCounts, ControlPlaneError> {
    let opened = match LocalCounts::open(stored.clone(), broker, incarnation) {
        // The clock was set back, and the number of starts was lost.
        Err(SettlementError::StaleIncarnation { stored: newest, .. }) => {
            LocalCounts::open(stored, broker, newest + 1)
        }
        other => other,
    };
    opened.map_err(settlement_error)
}

/// Which partner each broker belongs to.
pub(super) fn broker_partners(partners: &[Partner]) -> BrokerPartners {
    let mut broker_partners = BrokerPartners::default();
    for partner in partners {
        for broker in &partner.brokers {
            broker_partners.partner_of.insert(broker.clone(), partner.name.clone());
        }
        if partner.metered {
            broker_partners.metered.insert(partner.name.clone());
        }
    }
    broker_partners
}

/// Balances of the stored ledger; the control loop adds the counts.
fn new_balances(
    config: &ControlPlaneConfig,
    commitments: &Commitments,
) -> Result<Balances, ControlPlaneError> {
    let terms = SettlementTerms { max_fill_rate: fill_rate(config), ..SettlementTerms::default() };
    let (broker_partners, ledger) = (broker_partners(&config.partners), commitments.ledger.clone());
    Balances::new(terms, broker_partners, ledger).map_err(settlement_error)
}

/// The stored commitments, or none yet.
fn open_commitments(stored: Option<Commitments>, broker: &str) -> Result<Commitments, ControlPlaneError> {
    match stored {
        Some(commitments) => Ok(commitments),
        None => Commitments::new(broker).map_err(settlement_error),
    }
}

//! Counts, balances and commitments at the start.

use dunepond_settlement::{Balances, BrokerPartners, LocalCounts, SettlementError, SettlementTerms};

use super::fills::fill_rate;
use crate::commitments::Commitments;
use crate::config::{ControlPlaneConfig, Partner};
use crate::error::ControlPlaneError;

fn settlement_error(e: SettlementError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

/// The stored counts, continued by this incarnation.
pub(super) fn open_counts(
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
pub(super) fn new_balances(
    config: &ControlPlaneConfig,
    commitments: &Commitments,
) -> Result<Balances, ControlPlaneError> {
    let terms = SettlementTerms { max_fill_rate: fill_rate(config), ..SettlementTerms::default() };
    let (broker_partners, ledger) = (broker_partners(&config.partners), commitments.ledger.clone());
    Balances::new(terms, broker_partners, ledger).map_err(settlement_error)
}

/// The stored commitments, or none yet.
pub(super) fn open_commitments(
    stored: Option<Commitments>,
    broker: &str,
) -> Result<Commitments, ControlPlaneError> {
    match stored {
        Some(commitments) => Ok(commitments),
        None => Commitments::new(broker).map_err(settlement_error),
    }
}

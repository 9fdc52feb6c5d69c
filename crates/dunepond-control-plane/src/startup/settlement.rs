//! Opening of the traffic counts, balances and commitments at startup.

use dunepond_settlement::{Balances, BrokerPartners, LocalCounts, SettlementError, SettlementTerms};

use super::fills::fill_rate;
use super::stored::OpenedStorage;
use crate::commitments::Commitments;
use crate::config::{ControlPlaneConfig, Partner};
use crate::error::ControlPlaneError;

fn settlement_error(e: SettlementError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

/// Traffic counts, balances and commitments from before this start.
pub(super) struct Accounts {
    pub(super) commitments: Commitments,
    pub(super) counts: LocalCounts,
    pub(super) balances: Balances,
}

impl Accounts {
    /// Takes the stored commitments and counts out of `stored`, computes the balances, and sets in the lease client how
    /// many settlement entries this broker has already applied.
    pub(super) fn open(
        config: &ControlPlaneConfig,
        stored: &mut OpenedStorage,
    ) -> Result<Self, ControlPlaneError> {
        let broker = &config.consensus.name;
        let commitments = open_commitments(stored.commitments.take(), broker)?;
        stored.lease_client.set_known_settlements(commitments.applied_entries);
        let counts = open_counts(stored.counts.take(), broker, stored.incarnation)?;
        let balances = new_balances(config, &commitments)?;
        Ok(Self { commitments, counts, balances })
    }
}

/// Opens the stored traffic counts, to which this incarnation of the broker will add.
fn open_counts(
    stored: Option<LocalCounts>,
    broker: &str,
    incarnation: u64,
) -> Result<LocalCounts, ControlPlaneError> {
    let opened = match LocalCounts::open(stored.clone(), broker, incarnation) {
        // The counts have a later incarnation than this start, because the stored incarnation was lost and the clock
        // was set back.
        Err(SettlementError::StaleIncarnation { stored: newest, .. }) => {
            LocalCounts::open(stored, broker, newest + 1)
        }
        other => other,
    };
    opened.map_err(settlement_error)
}

/// Returns which partner each broker belongs to, and which partners are metered.
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

/// Balances from the stored ledger. The control loop adds the traffic counts later.
fn new_balances(
    config: &ControlPlaneConfig,
    commitments: &Commitments,
) -> Result<Balances, ControlPlaneError> {
    let terms = SettlementTerms { max_fill_rate: fill_rate(config), ..SettlementTerms::default() };
    let (broker_partners, ledger) = (broker_partners(&config.partners), commitments.ledger.clone());
    Balances::new(terms, broker_partners, ledger).map_err(settlement_error)
}

/// The stored commitments, or empty ones if none are stored.
fn open_commitments(stored: Option<Commitments>, broker: &str) -> Result<Commitments, ControlPlaneError> {
    match stored {
        Some(commitments) => Ok(commitments),
        None => Commitments::new(broker).map_err(settlement_error),
    }
}

//! What the data directory holds, opened: the voter and the lease client.

use std::sync::Arc;

use dunepond_consensus::{LeaseClient, Voter};
use dunepond_settlement::LocalCounts;
use dunepond_storage::FileStore;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::name_hash;
use super::voter::open_voter;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::commitments::Commitments;
use crate::config::ControlPlaneConfig;
use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;

/// The open data directory and what was read from it.
pub(super) struct OpenedStorage {
    pub(super) data: DataDirectory,
    /// Number of this start.
    pub(super) incarnation: u64,
    /// When it was opened, on the monotonic clock.
    pub(super) opened_at: f64,
    /// Seeds all parts of the control plane. Differs at each start and at each broker.
    pub(super) rng: Pcg64Mcg,
    /// `None` at a broker that is no voter.
    pub(super) voter: Option<Voter>,
    pub(super) lease_client: LeaseClient,
    /// As stored, as are the commitments; `None` once [`super::settlement::Accounts::open`] has taken them.
    pub(super) counts: Option<LocalCounts>,
    pub(super) commitments: Option<Commitments>,
}

impl OpenedStorage {
    /// `storage` takes the place of the data directory.
    pub(super) fn open(
        config: &ControlPlaneConfig,
        storage: Option<Arc<dyn FileStore>>,
    ) -> Result<Self, ControlPlaneError> {
        let terms = &config.terms;
        let is_voter = terms.voters.contains(&terms.name);
        let unix_millis = (unix_seconds() * 1000.0) as u64;
        let (mut data, stored) = DataDirectory::open(&config.data_directory, storage, is_voter, unix_millis)?;
        let incarnation = stored.incarnation;
        let mut rng = Pcg64Mcg::seed_from_u64(config.seed ^ incarnation ^ name_hash(&terms.name));
        let opened_at = monotonic_seconds();
        let voter = open_voter(config, &mut data, stored.voter_records, opened_at, &mut rng)?;
        let lease_client = LeaseClient::new(terms.clone(), stored.config, opened_at, rng.random());
        let (counts, commitments) = (stored.counts, stored.commitments);
        Ok(Self { data, incarnation, opened_at, rng, voter, lease_client, counts, commitments })
    }
}

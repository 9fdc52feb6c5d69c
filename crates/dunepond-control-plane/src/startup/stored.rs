//! Opening of the data directory, and of the voter and the lease client from its content.

use std::sync::Arc;

use dunepond_consensus::{LeaseClient, Voter};
use dunepond_settlement::LocalCounts;
use dunepond_storage::FileStore;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::start_seed;
use super::voter::open_voter;
use crate::clock::{monotonic_seconds, unix_seconds};
use crate::commitments::Commitments;
use crate::config::ControlPlaneConfig;
use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;

/// The open data directory and the state that was read from it.
pub(super) struct OpenedStorage {
    pub(super) data: DataDirectory,
    /// Incarnation of this start, greater than that of any earlier start.
    pub(super) incarnation: u64,
    /// When the directory was opened, in seconds on the monotonic clock.
    pub(super) opened_at: f64,
    /// Generator that seeds all parts of the control plane. Its own seed differs at each start and at each broker.
    pub(super) rng: Pcg64Mcg,
    /// The voter; `None` if this broker is not a voter.
    pub(super) voter: Option<Voter>,
    pub(super) lease_client: LeaseClient,
    /// The stored traffic counts; `None` if there are none, or once [`super::settlement::Accounts::open`] has taken
    /// them.
    pub(super) counts: Option<LocalCounts>,
    /// The stored commitments; `None` if there are none, or once [`super::settlement::Accounts::open`] has taken them.
    pub(super) commitments: Option<Commitments>,
}

impl OpenedStorage {
    /// Opens the data directory. `storage` replaces its files in tests.
    pub(super) fn open(
        config: &ControlPlaneConfig,
        storage: Option<Arc<dyn FileStore>>,
    ) -> Result<Self, ControlPlaneError> {
        let consensus = &config.consensus;
        let is_voter = consensus.voters.contains(&consensus.name);
        let unix_millis = (unix_seconds() * 1000.0) as u64;
        let (mut data, stored) = DataDirectory::open(&config.data_directory, storage, is_voter, unix_millis)?;
        let incarnation = stored.incarnation;
        let mut rng = Pcg64Mcg::seed_from_u64(start_seed(config.seed, incarnation, &consensus.name));
        let opened_at = monotonic_seconds();
        let voter = open_voter(config, &mut data, stored.voter_records, opened_at, &mut rng)?;
        let lease_client = LeaseClient::new(consensus.clone(), stored.config, opened_at, rng.random());
        let (counts, commitments) = (stored.counts, stored.commitments);
        Ok(Self { data, incarnation, opened_at, rng, voter, lease_client, counts, commitments })
    }
}

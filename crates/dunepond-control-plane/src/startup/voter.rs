//! The voter at the start.

use dunepond_consensus::{ConsensusError, StoredVoter, Voter};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use tracing::error;

use crate::config::ControlPlaneConfig;
use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;
use crate::lost_majority;

fn consensus_error(e: ConsensusError) -> ControlPlaneError {
    ControlPlaneError::Consensus { why: e.to_string(), help: e.help().to_string() }
}

/// The voter, where this broker is one: by an operator's statement on a lost majority if there is one, else from its
/// journal.
pub(super) fn open_voter(
    config: &ControlPlaneConfig,
    data: &mut DataDirectory,
    stored: StoredVoter,
    now: f64,
    rng: &mut Pcg64Mcg,
) -> Result<Option<Voter>, ControlPlaneError> {
    let terms = &config.terms;
    if !terms.voters.contains(&terms.name) {
        return Ok(None);
    }
    let recovered = lost_majority::recover(&config.data_directory, data, terms, &stored, now, rng.random())?;
    let voter = match recovered {
        Some(voter) => voter,
        None => match Voter::open(terms.clone(), stored, now, rng.random()) {
            // The same as a lost data directory, which the other voters allow for.
            Err(e @ (ConsensusError::CorruptRecord(_) | ConsensusError::CorruptLog(_))) => {
                error!("fleet: {e} ({}); this voter begins anew", e.help());
                Voter::open(terms.clone(), StoredVoter::new(), now, rng.random())
            }
            other => other,
        }
        .map_err(consensus_error)?,
    };
    lost_majority::log_recovery_facts(&voter);
    Ok(Some(voter))
}

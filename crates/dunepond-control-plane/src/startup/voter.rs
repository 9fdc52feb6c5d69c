//! Opening of the voter at startup.

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

/// Opens the voter: by the operator's recovery order for a lost majority if there is one, else from its journal.
/// Returns `None` if this broker is not a voter.
pub(super) fn open_voter(
    config: &ControlPlaneConfig,
    data: &mut DataDirectory,
    stored: StoredVoter,
    now: f64,
    rng: &mut Pcg64Mcg,
) -> Result<Option<Voter>, ControlPlaneError> {
    let consensus = &config.consensus;
    if !consensus.voters.contains(&consensus.name) {
        return Ok(None);
    }
    let recovered =
        lost_majority::recover(&config.data_directory, data, consensus, &stored, now, rng.random())?;
    let voter = match recovered {
        Some(voter) => voter,
        None => match Voter::open(consensus.clone(), stored, now, rng.random()) {
            // To the other voters, a voter with an empty journal is the same as a voter that has lost its data
            // directory, which they can handle.
            Err(e @ (ConsensusError::CorruptRecord(_) | ConsensusError::CorruptLog(_))) => {
                error!("fleet: {e} ({}); this voter starts with an empty journal", e.help());
                Voter::open(consensus.clone(), StoredVoter::new(), now, rng.random())
            }
            other => other,
        }
        .map_err(consensus_error)?,
    };
    lost_majority::log_recovery_position(&voter);
    Ok(Some(voter))
}

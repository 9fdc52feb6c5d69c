//! Recovery after the majority of voters is lost, by an operator's recovery order in the data directory of a remaining
//! voter. See `docs/operators/fleet.md`.

use std::io::ErrorKind;
use std::path::Path;

use dunepond_consensus::{ConsensusConfig, ConsensusError, RecoveryOrder, StoredVoter, Voter};
use tracing::{info, warn};

use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;

/// Name of the recovery order's file in the data directory.
const ORDER_FILE: &str = "majority-lost.json";
/// Name to which the recovery order is renamed once it has been carried out.
const DONE_FILE: &str = "majority-lost.done";

/// Recovers the voter by the operator's recovery order, if there is one, and stores the recovered state. Returns `None`
/// if there is no recovery order.
///
/// # Errors
/// If the order cannot be read or does not match the stored voter: the operator expects the order to be carried out, so
/// the broker must not start without doing so. Also if the recovered state cannot be stored.
pub fn recover(
    directory: &Path,
    data: &mut DataDirectory,
    config: &ConsensusConfig,
    stored: &StoredVoter,
    now: f64,
    seed: u64,
) -> Result<Option<Voter>, ControlPlaneError> {
    let path = directory.join(ORDER_FILE);
    let Some(order) = read_order(&path)? else { return Ok(None) };
    let recovered = Voter::recover(config.clone(), stored.clone(), &order, now, seed);
    let voter = recovered.map_err(|e| match e {
        ConsensusError::Recovery(why) => {
            let voter = Voter::open(config.clone(), stored.clone(), now, seed);
            let position = voter.map_or(String::new(), |voter| {
                let (folder_id, last_index) = voter.recovery_position();
                format!("; this voter has folder {folder_id}, last {last_index}")
            });
            let help = why.help().into();
            ControlPlaneError::LostMajority { path: path.clone(), why: format!("{why}{position}"), help }
        }
        other => ControlPlaneError::Consensus { why: other.to_string(), help: other.help().into() },
    })?;
    // The recovered state is stored as one record before any message is sent.
    let failed = |e: std::io::Error| ControlPlaneError::DataDirectory {
        path: directory.to_path_buf(),
        why: e.to_string(),
    };
    data.rewrite_journal(voter.checkpoint().encode()).map_err(failed)?;
    std::fs::rename(&path, directory.join(DONE_FILE)).map_err(failed)?;
    warn!("fleet: recovered by {ORDER_FILE}; voters given up: {}", order.lost_voters.join(", "));
    Ok(Some(voter))
}

fn read_order(path: &Path) -> Result<Option<RecoveryOrder>, ControlPlaneError> {
    let failed = |why: String, help: &str| ControlPlaneError::LostMajority {
        path: path.to_path_buf(),
        why,
        help: help.into(),
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(failed(e.to_string(), "make the file readable for this broker")),
    };
    let help = "write it as shown in docs/operators/fleet.md, or remove it";
    serde_json::from_str(&text).map(Some).map_err(|e| failed(e.to_string(), help))
}

/// Logs the values of this voter that an operator has to write into a recovery order. Called at each start of a voter.
pub fn log_recovery_position(voter: &Voter) {
    let (folder_id, last_index) = voter.recovery_position();
    let state = voter.state();
    let voters: Vec<_> = state.voters.voters.iter().map(|voter| voter.name.as_str()).collect();
    info!(
        "fleet: recovery position: folder {folder_id}, last {last_index}, highest version {}, voters {}",
        state.highest_number,
        voters.join(" ")
    );
}

//! Recovery from a lost majority: an operator's order in the data directory of a remaining voter; see
//! `docs/operators/fleet.md`.

use std::io::ErrorKind;
use std::path::Path;

use dunepond_consensus::{ConsensusConfig, ConsensusError, RecoveryOrder, StoredVoter, Voter};
use tracing::{info, warn};

use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;

/// Name of the order in the data directory.
const ORDER_FILE: &str = "majority-lost.json";
/// Its name once it has been carried out.
const DONE_FILE: &str = "majority-lost.done";

/// Recovers the voter by the order, if there is one.
///
/// # Errors
/// An order that cannot be read or does not fit ends the start, as its author expects it to be carried out.
pub fn recover(
    directory: &Path,
    data: &mut DataDirectory,
    terms: &ConsensusConfig,
    stored: &StoredVoter,
    now: f64,
    seed: u64,
) -> Result<Option<Voter>, ControlPlaneError> {
    let path = directory.join(ORDER_FILE);
    let Some(order) = read_order(&path)? else { return Ok(None) };
    let recovered = Voter::recover(terms.clone(), stored.clone(), &order, now, seed);
    let voter = recovered.map_err(|e| match e {
        ConsensusError::Recovery(why) => {
            let voter = Voter::open(terms.clone(), stored.clone(), now, seed);
            let position = voter.map_or(String::new(), |voter| {
                let (folder_id, last_index) = voter.recovery_position();
                format!("; here: folder {folder_id}, last {last_index}")
            });
            let help = why.help().into();
            ControlPlaneError::LostMajority { path: path.clone(), why: format!("{why}{position}"), help }
        }
        other => ControlPlaneError::Consensus { why: other.to_string(), help: other.help().into() },
    })?;
    // Stored as one record, before any other broker hears of it.
    let failed = |e: std::io::Error| ControlPlaneError::DataDirectory {
        path: directory.to_path_buf(),
        why: e.to_string(),
    };
    data.rewrite_journal(voter.checkpoint().encode()).map_err(failed)?;
    std::fs::rename(&path, directory.join(DONE_FILE)).map_err(failed)?;
    warn!("fleet: goes on by {ORDER_FILE}, without {}", order.lost_voters.join(", "));
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
        Err(e) => return Err(failed(e.to_string(), "make it readable")),
    };
    let help = "write it as docs/operators/fleet.md shows it, or take it away";
    serde_json::from_str(&text).map(Some).map_err(|e| failed(e.to_string(), help))
}

/// Logs what such an order has to name, at each start of a voter.
pub fn log_recovery_facts(voter: &Voter) {
    let (folder_id, last_index) = voter.recovery_position();
    let state = voter.state();
    let voters: Vec<_> = state.voters.voters.iter().map(|voter| voter.name.as_str()).collect();
    info!(
        "fleet: folder {folder_id}, last {last_index}, highest version {}, voters {}",
        state.highest_number,
        voters.join(" ")
    );
}

//! An operator's order to continue after a majority is lost, put into the data directory of a remaining voter; see `docs/operators/fleet.md`.

use std::io::ErrorKind;
use std::path::Path;

use dunepond_consensus::{ConsensusConfig, ConsensusError, RecoveryOrder, StoredVoter, Voter};
use tracing::{info, warn};

use crate::data_directory::DataDirectory;
use crate::error::ControlPlaneError;

/// Name of the order in the data directory, and its name once it has been carried out.
const STATEMENT_FILE: &str = "majority-lost.json";
const DONE_FILE: &str = "majority-lost.done";

/// Recovers the voter by the order, if there is one. An order that does not fit ends the start: its author expects it to be
/// carried out.
pub fn recover(
    path: &Path,
    folder: &mut DataDirectory,
    terms: &ConsensusConfig,
    saved: &StoredVoter,
    now: f64,
    seed: u64,
) -> Result<Option<Voter>, ControlPlaneError> {
    let file = path.join(STATEMENT_FILE);
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => {
            return Err(ControlPlaneError::LostMajority {
                path: file,
                why: e.to_string(),
                help: "make it readable".into(),
            });
        }
    };
    let word: RecoveryOrder = serde_json::from_str(&text).map_err(|e| ControlPlaneError::LostMajority {
        path: file.clone(),
        why: e.to_string(),
        help: "write it as docs/operators/fleet.md shows it, or take it away".into(),
    })?;
    let voter = Voter::recover(terms.clone(), saved.clone(), &word, now, seed).map_err(|e| match e {
        ConsensusError::Recovery(why) => {
            let held = Voter::open(terms.clone(), saved.clone(), now, seed)
                .ok()
                .map(|voter| voter.recovery_position());
            let held =
                held.map_or(String::new(), |(folder, last)| format!("; here: folder {folder}, last {last}"));
            ControlPlaneError::LostMajority {
                path: file.clone(),
                why: format!("{why}{held}"),
                help: why.help().into(),
            }
        }
        other => ControlPlaneError::Consensus { why: other.to_string(), help: other.help().into() },
    })?;
    // All at once, and before anybody hears of it.
    let failed =
        |e: std::io::Error| ControlPlaneError::DataDirectory { path: path.to_path_buf(), why: e.to_string() };
    folder.rewrite_journal(voter.checkpoint().encode()).map_err(failed)?;
    std::fs::rename(&file, path.join(DONE_FILE)).map_err(failed)?;
    warn!("fleet: goes on by {STATEMENT_FILE}, without {}", word.lost_voters.join(", "));
    Ok(Some(voter))
}

/// What such a word has to name, at each start of a voter.
pub fn log_recovery_facts(voter: &Voter) {
    let ((folder, last), state) = (voter.recovery_position(), voter.state());
    let voters: Vec<_> = state.voters.voters.iter().map(|voter| voter.name.as_str()).collect();
    info!(
        "fleet: folder {folder}, last {last}, highest version {}, voters {}",
        state.highest_number,
        voters.join(" ")
    );
}

//! An operator's word on a majority that is lost, put into the folder of one that is left; see `docs/operators/fleet.md`.

use std::io::ErrorKind;
use std::path::Path;

use dunepond_consensus::{AgreeError, Recovery, Saved, Terms, Voter};
use tracing::{info, warn};

use crate::error::FleetError;
use crate::folder::Folder;

/// In the fleet's folder; and its name once it has been done.
const WORD: &str = "majority-lost.json";
const DONE: &str = "majority-lost.done";

/// Goes on by the word, if one is there. A word that does not fit ends the start: whoever wrote it expects it to be done.
pub fn by_word(
    path: &Path,
    folder: &mut Folder,
    terms: &Terms,
    saved: &Saved,
    now: f64,
    seed: u64,
) -> Result<Option<Voter>, FleetError> {
    let file = path.join(WORD);
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => {
            return Err(FleetError::Word { path: file, why: e.to_string(), help: "make it readable".into() });
        }
    };
    let word: Recovery = serde_json::from_str(&text).map_err(|e| FleetError::Word {
        path: file.clone(),
        why: e.to_string(),
        help: "write it as docs/operators/fleet.md shows it, or take it away".into(),
    })?;
    let voter = Voter::recover(terms.clone(), saved.clone(), &word, now, seed).map_err(|e| match e {
        AgreeError::Recovery(why) => {
            let held = Voter::open(terms.clone(), saved.clone(), now, seed).ok().map(|voter| voter.held());
            let held =
                held.map_or(String::new(), |(folder, last)| format!("; here: folder {folder}, last {last}"));
            FleetError::Word { path: file.clone(), why: format!("{why}{held}"), help: why.help().into() }
        }
        other => FleetError::Agree { why: other.to_string(), help: other.help().into() },
    })?;
    // All at once, and before anybody hears of it.
    let failed = |e: std::io::Error| FleetError::Folder { path: path.to_path_buf(), why: e.to_string() };
    folder.rewrite(voter.whole().bytes()).map_err(failed)?;
    std::fs::rename(&file, path.join(DONE)).map_err(failed)?;
    warn!("fleet: goes on by {WORD}, without {}", word.lost.join(", "));
    Ok(Some(voter))
}

/// What such a word has to name, at each start of a voter.
pub fn tell(voter: &Voter) {
    let ((folder, last), state) = (voter.held(), voter.state());
    let voters: Vec<_> = state.voters.list.iter().map(|voter| voter.name.as_str()).collect();
    info!(
        "fleet: folder {folder}, last {last}, highest version {}, voters {}",
        state.highest,
        voters.join(" ")
    );
}

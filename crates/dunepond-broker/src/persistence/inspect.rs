//! Reads and describes a state folder without a running broker, for the `state` commands.

use std::fmt::{self, Write};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use dunepond_recovery::{
    BudgetRecord, FORMAT_VERSION, LearnedSnapshot, NodeIdentity, OutstandingCharges, Timestamp,
    TrustDecision, spent_budgets,
};
use dunepond_storage::{DiskStore, FileStore, Journal, SnapshotStore};

use super::storage::{BUDGET_JOURNAL, LEARNED_STATE_FILE, timestamp};

/// The contents of a state folder.
pub struct Inspection {
    /// The newest snapshot; `None` if there is none or it cannot be read.
    pub learned_state: Option<LearnedSnapshot>,
    /// The records of the journal that can be read, oldest first.
    pub budget_records: Vec<BudgetRecord>,
    /// A line for every file or record that cannot be used, with the reason.
    pub faults: Vec<String>,
}

/// Why a state folder cannot be inspected.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The folder cannot be opened.
    #[error("{}: {source}", path.display())]
    Open {
        /// Path of the folder.
        path: PathBuf,
        /// The error that the system reports.
        source: io::Error,
    },
    /// The folder cannot be listed.
    #[error("{0}")]
    Read(io::Error),
}

/// Reads a state folder without changing it. Faulty files and records are listed in the result.
pub fn inspect(path: &Path) -> Result<Inspection, InspectError> {
    let store = DiskStore::open_read_only(path);
    let store = store.map_err(|source| InspectError::Open { path: path.to_path_buf(), source })?;
    let files: Arc<dyn FileStore> = Arc::new(store);
    let found = SnapshotStore::new(files.clone(), LEARNED_STATE_FILE, FORMAT_VERSION)
        .load()
        .map_err(InspectError::Read)?;
    let mut faults: Vec<_> = found.faults.iter().map(|(name, fault)| format!("{name}: {fault}")).collect();
    let learned_state = found.newest.and_then(|snapshot| match LearnedSnapshot::decode(&snapshot.bytes) {
        Ok(learned_state) => Some(learned_state),
        Err(e) => {
            faults.push(format!("snapshot {}: {e}", snapshot.number));
            None
        }
    });
    let recovered = Journal::read(&*files, BUDGET_JOURNAL, FORMAT_VERSION);
    faults.extend(recovered.fault.map(|fault| format!("{BUDGET_JOURNAL}.journal: {fault}")));
    let mut budget_records = Vec::new();
    for record in &recovered.records {
        match BudgetRecord::decode(&record.bytes) {
            Ok(decoded) => budget_records.push(decoded),
            Err(e) => faults.push(format!("{BUDGET_JOURNAL}.journal: record {}: {e}", record.number)),
        }
    }
    Ok(Inspection { learned_state, budget_records, faults })
}

/// Describes the contents of a state folder, and what a broker would restore from it at the Unix time `now` if the
/// endpoint list had not changed.
pub fn describe(path: &Path, now: f64) -> Result<String, InspectError> {
    let inspection = inspect(path)?;
    let now = timestamp(now);
    let mut out = String::new();
    // Writing to a string cannot fail.
    let _ = write_learned_state(&mut out, inspection.learned_state.as_ref(), &now);
    let _ = write_budgets(&mut out, &inspection, &now);
    for fault in &inspection.faults {
        let _ = writeln!(out, "fault: {fault}");
    }
    Ok(out)
}

/// Describes the learned state of a snapshot, with one line for each node.
fn write_learned_state(out: &mut String, snapshot: Option<&LearnedSnapshot>, now: &Timestamp) -> fmt::Result {
    let Some(snapshot) = snapshot else {
        return writeln!(out, "no beliefs");
    };
    let present = snapshot.identities();
    let restored = snapshot.restore(now, snapshot.query_classes(), &present);
    let age = restored
        .confidence
        .elapsed_seconds
        .map_or("at a time that no clock tells".to_string(), |seconds| format!("{seconds:.1} s ago"));
    writeln!(
        out,
        "beliefs of {} nodes, written {age}; they would count {:.0} %",
        snapshot.node_count(),
        100.0 * restored.confidence.weight
    )?;
    for ((name, decision), identity) in restored.nodes.iter().zip(&present) {
        let decision = match decision {
            TrustDecision::Trusted { sample_count, ejected: true } => {
                format!("{sample_count} samples; set aside, due a trial")
            }
            TrustDecision::Trusted { sample_count, ejected: false } => format!("{sample_count} samples"),
            other => format!("not believed: {other:?}"),
        };
        writeln!(out, "  {name} at {}: {decision}", identity.address)?;
    }
    Ok(())
}

/// Describes the spent budgets of the journal.
fn write_budgets(out: &mut String, inspection: &Inspection, now: &Timestamp) -> fmt::Result {
    match inspection.budget_records.last() {
        None => writeln!(out, "no debts")?,
        Some(BudgetRecord::BrokerStarted { .. }) => {
            writeln!(out, "debts: a broker has begun and not ended in order")?;
        }
        Some(BudgetRecord::BrokerStopped { retries, slow_start_sends, .. }) => writeln!(
            out,
            "debts: ended in order, {} further dispatches and {} cold nodes",
            retries.len(),
            slow_start_sends.len()
        )?,
    }
    let present: Vec<NodeIdentity> =
        inspection.learned_state.as_ref().map_or(Vec::new(), LearnedSnapshot::identities);
    let is_complete = inspection.faults.is_empty();
    match spent_budgets::outstanding_charges(&inspection.budget_records, is_complete, now, &present) {
        OutstandingCharges::Unknown => writeln!(out, "a broker that began now would count all as spent"),
        OutstandingCharges::Known(spent) => writeln!(
            out,
            "a broker that began now would count {} further dispatches as spent",
            spent.retries.len()
        ),
    }
}

//! State that outlasts the process: learned state in snapshots, spent budgets in a journal, in the operator's folder. Only the start waits for
//! the disk, and not for long; service goes on without the folder.

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use dunepond_background::{Cost, JobId, Kind, Outcome, Pool, Priority, Retry, Spec};
use dunepond_config::operator::State;
use dunepond_recovery::{
    BudgetRecord, FORMAT_VERSION, LearnedSnapshot, NodeIdentity, OutstandingCharges, Timestamp,
    TrustDecision, TrustedState, spent_budgets,
};
use dunepond_routing::Router;
use dunepond_storage::{DiskStore, FileFault, FileStore, Journal, SnapshotStore};
use tracing::{debug, info, warn};

use crate::background::Background;
use crate::router::RouterHost;

pub const SNAPSHOT_JOB: &str = "snapshot";
pub const OPEN_JOB: &str = "open the state's folder";
const LEARNED_STATE_FILE: &str = "beliefs";
const LEDGER_FILE: &str = "debts";
/// Longest that the start waits for what the folder holds, and the end for what goes into it.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_millis(250);
const SHUTDOWN_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// A folder that fails is tried again after so many seconds, doubled up to the second.
const OPEN_RETRY_SECONDS: (f64, f64) = (1.0, 60.0);
/// A snapshot is worth nothing once so many others could have been made.
const MAX_SNAPSHOT_DELAY_INTERVALS: f64 = 5.0;
/// A journal longer than this begins anew with its last record.
const MAX_JOURNAL_BYTES: u64 = 64 * 1024;

/// The folder in use.
struct StateStorage {
    snapshots: SnapshotStore,
    journal: Journal,
}

/// What the folder held when it was opened.
#[derive(Default)]
struct Recovered {
    beliefs: Option<LearnedSnapshot>,
    entries: Vec<BudgetRecord>,
    whole: bool,
}

type Shared = Arc<Mutex<Option<StateStorage>>>;

pub struct Persistence {
    told: State,
    files: Option<Arc<dyn FileStore>>,
    storage: Shared,
    /// Not believed yet: the list is not there.
    held: Option<Recovered>,
    snapshot: Option<JobId>,
    opening: Option<JobId>,
    last_snapshot_bytes: u64,
    table_types: Vec<String>,
    restored: bool,
}

/// This moment by both clocks.
pub fn timestamp(unix: f64) -> Timestamp {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let uptime = read("/proc/uptime").split(' ').next().and_then(|seconds| seconds.parse().ok());
    let boot = read("/proc/sys/kernel/random/boot_id").trim().to_string();
    Timestamp {
        unix,
        boot: if uptime.is_some() { boot } else { String::new() },
        uptime: uptime.unwrap_or(0.0),
    }
}

/// Opens a folder, reads what it holds and says in it that we have begun.
fn open(files: Arc<dyn FileStore>, at: Timestamp) -> Result<(StateStorage, Recovered), String> {
    let plain = |e: std::io::Error| e.to_string();
    let snapshots = SnapshotStore::new(files.clone(), LEARNED_STATE_FILE, FORMAT_VERSION);
    let found = snapshots.load().map_err(plain)?;
    for (name, fault) in &found.faults {
        warn!("state: {name}: {fault}; file ignored");
    }
    let beliefs = found.newest.and_then(|snapshot| match LearnedSnapshot::decode(&snapshot.bytes) {
        Ok(beliefs) => Some(beliefs),
        Err(e) => {
            warn!("state: snapshot {}: {e}", snapshot.number);
            None
        }
    });
    let (mut journal, recovered) = Journal::open(files, LEDGER_FILE, FORMAT_VERSION).map_err(plain)?;
    if let Some(fault) = &recovered.fault {
        warn!("state: {LEDGER_FILE}: {fault}; the complete records before it are used");
    }
    let entries: Vec<_> =
        recovered.records.iter().map(|record| BudgetRecord::decode(&record.bytes)).collect();
    let whole = entries.iter().all(Result::is_ok)
        && recovered.fault.as_ref().is_none_or(|f| *f == FileFault::Truncated);
    // A record that is cut off was being written when its writer went: it is one of an end that was not reached.
    let whole = whole && recovered.fault.is_none();
    if journal.length() > MAX_JOURNAL_BYTES {
        let last = recovered.records.last().map(|record| record.bytes.clone());
        journal.rewrite(&last.into_iter().collect::<Vec<_>>()).map_err(plain)?;
    }
    journal.append(&BudgetRecord::BrokerStarted { at }.encode()).map_err(plain)?;
    let held = Recovered { beliefs, entries: entries.into_iter().flatten().collect(), whole };
    Ok((StateStorage { snapshots, journal }, held))
}

fn lock(storage: &Shared) -> std::sync::MutexGuard<'_, Option<StateStorage>> {
    storage.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Persistence {
    /// Takes the folder into use, if it answers soon. `files` stands in for it in the laboratory.
    pub fn start(
        now: f64,
        told: State,
        files: Option<Arc<dyn FileStore>>,
        table_types: Vec<String>,
        background: &mut Background,
    ) -> Self {
        let storage = Shared::default();
        let mut persistence = Self {
            told,
            files,
            storage,
            held: None,
            snapshot: None,
            opening: None,
            last_snapshot_bytes: 0,
            table_types,
            restored: false,
        };
        let (sender, opened) = channel();
        let work = persistence.opening(now, move |held| drop(sender.send(held)));
        let began = Instant::now();
        if let Some(pool) = background.pool() {
            pool.run(0, move || (work(), 0));
        }
        match opened.recv_timeout(STARTUP_READ_TIMEOUT) {
            Ok(Ok(held)) => {
                let beliefs = held.beliefs.as_ref().map_or(0, LearnedSnapshot::node_count);
                info!(
                    "state: read in {:.1} ms, learned state of {beliefs} nodes",
                    1e3 * began.elapsed().as_secs_f64()
                );
                persistence.held = Some(held);
            }
            Ok(Err(why)) => {
                warn!("state: {}: {why}; running without it", persistence.told.folder.display());
                persistence.retry_open(now, background);
            }
            Err(_) => {
                warn!("state: {} does not answer; running without it", persistence.told.folder.display())
            }
        }
        persistence
    }

    /// What opens the folder, on the pool. What it held is of use at the start only: later we know better.
    fn opening(
        &self,
        now: f64,
        tell: impl Fn(Result<Recovered, String>) + Send + 'static,
    ) -> Box<dyn FnOnce() -> Outcome + Send> {
        let (storage, submitted, path) = (self.storage.clone(), self.files.clone(), self.told.folder.clone());
        Box::new(move || {
            let files = match submitted {
                Some(files) => Ok(files),
                None => DiskStore::open(&path).map(|folder| Arc::new(folder) as Arc<dyn FileStore>),
            };
            let opened = files.map_err(|e| e.to_string()).and_then(|files| open(files, timestamp(now)));
            let (outcome, told) = match opened {
                Ok((opened, held)) => {
                    *lock(&storage) = Some(opened);
                    (Outcome::Done, Ok(held))
                }
                Err(why) => (Outcome::Failed, Err(why)),
            };
            tell(told);
            outcome
        })
    }

    fn retry_open(&mut self, now: f64, background: &mut Background) {
        let spec = Spec {
            name: OPEN_JOB,
            priority: Priority::Usual,
            kind: Kind::Blocking,
            cost: Cost::default(),
            not_before: now + OPEN_RETRY_SECONDS.0,
            deadline: None,
            retry: Some(Retry {
                first: 2.0 * OPEN_RETRY_SECONDS.0,
                longest: OPEN_RETRY_SECONDS.1,
                tries: None,
            }),
        };
        self.opening = Some(background.add(now, spec));
    }

    pub fn every(&self) -> f64 {
        self.told.every
    }

    /// The list is there for the first time: what was learned before is believed as far as it still holds, and what may
    /// have been spent counts.
    pub fn believe(&mut self, now: f64, router: &mut Router, router_host: &mut RouterHost) {
        let present = router_host.upstream.identities();
        // Once: later lists find a process that knows better.
        if present.is_empty() || std::mem::replace(&mut self.restored, !present.is_empty()) {
            return;
        }
        let types = &self.table_types;
        let (held, now) = (self.held.take(), timestamp(now));
        let owed_answers = held.as_ref().map_or(OutstandingCharges::Unknown, |h| {
            spent_budgets::outstanding_charges(&h.entries, h.whole, &now, &present)
        });
        match &owed_answers {
            OutstandingCharges::Unknown => {
                info!("state: budget use before the restart is unknown: all of it counts as spent");
                router.restore_spent(router_host, None);
            }
            OutstandingCharges::Known(ledger) => router.restore_spent(router_host, Some(ledger)),
        }
        if let Some(saved) = held.and_then(|held| held.beliefs) {
            let TrustedState { confidence: weight, learned: beliefs, nodes } =
                saved.restore(&now, types, &present);
            let aside =
                nodes.iter().filter(|n| matches!(n.1, TrustDecision::Trusted { ejected: true, .. })).count();
            let elapsed =
                weight.elapsed_seconds.map_or("an unknown time".to_string(), |e| format!("{e:.1} s"));
            let (count, all) = (beliefs.nodes.len(), nodes.len());
            info!(
                "state: from {elapsed} ago, confidence {:.2}: {count} of {all} nodes restored, {aside} due a probation attempt",
                weight.weight
            );
            router.restore_learned(router_host, &beliefs);
        }
    }

    /// It is time for another snapshot, if the last one is not still under way.
    pub fn due(&mut self, now: f64, background: &mut Background) {
        if self.snapshot.is_some() || lock(&self.storage).is_none() {
            return;
        }
        let spec = Spec {
            name: SNAPSHOT_JOB,
            priority: Priority::Usual,
            kind: Kind::Blocking,
            cost: Cost { bytes: self.last_snapshot_bytes },
            not_before: now,
            deadline: Some(now + MAX_SNAPSHOT_DELAY_INTERVALS * self.told.every),
            retry: None,
        };
        self.snapshot = Some(background.add(now, spec));
    }

    fn saved(&mut self, now: f64, router: &mut Router, router_host: &RouterHost) -> Vec<u8> {
        let beliefs = router.learned_state(router_host);
        LearnedSnapshot::capture(
            timestamp(now),
            &self.table_types,
            &router_host.upstream.identities(),
            &beliefs,
        )
        .encode()
    }

    /// A job of ours is to run.
    pub fn run(
        &mut self,
        id: JobId,
        name: &str,
        now: f64,
        router: &mut Router,
        router_host: &RouterHost,
        pool: &Pool,
    ) {
        if name == OPEN_JOB {
            let folder = self.told.folder.clone();
            let work = self.opening(now, move |held| match held {
                Ok(_) => info!("state: {} is in use again", folder.display()),
                Err(why) => warn!("state: {}: {why}", folder.display()),
            });
            return pool.run(id, move || (work(), 0));
        }
        let bytes = self.saved(now, router, router_host);
        self.last_snapshot_bytes = bytes.len() as u64;
        let storage = self.storage.clone();
        pool.run(id, move || {
            let mut storage = lock(&storage);
            let Some(open) = storage.as_mut() else { return (Outcome::Failed, 0) };
            match open.snapshots.write(&bytes) {
                Ok(number) => {
                    debug!("state: snapshot {number} of {} bytes", bytes.len());
                    (Outcome::Done, bytes.len() as u64)
                }
                Err(e) => {
                    warn!("state: a snapshot failed: {e}");
                    (Outcome::Failed, 0)
                }
            }
        });
    }

    /// A job of ours has ended, or will not be done.
    pub fn ended(&mut self, now: f64, id: JobId, failed: bool, background: &mut Background) {
        if self.snapshot == Some(id) {
            self.snapshot = None;
            // The folder is opened anew, with its back-off, before anything is written again.
            if failed && self.opening.is_none() {
                *lock(&self.storage) = None;
                self.retry_open(now, background);
            }
        } else if self.opening == Some(id) && !failed {
            self.opening = None;
        }
    }

    /// The broker ends in order: what it has learned and spent is written, if the folder takes it soon.
    pub fn finish(&mut self, now: f64, router: &mut Router, router_host: &RouterHost, pool: &Pool) {
        let bytes = self.saved(now, router, router_host);
        let entry = BudgetRecord::stopped(
            timestamp(now),
            &router_host.upstream.identities(),
            &router.spent_budgets(router_host),
        );
        let (storage, (sender, done)) = (self.storage.clone(), channel());
        pool.run(0, move || {
            if let Some(open) = lock(&storage).as_mut() {
                let wrote = open.snapshots.write(&bytes).map(drop);
                let wrote = wrote.and_then(|()| open.journal.append(&entry.encode()).map(drop));
                let _ = sender.send(wrote);
            }
            (Outcome::Done, 0)
        });
        match done.recv_timeout(SHUTDOWN_WRITE_TIMEOUT) {
            Ok(Ok(())) => info!("state: written"),
            Ok(Err(e)) => warn!("state: not written at shutdown: {e}"),
            Err(_) => warn!("state: not written at shutdown: the folder does not answer"),
        }
    }
}

/// A folder as it stands, without a broker.
pub struct Inspection {
    pub beliefs: Option<LearnedSnapshot>,
    pub entries: Vec<BudgetRecord>,
    /// Every file or record that is not believed, with why.
    pub faults: Vec<String>,
}

/// Reads a folder without taking it into use.
pub fn look(path: &std::path::Path) -> Result<Inspection, String> {
    let files: Arc<dyn FileStore> =
        Arc::new(DiskStore::open_read_only(path).map_err(|e| format!("{}: {e}", path.display()))?);
    let found = SnapshotStore::new(files.clone(), LEARNED_STATE_FILE, FORMAT_VERSION)
        .load()
        .map_err(|e| e.to_string())?;
    let mut faults: Vec<_> = found.faults.iter().map(|(name, fault)| format!("{name}: {fault}")).collect();
    let beliefs = found.newest.and_then(|snapshot| match LearnedSnapshot::decode(&snapshot.bytes) {
        Ok(beliefs) => Some(beliefs),
        Err(e) => {
            faults.push(format!("snapshot {}: {e}", snapshot.number));
            None
        }
    });
    let recovered = Journal::read(&*files, LEDGER_FILE, FORMAT_VERSION);
    faults.extend(recovered.fault.map(|fault| format!("{LEDGER_FILE}.journal: {fault}")));
    let mut entries = Vec::new();
    for record in &recovered.records {
        match BudgetRecord::decode(&record.bytes) {
            Ok(entry) => entries.push(entry),
            Err(e) => faults.push(format!("{LEDGER_FILE}.journal: record {}: {e}", record.number)),
        }
    }
    Ok(Inspection { beliefs, entries, faults })
}

/// What a folder holds and how it would be believed now, before an unchanged list.
pub fn show(path: &std::path::Path, now: f64) -> Result<String, String> {
    use std::fmt::Write;
    let look = look(path)?;
    let now = timestamp(now);
    let mut out = String::new();
    let present: Vec<NodeIdentity> = look.beliefs.as_ref().map_or(Vec::new(), LearnedSnapshot::identities);
    match &look.beliefs {
        None => out.push_str("no beliefs\n"),
        Some(saved) => {
            let restored = saved.restore(&now, saved.query_classes(), &present);
            let ago = restored
                .confidence
                .elapsed_seconds
                .map_or("at a time that no clock tells".to_string(), |e| format!("{e:.1} s ago"));
            let _ = writeln!(
                out,
                "beliefs of {} nodes, written {ago}; they would count {:.0} %",
                saved.node_count(),
                100.0 * restored.confidence.weight
            );
            for ((name, verdict), identity) in restored.nodes.iter().zip(&present) {
                let said = match verdict {
                    TrustDecision::Trusted { sample_count: samples, ejected: true } => {
                        format!("{samples} samples; set aside, due a trial")
                    }
                    TrustDecision::Trusted { sample_count: samples, ejected: false } => {
                        format!("{samples} samples")
                    }
                    other => format!("not believed: {other:?}"),
                };
                let _ = writeln!(out, "  {name} at {}: {said}", identity.address);
            }
        }
    }
    let _ = match look.entries.last() {
        None => writeln!(out, "no debts"),
        Some(BudgetRecord::BrokerStarted { .. }) => {
            writeln!(out, "debts: a broker has begun and not ended in order")
        }
        Some(BudgetRecord::BrokerStopped { retries, slow_start_sends, .. }) => {
            writeln!(
                out,
                "debts: ended in order, {} further dispatches and {} cold nodes",
                retries.len(),
                slow_start_sends.len()
            )
        }
    };
    let _ = match spent_budgets::outstanding_charges(&look.entries, look.faults.is_empty(), &now, &present) {
        OutstandingCharges::Unknown => writeln!(out, "a broker that began now would count all as spent"),
        OutstandingCharges::Known(ledger) => writeln!(
            out,
            "a broker that began now would count {} further dispatches as spent",
            ledger.retries.len()
        ),
    };
    for fault in &look.faults {
        let _ = writeln!(out, "fault: {fault}");
    }
    Ok(out)
}

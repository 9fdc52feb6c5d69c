//! State that outlasts the process: learned state in snapshots and spent budgets in a journal, in the operator's folder. Only startup and
//! shutdown wait for the disk, for a bounded time; the broker serves without the folder.

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

/// Name of the background job that writes a snapshot.
pub const SNAPSHOT_JOB: &str = "snapshot";
/// Name of the background job that opens the folder again after a failure.
pub const OPEN_JOB: &str = "open the state's folder";
const LEARNED_STATE_FILE: &str = "beliefs";
const LEDGER_FILE: &str = "debts";
/// Longest time that startup waits for the folder to be read, and shutdown for it to be written.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_millis(250);
const SHUTDOWN_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// First and longest backoff before a folder that failed is opened again, in seconds.
const OPEN_RETRY_SECONDS: (f64, f64) = (1.0, 60.0);
/// A snapshot job that has waited for so many snapshot intervals is dropped.
const MAX_SNAPSHOT_DELAY_INTERVALS: f64 = 5.0;
/// A longer journal is rewritten with its last record alone.
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

/// The broker's state folder, and the background jobs that use it.
pub struct Persistence {
    told: State,
    files: Option<Arc<dyn FileStore>>,
    storage: Shared,
    /// Read at startup, not restored yet: there is no endpoint list.
    held: Option<Recovered>,
    snapshot: Option<JobId>,
    opening: Option<JobId>,
    last_snapshot_bytes: u64,
    table_types: Vec<String>,
    restored: bool,
}

/// A Unix time together with the machine's boot id and uptime at this moment.
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

/// Opens a folder, reads what it holds and appends a record of this start.
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
    // A truncated record was being written when the process ended, so that its shutdown was not completed.
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
    /// Opens the folder and reads it, waiting a bounded time. `files` replaces the folder in tests.
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

    /// The work that opens the folder, for the thread pool. `tell` gets what the folder held.
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

    /// Seconds between two snapshots.
    pub fn every(&self) -> f64 {
        self.told.every
    }

    /// Restores learned state and spent budgets once the first endpoint list is in force, as far as they still hold.
    pub fn believe(&mut self, now: f64, router: &mut Router, router_host: &mut RouterHost) {
        let present = router_host.upstream.identities();
        // Only once: later this process has learned more than the folder holds.
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

    /// Adds the job of another snapshot, unless one is pending.
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

    /// Runs a job that the scheduler has started.
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

    /// A job has ended or was dropped; one of others is ignored.
    pub fn ended(&mut self, now: f64, id: JobId, failed: bool, background: &mut Background) {
        if self.snapshot == Some(id) {
            self.snapshot = None;
            // The folder is reopened, with backoff, before anything is written again.
            if failed && self.opening.is_none() {
                *lock(&self.storage) = None;
                self.retry_open(now, background);
            }
        } else if self.opening == Some(id) && !failed {
            self.opening = None;
        }
    }

    /// Writes learned state and spent budgets at a graceful shutdown, waiting a bounded time.
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

/// The contents of a state folder, read without a broker.
pub struct Inspection {
    /// The newest snapshot that can be read.
    pub beliefs: Option<LearnedSnapshot>,
    /// The journal's records that can be read, oldest first.
    pub entries: Vec<BudgetRecord>,
    /// Every file or record that cannot be used, and why.
    pub faults: Vec<String>,
}

/// Reads a state folder without changing it.
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

/// Describes what a state folder holds and what a broker would restore from it now, if the endpoint list had not changed.
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

//! State that outlives the process, in a folder that the operator's file names: learned state in snapshots, and spent
//! budgets in a journal. Only startup and shutdown wait for the disk, and for a limited time. The broker works without
//! the folder too.

mod inspect;
mod storage;

use std::io;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use dunepond_background::{JobCost, JobId, JobKind, JobSpec, Outcome, Pool, Priority, RetryPolicy};
use dunepond_config::operator::RecoveryConfig;
use dunepond_recovery::{
    BudgetRecord, LearnedSnapshot, OutstandingCharges, TrustDecision, TrustedState, spent_budgets,
};
use dunepond_routing::Router;
use dunepond_storage::{DiskStore, FileStore};
use tracing::{debug, info, warn};

pub use inspect::{InspectError, Inspection, describe, inspect};
pub use storage::timestamp;

use crate::background::Background;
use crate::router::RouterHost;
use storage::{Recovered, SharedStorage, open_storage};

/// Name of the background job that writes a snapshot.
pub const SNAPSHOT_JOB: &str = "snapshot";
/// Name of the background job that opens the folder again after a failure.
pub const OPEN_JOB: &str = "open the state's folder";
/// How long startup waits for the folder to be read.
const STARTUP_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// How long shutdown waits for the folder to be written.
const SHUTDOWN_WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// First backoff before a folder that failed is opened again. Each further backoff is twice as long, up to
/// `MAX_REOPEN_BACKOFF_SECONDS`.
const FIRST_REOPEN_BACKOFF_SECONDS: f64 = 1.0;
/// Longest backoff before a folder that failed is opened again.
const MAX_REOPEN_BACKOFF_SECONDS: f64 = 60.0;
/// After how many snapshot intervals a snapshot job that has not started is dropped.
const MAX_SNAPSHOT_DELAY_INTERVALS: f64 = 5.0;

/// The broker's state folder, and the background jobs that use it.
pub struct Persistence {
    config: RecoveryConfig,
    /// The files to use instead of those in the folder; `None` except in tests.
    files: Option<Arc<dyn FileStore>>,
    /// The open folder; holds `None` while the folder cannot be used.
    storage: SharedStorage,
    /// State that was read at startup and is not restored yet, because there is no endpoint list.
    recovered: Option<Recovered>,
    /// The pending job that writes a snapshot.
    snapshot_job: Option<JobId>,
    /// The pending job that opens the folder.
    open_job: Option<JobId>,
    /// Length of the most recent snapshot in bytes, used as the estimated cost of the next one.
    last_snapshot_bytes: u64,
    query_classes: Vec<String>,
    /// Whether `restore` has run after the first endpoint list.
    restored: bool,
}

impl Persistence {
    /// Opens and reads the folder, and waits at most `STARTUP_READ_TIMEOUT` for it. `files` replaces the folder in
    /// tests.
    pub fn start(
        now: f64,
        config: RecoveryConfig,
        files: Option<Arc<dyn FileStore>>,
        query_classes: Vec<String>,
        background: &mut Background,
    ) -> Self {
        let mut persistence = Self {
            config,
            files,
            storage: SharedStorage::default(),
            recovered: None,
            snapshot_job: None,
            open_job: None,
            last_snapshot_bytes: 0,
            query_classes,
            restored: false,
        };
        let (sender, opened) = channel();
        let work = persistence.open_work(now, move |outcome| drop(sender.send(outcome)));
        let start = Instant::now();
        if let Some(pool) = background.pool() {
            pool.run(0, move || (work(), 0));
        }
        match opened.recv_timeout(STARTUP_READ_TIMEOUT) {
            Ok(Ok(recovered)) => {
                let nodes = recovered.learned_state.as_ref().map_or(0, LearnedSnapshot::node_count);
                info!(
                    "state: read in {:.1} ms, learned state of {nodes} nodes",
                    1e3 * start.elapsed().as_secs_f64()
                );
                persistence.recovered = Some(recovered);
            }
            Ok(Err(error)) => {
                warn!("state: {}: {error}; running without it", persistence.config.folder.display());
                persistence.schedule_reopen(now, background);
            }
            Err(_) => {
                warn!("state: {} does not answer; running without it", persistence.config.folder.display())
            }
        }
        persistence
    }

    /// Returns the work that opens the folder, for the thread pool. `on_opened` is called with the contents of the
    /// folder or the error.
    fn open_work(
        &self,
        now: f64,
        on_opened: impl Fn(io::Result<Recovered>) + Send + 'static,
    ) -> Box<dyn FnOnce() -> Outcome + Send> {
        let storage = self.storage.clone();
        let replacement = self.files.clone();
        let path = self.config.folder.clone();
        Box::new(move || {
            let files = match replacement {
                Some(files) => Ok(files),
                None => DiskStore::open(&path).map(|folder| Arc::new(folder) as Arc<dyn FileStore>),
            };
            match files.and_then(|files| open_storage(files, timestamp(now))) {
                Ok((opened, recovered)) => {
                    *storage.lock() = Some(opened);
                    on_opened(Ok(recovered));
                    Outcome::Done
                }
                Err(e) => {
                    on_opened(Err(e));
                    Outcome::Failed
                }
            }
        })
    }

    /// Adds the job that opens the folder again after a backoff.
    fn schedule_reopen(&mut self, now: f64, background: &mut Background) {
        let spec = JobSpec {
            name: OPEN_JOB,
            priority: Priority::Normal,
            kind: JobKind::Blocking,
            cost: JobCost::default(),
            not_before: now + FIRST_REOPEN_BACKOFF_SECONDS,
            deadline: None,
            retry: Some(RetryPolicy {
                initial_backoff_seconds: 2.0 * FIRST_REOPEN_BACKOFF_SECONDS,
                max_backoff_seconds: MAX_REOPEN_BACKOFF_SECONDS,
                max_attempts: None,
            }),
        };
        self.open_job = Some(background.add(now, spec));
    }

    /// Returns the seconds between two snapshots.
    pub fn snapshot_interval(&self) -> f64 {
        self.config.snapshot_interval_seconds
    }

    /// Restores learned state and spent budgets, as far as they are still valid, once the first endpoint list is in
    /// use. Does nothing if it is called earlier or again.
    pub fn restore(&mut self, now: f64, router: &mut Router, router_host: &mut RouterHost) {
        let present = router_host.upstream.identities();
        // The state is restored only once: later this process has learned more than the folder holds.
        if present.is_empty() || self.restored {
            return;
        }
        self.restored = true;
        let (recovered, now) = (self.recovered.take(), timestamp(now));
        let charges = recovered.as_ref().map_or(OutstandingCharges::Unknown, |recovered| {
            let Recovered { budget_records, is_journal_complete, .. } = recovered;
            spent_budgets::outstanding_charges(budget_records, *is_journal_complete, &now, &present)
        });
        match &charges {
            OutstandingCharges::Unknown => {
                info!("state: budget use before the restart is unknown: all of it counts as spent");
                router.restore_spent(router_host, None);
            }
            OutstandingCharges::Known(spent) => router.restore_spent(router_host, Some(spent)),
        }
        let Some(snapshot) = recovered.and_then(|recovered| recovered.learned_state) else { return };
        let TrustedState { confidence, learned, nodes } =
            snapshot.restore(&now, &self.query_classes, &present);
        let is_ejected =
            |decision: &TrustDecision| matches!(decision, TrustDecision::Trusted { ejected: true, .. });
        let ejected = nodes.iter().filter(|node| is_ejected(&node.1)).count();
        let elapsed = confidence
            .elapsed_seconds
            .map_or("an unknown time".to_string(), |seconds| format!("{seconds:.1} s"));
        let (count, all) = (learned.nodes.len(), nodes.len());
        info!(
            "state: from {elapsed} ago, confidence {:.2}: {count} of {all} nodes restored, {ejected} due a probation attempt",
            confidence.weight
        );
        router.restore_learned(router_host, &learned);
    }

    /// Adds a job that writes a snapshot, unless one is pending or the folder is not open.
    pub fn schedule_snapshot(&mut self, now: f64, background: &mut Background) {
        if self.snapshot_job.is_some() || self.storage.lock().is_none() {
            return;
        }
        let spec = JobSpec {
            name: SNAPSHOT_JOB,
            priority: Priority::Normal,
            kind: JobKind::Blocking,
            cost: JobCost { bytes: self.last_snapshot_bytes },
            not_before: now,
            deadline: Some(now + MAX_SNAPSHOT_DELAY_INTERVALS * self.config.snapshot_interval_seconds),
            retry: None,
        };
        self.snapshot_job = Some(background.add(now, spec));
    }

    /// Returns an encoded snapshot of the router's learned state.
    fn encode_snapshot(&self, now: f64, router: &mut Router, router_host: &RouterHost) -> Vec<u8> {
        let learned = router.learned_state(router_host);
        let identities = router_host.upstream.identities();
        LearnedSnapshot::capture(timestamp(now), &self.query_classes, &identities, &learned).encode()
    }

    /// Runs a job that the scheduler has started, on the thread pool.
    pub fn run_job(
        &mut self,
        id: JobId,
        name: &str,
        now: f64,
        router: &mut Router,
        router_host: &RouterHost,
        pool: &Pool,
    ) {
        if name == OPEN_JOB {
            let folder = self.config.folder.clone();
            let work = self.open_work(now, move |outcome| match outcome {
                Ok(_) => info!("state: {} is in use again", folder.display()),
                Err(error) => warn!("state: {}: {error}", folder.display()),
            });
            return pool.run(id, move || (work(), 0));
        }
        let bytes = self.encode_snapshot(now, router, router_host);
        self.last_snapshot_bytes = bytes.len() as u64;
        let storage = self.storage.clone();
        pool.run(id, move || {
            let mut storage = storage.lock();
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

    /// Handles that a job has ended or was dropped. Jobs of other modules are ignored.
    pub fn on_job_ended(&mut self, now: f64, id: JobId, failed: bool, background: &mut Background) {
        if self.snapshot_job == Some(id) {
            self.snapshot_job = None;
            // After a failed snapshot, the folder is opened again, with backoff, before anything more is written.
            if failed && self.open_job.is_none() {
                *self.storage.lock() = None;
                self.schedule_reopen(now, background);
            }
        } else if self.open_job == Some(id) && !failed {
            self.open_job = None;
        }
    }

    /// Writes learned state and spent budgets at a graceful shutdown, and waits at most `SHUTDOWN_WRITE_TIMEOUT` for
    /// it.
    pub fn write_final_state(
        &mut self,
        now: f64,
        router: &mut Router,
        router_host: &RouterHost,
        pool: &Pool,
    ) {
        let bytes = self.encode_snapshot(now, router, router_host);
        let record = BudgetRecord::stopped(
            timestamp(now),
            &router_host.upstream.identities(),
            &router.spent_budgets(router_host),
        );
        let (storage, (sender, done)) = (self.storage.clone(), channel());
        pool.run(0, move || {
            if let Some(open) = storage.lock().as_mut() {
                let written = open.snapshots.write(&bytes).map(drop);
                let written = written.and_then(|()| open.journal.append(&record.encode()).map(drop));
                // Sending fails if the receiver has stopped waiting.
                let _ = sender.send(written);
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

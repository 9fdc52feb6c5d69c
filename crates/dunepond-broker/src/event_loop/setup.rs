//! Sets up, at startup, the sources of the event loop's events: listeners, signals, the disk spill for bodies and the
//! thread pool for background jobs.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use calloop::signals::{Signal, Signals};
use dunepond_background::Pool as JobPool;
use dunepond_body_buffer::{DiskFolder, SpillFolder, Spool};
use dunepond_config::ConfigError;
use dunepond_config::operator::{self, OperatorConfig};
use dunepond_routing::MAX_SHUTDOWN_SECONDS;
use tracing::warn;

use crate::downstream;
use crate::iteration::{EventLoopHandle, Iteration, LoopEvent, event_channel};
use crate::run_id::RunId;

/// Interval between attempts to bind an address that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The disk spill for bodies.
pub(super) struct BodySpool {
    /// The threads that read and write the spilled bodies.
    pub(super) spool: Spool,
    /// The folder in which the spilled bodies are stored.
    pub(super) folder: Arc<dyn SpillFolder>,
}

/// Returns the error for a startup that failed because `part` of the broker could not be set up.
pub(super) fn setup_error(part: &str, reason: &dyn std::fmt::Display) -> ConfigError {
    ConfigError(format!("{part}: {reason}"))
}

/// Listens at an address; `what` names it in the log. While the address is in use, perhaps by an old process that is
/// shutting down, binding is retried until such a process must have been killed. If binding failed at once, a start
/// during the old process's shutdown would never succeed.
pub(super) fn listen_with_retry(what: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let started_at = Instant::now();
    let mut is_logged = false;
    loop {
        let e = match downstream::listen(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => e,
            outcome => return outcome,
        };
        if started_at.elapsed().as_secs_f64() >= MAX_SHUTDOWN_SECONDS {
            return Err(e);
        }
        if !is_logged {
            warn!("{what}: {address}: {e}; retrying until it is free");
            is_logged = true;
        }
        thread::sleep(BIND_RETRY_INTERVAL);
    }
}

/// Turns signals into events of the event loop.
pub(super) fn watch_signals(handle: &EventLoopHandle, signals: Signals) -> Result<(), ConfigError> {
    let inserted = handle.insert_source(signals, |event, _, iteration: &mut Iteration| {
        iteration.events.push_back(match event.signal() {
            Signal::SIGHUP => LoopEvent::ReloadRequested,
            _ => LoopEvent::ShutdownRequested,
        });
    });
    inserted.map(drop).map_err(|e| setup_error("signals", &e.error))
}

/// Starts the disk spill for bodies, if the operator's file names a folder for it. Its threads report to the event loop.
/// `replacement` is used instead of that folder, if given.
pub(super) fn start_body_spool(
    config: &operator::BodyBufferConfig,
    replacement: Option<Arc<dyn SpillFolder>>,
    handle: &EventLoopHandle,
) -> Result<Option<BodySpool>, ConfigError> {
    let Some(config) = &config.spill else { return Ok(None) };
    let folder_error =
        |e: &dyn std::fmt::Display| ConfigError(format!("files: folder: {}: {e}", config.folder.display()));
    let folder = match replacement {
        Some(folder) => folder,
        None => {
            // The mark is unique to this process, so that files left by an earlier process are recognised.
            let run_id = RunId::random().map_err(|e| folder_error(&e))?;
            Arc::new(DiskFolder::open(&config.folder, &run_id.to_string()).map_err(|e| folder_error(&e))?)
        }
    };
    let sender = event_channel(handle, LoopEvent::DiskDone).map_err(|e| folder_error(&e))?;
    // A send fails only once the event loop has ended.
    let on_done = move |done| drop(sender.send(done));
    let spool = Spool::start(folder.clone(), config.threads, config.max_queued_jobs, on_done)
        .map_err(|e| folder_error(&e))?;
    Ok(Some(BodySpool { spool, folder }))
}

/// Starts the thread pool for background jobs; `None` if the operator's file names no state folder, as the only
/// blocking jobs are those that access this folder.
pub(super) fn start_job_pool(
    operator: &OperatorConfig,
    handle: &EventLoopHandle,
) -> Result<Option<JobPool>, ConfigError> {
    let sender = event_channel(handle, LoopEvent::JobFinished).map_err(|e| setup_error("background", &e))?;
    if operator.recovery.is_none() {
        return Ok(None);
    }
    let pool = JobPool::start("work", operator.background.max_blocking_jobs, move |finished| {
        let _ = sender.send(finished);
    });
    pool.map(Some).map_err(|e| setup_error("background", &e))
}

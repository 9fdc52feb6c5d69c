//! Opens what the event loop reads from at startup: listeners, signals, the disk spill for bodies and the pool for background jobs.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::signals::{Signal, Signals};
use dunepond_background::Pool as JobPool;
use dunepond_body_buffer::{DiskFolder, SpillFolder, Spool};
use dunepond_config::ConfigError;
use dunepond_config::operator::{self, OperatorConfig};
use dunepond_routing::MAX_SHUTDOWN_SECONDS;
use tracing::warn;

use crate::downstream;
use crate::iteration::{EventLoopHandle, Iteration, LoopEvent, event_channel};

/// How soon binding an address that is still in use is tried again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The threads of the disk spill for bodies, and the folder that they work on.
pub(super) struct BodySpool {
    pub(super) spool: Spool,
    pub(super) folder: Arc<dyn SpillFolder>,
}

/// A fault of the start: what could not be set up, and why.
pub(super) fn failed(what: &str, why: &dyn std::fmt::Display) -> ConfigError {
    ConfigError(format!("{what}: {why}"))
}

/// Listens at an address. While an old process that is shutting down still holds it, binding is retried until that process must
/// have been killed: a start that failed at once would never succeed.
pub(super) fn listen_with_retry(what: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let since = Instant::now();
    let mut is_logged = false;
    loop {
        let e = match downstream::listen(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => e,
            outcome => return outcome,
        };
        if since.elapsed().as_secs_f64() >= MAX_SHUTDOWN_SECONDS {
            return Err(e);
        }
        if !is_logged {
            warn!("{what}: {address}: {e}; retrying until it is free");
            is_logged = true;
        }
        thread::sleep(BIND_RETRY_INTERVAL);
    }
}

/// Turns signals into events of the loop.
pub(super) fn watch_signals(handle: &EventLoopHandle, signals: Signals) -> Result<(), ConfigError> {
    let inserted = handle.insert_source(signals, |event, _, iteration: &mut Iteration| {
        iteration.events.push_back(match event.signal() {
            Signal::SIGHUP => LoopEvent::ReloadRequested,
            _ => LoopEvent::ShutdownRequested,
        });
    });
    inserted.map(drop).map_err(|e| failed("signals", &e.error))
}

/// Starts the disk spill for bodies, where the operator's file names a folder. Its threads report to the event loop.
pub(super) fn start_body_spool(
    config: &operator::BodyBufferConfig,
    replacement: Option<Arc<dyn SpillFolder>>,
    handle: &EventLoopHandle,
) -> Result<Option<BodySpool>, ConfigError> {
    let Some(config) = &config.spill else { return Ok(None) };
    let failed =
        |e: &dyn std::fmt::Display| ConfigError(format!("files: folder: {}: {e}", config.folder.display()));
    let folder = match replacement {
        Some(folder) => folder,
        None => {
            // Unique to this start, so that files of an earlier one are recognised.
            let since = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
            let mark = format!("{}-{since:x}", std::process::id());
            Arc::new(DiskFolder::open(&config.folder, &mark).map_err(|e| failed(&e))?)
        }
    };
    let sender = event_channel(handle, LoopEvent::DiskDone).map_err(|e| failed(&e))?;
    // A send fails only once the event loop has ended.
    let on_done = move |done| drop(sender.send(done));
    let spool = Spool::start(folder.clone(), config.threads, config.max_queued_jobs, on_done)
        .map_err(|e| failed(&e))?;
    Ok(Some(BodySpool { spool, folder }))
}

/// The thread pool for background jobs, where there are any that may block.
pub(super) fn start_job_pool(
    operator: &OperatorConfig,
    handle: &EventLoopHandle,
) -> Result<Option<JobPool>, ConfigError> {
    let sender = event_channel(handle, LoopEvent::JobFinished).map_err(|e| failed("background", &e))?;
    if operator.recovery.is_none() {
        return Ok(None);
    }
    let pool = JobPool::start("work", operator.background.max_blocking_jobs, move |finished| {
        let _ = sender.send(finished);
    });
    pool.map(Some).map_err(|e| failed("background", &e))
}

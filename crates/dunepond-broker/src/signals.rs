//! The signals that control a broker, caught before anything else runs.

use std::time::Instant;

use calloop::signals::{Signal, Signals};
use dunepond_config::ConfigError;

/// Signals that are blocked until the broker serves, and since when: none of them came earlier.
pub struct CaughtSignals {
    pub(crate) signals: Signals,
    pub(crate) since: Instant,
}

/// Blocks the signals and keeps them until the broker serves; one that came earlier would kill the process. Call it before
/// anything else, and before any thread is started. Dropping the result restores the default handling.
pub fn catch_signals() -> Result<CaughtSignals, ConfigError> {
    let since = Instant::now();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(|e| ConfigError(format!("signals: {e}")))?;
    Ok(CaughtSignals { signals, since })
}

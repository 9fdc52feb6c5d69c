//! Catches the signals that control a broker, before anything else runs.

use std::time::Instant;

use calloop::signals::{Signal, Signals};
use dunepond_config::ConfigError;

/// The signals that are caught: they are blocked, and stay pending until the broker handles them.
pub struct CaughtSignals {
    /// Event source of the signals.
    pub(crate) signals: Signals,
    /// A time just before the signals were blocked: none of the caught signals came earlier.
    pub(crate) since: Instant,
}

/// Blocks the signals, so that they stay pending until the broker handles them; a signal before this call would kill
/// the process. Must be called before anything else, in particular before a thread is started. Dropping the result
/// restores the default handling.
pub fn catch_signals() -> Result<CaughtSignals, ConfigError> {
    let since = Instant::now();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(|e| ConfigError(format!("signals: {e}")))?;
    Ok(CaughtSignals { signals, since })
}

//! Catches the signals that control a broker, before anything else runs.

use std::time::Instant;

use calloop::signals::{Signal, Signals};
use dunepond_config::ConfigError;

/// The caught signals: they are blocked, and kept until the broker runs.
pub struct CaughtSignals {
    /// Event source of the signals.
    pub(crate) signals: Signals,
    /// A time just before the signals were blocked: none of the caught signals came earlier.
    pub(crate) since: Instant,
}

/// Blocks the signals and keeps them until the broker runs; a signal that came before this call would kill the process.
/// Must be called before anything else, in particular before a thread is started. Dropping the result restores the default
/// handling.
pub fn catch_signals() -> Result<CaughtSignals, ConfigError> {
    let since = Instant::now();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(|e| ConfigError(format!("signals: {e}")))?;
    Ok(CaughtSignals { signals, since })
}

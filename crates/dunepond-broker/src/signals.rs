//! The signals that control a broker, caught before anything else runs.

use std::time::Instant;

use calloop::signals::{Signal, Signals};
use dunepond_config::Bad;

/// Signals that wait until the broker serves, and since when they have been caught: none that it finds came before that.
pub struct CaughtSignals {
    pub(crate) signals: Signals,
    pub(crate) since: Instant,
}

/// Catches the signals and keeps them until the broker serves: one that came before would kill the process. To be called
/// before anything else is done, and before any thread is started. Dropping the result restores their default handling.
pub fn catch_signals() -> Result<CaughtSignals, Bad> {
    let since = Instant::now();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]);
    let signals = signals.map_err(|e| Bad(format!("signals: {e}")))?;
    Ok(CaughtSignals { signals, since })
}

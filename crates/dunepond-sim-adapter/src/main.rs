//! Hosts the router on the simulator's wire, so that the simulator judges the decisions that the broker runs on sockets: one
//! batch of events comes as a line of JSON, and one batch of orders goes back.
//!
//! Nothing here decides. The wire's names are mapped to the router's in `wire`, and nowhere else. A line that cannot be read is
//! named on standard error, and the program stops with a failure.

mod process;
mod session;
mod transport;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use dunepond_config::ConfigError;
use process::Process;

fn serve() -> Result<(), ConfigError> {
    let mut process = Process::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| ConfigError(format!("batch: cannot be read: {e}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = process.handle_batch(&line)?;
        // A reader that has gone needs no more replies, and that is no failure of ours.
        if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
            break;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(ConfigError(line)) => {
            eprintln!("dunepond-sim-adapter: {line}");
            ExitCode::FAILURE
        }
    }
}

//! Runs routers behind the simulator's JSON wire protocol, so that the simulator tests the same decisions that the broker makes
//! on sockets. Each line of standard input is a batch of events; each line of standard output is the batch of orders to which
//! those events led.
//!
//! No decision is made here. Only the module `wire` knows the names of the wire protocol and maps them to the router's terms.
//! An invalid line is reported on standard error, and the program exits with a failure.

mod process;
mod session;
mod transport;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use dunepond_config::ConfigError;
use process::Process;

/// Handles batches of events until the input ends or nobody reads the replies.
fn serve() -> Result<(), ConfigError> {
    let mut process = Process::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| ConfigError(format!("batch: standard input cannot be read: {e}")))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = process.handle_batch(&line)?;
        // The simulator may stop reading at any time; that is not an error.
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

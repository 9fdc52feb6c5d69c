//! Reads the configuration again on a separate thread, so that a disk that does not answer cannot block the event loop.

use std::path::PathBuf;
use std::{io, thread};

use calloop::channel::Sender;
use dunepond_config::ConfigError;
use dunepond_config::operator::OperatorConfig;

use crate::config::{self, StartupConfig};

/// The outcome of reading the configuration files again.
pub struct LoadedConfig {
    /// The configuration, or why it is invalid.
    pub startup: Result<StartupConfig, ConfigError>,
    /// The content of the operator's file, or why it is invalid; `None` without such a file.
    pub operator: Option<Result<OperatorConfig, ConfigError>>,
}

/// Reloads the configuration, one reload at a time.
pub struct ConfigReloader {
    sender: Sender<Box<LoadedConfig>>,
    operator_file: Option<PathBuf>,
    /// Whether a reload is running.
    is_running: bool,
    /// Whether a reload was requested while another one was running. The running one may already have read the old
    /// files, so a further one has to follow.
    reload_again: bool,
}

impl ConfigReloader {
    /// Creates a reloader that sends its results to `sender`. `operator_file` is the path of the operator's file, if there is
    /// one.
    pub fn new(sender: Sender<Box<LoadedConfig>>, operator_file: Option<PathBuf>) -> Self {
        Self { sender, operator_file, is_running: false, reload_again: false }
    }

    /// Starts a reload and returns `true`. If one is running, has another one follow it and returns `false`. Fails if no
    /// thread can be started.
    pub fn start_reload(&mut self) -> io::Result<bool> {
        if self.is_running {
            self.reload_again = true;
            return Ok(false);
        }
        let (sender, operator_file) = (self.sender.clone(), self.operator_file.clone());
        let read = move || {
            let startup = config::reload(|name| std::env::var(name).ok());
            let operator = operator_file.as_deref().map(config::read_operator_file);
            // The send fails only if the event loop has ended.
            let _ = sender.send(Box::new(LoadedConfig { startup, operator }));
        };
        thread::Builder::new().name("reread".to_string()).spawn(read)?;
        self.is_running = true;
        Ok(true)
    }

    /// Records that a reload has ended; returns whether another one is to be started.
    pub fn on_reload_ended(&mut self) -> bool {
        self.is_running = false;
        std::mem::take(&mut self.reload_again)
    }
}

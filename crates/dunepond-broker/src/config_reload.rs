//! Reloads the configuration on a thread of its own, so that a disk that does not answer cannot block the event loop.

use std::path::PathBuf;
use std::{io, thread};

use calloop::channel::Sender;
use dunepond_config::ConfigError;
use dunepond_config::operator::OperatorConfig;

use crate::config::{self, StartupConfig};

/// A reloaded configuration, or why it is invalid.
pub struct LoadedConfig {
    /// The configuration.
    pub startup: Result<StartupConfig, ConfigError>,
    /// The operator's file, where there is one.
    pub operator: Option<Result<OperatorConfig, ConfigError>>,
}

/// Reloads the configuration, one reload at a time.
pub struct ConfigReloader {
    sender: Sender<Box<LoadedConfig>>,
    operator_file: Option<PathBuf>,
    is_reading: bool,
    /// Another reload was requested while one ran, which may have read the old files.
    read_again: bool,
}

impl ConfigReloader {
    /// `operator`: path of the operator's file, if there is one. What was read goes to `sender`.
    pub fn new(sender: Sender<Box<LoadedConfig>>, operator_file: Option<PathBuf>) -> Self {
        Self { sender, operator_file, is_reading: false, read_again: false }
    }

    /// Starts a reload and returns `true`; if one is running, another follows it and this returns `false`.
    pub fn start_read(&mut self) -> io::Result<bool> {
        if self.is_reading {
            self.read_again = true;
            return Ok(false);
        }
        let (sender, operator) = (self.sender.clone(), self.operator_file.clone());
        let read = move || {
            let start = config::reload(|name| std::env::var(name).ok());
            let operator = operator.as_deref().map(config::read_operator_file);
            // The send fails only if the broker has ended.
            let _ = sender.send(Box::new(LoadedConfig { startup: start, operator }));
        };
        thread::Builder::new().name("reread".to_string()).spawn(read)?;
        self.is_reading = true;
        Ok(true)
    }

    /// A reload has ended; returns whether another one is to be started.
    pub fn take_read_again(&mut self) -> bool {
        self.is_reading = false;
        std::mem::take(&mut self.read_again)
    }
}

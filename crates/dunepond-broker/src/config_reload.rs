//! Reads the configuration again on a thread of its own, as a file may lie on a disk that does not answer.

use std::path::PathBuf;
use std::{io, thread};

use calloop::channel::Sender;
use dunepond_config::Bad;
use dunepond_config::operator::Operator;

use crate::config::{self, StartupConfig};

/// What was read, or why it will not do.
pub struct LoadedConfig {
    pub start: Result<StartupConfig, Bad>,
    /// The operator's file, where there is one.
    pub operator: Option<Result<Operator, Bad>>,
}

/// Reads the configuration on a thread of its own, one reading at a time.
pub struct ConfigReloader {
    sender: Sender<Box<LoadedConfig>>,
    operator: Option<PathBuf>,
    is_reading: bool,
    /// It was asked for again meanwhile: what is being read may be old.
    again: bool,
}

impl ConfigReloader {
    pub fn new(sender: Sender<Box<LoadedConfig>>, operator: Option<PathBuf>) -> Self {
        Self { sender, operator, is_reading: false, again: false }
    }

    /// Begins to read, or has it read once more after what is being read; false where it must wait for that.
    pub fn read(&mut self) -> io::Result<bool> {
        if self.is_reading {
            self.again = true;
            return Ok(false);
        }
        let (sender, operator) = (self.sender.clone(), self.operator.clone());
        let read = move || {
            let start = config::reread(|name| std::env::var(name).ok());
            let operator = operator.as_deref().map(config::operator);
            // The broker may have ended meanwhile.
            let _ = sender.send(Box::new(LoadedConfig { start, operator }));
        };
        thread::Builder::new().name("reread".to_string()).spawn(read)?;
        self.is_reading = true;
        Ok(true)
    }

    /// What was read has come; true if it is to be read once more.
    pub fn take_read_again(&mut self) -> bool {
        self.is_reading = false;
        std::mem::take(&mut self.again)
    }
}

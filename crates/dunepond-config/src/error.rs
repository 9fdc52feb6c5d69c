//! The error type for configuration files and other input that is read at startup.

use std::fmt;

/// Why a configuration, or a file or address that it names, can't be used. The text is one line that begins with what
/// is at fault, such as the key or the file.
#[derive(Debug, PartialEq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

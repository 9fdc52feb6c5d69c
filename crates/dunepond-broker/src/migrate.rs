//! The files of `dunepond-broker migrate`: the old one is read, the new one written completely or not at all.

use std::io::Write;
use std::path::{Path, PathBuf};

use dunepond_config::ConfigError;
use dunepond_config::migrate::{MigratedConfig, MigrationOptions, migrate};

use crate::config;

/// Converts a configuration file to the new format; the error names the file.
pub fn read(old: &Path, ask: &MigrationOptions) -> Result<MigratedConfig, ConfigError> {
    let named = |line: String| ConfigError(format!("{}: {line}", old.display()));
    let text = std::fs::read_to_string(old).map_err(|e| named(e.to_string()))?;
    migrate(&text, ask, config::check).map_err(|ConfigError(line)| named(line))
}

/// Writes the new file completely or not at all. An existing file is replaced only with `overwrite`.
pub fn write(new: &Path, text: &str, overwrite: bool) -> Result<(), ConfigError> {
    let named = |e: std::io::Error| ConfigError(format!("{}: {e}", new.display()));
    let folder = new.parent().filter(|p| !p.as_os_str().is_empty()).map_or(PathBuf::from("."), PathBuf::from);
    let mut aside = tempfile::NamedTempFile::new_in(&folder).map_err(named)?;
    aside.write_all(text.as_bytes()).and_then(|()| aside.as_file().sync_all()).map_err(named)?;
    let done = if overwrite { aside.persist(new) } else { aside.persist_noclobber(new) };
    done.map(drop).map_err(|e| match e.error.kind() {
        std::io::ErrorKind::AlreadyExists => {
            ConfigError(format!("{}: there already; --overwrite replaces it", new.display()))
        }
        _ => named(e.error),
    })
}

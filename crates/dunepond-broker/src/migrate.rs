//! Reads and writes the files of `dunepond-broker migrate`.

use std::io::Write;
use std::path::{Path, PathBuf};

use dunepond_config::ConfigError;
use dunepond_config::migrate::{MigratedConfig, MigrationOptions, migrate};

use crate::config;

/// Reads a configuration file and converts it to the new format. An error names the file.
pub fn read(old: &Path, options: &MigrationOptions) -> Result<MigratedConfig, ConfigError> {
    let with_path = |line: String| ConfigError(format!("{}: {line}", old.display()));
    let text = std::fs::read_to_string(old).map_err(|e| with_path(e.to_string()))?;
    migrate(&text, options, config::check).map_err(|ConfigError(line)| with_path(line))
}

/// Writes the new file completely or not at all. An existing file is replaced only if `overwrite` is set.
pub fn write(new: &Path, text: &str, overwrite: bool) -> Result<(), ConfigError> {
    let with_path = |e: std::io::Error| ConfigError(format!("{}: {e}", new.display()));
    let folder = new.parent().filter(|p| !p.as_os_str().is_empty()).map_or(PathBuf::from("."), PathBuf::from);
    let mut temporary = tempfile::NamedTempFile::new_in(&folder).map_err(with_path)?;
    temporary.write_all(text.as_bytes()).and_then(|()| temporary.as_file().sync_all()).map_err(with_path)?;
    let persisted = if overwrite { temporary.persist(new) } else { temporary.persist_noclobber(new) };
    persisted.map(drop).map_err(|e| match e.error.kind() {
        std::io::ErrorKind::AlreadyExists => {
            ConfigError(format!("{}: the file already exists; use --overwrite to replace it", new.display()))
        }
        _ => with_path(e.error),
    })
}

//! Migrates a configuration file of the earlier shape, in which replicas of a segment span neighbouring replica groups
//! and clients may be told when to retry, to the present one. Whatever cannot be carried over is listed by its key:
//! nothing is dropped silently.

mod known_keys;

use serde_json::{Value, json};

use crate::{ConfigError, Fields, parse_json};

/// What the old file does not say of the new deployment.
#[derive(Debug, Default)]
pub struct MigrationOptions {
    /// How many replica groups the new deployment has; absent, the old groups are joined by as many as held a segment.
    pub replica_groups: Option<usize>,
    /// No part may have two attempts at the same time.
    pub disable_hedging: bool,
}

/// The outcome of a migration.
#[derive(Debug)]
pub struct MigratedConfig {
    /// The new file's text.
    pub text: String,
    /// What is different or was not carried over, a line each, which begins with the key.
    pub changes: Vec<String>,
    /// The old file has the new shape already; `text` is its own.
    pub unchanged: bool,
}

/// Migrates the text of a configuration file. `check` is the broker's own check, which both files must pass.
///
/// # Errors
/// Text that is not JSON, a file that `check` refuses, or replica groups that cannot be joined evenly.
pub fn migrate(
    text: &str,
    options: &MigrationOptions,
    check: impl Fn(&Value) -> Result<(), ConfigError>,
) -> Result<MigratedConfig, ConfigError> {
    let old = parse_json(text.as_bytes()).map_err(ConfigError)?;
    check(&old)?;
    let settings = Fields::new("settings", &old["settings"])?;
    let layout = OldLayout {
        groups: settings.positive_count("familyInfo.cells")?,
        span: settings.positive_count("familyInfo.span")?,
    };
    let has_retry_after = settings.flag("ceilings.retryAfter")?;
    if layout.span == 1 && !has_retry_after {
        return Ok(MigratedConfig { text: text.to_string(), changes: Vec::new(), unchanged: true });
    }
    let mut migration = Migration { settings, new: old.clone(), changes: Vec::new() };
    migration.remove_unknown_keys();
    migration.remove_known_nodes(&old);
    migration.join_replica_groups(&layout, options)?;
    if has_retry_after {
        migration.disable_retry_after();
    }
    if options.disable_hedging {
        migration.disable_hedging()?;
    }
    migration.note_absent_limits()?;
    // A file that the broker would not start with is no result.
    check(&migration.new).map_err(|ConfigError(line)| ConfigError(format!("the counterpart: {line}")))?;
    let text = serde_json::to_string_pretty(&migration.new).map_err(|e| ConfigError(e.to_string()))? + "\n";
    Ok(MigratedConfig { text, changes: migration.changes, unchanged: false })
}

/// How the old file lays segments out.
struct OldLayout {
    groups: usize,
    /// Neighbouring groups that hold the same segment.
    span: usize,
}

/// A migration under way.
struct Migration<'a> {
    /// Settings of the old file.
    settings: Fields<'a>,
    new: Value,
    changes: Vec<String>,
}

impl Migration<'_> {
    fn remove_unknown_keys(&mut self) {
        if let Some(object) = self.new.as_object_mut() {
            known_keys::remove_unknown("", object, &mut self.changes);
        }
    }

    fn remove_known_nodes(&mut self, old: &Value) {
        let count = old["known"]["hosts"].as_array().map_or(0, Vec::len);
        if count > 0 {
            self.changes.push(format!(
                "known.hosts: {count} nodes of the old deployment; discovery names the new ones"
            ));
            self.new["known"] = json!({"seq": 0, "whole": true, "hosts": []});
        }
    }

    fn join_replica_groups(
        &mut self,
        old: &OldLayout,
        options: &MigrationOptions,
    ) -> Result<(), ConfigError> {
        let OldLayout { groups, span } = *old;
        let new_groups = match options.replica_groups {
            Some(0) => return Err(ConfigError("--sets: must be above 0".to_string())),
            Some(count) => count,
            None if groups % span == 0 => groups / span,
            None => {
                let why =
                    format!("{groups} cells do not part into sets of {span}; say how many sets with --sets");
                return Err(self.settings.error("familyInfo.cells", &why));
            }
        };
        if (new_groups, 1) != (groups, span) {
            self.changes.push(format!(
                "settings.familyInfo.cells, span: {groups} cells and {span} in a row become {new_groups} sets; \
                 segment s is now held by all nodes of set s modulo {new_groups}, and the data must lie so"
            ));
            let family = &mut self.new["settings"]["familyInfo"];
            family["cells"] = json!(new_groups);
            family["span"] = json!(1);
        }
        Ok(())
    }

    fn disable_retry_after(&mut self) {
        let key = "settings.ceilings.retryAfter: true becomes false";
        self.changes.push(format!("{key}; clients are not told when to come back, and many come at once"));
        self.new["settings"]["ceilings"]["retryAfter"] = json!(false);
    }

    fn disable_hedging(&mut self) -> Result<(), ConfigError> {
        if self.settings.flag("ceilings.secondCopies")? {
            let key = "settings.ceilings.secondCopies: true becomes false";
            self.changes.push(format!("{key}; a part at a slow node waits for it, as none is copied"));
            self.new["settings"]["ceilings"]["secondCopies"] = json!(false);
        }
        Ok(())
    }

    fn note_absent_limits(&mut self) -> Result<(), ConfigError> {
        if self.settings.optional("rules.repeatRatio", "a number", Value::as_f64)?.is_none() {
            let line = "settings.rules.repeatRatio: absent; further dispatches keep to no budget";
            self.changes.push(line.to_string());
        }
        if self.settings.optional("penalties.crossZone", "a number", Value::as_f64)?.is_none() {
            let line = "settings.penalties.crossZone: absent; a crossing weighs as it did before";
            self.changes.push(line.to_string());
        }
        Ok(())
    }
}

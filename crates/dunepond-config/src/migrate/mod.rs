//! Converts a configuration file from the earlier format to the current one, and reports each changed or removed key.
//! In the earlier format, the replica groups form a ring, the replicas of a segment may be in several groups that follow
//! each other in the ring, and clients may be told when to retry. In the current format, all replicas of a segment are in
//! one replica group, and clients are not told when to retry.

mod known_keys;

use serde_json::{Value, json};

use crate::{ConfigError, Fields, parse_json};

/// Choices about the new deployment that the old file doesn't contain.
#[derive(Debug, Default)]
pub struct MigrationOptions {
    /// Number of replica groups of the new deployment. If `None`, old groups are joined: each new group replaces as
    /// many old groups as stored the same segment.
    pub replica_groups: Option<usize>,
    /// Whether to disable hedging, so that a part never has two attempts at the same time.
    pub disable_hedging: bool,
}

/// The outcome of a migration.
#[derive(Debug)]
pub struct MigratedConfig {
    /// Text of the new file.
    pub text: String,
    /// One line for each key that was changed or removed, or that sets a limit and is absent. A line begins with its
    /// key.
    pub changes: Vec<String>,
    /// Whether the old file is in the current format already; `text` is then the unchanged text of the old file.
    pub unchanged: bool,
}

/// Migrates the text of a configuration file. `check` is the check that the broker runs at startup; the old and the new
/// configuration must pass it.
///
/// # Errors
/// Fails if the text is not JSON, if `check` fails, if `options` requests 0 replica groups, or if `options` gives no
/// number of replica groups and the old groups can't be joined evenly.
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
    // The broker must be able to start with the new file.
    check(&migration.new)
        .map_err(|ConfigError(line)| ConfigError(format!("the migrated configuration: {line}")))?;
    let text = serde_json::to_string_pretty(&migration.new).map_err(|e| ConfigError(e.to_string()))? + "\n";
    Ok(MigratedConfig { text, changes: migration.changes, unchanged: false })
}

/// How segments are assigned to replica groups in the old file.
struct OldLayout {
    /// Number of replica groups.
    groups: usize,
    /// Number of consecutive replica groups in the ring of groups that store the same segment. Unless
    /// [`MigrationOptions::replica_groups`] is given, this many old groups are joined into one new group.
    span: usize,
}

/// A migration in progress.
struct Migration<'a> {
    /// Settings of the old file.
    settings: Fields<'a>,
    /// The new configuration, which starts as a copy of the old one.
    new: Value,
    /// One line for each key that was changed or removed, or that sets a limit and is absent. A line begins with its
    /// key.
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
                "known.hosts: {count} nodes of the old deployment were removed; discovery names the new nodes"
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
                let why = format!(
                    "{groups} cells do not part into sets of {span}; give the number of sets with --sets"
                );
                return Err(self.settings.error("familyInfo.cells", &why));
            }
        };
        if (new_groups, 1) != (groups, span) {
            self.changes.push(format!(
                "settings.familyInfo.cells, span: {groups} cells and {span} neighbours that hold a segment become \
                 {new_groups} sets; all nodes of set (s modulo {new_groups}) must now hold segment s"
            ));
            let family = &mut self.new["settings"]["familyInfo"];
            family["cells"] = json!(new_groups);
            family["span"] = json!(1);
        }
        Ok(())
    }

    fn disable_retry_after(&mut self) {
        let key = "settings.ceilings.retryAfter: true becomes false";
        self.changes
            .push(format!("{key}; clients are not told when to retry, so many may retry at the same time"));
        self.new["settings"]["ceilings"]["retryAfter"] = json!(false);
    }

    fn disable_hedging(&mut self) -> Result<(), ConfigError> {
        if self.settings.flag("ceilings.secondCopies")? {
            let key = "settings.ceilings.secondCopies: true becomes false";
            self.changes.push(format!(
                "{key}; a part on a slow node waits for that node, as there is no hedged attempt"
            ));
            self.new["settings"]["ceilings"]["secondCopies"] = json!(false);
        }
        Ok(())
    }

    fn note_absent_limits(&mut self) -> Result<(), ConfigError> {
        if self.settings.optional("rules.repeatRatio", "a number", Value::as_f64)?.is_none() {
            let line =
                "settings.rules.repeatRatio: absent; retries and hedged attempts are not limited by a budget";
            self.changes.push(line.to_string());
        }
        if self.settings.optional("penalties.crossZone", "a number", Value::as_f64)?.is_none() {
            let line =
                "settings.penalties.crossZone: absent; attempts in other zones keep their default cost";
            self.changes.push(line.to_string());
        }
        Ok(())
    }
}

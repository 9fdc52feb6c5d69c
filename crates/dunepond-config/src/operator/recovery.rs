//! Reads the `state` node: where state that survives a restart of the process is stored, and how often.

use std::path::PathBuf;

use kdl::KdlNode;

use super::reader::Reader;

/// Where and how often snapshots are stored: of what the broker has learned about nodes, and of the budgets that it has
/// spent.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryConfig {
    /// Folder for the snapshots; it must exist.
    pub folder: PathBuf,
    /// Interval between two snapshots, in seconds.
    pub snapshot_interval_seconds: f64,
}

impl Reader<'_> {
    /// Reads the `state` node; `None` if its `folder` property is absent or not an absolute path. Whether the folder exists
    /// is not checked here.
    pub(super) fn recovery(&mut self, node: &KdlNode) -> Option<RecoveryConfig> {
        let [folder, every] = self.properties(node, ["folder", "every"]);
        let folder = self.absolute_folder(node, folder);
        let snapshot_interval_seconds = self.number_or(every, 0.1..=3600.0, 1.0);
        Some(RecoveryConfig { folder: folder?, snapshot_interval_seconds })
    }
}

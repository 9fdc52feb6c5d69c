//! Changes of voters and of their data folders. The leader writes each change in the same log entry as the raft
//! library's membership change.

use raft::StateRole;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::Voter;
use crate::log_entry::{LogEntry, VoterReplacement};
use crate::{FolderStart, codec};

impl Voter {
    /// The next log entry that changes the voters or records their folders and that the leader has to write; `None` if
    /// none is due.
    pub(super) fn next_membership_entry(&self) -> Option<LogEntry> {
        let changed = self.changed_folder_start();
        let entry = changed.map(|(voter, folder_start)| LogEntry::VoterSlot { voter, folder_start });
        entry.or_else(|| self.ready_replacement().map(LogEntry::VotersReplaced))
    }

    /// The name of a voter that runs on a new data folder or whose process was started again, with its present folder
    /// and process start; `None` if there is no such voter.
    fn changed_folder_start(&self) -> Option<(String, FolderStart)> {
        let own = (&self.config.name, self.folder_start(), false);
        let others = self.peers.iter().filter_map(|(name, peer)| {
            let folder = peer.folder.filter(|_| self.state.voters.contains(name))?;
            Some((name, folder.start, folder.empty))
        });
        let mut all = std::iter::once(own).chain(others);
        let changed = all.find(|(name, folder_start, empty)| match self.state.folder_starts.get(*name) {
            Some(committed) if committed.folder_id == folder_start.folder_id => {
                folder_start.start_count > committed.start_count
            }
            // A folder other than the committed one is only recorded if it is empty. If it is not, the voter learns
            // from the replies to its hellos that the folder is obsolete.
            _ => *empty,
        });
        changed.map(|(name, folder_start, _)| (name.clone(), folder_start))
    }

    /// The replacement that brings the pending list of voters into force; `None` if no list is pending, or until the
    /// joining voter has reported an empty folder.
    fn ready_replacement(&self) -> Option<VoterReplacement> {
        let pending = self.state.voters.pending_replacement()?;
        let joining = match pending.joining {
            Some(name) => {
                let folder = self.peers.get(&name)?.folder.filter(|folder| folder.empty)?;
                Some((name, folder.start))
            }
            None => None,
        };
        let leaving = pending.leaving.map(|name| {
            let folder_id = self.state.folder_starts.get(&name).map(|folder_start| folder_start.folder_id);
            (name, folder_id)
        });
        let number = self.state.voters.pending.as_ref()?.number;
        Some(VoterReplacement { number, joining, leaving })
    }

    /// Transfers the leadership to another voter before this leader is removed, so that the fleet does not have to wait
    /// for an election. Returns whether the removal has to wait for the transfer.
    fn transfer_leadership(&mut self) -> bool {
        let own = self.folder.id;
        let is_candidate = |id: u64| {
            let progress = self.node.raft.prs().get(id);
            id != own && progress.is_some_and(|progress| progress.recent_active)
        };
        let mut folders = self.state.folder_starts.values().map(|folder_start| folder_start.folder_id);
        if let Some(successor) = folders.find(|id| is_candidate(*id)) {
            self.node.transfer_leader(successor);
        }
        // While the raft group has other members, the removal waits even if no successor was found, since this leader
        // cannot commit the removal without them. Only a leader that is the single member does not wait.
        self.node.raft.prs().iter().any(|(id, _)| *id != own)
    }

    /// Writes the pending list of voters together with the raft library's membership change.
    pub(super) fn write_replacement(&mut self, replacement: VoterReplacement) {
        if self.node.raft.state != StateRole::Leader {
            return;
        }
        let removes_itself = replacement.leaving.as_ref().is_some_and(|(name, _)| *name == self.config.name);
        if removes_itself && self.transfer_leadership() {
            return;
        }
        let joining = replacement.joining.as_ref().map(|(_, folder_start)| folder_start.folder_id);
        let leaving = replacement.leaving.as_ref().and_then(|(_, folder_id)| *folder_id);
        self.write_membership(joining, leaving, &LogEntry::VotersReplaced(replacement));
    }

    /// Writes an entry with a voter's folder and process start. A new process start on the committed folder is a normal
    /// entry; a new folder is a membership change that replaces the old folder.
    pub(super) fn write_folder_start(&mut self, voter: String, folder_start: FolderStart) {
        let old = self.state.folder_starts.get(&voter).map(|folder_start| folder_start.folder_id);
        let entry = LogEntry::VoterSlot { voter, folder_start };
        if old == Some(folder_start.folder_id) {
            // If the log accepts no further entry now, the leader tries again later.
            let _ = self.append(&entry);
        } else if self.node.raft.state == StateRole::Leader {
            self.write_membership(Some(folder_start.folder_id), old, &entry);
        }
    }

    /// Writes a log entry together with the raft library's membership change.
    fn write_membership(&mut self, joining: Option<u64>, leaving: Option<u64>, entry: &LogEntry) {
        // The raft library accepts one membership change at a time, and would write an empty entry in place of a second.
        let conf_state = self.node.raft.prs().conf().to_conf_state();
        if self.node.raft.has_pending_conf() || !conf_state.voters_outgoing.is_empty() {
            return;
        }
        let joining = joining.map(|id| single_change(ConfChangeType::AddNode, id));
        let leaving = leaving.map(|id| single_change(ConfChangeType::RemoveNode, id));
        let changes: Vec<ConfChangeSingle> = joining.into_iter().chain(leaving).collect();
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        let _ = self.node.propose_conf_change(codec::encode(entry), change);
    }
}

fn single_change(kind: ConfChangeType, folder_id: u64) -> ConfChangeSingle {
    let mut single = ConfChangeSingle::default();
    single.set_change_type(kind);
    single.node_id = folder_id;
    single
}

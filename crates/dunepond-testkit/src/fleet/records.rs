//! Reads the audit records that the brokers of a fleet write, and waits for recorded phases.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use super::{Fleet, broker_name};
use crate::auditor::{AuditEvent, AuditPhase, AuditRecord, Records};
use crate::processes::wait_until;

/// A phase of the configuration and the versions that apply in it, as a broker recorded them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedPhase {
    /// Phase of the configuration.
    pub phase: AuditPhase,
    /// Lowest number of the versions that apply; 0 if none applies.
    pub first_version: u64,
    /// Highest number of the versions that apply; 0 if none applies.
    pub last_version: u64,
}

/// Reads the audit files of all brokers incrementally and keeps the records read so far.
pub(super) struct RecordReader {
    files: Vec<RecordFile>,
    records: Records,
}

/// The audit file of one broker and the position up to which it was read.
struct RecordFile {
    path: PathBuf,
    /// Number of bytes read so far.
    position: u64,
}

impl RecordReader {
    /// Creates a reader of the audit files that the brokers write into the fleet's folder. No file needs to exist yet.
    pub fn new(folder: &Path, broker_count: usize) -> Self {
        let path = |broker| folder.join(format!("{}.acts", broker_name(broker)));
        let files = (0..broker_count).map(|broker| RecordFile { path: path(broker), position: 0 });
        Self { files: files.collect(), records: Records::default() }
    }

    /// Reads the lines added since the last call and returns all records so far, ordered by time.
    fn read(&mut self) -> &Records {
        let mut changed = false;
        for file in &mut self.files {
            let lines = file.read_complete_lines();
            if !lines.is_empty() {
                changed = true;
                let text = String::from_utf8_lossy(&lines);
                self.records.append_unsorted(&file.path.display().to_string(), &text);
            }
        }
        if changed {
            self.records.sort();
        }
        &self.records
    }
}

impl RecordFile {
    /// Returns the bytes added since the last call, up to the end of the last complete line. Returns nothing if the file does not
    /// exist.
    fn read_complete_lines(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let Ok(mut file) = File::open(&self.path) else { return bytes };
        file.seek(SeekFrom::Start(self.position)).and_then(|_| file.read_to_end(&mut bytes)).unwrap();
        let complete_length = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        bytes.truncate(complete_length);
        self.position += complete_length as u64;
        bytes
    }
}

impl Fleet {
    /// Returns all records that the brokers have written so far, ordered by time.
    pub fn records(&self) -> Records {
        self.with_records(Records::clone)
    }

    /// Calls a function with all records that the brokers have written so far, without copying them.
    pub(super) fn with_records<T>(&self, use_records: impl FnOnce(&Records) -> T) -> T {
        use_records(self.record_reader.lock().unwrap().read())
    }

    /// Returns the phase that this broker recorded last, if any.
    pub fn last_phase(&self, broker: usize) -> Option<RecordedPhase> {
        let name = broker_name(broker);
        self.with_records(|records| {
            let own_records = records.entries.iter().rev().filter(|record| record.broker == name);
            own_records.map(|record| &record.event).find_map(phase_of)
        })
    }

    /// Waits until this version is the only active one at all of these brokers.
    ///
    /// # Panics
    /// Panics if it is not within [`crate::processes::WAIT_TIMEOUT`].
    pub fn wait_for_active_version(&self, brokers: impl IntoIterator<Item = usize> + Clone, number: u64) {
        let is_active = |broker| {
            let recorded = self.last_phase(broker);
            recorded.is_some_and(|recorded| {
                recorded.phase == AuditPhase::Active && recorded.last_version == number
            })
        };
        let active = wait_until(|| brokers.clone().into_iter().all(is_active));
        let phases: Vec<_> = brokers.into_iter().map(|i| (broker_name(i), self.last_phase(i))).collect();
        assert!(
            active,
            "expected version {number} to be active at all brokers before the timeout, got {phases:?}"
        );
    }

    /// Waits until this broker is in this phase, whatever the version.
    ///
    /// # Panics
    /// Panics if it is not within [`crate::processes::WAIT_TIMEOUT`].
    pub fn wait_for_phase(&self, broker: usize, phase: AuditPhase) {
        let reached = wait_until(|| self.last_phase(broker).is_some_and(|recorded| recorded.phase == phase));
        assert!(
            reached,
            "expected {} to be in phase {phase:?} before the timeout, got {:?}",
            broker_name(broker),
            self.last_phase(broker)
        );
    }

    /// Returns whether any broker recorded an event that matches.
    pub fn has_event(&self, matches: impl Fn(&AuditEvent) -> bool) -> bool {
        self.with_records(|records| records.entries.iter().any(|record| matches(&record.event)))
    }

    /// Prints the records of all brokers, except those of single queries. Consecutive records of the same phase, which a broker
    /// writes at each renewal of its lease, are printed once.
    pub(super) fn print_records(&self) {
        self.with_records(|records| {
            let mut last_phases = BTreeMap::new();
            for AuditRecord { at, broker, incarnation, event } in &records.entries {
                let skipped = match event {
                    AuditEvent::AttemptSent { .. }
                    | AuditEvent::Answer { .. }
                    | AuditEvent::Rejected { .. } => true,
                    AuditEvent::Phase { .. } => {
                        let phase = Some((*incarnation, phase_of(event)));
                        last_phases.insert(broker, phase) == Some(phase)
                    }
                    _ => false,
                };
                if !skipped {
                    println!("{at:.3} {broker} {event:?}");
                }
            }
        });
    }
}

/// Returns the phase that an event records, if it records one.
fn phase_of(event: &AuditEvent) -> Option<RecordedPhase> {
    match *event {
        AuditEvent::Phase { phase, first_version, last_version, .. } => {
            Some(RecordedPhase { phase, first_version, last_version })
        }
        _ => None,
    }
}

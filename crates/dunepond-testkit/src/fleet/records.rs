//! What the brokers of a fleet recorded, and waiting for it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};

use super::{Fleet, broker_name};
use crate::auditor::{AuditEvent, AuditPhase, AuditRecord, Records};
use crate::processes::wait_until;

/// A phase as a broker recorded it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedPhase {
    /// The phase.
    pub phase: AuditPhase,
    /// The version that it goes from.
    pub first_version: u64,
    /// The version that it goes to.
    pub last_version: u64,
}

/// Reads the brokers' files, each from where it stopped before.
pub(super) struct RecordReader {
    files: Vec<RecordFile>,
    records: Records,
}

struct RecordFile {
    path: PathBuf,
    /// Bytes that were read.
    position: u64,
}

impl RecordReader {
    pub fn new(folder: &Path, brokers: usize) -> Self {
        let path = |broker| folder.join(format!("{}.acts", broker_name(broker)));
        let files = (0..brokers).map(|broker| RecordFile { path: path(broker), position: 0 });
        Self { files: files.collect(), records: Records::default() }
    }

    /// All that is recorded so far.
    fn read(&mut self) -> &Records {
        let mut changed = false;
        for file in &mut self.files {
            let lines = file.read_whole_lines();
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
    /// What has come since the last time, up to the end of its last whole line.
    fn read_whole_lines(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let Ok(mut file) = File::open(&self.path) else { return bytes };
        file.seek(SeekFrom::Start(self.position)).and_then(|_| file.read_to_end(&mut bytes)).unwrap();
        let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        bytes.truncate(whole);
        self.position += whole as u64;
        bytes
    }
}

impl Fleet {
    /// All that is recorded so far.
    pub fn records(&self) -> Records {
        self.with_records(Records::clone)
    }

    pub(super) fn with_records<T>(&self, look: impl FnOnce(&Records) -> T) -> T {
        look(self.record_reader.lock().unwrap().read())
    }

    /// The phase that a broker recorded last.
    pub fn phase(&self, broker: usize) -> Option<RecordedPhase> {
        let name = broker_name(broker);
        self.with_records(|records| {
            let own = records.lines.iter().rev().filter(|record| record.broker == name);
            own.map(|record| &record.event).find_map(phase_of)
        })
    }

    /// Waits until these brokers all act on this version alone.
    ///
    /// # Panics
    /// Where they do not in time.
    pub fn wait_active(&self, brokers: impl IntoIterator<Item = usize> + Clone, number: u64) {
        let is_active = |broker| {
            let recorded = self.phase(broker);
            recorded.is_some_and(|it| it.phase == AuditPhase::Active && it.last_version == number)
        };
        let active = wait_until(|| brokers.clone().into_iter().all(is_active));
        let phases: Vec<_> = brokers.into_iter().map(|i| (broker_name(i), self.phase(i))).collect();
        assert!(active, "version {number} is not in force at all of {phases:?}");
    }

    /// Waits until this broker is in this phase, whichever version.
    ///
    /// # Panics
    /// Where it is not in time.
    pub fn wait_for_phase(&self, broker: usize, phase: AuditPhase) {
        let reached = wait_until(|| self.phase(broker).is_some_and(|recorded| recorded.phase == phase));
        assert!(reached, "{} is in {:?}", broker_name(broker), self.phase(broker));
    }

    /// Whether any broker recorded such an event.
    pub fn any_event(&self, matches: impl Fn(&AuditEvent) -> bool) -> bool {
        self.with_records(|records| records.lines.iter().any(|record| matches(&record.event)))
    }

    /// Prints what brokers recorded beside queries; a phase once, not with each renewal of its lease.
    pub(super) fn print_records(&self) {
        self.with_records(|records| {
            let mut last_phases = BTreeMap::new();
            for AuditRecord { at, broker, incarnation, event } in &records.lines {
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

fn phase_of(event: &AuditEvent) -> Option<RecordedPhase> {
    match *event {
        AuditEvent::Phase { phase, first_version, last_version, .. } => {
            Some(RecordedPhase { phase, first_version, last_version })
        }
        _ => None,
    }
}

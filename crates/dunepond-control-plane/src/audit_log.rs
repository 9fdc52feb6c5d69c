//! What this broker did, for an auditor: one JSON object a line, written by a thread of its own. Whoever acts never
//! waits for it; what finds no room is counted, and the count stands in the file too.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;

use crossbeam_channel::{Receiver, Sender, bounded};
use serde::{Deserialize, Serialize};
use tracing::error;

use crate::clock::monotonic_seconds;
use crate::error::ControlPlaneError;

/// Lines that wait for the disk at most.
const MAX_QUEUED_EVENTS: usize = 65_536;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Seconds on the steady clock.
    pub at: f64,
    #[serde(rename = "brk")]
    pub brk: String,
    /// Which of the broker's runs wrote it.
    #[serde(rename = "run")]
    pub run: u64,
    #[serde(flatten)]
    pub event: AuditEvent,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "lowercase")]
pub enum AuditEvent {
    /// What it may act on from now on, up to the lease's end; once more with each lease.
    Phase {
        phase: AuditPhase,
        from: u64,
        to: u64,
        until: f64,
    },
    /// A part's frame has been handed to its connection.
    #[serde(rename = "dispatch")]
    Dispatch {
        #[serde(rename = "call")]
        call: String,
        #[serde(rename = "seg")]
        seg: u64,
        node: String,
        #[serde(rename = "shot")]
        shot: u64,
        #[serde(rename = "once")]
        once: bool,
        phase: AuditPhase,
        #[serde(rename = "numbers")]
        numbers: Vec<u64>,
    },
    /// `segs`: those that are in. `epoch`: of the one map under which they were proved to be whole.
    Answer {
        #[serde(rename = "call")]
        call: String,
        status: u16,
        #[serde(rename = "whole")]
        whole: bool,
        #[serde(rename = "segs")]
        segs: Vec<u64>,
        #[serde(rename = "epoch")]
        epoch: Option<u64>,
    },
    /// A scan that was turned away, or a part that was held back, because of what is agreed.
    #[serde(rename = "refused")]
    Refused {
        #[serde(rename = "call")]
        call: String,
        why: String,
    },
    #[serde(rename = "settle")]
    Settle {
        id: String,
        debtor: String,
        creditor: String,
        bytes: u64,
        number: u64,
    },
    Fill {
        id: String,
        segment: u64,
        holder: String,
        source: String,
        bytes: u64,
        state: String,
    },
    Proposed {
        number: u64,
        digest: String,
    },
    Confirmed {
        number: u64,
        digest: String,
    },
    Withdrawn {
        number: u64,
        digest: String,
    },
    /// What it may use of bounds that the fleet shares, in millionths of the whole: from this line on `floor` and, before
    /// `until`, `parts` beside it; nothing at all before `from`, when what an earlier run used has left every window, nor
    /// where it is not `counted`. Once more with each lease.
    #[serde(rename = "share")]
    Share {
        generation: u64,
        counted: bool,
        floor: u32,
        parts: BTreeMap<String, u32>,
        from: f64,
        until: f64,
        window: f64,
    },
    /// So many lines found no room since the last of these.
    #[serde(rename = "lost")]
    Lost {
        count: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AuditPhase {
    None,
    Alone,
    Joint,
    Cut,
}

/// Cheap to clone; each writer has one.
#[derive(Clone)]
pub struct AuditSender {
    sender: Sender<Option<(f64, AuditEvent)>>,
    lost: Arc<AtomicU64>,
}

impl AuditSender {
    /// Notes an act of this moment.
    pub fn record(&self, act: AuditEvent) {
        self.record_at(monotonic_seconds(), act);
    }

    pub fn record_at(&self, at: f64, act: AuditEvent) {
        if self.sender.try_send(Some((at, act))).is_err() {
            self.lost.fetch_add(1, Relaxed);
        }
    }
}

/// The file's thread; it ends when it is told to, or once all recorders are dropped.
pub struct AuditLog {
    sender: Sender<Option<(f64, AuditEvent)>>,
    thread: JoinHandle<()>,
}

impl AuditLog {
    pub fn start(path: &Path, brk: &str, run: u64) -> Result<(AuditSender, Self), ControlPlaneError> {
        let failed = |why: &dyn std::fmt::Display| ControlPlaneError::AuditLog {
            path: path.to_path_buf(),
            why: why.to_string(),
        };
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(|e| failed(&e))?;
        let (sender, acts) = bounded(MAX_QUEUED_EVENTS);
        let lost = Arc::new(AtomicU64::new(0));
        let writing = AuditWriter {
            file: BufWriter::new(file),
            broker: brk.to_string(),
            incarnation: run,
            lost: lost.clone(),
        };
        let thread = std::thread::Builder::new().name("record".to_string());
        let thread = thread.spawn(move || writing.run(&acts)).map_err(|e| failed(&e))?;
        Ok((AuditSender { sender: sender.clone(), lost }, Self { sender, thread }))
    }

    /// Waits until all that was noted so far is in the file; what is noted later is lost.
    pub fn finish(self) {
        let _ = self.sender.send_timeout(None, crate::startup::SHUTDOWN_TIMEOUT);
        crate::startup::join_with_timeout(self.thread);
    }
}

struct AuditWriter {
    file: BufWriter<File>,
    broker: String,
    incarnation: u64,
    lost: Arc<AtomicU64>,
}

impl AuditWriter {
    fn run(mut self, acts: &Receiver<Option<(f64, AuditEvent)>>) {
        let (mut failing, mut ends) = (false, false);
        while !ends && let Ok(first) = acts.recv() {
            let mut next = Some(first);
            let mut outcome = Ok(());
            // All that waits, and then the disk.
            while let Some(act) = next.take() {
                match act {
                    Some(act) if outcome.is_ok() => outcome = self.write_record(act),
                    Some(_) => drop(self.lost.fetch_add(1, Relaxed)),
                    None => ends = true,
                }
                next = acts.try_recv().ok();
            }
            let lost = self.lost.swap(0, Relaxed);
            if lost > 0 && outcome.is_ok() {
                outcome = self.write_record((monotonic_seconds(), AuditEvent::Lost { count: lost }));
            }
            let outcome = outcome.and_then(|()| self.file.flush());
            if let Err(e) = &outcome
                && !failing
            {
                error!("fleet: record: {e}; lines are lost until it can be written again");
            }
            failing = outcome.is_err();
        }
    }

    fn write_record(&mut self, (at, act): (f64, AuditEvent)) -> std::io::Result<()> {
        let line = AuditRecord { at, brk: self.broker.clone(), run: self.incarnation, event: act };
        serde_json::to_writer(&mut self.file, &line)?;
        self.file.write_all(b"\n")
    }
}

#[cfg(test)]
mod tests;

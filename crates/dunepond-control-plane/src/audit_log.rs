//! The audit log: what this broker did, one JSON object a line, written by a thread of its own.
//!
//! Whoever acts never waits for the disk: records that find the queue full are dropped, and counted in the file.

use std::collections::BTreeMap;
use std::fmt;
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

/// Records that may wait for the disk.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// One line of the audit log. The JSON names are a stored form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Seconds on the monotonic clock.
    pub at: f64,
    /// Name of the broker.
    #[serde(rename = "brk")]
    pub broker: String,
    /// Which of the broker's runs wrote it.
    #[serde(rename = "run")]
    pub incarnation: u64,
    /// What was done.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// What a broker did, as far as an auditor judges it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "act", rename_all = "lowercase")]
pub enum AuditEvent {
    /// What it may act on from now on; once more with each lease.
    Phase {
        /// The phase.
        phase: AuditPhase,
        /// First version obeyed in it, 0 if none.
        from: u64,
        /// Last version obeyed in it, 0 if none.
        to: u64,
        /// End of the lease.
        until: f64,
    },
    /// A part's frame was handed to its connection.
    #[serde(rename = "dispatch")]
    AttemptSent {
        /// Of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Of the part.
        #[serde(rename = "seg")]
        segment_id: u64,
        /// To which node.
        node: String,
        /// Number of the attempt within its part.
        #[serde(rename = "shot")]
        attempt: u64,
        /// The part must not run twice.
        #[serde(rename = "once")]
        non_idempotent: bool,
        /// In which phase it was judged.
        phase: AuditPhase,
        /// Versions obeyed in that phase.
        #[serde(rename = "numbers")]
        versions: Vec<u64>,
    },
    /// A query was answered.
    Answer {
        /// Of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// HTTP status.
        status: u16,
        /// The answer was marked complete.
        #[serde(rename = "whole")]
        complete: bool,
        /// Segments whose parts are in it.
        #[serde(rename = "segs")]
        segments: Vec<u64>,
        /// Of the one map under which they cover all keys asked for.
        #[serde(rename = "epoch")]
        map_epoch: Option<u64>,
    },
    /// A query was rejected, or a part withheld, because of the agreed configuration.
    #[serde(rename = "refused")]
    Rejected {
        /// Of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Reason, for people.
        why: String,
    },
    /// A settlement was applied.
    #[serde(rename = "settle")]
    Settled {
        /// `FILL@BROKER`.
        id: String,
        /// Whose debt shrank.
        debtor: String,
        /// Towards whom.
        creditor: String,
        /// By how many bytes.
        bytes: u64,
        /// Version that the fill was for.
        number: u64,
    },
    /// A fill changed its state.
    Fill {
        /// `VERSION/SEGMENT/NODE`, with `+START` for fills of a broker's own.
        id: String,
        /// Segment to be filled.
        segment: u64,
        /// Node to be filled.
        holder: String,
        /// Node that it is filled from.
        source: String,
        /// Bytes to be copied.
        bytes: u64,
        /// `begun`, `done` or `failed`.
        state: String,
    },
    /// A version was proposed.
    Proposed {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// A version is in force.
    Confirmed {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// A proposed version was given up.
    Withdrawn {
        /// Its number.
        number: u64,
        /// Its digest.
        digest: String,
    },
    /// What it may use of shared quotas, in millionths of the whole: from this line on `floor` and, before `until`, `parts`
    /// beside it. Nothing before `from`, when what an earlier run used has left every window, nor where it is not
    /// `counted`. Once more with each lease.
    #[serde(rename = "share")]
    QuotaShare {
        /// Generation of the agreed division.
        generation: u64,
        /// The division counts this broker.
        counted: bool,
        /// Part that needs no lease.
        floor: u32,
        /// Leased parts by quota.
        parts: BTreeMap<String, u32>,
        /// When use may begin.
        from: f64,
        /// End of the lease.
        until: f64,
        /// Seconds over which use is counted.
        window: f64,
    },
    /// Records were dropped, as the queue to the disk was full.
    #[serde(rename = "lost")]
    RecordsLost {
        /// How many since the last such record.
        count: u64,
    },
}

/// A phase of the agreed configuration, as the audit log names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AuditPhase {
    /// Neither a lease nor a version is known.
    #[serde(rename = "none")]
    Unconfigured,
    /// The lease is valid, and one version applies.
    #[serde(rename = "alone")]
    Active,
    /// The lease is valid, and two versions apply: the stricter of both rules.
    #[serde(rename = "joint")]
    Joint,
    /// The lease has expired: the strictest of all rules that are known applies.
    #[serde(rename = "cut")]
    LeaseExpired,
}

/// The name in the program's log and counters, which operators and tests search for.
impl fmt::Display for AuditPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unconfigured => "None",
            Self::Active => "Alone",
            Self::Joint => "Joint",
            Self::LeaseExpired => "Cut",
        })
    }
}

/// Queues records; cheap to clone.
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

/// The file's thread; it ends when told to, or once all senders are dropped.
pub struct AuditLog {
    sender: Sender<Option<(f64, AuditEvent)>>,
    thread: JoinHandle<()>,
}

impl AuditLog {
    pub fn start(path: &Path, brk: &str, run: u64) -> Result<(AuditSender, Self), ControlPlaneError> {
        let failed = |why: &dyn fmt::Display| ControlPlaneError::AuditLog {
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
                outcome = self.write_record((monotonic_seconds(), AuditEvent::RecordsLost { count: lost }));
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
        let line = AuditRecord { at, broker: self.broker.clone(), incarnation: self.incarnation, event: act };
        serde_json::to_writer(&mut self.file, &line)?;
        self.file.write_all(b"\n")
    }
}

#[cfg(test)]
mod tests;

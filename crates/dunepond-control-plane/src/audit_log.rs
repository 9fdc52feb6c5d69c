//! The audit log: what this broker did, one JSON object a line, written by a thread of its own.
//!
//! No caller waits for the disk: records that find the queue full are dropped, and their number is recorded.

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

/// Events that may wait for the disk.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// One line of the audit log. Auditors read its JSON names, in files of earlier builds too.
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
    /// What the broker may act on from now on; recorded again with each lease.
    Phase {
        /// The phase.
        phase: AuditPhase,
        /// Lowest number of the versions that apply, 0 if none does.
        #[serde(rename = "from")]
        first_version: u64,
        /// Highest number of the versions that apply, 0 if none does.
        #[serde(rename = "to")]
        last_version: u64,
        /// In seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
    },
    /// A part's frame was handed to its connection.
    #[serde(rename = "dispatch")]
    AttemptSent {
        /// Id of the query.
        #[serde(rename = "call")]
        request_id: String,
        /// Segment of the part.
        #[serde(rename = "seg")]
        segment_id: u64,
        /// Node that it was sent to.
        node: String,
        /// Number of the attempt within its part.
        #[serde(rename = "shot")]
        attempt: u64,
        /// The part must not run twice.
        #[serde(rename = "once")]
        non_idempotent: bool,
        /// Phase in which it was allowed.
        phase: AuditPhase,
        /// Versions that applied.
        #[serde(rename = "numbers")]
        versions: Vec<u64>,
    },
    /// A query was answered.
    Answer {
        /// Id of the query.
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
        /// Epoch of the one map under which they cover all keys asked for.
        #[serde(rename = "epoch")]
        map_epoch: Option<u64>,
    },
    /// A query was rejected, or a part withheld, because of the agreed configuration.
    #[serde(rename = "refused")]
    Rejected {
        /// Id of the query.
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
        /// Partner whose debt shrank.
        debtor: String,
        /// Partner to whom it owes less.
        creditor: String,
        /// Amount that was paid off.
        bytes: u64,
        /// Number of the version that the fill was for.
        number: u64,
    },
    /// A fill changed its state.
    Fill {
        /// `VERSION/SEGMENT/NODE`, with `+INCARNATION` of the node for fills of a broker's own.
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
    /// What the broker may use of shared quotas, in units (millionths of the whole): from this record on the floor and, until
    /// the lease ends, the leased parts. Nothing before `usable_from`, when what an earlier run used has left every window,
    /// nor where it is not `admitted`. Recorded again with each lease.
    #[serde(rename = "share")]
    QuotaShare {
        /// Generation of the agreed allocation.
        generation: u64,
        /// The allocation counts this broker.
        #[serde(rename = "counted")]
        admitted: bool,
        /// Units that need no lease.
        #[serde(rename = "floor")]
        floor_units: u32,
        /// Leased units by quota.
        #[serde(rename = "parts")]
        leased_units: BTreeMap<String, u32>,
        /// When use may begin, in seconds on the monotonic clock.
        #[serde(rename = "from")]
        usable_from: f64,
        /// In seconds on the monotonic clock.
        #[serde(rename = "until")]
        lease_expires_at: f64,
        /// Seconds over which use is counted.
        #[serde(rename = "window")]
        window_seconds: f64,
    },
    /// Records were dropped, as the queue to the disk was full.
    #[serde(rename = "lost")]
    RecordsLost {
        /// Records dropped since the last such event.
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

/// A message to the writer's thread.
enum WriterMessage {
    Record { at: f64, event: AuditEvent },
    Finish,
}

/// Queues events for the audit log; cheap to clone.
#[derive(Clone)]
pub struct AuditSender {
    messages: Sender<WriterMessage>,
    /// Events that found the queue full or the disk failing, and are not recorded as lost yet.
    lost: Arc<AtomicU64>,
}

impl AuditSender {
    /// Records an event of this moment.
    pub fn record(&self, event: AuditEvent) {
        self.record_at(monotonic_seconds(), event);
    }

    /// Records an event at `at`, in seconds on the monotonic clock.
    pub fn record_at(&self, at: f64, event: AuditEvent) {
        if self.messages.try_send(WriterMessage::Record { at, event }).is_err() {
            self.lost.fetch_add(1, Relaxed);
        }
    }
}

/// The writer's thread; it ends with [`AuditLog::finish`], or once all senders are dropped.
pub struct AuditLog {
    messages: Sender<WriterMessage>,
    thread: JoinHandle<()>,
}

impl AuditLog {
    /// Opens the file, to append to it, and starts the thread.
    pub fn start(
        path: &Path,
        broker: &str,
        incarnation: u64,
    ) -> Result<(AuditSender, Self), ControlPlaneError> {
        let failed =
            |e: std::io::Error| ControlPlaneError::AuditLog { path: path.to_path_buf(), why: e.to_string() };
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(failed)?;
        let (messages, queue) = bounded(MAX_QUEUED_EVENTS);
        let lost = Arc::new(AtomicU64::new(0));
        let writer = AuditWriter {
            file: BufWriter::new(file),
            broker: broker.to_string(),
            incarnation,
            lost: lost.clone(),
        };
        let thread = std::thread::Builder::new().name("record".to_string());
        let thread = thread.spawn(move || writer.run(&queue)).map_err(failed)?;
        Ok((AuditSender { messages: messages.clone(), lost }, Self { messages, thread }))
    }

    /// Waits until everything recorded so far is in the file; later events are lost.
    pub fn finish(self) {
        let _ = self.messages.send_timeout(WriterMessage::Finish, crate::startup::SHUTDOWN_TIMEOUT);
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
    fn run(mut self, queue: &Receiver<WriterMessage>) {
        let (mut failing, mut finished) = (false, false);
        while !finished && let Ok(first) = queue.recv() {
            let mut next = Some(first);
            let mut outcome = Ok(());
            // Everything that is waiting is written before one flush.
            while let Some(message) = next.take() {
                match message {
                    WriterMessage::Record { at, event } if outcome.is_ok() => {
                        outcome = self.write_record(at, event);
                    }
                    WriterMessage::Record { .. } => drop(self.lost.fetch_add(1, Relaxed)),
                    WriterMessage::Finish => finished = true,
                }
                next = queue.try_recv().ok();
            }
            let count = self.lost.swap(0, Relaxed);
            if count > 0 && outcome.is_ok() {
                outcome = self.write_record(monotonic_seconds(), AuditEvent::RecordsLost { count });
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

    fn write_record(&mut self, at: f64, event: AuditEvent) -> std::io::Result<()> {
        let record = AuditRecord { at, broker: self.broker.clone(), incarnation: self.incarnation, event };
        serde_json::to_writer(&mut self.file, &record)?;
        self.file.write_all(b"\n")
    }
}

#[cfg(test)]
mod tests;

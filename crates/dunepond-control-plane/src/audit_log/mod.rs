//! The audit log: what this broker did, one JSON object a line, written by a thread of its own.
//!
//! No caller waits for the disk: records that find the queue full are dropped, and their number is recorded.

mod event;

use std::fs::{File, OpenOptions};
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::thread::JoinHandle;

use crossbeam_channel::{Receiver, Sender, bounded};
use tracing::error;

use crate::clock::monotonic_seconds;
use crate::error::ControlPlaneError;
pub use event::{AuditEvent, AuditPhase, AuditRecord};

/// Events that may wait for the disk.
const MAX_QUEUED_EVENTS: usize = 65_536;

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

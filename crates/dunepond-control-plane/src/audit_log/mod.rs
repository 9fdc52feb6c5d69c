//! The audit log: a file of this broker's actions with one JSON object per line, written by a dedicated thread.
//!
//! Callers never wait for the disk. If the queue to the thread is full, records are dropped, and the number of lost
//! records is recorded later.

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

/// Maximum number of events in the queue to the writer's thread.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// A message to the writer's thread.
enum WriterMessage {
    /// Write a record of an event that occurred at `at`, in seconds on the monotonic clock.
    Record { at: f64, event: AuditEvent },
    /// Write the records that are queued, then end the thread.
    Finish,
}

/// Queues events for the audit log; cheap to clone.
#[derive(Clone)]
pub struct AuditSender {
    messages: Sender<WriterMessage>,
    /// Number of events that were lost, because the queue was full or a write failed, since the last `RecordsLost`
    /// event.
    lost: Arc<AtomicU64>,
}

impl AuditSender {
    /// Records an event that occurs now.
    pub fn record(&self, event: AuditEvent) {
        self.record_at(monotonic_seconds(), event);
    }

    /// Records an event that occurred at `at`, in seconds on the monotonic clock.
    pub fn record_at(&self, at: f64, event: AuditEvent) {
        if self.messages.try_send(WriterMessage::Record { at, event }).is_err() {
            self.lost.fetch_add(1, Relaxed);
        }
    }
}

/// Handle to the writer's thread, which ends after [`AuditLog::finish`] or once all senders are dropped.
pub struct AuditLog {
    messages: Sender<WriterMessage>,
    thread: JoinHandle<()>,
}

impl AuditLog {
    /// Opens the file for appending and starts the writer's thread.
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

    /// Waits, with a timeout, until all records that were queued before this call are in the file. Events that are
    /// recorded after this call are lost.
    pub fn finish(self) {
        let _ = self.messages.send_timeout(WriterMessage::Finish, crate::startup::SHUTDOWN_TIMEOUT);
        crate::startup::join_with_timeout(self.thread);
    }
}

/// The state of the writer's thread.
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
            // All queued records are written before a single flush.
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
                error!("fleet: audit log: {e}; records are lost until the file can be written again");
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

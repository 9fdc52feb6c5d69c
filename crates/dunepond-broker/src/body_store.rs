//! Holds the bodies of streamed requests. The body buffer decides whether a body is kept in memory, written to a file
//! or passed through; this module carries that out with the disk threads.

use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};

use dunepond_body_buffer::{
    BodyId, BufferLimits, BufferManager, DiskEvent, DiskFault, DiskJob, FallbackCount, FallbackReason,
    IncomingBody, OtherUsage, Placement, Spool, Tier,
};
use tracing::info;

use crate::body::{BLOCK_BYTES, Body, DroppedBodies};

/// A change in the state of a body, for the query that waits for it.
#[derive(Debug)]
pub enum BodyEvent {
    /// The whole body has arrived and is buffered, so that its query may start.
    Buffered,
    /// The body is not buffered, for the given reason, and is sent on as it arrives.
    PassThrough(FallbackReason),
    /// The body was rejected or cannot be read any more, for the given reason.
    Lost(FallbackReason),
}

/// A body and its pending disk operations.
struct TrackedBody {
    body: Weak<Body>,
    query_class: usize,
    tier: Tier,
    /// Whether the body is being moved from memory to its file.
    is_spilling: bool,
    /// Whether the query waits until the body is buffered.
    awaiting_buffering: bool,
    /// Number of bytes that are being written.
    writing_bytes: u64,
    /// Number of blocks that are being read.
    pending_reads: usize,
    /// When the body's most recent disk operation completed or, before that, when the first pending one was
    /// submitted, in Unix seconds; `None` while no operation is pending.
    io_pending_since: Option<f64>,
    /// Whether some of the body has been handed to the disk threads.
    has_file: bool,
}

/// All bodies of streamed requests.
pub struct BodyStore {
    manager: BufferManager,
    spool: Option<Spool>,
    tracked: HashMap<BodyId, TrackedBody>,
    dropped: DroppedBodies,
    /// Bodies whose blocks did not fit into the queue of the disk threads; tried again after the next disk operation.
    awaiting_disk: Vec<BodyId>,
    query_classes: Vec<String>,
    /// Events that have not been handled yet, each with the id of its body, oldest first.
    pub events: VecDeque<(BodyId, BodyEvent)>,
    /// Whether a timer is set for the next check for overdue disk operations.
    pub io_check_scheduled: bool,
    /// Whether a body has made progress since `pump_bodies` last ran, so that more of it may be sent on or received.
    pub made_progress: bool,
}

impl BodyStore {
    /// Creates a store without bodies. Without `spool` no body is written to a file.
    /// `max_body_bytes` is what bodies may take of the process's memory, whatever the limits allow.
    pub fn new(
        limits: BufferLimits,
        max_body_bytes: u64,
        spool: Option<Spool>,
        query_classes: Vec<String>,
    ) -> Self {
        let mut manager = BufferManager::new(limits);
        manager.set_max_total_body_bytes(max_body_bytes);
        Self {
            manager,
            spool,
            tracked: HashMap::new(),
            dropped: DroppedBodies::default(),
            awaiting_disk: Vec::new(),
            query_classes,
            events: VecDeque::new(),
            io_check_scheduled: false,
            made_progress: false,
        }
    }

    /// Returns the current limits on the memory and files of bodies.
    pub fn limits(&self) -> &BufferLimits {
        self.manager.limits()
    }

    /// Changes the limits on the memory and files of bodies. The limits for files are ignored if there are no disk
    /// threads.
    pub fn reconfigure(&mut self, mut limits: BufferLimits) {
        if self.spool.is_none() {
            limits.spill = None;
        }
        self.manager.set_limits(limits);
    }

    /// Returns whether there are any bodies.
    pub fn is_tracking_any(&self) -> bool {
        !self.tracked.is_empty()
    }

    /// Accepts a body that begins to arrive, or fails with the reason why it is rejected. If the body is not buffered, a
    /// `PassThrough` event is queued at once.
    pub fn accept(&mut self, now: f64, incoming: IncomingBody) -> Result<Rc<Body>, FallbackReason> {
        let admitted = self.manager.admit(now, incoming);
        let Placement { id, tier, fallback_reason: reason } =
            admitted.inspect_err(|reason| self.log_placement("rejected", incoming.query_class, *reason))?;
        let reserved = tier == Tier::Memory && incoming.stated_length.is_some();
        let limit = (!reserved).then_some(self.limits().window_bytes);
        let body = Body::new(id, incoming.stated_length, limit, &self.dropped);
        let tracked = TrackedBody {
            body: Rc::downgrade(&body),
            query_class: incoming.query_class,
            tier,
            is_spilling: false,
            awaiting_buffering: tier != Tier::PassThrough,
            writing_bytes: 0,
            pending_reads: 0,
            io_pending_since: None,
            has_file: false,
        };
        self.tracked.insert(id, tracked);
        if let Some(reason) = reason {
            self.log_placement(
                if tier == Tier::File { "not in memory" } else { "not buffered" },
                incoming.query_class,
                reason,
            );
            if tier == Tier::PassThrough {
                body.set_pass_through();
                self.events.push_back((id, BodyEvent::PassThrough(reason)));
            }
        }
        Ok(body)
    }

    /// Logs that a body was rejected or lost, or that it is kept elsewhere than preferred, such as in a file instead
    /// of in memory. The logger limits the rate of such lines.
    fn log_placement(&self, placement: &str, query_class: usize, reason: FallbackReason) {
        let name = self.query_classes.get(query_class).map_or("?", String::as_str);
        info!(table_type = name, reason = %reason, "body {placement}");
    }

    /// Buffers, writes or completes a body as far as possible, after more of it has arrived or some of it has been
    /// written.
    pub fn advance(&mut self, now: f64, id: BodyId) {
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        let Some(body) = tracked.body.upgrade() else { return };
        if !body.has_known_length() && tracked.tier != Tier::PassThrough && tracked.awaiting_buffering {
            match self.manager.grow(now, id, body.received_bytes()) {
                Ok(tier) if tier != tracked.tier => {
                    tracked.tier = tier;
                    body.set_memory_limit(self.manager.limits().window_bytes);
                }
                // Sets the memory limit to at least one block more than has arrived. With a lower limit no more bytes
                // would be received, and the reservation grows only when bytes arrive.
                Ok(Tier::Memory) => body.set_memory_limit(
                    self.manager.reserved_memory(id).max(body.received_bytes() + BLOCK_BYTES as u64),
                ),
                Ok(_) => {}
                Err(reason) => {
                    tracked.awaiting_buffering = false;
                    let query_class = tracked.query_class;
                    self.log_placement("rejected", query_class, reason);
                    return self.events.push_back((id, BodyEvent::Lost(reason)));
                }
            }
        }
        if (tracked.tier == Tier::File || tracked.is_spilling) && !self.submit_writes(now, id, &body) {
            return;
        }
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        if tracked.awaiting_buffering
            && body.is_complete()
            && (tracked.tier == Tier::Memory || body.is_on_disk())
        {
            tracked.awaiting_buffering = false;
            self.manager.complete(now, id);
            self.events.push_back((id, BodyEvent::Buffered));
            self.spill_least_recently_used(now);
        } else if tracked.is_spilling && body.is_on_disk() {
            (tracked.is_spilling, tracked.tier) = (false, Tier::File);
            self.manager.finish_spill(id);
        }
    }

    /// Hands blocks of a body to the disk threads, until the blocks being written reach the window size. Returns
    /// `false` only after a disk fault: this function calls `on_disk_fault` if the disk threads accept no block, no
    /// write of the body is pending and the body cannot stay in memory.
    fn submit_writes(&mut self, now: f64, id: BodyId, body: &Rc<Body>) -> bool {
        let window = self.limits().window_bytes;
        let (Some(spool), Some(tracked)) = (&self.spool, self.tracked.get_mut(&id)) else { return true };
        while tracked.writing_bytes < window
            && let Some((offset, bytes)) = body.next_write()
        {
            let length = bytes.len() as u64;
            if spool.submit(DiskJob::Write { file: id, offset, bytes }).is_err() {
                body.unsubmit_block(offset);
                // If writes are pending or the body may stay in memory, writing continues after the next disk
                // operation has completed.
                if tracked.writing_bytes == 0 && !tracked.is_spilling {
                    self.on_disk_fault(now, id, DiskFault::Busy);
                    return false;
                }
                self.awaiting_disk.push(id);
                return true;
            }
            tracked.has_file = true;
            tracked.writing_bytes += length;
            tracked.io_pending_since.get_or_insert(now);
        }
        true
    }

    /// Under memory pressure, moves the least recently used bodies to files.
    fn spill_least_recently_used(&mut self, now: f64) {
        for id in self.manager.start_spills(now) {
            if let Some(tracked) = self.tracked.get_mut(&id) {
                tracked.is_spilling = true;
                self.advance(now, id);
            }
        }
    }

    /// Handles the end of a disk operation.
    pub fn on_disk_done(&mut self, now: f64, event: DiskEvent) {
        self.made_progress = true;
        for id in std::mem::take(&mut self.awaiting_disk) {
            self.advance(now, id);
        }
        let (DiskEvent::Written { file: id, .. }
        | DiskEvent::Read { file: id, .. }
        | DiskEvent::Failed { file: id, .. }) = event;
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        let Some(body) = tracked.body.upgrade() else { return };
        match event {
            DiskEvent::Written { offset, length, .. } => {
                tracked.writing_bytes = tracked.writing_bytes.saturating_sub(length as u64);
                tracked.io_pending_since =
                    (tracked.writing_bytes > 0 || tracked.pending_reads > 0).then_some(now);
                body.on_block_written(offset);
                self.advance(now, id);
            }
            DiskEvent::Read { offset, bytes, .. } => {
                tracked.pending_reads = tracked.pending_reads.saturating_sub(1);
                tracked.io_pending_since =
                    (tracked.writing_bytes > 0 || tracked.pending_reads > 0).then_some(now);
                body.on_block_read(offset, bytes);
            }
            // If several pending writes fail, only the first failure is handled, which resets `writing_bytes`.
            DiskEvent::Failed { fault, .. }
                if fault != DiskFault::Unreadable && tracked.writing_bytes == 0 => {}
            DiskEvent::Failed { fault, .. } => self.on_disk_fault(now, id, fault),
        }
    }

    /// Handles a failed disk operation: the body stays in memory, is passed through, or is lost.
    fn on_disk_fault(&mut self, now: f64, id: BodyId, fault: DiskFault) {
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        let Some(body) = tracked.body.upgrade() else { return };
        if body.loss().is_some() {
            return;
        }
        (tracked.writing_bytes, tracked.pending_reads, tracked.io_pending_since) = (0, 0, None);
        let query_class = tracked.query_class;
        let outcome = self.manager.on_disk_fault(now, id, fault);
        body.unsubmit_unwritten();
        // A body that cannot be read from its file is lost, whatever the body buffer has decided.
        match outcome.and_then(|tier| {
            if fault == DiskFault::Unreadable { Err(FallbackReason::Disk(fault)) } else { Ok(tier) }
        }) {
            Ok(Tier::Memory) => {
                tracked.is_spilling = false;
                self.log_placement("stays in memory", query_class, FallbackReason::Disk(fault));
            }
            Ok(tier) => {
                (tracked.tier, tracked.awaiting_buffering) = (tier, false);
                body.set_pass_through();
                self.log_placement("not buffered", query_class, FallbackReason::Disk(fault));
                self.events.push_back((id, BodyEvent::PassThrough(FallbackReason::Disk(fault))));
            }
            Err(reason) => {
                (tracked.tier, tracked.awaiting_buffering) = (Tier::PassThrough, false);
                body.mark_lost(reason);
                self.log_placement("lost", query_class, reason);
                self.events.push_back((id, BodyEvent::Lost(reason)));
            }
        }
    }

    /// Has the disk threads read the blocks that readers wait for.
    pub fn submit_reads(&mut self, now: f64) {
        let Some(spool) = &self.spool else { return };
        for (id, tracked) in &mut self.tracked {
            let Some(body) = tracked.body.upgrade().filter(|body| body.has_pending_reads()) else { continue };
            let window = self.manager.limits().window_bytes.saturating_sub(body.unwritten_bytes());
            // If the queue is full, a disk operation is pending. `submit_reads` is called again after that operation.
            if !spool.has_room() {
                return;
            }
            for (offset, length) in body.next_reads(window as usize / BLOCK_BYTES) {
                spool.submit_unbounded(DiskJob::Read { file: *id, offset, length });
                tracked.pending_reads += 1;
                tracked.io_pending_since.get_or_insert(now);
            }
        }
    }

    /// Treats overdue disk operations as failed.
    pub fn fail_overdue(&mut self, now: f64) {
        let timeout = self.limits().io_timeout_seconds;
        let overdue = self
            .tracked
            .iter()
            .filter(|(_, tracked)| tracked.io_pending_since.is_some_and(|since| now - since >= timeout));
        let overdue: Vec<_> = overdue.map(|(id, tracked)| (*id, tracked.writing_bytes > 0)).collect();
        for (id, is_writing) in overdue {
            self.on_disk_fault(now, id, if is_writing { DiskFault::Slow } else { DiskFault::Unreadable });
        }
    }

    /// Forgets the bodies that were dropped and closes their files. Returns their ids.
    pub fn release_dropped(&mut self) -> Vec<BodyId> {
        let dropped = self.dropped.take();
        for &id in &dropped {
            self.manager.release(id);
            if let Some(tracked) = self.tracked.remove(&id)
                && tracked.has_file
                && let Some(spool) = &self.spool
            {
                spool.submit_unbounded(DiskJob::Close { file: id });
            }
        }
        dropped
    }

    /// Marks a body as recently used, because an attempt reads it.
    pub fn mark_used(&mut self, now: f64, id: BodyId) {
        self.manager.touch(now, id);
    }

    /// Records the memory that requests use besides bodies, in bytes: for read and write `buffers`, and for the
    /// answers that nodes returned (`values`).
    pub fn record_other_memory(&mut self, buffers: u64, values: u64) {
        self.manager.set_other_usage(OtherUsage::Buffers, buffers);
        self.manager.set_other_usage(OtherUsage::NodeValues, values);
        let pending = self.spool.as_ref().map_or(0, Spool::pending_write_bytes);
        let counted =
            if pending > 0 { self.tracked.values().map(|tracked| tracked.writing_bytes).sum() } else { 0 };
        self.manager.set_other_usage(OtherUsage::PendingWrites, pending.saturating_sub(counted));
    }

    /// Logs counters: the memory and files in use, and how often a body could not be kept in a tier (memory, file or
    /// pass-through), by tier, reason and query class. `copied_bytes` is the number of payload bytes copied into
    /// frames.
    pub fn log_counters(&self, copied_bytes: u64) {
        let usage = self.manager.usage();
        let counts =
            self.manager.fallback_counts().map(|FallbackCount { tier, reason, query_class, count }| {
                let name = self.query_classes.get(query_class).map_or("?", String::as_str);
                let tier = match tier {
                    Tier::Memory => "memory",
                    Tier::File => "file",
                    Tier::PassThrough => "taken",
                };
                format!("not {tier}, {name}, {reason}: {count}")
            });
        let counts = counts.collect::<Vec<_>>().join("; ");
        info!(
            bodies = usage.bodies,
            kept = usage.body_memory_bytes,
            memory = usage.memory_bytes,
            files = usage.spill_bytes,
            peak = usage.peak_memory_bytes,
            copied_into_frames = copied_bytes,
            counts,
            "counters"
        );
    }
}

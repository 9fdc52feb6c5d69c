//! The bodies of streamed requests: carries out what the body buffer decides (memory, file, pass-through) with the disk threads.

use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};

use dunepond_body_buffer::{
    BodyId, BufferLimits, BufferManager, DiskEvent, DiskFault, DiskJob, FallbackCount, FallbackReason,
    IncomingBody, OtherUsage, Placement, Spool, Tier,
};
use tracing::info;

use crate::body::{BLOCK_BYTES, Body, DroppedBodies};

/// What has become of a body, for the query that waits for it.
#[derive(Debug)]
pub enum BodyEvent {
    /// All of it has arrived and is buffered: its query may start.
    Buffered,
    /// It is sent on as it arrives, and not buffered for the given reason.
    PassThrough(FallbackReason),
    /// It was rejected, or cannot be read any more.
    Lost(FallbackReason),
}

/// A body and the disk operations for it.
struct TrackedBody {
    body: Weak<Body>,
    query_class: usize,
    tier: Tier,
    /// It is being moved from memory to its file.
    is_spilling: bool,
    /// Its query waits until it is buffered.
    awaiting_client: bool,
    /// Bytes that are being written.
    writing_bytes: u64,
    /// Blocks that are being read.
    pending_reads: usize,
    /// When the last disk operation was done or the first one began, while any is pending.
    io_pending_since: Option<f64>,
    /// Something of it has been handed to the disk.
    has_file: bool,
}

/// All bodies of streamed requests.
pub struct BodyStore {
    manager: BufferManager,
    spool: Option<Spool>,
    tracked: HashMap<BodyId, TrackedBody>,
    dropped: DroppedBodies,
    /// Bodies for which the queue of the disk threads had no room.
    awaiting_disk: Vec<BodyId>,
    query_classes: Vec<String>,
    /// What has become of bodies, not yet handled.
    pub events: VecDeque<(BodyId, BodyEvent)>,
    /// A timer is set for the next check of overdue disk operations.
    pub check_scheduled: bool,
    /// More of some body can be sent on, or received, than before.
    pub made_progress: bool,
}

impl BodyStore {
    /// No bodies yet; without `spool` no body goes to a file.
    pub fn new(limits: BufferLimits, spool: Option<Spool>, query_classes: Vec<String>) -> Self {
        Self {
            manager: BufferManager::new(limits),
            spool,
            tracked: HashMap::new(),
            dropped: DroppedBodies::default(),
            awaiting_disk: Vec::new(),
            query_classes,
            events: VecDeque::new(),
            check_scheduled: false,
            made_progress: false,
        }
    }

    /// The bounds in force.
    pub fn limits(&self) -> &BufferLimits {
        self.manager.limits()
    }

    /// Changes the bounds; those for files need the disk threads.
    pub fn reconfigure(&mut self, mut limits: BufferLimits) {
        if self.spool.is_none() {
            limits.spill = None;
        }
        self.manager.set_limits(limits);
    }

    /// Whether there are any bodies.
    pub fn is_tracking_any(&self) -> bool {
        !self.tracked.is_empty()
    }

    /// Accepts a body that begins to arrive. One that is not buffered has its event at once; fails if it is rejected.
    pub fn accept(&mut self, now: f64, arrival: IncomingBody) -> Result<Rc<Body>, FallbackReason> {
        let submitted = self.manager.admit(now, arrival);
        let Placement { id, tier, fallback_reason: reason } =
            submitted.inspect_err(|reason| self.log_placement("rejected", arrival.query_class, *reason))?;
        let reserved = tier == Tier::Memory && arrival.stated_length.is_some();
        let limit = (!reserved).then_some(self.limits().window_bytes);
        let body = Body::new(id, arrival.stated_length, limit, &self.dropped);
        let tracked = TrackedBody {
            body: Rc::downgrade(&body),
            query_class: arrival.query_class,
            tier,
            is_spilling: false,
            awaiting_client: tier != Tier::PassThrough,
            writing_bytes: 0,
            pending_reads: 0,
            io_pending_since: None,
            has_file: false,
        };
        self.tracked.insert(id, tracked);
        if let Some(reason) = reason {
            self.log_placement(
                if tier == Tier::File { "not in memory" } else { "not buffered" },
                arrival.query_class,
                reason,
            );
            if tier == Tier::PassThrough {
                body.set_pass_through();
                self.events.push_back((id, BodyEvent::PassThrough(reason)));
            }
        }
        Ok(body)
    }

    /// Logs a body that is not in the preferred place; the logger limits the rate of such lines.
    fn log_placement(&self, what: &str, query_class: usize, reason: FallbackReason) {
        let name = self.query_classes.get(query_class).map_or("?", String::as_str);
        info!(table_type = name, reason = %reason, "body {what}");
    }

    /// More of a body has arrived, or something of it has been written: takes its next step.
    pub fn advance(&mut self, now: f64, id: BodyId) {
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        let Some(body) = tracked.body.upgrade() else { return };
        if !body.has_known_length() && tracked.tier != Tier::PassThrough && tracked.awaiting_client {
            match self.manager.grow(now, id, body.received_bytes()) {
                Ok(tier) if tier != tracked.tier => {
                    tracked.tier = tier;
                    body.set_memory_limit(self.manager.limits().window_bytes);
                }
                // One block more than is reserved, or nothing would arrive that could grow the reservation.
                Ok(Tier::Memory) => body.set_memory_limit(
                    self.manager.reserved_memory(id).max(body.received_bytes() + BLOCK_BYTES as u64),
                ),
                Ok(_) => {}
                Err(reason) => {
                    tracked.awaiting_client = false;
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
        if tracked.awaiting_client
            && body.is_complete()
            && (tracked.tier == Tier::Memory || body.is_on_disk())
        {
            tracked.awaiting_client = false;
            self.manager.complete(now, id);
            self.events.push_back((id, BodyEvent::Buffered));
            self.spill_coldest(now);
        } else if tracked.is_spilling && body.is_on_disk() {
            (tracked.is_spilling, tracked.tier) = (false, Tier::File);
            self.manager.finish_spill(id);
        }
    }

    /// Hands blocks to the disk threads, within the window; false if that has failed.
    fn submit_writes(&mut self, now: f64, id: BodyId, body: &Rc<Body>) -> bool {
        let window = self.limits().window_bytes;
        let (Some(spool), Some(tracked)) = (&self.spool, self.tracked.get_mut(&id)) else { return true };
        while tracked.writing_bytes < window
            && let Some((at, bytes)) = body.next_write()
        {
            let length = bytes.len() as u64;
            if spool.submit(DiskJob::Write { file: id, offset: at, bytes }).is_err() {
                body.unsubmit_block(at);
                // With writes pending, or where it may stay in memory, it goes on after the next disk operation.
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

    /// Under memory pressure the coldest bodies go to files.
    fn spill_coldest(&mut self, now: f64) {
        for id in self.manager.start_spills(now) {
            if let Some(tracked) = self.tracked.get_mut(&id) {
                tracked.is_spilling = true;
                self.advance(now, id);
            }
        }
    }

    /// A disk operation is done.
    pub fn on_disk_done(&mut self, now: f64, done: DiskEvent) {
        self.made_progress = true;
        for id in std::mem::take(&mut self.awaiting_disk) {
            self.advance(now, id);
        }
        let (DiskEvent::Written { file: id, .. }
        | DiskEvent::Read { file: id, .. }
        | DiskEvent::Failed { file: id, .. }) = done;
        let Some(tracked) = self.tracked.get_mut(&id) else { return };
        let Some(body) = tracked.body.upgrade() else { return };
        match done {
            DiskEvent::Written { offset: at, length, .. } => {
                tracked.writing_bytes = tracked.writing_bytes.saturating_sub(length as u64);
                tracked.io_pending_since =
                    (tracked.writing_bytes > 0 || tracked.pending_reads > 0).then_some(now);
                body.on_block_written(at);
                self.advance(now, id);
            }
            DiskEvent::Read { offset: at, bytes, .. } => {
                tracked.pending_reads = tracked.pending_reads.saturating_sub(1);
                tracked.io_pending_since =
                    (tracked.writing_bytes > 0 || tracked.pending_reads > 0).then_some(now);
                body.on_block_read(at, bytes);
            }
            // Several pending writes may fail: only the first failure counts.
            DiskEvent::Failed { fault, .. }
                if fault != DiskFault::Unreadable && tracked.writing_bytes == 0 => {}
            DiskEvent::Failed { fault, .. } => self.on_disk_fault(now, id, fault),
        }
    }

    /// A disk operation has failed: the body stays in memory, is passed through, or is lost.
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
        // A body that cannot be read from its file is lost, wherever it would go next.
        match outcome.and_then(|to| {
            if fault == DiskFault::Unreadable { Err(FallbackReason::Disk(fault)) } else { Ok(to) }
        }) {
            Ok(Tier::Memory) => {
                tracked.is_spilling = false;
                self.log_placement("stays in memory", query_class, FallbackReason::Disk(fault));
            }
            Ok(tier) => {
                (tracked.tier, tracked.awaiting_client) = (tier, false);
                body.set_pass_through();
                self.log_placement("not buffered", query_class, FallbackReason::Disk(fault));
                self.events.push_back((id, BodyEvent::PassThrough(FallbackReason::Disk(fault))));
            }
            Err(reason) => {
                (tracked.tier, tracked.awaiting_client) = (Tier::PassThrough, false);
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
            // With a full queue an operation is pending, after which this is called again.
            if !spool.has_room() {
                return;
            }
            for (at, length) in body.next_reads(window as usize / BLOCK_BYTES) {
                spool.submit_unbounded(DiskJob::Read { file: *id, offset: at, length });
                tracked.pending_reads += 1;
                tracked.io_pending_since.get_or_insert(now);
            }
        }
    }

    /// Disk operations that are overdue count as failed.
    pub fn fail_overdue(&mut self, now: f64) {
        let slowest = self.limits().io_timeout_seconds;
        let late = self
            .tracked
            .iter()
            .filter(|(_, tracked)| tracked.io_pending_since.is_some_and(|since| now - since >= slowest));
        let late: Vec<_> = late.map(|(id, tracked)| (*id, tracked.writing_bytes > 0)).collect();
        for (id, writing_bytes) in late {
            self.on_disk_fault(now, id, if writing_bytes { DiskFault::Slow } else { DiskFault::Unreadable });
        }
    }

    /// Forgets the dropped bodies and closes their files; returns their ids.
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

    /// An attempt reads a body: it counts as recently used.
    pub fn mark_used(&mut self, now: f64, id: BodyId) {
        self.manager.touch(now, id);
    }

    /// Records what else requests use of the memory, in bytes.
    pub fn record_other_memory(&mut self, buffers: u64, values: u64) {
        self.manager.set_other_usage(OtherUsage::Buffers, buffers);
        self.manager.set_other_usage(OtherUsage::NodeValues, values);
        let waiting = self.spool.as_ref().map_or(0, Spool::pending_write_bytes);
        let counted =
            if waiting > 0 { self.tracked.values().map(|tracked| tracked.writing_bytes).sum() } else { 0 };
        self.manager.set_other_usage(OtherUsage::PendingWrites, waiting.saturating_sub(counted));
    }

    /// Logs counters: what is held, and how often a body was not buffered, by place, reason and query class.
    pub fn log_counters(&self, copied: u64) {
        let holding = self.manager.usage();
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
            bodies = holding.bodies,
            kept = holding.body_memory_bytes,
            memory = holding.memory_bytes,
            files = holding.spill_bytes,
            peak = holding.peak_memory_bytes,
            copied_into_frames = copied,
            counts,
            "counters"
        );
    }
}

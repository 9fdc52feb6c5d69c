//! The bodies of streamed requests: carries out what the body buffer decides (memory, file, pass-through) with the disk threads.

use std::collections::{HashMap, VecDeque};
use std::rc::{Rc, Weak};

use dunepond_body_buffer::{
    BodyId, BufferLimits, BufferManager, DiskEvent, DiskFault, DiskJob, FallbackCount, FallbackReason,
    IncomingBody, OtherUsage, Placement, Spool, Tier,
};
use tracing::info;

use crate::body::{BLOCK_BYTES, Body, Dropped};

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
    table_type: usize,
    place: Tier,
    /// It is being moved from memory to its file.
    moving: bool,
    /// Its query waits until it is buffered.
    awaiting_client: bool,
    /// Bytes that are being written.
    writing_bytes: u64,
    /// Blocks that are being read.
    pending_reads: usize,
    /// When the last disk operation was done or the first one began, while any is pending.
    since: Option<f64>,
    /// Something of it has been handed to the disk.
    on_disk: bool,
}

/// All bodies of streamed requests.
pub struct BodyStore {
    keeper: BufferManager,
    spool: Option<Spool>,
    held: HashMap<BodyId, TrackedBody>,
    dropped: Dropped,
    /// Bodies for which the queue of the disk threads had no room.
    waiting: Vec<BodyId>,
    table_types: Vec<String>,
    /// What has become of bodies, not yet handled.
    pub events: VecDeque<(BodyId, BodyEvent)>,
    /// A timer is set for the next check of overdue disk operations.
    pub check_scheduled: bool,
    /// More of some body can be sent on, or received, than before.
    pub made_progress: bool,
}

impl BodyStore {
    /// No bodies yet; without `spool` no body goes to a file.
    pub fn new(terms: BufferLimits, spool: Option<Spool>, table_types: Vec<String>) -> Self {
        Self {
            keeper: BufferManager::new(terms),
            spool,
            held: HashMap::new(),
            dropped: Dropped::default(),
            waiting: Vec::new(),
            table_types,
            events: VecDeque::new(),
            check_scheduled: false,
            made_progress: false,
        }
    }

    /// The bounds in force.
    pub fn terms(&self) -> &BufferLimits {
        self.keeper.limits()
    }

    /// Changes the bounds; those for files need the disk threads.
    pub fn change(&mut self, mut terms: BufferLimits) {
        if self.spool.is_none() {
            terms.spill = None;
        }
        self.keeper.set_limits(terms);
    }

    /// Whether there are any bodies.
    pub fn any(&self) -> bool {
        !self.held.is_empty()
    }

    /// Accepts a body that begins to arrive. One that is not buffered has its event at once; fails if it is rejected.
    pub fn arrive(&mut self, now: f64, arrival: IncomingBody) -> Result<Rc<Body>, FallbackReason> {
        let submitted = self.keeper.admit(now, arrival);
        let Placement { id, tier: place, fallback_reason: why } =
            submitted.inspect_err(|why| self.tell("rejected", arrival.query_class, *why))?;
        let reserved = place == Tier::Memory && arrival.stated_length.is_some();
        let limit = (!reserved).then_some(self.terms().window_bytes);
        let body = Body::new(id, arrival.stated_length, limit, &self.dropped);
        let held = TrackedBody {
            body: Rc::downgrade(&body),
            table_type: arrival.query_class,
            place,
            moving: false,
            awaiting_client: place != Tier::PassThrough,
            writing_bytes: 0,
            pending_reads: 0,
            since: None,
            on_disk: false,
        };
        self.held.insert(id, held);
        if let Some(why) = why {
            self.tell(
                if place == Tier::File { "not in memory" } else { "not buffered" },
                arrival.query_class,
                why,
            );
            if place == Tier::PassThrough {
                body.pass();
                self.events.push_back((id, BodyEvent::PassThrough(why)));
            }
        }
        Ok(body)
    }

    /// Logs a body that is not in the preferred place; the logger limits the rate of such lines.
    fn tell(&self, what: &str, table_type: usize, why: FallbackReason) {
        let name = self.table_types.get(table_type).map_or("?", String::as_str);
        info!(table_type = name, reason = %why, "body {what}");
    }

    /// More of a body has arrived, or something of it has been written: takes its next step.
    pub fn pump(&mut self, now: f64, id: BodyId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        if !body.has_known_length() && held.place != Tier::PassThrough && held.awaiting_client {
            match self.keeper.grow(now, id, body.arrived()) {
                Ok(place) if place != held.place => {
                    held.place = place;
                    body.limit(self.keeper.limits().window_bytes);
                }
                // One block more than is reserved, or nothing would arrive that could grow the reservation.
                Ok(Tier::Memory) => {
                    body.limit(self.keeper.reserved_memory(id).max(body.arrived() + BLOCK_BYTES as u64))
                }
                Ok(_) => {}
                Err(why) => {
                    held.awaiting_client = false;
                    let table_type = held.table_type;
                    self.tell("rejected", table_type, why);
                    return self.events.push_back((id, BodyEvent::Lost(why)));
                }
            }
        }
        if (held.place == Tier::File || held.moving) && !self.write(now, id, &body) {
            return;
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        if held.awaiting_client && body.is_whole() && (held.place == Tier::Memory || body.is_on_disk()) {
            held.awaiting_client = false;
            self.keeper.complete(now, id);
            self.events.push_back((id, BodyEvent::Buffered));
            self.spill_coldest(now);
        } else if held.moving && body.is_on_disk() {
            (held.moving, held.place) = (false, Tier::File);
            self.keeper.finish_spill(id);
        }
    }

    /// Hands blocks to the disk threads, within the window; false if that has failed.
    fn write(&mut self, now: f64, id: BodyId, body: &Rc<Body>) -> bool {
        let window = self.terms().window_bytes;
        let (Some(spool), Some(held)) = (&self.spool, self.held.get_mut(&id)) else { return true };
        while held.writing_bytes < window
            && let Some((at, bytes)) = body.next_write()
        {
            let length = bytes.len() as u64;
            if spool.submit(DiskJob::Write { file: id, offset: at, bytes }).is_err() {
                body.give_back(at);
                // With writes pending, or where it may stay in memory, it goes on after the next disk operation.
                if held.writing_bytes == 0 && !held.moving {
                    self.fault(now, id, DiskFault::Busy);
                    return false;
                }
                self.waiting.push(id);
                return true;
            }
            held.on_disk = true;
            held.writing_bytes += length;
            held.since.get_or_insert(now);
        }
        true
    }

    /// Under memory pressure the coldest bodies go to files.
    fn spill_coldest(&mut self, now: f64) {
        for id in self.keeper.start_spills(now) {
            if let Some(held) = self.held.get_mut(&id) {
                held.moving = true;
                self.pump(now, id);
            }
        }
    }

    /// A disk operation is done.
    pub fn done(&mut self, now: f64, done: DiskEvent) {
        self.made_progress = true;
        for id in std::mem::take(&mut self.waiting) {
            self.pump(now, id);
        }
        let (DiskEvent::Written { file: id, .. }
        | DiskEvent::Read { file: id, .. }
        | DiskEvent::Failed { file: id, .. }) = done;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        match done {
            DiskEvent::Written { offset: at, length, .. } => {
                held.writing_bytes = held.writing_bytes.saturating_sub(length as u64);
                held.since = (held.writing_bytes > 0 || held.pending_reads > 0).then_some(now);
                body.wrote(at);
                self.pump(now, id);
            }
            DiskEvent::Read { offset: at, bytes, .. } => {
                held.pending_reads = held.pending_reads.saturating_sub(1);
                held.since = (held.writing_bytes > 0 || held.pending_reads > 0).then_some(now);
                body.read(at, bytes);
            }
            // Several pending writes may fail: only the first failure counts.
            DiskEvent::Failed { fault, .. } if fault != DiskFault::Unreadable && held.writing_bytes == 0 => {}
            DiskEvent::Failed { fault, .. } => self.fault(now, id, fault),
        }
    }

    /// A disk operation has failed: the body stays in memory, is passed through, or is lost.
    fn fault(&mut self, now: f64, id: BodyId, fault: DiskFault) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(body) = held.body.upgrade() else { return };
        if body.lost().is_some() {
            return;
        }
        (held.writing_bytes, held.pending_reads, held.since) = (0, 0, None);
        let table_type = held.table_type;
        let outcome = self.keeper.on_disk_fault(now, id, fault);
        body.take_back();
        // A body that cannot be read from its file is lost, wherever it would go next.
        match outcome.and_then(|to| {
            if fault == DiskFault::Unreadable { Err(FallbackReason::Disk(fault)) } else { Ok(to) }
        }) {
            Ok(Tier::Memory) => {
                held.moving = false;
                self.tell("stays in memory", table_type, FallbackReason::Disk(fault));
            }
            Ok(place) => {
                (held.place, held.awaiting_client) = (place, false);
                body.pass();
                self.tell("not buffered", table_type, FallbackReason::Disk(fault));
                self.events.push_back((id, BodyEvent::PassThrough(FallbackReason::Disk(fault))));
            }
            Err(why) => {
                (held.place, held.awaiting_client) = (Tier::PassThrough, false);
                body.lose(why);
                self.tell("lost", table_type, why);
                self.events.push_back((id, BodyEvent::Lost(why)));
            }
        }
    }

    /// Has the disk threads read the blocks that readers wait for.
    pub fn submit_reads(&mut self, now: f64) {
        let Some(spool) = &self.spool else { return };
        for (id, held) in &mut self.held {
            let Some(body) = held.body.upgrade().filter(|body| body.has_pending_reads()) else { continue };
            let window = self.keeper.limits().window_bytes.saturating_sub(body.unwritten_bytes());
            // With a full queue an operation is pending, after which this is called again.
            if !spool.has_room() {
                return;
            }
            for (at, length) in body.next_reads(window as usize / BLOCK_BYTES) {
                spool.submit_unbounded(DiskJob::Read { file: *id, offset: at, length });
                held.pending_reads += 1;
                held.since.get_or_insert(now);
            }
        }
    }

    /// Disk operations that are overdue count as failed.
    pub fn slow(&mut self, now: f64) {
        let slowest = self.terms().io_timeout_seconds;
        let late =
            self.held.iter().filter(|(_, held)| held.since.is_some_and(|since| now - since >= slowest));
        let late: Vec<_> = late.map(|(id, held)| (*id, held.writing_bytes > 0)).collect();
        for (id, writing_bytes) in late {
            self.fault(now, id, if writing_bytes { DiskFault::Slow } else { DiskFault::Unreadable });
        }
    }

    /// Forgets the dropped bodies and closes their files; returns their ids.
    pub fn let_go(&mut self) -> Vec<BodyId> {
        let dropped = self.dropped.take();
        for &id in &dropped {
            self.keeper.release(id);
            if let Some(held) = self.held.remove(&id)
                && held.on_disk
                && let Some(spool) = &self.spool
            {
                spool.submit_unbounded(DiskJob::Close { file: id });
            }
        }
        dropped
    }

    /// An attempt reads a body: it counts as recently used.
    pub fn used(&mut self, now: f64, id: BodyId) {
        self.keeper.touch(now, id);
    }

    /// Records what else requests use of the memory, in bytes.
    pub fn held_beside(&mut self, buffers: u64, values: u64) {
        self.keeper.set_other_usage(OtherUsage::Buffers, buffers);
        self.keeper.set_other_usage(OtherUsage::NodeValues, values);
        let waiting = self.spool.as_ref().map_or(0, Spool::pending_write_bytes);
        let counted = if waiting > 0 { self.held.values().map(|held| held.writing_bytes).sum() } else { 0 };
        self.keeper.set_other_usage(OtherUsage::PendingWrites, waiting.saturating_sub(counted));
    }

    /// Logs counters: what is held, and how often a body was not buffered, by place, reason and query class.
    pub fn report(&self, copied: u64) {
        let holding = self.keeper.usage();
        let counts =
            self.keeper.fallback_counts().map(|FallbackCount { tier, reason, query_class, count }| {
                let name = self.table_types.get(query_class).map_or("?", String::as_str);
                let place = match tier {
                    Tier::Memory => "memory",
                    Tier::File => "file",
                    Tier::PassThrough => "taken",
                };
                format!("not {place}, {name}, {reason}: {count}")
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

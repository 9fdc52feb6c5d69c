//! Moves bodies from memory to files, and handles disk failures.

use std::cmp::Ordering;

use super::{Body, BufferManager};
use crate::DiskFault;
use crate::placement::{BodyId, FallbackReason, Owner, Tier};

/// Spilling starts when this share of the memory limit is in use; the least recently used bodies are spilled first. The
/// share is below 1 so that a new body need not wait for the disk.
const SPILL_START_RATIO: f64 = 0.6;
/// Spilling stops when less than this share of the memory limit will be in use after the spills in progress.
const SPILL_STOP_RATIO: f64 = 0.4;

/// A body that may be moved from memory to a file.
struct SpillCandidate {
    id: BodyId,
    owner: Owner,
    last_used_at: f64,
    bytes: u64,
}

impl BufferManager {
    /// Starts spilling if too much memory is in use. Returns the bodies that the host must write to files now; the
    /// memory of each is freed when the host calls [`Self::finish_spill`].
    pub fn start_spills(&mut self, now: f64) -> Vec<BodyId> {
        let max_memory = self.limits.max_memory_bytes as f64;
        let mut started = Vec::new();
        if (self.used_memory() as f64) < SPILL_START_RATIO * max_memory || self.limits.spill.is_none() {
            return started;
        }
        let mut remaining = self.used_memory() - self.spilling_bytes();
        for candidate in self.spill_candidates() {
            if (remaining as f64) < SPILL_STOP_RATIO * max_memory {
                break;
            }
            let SpillCandidate { id, owner, bytes, .. } = candidate;
            if self.check_spill(now, id, owner, bytes, bytes).is_err() {
                continue;
            }
            self.spill_state.on_started(id);
            self.reserve(id, bytes, bytes);
            if let Some(body) = self.bodies.get_mut(&id) {
                body.spilling = true;
            }
            remaining -= bytes - self.limits.window_bytes;
            started.push(id);
        }
        started
    }

    /// Memory in bytes that the spills in progress will free.
    fn spilling_bytes(&self) -> u64 {
        let spilling = self.bodies.values().filter(|body| body.spilling);
        spilling.map(|body| body.memory_bytes.saturating_sub(self.limits.window_bytes)).sum()
    }

    /// Bodies that may be spilled, least recently used first. A body may be spilled if it is complete, is not being
    /// spilled already and uses more memory than a window.
    fn spill_candidates(&self) -> Vec<SpillCandidate> {
        let may_spill = |body: &Body| {
            body.tier == Tier::Memory
                && body.complete
                && !body.spilling
                && body.memory_bytes > self.limits.window_bytes
        };
        let mut candidates = Vec::new();
        for (id, body) in &self.bodies {
            if may_spill(body) {
                candidates.push(SpillCandidate {
                    id: *id,
                    owner: body.owner,
                    last_used_at: body.last_used_at,
                    bytes: body.memory_bytes,
                });
            }
        }
        candidates.sort_by(compare_last_used);
        candidates
    }

    /// Records that a spilled body has been written to its file completely, and frees the body's memory except for a
    /// window.
    pub fn finish_spill(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id).filter(|body| body.spilling) else { return };
        body.spilling = false;
        body.tier = Tier::File;
        let file_bytes = body.file_bytes;
        self.reserve(id, self.limits.window_bytes.min(file_bytes), file_bytes);
        self.spill_state.on_written(id);
    }

    /// Handles a failed disk job of a body, and returns the body's tier from now on. A body that was being spilled
    /// stays in memory. A body of stated length that was still arriving is passed through; the bytes that are already
    /// in its file remain readable, and its file space remains reserved.
    ///
    /// # Errors
    /// The body cannot be buffered or passed through any more.
    pub fn on_disk_fault(&mut self, now: f64, id: BodyId, fault: DiskFault) -> Result<Tier, FallbackReason> {
        if let Some(limits) = &self.limits.spill {
            self.spill_state.on_failed(now, id, limits);
        }
        let reason = FallbackReason::Disk(fault);
        let Some(body) = self.bodies.get_mut(&id) else { return Err(reason) };
        let (query_class, memory_bytes) = (body.owner.query_class, body.memory_bytes);
        if body.spilling {
            body.spilling = false;
            self.reserve(id, memory_bytes, 0);
            self.count_fallback(Tier::File, reason, query_class);
            return Ok(Tier::Memory);
        }
        let can_pass_through = body.tier == Tier::File && body.stated_length.is_some() && !body.complete;
        body.tier = Tier::PassThrough;
        self.count_fallback(Tier::File, reason, query_class);
        if can_pass_through { Ok(Tier::PassThrough) } else { Err(reason) }
    }
}

/// Orders candidates by last use, then by id.
fn compare_last_used(a: &SpillCandidate, b: &SpillCandidate) -> Ordering {
    a.last_used_at.total_cmp(&b.last_used_at).then(a.id.cmp(&b.id))
}

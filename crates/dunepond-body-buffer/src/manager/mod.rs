//! Decides which tier holds each body, within limits for a single body, each tenant, each query class and all bodies.

mod admission;
mod spilling;

use std::collections::BTreeMap;

use crate::limits::{BufferLimits, MAX_BUFFERED_RATIO};
use crate::placement::{BodyId, FallbackCount, FallbackReason, Owner, Tier};
use crate::spill_state::SpillState;
use crate::usage::{BufferUsage, OtherUsage, TierUsage};

/// Memory in bytes that is counted for the read buffer of each incomplete body, even while the buffer is smaller:
/// hundreds of bodies may be admitted before any of their connections has filled its buffer.
const READ_BUFFER_BYTES: u64 = 64 * 1024;

/// Tracks the memory and file space of all buffered bodies, and decides which tier holds each body. Performs no I/O.
pub struct BufferManager {
    limits: BufferLimits,
    /// Bodies that are not released yet.
    bodies: BTreeMap<BodyId, Body>,
    last_id: BodyId,
    memory: TierUsage,
    files: TierUsage,
    other_usage: BTreeMap<OtherUsage, u64>,
    spill_state: SpillState,
    peak_memory_bytes: u64,
    /// What bodies alone may take of the memory, in bytes, with the writes that are left of released ones.
    max_total_body_bytes: u64,
    fallback_counts: BTreeMap<FallbackKey, u64>,
}

/// A body that was admitted and not released yet.
struct Body {
    owner: Owner,
    /// Length in bytes, if the client stated it.
    stated_length: Option<u64>,
    /// Whether all bytes of the body have arrived and, in [`Tier::File`], have been written to the file.
    complete: bool,
    tier: Tier,
    /// Whether the body is being written to a file. Its tier remains [`Tier::Memory`] until the write is finished.
    spilling: bool,
    /// When the body was admitted, completed or last read.
    last_used_at: f64,
    /// Memory reserved for the body, in bytes.
    memory_bytes: u64,
    /// File space reserved for the body, in bytes.
    file_bytes: u64,
    /// Bytes that have arrived, as last reported to [`BufferManager::grow`].
    received_bytes: u64,
}

/// Key of a fallback counter.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FallbackKey {
    tier: Tier,
    reason: FallbackReason,
    query_class: usize,
}

/// Usage and limits of one tier, to check whether more bytes may be reserved in the tier.
struct TierLoad<'a> {
    usage: &'a TierUsage,
    /// Bytes in use that count against `max_bytes`. For memory they include all uses, not only bodies.
    used_bytes: u64,
    max_bytes: u64,
    reasons: &'a FullReasons,
}

/// The fallback reasons to report for a full tier, by the limit that was reached.
struct FullReasons {
    tier: FallbackReason,
    tenant: FallbackReason,
    query_class: FallbackReason,
}

const MEMORY_FULL: FullReasons = FullReasons {
    tier: FallbackReason::MemoryFull,
    tenant: FallbackReason::TenantMemoryFull,
    query_class: FallbackReason::QueryClassMemoryFull,
};

const SPILL_FULL: FullReasons = FullReasons {
    tier: FallbackReason::SpillFull,
    tenant: FallbackReason::TenantSpillFull,
    query_class: FallbackReason::QueryClassSpillFull,
};

impl BufferManager {
    /// Creates a manager without bodies.
    pub fn new(limits: BufferLimits) -> Self {
        Self {
            limits,
            bodies: BTreeMap::new(),
            last_id: 0,
            memory: TierUsage::default(),
            files: TierUsage::default(),
            other_usage: BTreeMap::new(),
            spill_state: SpillState::Available,
            peak_memory_bytes: 0,
            max_total_body_bytes: u64::MAX,
            fallback_counts: BTreeMap::new(),
        }
    }

    /// The current limits.
    pub fn limits(&self) -> &BufferLimits {
        &self.limits
    }

    /// Changes the limits. Bodies that are already buffered stay, even if they exceed the new limits.
    pub fn set_limits(&mut self, limits: BufferLimits) {
        self.limits = limits;
    }

    /// Sets what bodies alone may take of the memory, in bytes, if that is less than the limits allow.
    pub fn set_max_total_body_bytes(&mut self, bytes: u64) {
        self.max_total_body_bytes = bytes;
    }

    /// Memory in bytes reserved for a body; 0 if the body is unknown.
    pub fn reserved_memory(&self, id: BodyId) -> u64 {
        self.bodies.get(&id).map_or(0, |body| body.memory_bytes)
    }

    /// Sets how much memory requests currently use for purposes other than buffered bodies.
    pub fn set_other_usage(&mut self, kind: OtherUsage, bytes: u64) {
        self.other_usage.insert(kind, bytes);
        self.update_peak();
    }

    /// Current and peak usage.
    pub fn usage(&self) -> BufferUsage {
        BufferUsage {
            bodies: self.bodies.len(),
            body_memory_bytes: self.memory.total(),
            memory_bytes: self.used_memory(),
            spill_bytes: self.files.total(),
            peak_memory_bytes: self.peak_memory_bytes,
        }
    }

    /// Number of times that a body could not be placed in a tier, by tier, reason and query class. A body that was not
    /// accepted is counted under the last tier, [`Tier::PassThrough`].
    pub fn fallback_counts(&self) -> impl Iterator<Item = FallbackCount> {
        self.fallback_counts.iter().map(|(key, count)| FallbackCount {
            tier: key.tier,
            reason: key.reason,
            query_class: key.query_class,
            count: *count,
        })
    }

    fn count_fallback(&mut self, tier: Tier, reason: FallbackReason, query_class: usize) {
        *self.fallback_counts.entry(FallbackKey { tier, reason, query_class }).or_default() += 1;
    }

    /// Counts a body that is not accepted, and returns `reason`.
    fn refuse(&mut self, reason: FallbackReason, query_class: usize) -> FallbackReason {
        self.count_fallback(Tier::PassThrough, reason, query_class);
        reason
    }

    /// Memory in use: bodies, read buffers, node values and pending writes.
    fn used_memory(&self) -> u64 {
        let incoming = self.bodies.values().filter(|body| !body.complete).count() as u64;
        let other = |kind| self.other_usage.get(&kind).copied().unwrap_or(0);
        let read_buffers = other(OtherUsage::Buffers).max(READ_BUFFER_BYTES * incoming);
        self.memory.total() + read_buffers + other(OtherUsage::NodeValues) + other(OtherUsage::PendingWrites)
    }

    fn update_peak(&mut self) {
        self.peak_memory_bytes = self.peak_memory_bytes.max(self.used_memory());
    }

    /// Sets the bytes reserved for a body in memory and in files, and updates all totals.
    fn reserve(&mut self, id: BodyId, memory_bytes: u64, file_bytes: u64) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        self.memory.subtract(body.owner, body.memory_bytes);
        self.memory.add(body.owner, memory_bytes);
        self.files.subtract(body.owner, body.file_bytes);
        self.files.add(body.owner, file_bytes);
        body.memory_bytes = memory_bytes;
        body.file_bytes = file_bytes;
        self.update_peak();
    }

    /// Checks whether a body of `length` bytes may be buffered in memory, for which `additional_bytes` must be reserved
    /// in addition to the memory that is already reserved for the body.
    fn check_buffered(&self, owner: Owner, length: u64, additional_bytes: u64) -> Result<(), FallbackReason> {
        if length > self.limits.max_body_in_memory_bytes {
            return Err(FallbackReason::TooLongForMemory);
        }
        self.check_memory(MAX_BUFFERED_RATIO, owner, additional_bytes)
    }

    /// Checks whether the memory has room for `additional_bytes` of a body's window. Windows may use the entire memory
    /// limit, so that bodies can still be streamed when buffered bodies have used up their share of it.
    fn check_window(&self, owner: Owner, additional_bytes: u64) -> Result<(), FallbackReason> {
        self.check_memory(1.0, owner, additional_bytes)
    }

    /// Checks whether `additional_bytes` fit into `ratio` of the memory limit, and into the shares of that memory that
    /// the body's tenant and query class may use.
    fn check_memory(&self, ratio: f64, owner: Owner, additional_bytes: u64) -> Result<(), FallbackReason> {
        let pending_writes = self.other_usage.get(&OtherUsage::PendingWrites).copied().unwrap_or(0);
        let body_bytes = self.memory.total() + pending_writes;
        if (body_bytes + additional_bytes) as f64 > ratio * self.max_total_body_bytes as f64 {
            return Err(MEMORY_FULL.tier);
        }
        let load = TierLoad {
            usage: &self.memory,
            used_bytes: self.used_memory(),
            max_bytes: (ratio * self.limits.max_memory_bytes as f64) as u64,
            reasons: &MEMORY_FULL,
        };
        self.check_load(&load, owner, additional_bytes)
    }

    /// Checks whether a body of `length` bytes may be written to a file now, for which `additional_bytes` must be
    /// reserved in addition to the file space that is already reserved for the body.
    fn check_spill(
        &self,
        now: f64,
        id: BodyId,
        owner: Owner,
        length: u64,
        additional_bytes: u64,
    ) -> Result<(), FallbackReason> {
        let limits = self.limits.spill.as_ref().ok_or(FallbackReason::SpillDisabled)?;
        if !self.spill_state.permits(now, id) {
            return Err(FallbackReason::SpillBackingOff);
        }
        if length > limits.max_body_bytes {
            return Err(FallbackReason::TooLongForSpill);
        }
        let load = TierLoad {
            usage: &self.files,
            used_bytes: self.files.total(),
            max_bytes: limits.max_total_bytes,
            reasons: &SPILL_FULL,
        };
        self.check_load(&load, owner, additional_bytes)
    }

    /// Checks whether `additional_bytes` fit into a tier: into its total limit, the tenant's share and the query
    /// class's share.
    fn check_load(&self, load: &TierLoad, owner: Owner, additional_bytes: u64) -> Result<(), FallbackReason> {
        let share = |ratio: f64| (ratio * load.max_bytes as f64) as u64;
        let exceeds = |used: u64, max: u64| used.saturating_add(additional_bytes) > max;
        if exceeds(load.used_bytes, load.max_bytes) {
            return Err(load.reasons.tier);
        }
        if exceeds(load.usage.of_tenant(owner.tenant), share(self.limits.tenant_ratio)) {
            return Err(load.reasons.tenant);
        }
        if exceeds(load.usage.of_query_class(owner.query_class), share(self.limits.query_class_ratio)) {
            return Err(load.reasons.query_class);
        }
        Ok(())
    }
}

//! Decides where each body is held, within limits for one body, each tenant, each query class and all together.

mod admission;
mod spilling;

use std::collections::BTreeMap;

use crate::limits::{BufferLimits, MAX_BUFFERED_RATIO};
use crate::placement::{BodyId, FallbackCount, FallbackReason, Owner, Tier};
use crate::spill_state::SpillState;
use crate::usage::{BufferUsage, OtherUsage, TierUsage};

/// What a connection may take in memory to read a body with until all of it has arrived. It counts from the arrival on:
/// of hundreds that arrive in the same instant, none has read anything yet.
const READ_BUFFER_BYTES: u64 = 64 * 1024;

/// The body buffer's bookkeeping; see the crate's documentation.
pub struct BufferManager {
    limits: BufferLimits,
    bodies: BTreeMap<BodyId, Body>,
    last_id: BodyId,
    memory: TierUsage,
    files: TierUsage,
    other_usage: BTreeMap<OtherUsage, u64>,
    spill_state: SpillState,
    peak_memory_bytes: u64,
    fallback_counts: BTreeMap<FallbackKey, u64>,
}

struct Body {
    owner: Owner,
    stated_length: Option<u64>,
    /// All of it has arrived.
    complete: bool,
    tier: Tier,
    /// Being written to a file while it counts as held in memory.
    spilling: bool,
    last_used_at: f64,
    memory_bytes: u64,
    file_bytes: u64,
    /// What has arrived, as far as reported.
    received_bytes: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct FallbackKey {
    tier: Tier,
    reason: FallbackReason,
    query_class: usize,
}

/// What is checked before a tier takes more.
struct TierLoad<'a> {
    usage: &'a TierUsage,
    used_bytes: u64,
    max_bytes: u64,
    reasons: &'a FullReasons,
}

/// What a refusal says, by the limit that is reached.
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
    /// An empty buffer.
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
            fallback_counts: BTreeMap::new(),
        }
    }

    /// The present limits.
    pub fn limits(&self) -> &BufferLimits {
        &self.limits
    }

    /// Changes the limits for new bodies. Those that are held stay, however much they take.
    pub fn set_limits(&mut self, limits: BufferLimits) {
        self.limits = limits;
    }

    /// What is reserved of the memory for a body.
    pub fn reserved_memory(&self, id: BodyId) -> u64 {
        self.bodies.get(&id).map_or(0, |body| body.memory_bytes)
    }

    /// States how much memory requests take beside bodies at this moment.
    pub fn set_other_usage(&mut self, kind: OtherUsage, bytes: u64) {
        self.other_usage.insert(kind, bytes);
        self.update_peak();
    }

    /// What is in use at this moment.
    pub fn usage(&self) -> BufferUsage {
        BufferUsage {
            bodies: self.bodies.len(),
            body_memory_bytes: self.memory.total(),
            memory_bytes: self.used_memory(),
            spill_bytes: self.files.total(),
            peak_memory_bytes: self.peak_memory_bytes,
        }
    }

    /// How often a body was not held in a tier, or not accepted (`PassThrough`).
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

    /// Counts a body that is not accepted, and gives the reason back.
    fn refuse(&mut self, reason: FallbackReason, query_class: usize) -> FallbackReason {
        self.count_fallback(Tier::PassThrough, reason, query_class);
        reason
    }

    fn used_memory(&self) -> u64 {
        let incoming = self.bodies.values().filter(|body| !body.complete).count() as u64;
        let other = |kind| self.other_usage.get(&kind).copied().unwrap_or(0);
        let read_buffers = other(OtherUsage::Buffers).max(READ_BUFFER_BYTES * incoming);
        self.memory.total() + read_buffers + other(OtherUsage::NodeValues) + other(OtherUsage::PendingWrites)
    }

    fn update_peak(&mut self) {
        self.peak_memory_bytes = self.peak_memory_bytes.max(self.used_memory());
    }

    /// Sets what a body takes of each tier.
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

    /// Whether a body of this length may be buffered in memory, which takes `additional_bytes` beside what it has already.
    fn check_buffered(&self, owner: Owner, length: u64, additional_bytes: u64) -> Result<(), FallbackReason> {
        if length > self.limits.max_body_in_memory_bytes {
            return Err(FallbackReason::TooLongForMemory);
        }
        self.check_memory(MAX_BUFFERED_RATIO, owner, additional_bytes)
    }

    /// Whether there is room for a window. Windows may take all of the memory, so that bodies can pass when it is full of
    /// buffered ones.
    fn check_window(&self, owner: Owner, additional_bytes: u64) -> Result<(), FallbackReason> {
        self.check_memory(1.0, owner, additional_bytes)
    }

    fn check_memory(&self, ratio: f64, owner: Owner, additional_bytes: u64) -> Result<(), FallbackReason> {
        let load = TierLoad {
            usage: &self.memory,
            used_bytes: self.used_memory(),
            max_bytes: (ratio * self.limits.max_memory_bytes as f64) as u64,
            reasons: &MEMORY_FULL,
        };
        self.check_load(&load, owner, additional_bytes)
    }

    /// Whether a body of this length may be in a file now, which takes `additional_bytes` beside what it has already.
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

//! What is in use of each tier.

use std::collections::BTreeMap;

use crate::placement::Owner;

/// Memory that requests take beside the bodies in the buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OtherUsage {
    /// Read and not yet part of a body, or framed and not shared with one.
    Buffers,
    /// Values that nodes returned.
    NodeValues,
    /// Bytes that wait for the disk, of bodies that were released or moved to another tier meanwhile.
    PendingWrites,
}

/// What is in use, for counters and audits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BufferUsage {
    /// How many bodies there are.
    pub bodies: usize,
    /// Memory of bodies.
    pub body_memory_bytes: u64,
    /// Memory of bodies and everything else that counts.
    pub memory_bytes: u64,
    /// Bytes in files.
    pub spill_bytes: u64,
    /// The most that `memory_bytes` has been.
    pub peak_memory_bytes: u64,
}

/// Bytes in use of one tier, in all and by owner.
#[derive(Default)]
pub(crate) struct TierUsage {
    total: u64,
    by_tenant: BTreeMap<usize, u64>,
    by_query_class: BTreeMap<usize, u64>,
}

impl TierUsage {
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    pub(crate) fn of_tenant(&self, tenant: usize) -> u64 {
        self.by_tenant.get(&tenant).copied().unwrap_or(0)
    }

    pub(crate) fn of_query_class(&self, query_class: usize) -> u64 {
        self.by_query_class.get(&query_class).copied().unwrap_or(0)
    }

    pub(crate) fn add(&mut self, owner: Owner, bytes: u64) {
        self.total += bytes;
        *self.by_tenant.entry(owner.tenant).or_default() += bytes;
        *self.by_query_class.entry(owner.query_class).or_default() += bytes;
    }

    pub(crate) fn subtract(&mut self, owner: Owner, bytes: u64) {
        self.total -= bytes;
        subtract_entry(&mut self.by_tenant, owner.tenant, bytes);
        subtract_entry(&mut self.by_query_class, owner.query_class, bytes);
    }
}

/// Removes an entry that reaches 0: clients choose their names, and the entries of new ones would add up.
fn subtract_entry(usage: &mut BTreeMap<usize, u64>, key: usize, bytes: u64) {
    let remaining = usage.get(&key).map_or(0, |used| used - bytes);
    if remaining == 0 {
        usage.remove(&key);
    } else {
        usage.insert(key, remaining);
    }
}

//! Memory and file space in use.

use std::collections::BTreeMap;

use crate::placement::Owner;

/// Purposes other than buffered bodies for which requests use memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OtherUsage {
    /// Read and write buffers: bytes that were read but are not part of a body yet, and framed bytes that wait to be sent.
    /// Bytes that are sent directly from a body's memory are not included, because they are counted with the body.
    Buffers,
    /// Values that nodes returned in their responses.
    NodeValues,
    /// Bytes of queued disk writes whose bodies were meanwhile released or moved to another tier.
    PendingWrites,
}

/// Memory and file space in use, for counters and for checks of the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BufferUsage {
    /// Number of bodies that are not released yet.
    pub bodies: usize,
    /// Memory reserved for bodies, in bytes.
    pub body_memory_bytes: u64,
    /// Memory of bodies plus all other usage that counts against the limit, in bytes.
    pub memory_bytes: u64,
    /// File space reserved for bodies, in bytes.
    pub spill_bytes: u64,
    /// Highest value of `memory_bytes` since the [`crate::BufferManager`] was created.
    pub peak_memory_bytes: u64,
}

/// Bytes reserved in one tier: in total, by tenant and by query class.
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

/// Subtracts `bytes` from the entry of a tenant or a query class. An entry that reaches 0 is removed; otherwise entries
/// of idle tenants and query classes would accumulate.
fn subtract_entry(usage: &mut BTreeMap<usize, u64>, key: usize, bytes: u64) {
    let remaining = usage.get(&key).map_or(0, |used| used - bytes);
    if remaining == 0 {
        usage.remove(&key);
    } else {
        usage.insert(key, remaining);
    }
}

//! Where a body is held, and why it is not held in a better place.

use std::fmt;

use crate::DiskFault;

/// A body's number; none is used twice.
pub type BodyId = u64;

/// A body whose first bytes have arrived.
#[derive(Clone, Copy, Debug)]
pub struct IncomingBody {
    /// Index of the tenant.
    pub tenant: usize,
    /// Index of the query class.
    pub query_class: usize,
    /// Bytes, where the client states them ahead.
    pub stated_length: Option<u64>,
}

/// Whose limits a body counts against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Owner {
    pub(crate) tenant: usize,
    pub(crate) query_class: usize,
}

/// Where a body is held, the best place first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In memory as a whole.
    Memory,
    /// In a file, with a window of it in memory.
    File,
    /// Nowhere: it is passed on once as it arrives, with a window of it in memory.
    PassThrough,
}

/// The place of a body that was admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The body's number.
    pub id: BodyId,
    /// Where it is held.
    pub tier: Tier,
    /// Why it is not held in the better tier before this one; `None` in memory.
    pub fallback_reason: Option<FallbackReason>,
}

/// Why a body is not held in a tier, or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FallbackReason {
    /// Longer than any body may be.
    TooLong,
    /// Longer than a body in memory may be.
    TooLongForMemory,
    /// The memory is full.
    MemoryFull,
    /// The tenant's share of the memory is full.
    TenantMemoryFull,
    /// The query class's share of the memory is full.
    QueryClassMemoryFull,
    /// The operator's file names no spill folder.
    SpillDisabled,
    /// The disk failed, and the backoff is not over.
    SpillBackingOff,
    /// Longer than a body in a file may be.
    TooLongForSpill,
    /// The files are full.
    SpillFull,
    /// The tenant's share of the files is full.
    TenantSpillFull,
    /// The query class's share of the files is full.
    QueryClassSpillFull,
    /// Its length was not stated, so it cannot be passed through, and there is no other room for it.
    LengthUnknown,
    /// The memory has no room for a window.
    NoWindow,
    /// The disk failed.
    Disk(DiskFault),
}

/// Each text is unique: it stands in counters, in the log and in the answer to the client.
impl fmt::Display for FallbackReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooLong => f.write_str("longer than bodies.longest"),
            Self::TooLongForMemory => f.write_str("longer than bodies.memory.one"),
            Self::MemoryFull => f.write_str("bodies.memory.all is used up"),
            Self::TenantMemoryFull => f.write_str("the customer's share of bodies.memory.all is used up"),
            Self::QueryClassMemoryFull => {
                f.write_str("the table type's share of bodies.memory.all is used up")
            }
            Self::SpillDisabled => f.write_str("bodies.files is off"),
            Self::SpillBackingOff => f.write_str("bodies.files failed and is not tried again yet"),
            Self::TooLongForSpill => f.write_str("longer than bodies.files.one"),
            Self::SpillFull => f.write_str("bodies.files.all is used up"),
            Self::TenantSpillFull => f.write_str("the customer's share of bodies.files.all is used up"),
            Self::QueryClassSpillFull => f.write_str("the table type's share of bodies.files.all is used up"),
            Self::LengthUnknown => f.write_str("its length is not stated and it cannot be kept"),
            Self::NoWindow => f.write_str("bodies.memory.all leaves no window"),
            Self::Disk(fault) => write!(f, "{fault}"),
        }
    }
}

/// How often bodies of a query class were not held in a tier, or not accepted (`PassThrough`), for one reason.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallbackCount {
    /// Where they were not held.
    pub tier: Tier,
    /// Why they were not held there.
    pub reason: FallbackReason,
    /// Index of the query class.
    pub query_class: usize,
    /// How often, since the start.
    pub count: u64,
}

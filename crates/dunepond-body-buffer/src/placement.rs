//! Tiers in which a body can be placed, and the reasons why a body is not placed in a better tier.

use std::fmt;

use crate::DiskFault;

/// Number of a body, unique within a [`crate::BufferManager`].
pub type BodyId = u64;

/// A body that has begun to arrive and is to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct IncomingBody {
    /// Index of the tenant that sent the body.
    pub tenant: usize,
    /// Index of the body's query class.
    pub query_class: usize,
    /// Length in bytes, if the client stated it in advance.
    pub stated_length: Option<u64>,
}

/// The tenant and the query class whose limits a body counts against.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Owner {
    pub(crate) tenant: usize,
    pub(crate) query_class: usize,
}

/// Where the bytes of a body are. The best tier comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The whole body is in memory.
    Memory,
    /// The body is in a file, and at most one window of it in memory.
    File,
    /// The body is not stored: it is forwarded once as it arrives, with at most one window of it in memory.
    PassThrough,
}

/// The tier assigned to a body at admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Number of the body.
    pub id: BodyId,
    /// Tier in which the body is placed.
    pub tier: Tier,
    /// Why the body is not placed in the next better tier; `None` for [`Tier::Memory`].
    pub fallback_reason: Option<FallbackReason>,
}

/// Why a body is not placed in a tier, or is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FallbackReason {
    /// The body is longer than [`crate::BufferLimits::max_body_bytes`].
    TooLong,
    /// The body is longer than [`crate::BufferLimits::max_body_in_memory_bytes`].
    TooLongForMemory,
    /// The memory for buffered bodies is used up.
    MemoryFull,
    /// The tenant's share of the memory is used up.
    TenantMemoryFull,
    /// The query class's share of the memory is used up.
    QueryClassMemoryFull,
    /// Spilling is disabled: the operator's configuration names no spill folder.
    SpillDisabled,
    /// The disk failed, and spilling is not available again yet.
    SpillBackingOff,
    /// The body is longer than [`crate::SpillLimits::max_body_bytes`].
    TooLongForSpill,
    /// The file space for spilled bodies is used up.
    SpillFull,
    /// The tenant's share of the file space is used up.
    TenantSpillFull,
    /// The query class's share of the file space is used up.
    QueryClassSpillFull,
    /// The body's length was not stated, so it cannot be passed through, and neither memory nor files have room for it.
    LengthUnknown,
    /// The memory has no room for the window of a body that is in a file or passed through.
    NoWindow,
    /// A disk job of the body failed.
    Disk(DiskFault),
}

/// Each text is unique, as it labels counters and appears in the log and in responses to clients.
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

/// Number of times that bodies of one query class could not be placed in a tier for one reason. Under
/// [`Tier::PassThrough`], bodies are counted that were not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallbackCount {
    /// Tier in which the bodies could not be placed.
    pub tier: Tier,
    /// Why the bodies could not be placed in the tier.
    pub reason: FallbackReason,
    /// Index of the query class of the bodies.
    pub query_class: usize,
    /// Number of these fallbacks since the [`crate::BufferManager`] was created.
    pub count: u64,
}

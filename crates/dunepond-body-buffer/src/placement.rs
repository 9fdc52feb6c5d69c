//! Tiers that can hold a body, and the reasons why a body is not held in a better one.

use std::fmt;

use crate::DiskFault;

/// Number of a body, unique within a [`crate::BufferManager`].
pub type BodyId = u64;

/// A body to be admitted, when its first bytes have arrived.
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

/// Where a body is held; the best tier comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// The whole body is in memory.
    Memory,
    /// The body is in a file, with one window of it in memory.
    File,
    /// The body is not stored: it is forwarded once as it arrives, with one window of it in memory.
    PassThrough,
}

/// The tier assigned to a body at admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Number of the body.
    pub id: BodyId,
    /// Tier that holds the body.
    pub tier: Tier,
    /// Why the body is not held in the next better tier; `None` for [`Tier::Memory`].
    pub fallback_reason: Option<FallbackReason>,
}

/// Why a body is not held in a tier, or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FallbackReason {
    /// The body is longer than any body may be.
    TooLong,
    /// The body is longer than a body in memory may be.
    TooLongForMemory,
    /// The memory for buffered bodies is used up.
    MemoryFull,
    /// The tenant's share of the memory is used up.
    TenantMemoryFull,
    /// The query class's share of the memory is used up.
    QueryClassMemoryFull,
    /// Spilling is disabled: the operator's file names no spill folder.
    SpillDisabled,
    /// The disk failed, and the back-off has not ended.
    SpillBackingOff,
    /// The body is longer than a body in a file may be.
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

/// How often bodies of one query class were not held in a tier for one reason. A count for [`Tier::PassThrough`]
/// is of bodies that were not accepted at all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FallbackCount {
    /// Tier that did not hold the bodies.
    pub tier: Tier,
    /// Why the tier did not hold the bodies.
    pub reason: FallbackReason,
    /// Index of the query class of the bodies.
    pub query_class: usize,
    /// Number of such bodies since the process started.
    pub count: u64,
}

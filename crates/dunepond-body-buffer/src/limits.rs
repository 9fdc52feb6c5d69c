//! What the operator allows.

/// What buffered bodies may take of the memory, and of each share of it. The rest is for windows, so that bodies that are
/// not buffered can still pass.
pub const MAX_BUFFERED_RATIO: f64 = 0.75;

/// Limits of the files that bodies are spilled to.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLimits {
    /// Longest body.
    pub max_body_bytes: u64,
    /// Most bytes of all bodies together.
    pub max_total_bytes: u64,
    /// Seconds without spilling after a first failure; doubled with each further one in a row.
    pub initial_backoff_seconds: f64,
    /// Seconds without spilling, at most.
    pub max_backoff_seconds: f64,
}

/// Limits of the body buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferLimits {
    /// The longest body that is accepted at all.
    pub max_body_bytes: u64,
    /// The longest body that is buffered in memory.
    pub max_body_in_memory_bytes: u64,
    /// All that requests take in memory: bodies, what is queued of them, and values of nodes.
    pub max_memory_bytes: u64,
    /// Absent, nothing is spilled.
    pub spill: Option<SpillLimits>,
    /// Share of each tier that one tenant may take.
    pub tenant_ratio: f64,
    /// Share of each tier that one query class may take.
    pub query_class_ratio: f64,
    /// What a body that is not in memory as a whole may take there.
    pub window_bytes: u64,
    /// Seconds after which a node that takes nothing, or a disk that does nothing, has failed.
    pub io_timeout_seconds: f64,
}

//! The operator's limits on buffering and spilling.

/// Share of the memory limit that buffered bodies may use. The rest is reserved for windows, the memory through which
/// spilled and passed-through bodies are streamed, so that these can still be streamed when no more bodies can be
/// buffered. The same ratio limits buffered bodies within each tenant's and each query class's share of the memory.
pub const MAX_BUFFERED_RATIO: f64 = 0.75;

/// Limits on spilling bodies to files.
#[derive(Clone, Debug, PartialEq)]
pub struct SpillLimits {
    /// Longest body that may be spilled, in bytes.
    pub max_body_bytes: u64,
    /// Maximum total size of all spilled bodies, in bytes.
    pub max_total_bytes: u64,
    /// Seconds for which nothing is spilled after a first disk failure; doubled with each consecutive failure.
    pub initial_backoff_seconds: f64,
    /// Upper limit of the back-off after disk failures, in seconds.
    pub max_backoff_seconds: f64,
}

/// Limits of the body buffer.
#[derive(Clone, Debug, PartialEq)]
pub struct BufferLimits {
    /// Longest body that is accepted at all, in bytes.
    pub max_body_bytes: u64,
    /// Longest body that is buffered in memory, in bytes.
    pub max_body_in_memory_bytes: u64,
    /// Maximum memory of all requests together, in bytes: bodies, read buffers, queued disk writes and values that
    /// nodes returned.
    pub max_memory_bytes: u64,
    /// Limits on spilling; `None` disables it.
    pub spill: Option<SpillLimits>,
    /// Share (0 to 1) that one tenant may use of the memory, and of the file space.
    pub tenant_ratio: f64,
    /// Share (0 to 1) that one query class may use of the memory, and of the file space.
    pub query_class_ratio: f64,
    /// Size of a window in bytes: the memory through which a body is streamed that is in a file or passed through.
    pub window_bytes: u64,
    /// Seconds without progress after which a disk job is treated as failed, and so is a node that does not read what
    /// is sent to it.
    pub io_timeout_seconds: f64,
}

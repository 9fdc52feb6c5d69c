//! Divides a broker's memory limit, and decides what is rejected or given up for lack of memory.
//!
//! The limit is that of the whole process with what the operating system holds for it. The program takes a fixed part, the
//! connections take a share that bounds their number and the system's buffers for each, and the rest is divided among what
//! clients, nodes and other brokers may make the process store. Whatever is enabled, the shares add up to the limit.

/// Memory of a process without connections: the program's pages, the allocator's reserve and the stacks.
const PROGRAM_BYTES: f64 = 8.0 * 1024.0 * 1024.0;
/// Share of the limit that is divided at least, where the limit is hardly above the program's memory and cannot be kept.
const MIN_AVAILABLE_RATIO: f64 = 0.5;
/// Memory of a connection besides the system's buffers: the system's objects, the process's records and a buffer of the first size.
const CONNECTION_BYTES: f64 = 8.0 * 1024.0;
/// The least that the operating system may hold for one direction of a connection, in bytes.
const MIN_SOCKET_BUFFER_BYTES: f64 = 6.0 * 1024.0;
/// The most that it may hold, in bytes: a longer message is sent in several steps.
const MAX_SOCKET_BUFFER_BYTES: f64 = 256.0 * 1024.0;
/// Share of the memory without the program's for connections and the system's buffers for them.
const CONNECTIONS_RATIO: f64 = 0.5;
/// Share for copies that exist for a moment, and for what the allocator keeps.
const RESERVE_RATIO: f64 = 0.1;
/// Weights of the uses among which the rest is divided, if they are enabled.
const CLIENT_BUFFERS_WEIGHT: f64 = 4.0;
const NODE_BUFFERS_WEIGHT: f64 = 2.0;
const NODE_FRAMES_WEIGHT: f64 = 0.5;
const QUERIES_WEIGHT: f64 = 6.0;
const UNREAD_RESPONSES_WEIGHT: f64 = 1.5;
const BODIES_WEIGHT: f64 = 6.0;
const PREFILTER_WEIGHT: f64 = 1.0;
const CONTROL_PLANE_WEIGHT: f64 = 4.0;
/// Share of the prefilter's memory for the texts of audits; the rest is for what nodes have answered.
const AUDIT_TEXTS_RATIO: f64 = 0.5;
/// Memory of the answers that the prefilter remembers for a text and a segment, in bytes.
const PREFILTER_ENTRY_BYTES: f64 = 256.0;
/// New queries are admitted up to this part of the share for queries. The rest is for answers that are larger than was expected
/// when their queries were admitted.
const ADMISSION_RATIO: f64 = 0.75;
/// Factor by which the expected size of an answer shrinks with each smaller answer.
const EXPECTATION_DECAY: f64 = 0.99;
/// Memory of a query in flight besides its text, and of each of its parts, in bytes.
const QUERY_BYTES: u64 = 1024;
const PART_BYTES: u64 = 512;

/// Returns the memory of a query's records, without its text, in bytes. `id_bytes` is the length of its id, which each part
/// repeats.
pub fn query_record_bytes(parts: usize, id_bytes: usize) -> u64 {
    QUERY_BYTES + parts as u64 * (PART_BYTES + id_bytes as u64)
}

/// The optional uses of memory that a broker has enabled.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryUses {
    /// Whether bodies of streamed requests are stored.
    pub bodies: bool,
    /// Whether the prefilter is enabled.
    pub prefilter: bool,
    /// Whether the broker belongs to a fleet.
    pub control_plane: bool,
}

/// The shares of a memory limit, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryLimits {
    /// The memory without the program's, in bytes.
    available_bytes: f64,
    /// The memory of a unit of weight, in bytes.
    weight_bytes: f64,
    uses: MemoryUses,
}

impl MemoryLimits {
    /// Creates the shares of a limit of this many bytes for a broker with these optional uses.
    pub fn new(limit_bytes: f64, uses: MemoryUses) -> Self {
        let optional = [
            (uses.bodies, BODIES_WEIGHT),
            (uses.prefilter, PREFILTER_WEIGHT),
            (uses.control_plane, CONTROL_PLANE_WEIGHT),
        ];
        let enabled = optional.iter().filter(|(is_enabled, _)| *is_enabled);
        let weights = CLIENT_BUFFERS_WEIGHT
            + NODE_BUFFERS_WEIGHT
            + NODE_FRAMES_WEIGHT
            + QUERIES_WEIGHT
            + UNREAD_RESPONSES_WEIGHT
            + enabled.map(|(_, weight)| weight).sum::<f64>();
        let available_bytes = (limit_bytes - PROGRAM_BYTES).max(MIN_AVAILABLE_RATIO * limit_bytes);
        let divided_bytes = (1.0 - CONNECTIONS_RATIO - RESERVE_RATIO) * available_bytes;
        Self { available_bytes, weight_bytes: divided_bytes / weights, uses }
    }

    /// Returns the maximum number of connections.
    pub fn max_connections(&self) -> u64 {
        let bytes_per_connection = CONNECTION_BYTES + 2.0 * MIN_SOCKET_BUFFER_BYTES;
        (CONNECTIONS_RATIO * self.available_bytes / bytes_per_connection) as u64
    }

    /// Returns how many bytes the operating system may hold for each direction of one of `connections`.
    pub fn socket_buffer_bytes(&self, connections: u64) -> f64 {
        let bytes_per_connection = CONNECTIONS_RATIO * self.available_bytes / connections.max(1) as f64;
        ((bytes_per_connection - CONNECTION_BYTES) / 2.0)
            .clamp(MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES)
    }

    /// Returns the limit on the buffers for what clients send, in bytes.
    pub fn client_buffer_bytes(&self) -> f64 {
        CLIENT_BUFFERS_WEIGHT * self.weight_bytes
    }

    /// Returns the limit on the buffers for what nodes and discovery send, in bytes.
    pub fn node_buffer_bytes(&self) -> f64 {
        NODE_BUFFERS_WEIGHT * self.weight_bytes
    }

    /// Returns the limit on the prefilter's frames that wait to be written to nodes, in bytes. The frames of attempts are bounded
    /// by what a connection has begun to write.
    pub fn node_frame_bytes(&self) -> f64 {
        NODE_FRAMES_WEIGHT * self.weight_bytes
    }

    /// Returns the limit on responses that clients have not read, in bytes. Beyond it, the connections of the slowest readers
    /// are closed.
    pub fn unread_response_bytes(&self) -> f64 {
        UNREAD_RESPONSES_WEIGHT * self.weight_bytes
    }

    /// Returns the limit on the stored bodies of streamed requests, in bytes.
    pub fn body_bytes(&self) -> f64 {
        if self.uses.bodies { BODIES_WEIGHT * self.weight_bytes } else { 0.0 }
    }

    /// Returns the limit on what the prefilter remembers, in bytes.
    pub fn prefilter_bytes(&self) -> f64 {
        if self.uses.prefilter { PREFILTER_WEIGHT * self.weight_bytes } else { 0.0 }
    }

    /// Returns how many pairs of a text and a segment the prefilter remembers at the most.
    pub fn max_prefilter_entries(&self) -> usize {
        ((1.0 - AUDIT_TEXTS_RATIO) * self.prefilter_bytes() / PREFILTER_ENTRY_BYTES) as usize
    }

    /// Returns the limit on the texts that are kept for audits, in bytes.
    pub fn max_audit_text_bytes(&self) -> usize {
        (AUDIT_TEXTS_RATIO * self.prefilter_bytes()) as usize
    }

    /// Returns the limit on the messages between brokers, in bytes.
    pub fn control_plane_bytes(&self) -> f64 {
        if self.uses.control_plane { CONTROL_PLANE_WEIGHT * self.weight_bytes } else { 0.0 }
    }

    /// Returns the limit on the memory of queries in flight, in bytes: their texts, and the answers of nodes until the client is
    /// answered.
    pub fn query_bytes(&self) -> f64 {
        QUERIES_WEIGHT * self.weight_bytes
    }
}

/// The memory of the queries in flight.
#[derive(Clone, Copy, Debug)]
pub struct QueryMemory {
    limits: MemoryLimits,
    stored_bytes: u64,
    /// The size of the largest recent answer to a part, in bytes.
    expected_answer_bytes: f64,
}

impl QueryMemory {
    /// Creates the memory of no queries.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, stored_bytes: 0, expected_answer_bytes: 0.0 }
    }

    /// Returns how many bytes are stored for queries in flight.
    pub fn stored_bytes(&self) -> u64 {
        self.stored_bytes
    }

    /// Records that `bytes` are stored.
    pub fn add(&mut self, bytes: u64) {
        self.stored_bytes += bytes;
    }

    /// Records that `bytes` are not stored any more.
    pub fn remove(&mut self, bytes: u64) {
        self.stored_bytes = self.stored_bytes.saturating_sub(bytes);
    }

    /// Records the answer of a node to a part, which is stored.
    pub fn add_answer(&mut self, bytes: u64) {
        self.add(bytes);
        self.expected_answer_bytes = (EXPECTATION_DECAY * self.expected_answer_bytes).max(bytes as f64);
    }

    /// Whether another query is admitted while this many queries and parts are in flight: what is stored and what is
    /// expected to come for them fits into the share.
    pub fn admits(&self, in_flight: usize) -> bool {
        let expected_bytes = self.expected_answer_bytes * in_flight as f64;
        self.stored_bytes as f64 + expected_bytes < ADMISSION_RATIO * self.limits.query_bytes()
    }

    /// Whether a query whose answer has just arrived is given up, as more is stored than may be.
    pub fn is_exceeded(&self) -> bool {
        self.stored_bytes as f64 > self.limits.query_bytes()
    }
}

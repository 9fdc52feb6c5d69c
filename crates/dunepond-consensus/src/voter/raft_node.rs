//! Timing and size limits of the raft library, and the creation of its node.

use raft::{RawNode, ReadOnlyOption};

use crate::log_storage::LogStorage;

/// Number of the raft library's ticks per lease duration. A round trip between voters has to be well below an election
/// timeout, which is at least [`ELECTION_TICKS`].
pub(super) const TICKS_PER_LEASE: f64 = 40.0;
/// Shortest election timeout, in ticks.
pub(super) const ELECTION_TICKS: usize = 10;
/// Interval of the leader's heartbeats, in ticks.
const HEARTBEAT_TICKS: usize = 2;
/// Largest number of ticks that are made up for at once after a stall. It is enough for a leader to notice that it has
/// received no message from a quorum, and to step down.
pub(super) const MAX_CATCH_UP_TICKS: usize = 2 * ELECTION_TICKS;
/// Largest total size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Largest total size of proposed entries that are not committed yet.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;
/// Largest number of append messages to one follower that are not acknowledged yet.
const MAX_INFLIGHT_MESSAGE_COUNT: usize = 64;

/// Duration of `count` of the shortest election timeouts, in seconds.
pub(super) fn elections_seconds(count: f64, lease_seconds: f64) -> f64 {
    count * ELECTION_TICKS as f64 * lease_seconds / TICKS_PER_LEASE
}

/// Creates a node of the raft library whose log is applied up to the index `applied`. `id` is the id of the voter's
/// data folder, which serves as the node's id.
pub(super) fn raft_node(id: u64, applied: u64, log: LogStorage) -> RawNode<LogStorage> {
    let config = raft::Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGE_COUNT,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..raft::Config::default()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    RawNode::new(&config, log, &logger).expect("the configuration above is valid")
}

//! The raft library's node, with its timing and its size limits.

use raft::{RawNode, ReadOnlyOption};

use crate::log_storage::LogStorage;

/// Number of the library's ticks in a lease. A round trip between voters has to be well under an election timeout.
pub(super) const TICKS_PER_LEASE: f64 = 40.0;
pub(super) const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Largest number of ticks that are made up for after a stall: enough for a leader to notice that it received no
/// message.
pub(super) const MAX_CATCH_UP_TICKS: usize = 2 * ELECTION_TICKS;
/// Largest size of the entries in one message.
const MAX_MESSAGE_BYTES: u64 = 1 << 20;
/// Largest size of proposed entries that are not committed yet.
const MAX_UNCOMMITTED_BYTES: u64 = 64 << 20;
const MAX_INFLIGHT_MESSAGE_COUNT: usize = 64;

/// Duration of `count` election timeouts, in seconds.
pub(super) fn elections_seconds(count: f64, lease_seconds: f64) -> f64 {
    count * ELECTION_TICKS as f64 * lease_seconds / TICKS_PER_LEASE
}

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
    RawNode::new(&config, log, &logger).expect("the constants above are valid together")
}

//! What the unit tests of several kinds of connection share.

use std::net::TcpListener;
use std::time::Duration;

use calloop::EventLoop;
use dunepond_config::HostSettings;

use crate::buffers::{BUFFER_BYTES, Pools};
use crate::clock::Timers;
use crate::iteration::Iteration;
use crate::read_turn::{MAX_READS_PER_TURN, UnfinishedTurns};

/// The time at which the tests play, in Unix seconds.
pub const NOW: f64 = 1000.0;
/// Longest wait for bytes that are in transit between two sockets.
pub const MAX_WAIT: Duration = Duration::from_secs(10);
/// The most that may be read from a connection in one turn.
pub const MAX_TURN_BYTES: u64 = (MAX_READS_PER_TURN * BUFFER_BYTES) as u64;

/// The parts of an event loop that each kind of connection uses.
pub struct LoopParts {
    pub poller: EventLoop<'static, Iteration>,
    pub pools: Pools,
    pub timers: Timers,
    pub unfinished_turns: UnfinishedTurns,
}

impl LoopParts {
    pub fn new() -> Self {
        Self {
            poller: EventLoop::try_new().unwrap(),
            pools: Pools::default(),
            timers: Timers::default(),
            unfinished_turns: UnfinishedTurns::default(),
        }
    }
}

/// Returns the listener of a peer that the test plays; accepting fails where no connection waits.
pub fn peer_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    listener
}

/// Settings with one query class, `find`, and one zone.
pub fn host_settings() -> HostSettings {
    HostSettings {
        query_classes: vec!["find".to_string()],
        tenants: Vec::new(),
        zones: vec!["a".to_string()],
        segment_count: 8,
        max_in_flight: None,
        max_parts_per_call: 1,
        max_parts_per_connection: 16,
        idle_timeout_seconds: 30.0,
        connect_timeout_seconds: 1.0,
        longest_query_seconds: 2.0,
    }
}

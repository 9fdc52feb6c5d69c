//! What is admitted and given up under a memory limit.

use dunepond_routing::{MemoryLimits, MemoryUses, QueryMemory, admits_further_search, query_record_bytes};
use rstest::rstest;

const MIB: u64 = 1024 * 1024;
/// Limit whose share for queries is 6 MiB, of which they are admitted up to 4.5 MiB.
const LIMIT_BYTES: f64 = 43.0 * MIB as f64;
/// Memory of the program, and of a connection without the system's buffers, in bytes.
const PROGRAM_BYTES: f64 = 8.0 * MIB as f64;
const CONNECTION_BYTES: f64 = 8.0 * 1024.0;

fn memory() -> QueryMemory {
    QueryMemory::new(MemoryLimits::new(LIMIT_BYTES, MemoryUses::default()))
}

#[test]
fn queries_are_admitted_until_their_share_is_stored() {
    let mut memory = memory();
    memory.add(9 * MIB / 2 - 1);
    assert!(memory.admits(1_000));
    memory.add(1);
    assert!(!memory.admits(0));
    memory.remove(1);
    assert!(memory.admits(0));
}

/// The answers of 72 parts are still to come, each as large as the last one.
#[test]
fn expected_answers_count_towards_the_share() {
    let mut memory = memory();
    memory.add_answer(64 * 1024);
    memory.remove(64 * 1024);
    assert!(memory.admits(71) && !memory.admits(72));
    (0..1_000).for_each(|_| memory.add_answer(0));
    assert!(memory.admits(1_000), "large answers have not come for long");
}

/// Between the limits for admission and for giving up, answers that are larger than expected have room.
#[test]
fn query_is_given_up_only_beyond_the_limit_for_admission() {
    let mut memory = memory();
    memory.add_answer(6 * MIB);
    assert!(!memory.admits(0) && !memory.is_exceeded());
    memory.add_answer(1);
    assert!(memory.is_exceeded());
}

/// Whatever is enabled, what all uses may take together is no more than the limit. Each use kept to a share of its own, and their
/// sum passed the limit.
#[rstest]
fn shares_of_all_uses_fit_into_the_limit(
    #[values(32, 64, 192)] limit_mib: u64,
    #[values(256, 1_024)] descriptors: u64,
    #[values(false, true)] bodies: bool,
    #[values(false, true)] prefilter: bool,
    #[values(false, true)] control_plane: bool,
) {
    let limit_bytes = (limit_mib * MIB) as f64;
    let limits = MemoryLimits::new(limit_bytes, MemoryUses { bodies, prefilter, control_plane });
    let connections = limits.max_connections().min(descriptors);
    let connection_bytes = CONNECTION_BYTES + 2.0 * limits.socket_buffer_bytes(connections);
    let uses = [
        PROGRAM_BYTES,
        connections as f64 * connection_bytes,
        limits.client_buffer_bytes(),
        limits.node_buffer_bytes(),
        limits.node_frame_bytes(),
        limits.query_bytes(),
        limits.unread_response_bytes(),
        limits.body_bytes(),
        limits.prefilter_bytes(),
        limits.control_plane_bytes(),
    ];
    assert!(uses.iter().sum::<f64>() <= limit_bytes, "{uses:?}");
    let is_enabled = [bodies, prefilter, control_plane];
    let has_share = [limits.body_bytes(), limits.prefilter_bytes(), limits.control_plane_bytes()]
        .map(|bytes| bytes > 0.0);
    assert_eq!(has_share, is_enabled);
    assert!(limits.client_buffer_bytes() >= MIB as f64);
    assert!(connections > 200, "{connections} connections");
}

/// A query of many parts takes more than its text.
#[test]
fn records_of_a_query_grow_with_its_parts_and_its_id() {
    let (small, wide) = (query_record_bytes(1, 10), query_record_bytes(100, 200));
    assert!(small > 1_000 && wide > 100 * 700, "{small} and {wide} bytes");
}

#[test]
fn further_searches_of_a_request_leave_half_of_the_places() {
    assert_eq!(
        [0, 49, 50, 100].map(|in_flight| admits_further_search(in_flight, 100)),
        [true, true, false, false]
    );
}

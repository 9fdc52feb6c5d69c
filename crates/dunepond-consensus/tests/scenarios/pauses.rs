//! Brokers that are paused, and clocks that are set back.

use dunepond_consensus::*;
use dunepond_simulation::fleet::Fleet;

use crate::support::{assert_activated_within, propose};

#[test]
fn lease_is_expired_after_pause() {
    let mut fleet = Fleet::with_map(5, 2, 15);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others did not wait for it");
    // When it resumes it has received nothing yet, and has a part queued for the old owner.
    let (config, wakes) =
        (fleet.brokers[6].lease_client.as_ref().unwrap().active_config(), fleet.clock(6) + 0.05);
    assert_eq!(config.phase(wakes), ConfigPhase::LeaseExpired(1));
    assert!(matches!(config.owner(1, wakes), SegmentOwner::Unavailable(_)));
    assert_activated_within(&mut fleet, 5.0);
}

/// A fleet in which broker 6 was paused and its clock set back meanwhile. `wakes` is the clock's reading when it resumes,
/// relative to its last reading before the pause.
fn with_clock_set_back(wakes: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_map(5, 2, seed);
    // The lease is recent: its request is older than any reading that follows.
    fleet.run_until(2.0, |fleet| {
        fleet.brokers[6].lease_client.as_ref().unwrap().active_config().lease_expires_at() - fleet.clock(6)
            < 0.8
    });
    let last = fleet.clock(6);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others did not wait for it");
    let by = fleet.clock(6) + 0.05 * fleet.brokers[6].clock_rate - last - wakes;
    fleet.set_clock_back(6, by);
    fleet
}

#[test]
fn backward_clock_ends_lease() {
    let mut fleet = with_clock_set_back(-0.1, 15);
    fleet.run_for(0.2);
    let client = fleet.brokers[6].lease_client.as_ref().unwrap();
    assert!(
        matches!(client.distrust_reason(), Some(Rejection::ClockWentBack { .. })),
        "{:?}",
        client.distrust_reason()
    );
    assert!(!fleet.has_lease(6));
}

/// The broker cannot detect the pause before it receives a reply; the first reply reveals it. The invariants make an exception
/// for the time until then.
#[test]
fn hidden_pause_ends_lease_at_first_reply() {
    let mut fleet = with_clock_set_back(0.1, 15);
    fleet.run_for(0.07);
    assert_eq!(
        (fleet.has_lease(6), fleet.phase(6)),
        (true, ConfigPhase::Active(1)),
        "by its clock the lease is still valid"
    );
    fleet.run_for(0.4);
    let client = fleet.brokers[6].lease_client.as_ref().unwrap();
    assert!(
        matches!(client.distrust_reason(), Some(Rejection::ClockDrift { .. })),
        "{:?}",
        client.distrust_reason()
    );
    assert!(!fleet.has_lease(6));
}

#[test]
fn paused_leader_grants_nothing_without_quorum() {
    let mut fleet = Fleet::with_map(5, 2, 16);
    let leader = fleet.leader().unwrap();
    fleet.pause(leader, 1000.0);
    assert!(fleet.run_until(3.0, |fleet| fleet.leader().is_some()));
    fleet.propose(propose(2)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.invariants.activated_at.contains_key(&2)));
    // It resumes and first reads a request that has just been sent, while it still considers itself the leader.
    let request = LeaseRequest {
        sent_at: 0.0,
        id: 1,
        broker: String::from("n7"),
        known_versions: Vec::new(),
        joint_version: None,
        incarnation: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    let clock = fleet.clock(leader);
    let voter = fleet.brokers[leader].voter.as_mut().unwrap();
    assert!(voter.is_leader() && voter.state().active_number() == 1);
    let mut replies = voter.handle_lease_request(clock, "n7", request).replies;
    replies.extend((0..100).flat_map(|n| voter.tick(clock + 0.01 * f64::from(n)).replies));
    assert!(replies.iter().all(|(_, reply)| reply.answer == LeaseAnswer::NoLeader), "{replies:?}");
    assert_eq!(replies.len(), 1, "the request is answered");
}

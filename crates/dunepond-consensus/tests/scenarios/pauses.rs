//! Scenarios in which brokers are paused, or their clocks go back.

use dunepond_consensus::*;
use dunepond_simulation::fleet::Fleet;

use crate::support::{assert_activated_within, propose};

#[test]
fn lease_is_expired_after_pause() {
    let mut fleet = Fleet::with_map(5, 2, 15);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others waited for the paused broker");
    // When the broker resumes, it has not received anything about version 2 yet, and may still have a part queued for
    // the owner in version 1.
    let (config, resumed_at) =
        (fleet.brokers[6].lease_client.as_ref().unwrap().active_config(), fleet.clock(6) + 0.05);
    assert_eq!(config.phase(resumed_at), ConfigPhase::LeaseExpired(1));
    assert!(matches!(config.owner(1, resumed_at), SegmentOwner::Unavailable(_)));
    assert_activated_within(&mut fleet, 5.0);
}

/// A fleet in which broker 6 was paused, and its clock was set back during the pause. `offset` is the reading of that
/// clock when the broker resumes, in seconds relative to the last reading before the pause.
fn fleet_with_clock_set_back(offset: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::with_map(5, 2, seed);
    // Waits until the request for the present lease is old enough: when broker 6 resumes, its clock must read a later
    // time than when that request was sent, although the clock was set back.
    fleet.run_until(2.0, |fleet| {
        fleet.brokers[6].lease_client.as_ref().unwrap().active_config().lease_expires_at() - fleet.clock(6)
            < 0.8
    });
    let last = fleet.clock(6);
    fleet.pause(6, 5.0);
    fleet.propose(propose(2)).unwrap();
    fleet.run_for(4.95);
    assert!(fleet.invariants.activated_at.contains_key(&2), "the others waited for the paused broker");
    let set_back_seconds = fleet.clock(6) + 0.05 * fleet.brokers[6].clock_rate - last - offset;
    fleet.set_clock_back(6, set_back_seconds);
    fleet
}

#[test]
fn backward_clock_ends_lease() {
    let mut fleet = fleet_with_clock_set_back(-0.1, 15);
    fleet.run_for(0.2);
    let client = fleet.brokers[6].lease_client.as_ref().unwrap();
    assert!(
        matches!(client.distrust_reason(), Some(Rejection::ClockWentBack { .. })),
        "{:?}",
        client.distrust_reason()
    );
    assert!(!fleet.has_lease(6));
}

/// Guards against a lease that stays valid after a pause that the broker's clock does not show. The broker cannot
/// detect such a pause before the first reply, so the fleet's invariants are not checked for it until then.
#[test]
fn hidden_pause_ends_lease_at_first_reply() {
    let mut fleet = fleet_with_clock_set_back(0.1, 15);
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
    // The former leader resumes and still considers itself the leader. The first message that it receives is a new
    // lease request.
    let request = LeaseRequest {
        sent_at: 0.0,
        id: 1,
        broker: String::from("n7"),
        known_versions: Vec::new(),
        joint_version: None,
        run_id: 1,
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
    assert_eq!(replies.len(), 1, "the request gets one reply");
}

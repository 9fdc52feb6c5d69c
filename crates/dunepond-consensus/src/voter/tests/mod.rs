use super::Voter;
use crate::{ConsensusConfig, StoredVoter};

#[test]
fn unreadable_entry_stops_voter() {
    let config = ConsensusConfig {
        name: String::from("n1"),
        voters: vec![String::from("n1")],
        lease_seconds: 1.0,
        drift_ratio: 0.01,
        switch_bound_seconds: 3.0,
        longest_query_seconds: 1.0,
        fill_deadline_seconds: 1.0,
        max_changed_ratio: 1.0,
        maps_enabled: false,
        map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
    };
    let mut voter = Voter::open(config.clone(), StoredVoter::new(), 0.0, 1).unwrap();
    let mut stored = StoredVoter::new();
    let mut tick_and_store = |voter: &mut Voter, now: f64| {
        let record = voter.tick(now).write_batch.encode();
        stored.apply_record(&record).unwrap();
    };
    (1..100).for_each(|n| tick_and_store(&mut voter, 0.02 * f64::from(n)));
    assert!(voter.is_leader());
    voter.node.propose(Vec::new(), vec![255; 3]).unwrap();
    let index = voter.state().index;
    tick_and_store(&mut voter, 2.0);
    assert!(!voter.is_leader() && voter.state().index == index, "the voter stops at the entry");
    // After a restart with the same build the voter stops again, and its folder still contains the state.
    let mut restarted = Voter::open(config, stored, 0.0, 2).unwrap();
    assert!(restarted.tick(0.1).log_lines.iter().any(|line| line.starts_with("stopped voting")));
    assert!(!restarted.is_leader() && restarted.has_state());
}

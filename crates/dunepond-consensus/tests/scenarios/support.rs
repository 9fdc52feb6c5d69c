//! Commands and checks that the scenarios share.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// A command that proposes a version that requires no fill.
pub fn propose(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, false)))))
}

/// A command that proposes a version that requires one fill.
pub fn propose_with_fill(number: u64) -> Command {
    Command::Propose(Box::new(config_version(number, Some(shard_map(number, true)))))
}

/// A command that reports the fill required by the version of [`propose_with_fill`] as complete.
pub fn fill_completed(number: u64) -> Command {
    Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") }
}

/// A command that proposes a version with a first stage, in which half of the brokers act only on this version.
pub fn propose_staged(number: u64) -> Command {
    let mut version = config_version(number, Some(shard_map(number, false)));
    version.first_stage_ratio = Some(0.5);
    Command::Propose(Box::new(version))
}

/// Whether all brokers act on the joint configuration of versions 1 and 2.
pub fn is_joint(fleet: &Fleet) -> bool {
    fleet.all_in_phase(&ConfigPhase::Joint(1, 2))
}

/// Asserts that version 2 becomes active at all brokers within `seconds`, and that no broker acted only on version 1
/// after the switch bound had passed.
pub fn assert_activated_within(fleet: &mut Fleet, seconds: f64) {
    assert!(
        fleet.run_until(seconds, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))
            && fleet.all_have_leases()),
        "version 2 is not active everywhere"
    );
    let (proposed_at, last_alone_at) = (fleet.invariants.proposed_at[&2], fleet.invariants.last_alone_at[&1]);
    assert!(
        last_alone_at - proposed_at <= consensus_config("n1", 5).switch_bound_seconds,
        "a broker acted on version 1 alone until {:.2} s after the proposal",
        last_alone_at - proposed_at
    );
}

/// Asserts that version 2 becomes active at all brokers. The switch bound is not checked, since the scenarios that use
/// this function have longer faults.
pub fn assert_active_everywhere(fleet: &mut Fleet) {
    assert!(
        fleet.run_until(10.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases()),
        "version 2 is not active everywhere"
    );
}

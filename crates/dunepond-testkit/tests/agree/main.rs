//! Fleets of five to seven real brokers over links that fail. Whatever a story does, an auditor reads afterwards what
//! everybody did: no contradiction, no part twice, no act past a lease, no answer falsely whole.

use std::path::Path;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditPhase, longest_contradiction};
use dunepond_testkit::fleet::{Fleet, FleetOptions, QueryOutcome};
use dunepond_testkit::processes::wait_until;

mod changes;
mod maps;
mod partitions;
mod plans;
mod quotas;
mod random_faults;
mod rebalancing_faults;
mod settlement;
mod voter_folders;
mod voters;

const GAP: Duration = Duration::from_millis(60);

fn options(voters: usize, brokers: usize) -> FleetOptions {
    FleetOptions::new(Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")), voters, brokers)
}

/// All brokers but this one.
fn all_but(fleet: &Fleet, out: usize) -> Vec<usize> {
    (0..fleet.options.brokers).filter(|i| *i != out).collect()
}

fn wait_joint(fleet: &Fleet, brokers: &[usize], number: u64) {
    let joint = |i: &usize| {
        let recorded = fleet.phase(*i);
        recorded.is_some_and(|it| it.phase == AuditPhase::Joint && it.last_version == number)
    };
    assert!(wait_until(|| brokers.iter().all(joint)), "not all of {brokers:?} are joint");
}

/// Each scan that was sent has had its answer.
fn assert_all_answered(outcomes: &[QueryOutcome], brokers: &[usize]) {
    let lost = outcomes.iter().find(|one| one.sent && one.status.is_none() && brokers.contains(&one.broker));
    assert!(lost.is_none(), "{lost:?}");
}

/// Nobody ever might act on one version alone while another might on another.
fn assert_consistent(fleet: &Fleet) {
    fleet.assert_audit_clean();
    let longest = longest_contradiction(&fleet.records());
    assert!(longest <= 0.0, "two versions in force at once for {longest} s");
}

//! Fault tests on fleets of five to seven real broker processes that are connected by faulty links.
//!
//! After each scenario the auditor checks the records of all brokers: no two brokers may have acted on different
//! versions of the configuration at the same time, no non-idempotent part may have run twice, no attempt may have been sent
//! after the lease for it expired, and no answer may be marked complete that isn't.

use std::path::Path;
use std::time::Duration;

use dunepond_testkit::auditor::{AuditPhase, longest_version_conflict_seconds};
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

/// Pause of a client between two queries.
const QUERY_PAUSE: Duration = Duration::from_millis(60);

fn options(voters: usize, brokers: usize) -> FleetOptions {
    FleetOptions::new(Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")), voters, brokers)
}

/// Indexes of all brokers except `excluded`.
fn all_but(fleet: &Fleet, excluded: usize) -> Vec<usize> {
    (0..fleet.options.broker_count).filter(|i| *i != excluded).collect()
}

/// Waits until all these brokers are in the joint phase of the change to the version with this number.
fn wait_for_joint_phase(fleet: &Fleet, brokers: &[usize], version_number: u64) {
    let is_joint = |i: &usize| {
        let recorded = fleet.last_phase(*i);
        recorded.is_some_and(|phase| phase.phase == AuditPhase::Joint && phase.last_version == version_number)
    };
    assert!(
        wait_until(|| brokers.iter().all(is_joint)),
        "not all of {brokers:?} entered the joint phase of version {version_number}"
    );
}

/// Checks that every query sent to one of `brokers` was answered.
fn assert_all_answered(outcomes: &[QueryOutcome], brokers: &[usize]) {
    let unanswered = outcomes
        .iter()
        .find(|outcome| outcome.sent && outcome.status.is_none() && brokers.contains(&outcome.broker_index));
    assert!(unanswered.is_none(), "a query was not answered: {unanswered:?}");
}

/// Checks that the audit has no findings, and that at no time two brokers could act on different versions alone.
fn assert_consistent(fleet: &Fleet) {
    fleet.assert_audit_clean();
    let longest = longest_version_conflict_seconds(&fleet.records());
    assert!(longest <= 0.0, "two versions were in force at the same time for {longest} s");
}

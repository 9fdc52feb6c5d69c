//! Random faults that are drawn from a seed.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditEvent;
use dunepond_testkit::fleet::{Fleet, FleetOptions, broker_name};
use dunepond_testkit::links::{HEALTHY, LinkConditions, PARTITIONED};
use dunepond_testkit::processes::wait_until;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use super::{QUERY_PAUSE, assert_consistent, options};

/// Draws 40 actions one after the other: cuts, slow and lossy links, connection resets, killed and suspended brokers, brokers
/// restarted with a deleted or an outdated folder, and changes of the configuration among them. After all faults
/// are repaired, the brokers have to agree on one more change, and the audit must have no findings.
#[rstest]
#[ignore = "takes half a minute for each seed; run it manually"]
fn random_faults_cause_no_contradiction(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::start_with_active_version(FleetOptions { seed, ..options(5, 7) });
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let clients = fleet.start_clients(0..7, QUERY_PAUSE);
    let (mut version_number, mut killed, mut folder_copy) = (1, None, None);
    for _ in 0..40 {
        let (broker, other) = (rng.random_range(0..7), rng.random_range(0..7));
        match rng.random_range(0..9) {
            0 => fleet.partition(&[
                &[broker, other],
                &[(broker + 1) % 7, (broker + 2) % 7, (broker + 3) % 7, (broker + 4) % 7],
            ]),
            1 => fleet.links.set_all_conditions(&LinkConditions {
                delay_seconds: 0.03,
                jitter_seconds: 0.05,
                loss_ratio: 0.05,
                duplicate_ratio: 0.1,
                ..HEALTHY
            }),
            2 if broker != other => {
                fleet.links.set_conditions(&broker_name(broker), &broker_name(other), &PARTITIONED)
            }
            3 if broker != other => fleet.links.reset_connections(&broker_name(broker), &broker_name(other)),
            4 if killed.is_none() => {
                fleet.brokers[broker].kill();
                killed = Some(broker);
            }
            5 if killed != Some(broker) => {
                fleet.brokers[broker].suspend();
                thread::sleep(Duration::from_secs_f64(rng.random_range(0.05..2.0)));
                fleet.brokers[broker].resume();
            }
            6 => folder_copy = Some((broker, fleet.brokers[broker].copy_folder_to_scratch())),
            7 => fleet.links.set_all_conditions(&HEALTHY),
            _ => {
                // A number stands for the same content whichever broker proposes it, so a number that was proposed is not
                // used for another version.
                version_number += u64::from(fleet.has_event(
                    |event| matches!(event, AuditEvent::Proposed { number, .. } if *number == version_number),
                ));
                let next = fleet.config_version(
                    version_number,
                    &[version_number % 6, (version_number + 3) % 6],
                    &[],
                );
                fleet.write_version(broker, &next);
                if killed != Some(broker) {
                    fleet.brokers[broker].reload_config();
                }
            }
        }
        thread::sleep(Duration::from_secs_f64(rng.random_range(0.05..0.8)));
        if let Some(broker) = killed.filter(|_| rng.random_bool(0.4)) {
            match folder_copy.take_if(|(owner, _)| *owner == broker) {
                Some((_, copy)) => fleet.brokers[broker].restore_folder(&copy),
                None if rng.random_bool(0.3) => fleet.brokers[broker].remove_folder(),
                None => {}
            }
            fleet.brokers[broker].start();
            killed = None;
        }
    }
    fleet.links.set_all_conditions(&HEALTHY);
    if let Some(broker) = killed {
        fleet.brokers[broker].start();
    }
    // One more change, with a number that has not been used yet.
    let last_version = fleet.config_version(version_number + 1, &[], &[]);
    let last_is_proposed = |fleet: &Fleet| {
        fleet.has_event(
            |event| matches!(event, AuditEvent::Proposed { number, .. } if *number > version_number),
        )
    };
    let proposed = wait_until(|| {
        if !last_is_proposed(&fleet) {
            fleet.propose(
                0,
                &fleet.config_version(version_number, &[version_number % 6, (version_number + 3) % 6], &[]),
            );
            thread::sleep(Duration::from_secs(3));
            fleet.propose(0, &last_version);
        }
        thread::sleep(Duration::from_secs(1));
        last_is_proposed(&fleet)
    });
    assert!(proposed, "version {} was not proposed after all faults were repaired", version_number + 1);
    fleet.wait_for_active_version(0..7, version_number + 1);
    let (outcomes, record_count) = (clients.stop(), fleet.records().entries.len());
    let served = outcomes.iter().filter(|outcome| outcome.status == Some(200)).count();
    println!(
        "{} versions, {served} of {} queries served, {record_count} audit records",
        version_number + 1,
        outcomes.len()
    );
    assert_consistent(&fleet);
}

//! Faults drawn from a seed.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::AuditEvent;
use dunepond_testkit::fleet::{Fleet, FleetOptions, broker_name};
use dunepond_testkit::links::{CUT, HEALTHY, LinkConditions};
use dunepond_testkit::processes::wait_until;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use super::{GAP, assert_consistent, options};

/// Faults on no list, drawn one after the other: cuts, slow and lossy links, resets, brokers killed, stopped, without their
/// folder, with an old one, and changes in the midst of it all. Whole again, all agree, and the auditor has nothing to say.
#[rstest]
#[ignore = "half a minute for each seed; run by hand"]
fn random_faults_cause_no_contradiction(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut fleet = Fleet::start_with_version(FleetOptions { seed, ..options(5, 7) });
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let clients = fleet.clients(0..7, GAP);
    let (mut number, mut down, mut old) = (1, None, None);
    for _ in 0..40 {
        let (one, other) = (rng.random_range(0..7), rng.random_range(0..7));
        match rng.random_range(0..9) {
            0 => fleet
                .partition(&[&[one, other], &[(one + 1) % 7, (one + 2) % 7, (one + 3) % 7, (one + 4) % 7]]),
            1 => fleet.links.set_all(&LinkConditions {
                delay_seconds: 0.03,
                jitter_seconds: 0.05,
                loss_ratio: 0.05,
                duplicate_ratio: 0.1,
                ..HEALTHY
            }),
            2 if one != other => fleet.links.set(&broker_name(one), &broker_name(other), &CUT),
            3 if one != other => fleet.links.reset(&broker_name(one), &broker_name(other)),
            4 if down.is_none() => {
                fleet.brokers[one].kill();
                down = Some(one);
            }
            5 if down != Some(one) => {
                fleet.brokers[one].suspend();
                thread::sleep(Duration::from_secs_f64(rng.random_range(0.05..2.0)));
                fleet.brokers[one].resume();
            }
            6 => old = Some((one, fleet.brokers[one].copy_folder_to_scratch())),
            7 => fleet.links.set_all(&HEALTHY),
            _ => {
                // What a number stands for is the same whoever proposes it.
                number += u64::from(fleet.any_event(
                    |act| matches!(act, AuditEvent::Proposed { number: of, .. } if *of == number),
                ));
                let next = fleet.config_version(number, &[number % 6, (number + 3) % 6], &[]);
                fleet.place_version(one, &next);
                if down != Some(one) {
                    fleet.brokers[one].reload_config();
                }
            }
        }
        thread::sleep(Duration::from_secs_f64(rng.random_range(0.05..0.8)));
        if let Some(broker) = down.filter(|_| rng.random_bool(0.4)) {
            match old.take_if(|(of, _)| *of == broker) {
                Some((_, copy)) => fleet.brokers[broker].restore_folder(&copy),
                None if rng.random_bool(0.3) => fleet.brokers[broker].remove_folder(),
                None => {}
            }
            fleet.brokers[broker].start();
            down = None;
        }
    }
    fleet.links.set_all(&HEALTHY);
    if let Some(broker) = down {
        fleet.brokers[broker].start();
    }
    // One more change, with a number that nobody has used.
    let last = fleet.config_version(number + 1, &[], &[]);
    let proposed = |fleet: &Fleet| {
        fleet.any_event(|act| matches!(act, AuditEvent::Proposed { number: of, .. } if *of > number))
    };
    let all = wait_until(|| {
        if !proposed(&fleet) {
            fleet.propose(0, &fleet.config_version(number, &[number % 6, (number + 3) % 6], &[]));
            thread::sleep(Duration::from_secs(3));
            fleet.propose(0, &last);
        }
        thread::sleep(Duration::from_secs(1));
        proposed(&fleet)
    });
    assert!(all, "nothing is agreed on any more");
    fleet.wait_active(0..7, number + 1);
    let (outcomes, acts) = (clients.stop(), fleet.records().lines.len());
    let served = outcomes.iter().filter(|one| one.status == Some(200)).count();
    println!("{} versions, {served} of {} scans served, {acts} lines of records", number + 1, outcomes.len());
    assert_consistent(&fleet);
}

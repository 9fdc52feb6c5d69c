//! Bounds that the fleet shares, while who has a part is alone, dead, cut off or stopped.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::limits::{QUOTA_UNITS as UNITS, peak_units};
use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{Fleet, FleetOptions, QueryOutcome, broker_name, outcome_ratio};
use dunepond_testkit::links::{CUT, HEALTHY};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{assert_all_answered, assert_consistent, options};

const BROKERS: usize = 5;
/// Parts a second that a node takes once it is warm; a quarter of it is floors.
const RATE: f64 = 20.0;
const FLOOR: f64 = 0.25 / BROKERS as f64;
const MULTIPLE: f64 = 2.0;
const BOUND: &str = "cold";
/// As traffic that comes in at one broker.
const BUSY: Duration = Duration::from_millis(15);

fn sharing() -> FleetOptions {
    let more = vec![format!("limits floor=0.25 every=0.3 {{ cold rate={RATE:?}; }}")];
    FleetOptions { balancers: BROKERS, extra_lines: more, ..options(3, BROKERS) }
}

/// Units that a broker was last told, floor left out.
fn part(fleet: &Fleet, broker: usize) -> u32 {
    let lines = fleet.records().lines.into_iter().rev().filter(|line| line.broker == broker_name(broker));
    let told = lines.filter_map(|line| match line.event {
        AuditEvent::QuotaShare { leased_units, .. } => Some(leased_units.get(BOUND).copied().unwrap_or(0)),
        _ => None,
    });
    told.take(1).sum()
}

/// Traffic at one broker until most of the spare units are its own.
fn gathered(fleet: &Fleet, broker: usize) {
    let clients = fleet.clients([broker], BUSY);
    let there = wait_until(|| part(fleet, broker) > 150_000);
    assert!(there, "{} has {} units", broker_name(broker), part(fleet, broker));
    clients.stop();
}

fn within_the_whole(fleet: &Fleet) {
    let largest = peak_units(&fleet.records());
    assert!(largest[BOUND] <= UNITS, "{largest:?}");
    assert!(largest[BOUND] > UNITS / 3, "hardly anything was ever leased: {largest:?}");
    assert_consistent(fleet);
}

/// Who is left has no majority, and its lease runs out: from then on its floor is all that it has, and it serves by that.
#[test]
fn isolated_broker_falls_back_to_floor() {
    let fleet = Fleet::start_with_version(sharing());
    let (left, rest) = (4, [0, 1, 2, 3]);
    gathered(&fleet, left);
    rest.iter().for_each(|i| fleet.brokers[*i].suspend());
    fleet.wait_for_phase(left, AuditPhase::LeaseExpired);
    fleet.report_cold("s-5");
    let (clients, lasted) = (fleet.clients([left], BUSY), 3.0);
    let before = fleet.nodes[5].part_arrivals().len();
    thread::sleep(Duration::from_secs_f64(lasted));
    let came = (fleet.nodes[5].part_arrivals().len() - before) as f64;
    let outcomes = clients.stop();
    // Before the list's word has come it is taken for warm for a moment.
    let (floor, told) = (MULTIPLE * FLOOR * RATE * lasted, 12.0);
    assert!(came < floor + told, "{came} parts came to the cold node, {floor} are the floor's");
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |one| one.status == Some(200));
    assert!(served > 0.9, "{served} of replayable scans served");
    assert_all_answered(&outcomes, &[left]);
    rest.iter().for_each(|i| fleet.brokers[*i].resume());
    fleet.wait_active(0..BROKERS, 1);
    gathered(&fleet, 0);
    within_the_whole(&fleet);
}

#[derive(Clone, Copy)]
enum How {
    Killed,
    CutOff,
    StartedAnew,
}

/// What it had is another's only once it surely acts on it no more, and the window behind that is over.
#[rstest]
fn departed_brokers_share_is_reassigned(#[values(How::Killed, How::CutOff, How::StartedAnew)] how: How) {
    let mut fleet = Fleet::start_with_version(sharing());
    gathered(&fleet, 4);
    let clients = fleet.clients([3, 4], BUSY);
    match how {
        How::Killed => fleet.brokers[4].kill(),
        How::CutOff => fleet.links.set_around(&["n5"], &CUT),
        How::StartedAnew => {
            fleet.brokers[4].kill();
            fleet.brokers[4].start();
        }
    }
    let there = wait_until(|| part(&fleet, 3) > 100_000);
    assert!(there, "n4 has {} units", part(&fleet, 3));
    fleet.links.set_all(&HEALTHY);
    if matches!(how, How::Killed) {
        fleet.brokers[4].start();
    }
    fleet.wait_active(0..BROKERS, 1);
    clients.stop();
    within_the_whole(&fleet);
}

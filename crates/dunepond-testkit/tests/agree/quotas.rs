//! Quotas that the brokers of a fleet share, while a broker that has leased a share of one is isolated, killed or
//! restarted.

use std::thread;
use std::time::Duration;

use dunepond_testkit::auditor::quotas::{QUOTA_UNITS, peak_units};
use dunepond_testkit::auditor::{AuditEvent, AuditPhase};
use dunepond_testkit::fleet::{Fleet, FleetOptions, QueryOutcome, broker_name, outcome_ratio};
use dunepond_testkit::links::{HEALTHY, PARTITIONED};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{assert_all_answered, assert_consistent, options};

const BROKERS: usize = 5;
/// Rate of the quota: the parts per second that one warm node accepts. A quarter of the quota is reserved for the floors.
const WARM_NODE_RATE: f64 = 20.0;
/// Share of the quota that each broker may use without a lease.
const FLOOR_SHARE: f64 = 0.25 / BROKERS as f64;
/// Number of attempts that a node in slow start may be sent, as a multiple of those it completed.
const SLOW_START_MULTIPLE: f64 = 2.0;
/// Name of the quota on parts to cold nodes.
const COLD_QUOTA: &str = "cold";
/// Pause of a client between two queries when one broker gets most of the traffic.
const BUSY_QUERY_PAUSE: Duration = Duration::from_millis(15);

fn fleet_options() -> FleetOptions {
    let limits = vec![format!("limits floor=0.25 every=0.3 {{ cold rate={WARM_NODE_RATE:?}; }}")];
    FleetOptions { configured_broker_count: BROKERS, extra_kdl_lines: limits, ..options(3, BROKERS) }
}

/// Units of the quota that the broker was last leased, in addition to its floor.
fn leased_units(fleet: &Fleet, broker: usize) -> u32 {
    let lines = fleet.records().entries.into_iter().rev().filter(|line| line.broker == broker_name(broker));
    let leased = lines.filter_map(|line| match line.event {
        AuditEvent::QuotaShare { leased_units, .. } => {
            Some(leased_units.get(COLD_QUOTA).copied().unwrap_or(0))
        }
        _ => None,
    });
    leased.take(1).sum()
}

/// Sends traffic to one broker until it has leased most of the units that are not floors.
fn lease_most_units(fleet: &Fleet, broker: usize) {
    let clients = fleet.start_clients([broker], BUSY_QUERY_PAUSE);
    let enough = wait_until(|| leased_units(fleet, broker) > 150_000);
    assert!(enough, "{} has only {} units", broker_name(broker), leased_units(fleet, broker));
    clients.stop();
}

/// Checks that the brokers together never exceeded the quota, and that they used a substantial part of it.
fn assert_within_quota(fleet: &Fleet) {
    let peaks = peak_units(&fleet.records());
    assert!(peaks[COLD_QUOTA] <= QUOTA_UNITS, "the quota was exceeded: {peaks:?}");
    assert!(peaks[COLD_QUOTA] > QUOTA_UNITS / 3, "less than a third of the quota was ever leased: {peaks:?}");
    assert_consistent(fleet);
}

/// All other brokers are suspended, so the remaining one has no majority and its lease expires. From then on it may only use
/// its floor, and it has to keep serving with that.
#[test]
fn isolated_broker_falls_back_to_floor() {
    let fleet = Fleet::start_with_active_version(fleet_options());
    let (isolated, rest) = (4, [0, 1, 2, 3]);
    lease_most_units(&fleet, isolated);
    rest.iter().for_each(|i| fleet.brokers[*i].suspend());
    fleet.wait_for_phase(isolated, AuditPhase::LeaseExpired);
    fleet.report_node_restarted("s-5");
    let (clients, duration_seconds) = (fleet.start_clients([isolated], BUSY_QUERY_PAUSE), 3.0);
    let before = fleet.nodes[5].part_arrivals().len();
    thread::sleep(Duration::from_secs_f64(duration_seconds));
    let arrived = (fleet.nodes[5].part_arrivals().len() - before) as f64;
    let outcomes = clients.stop();
    // The broker takes the node for warm until it has read the new list of nodes, and sends it some more parts.
    let (floor_parts, parts_before_list_update) =
        (SLOW_START_MULTIPLE * FLOOR_SHARE * WARM_NODE_RATE * duration_seconds, 12.0);
    assert!(
        arrived < floor_parts + parts_before_list_update,
        "{arrived} parts came to the cold node, but the floor allows {floor_parts}"
    );
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |outcome| outcome.status == Some(200));
    assert!(served > 0.9, "only {served} of the idempotent queries were served");
    assert_all_answered(&outcomes, &[isolated]);
    rest.iter().for_each(|i| fleet.brokers[*i].resume());
    fleet.wait_for_active_version(0..BROKERS, 1);
    lease_most_units(&fleet, 0);
    assert_within_quota(&fleet);
}

#[derive(Clone, Copy)]
enum Departure {
    Killed,
    CutOff,
    Restarted,
}

/// The units that a broker had leased may go to another broker only after the first certainly no longer uses them and the
/// quota's window since then has passed.
#[rstest]
fn departed_brokers_share_is_reassigned(
    #[values(Departure::Killed, Departure::CutOff, Departure::Restarted)] departure: Departure,
) {
    let mut fleet = Fleet::start_with_active_version(fleet_options());
    lease_most_units(&fleet, 4);
    let clients = fleet.start_clients([3, 4], BUSY_QUERY_PAUSE);
    match departure {
        Departure::Killed => fleet.brokers[4].kill(),
        Departure::CutOff => fleet.links.set_conditions_around(&["n5"], &PARTITIONED),
        Departure::Restarted => {
            fleet.brokers[4].kill();
            fleet.brokers[4].start();
        }
    }
    let enough = wait_until(|| leased_units(&fleet, 3) > 100_000);
    assert!(enough, "n4 has only {} units", leased_units(&fleet, 3));
    fleet.links.set_all_conditions(&HEALTHY);
    if matches!(departure, Departure::Killed) {
        fleet.brokers[4].start();
    }
    fleet.wait_for_active_version(0..BROKERS, 1);
    clients.stop();
    assert_within_quota(&fleet);
}

//! Debts between partners, and their settlement, while brokers crash, report false counts or are partitioned.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use dunepond_settlement::{BrokerPartners, CarriedCounts, LocalCounts};
use dunepond_storage::{DiskStore, FileStore, SnapshotStore};
use dunepond_testkit::auditor::{AuditEvent, AuditPhase, AuditRecord};
use dunepond_testkit::fleet::{Fleet, FleetOptions, PARTNERS, SEGMENT_BYTES, broker_name};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{assert_all_answered, assert_consistent, options};

/// The partner whose clients send the queries.
const DEBTOR: &str = PARTNERS[0];
/// The partner whose nodes serve the queries of the debtor's clients.
const CREDITOR: &str = PARTNERS[1];

fn counts_store(files: Arc<dyn FileStore>) -> SnapshotStore {
    SnapshotStore::new(files, "counts", 1)
}

/// Reads a broker's counts from its folder. They are stored before they are sent to other brokers.
fn stored_counts(fleet: &Fleet, broker: usize) -> Option<LocalCounts> {
    let files = DiskStore::open_read_only(&fleet.brokers[broker].folder).ok()?;
    let newest = counts_store(Arc::new(files)).load().ok()?.newest?;
    postcard::from_bytes(&newest.bytes).ok()
}

/// Bytes that the creditor carried for the debtor by the count of the broker `counter`, as far as the broker `at` knows.
fn known_count(fleet: &Fleet, at: usize, counter: usize) -> u64 {
    let counter = broker_name(counter);
    stored_counts(fleet, at)
        .map_or(0, |stored| stored.counts().total_of(CREDITOR, DEBTOR, |broker| broker == counter))
}

/// Bytes that the creditor carried for the debtor by the counts of all brokers, as far as the broker `at` knows.
pub(super) fn known_debt(fleet: &Fleet, at: usize) -> u64 {
    stored_counts(fleet, at).map_or(0, |stored| stored.counts().total_of(CREDITOR, DEBTOR, |_| true))
}

/// Sends one second of traffic through `broker` alone, waits until `others` know its count, and returns the count in bytes.
fn generate_debt(fleet: &Fleet, broker: usize, others: &[usize]) -> u64 {
    let clients = fleet.start_clients([broker], Duration::from_millis(20));
    thread::sleep(Duration::from_secs(1));
    assert_all_answered(&clients.stop(), &[broker]);
    // Longer than the longest interval between two counts, so that the last bytes are counted.
    thread::sleep(Duration::from_secs(2));
    let counted = known_count(fleet, broker, broker);
    assert!(counted > 0, "{} counted no bytes that the creditor carried for the debtor", broker_name(broker));
    let is_known = wait_until(|| others.iter().all(|at| known_count(fleet, *at, broker) == counted));
    assert!(is_known, "not all of the brokers {others:?} know of the {counted} bytes");
    counted
}

/// Waits until all these brokers have recorded at least as many settlements as expected, and checks that they are exactly the
/// expected ones, given by id and bytes, each recorded once.
fn assert_settled(fleet: &Fleet, brokers: &[usize], expected: &[(&str, u64)]) {
    let recorded = |broker: usize| {
        let lines = fleet.records().entries.into_iter().filter(|line| line.broker == broker_name(broker));
        let settled = lines.filter_map(|line| match line.event {
            AuditEvent::Settled { id, debtor, creditor, bytes, .. } => Some((id, debtor, creditor, bytes)),
            _ => None,
        });
        settled.collect::<Vec<_>>()
    };
    let all_recorded = wait_until(|| brokers.iter().all(|i| recorded(*i).len() >= expected.len()));
    let with_partners = |(id, bytes): &(&str, u64)| (id.to_string(), DEBTOR.into(), CREDITOR.into(), *bytes);
    let expected: Vec<(String, String, String, u64)> = expected.iter().map(with_partners).collect();
    for broker in brokers {
        assert_eq!(
            recorded(*broker),
            expected,
            "settlements at {}; as many as expected at all brokers: {all_recorded}",
            broker_name(*broker)
        );
    }
}

/// Writes counts into the folder of a broker that is not running.
fn store_counts(fleet: &Fleet, broker: usize, counts: &LocalCounts) {
    let files = DiskStore::open(&fleet.brokers[broker].folder).unwrap();
    counts_store(Arc::new(files)).write(&postcard::to_stdvec(counts).unwrap()).unwrap();
}

/// The only broker that counted a debt crashes for good after it has sent its counts to the others. One fill is not enough to
/// settle the debt, so the second one has to be planned with the first settlement taken into account.
#[test]
fn debt_counted_by_crashed_broker_is_settled_once() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let (crashed, rest) = (4, [0, 1, 2, 3]);
    let carried = generate_debt(&fleet, crashed, &rest);
    // The clients' queries amount to only hundreds of bytes; the rest is added to the stored counts.
    let counted = SEGMENT_BYTES + SEGMENT_BYTES / 2;
    fleet.brokers[crashed].kill();
    let mut counts = stored_counts(&fleet, crashed).expect("the broker should have stored its counts");
    counts.record(CREDITOR, DEBTOR, counted - carried);
    store_counts(&fleet, crashed, &counts);
    fleet.brokers[crashed].start();
    let is_known = wait_until(|| rest.iter().all(|at| known_count(&fleet, *at, crashed) == counted));
    assert!(is_known, "not all brokers know the counts of the broker that crashes");
    fleet.brokers[crashed].kill();
    // The leader loses its memory too: it has to recover the counts from its folder or from the others.
    let leader = fleet.wait_for_leader();
    fleet.brokers[leader].kill();
    fleet.brokers[leader].start();
    assert!(wait_until(|| fleet.brokers[leader].is_ready()));
    let proposer = rest.into_iter().find(|i| *i != leader).unwrap();
    let second = fleet.config_version(2, &[], &[1]);
    fleet.propose(proposer, &second);
    fleet.wait_for_active_version(rest, 2);
    assert_settled(&fleet, &rest, &[("2/1/s-3@fleet", SEGMENT_BYTES)]);
    let third = fleet.config_version(3, &[], &[3]);
    fleet.propose(proposer, &third);
    fleet.wait_for_active_version(rest, 3);
    assert_settled(
        &fleet,
        &rest,
        &[("2/1/s-3@fleet", SEGMENT_BYTES), ("3/3/s-5@fleet", counted - SEGMENT_BYTES)],
    );
    assert_consistent(&fleet);
}

/// The creditor's broker reports ten times the bytes that the debtor's broker counted: as its own count only, or also as the
/// count of the debtor's broker. Only the debtor's count is settled.
#[rstest]
#[case::in_its_own_name(false)]
#[case::in_its_own_and_the_debtors_name(true)]
fn inflated_count_is_not_settled(#[case] in_the_debtors_name: bool) {
    let (debtor_broker, creditor_broker) = (3, 4);
    let mut fleet = Fleet::start_with_active_version(FleetOptions {
        partner_brokers: [vec![debtor_broker], vec![creditor_broker]],
        ..options(3, 5)
    });
    let counted = generate_debt(&fleet, debtor_broker, &[0, 1, 2]);
    let false_count = 10 * counted;
    assert!(false_count < SEGMENT_BYTES, "one fill cannot settle {false_count} bytes");
    fleet.brokers[creditor_broker].kill();
    let mut false_counts =
        stored_counts(&fleet, creditor_broker).expect("the broker should have stored its counts");
    false_counts.record(CREDITOR, DEBTOR, false_count);
    if in_the_debtors_name {
        let mut peer_counts = CarriedCounts::new();
        let incarnation = stored_counts(&fleet, debtor_broker).unwrap().incarnation();
        peer_counts.record(&broker_name(debtor_broker), incarnation, CREDITOR, DEBTOR, false_count);
        false_counts
            .merge_from_peer(&broker_name(creditor_broker), &peer_counts, &BrokerPartners::default())
            .unwrap();
    }
    store_counts(&fleet, creditor_broker, &false_counts);
    fleet.brokers[creditor_broker].start();
    let is_known = wait_until(|| (0..3).all(|at| known_count(&fleet, at, creditor_broker) == false_count));
    assert!(is_known, "not all brokers know the false count of {false_count} bytes");
    let next = fleet.config_version(2, &[], &[1]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version(0..5, 2);
    assert_settled(&fleet, &[0, 1, 2, 3, 4], &[("2/1/s-3@fleet", counted)]);
    assert_consistent(&fleet);
}

/// Adds to the stored counts of `broker` that the creditor carried `bytes`, restarts the broker, and waits until `others`
/// know a count of that many bytes from it.
fn add_debt(fleet: &mut Fleet, broker: usize, bytes: u64, others: &[usize]) {
    fleet.brokers[broker].kill();
    let mut counts = stored_counts(fleet, broker)
        .unwrap_or_else(|| LocalCounts::open(None, &broker_name(broker), 1).unwrap());
    counts.record(CREDITOR, DEBTOR, bytes);
    store_counts(fleet, broker, &counts);
    fleet.brokers[broker].start();
    let is_known = wait_until(|| others.iter().all(|at| known_count(fleet, *at, broker) == bytes));
    assert!(is_known, "not all brokers know of the {bytes} bytes that {} counted", broker_name(broker));
}

/// Settlements that `broker` has applied, as ids and bytes.
fn applied_settlements(fleet: &Fleet, broker: usize) -> Vec<(String, u64)> {
    let lines = fleet.records().entries.into_iter().filter(|line| line.broker == broker_name(broker));
    let settled = lines.filter_map(|line| match line.event {
        AuditEvent::Settled { id, bytes, .. } => Some((id, bytes)),
        _ => None,
    });
    settled.collect()
}

/// During a partition, each side fills the cold replicas that are assigned to its brokers and settles them from these brokers'
/// shares of the debt: the majority at once, the minority when the partition heals. One broker of the minority is killed in
/// between and has to recover from its folder. If the partition lasts long, each side also fills the replicas that are
/// assigned to the other side: the same fills under the same ids, of which only one may settle.
#[rstest]
#[case::each_side_fills_its_own(60.0, 12, 13)]
#[case::each_side_fills_all(12.0, 24, 60)]
fn partition_settles_within_debt(
    #[case] slow_start_seconds: f64,
    #[case] min_fills: usize,
    #[case] max_fill_requests: usize,
) {
    let mut fleet = Fleet::start_with_active_version(FleetOptions {
        slow_start_seconds: Some(slow_start_seconds),
        node_count: 12,
        segment_count: 12,
        ..options(3, 5)
    });
    let (majority, minority) = ([0, 1, 2], [3, 4]);
    // Less than the 12 fills amount to, so that the shares of the debt run out.
    let owed = 9 * SEGMENT_BYTES;
    fleet.max_debt_bytes = Some(owed);
    add_debt(&mut fleet, 4, owed, &[0, 1, 2, 3]);
    let has_split_debt = |i: &usize| fleet.log_contains(*i, "are split in advance");
    assert!(wait_until(|| (0..5).all(|i| has_split_debt(&i))), "not all brokers split the debt in advance");
    fleet.partition(&[&majority[..], &minority[..]]);
    fleet.wait_for_phase(3, AuditPhase::LeaseExpired);
    fleet.wait_for_phase(4, AuditPhase::LeaseExpired);
    // All of the creditor's nodes count as just started; their replicas are filled from the debtor's nodes.
    fleet.report_nodes_restarted(&[1, 3, 5, 7, 9, 11]);
    let done_fills = |brokers: &[usize]| {
        let names: Vec<_> = brokers.iter().map(|i| broker_name(*i)).collect();
        let lines = fleet.records().entries.into_iter().filter(|line| names.contains(&line.broker));
        lines.filter(|line| matches!(&line.event, AuditEvent::Fill { state, .. } if state == "done")).count()
    };
    assert!(wait_until(|| done_fills(&majority) > 0
        && done_fills(&minority) > 0
        && done_fills(&majority) + done_fills(&minority) >= min_fills));
    assert!(wait_until(|| majority.iter().all(|i| !applied_settlements(&fleet, *i).is_empty())));
    assert_eq!(applied_settlements(&fleet, 3), [], "n4 settled a fill without a majority");
    fleet.brokers[3].kill();
    fleet.brokers[3].start();
    fleet.partition(&[&[0, 1, 2, 3, 4]]);
    let has_settled_for_minority = |i: &usize| {
        let is_of_minority =
            |id: &str| minority.iter().any(|other| id.ends_with(&format!("@{}", broker_name(*other))));
        applied_settlements(&fleet, *i).iter().any(|(id, _)| is_of_minority(id))
    };
    assert!(
        wait_until(|| (0..5).all(|i| has_settled_for_minority(&i))),
        "not all brokers settled the fills of the minority"
    );
    thread::sleep(Duration::from_secs(2));
    let (at_first, fill_request_count) =
        (applied_settlements(&fleet, 0), fleet.fill_service.fill_request_count());
    let sum: u64 = at_first.iter().map(|(_, bytes)| bytes).sum();
    assert!(sum > 0 && sum <= owed, "{sum} bytes were settled of a debt of {owed}");
    for i in [1, 2, 4] {
        assert_eq!(
            applied_settlements(&fleet, i).len(),
            at_first.len(),
            "number of settlements at {}",
            broker_name(i)
        );
    }
    let fill_id = |line: AuditRecord| match line.event {
        AuditEvent::Fill { id, .. } => Some(id),
        _ => None,
    };
    let ids: BTreeSet<_> = fleet.records().entries.into_iter().filter_map(fill_id).collect();
    assert_eq!(ids.len(), 12, "expected 12 ids, since no fill may have two: {ids:?}");
    assert!(
        fill_request_count <= max_fill_requests,
        "{fill_request_count} fill requests for {min_fills} fills; a fill may be requested again after a restart"
    );
    assert_eq!(fleet.audit(), []);
}

/// Both partners count what the creditor's nodes carried. Only the lower count is settled, whichever partner reports it.
#[rstest]
#[case::creditor_counts_ten_times_as_much(4_000, 40_000, 4_000)]
#[case::debtor_counts_more(9_000, 3_000, 3_000)]
fn lower_count_is_settled(
    #[case] debtor_count: u64,
    #[case] creditor_count: u64,
    #[case] expected_bytes: u64,
) {
    let (debtor_broker, creditor_broker) = (3, 4);
    let mut fleet = Fleet::start_with_active_version(FleetOptions {
        partner_brokers: [vec![debtor_broker], vec![creditor_broker]],
        metering_enabled: true,
        ..options(3, 5)
    });
    add_debt(&mut fleet, debtor_broker, debtor_count, &[0, 1, 2]);
    add_debt(&mut fleet, creditor_broker, creditor_count, &[0, 1, 2]);
    let next = fleet.config_version(2, &[], &[1]);
    fleet.propose(0, &next);
    fleet.wait_for_active_version(0..5, 2);
    assert_settled(&fleet, &[0, 1, 2, 3, 4], &[("2/1/s-3@fleet", expected_bytes)]);
    assert_eq!(fleet.audit(), []);
}

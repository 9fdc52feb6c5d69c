//! What partners come to owe each other while a broker dies or lies, and what of it is settled.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use dunepond_settlement::{BrokerPartners, CarriedCounts, LocalCounts};
use dunepond_storage::{DiskStore as Directory, FileStore, SnapshotStore};
use dunepond_testkit::auditor::{AuditEvent, AuditPhase, AuditRecord};
use dunepond_testkit::fleet::{Fleet, FleetOptions, PARTNERS, SEGMENT_BYTES, broker_name};
use dunepond_testkit::processes::wait_until;
use rstest::rstest;

use super::{assert_all_answered, assert_consistent, options};

/// Clients are the debtor's, and the creditor's nodes carry for them.
const DEBTOR: &str = PARTNERS[0];
const CREDITOR: &str = PARTNERS[1];

fn kept(files: Arc<dyn FileStore>) -> SnapshotStore {
    SnapshotStore::new(files, "counts", 1)
}

/// A broker's hand on the counts, as it stands in its folder; what stands there is in its book and may have been told.
fn tally(fleet: &Fleet, broker: usize) -> Option<LocalCounts> {
    let files = Directory::open_read_only(&fleet.brokers[broker].folder).ok()?;
    let newest = kept(Arc::new(files)).load().ok()?.newest?;
    postcard::from_bytes(&newest.bytes).ok()
}

/// Bytes that `at` knows `of` to have seen the creditor carry for the debtor.
fn seen(fleet: &Fleet, at: usize, of: usize) -> u64 {
    let of = broker_name(of);
    tally(fleet, at).map_or(0, |tally| tally.counts().total_of(CREDITOR, DEBTOR, |broker| broker == of))
}

/// Bytes that `at` knows the creditor to have carried for the debtor, whichever broker counted them.
pub(super) fn known_debt(fleet: &Fleet, at: usize) -> u64 {
    tally(fleet, at).map_or(0, |tally| tally.counts().total_of(CREDITOR, DEBTOR, |_| true))
}

/// Some traffic through this broker alone; what it counted of it, once all of it is known at these others.
fn carry(fleet: &Fleet, broker: usize, others: &[usize]) -> u64 {
    let clients = fleet.clients([broker], Duration::from_millis(20));
    thread::sleep(Duration::from_secs(1));
    assert_all_answered(&clients.stop(), &[broker]);
    // Longer than the longest pause between two countings, so that its last bytes are in.
    thread::sleep(Duration::from_secs(2));
    let counted = seen(fleet, broker, broker);
    assert!(counted > 0, "nothing was carried");
    let told = wait_until(|| others.iter().all(|at| seen(fleet, *at, broker) == counted));
    assert!(told, "not all of {others:?} heard of {counted} bytes");
    counted
}

/// Waits until these brokers have all written down as many settlements, by id and bytes; and these alone, each once.
fn settled(fleet: &Fleet, brokers: &[usize], expected: &[(&str, u64)]) {
    let by = |broker: usize| {
        let lines = fleet.records().lines.into_iter().filter(|line| line.broker == broker_name(broker));
        let settled = lines.filter_map(|line| match line.event {
            AuditEvent::Settled { id, debtor, creditor, bytes, .. } => Some((id, debtor, creditor, bytes)),
            _ => None,
        });
        settled.collect::<Vec<_>>()
    };
    let there = wait_until(|| brokers.iter().all(|i| by(*i).len() >= expected.len()));
    let whole = |(id, bytes): &(&str, u64)| (id.to_string(), DEBTOR.into(), CREDITOR.into(), *bytes);
    let expected: Vec<(String, String, String, u64)> = expected.iter().map(whole).collect();
    for broker in brokers {
        assert_eq!(by(*broker), expected, "at {}; all there: {there}", broker_name(*broker));
    }
}

/// Puts counts into the folder of a broker that does not run.
fn put(fleet: &Fleet, broker: usize, tally: &LocalCounts) {
    let files = Directory::open(&fleet.brokers[broker].folder).unwrap();
    kept(Arc::new(files)).write(&postcard::to_stdvec(tally).unwrap()).unwrap();
}

/// Nobody else saw what it carried, and it never comes back. One fill does not settle all of it, so that what the first
/// settled has to be known when the second is planned.
#[test]
fn debt_counted_by_dead_broker_is_settled_once() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let (dead, rest) = (4, [0, 1, 2, 3]);
    let carried = carry(&fleet, dead, &rest);
    // The clients' scans bring hundreds of bytes: the rest of its traffic is put into its folder.
    let counted = SEGMENT_BYTES + SEGMENT_BYTES / 2;
    fleet.brokers[dead].kill();
    let mut more = tally(&fleet, dead).expect("it kept its counts");
    more.record(CREDITOR, DEBTOR, counted - carried);
    put(&fleet, dead, &more);
    fleet.brokers[dead].start();
    let told = wait_until(|| rest.iter().all(|at| seen(&fleet, *at, dead) == counted));
    assert!(told, "its counts are not told to all");
    fleet.brokers[dead].kill();
    // The leader's own memory of it goes too: it has to come back from its folder, or from the others.
    let leader = fleet.leader();
    fleet.brokers[leader].kill();
    fleet.brokers[leader].start();
    assert!(wait_until(|| fleet.brokers[leader].ready()));
    let by = rest.into_iter().find(|i| *i != leader).unwrap();
    let second = fleet.config_version(2, &[], &[1]);
    fleet.propose(by, &second);
    fleet.wait_active(rest, 2);
    settled(&fleet, &rest, &[("2/1/s-3@fleet", SEGMENT_BYTES)]);
    let third = fleet.config_version(3, &[], &[3]);
    fleet.propose(by, &third);
    fleet.wait_active(rest, 3);
    settled(&fleet, &rest, &[("2/1/s-3@fleet", SEGMENT_BYTES), ("3/3/s-5@fleet", counted - SEGMENT_BYTES)]);
    assert_consistent(&fleet);
}

/// The creditor's broker says ten times what the debtor's saw: in its own name, and in the name of the debtor's too.
#[rstest]
#[case::in_its_own_name(false)]
#[case::in_the_debtors_name(true)]
fn inflated_claim_is_paid_by_other_count(#[case] in_its_name: bool) {
    let (witness, liar) = (3, 4);
    let mut fleet = Fleet::start_with_version(FleetOptions {
        partner_brokers: [vec![witness], vec![liar]],
        ..options(3, 5)
    });
    let counted = carry(&fleet, witness, &[0, 1, 2]);
    let claim = 10 * counted;
    assert!(claim < SEGMENT_BYTES, "{claim} bytes are more than one fill settles");
    fleet.brokers[liar].kill();
    let mut lie = tally(&fleet, liar).expect("it kept its counts");
    lie.record(CREDITOR, DEBTOR, claim);
    if in_its_name {
        let mut counts = CarriedCounts::new();
        let incarnation = tally(&fleet, witness).unwrap().incarnation();
        counts.record(&broker_name(witness), incarnation, CREDITOR, DEBTOR, claim);
        lie.merge_from_peer(&broker_name(liar), &counts, &BrokerPartners::default()).unwrap();
    }
    put(&fleet, liar, &lie);
    fleet.brokers[liar].start();
    let told = wait_until(|| (0..3).all(|at| seen(&fleet, at, liar) == claim));
    assert!(told, "the claim of {claim} bytes is not told to all");
    let next = fleet.config_version(2, &[], &[1]);
    fleet.propose(0, &next);
    fleet.wait_active(0..5, 2);
    settled(&fleet, &[0, 1, 2, 3, 4], &[("2/1/s-3@fleet", counted)]);
    assert_consistent(&fleet);
}

/// Has `broker` know that the creditor carried so many bytes in all, as its folder says; once these others know it too.
fn owes(fleet: &mut Fleet, broker: usize, bytes: u64, others: &[usize]) {
    fleet.brokers[broker].kill();
    let mut more =
        tally(fleet, broker).unwrap_or_else(|| LocalCounts::open(None, &broker_name(broker), 1).unwrap());
    more.record(CREDITOR, DEBTOR, bytes);
    put(fleet, broker, &more);
    fleet.brokers[broker].start();
    let told = wait_until(|| others.iter().all(|at| seen(fleet, *at, broker) == bytes));
    assert!(told, "{bytes} bytes that {} counted are not told to all", broker_name(broker));
}

/// What `broker` applied: settlements by id.
fn applied(fleet: &Fleet, broker: usize) -> Vec<(String, u64)> {
    let lines = fleet.records().lines.into_iter().filter(|line| line.broker == broker_name(broker));
    let settled = lines.filter_map(|line| match line.event {
        AuditEvent::Settled { id, bytes, .. } => Some((id, bytes)),
        _ => None,
    });
    settled.collect()
}

/// Cut apart, each side fills the cold holders that fall to its brokers and settles from their shares: the side with a
/// majority at once, the other when it is back. One is killed in between and goes by its folder. Where the cut lasts, each
/// side fills what falls to the other, too: the same fills under the same ids, of which one settles.
#[rstest]
#[case::each_its_own(60.0, 12, 13)]
#[case::both_all_of_them(12.0, 24, 60)]
fn partition_settles_within_debt(#[case] cold: f64, #[case] fills: usize, #[case] orders: usize) {
    let mut fleet = Fleet::start_with_version(FleetOptions {
        slow_start_seconds: Some(cold),
        nodes: 12,
        segment_count: 12,
        ..options(3, 5)
    });
    let (majority, rest) = ([0, 1, 2], [3, 4]);
    // Less than there is to fill: shares run out.
    let owed = 9 * SEGMENT_BYTES;
    fleet.known_debt_bytes = Some(owed);
    owes(&mut fleet, 4, owed, &[0, 1, 2, 3]);
    let split = |i: &usize| fleet.log_contains(*i, "are split in advance");
    assert!(wait_until(|| (0..5).all(|i| split(&i))), "nothing is split");
    fleet.partition(&[&majority[..], &rest[..]]);
    fleet.wait_for_phase(3, AuditPhase::LeaseExpired);
    fleet.wait_for_phase(4, AuditPhase::LeaseExpired);
    // The creditor's holders have all just started; they are filled from the debtor's nodes.
    fleet.report_restarted(&[1, 3, 5, 7, 9, 11]);
    let begun = |by: &[usize]| {
        let by: Vec<_> = by.iter().map(|i| broker_name(*i)).collect();
        let lines = fleet.records().lines.into_iter().filter(|line| by.contains(&line.broker));
        lines.filter(|line| matches!(&line.event, AuditEvent::Fill { state, .. } if state == "done")).count()
    };
    assert!(wait_until(|| begun(&majority) > 0
        && begun(&rest) > 0
        && begun(&majority) + begun(&rest) >= fills));
    assert!(wait_until(|| majority.iter().all(|i| !applied(&fleet, *i).is_empty())));
    assert_eq!(applied(&fleet, 3), [], "settled without a majority");
    fleet.brokers[3].kill();
    fleet.brokers[3].start();
    fleet.partition(&[&[0, 1, 2, 3, 4]]);
    let of_rest = |i: &usize| {
        let by = |id: &str| rest.iter().any(|other| id.ends_with(&format!("@{}", broker_name(*other))));
        applied(&fleet, *i).iter().any(|(id, _)| by(id))
    };
    assert!(wait_until(|| (0..5).all(|i| of_rest(&i))), "what the cut side promised is not settled");
    thread::sleep(Duration::from_secs(2));
    let (first, all) = (applied(&fleet, 0), fleet.filler.order_count());
    let sum: u64 = first.iter().map(|(_, bytes)| bytes).sum();
    assert!(sum > 0 && sum <= owed, "{sum} of {owed}");
    for i in [1, 2, 4] {
        assert_eq!(applied(&fleet, i).len(), first.len(), "at {}", broker_name(i));
    }
    let ids = |line: AuditRecord| match line.event {
        AuditEvent::Fill { id, .. } => Some(id),
        _ => None,
    };
    let ids: BTreeSet<_> = fleet.records().lines.into_iter().filter_map(ids).collect();
    assert_eq!(ids.len(), 12, "a fill under two ids: {ids:?}");
    assert!(all <= orders, "{all} orders for {fills} fills, some of them perhaps after a start");
    assert_eq!(fleet.audit(), []);
}

/// Both sides count: the lesser stands, whoever says more.
#[rstest]
#[case::the_creditor_says_ten_times(4_000, 40_000, 4_000)]
#[case::the_debtor_says_more(9_000, 3_000, 3_000)]
fn lesser_count_is_settled(#[case] seen: u64, #[case] said: u64, #[case] paid: u64) {
    let (debtors, creditors) = (3, 4);
    let mut fleet = Fleet::start_with_version(FleetOptions {
        partner_brokers: [vec![debtors], vec![creditors]],
        metered: true,
        ..options(3, 5)
    });
    owes(&mut fleet, debtors, seen, &[0, 1, 2]);
    owes(&mut fleet, creditors, said, &[0, 1, 2]);
    let next = fleet.config_version(2, &[], &[1]);
    fleet.propose(0, &next);
    fleet.wait_active(0..5, 2);
    settled(&fleet, &[0, 1, 2, 3, 4], &[("2/1/s-3@fleet", paid)]);
    assert_eq!(fleet.audit(), []);
}

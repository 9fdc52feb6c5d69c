//! Changes of the list of voters under load.

use dunepond_testkit::fleet::{Fleet, QueryOutcome, outcome_ratio};
use dunepond_testkit::processes::wait_until;
use serde_json::{Value, json};

use super::{QUERY_PAUSE, assert_all_answered, assert_consistent, options};

fn voters_request(number: u64, names: &[&str]) -> Value {
    let voters: Vec<_> = names.iter().map(|name| json!({"name": name})).collect();
    json!({"number": number, "voters": voters, "who": "lab", "why": "a test", "at": 0.0})
}

/// Replaces all three voters one after the other. Each new voter is started with a file that names it. Each old one is killed as
/// soon as it is off the list, since its stored votes are then no longer needed.
#[test]
fn voters_are_replaced_one_by_one() {
    let mut fleet = Fleet::start_with_active_version(options(3, 7));
    let (new_voters, remaining) = ([3, 4, 5], [3, 4, 5, 6]);
    let clients = fleet.start_clients([6], QUERY_PAUSE);
    let lists = [["n4", "n2", "n3"], ["n4", "n5", "n3"], ["n4", "n5", "n6"]];
    for (removed, list) in lists.iter().enumerate() {
        let (number, added) = (removed as u64 + 1, new_voters[removed]);
        fleet.brokers[added].terminate();
        fleet.set_voters(added, list);
        fleet.brokers[added].start();
        assert!(wait_until(|| fleet.brokers[added].is_ready()));
        fleet.send_operator_request(6, &voters_request(number, list));
        // The file of the added voter already has the agreed list; the others log that theirs differ from it.
        let knows_list = |i: &usize| *i == added || fleet.log_contains(*i, &format!("(list {number})"));
        assert!(wait_until(|| remaining.iter().all(knows_list)), "not all brokers know list {number}");
        fleet.brokers[removed].kill();
    }
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(6, &next);
    fleet.wait_for_active_version(remaining, 2);
    // After their restart the old voters learn the current version from the new ones.
    (0..3).for_each(|i| fleet.brokers[i].start());
    fleet.wait_for_active_version(0..7, 2);
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |outcome| outcome.status == Some(200));
    assert!(served > 0.95, "only {served} of the idempotent queries were served");
    assert_all_answered(&outcomes, &[6]);
    assert_consistent(&fleet);
}

//! Who votes changes under load.

use dunepond_testkit::fleet::{Fleet, QueryOutcome, outcome_ratio};
use dunepond_testkit::processes::wait_until;
use serde_json::{Value, json};

use super::{GAP, assert_all_answered, assert_consistent, options};

fn voters(number: u64, names: &[&str]) -> Value {
    let voters: Vec<_> = names.iter().map(|name| json!({"name": name})).collect();
    json!({"number": number, "voters": voters, "who": "lab", "why": "a test", "at": 0.0})
}

/// Each that comes is started with a file that names it; each that goes is killed as soon as it is out: whatever it promised is
/// not needed any more.
#[test]
fn voters_are_replaced_one_by_one() {
    let mut fleet = Fleet::start_with_version(options(3, 7));
    let (new, rest) = ([3, 4, 5], [3, 4, 5, 6]);
    let clients = fleet.clients([6], GAP);
    let lists = [["n4", "n2", "n3"], ["n4", "n5", "n3"], ["n4", "n5", "n6"]];
    for (out, list) in lists.iter().enumerate() {
        let (number, joins) = (out as u64 + 1, new[out]);
        fleet.brokers[joins].terminate();
        fleet.set_voters(joins, list);
        fleet.brokers[joins].start();
        assert!(wait_until(|| fleet.brokers[joins].ready()));
        fleet.send_operator_request(6, &voters(number, list));
        // Who joins finds in its file what is agreed; the others say that theirs differ.
        let told = |i: &usize| *i == joins || fleet.log_contains(*i, &format!("(list {number})"));
        assert!(wait_until(|| rest.iter().all(told)), "not all heard of list {number}");
        fleet.brokers[out].kill();
    }
    let next = fleet.config_version(2, &[0, 3], &[2]);
    fleet.propose(6, &next);
    fleet.wait_active(rest, 2);
    // Back again, they go by what the new ones say.
    (0..3).for_each(|i| fleet.brokers[i].start());
    fleet.wait_active(0..7, 2);
    let outcomes = clients.stop();
    let served = outcome_ratio(&outcomes, QueryOutcome::is_idempotent, |one| one.status == Some(200));
    assert!(served > 0.95, "{served} of replayable scans served");
    assert_all_answered(&outcomes, &[6]);
    assert_consistent(&fleet);
}

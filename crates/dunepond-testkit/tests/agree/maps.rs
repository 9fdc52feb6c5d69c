//! Invalid shard maps are rejected, whichever broker proposes them.

use dunepond_consensus::ConfigVersion;
use dunepond_membership::{Event, MembershipOptions, RequestKind};
use dunepond_testkit::fleet::{Fleet, SHARED_KEY, broker_name};
use dunepond_testkit::processes::wait_until;
use dunepond_testkit::restart_cluster::unix_ms;
use rstest::rstest;
use serde_json::{Value, json};

use super::{QUERY_PAUSE, assert_all_answered, assert_consistent, options};

fn add_gap(map: &mut Value) {
    map["segments"][1]["keys"]["from"] = json!(map["segments"][1]["keys"]["from"].as_u64().unwrap() + 1);
}

fn add_overlap(map: &mut Value) {
    map["segments"][1]["keys"]["from"] = json!(map["segments"][1]["keys"]["from"].as_u64().unwrap() - 1);
}

fn assign_owner_without_data(map: &mut Value) {
    map["segments"][2]["owner"] = json!("s-5");
}

fn leave_unchanged(_: &mut Value) {}

/// A faulty broker that has the fleet's key proposes a map without checking it. The leader has to validate the map itself
/// and to reject an invalid one, also one that carries the digest of another map.
#[rstest]
#[case::gap(add_gap, true, "the map is invalid")]
#[case::overlap(add_overlap, true, "the map is invalid")]
#[case::owner_without_data(assign_owner_without_data, true, "the map is invalid")]
#[case::digest_of_previous_map(leave_unchanged, false, "the map is invalid")]
fn leader_rejects_invalid_map(
    #[case] corrupt: fn(&mut Value),
    #[case] recompute_digest: bool,
    #[case] expected_error: &str,
) {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let (mut leader, clients) =
        (broker_name(fleet.wait_for_leader()), fleet.start_clients(0..4, QUERY_PAUSE));
    fleet.brokers[4].kill();
    let peer_addresses =
        (0..4).map(|i| (broker_name(i), fleet.links.relay_address("n5", &broker_name(i)))).collect();
    let membership_options = MembershipOptions {
        key: Some(SHARED_KEY.to_string()),
        ..MembershipOptions::new("n5", unix_ms(), fleet.peer_addresses[4], peer_addresses, 1)
    };
    let (peers, events) = dunepond_membership::start(membership_options).unwrap();
    // Tags of the proposal and of its replies in their encoded form.
    const VERSION_TAG: u8 = 0;
    const NOT_LEADER_TAG: u8 = 1;
    const RETRY_LATER_TAG: u8 = 2;
    // The leader can change between two requests, for instance on a busy machine: as a broker does, the request is then
    // sent to the new one.
    let mut propose = |version: &Value, recompute_digest: bool| {
        let mut version: ConfigVersion = serde_json::from_value(version.clone()).unwrap();
        version.map = version.map.map(|map| if recompute_digest { map.with_digest() } else { map });
        let mut answer = None;
        wait_until(|| {
            let body = postcard::to_stdvec(&(VERSION_TAG, &version)).unwrap();
            let sent = peers.request(&leader, RequestKind::Propose, body, 2.0);
            let Ok(id) = sent else { return false };
            let event = events.iter().find_map(|event| match event {
                Event::Response { id: response_id, result, .. } if response_id == id => Some(result),
                _ => None,
            });
            answer = event.and_then(Result::ok);
            let Some((tag, rest)) = answer.as_deref().and_then(<[u8]>::split_first) else { return false };
            if let (NOT_LEADER_TAG, Ok(Some(new_leader))) =
                (*tag, postcard::from_bytes::<Option<String>>(rest))
            {
                leader = new_leader;
            }
            ![NOT_LEADER_TAG, RETRY_LATER_TAG].contains(tag)
        });
        String::from_utf8_lossy(&answer.expect("the proposal should be answered")).into_owned()
    };
    let mut faulty = fleet.config_version(2, &[0], &[]);
    let previous: ConfigVersion = serde_json::from_value(fleet.config_version(1, &[], &[])).unwrap();
    faulty["map"]["digest"] = json!(previous.map.unwrap().compute_digest());
    corrupt(&mut faulty["map"]);
    let reply = propose(&faulty, recompute_digest);
    assert!(reply.contains(expected_error), "expected {expected_error:?} in the reply: {reply}");
    // The same version with a valid map is accepted.
    let good = fleet.config_version(2, &[0], &[]);
    fleet.write_version(4, &good);
    propose(&good, true);
    fleet.wait_for_active_version(0..4, 2);
    peers.stop();
    fleet.brokers[4].start();
    fleet.wait_for_active_version(0..5, 2);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3]);
    assert_consistent(&fleet);
}

/// A broker validates the operator's file before it proposes the version in it.
#[test]
fn wrong_digest_is_not_proposed() {
    let mut fleet = Fleet::start_with_active_version(options(3, 5));
    let mut stale = fleet.config_version(2, &[0], &[]);
    stale["map"]["digest"] = json!("0123456789abcdef");
    fleet.propose(3, &stale);
    assert!(wait_until(|| fleet.log_contains(3, "digest")), "the broker did not log the wrong digest");
    let good = fleet.config_version(2, &[0], &[]);
    fleet.propose(3, &good);
    let clients = fleet.start_clients(0..5, QUERY_PAUSE);
    fleet.wait_for_active_version(0..5, 2);
    clients.stop();
    assert_consistent(&fleet);
}

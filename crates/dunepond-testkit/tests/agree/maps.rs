//! Maps that do not prove are refused, whoever proposes them.

use dunepond_consensus::ConfigVersion;
use dunepond_membership::{Event, MembershipOptions, RequestKind};
use dunepond_testkit::fleet::{Fleet, SHARED_KEY, broker_name};
use dunepond_testkit::processes::wait_until;
use dunepond_testkit::restart_cluster::unix_ms;
use rstest::rstest;
use serde_json::{Value, json};

use super::{GAP, assert_all_answered, assert_consistent, options};

fn gap(map: &mut Value) {
    map["segments"][1]["keys"]["from"] = json!(map["segments"][1]["keys"]["from"].as_u64().unwrap() + 1);
}

fn overlap(map: &mut Value) {
    map["segments"][1]["keys"]["from"] = json!(map["segments"][1]["keys"]["from"].as_u64().unwrap() - 1);
}

fn owner_without_data(map: &mut Value) {
    map["segments"][2]["owner"] = json!("s-5");
}

fn nothing_wrong(_: &mut Value) {}

/// A broker of the fleet that has its key and skips its own check: whoever leads proves the map for itself, and refuses
/// what does not prove, a digest of another map included.
#[rstest]
#[case::a_gap(gap, true, "the map is invalid")]
#[case::an_overlap(overlap, true, "the map is invalid")]
#[case::an_owner_without_data(owner_without_data, true, "the map is invalid")]
#[case::the_digest_of_the_map_before(nothing_wrong, false, "the map is invalid")]
fn leader_rejects_faulty_map(#[case] spoil: fn(&mut Value), #[case] sealed: bool, #[case] words: &str) {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let (mut leader, clients) = (broker_name(fleet.leader()), fleet.clients(0..4, GAP));
    fleet.brokers[4].kill();
    let known = (0..4).map(|i| (broker_name(i), fleet.links.relay_address("n5", &broker_name(i)))).collect();
    let told = MembershipOptions {
        key: Some(SHARED_KEY.to_string()),
        ..MembershipOptions::new("n5", unix_ms(), fleet.peer_addresses[4], known, 1)
    };
    let (peers, events) = dunepond_membership::start(told).unwrap();
    // A busy machine can move the lead between two words: whoever leads by then is asked, as a broker would.
    const A_VERSION: u8 = 0;
    const LEADS: u8 = 1;
    const WAIT: u8 = 2;
    let mut propose = |version: &Value, sealed: bool| {
        let mut version: ConfigVersion = serde_json::from_value(version.clone()).unwrap();
        version.map = version.map.map(|map| if sealed { map.with_digest() } else { map });
        let mut answer = None;
        wait_until(|| {
            let body = postcard::to_stdvec(&(A_VERSION, &version)).unwrap();
            let asked = peers.request(&leader, RequestKind::Propose, body, 2.0);
            let Ok(id) = asked else { return false };
            let event = events.iter().find_map(|event| match event {
                Event::Response { id: of, result: body, .. } if of == id => Some(body),
                _ => None,
            });
            answer = event.and_then(Result::ok);
            let Some((word, rest)) = answer.as_deref().and_then(<[u8]>::split_first) else { return false };
            if let (LEADS, Ok(Some(other))) = (*word, postcard::from_bytes::<Option<String>>(rest)) {
                leader = other;
            }
            ![LEADS, WAIT].contains(word)
        });
        String::from_utf8_lossy(&answer.expect("an answer")).into_owned()
    };
    let mut faulty = fleet.config_version(2, &[0], &[]);
    let before: ConfigVersion = serde_json::from_value(fleet.config_version(1, &[], &[])).unwrap();
    faulty["map"]["digest"] = json!(before.map.unwrap().compute_digest());
    spoil(&mut faulty["map"]);
    let said = propose(&faulty, sealed);
    assert!(said.contains(words), "{said}");
    // The same without its fault is taken.
    let good = fleet.config_version(2, &[0], &[]);
    fleet.place_version(4, &good);
    propose(&good, true);
    fleet.wait_active(0..4, 2);
    peers.stop();
    fleet.brokers[4].start();
    fleet.wait_active(0..5, 2);
    assert_all_answered(&clients.stop(), &[0, 1, 2, 3]);
    assert_consistent(&fleet);
}

/// The operator's own file goes by the same proof, before anybody else hears of it.
#[test]
fn wrong_digest_is_not_proposed() {
    let mut fleet = Fleet::start_with_version(options(3, 5));
    let mut stale = fleet.config_version(2, &[0], &[]);
    stale["map"]["digest"] = json!("0123456789abcdef");
    fleet.propose(3, &stale);
    assert!(wait_until(|| fleet.log_contains(3, "digest")), "its operator is told nothing");
    let good = fleet.config_version(2, &[0], &[]);
    fleet.propose(3, &good);
    let clients = fleet.clients(0..5, GAP);
    fleet.wait_active(0..5, 2);
    clients.stop();
    assert_consistent(&fleet);
}

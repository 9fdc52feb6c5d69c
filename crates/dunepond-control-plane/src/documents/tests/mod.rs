//! The operator's documents, as read and as refused.

use rstest::rstest;
use serde_json::json;

use super::{Document, read_document, read_version};
use crate::error::VersionError;
use dunepond_consensus::ConfigVersion;
use dunepond_consensus::Extension;
use dunepond_shard_map::MapConstraints;
use dunepond_shard_map::Node;
use serde_json::Value;

/// The version that the operators' page shows.
fn documented() -> Value {
    let page = include_str!("../../../../../docs/operators/fleet.md");
    let section = page.split("## A version").nth(1).unwrap();
    let lines = section.lines().skip_while(|line| !line.starts_with("    {"));
    let text: String = lines.take_while(|line| line.starts_with("    ")).collect();
    serde_json::from_str(&text).unwrap()
}

fn read_as(value: &Value, nodes: &[Node]) -> Result<ConfigVersion, VersionError> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("version.json");
    std::fs::write(&path, value.to_string()).unwrap();
    read_version(&path, 2, nodes, &MapConstraints { min_replicas: 2, min_zones: 1 })
}

#[test]
fn the_documented_version_is_read_and_its_map_gets_a_digest() {
    let version = read_as(&documented(), &[]).unwrap();
    assert_eq!((version.number, version.based_on, version.first_stage_ratio), (7, Some(6), None));
    let map = version.map.unwrap();
    assert_eq!(map.digest, map.compute_digest());
}

#[test]
fn a_key_that_is_not_known_is_kept_or_named_and_never_dropped() {
    let mut later = documented();
    *later.pointer_mut("/why").unwrap() = json!("a later program's");
    let with = |at: &str, key: &str| {
        let mut version = later.clone();
        let within = version.pointer_mut(at).unwrap().as_object_mut().unwrap();
        within.insert(key.to_string(), json!({"a": 1}));
        version
    };
    let kept = read_as(&with("", "omens"), &[]).unwrap().extensions;
    assert_eq!(
        kept,
        [Extension { key: "omens".to_string(), json: "{\"a\":1}".to_string(), required: false }]
    );
    assert!(read_as(&later, &[]).unwrap().extensions.is_empty());
    let refused = |version: &Value| match read_as(version, &[]) {
        Err(VersionError::UnknownKey { key, .. }) => key,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(&with("/rules", "least_brokers")), "rules.least_brokers");
    assert_eq!(refused(&with("/standings", "slow")), "standings.slow");
    assert_eq!(refused(&with("/map/segments/1/keys", "step")), "map.segments.1.keys.step");
    let mut must = with("", "omens");
    must.as_object_mut().unwrap().insert("must".to_string(), json!(["omens"]));
    assert_eq!(refused(&must), "omens");
}

fn word_as(value: &Value) -> Result<Document, VersionError> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("version.json");
    std::fs::write(&path, value.to_string()).unwrap();
    read_document(&path, 2, &[], &MapConstraints { min_replicas: 2, min_zones: 1 })
}

#[test]
fn a_document_of_voters_is_one_of_its_own() {
    let good = json!({"number": 1, "who": "mara", "why": "n3 is worn out", "at": 0.0,
        "voters": [{"name": "n1"}, {"name": "n4", "at": "10.1.0.4:7400"}]});
    let Ok(Document::Voters(voting)) = word_as(&good) else { panic!("voters") };
    assert_eq!((voting.number, voting.voters[0].address.as_deref()), (1, None));
    assert!(matches!(word_as(&documented()), Ok(Document::Version(_))));
    let (mut nowhere, mut unnumbered) = (good.clone(), good);
    *nowhere.pointer_mut("/voters/1/at").unwrap() = json!("n4:7400");
    assert!(matches!(word_as(&nowhere), Err(VersionError::VoterAddress { .. })));
    unnumbered.as_object_mut().unwrap().remove("number");
    assert!(matches!(word_as(&unnumbered), Err(VersionError::Invalid { .. })));
}

#[rstest]
#[case::a_key_is_missing("/rules/repeats", Value::Null, "Invalid")]
#[case::an_entry_too_few("/rules/least", json!([0.5]), "QueryClassCount")]
#[case::no_share("/rules/whole_at", json!([0.5, 1.5]), "Rule")]
#[case::no_dispatch("/rules/dispatch_cap", json!(0), "Rule")]
#[case::below_nothing("/rules/budget_free", json!(-1.0), "Rule")]
#[case::a_gap("/map/segments/1/keys/from", json!(9_223_372_036_854_775_809_u64), "Map")]
#[case::another_digest("/map/digest", json!("00"), "Map")]
fn what_is_wrong_with_a_file_is_told_by_its_kind(#[case] at: &str, #[case] value: Value, #[case] kind: &str) {
    let mut version = documented();
    *version.pointer_mut(at).unwrap() = value;
    let error = read_as(&version, &[]).unwrap_err();
    assert!(format!("{error:?}").starts_with(kind), "{error:?}");
    assert!(!error.help().is_empty());
}

#[test]
fn a_map_is_judged_by_the_nodes_that_discovery_lists() {
    let node = |name: &str, partner: &str| Node {
        name: name.to_string(),
        zone: "a".to_string(),
        partner: partner.to_string(),
        draining: false,
    };
    // One whose partner the operator's file does not name is whose the map says.
    let mut nodes = vec![node("s-1", "north"), node("s-2", ""), node("s-3", "south")];
    assert!(read_as(&documented(), &nodes).is_ok());
    nodes[0].partner = "south".to_string();
    assert!(matches!(read_as(&documented(), &nodes), Err(VersionError::Map { .. })));
    nodes.remove(0);
    assert!(matches!(read_as(&documented(), &nodes), Err(VersionError::Map { .. })));
}

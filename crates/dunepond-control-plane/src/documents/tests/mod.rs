//! Which of the operator's documents (configuration versions and lists of voters) are accepted, and which are refused.

use dunepond_consensus::{ConfigVersion, Extension};
use dunepond_shard_map::{MapConstraints, Node};
use rstest::rstest;
use serde_json::{Value, json};

use super::{Document, read_document, read_version};
use crate::error::VersionError;

/// The example of a configuration version in the operators' documentation.
fn documented() -> Value {
    let page = include_str!("../../../../../docs/operators/fleet.md");
    let section = page.split("## A version").nth(1).unwrap();
    let lines = section.lines().skip_while(|line| !line.starts_with("    {"));
    let text: String = lines.take_while(|line| line.starts_with("    ")).collect();
    serde_json::from_str(&text).unwrap()
}

fn read_as(value: &Value, nodes: &[Node]) -> Result<ConfigVersion, VersionError> {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("version.json");
    std::fs::write(&path, value.to_string()).unwrap();
    read_version(&path, 2, nodes, &MapConstraints { min_replicas: 2, min_zones: 1 })
}

#[test]
fn documented_version_is_accepted_and_gets_a_digest() {
    let version = read_as(&documented(), &[]).unwrap();
    assert_eq!((version.number, version.based_on, version.first_stage_ratio), (7, Some(6), None));
    let map = version.map.unwrap();
    assert_eq!(map.digest, map.compute_digest());
}

#[test]
fn unknown_keys_are_kept_or_refused() {
    let mut later_version = documented();
    *later_version.pointer_mut("/why").unwrap() = json!("a later program's");
    let with = |at: &str, key: &str| {
        let mut version = later_version.clone();
        let object = version.pointer_mut(at).unwrap().as_object_mut().unwrap();
        object.insert(key.to_string(), json!({"a": 1}));
        version
    };
    let extensions = read_as(&with("", "omens"), &[]).unwrap().extensions;
    assert_eq!(
        extensions,
        [Extension { key: "omens".to_string(), json: "{\"a\":1}".to_string(), required: false }]
    );
    assert!(read_as(&later_version, &[]).unwrap().extensions.is_empty());
    let refused = |version: &Value| match read_as(version, &[]) {
        Err(VersionError::UnknownKey { key, .. }) => key,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(&with("/rules", "least_brokers")), "rules.least_brokers");
    assert_eq!(refused(&with("/standings", "slow")), "standings.slow");
    assert_eq!(refused(&with("/map/segments/1/keys", "step")), "map.segments.1.keys.step");
    let mut required = with("", "omens");
    required.as_object_mut().unwrap().insert("must".to_string(), json!(["omens"]));
    assert_eq!(refused(&required), "omens");
}

fn read_document_as(value: &Value) -> Result<Document, VersionError> {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("version.json");
    std::fs::write(&path, value.to_string()).unwrap();
    read_document(&path, 2, &[], &MapConstraints { min_replicas: 2, min_zones: 1 })
}

#[test]
fn voters_document_is_read_and_checked() {
    let valid = json!({"number": 1, "who": "mara", "why": "n3 is worn out", "at": 0.0,
        "voters": [{"name": "n1"}, {"name": "n4", "at": "10.1.0.4:7400"}]});
    let Ok(Document::Voters(voters)) = read_document_as(&valid) else {
        panic!("not read as a list of voters")
    };
    assert_eq!((voters.number, voters.voters[0].address.as_deref()), (1, None));
    assert!(matches!(read_document_as(&documented()), Ok(Document::Version(_))));
    let (mut bad_address, mut unnumbered) = (valid.clone(), valid);
    *bad_address.pointer_mut("/voters/1/at").unwrap() = json!("n4:7400");
    assert!(matches!(read_document_as(&bad_address), Err(VersionError::VoterAddress { .. })));
    unnumbered.as_object_mut().unwrap().remove("number");
    assert!(matches!(read_document_as(&unnumbered), Err(VersionError::Invalid { .. })));
}

#[rstest]
#[case::missing_key("/rules/repeats", Value::Null, "Invalid")]
#[case::missing_entry("/rules/least", json!([0.5]), "QueryClassCount")]
#[case::share_out_of_range("/rules/whole_at", json!([0.5, 1.5]), "Rule")]
#[case::no_attempts("/rules/dispatch_cap", json!(0), "Rule")]
#[case::negative("/rules/budget_free", json!(-1.0), "Rule")]
#[case::gap("/map/segments/1/keys/from", json!(9_223_372_036_854_775_809_u64), "Map")]
#[case::wrong_digest("/map/digest", json!("00"), "Map")]
fn invalid_version_is_refused(#[case] at: &str, #[case] value: Value, #[case] kind: &str) {
    let mut version = documented();
    *version.pointer_mut(at).unwrap() = value;
    let error = read_as(&version, &[]).unwrap_err();
    assert!(format!("{error:?}").starts_with(kind), "{error:?}");
    assert!(!error.help().is_empty());
}

#[test]
fn map_is_verified_against_listed_nodes() {
    let node = |name: &str, partner: &str| Node {
        name: name.to_string(),
        zone: "a".to_string(),
        partner: partner.to_string(),
        draining: false,
    };
    // Discovery names no partner for s-2, so the partner that the map names is used.
    let mut nodes = vec![node("s-1", "north"), node("s-2", ""), node("s-3", "south")];
    assert!(read_as(&documented(), &nodes).is_ok());
    nodes[0].partner = "south".to_string();
    assert!(matches!(read_as(&documented(), &nodes), Err(VersionError::Map { .. })));
    nodes.remove(0);
    assert!(matches!(read_as(&documented(), &nodes), Err(VersionError::Map { .. })));
}

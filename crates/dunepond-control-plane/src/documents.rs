//! The operator's version file: read, checked here, and only then proposed.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;

use dunepond_consensus::{Command, ConfigVersion, Extension, RoutingRules, VoterChange};
use dunepond_shard_map::{MapConstraints, Node, ShardMap};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::VersionError;

/// Bytes of a version at most: what is agreed, two versions and all settlements that are remembered, has to go to a voter
/// in one message ([`crate::LONGEST_MESSAGE`]).
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;

/// What an operator's file asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Document {
    Version(Box<ConfigVersion>),
    Voters(VoterChange),
}

impl Document {
    /// For the log.
    pub fn name(&self) -> String {
        match self {
            Self::Version(version) => format!("version {}", version.number),
            Self::Voters(voting) => format!("voters {}", voting.number),
        }
    }

    pub fn entry(&self) -> Command {
        match self.clone() {
            Self::Version(version) => Command::Propose(version),
            Self::Voters(voting) => Command::ChangeVoters(Box::new(voting)),
        }
    }
}

/// Reads a version, or, where the document has `voters`, who shall vote.
pub fn read_document(
    path: &Path,
    table_types: usize,
    nodes: &[Node],
    terms: &MapConstraints,
) -> Result<Document, VersionError> {
    let text = read_text(path)?;
    let is_voters = serde_json::from_str::<serde_json::Value>(&text).is_ok_and(|v| v.get("voters").is_some());
    if !is_voters {
        return read_version(path, table_types, nodes, terms)
            .map(|version| Document::Version(Box::new(version)));
    }
    let voting: VoterChange = serde_json::from_str(&text).map_err(|e| parse_error(path, &e))?;
    let address = |at: &String| at.parse::<SocketAddr>().is_err();
    if let Some(voter) = voting.voters.iter().find(|voter| voter.address.as_ref().is_some_and(address)) {
        let (name, at) = (voter.name.clone(), voter.address.clone().unwrap_or_default());
        return Err(VersionError::VoterAddress { path: path.to_path_buf(), name, at });
    }
    Ok(Document::Voters(voting))
}

fn read_text(path: &Path) -> Result<String, VersionError> {
    std::fs::read_to_string(path).map_err(|e| match e.kind() {
        ErrorKind::NotFound => VersionError::NotFound { path: path.to_path_buf() },
        _ => VersionError::Unreadable { path: path.to_path_buf(), why: e.to_string() },
    })
}

fn parse_error(path: &Path, e: &serde_json::Error) -> VersionError {
    let (line, column) = (e.line(), e.column());
    VersionError::Invalid { path: path.to_path_buf(), line, column, why: e.to_string() }
}

/// Reads a version. A map without a digest gets its own. `nodes`: as discovery lists them, or none to leave them out.
pub fn read_version(
    path: &Path,
    table_types: usize,
    nodes: &[Node],
    terms: &MapConstraints,
) -> Result<ConfigVersion, VersionError> {
    let owned = || path.to_path_buf();
    let text = read_text(path)?;
    let mut version: ConfigVersion = serde_json::from_str(&text).map_err(|e| parse_error(path, &e))?;
    version.extensions = unknown_keys(path, &text, &version)?;
    check_rules(path, &version.rules, table_types)?;
    if let Some(map) = version.map.take() {
        let map = if map.digest.is_empty() { map.with_digest() } else { map };
        if let Err(faults) = dunepond_shard_map::verify(&map, &nodes_with_partners(nodes, &map), terms) {
            let first = faults.first();
            return Err(VersionError::Map {
                path: owned(),
                faults: faults.len(),
                first: first.map_or(String::new(), ToString::to_string),
                help: first.map_or(String::new(), |fault| fault.help().to_string()),
            });
        }
        version.map = Some(map);
    }
    match version.packed().len() {
        bytes if bytes > MAX_DOCUMENT_BYTES => {
            Err(VersionError::TooLarge { path: owned(), bytes, most: MAX_DOCUMENT_BYTES })
        }
        _ => Ok(version),
    }
}

/// Keys that this program does not know: kept beside the others, unless they have to be known. Inside rules, standings and
/// maps all have; beside those, what the list `must` names.
fn unknown_keys(path: &Path, text: &str, version: &ConfigVersion) -> Result<Vec<Extension>, VersionError> {
    let given: Value = serde_json::from_str(text).map_err(|e| parse_error(path, &e))?;
    let known = serde_json::to_value(version).map_err(|e| parse_error(path, &e))?;
    let must = given.get("must").and_then(Value::as_array).cloned().unwrap_or_default();
    let (mut found, mut more) = (Vec::new(), Vec::new());
    collect_unknown(&given, &known, "", &mut found);
    for (key, value) in found.into_iter().filter(|(key, _)| key != "must") {
        if key.contains('.') || must.iter().any(|name| *name == key) {
            return Err(VersionError::UnknownKey { path: path.to_path_buf(), key });
        }
        more.push(Extension { key, json: value.to_string(), required: false });
    }
    Ok(more)
}

/// What `given` has and `known` has not, by its keys.
fn collect_unknown(given: &Value, known: &Value, at: &str, found: &mut Vec<(String, Value)>) {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => {
            for (key, value) in given {
                let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                match known.get(key) {
                    Some(known) => collect_unknown(value, known, &at, found),
                    None => found.push((at, value.clone())),
                }
            }
        }
        (Value::Array(given), Value::Array(known)) => {
            let pairs = given.iter().zip(known).enumerate();
            pairs.for_each(|(n, (given, known))| collect_unknown(given, known, &format!("{at}.{n}"), found));
        }
        _ => {}
    }
}

/// The nodes that the map is judged by: where the operator's file names no partner for a node, the map says whose it is.
fn nodes_with_partners(nodes: &[Node], map: &ShardMap) -> Vec<Node> {
    let holders = map.segments.iter().flat_map(|segment| &segment.replicas);
    let said: HashMap<_, _> = holders.map(|holder| (holder.node.as_str(), holder.partner.as_str())).collect();
    let judged = nodes.iter().map(|node| match said.get(node.name.as_str()) {
        Some(partner) if node.partner.is_empty() => Node { partner: partner.to_string(), ..node.clone() },
        _ => node.clone(),
    });
    judged.collect()
}

fn check_rules(path: &Path, rules: &RoutingRules, table_types: usize) -> Result<(), VersionError> {
    for (key, list) in [("least", &rules.minimum_shares), ("whole_at", &rules.complete_at)] {
        let (path, found) = (path.to_path_buf(), list.len());
        if found != table_types {
            return Err(VersionError::QueryClassCount { path, key, found, expected: table_types });
        }
        if let Some(value) = list.iter().copied().find(|share| !(0.0..=1.0).contains(share)) {
            return Err(VersionError::Rule { path, key, value, expected: "a share from 0 to 1" });
        }
    }
    let amounts = [
        ("budget_share", rules.retry_budget_ratio),
        ("budget_free", rules.retry_budget_min),
        ("drain_grace", rules.drain_grace_seconds),
        ("cold_multiple", rules.slow_start_multiple),
        ("longest_wait", rules.max_retry_after_seconds),
    ];
    let bad = amounts.into_iter().find(|(_, value)| !value.is_finite() || *value < 0.0);
    let bad = bad.or((rules.max_attempts == 0).then_some(("dispatch_cap", 0.0)));
    bad.map_or(Ok(()), |(key, value)| {
        let expected = if key == "dispatch_cap" { "1 or more" } else { "0 or more" };
        Err(VersionError::Rule { path: path.to_path_buf(), key, value, expected })
    })
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use serde_json::json;

    use super::*;

    /// The version that the operators' page shows.
    fn documented() -> Value {
        let page = include_str!("../../../docs/operators/fleet.md");
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
    fn what_is_wrong_with_a_file_is_told_by_its_kind(
        #[case] at: &str,
        #[case] value: Value,
        #[case] kind: &str,
    ) {
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
}

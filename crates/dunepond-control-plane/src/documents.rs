//! The operator's document, a configuration version or a list of voters: reading and verification before it is
//! proposed.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::Path;

use dunepond_consensus::{Command, ConfigVersion, Extension, RoutingRules, VoterChange};
use dunepond_membership::RefusalReason;
use dunepond_shard_map::{MapConstraints, Node, ShardMap};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::VersionError;

/// Maximum size of an encoded document. The replicated state, with two configuration versions and all remembered
/// settlements, must fit in one message to a voter (`MAX_MESSAGE_BYTES` in `link_limits`).
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;
/// Key of a list in the operator's configuration version. The list names the top-level keys that every broker must
/// know.
const REQUIRED_KEYS: &str = "must";

/// Decodes a message from a peer that carries a document or a plan. Refuses messages above [`MAX_DOCUMENT_BYTES`].
pub fn decode_message<T: DeserializeOwned>(body: &[u8]) -> Result<T, RefusalReason> {
    if body.len() > MAX_DOCUMENT_BYTES {
        return Err(RefusalReason::TooLarge { max_bytes: MAX_DOCUMENT_BYTES as u64 });
    }
    postcard::from_bytes(body).map_err(|_| RefusalReason::Malformed)
}

/// The content of an operator's file, to be proposed to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Document {
    /// A configuration version.
    Version(Box<ConfigVersion>),
    /// A new list of voters.
    Voters(VoterChange),
}

impl Document {
    /// Name of the document in log lines, with its number.
    pub fn name(&self) -> String {
        match self {
            Self::Version(version) => format!("version {}", version.number),
            Self::Voters(voters) => format!("voters {}", voters.number),
        }
    }

    /// The command that adds the document to the replicated log.
    pub fn command(&self) -> Command {
        match self.clone() {
            Self::Version(version) => Command::Propose(version),
            Self::Voters(voters) => Command::ChangeVoters(Box::new(voters)),
        }
    }
}

/// Reads the operator's document: a list of voters if it has the key `voters`, else a configuration version, which is
/// verified as in [`read_version`].
pub fn read_document(
    path: &Path,
    query_classes: usize,
    nodes: &[Node],
    constraints: &MapConstraints,
) -> Result<Document, VersionError> {
    let text = read_text(path)?;
    let has_voters = serde_json::from_str::<Value>(&text).is_ok_and(|value| value.get("voters").is_some());
    if !has_voters {
        let version = read_version(path, query_classes, nodes, constraints)?;
        return Ok(Document::Version(Box::new(version)));
    }
    let voters: VoterChange = serde_json::from_str(&text).map_err(|e| parse_error(path, &e))?;
    for voter in &voters.voters {
        let Some(at) = voter.address.clone() else { continue };
        if at.parse::<SocketAddr>().is_err() {
            return Err(VersionError::VoterAddress {
                path: path.to_path_buf(),
                name: voter.name.clone(),
                at,
            });
        }
    }
    Ok(Document::Voters(voters))
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

/// Reads and verifies a configuration version. If the digest of the version's map is empty, it is computed. `nodes` are
/// the nodes that discovery lists; if there are none, the map is not checked against them.
pub fn read_version(
    path: &Path,
    query_classes: usize,
    nodes: &[Node],
    constraints: &MapConstraints,
) -> Result<ConfigVersion, VersionError> {
    let text = read_text(path)?;
    let mut version: ConfigVersion = serde_json::from_str(&text).map_err(|e| parse_error(path, &e))?;
    version.extensions = unknown_keys(path, &text, &version)?;
    check_rules(path, &version.rules, query_classes)?;
    if let Some(map) = version.map.take() {
        version.map = Some(verified_map(path, map, nodes, constraints)?);
    }
    let bytes = version.packed().len();
    if bytes > MAX_DOCUMENT_BYTES {
        return Err(VersionError::TooLarge {
            path: path.to_path_buf(),
            bytes,
            max_bytes: MAX_DOCUMENT_BYTES,
        });
    }
    Ok(version)
}

fn verified_map(
    path: &Path,
    map: ShardMap,
    nodes: &[Node],
    constraints: &MapConstraints,
) -> Result<ShardMap, VersionError> {
    let map = if map.digest.is_empty() { map.with_digest() } else { map };
    let nodes = nodes_with_partners(nodes, &map);
    let Err(faults) = dunepond_shard_map::verify(&map, &nodes, constraints) else { return Ok(map) };
    let first = faults.first();
    Err(VersionError::Map {
        path: path.to_path_buf(),
        faults: faults.len(),
        first: first.map_or(String::new(), ToString::to_string),
        help: first.map_or(String::new(), |fault| fault.help().to_string()),
    })
}

/// Returns the top-level keys of the configuration version that this build does not know, as extensions of it. Returns
/// an error for an unknown key below the top level (in the rules, the excluded nodes or the map), and for an unknown
/// key that the document lists under [`REQUIRED_KEYS`].
fn unknown_keys(path: &Path, text: &str, version: &ConfigVersion) -> Result<Vec<Extension>, VersionError> {
    let given: Value = serde_json::from_str(text).map_err(|e| parse_error(path, &e))?;
    let known = serde_json::to_value(version).map_err(|e| parse_error(path, &e))?;
    let required = given.get(REQUIRED_KEYS).and_then(Value::as_array).cloned().unwrap_or_default();
    let mut unknown = Vec::new();
    collect_unknown(&given, &known, "", &mut unknown);
    let mut extensions = Vec::new();
    for (key, value) in unknown.into_iter().filter(|(key, _)| key != REQUIRED_KEYS) {
        let is_nested = key.contains('.');
        if is_nested || required.iter().any(|name| *name == key) {
            return Err(VersionError::UnknownKey { path: path.to_path_buf(), key });
        }
        extensions.push(Extension { key, json: value.to_string(), required: false });
    }
    Ok(extensions)
}

/// Adds to `unknown` the values that are in `given` but not in `known`, with their dot-separated key paths. `path` is
/// the key path of `given`.
fn collect_unknown(given: &Value, known: &Value, path: &str, unknown: &mut Vec<(String, Value)>) {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => {
            for (key, value) in given {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match known.get(key) {
                    Some(known) => collect_unknown(value, known, &path, unknown),
                    None => unknown.push((path, value.clone())),
                }
            }
        }
        (Value::Array(given), Value::Array(known)) => {
            for (index, (given, known)) in given.iter().zip(known).enumerate() {
                collect_unknown(given, known, &format!("{path}.{index}"), unknown);
            }
        }
        _ => {}
    }
}

/// The nodes to verify the map against. Nodes without a partner in discovery get the partner that the map names for
/// them.
fn nodes_with_partners(nodes: &[Node], map: &ShardMap) -> Vec<Node> {
    let replicas = map.segments.iter().flat_map(|segment| &segment.replicas);
    let partners: HashMap<_, _> =
        replicas.map(|replica| (replica.node.as_str(), replica.partner.as_str())).collect();
    let mut nodes = nodes.to_vec();
    for node in nodes.iter_mut().filter(|node| node.partner.is_empty()) {
        if let Some(partner) = partners.get(node.name.as_str()) {
            node.partner = partner.to_string();
        }
    }
    nodes
}

fn check_rules(path: &Path, rules: &RoutingRules, query_classes: usize) -> Result<(), VersionError> {
    for (key, list) in [("least", &rules.minimum_shares), ("whole_at", &rules.complete_at)] {
        let (path, found) = (path.to_path_buf(), list.len());
        if found != query_classes {
            return Err(VersionError::QueryClassCount { path, key, found, expected: query_classes });
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
    for (key, value) in amounts {
        if !value.is_finite() || value < 0.0 {
            return Err(VersionError::Rule { path: path.to_path_buf(), key, value, expected: "0 or more" });
        }
    }
    if rules.max_attempts == 0 {
        let (key, value) = ("dispatch_cap", 0.0);
        return Err(VersionError::Rule { path: path.to_path_buf(), key, value, expected: "1 or more" });
    }
    Ok(())
}

#[cfg(test)]
mod tests;

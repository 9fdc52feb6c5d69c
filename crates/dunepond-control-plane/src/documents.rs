//! The operator's document: a version or a list of voters, read and verified here before it is proposed.

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

/// Largest document, in bytes: the replicated state (two versions and all remembered settlements) has to fit one message to
/// a voter (`MAX_MESSAGE_BYTES` in `link_limits`).
pub const MAX_DOCUMENT_BYTES: usize = 3 << 20;
/// Key of the list of keys that have to be known to each broker.
const REQUIRED_KEYS: &str = "must";

/// A peer's message that carries a document or a plan.
pub fn decode_message<T: DeserializeOwned>(body: &[u8]) -> Result<T, RefusalReason> {
    if body.len() > MAX_DOCUMENT_BYTES {
        return Err(RefusalReason::TooLarge { max_bytes: MAX_DOCUMENT_BYTES as u64 });
    }
    postcard::from_bytes(body).map_err(|_| RefusalReason::Malformed)
}

/// What an operator's file proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Document {
    Version(Box<ConfigVersion>),
    Voters(VoterChange),
}

impl Document {
    /// What the document is called in log lines.
    pub fn name(&self) -> String {
        match self {
            Self::Version(version) => format!("version {}", version.number),
            Self::Voters(voters) => format!("voters {}", voters.number),
        }
    }

    /// The command that enters it into the agreed log.
    pub fn command(&self) -> Command {
        match self.clone() {
            Self::Version(version) => Command::Propose(version),
            Self::Voters(voters) => Command::ChangeVoters(Box::new(voters)),
        }
    }
}

/// Reads a list of voters if the document has the key `voters`, else a version; see [`read_version`].
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

/// Reads and verifies a version. A map without a digest gets its own. `nodes` are those that discovery lists; without any the
/// map is not checked against them.
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
        return Err(VersionError::TooLarge { path: path.to_path_buf(), bytes, most: MAX_DOCUMENT_BYTES });
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

/// Keys that this build does not know. They are kept as extensions, but inside rules, excluded nodes and maps each key has to
/// be known, and so has each that [`REQUIRED_KEYS`] lists.
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

/// Collects what `given` has and `known` has not, by its path of keys.
fn collect_unknown(given: &Value, known: &Value, at: &str, unknown: &mut Vec<(String, Value)>) {
    match (given, known) {
        (Value::Object(given), Value::Object(known)) => {
            for (key, value) in given {
                let at = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                match known.get(key) {
                    Some(known) => collect_unknown(value, known, &at, unknown),
                    None => unknown.push((at, value.clone())),
                }
            }
        }
        (Value::Array(given), Value::Array(known)) => {
            for (index, (given, known)) in given.iter().zip(known).enumerate() {
                collect_unknown(given, known, &format!("{at}.{index}"), unknown);
            }
        }
        _ => {}
    }
}

/// The nodes that the map is verified against. Where discovery names no partner for a node, the map's applies.
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

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

/// Largest version, in bytes: the replicated state (two versions and all remembered settlements) has to fit one message to
/// a voter (`MAX_MESSAGE_BYTES` in `link_limits`).
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
mod tests;

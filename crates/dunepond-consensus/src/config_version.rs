//! A version of the fleet's configuration and its two encodings: JSON with field names for people, and a packed binary
//! form for replication and storage.

use dunepond_shard_map::ShardMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::codec::Blob;
use crate::{Rejection, RoutingRules};

/// Keys of [`Extension`]s that this build implements; none exist yet.
const KNOWN_KEYS: &[&str] = &[];

pub(crate) fn known_keys() -> Vec<String> {
    KNOWN_KEYS.iter().map(ToString::to_string).collect()
}

/// Nodes to which no broker may send new attempts, regardless of its own endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExcludedNodes {
    /// Names of nodes that are draining.
    pub draining: Vec<String>,
    /// Names of nodes that were removed.
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
}

impl ExcludedNodes {
    /// Whether the node is draining or removed.
    pub fn contains(&self, node: &str) -> bool {
        self.draining.iter().chain(&self.removed).any(|name| name == node)
    }
}

/// A key of a configuration version that is not among the fields of format 1, the first stored format, with its value
/// as JSON text. Later builds add keys only as extensions, so that a version's packed bytes and digest are the same in
/// every build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// Path of the key, including its parent keys, such as `rules.least_brokers`.
    pub key: String,
    /// The value as JSON text.
    pub json: String,
    /// Whether a build that does not know the key must not act on the version.
    pub required: bool,
}

/// A complete version of the configuration on which brokers agree. Later builds add keys as `extensions`, never as
/// further fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub struct ConfigVersion {
    /// Number of the version: one more than the highest number ever proposed, including withdrawn versions.
    pub number: u64,
    /// Number of the active version on which this one is based, 0 if there was none; `None` accepts any active version.
    #[serde(default)]
    #[serde(rename = "follows")]
    pub based_on: Option<u64>,
    /// Ratio of the brokers that act only on this version in a first stage, while the others act on the joint
    /// configuration until the version is activated or withdrawn; `None` if there is no first stage.
    #[serde(default)]
    #[serde(rename = "stage")]
    pub first_stage_ratio: Option<f64>,
    /// Rules by which queries are routed.
    pub rules: RoutingRules,
    /// Nodes to which no broker may send new attempts.
    #[serde(rename = "standings")]
    pub excluded_nodes: ExcludedNodes,
    /// Owners and replicas of segments; `None` if the version has no shard map.
    pub map: Option<ShardMap>,
    /// Who proposed the version.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// The reason, in the proposer's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When the version was proposed, in Unix seconds; only shown to people.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
    /// Keys that are not among the fields of format 1; see [`Extension`]. Only the bytes of [`ConfigVersion::packed`]
    /// contain them.
    #[serde(skip)]
    pub extensions: Vec<Extension>,
}

/// Serializes a configuration version without its extensions: the fields of format 1, in the order of that format.
struct Format1Fields<'a>(&'a ConfigVersion);

impl Serialize for Format1Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ConfigVersion::serialize(self.0, serializer)
    }
}

/// Deserializes what [`Format1Fields`] serializes.
struct OwnedFormat1Fields(ConfigVersion);

impl<'de> Deserialize<'de> for OwnedFormat1Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigVersion::deserialize(deserializer).map(OwnedFormat1Fields)
    }
}

impl ConfigVersion {
    /// Encodes the version for replication; the bytes are the same in every build.
    pub fn packed(&self) -> Vec<u8> {
        let fields = postcard::to_stdvec(&Format1Fields(self)).expect("a version can always be serialized");
        if self.extensions.is_empty() {
            return fields;
        }
        postcard::to_extend(&self.extensions, fields).expect("a version can always be serialized")
    }

    /// Decodes the bytes of [`ConfigVersion::packed`]; `None` if they are malformed.
    pub fn unpacked(bytes: &[u8]) -> Option<Self> {
        let (OwnedFormat1Fields(mut version), rest) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            version.extensions = postcard::from_bytes(rest).ok()?;
        }
        Some(version)
    }

    /// BLAKE3 hash of the packed version, truncated to 32 hexadecimal digits.
    pub fn digest(&self) -> String {
        blake3::hash(&self.packed()).to_hex()[..32].to_string()
    }

    /// Checks that a build that implements `known_keys` may act on the version.
    pub(crate) fn check_known_keys(&self, known_keys: &[String]) -> Result<(), Rejection> {
        let mut required = self.extensions.iter().filter(|extension| extension.required);
        match required.find(|extension| !known_keys.contains(&extension.key)) {
            Some(unknown) => Err(Rejection::UnknownKey { number: self.number, key: unknown.key.clone() }),
            None => Ok(()),
        }
    }

    /// Checks that the rules and the ratio of the first stage are valid.
    pub(crate) fn check_rules(&self) -> Result<(), Rejection> {
        self.rules.check()?;
        match self.first_stage_ratio {
            Some(ratio) if !(ratio > 0.0 && ratio < 1.0) => Err(Rejection::InvalidStage(ratio)),
            _ => Ok(()),
        }
    }
}

impl Serialize for ConfigVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return ConfigVersion::serialize(self, serializer);
        }
        Blob(self.packed()).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ConfigVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return ConfigVersion::deserialize(deserializer);
        }
        let Blob(bytes) = Blob::deserialize(deserializer)?;
        ConfigVersion::unpacked(&bytes)
            .ok_or_else(|| serde::de::Error::custom("malformed packed configuration version"))
    }
}

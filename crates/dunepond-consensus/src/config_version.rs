//! A version of the fleet's configuration, and its encoding: by names for people (JSON), packed for programs.

use dunepond_shard_map::ShardMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::codec::Blob;
use crate::{Rejection, RoutingRules};

/// Keys of [`Extension`]s that this build implements; none so far.
const KNOWN_KEYS: &[&str] = &[];

pub(crate) fn known_keys() -> Vec<String> {
    KNOWN_KEYS.iter().map(ToString::to_string).collect()
}

/// Nodes that every broker has to exclude, whatever its own endpoint list says.
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

/// One key of a version beyond the fields that format 1 had, as JSON text. Fields are only ever added this way, so that a
/// version's bytes and digest are the same in every build.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// With the keys above it: `rules.least_brokers`.
    pub key: String,
    /// The value.
    pub json: String,
    /// A build that does not know the key must not act on the version.
    pub required: bool,
}

/// The whole configuration on which brokers agree. Fields of later builds go to `extensions`, never beside the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub struct ConfigVersion {
    /// One more than the highest number ever proposed, withdrawn ones included.
    pub number: u64,
    /// The active version that it was made from (0: none); `None`: whichever is active.
    #[serde(default)]
    #[serde(rename = "follows")]
    pub based_on: Option<u64>,
    /// Ratio of the brokers that act on it first, while the others stay joint until it is activated or withdrawn.
    #[serde(default)]
    #[serde(rename = "stage")]
    pub first_stage_ratio: Option<f64>,
    /// How queries are routed.
    pub rules: RoutingRules,
    /// Nodes that nobody may use.
    #[serde(rename = "standings")]
    pub excluded_nodes: ExcludedNodes,
    /// Owners and replicas of segments; `None`: no shard map.
    pub map: Option<ShardMap>,
    /// Who proposed it.
    #[serde(rename = "who")]
    pub proposed_by: String,
    /// Why, in the proposer's words.
    #[serde(rename = "why")]
    pub reason: String,
    /// When, in Unix seconds; shown to people only.
    #[serde(rename = "at")]
    pub proposed_at_unix_seconds: f64,
    /// Keys that format 1 did not have.
    #[serde(skip)]
    pub extensions: Vec<Extension>,
}

/// The fields of format 1, in its order.
struct Format1Fields<'a>(&'a ConfigVersion);

impl Serialize for Format1Fields<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ConfigVersion::serialize(self.0, serializer)
    }
}

struct OwnedFormat1Fields(ConfigVersion);

impl<'de> Deserialize<'de> for OwnedFormat1Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigVersion::deserialize(deserializer).map(OwnedFormat1Fields)
    }
}

impl ConfigVersion {
    /// The encoding that is agreed on: the same bytes in every build.
    pub fn packed(&self) -> Vec<u8> {
        let fields = postcard::to_stdvec(&Format1Fields(self)).expect("a version is plain data");
        if self.extensions.is_empty() {
            return fields;
        }
        postcard::to_extend(&self.extensions, fields).expect("a version is plain data")
    }

    /// Reverses [`ConfigVersion::packed`]; `None` if the bytes are malformed.
    pub fn unpacked(bytes: &[u8]) -> Option<Self> {
        let (OwnedFormat1Fields(mut version), rest) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            version.extensions = postcard::from_bytes(rest).ok()?;
        }
        Some(version)
    }

    /// Hash of the packed version, hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.packed()).to_hex()[..32].to_string()
    }

    /// Whether a build that implements `known_keys` may act on the version.
    pub(crate) fn check_known_keys(&self, known_keys: &[String]) -> Result<(), Rejection> {
        let mut required = self.extensions.iter().filter(|extension| extension.required);
        match required.find(|extension| !known_keys.contains(&extension.key)) {
            Some(unknown) => Err(Rejection::UnknownKey { number: self.number, key: unknown.key.clone() }),
            None => Ok(()),
        }
    }

    /// Whether the rules and the first stage are valid.
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
        ConfigVersion::unpacked(&bytes).ok_or_else(|| serde::de::Error::custom("a malformed version"))
    }
}

//! Documents that last: what stands in the log, in snapshots, in folders, and goes from broker to broker. Each begins with
//! a mark and is a map of named parts (CBOR), so that a later program can add some. What this one does not know of a
//! version it keeps and passes on as it is; of what it must not act without it says so, and takes no part in it.

use std::fmt;

use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{ConfigVersion, Rejection};

/// "This is CBOR": no document of format 1 begins with it.
const MARK: [u8; 3] = [0xd9, 0xd9, 0xf7];

/// Keys, added to versions since format 1, that this program goes by.
pub(crate) const KNOWS: &[&str] = &[];

/// What a version has beyond the parts that each program since format 1 knows: the text of one key. Parts are only ever
/// added here, so that a version's bytes, and its digest, are the same to all programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// With the keys above it: `rules.least_brokers`.
    pub key: String,
    /// JSON.
    pub json: String,
    /// Who does not know it must not act on the version.
    pub required: bool,
}

pub(crate) fn write<T: Serialize>(document: &T) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    ciborium::into_writer(document, &mut bytes).expect("plain data");
    bytes
}

/// `None`: of another format, or none at all.
pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes.strip_prefix(&MARK)?).ok()
}

/// As [`read`], and it has no part that this program does not know: nothing of it would be dropped.
pub(crate) fn read_all<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    read(bytes).filter(|document| write(document) == bytes)
}

pub(crate) fn is_old(bytes: &[u8]) -> bool {
    !bytes.starts_with(&MARK)
}

/// Whether a program that goes by `knows` may act on `version`.
pub(crate) fn understood(version: &ConfigVersion, knows: &[String]) -> Result<(), Rejection> {
    let unknown = version.extensions.iter().find(|more| more.required && !knows.contains(&more.key));
    unknown
        .map_or(Ok(()), |more| Err(Rejection::UnknownKey { number: version.number, key: more.key.clone() }))
}

pub(crate) fn knows() -> Vec<String> {
    KNOWS.iter().map(|key| String::from(*key)).collect()
}

/// Bytes as bytes, not as a list of numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Bytes;
        impl Visitor<'_> for Bytes {
            type Value = Blob;

            fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                formatter.write_str("bytes")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Blob, E> {
                Ok(Blob(bytes.to_vec()))
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Blob, E> {
                Ok(Blob(bytes))
            }
        }
        deserializer.deserialize_byte_buf(Bytes)
    }
}

/// The parts that each program knows, as format 1 wrote them.
struct Core<'a>(&'a ConfigVersion);

impl Serialize for Core<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        ConfigVersion::serialize(self.0, serializer)
    }
}

struct OwnCore(ConfigVersion);

impl<'de> Deserialize<'de> for OwnCore {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        ConfigVersion::deserialize(deserializer).map(OwnCore)
    }
}

impl ConfigVersion {
    /// As it is agreed on: the same at each program.
    pub fn packed(&self) -> Vec<u8> {
        let core = postcard::to_stdvec(&Core(self)).expect("a version is plain data");
        match self.extensions.is_empty() {
            true => core,
            false => postcard::to_extend(&self.extensions, core).expect("a version is plain data"),
        }
    }

    pub fn unpacked(bytes: &[u8]) -> Option<Self> {
        let (OwnCore(mut version), rest) = postcard::take_from_bytes(bytes).ok()?;
        if !rest.is_empty() {
            version.extensions = postcard::from_bytes(rest).ok()?;
        }
        Some(version)
    }
}

// For people its parts by name, for programs packed.
impl Serialize for ConfigVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match serializer.is_human_readable() {
            true => ConfigVersion::serialize(self, serializer),
            false => Blob(self.packed()).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for ConfigVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            return ConfigVersion::deserialize(deserializer);
        }
        let Blob(bytes) = Blob::deserialize(deserializer)?;
        ConfigVersion::unpacked(&bytes)
            .ok_or_else(|| serde::de::Error::custom("a version that does not read"))
    }
}

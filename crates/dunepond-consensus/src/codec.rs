//! Encoding of documents that other builds may read: log entries, snapshots, persisted state, messages between brokers.
//! Each is the self-described CBOR tag followed by a CBOR map with named fields, so that a later build can add fields.

use std::fmt;

use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The self-described CBOR tag (55799). It distinguishes documents from those of format 1, the first stored format,
/// none of which begins with these bytes.
const CBOR_TAG: [u8; 3] = [0xd9, 0xd9, 0xf7];

pub(crate) fn encode<T: Serialize>(document: &T) -> Vec<u8> {
    let mut bytes = CBOR_TAG.to_vec();
    ciborium::into_writer(document, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// Decodes a document; `None` if it does not begin with the CBOR tag or is malformed.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes.strip_prefix(&CBOR_TAG)?).ok()
}

/// Decodes a document like [`decode`]; also returns `None` if it has a field that this build does not know. Without
/// this check a voter would apply a log entry of a later build as if it did not have that field.
pub(crate) fn decode_fully_known<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode(bytes).filter(|document| encode(document) == bytes)
}

pub(crate) fn is_format1(bytes: &[u8]) -> bool {
    !bytes.starts_with(&CBOR_TAG)
}

/// A CBOR byte string. Serde would encode a plain `Vec<u8>` as an array of numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl Visitor<'_> for BlobVisitor {
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

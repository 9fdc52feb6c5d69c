//! Encoding of documents that outlive one build: log entries, snapshots, persisted state, messages between brokers. Each
//! is a mark followed by a CBOR map of named parts, so that a later build can add parts.

use std::fmt;

use serde::de::{DeserializeOwned, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The tag "this is CBOR"; no document of format 1 begins with it.
const MARK: [u8; 3] = [0xd9, 0xd9, 0xf7];

pub(crate) fn encode<T: Serialize>(document: &T) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    ciborium::into_writer(document, &mut bytes).expect("plain data");
    bytes
}

/// `None`: the document is of another format or malformed.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes.strip_prefix(&MARK)?).ok()
}

/// As [`decode`], and the document has no part that this build does not know. Without this check an entry would be applied
/// with some of its parts dropped.
pub(crate) fn decode_fully_known<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode(bytes).filter(|document| encode(document) == bytes)
}

pub(crate) fn is_format1(bytes: &[u8]) -> bool {
    !bytes.starts_with(&MARK)
}

/// A CBOR byte string; `Vec<u8>` would become a list of numbers.
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

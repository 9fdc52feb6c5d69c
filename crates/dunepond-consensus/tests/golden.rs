//! Golden tests of the formats of stored data and of messages. The bytes that the code writes have to equal the files
//! under `data/golden`, and so do the bytes that it writes after reading such a file. A difference would break a
//! rolling upgrade.
//!
//! If the environment variable `GOLDEN_WRITE` is set, a missing golden file is written. An existing file is never
//! changed.

#[path = "golden/documents.rs"]
mod documents;
#[path = "golden/runs.rs"]
mod runs;

use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The self-described CBOR tag, with which each document begins.
const CBOR_TAG: [u8; 3] = [0xd9, 0xd9, 0xf7];

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name)
}

/// Returns the bytes of a golden file, after asserting that they equal `written`, the bytes that the code writes.
fn golden(name: &str, written: &[u8]) -> Vec<u8> {
    let path = golden_path(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() && !path.exists() {
        std::fs::write(&path, written).unwrap();
    }
    let stored = std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert!(stored == written, "{name}: the code writes bytes that differ from the golden file");
    stored
}

/// Encodes a document.
fn encode_document<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = CBOR_TAG.to_vec();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Decodes a document and encodes it again.
fn reencode<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = ciborium::from_reader(bytes.strip_prefix(&CBOR_TAG).expect("the CBOR tag")).unwrap();
    encode_document(&value)
}

/// Decodes a JSON document and encodes it again.
fn reencode_json<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    serde_json::to_vec_pretty(&serde_json::from_slice::<T>(bytes).unwrap()).unwrap()
}

/// Concatenates records, each preceded by its length as four bytes in little-endian order.
fn join_records(records: &[Vec<u8>]) -> Vec<u8> {
    let frame = |record: &Vec<u8>| [&(record.len() as u32).to_le_bytes()[..], record].concat();
    records.iter().flat_map(frame).collect()
}

/// Reverses [`join_records`].
fn split_records(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_le_bytes(*length) as usize);
        records.push(record.to_vec());
        bytes = rest;
    }
    records
}

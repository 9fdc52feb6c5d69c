//! The stored and exchanged forms, byte for byte: files under `data/golden` were written before any of the code's names
//! changed, are read here, and have to come out again as they are. A change of a file breaks a rolling upgrade.
//!
//! A file that is missing is written when `GOLDEN_WRITE` is set; one that is there is only ever compared.

#[path = "golden/documents.rs"]
mod documents;
#[path = "golden/runs.rs"]
mod runs;

use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Each document that lasts begins with it.
const MARK: [u8; 3] = [0xd9, 0xd9, 0xf7];

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name)
}

/// The bytes of a file, which have to be those that the code writes.
fn golden(name: &str, written: &[u8]) -> Vec<u8> {
    let path = path(name);
    if std::env::var_os("GOLDEN_WRITE").is_some() && !path.exists() {
        std::fs::write(&path, written).unwrap();
    }
    let stored = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert!(stored == written, "{name}: the code writes other bytes than the file has");
    stored
}

fn document<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = MARK.to_vec();
    ciborium::into_writer(value, &mut bytes).unwrap();
    bytes
}

/// Of a document that was read and written again.
fn again<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    let value: T = ciborium::from_reader(bytes.strip_prefix(&MARK).expect("the mark")).unwrap();
    document(&value)
}

fn again_json<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Vec<u8> {
    serde_json::to_vec_pretty(&serde_json::from_slice::<T>(bytes).unwrap()).unwrap()
}

/// Records one after the other, each behind its length.
fn framed(records: &[Vec<u8>]) -> Vec<u8> {
    let frame = |record: &Vec<u8>| [&(record.len() as u32).to_le_bytes()[..], record].concat();
    records.iter().flat_map(frame).collect()
}

fn unframed(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_le_bytes(*length) as usize);
        records.push(record.to_vec());
        bytes = rest;
    }
    records
}

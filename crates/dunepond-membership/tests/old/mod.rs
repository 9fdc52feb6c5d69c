//! The wire format of version 1: what brokers of that version read and write. The definitions have the names of that
//! version. They must not be changed, and must not use any code of the crate, so that tests notice a change of the
//! format.
#![allow(dead_code, reason = "each test file uses only some of the definitions")]

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Id {
    pub name: String,
    pub incarnation: u64,
    pub renewed: u32,
    pub listen: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    Raft,
    Lease,
    Propose,
    Counts,
    Fill,
    State,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum About {
    Members,
    Ask { id: u64, kind: Kind, within_ms: u32 },
    Answer { id: u64 },
    Refused { id: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    pub from: Id,
    pub to: String,
    pub gives: u64,
    pub echo: u64,
    pub about: About,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Refused {
    Busy,
    Late,
    TooLarge { most: u64 },
    Version { theirs: u8, ours: u8 },
    Claimed { name: String },
    Seal,
    Stale { name: String, known: u64 },
    Garbled,
    NotMe { name: String },
    Flood,
    Full,
    Dropped,
    Declined(String),
}

/// Encodes a message as a broker of version 1 without a key does.
pub fn write(head: &Head, load: &[u8]) -> Vec<u8> {
    let mut bytes = postcard::to_extend(head, vec![1]).unwrap();
    bytes.extend_from_slice(load);
    bytes
}

/// Decodes a message as a broker of version 1 without a key does; returns `None` if the message has another version or
/// is malformed.
pub fn read(bytes: &[u8]) -> Option<(Head, &[u8])> {
    let [1, rest @ ..] = bytes else { return None };
    postcard::take_from_bytes(rest).ok()
}

/// Encodes a request of the broker `name`, which listens at `listen`, to `to`.
pub fn ask(name: &str, listen: SocketAddr, to: &str, kind: Kind, load: &[u8]) -> Vec<u8> {
    let from = Id { name: name.into(), incarnation: 1, renewed: 0, listen };
    let about = About::Ask { id: 7, kind, within_ms: 2000 };
    write(&Head { from, to: to.into(), gives: 0, echo: 0, about }, load)
}

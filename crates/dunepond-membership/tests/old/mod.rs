//! Version 1 as it was written, kept as it was: what a program of that version reads and writes. Nothing here may be changed, and
//! nothing of it is taken from the present program.
#![allow(dead_code, reason = "each story uses what it needs")]

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

pub fn write(head: &Head, load: &[u8]) -> Vec<u8> {
    let mut bytes = postcard::to_extend(head, vec![1]).unwrap();
    bytes.extend_from_slice(load);
    bytes
}

/// What it reads without a key: of another version, or garbled, is nothing.
pub fn read(bytes: &[u8]) -> Option<(Head, &[u8])> {
    let [1, rest @ ..] = bytes else { return None };
    postcard::take_from_bytes(rest).ok()
}

pub fn ask(name: &str, listen: SocketAddr, to: &str, kind: Kind, load: &[u8]) -> Vec<u8> {
    let from = Id { name: name.into(), incarnation: 1, renewed: 0, listen };
    let about = About::Ask { id: 7, kind, within_ms: 2000 };
    write(&Head { from, to: to.into(), gives: 0, echo: 0, about }, load)
}

//! What can be wrong, where, and what an operator can do about it.

use crate::wire::Span;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Why a peer does not answer what it was asked; travels in answers.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    #[error("busy: more is asked than it holds at once")]
    Busy,
    #[error("not answered within the asker's time")]
    Late,
    #[error("the body is larger than {most} bytes")]
    TooLarge { most: u64 },
    #[error("it speaks version {ours} and was spoken to in version {theirs}")]
    Version { theirs: u8, ours: u8 },
    #[error("the name {name} is not believed from there")]
    UnverifiedSender { name: String },
    #[error("the seal does not fit")]
    Seal,
    #[error("a later life of {name} is known, incarnation {known}")]
    Stale { name: String, known: u64 },
    #[error("the message cannot be read")]
    Malformed,
    #[error("the message is for another; this is {name}")]
    NotMe { name: String },
    #[error("too many messages in a second")]
    Flood,
    #[error("it knows as many members as it holds")]
    Full,
    #[error("the one asked gave no answer")]
    Dropped,
    #[error("declined: {0}")]
    Declined(String),
    /// In place of [`RefusalReason::Version`] from version 2 on.
    #[error("it speaks version {ours}, and the asker version {theirs}")]
    Versions { theirs: Span, ours: Span },
    /// From version 2 on; in version 1 it is [`RefusalReason::Malformed`].
    #[error("it does not know requests of kind {kind}")]
    Kind { kind: u32 },
    /// Both from version 2 on. The first brings the pass with it.
    #[error("the request does not show the pass of its present life")]
    Pass,
    #[error("the message was heard before")]
    Old,
}

impl RefusalReason {
    /// The same for one who reads only what this version has.
    pub fn spoken_in(self, version: u8) -> RefusalReason {
        match self {
            RefusalReason::Versions { theirs, ours } if version < 2 => {
                RefusalReason::Version { theirs: theirs.most, ours: ours.most }
            }
            RefusalReason::Kind { .. } | RefusalReason::Pass | RefusalReason::Old if version < 2 => {
                RefusalReason::Malformed
            }
            other => other,
        }
    }
}

impl RefusalReason {
    pub fn help(&self) -> &'static str {
        match self {
            RefusalReason::Busy => {
                "passes by itself; if it lasts, look at that broker's load and its counter `asked_busy`"
            }
            RefusalReason::Late => "that broker is slow: look at its load and at its disk",
            RefusalReason::TooLarge { .. } => {
                "a document has outgrown the bound `body`: split it, or raise the bound at all brokers"
            }
            RefusalReason::Version { .. } | RefusalReason::Versions { .. } => {
                "start the older of the two programs in a release between them: they talk of nothing until they have a version in common"
            }
            RefusalReason::Pass => {
                "passes by itself: the asker has the pass now, or with that broker's next datagram"
            }
            RefusalReason::Old => {
                "something between repeats or keeps back messages: look at relays and at who else is on the network"
            }
            RefusalReason::Kind { .. } => {
                "that broker runs an older program, and the asker does without: finish the roll-out"
            }
            RefusalReason::UnverifiedSender { .. } => {
                "two brokers use one name, or the file names another address for it; behind a relay the fleet needs `key`"
            }
            RefusalReason::Seal => "the fleet's `key` differs between the two files",
            RefusalReason::Stale { .. } => {
                "two processes run under one name: end the earlier one; or a folder was restored and its start counter went back"
            }
            RefusalReason::Malformed => {
                "something that is no broker of this fleet sends to this port, or the link spoils bytes"
            }
            RefusalReason::NotMe { .. } => {
                "the file gives a name the address of another broker: correct `at`"
            }
            RefusalReason::Flood => "a broker sends without bound: look at its log, restart it if it goes on",
            RefusalReason::Full => {
                "more names than the bound `members`: names should stay the same over restarts"
            }
            RefusalReason::Dropped => {
                "that broker is ending, or has no use for this kind of message: look whether its file has `fleet`"
            }
            RefusalReason::Declined(_) => "the reason stands in the message; it is the asked broker's own",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Error)]
pub enum PeerError {
    #[error("cannot listen at {at}: {why}")]
    Bind { at: SocketAddr, why: String },
    #[error("cannot start the thread of the links: {why}")]
    Thread { why: String },
    #[error("{name:?} is not a name: 1 to {most} letters, digits, '-', '_', '.' or ':'")]
    Name { name: String, most: usize },
    #[error("{name} is known under two addresses, {one} and {other}")]
    Twice { name: String, one: SocketAddr, other: SocketAddr },
    #[error("the key has {has} bytes, fewer than {least}")]
    Key { has: usize, least: usize },
    #[error("the bound {which} cannot be {value}")]
    Bound { which: &'static str, value: f64 },
    #[error("no address is known for {to}")]
    Unknown { to: String },
    #[error("{most} asks ({to}) have not ended yet")]
    Busy { to: String, most: usize },
    #[error("{bytes} bytes for {to} are more than the {most} that a body may have")]
    TooLarge { to: String, bytes: usize, most: usize },
    #[error("{to} could not be reached and is left alone for {wait:.3} s more")]
    Resting { to: String, wait: f64 },
    #[error("{to} cannot be reached at {at}: {why}")]
    Unreachable { to: String, at: SocketAddr, why: String },
    #[error("{to} has not answered within {within:.3} s")]
    Late { to: String, within: f64 },
    #[error("the connection to {to} ended before its answer was whole")]
    Broken { to: String },
    #[error("{to} refuses: {why}")]
    Refused { to: String, why: RefusalReason },
    #[error("a message from {from} cannot be read")]
    Garbled { from: String },
    #[error("a message from {from}, which speaks version {theirs}; this broker speaks {ours}")]
    Version { from: String, theirs: Span, ours: Span },
    #[error("{to} speaks version {version}, which has no requests to {path}")]
    Kind { to: String, path: &'static str, version: u8 },
    #[error("{from} claims to be {name}")]
    Claimed { from: String, name: String },
    #[error("the seal of a message from {from} does not fit")]
    Seal { from: String },
    #[error("{name} speaks as incarnation {said}, but {known} is known")]
    Stale { name: String, said: u64, known: u64 },
    #[error("a message of {name} does not show the pass of our present life")]
    Unproven { name: String },
    #[error("a message of {name} was heard before, or is too old to tell")]
    Old { name: String },
    #[error("a message for {to} came to us")]
    NotUs { to: String },
    #[error("{name} sends more than {most} messages a second")]
    Flood { name: String, most: u32 },
    #[error("more than {most} names")]
    Full { most: usize },
    #[error("the membership library refuses a message of {from}: {why}")]
    Membership { from: String, why: String },
    #[error("the links have been stopped")]
    Stopped,
}

impl PeerError {
    pub fn help(&self) -> &'static str {
        match self {
            PeerError::Bind { .. } => {
                "another process holds that port, or the address is not this machine's: change `listen`"
            }
            PeerError::Thread { .. } => "the system gives no further thread or descriptor: raise its limits",
            PeerError::Name { .. } => "give the broker another name in the file or in GW_NAME",
            PeerError::Twice { .. } => "name each broker once in `fleet`, with one `at`",
            PeerError::Key { .. } => "give `key` at least 16 bytes, the same at all brokers",
            PeerError::Bound { .. } => "leave the bound out for its usual value, or give a number above 0",
            PeerError::Unknown { .. } => "name it with `at` in `fleet`, or wait until it has been heard of",
            PeerError::Busy { .. } => {
                "passes by itself; if it lasts, the peer is slow or the bound `asks` is too low"
            }
            PeerError::TooLarge { .. } => "split the document, or raise the bound `body` at all brokers",
            PeerError::Resting { .. } => "look whether that broker runs and whether its port can be reached",
            PeerError::Unreachable { .. } => "look whether that broker runs, and whether `at` is right",
            PeerError::Late { .. } => {
                "that broker or the way there is slow, or it stands still: look at its log and load"
            }
            PeerError::Broken { .. } => {
                "that broker ended, or something between cuts connections: look at its log"
            }
            PeerError::Refused { why, .. } => why.help(),
            PeerError::Garbled { .. } => RefusalReason::Malformed.help(),
            PeerError::Version { theirs, ours, .. } if theirs.common(*ours).is_some() => {
                "nothing is to be done: both go on in the highest version that they have in common"
            }
            PeerError::Version { theirs, ours, .. } => {
                RefusalReason::Versions { theirs: *theirs, ours: *ours }.help()
            }
            PeerError::Kind { .. } => RefusalReason::Kind { kind: 0 }.help(),
            PeerError::Claimed { .. } => {
                "two brokers use one name, or the file names another address for it; behind a relay the fleet needs `key`"
            }
            PeerError::Seal { .. } => RefusalReason::Seal.help(),
            PeerError::Stale { .. } => {
                "two processes run under one name: end the earlier one; or a folder was restored and its start counter went back"
            }
            PeerError::Unproven { .. } => RefusalReason::Pass.help(),
            PeerError::Old { .. } => RefusalReason::Old.help(),
            PeerError::NotUs { .. } => {
                "the sender's file gives our address to another name: correct `at` there"
            }
            PeerError::Flood { .. } => RefusalReason::Flood.help(),
            PeerError::Full { .. } => RefusalReason::Full.help(),
            PeerError::Membership { .. } => {
                "counted and left out; if it lasts, that broker runs other code: finish the roll-out"
            }
            PeerError::Stopped => "the broker is ending; nothing is to be done",
        }
    }

    /// What a peer is told that sent us this; nothing, where the fault is ours or the way's.
    pub fn refusal(&self, me: &str) -> Option<RefusalReason> {
        Some(match self {
            PeerError::Garbled { .. } | PeerError::Membership { .. } => RefusalReason::Malformed,
            PeerError::Version { theirs, ours, .. } => {
                RefusalReason::Versions { theirs: *theirs, ours: *ours }
            }
            PeerError::Claimed { name, .. } => RefusalReason::UnverifiedSender { name: name.clone() },
            PeerError::Seal { .. } => RefusalReason::Seal,
            PeerError::Stale { name, known, .. } => {
                RefusalReason::Stale { name: name.clone(), known: *known }
            }
            PeerError::Unproven { .. } => RefusalReason::Pass,
            PeerError::Old { .. } => RefusalReason::Old,
            PeerError::NotUs { .. } => RefusalReason::NotMe { name: me.into() },
            PeerError::Flood { .. } => RefusalReason::Flood,
            PeerError::Full { .. } => RefusalReason::Full,
            PeerError::TooLarge { most, .. } => RefusalReason::TooLarge { most: *most as u64 },
            PeerError::Busy { .. } => RefusalReason::Busy,
            PeerError::Late { .. } => RefusalReason::Late,
            PeerError::Refused { why, .. } => why.clone(),
            _ => return None,
        })
    }
}

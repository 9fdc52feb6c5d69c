//! The reason why a request or datagram is refused, which is sent back to the sender of the message.

use crate::version::VersionRange;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a peer refused a message. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    /// A limit on concurrent work is reached.
    #[error("overloaded: a limit on concurrent requests is reached")]
    Busy,
    /// The refusing broker did not receive the whole request in time, or had no response before the request's deadline.
    #[error("no response before the request's deadline")]
    Timeout,
    /// The body exceeds the receiver's limit.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The receiver's limit, in bytes.
        max_bytes: u64,
    },
    /// The receiver does not support the protocol version of the message. Brokers of version 1 read this reason,
    /// instead of [`RefusalReason::UnsupportedVersion`].
    #[error("the receiver speaks protocol version {supported}, the message has version {stated}")]
    UnsupportedVersionV1 {
        /// If the refusing broker supports only version 1, the version of the refused message; otherwise the highest
        /// version that the message states for its sender.
        stated: u8,
        /// The highest protocol version that the refusing broker supports.
        supported: u8,
    },
    /// The name that the sender claims cannot be verified for its address.
    #[error("the sender cannot be verified as {name}")]
    UnverifiedSender {
        /// The name that the sender claims.
        name: String,
    },
    /// The message authentication code is wrong.
    #[error("the message authentication code does not match")]
    AuthenticationFailed,
    /// The sender's incarnation is earlier than the latest one that is known under its name.
    #[error("the later incarnation {known} of {name} is known")]
    StaleIncarnation {
        /// The sender's name.
        name: String,
        /// The latest known incarnation of that name.
        known: u64,
    },
    /// The message cannot be decoded.
    #[error("the message cannot be decoded")]
    Malformed,
    /// The message is addressed to another broker.
    #[error("the message is addressed to another broker; the receiver is {name}")]
    WrongRecipient {
        /// The name of the refusing broker.
        name: String,
    },
    /// The sender exceeds the receiver's limit on messages per second.
    #[error("the sender exceeds its message rate")]
    RateLimited,
    /// The receiver's limit on names that are not configured is reached.
    #[error("the receiver's member table is full")]
    TooManyMembers,
    /// At the refusing broker, the code that uses this crate dropped the request without a response.
    #[error("the request was dropped without a response")]
    NoResponse,
    /// At the refusing broker, the code that uses this crate declined the request, for the reason that this text
    /// states.
    #[error("declined: {0}")]
    Declined(String),
    /// The receiver does not support the protocol version of the message. This reason exists from version 2 on.
    #[error(
        "the message's protocol version is not supported: the receiver speaks {supported}, the sender {stated}"
    )]
    UnsupportedVersion {
        /// The version range that the sender stated.
        stated: VersionRange,
        /// The version range of the refusing broker.
        supported: VersionRange,
    },
    /// The peer does not know the kind of request. This reason exists from version 2 on; in version 1 it is
    /// [`RefusalReason::Malformed`].
    #[error("the receiver does not know requests of kind {kind}")]
    UnknownKind {
        /// Number of the kind, as the request states it.
        kind: u32,
    },
    /// The request does not echo the address token of the receiver's current incarnation; the refusal contains the
    /// token. This reason exists from version 2 on.
    #[error("the request lacks the receiver's current address token")]
    InvalidToken,
    /// The sequence number was received before, or is too far below the highest received one to be checked. This reason
    /// exists from version 2 on.
    #[error("the message is a replay")]
    Replayed,
}

impl RefusalReason {
    /// Returns the reason in a form that exists in protocol version `version`.
    pub fn for_version(self, version: u8) -> RefusalReason {
        match self {
            RefusalReason::UnsupportedVersion { stated, supported } if version < 2 => {
                RefusalReason::UnsupportedVersionV1 { stated: stated.max, supported: supported.max }
            }
            RefusalReason::UnknownKind { .. } | RefusalReason::InvalidToken | RefusalReason::Replayed
                if version < 2 =>
            {
                RefusalReason::Malformed
            }
            other => other,
        }
    }

    /// Returns what an operator can do about the refusal.
    pub fn help(&self) -> &'static str {
        match self {
            RefusalReason::Busy => {
                "usually temporary; if it persists, check that broker's load and its counter `asked_busy`"
            }
            RefusalReason::Timeout => "that broker is slow: check its load and its disk",
            RefusalReason::TooLarge { .. } => {
                "a document exceeds the limit on bodies: split it, or raise the limit on all brokers"
            }
            RefusalReason::UnsupportedVersionV1 { .. } | RefusalReason::UnsupportedVersion { .. } => {
                "upgrade the older of the two programs to a release between them: without a common protocol version they cannot communicate"
            }
            RefusalReason::InvalidToken => {
                "temporary: the sender has the token now, or receives it with that broker's next datagram"
            }
            RefusalReason::Replayed => {
                "something between the brokers repeats or delays messages: check relays, and other hosts on the network"
            }
            RefusalReason::UnknownKind { .. } => {
                "that broker runs an older program, and the sender continues without such requests: finish the roll-out"
            }
            RefusalReason::UnverifiedSender { .. } => {
                "two brokers use one name, or the configuration file has another address for it; behind a relay the fleet needs `key`"
            }
            RefusalReason::AuthenticationFailed => {
                "the two brokers' configuration files have different values of `key`: set the same one"
            }
            RefusalReason::StaleIncarnation { .. } => {
                "two processes run under one name: stop the earlier one; or a data folder was restored and its start counter went back"
            }
            RefusalReason::Malformed => {
                "something that is not a broker of this fleet sends to this port, or the network corrupts data"
            }
            RefusalReason::WrongRecipient { .. } => {
                "the sender's configuration file has that broker's address under another name: correct `at` there"
            }
            RefusalReason::RateLimited => {
                "a broker sends too many messages: check its log, and restart it if it continues"
            }
            RefusalReason::TooManyMembers => {
                "there are more names than the limit on members allows: keep each broker's name the same over restarts"
            }
            RefusalReason::NoResponse => {
                "that broker is shutting down, or does not serve this kind of request: check that its configuration file has `fleet`"
            }
            RefusalReason::Declined(_) => {
                "that broker declined the request itself: see the reason in the message"
            }
        }
    }
}

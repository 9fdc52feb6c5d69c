//! The reason for which a request or datagram was refused, which is sent back to its sender.

use crate::version::VersionRange;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a peer refused a message. The order of variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum RefusalReason {
    /// A limit on concurrent work is reached.
    #[error("overloaded: a limit on concurrent requests is reached")]
    Busy,
    /// The caller at the peer did not respond before the deadline.
    #[error("no response before the request's deadline")]
    Timeout,
    /// The body exceeds the receiver's limit.
    #[error("the body is larger than {max_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        max_bytes: u64,
    },
    /// The form of [`RefusalReason::UnsupportedVersion`] that version 1 reads.
    #[error("it speaks protocol version {supported} and received version {stated}")]
    UnsupportedVersionV1 {
        /// The version that was received.
        stated: u8,
        /// The highest version of the refusing program.
        supported: u8,
    },
    /// The name cannot be verified for the address of the sender.
    #[error("the sender cannot be verified as {name}")]
    UnverifiedSender {
        /// The claimed name.
        name: String,
    },
    /// The message authentication code is wrong.
    #[error("the message authentication code does not match")]
    AuthenticationFailed,
    /// The sender is an earlier incarnation than the one known.
    #[error("a later incarnation of {name} is known: {known}")]
    StaleIncarnation {
        /// The sender's name.
        name: String,
        /// The known incarnation.
        known: u64,
    },
    /// The message cannot be decoded.
    #[error("the message cannot be decoded")]
    Malformed,
    /// The message is addressed to another broker.
    #[error("the message is for another broker; this is {name}")]
    WrongRecipient {
        /// The name of the refusing broker.
        name: String,
    },
    /// The sender exceeds its message rate.
    #[error("the sender exceeds its message rate")]
    RateLimited,
    /// The member table is full.
    #[error("the member table is full")]
    TooManyMembers,
    /// The caller at the peer dropped the request.
    #[error("the request was dropped without a response")]
    NoResponse,
    /// The caller at the peer refused the request for a reason of its own.
    #[error("declined: {0}")]
    Declined(String),
    /// There is no common protocol version. This reason exists from version 2 on.
    #[error("it speaks protocol versions {supported}, the sender {stated}")]
    UnsupportedVersion {
        /// The range that the sender stated.
        stated: VersionRange,
        /// The range of the refusing program.
        supported: VersionRange,
    },
    /// The peer does not know the kind of request. This reason exists from version 2 on; in version 1 it is
    /// [`RefusalReason::Malformed`].
    #[error("requests of kind {kind} are unknown there")]
    UnknownKind {
        /// Number of the kind.
        kind: u32,
    },
    /// The request does not echo the address token of the receiver's incarnation; the refusal carries the token. This
    /// reason exists from version 2 on.
    #[error("the request lacks the receiver's current address token")]
    InvalidToken,
    /// The sequence number was received before. This reason exists from version 2 on.
    #[error("the message is a replay")]
    Replayed,
}

impl RefusalReason {
    /// The reason in a form that exists in `version`.
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

    /// What an operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            RefusalReason::Busy => {
                "passes by itself; if it lasts, look at that broker's load and its counter `asked_busy`"
            }
            RefusalReason::Timeout => "that broker is slow: look at its load and at its disk",
            RefusalReason::TooLarge { .. } => {
                "a document exceeds the limit on bodies: split it, or raise the limit at all brokers"
            }
            RefusalReason::UnsupportedVersionV1 { .. } | RefusalReason::UnsupportedVersion { .. } => {
                "upgrade the older of the two programs to a release between them: without a common protocol version they cannot communicate"
            }
            RefusalReason::InvalidToken => {
                "passes by itself: the sender has the token now, or with that broker's next datagram"
            }
            RefusalReason::Replayed => {
                "something between the brokers repeats or delays messages: look at relays and at who else is on the network"
            }
            RefusalReason::UnknownKind { .. } => {
                "that broker runs an older program, and the sender does without: finish the roll-out"
            }
            RefusalReason::UnverifiedSender { .. } => {
                "two brokers use one name, or the file names another address for it; behind a relay the fleet needs `key`"
            }
            RefusalReason::AuthenticationFailed => "the fleet's `key` differs between the two files",
            RefusalReason::StaleIncarnation { .. } => {
                "two processes run under one name: end the earlier one; or a folder was restored and its start counter went back"
            }
            RefusalReason::Malformed => {
                "something that is no broker of this fleet sends to this port, or the network corrupts bytes"
            }
            RefusalReason::WrongRecipient { .. } => {
                "the file gives a name the address of another broker: correct `at`"
            }
            RefusalReason::RateLimited => {
                "a broker sends without limit: look at its log, restart it if it goes on"
            }
            RefusalReason::TooManyMembers => {
                "more names than the limit on members: names should stay the same over restarts"
            }
            RefusalReason::NoResponse => {
                "that broker is shutting down, or does not serve this kind of request: look whether its file has `fleet`"
            }
            RefusalReason::Declined(_) => "the reason stands in the message; it is that broker's own",
        }
    }
}

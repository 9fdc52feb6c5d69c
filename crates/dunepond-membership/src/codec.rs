//! The encoding of messages: a version byte; from version 2 on, the range of versions that the sender supports and a
//! sequence number; the header; the payload; and a message authentication code if the fleet has a key. The version byte
//! and the range must stay first in every later version, so that brokers of any version can read them.

use crate::error::PeerError;
use crate::messages::{Envelope, Message, MessageHeader};
use crate::version::{FIRST_VERSION_WITH_RANGE, VersionRange};

const MIN_KEY_BYTES: usize = 16;
const MAC_BYTES: usize = 32;
/// Context string with which the message key is derived from the fleet's key; it is part of the wire format.
const KEY_CONTEXT: &str = "dunepond peers, messages, 1";
/// Length of the version byte and the version range together, in bytes, in messages that state the range.
const RANGE_PREFIX_BYTES: usize = 3;
const ENCODING_TO_MEMORY: &str = "encoding to memory cannot fail";

/// Largest total size of envelope, header and authentication code, in bytes; the rest of a datagram is available for
/// gossip.
pub(crate) const MAX_OVERHEAD_BYTES: usize = 256;

/// Signs and verifies messages with the fleet's key, if it has one. A valid authentication code proves that the sender
/// holds the key, but not that it is the broker that it claims to be, since every member holds the same key.
#[derive(Clone)]
pub struct Authenticator(Option<[u8; 32]>);

impl Authenticator {
    /// Creates an authenticator with the fleet's key, or without one. A key that is too short is an error.
    pub fn new(key: Option<&str>) -> Result<Authenticator, PeerError> {
        match key {
            Some(key) if key.len() < MIN_KEY_BYTES => {
                Err(PeerError::KeyTooShort { bytes: key.len(), min_bytes: MIN_KEY_BYTES })
            }
            Some(key) => Ok(Authenticator(Some(blake3::derive_key(KEY_CONTEXT, key.as_bytes())))),
            None => Ok(Authenticator(None)),
        }
    }

    /// Returns whether the fleet has a key. Without a key, messages are not authenticated.
    pub fn has_key(&self) -> bool {
        self.0.is_some()
    }

    /// Appends the message authentication code, if there is a key.
    fn sign(&self, bytes: &mut Vec<u8>) {
        if let Some(key) = &self.0 {
            let mac = blake3::keyed_hash(key, bytes);
            bytes.extend_from_slice(mac.as_bytes());
        }
    }

    /// Verifies the authentication code, in constant time, and returns the message without it.
    fn verify<'a>(&self, bytes: &'a [u8], from: &str) -> Result<&'a [u8], PeerError> {
        let Some(key) = &self.0 else { return Ok(bytes) };
        let malformed = || PeerError::Malformed { from: from.into() };
        let mac_start = bytes.len().checked_sub(MAC_BYTES).ok_or_else(malformed)?;
        let (message, mac) = bytes.split_at(mac_start);
        if blake3::Hash::from_slice(mac).map_err(|_| malformed())? != blake3::keyed_hash(key, message) {
            return Err(PeerError::AuthenticationFailed { from: from.into() });
        }
        Ok(message)
    }
}

/// Returns the version of an encoded message and the version range of its sender, even if the version is not supported;
/// `None` if the bytes are malformed.
pub fn peek_version(bytes: &[u8]) -> Option<(u8, VersionRange)> {
    match *bytes {
        [version, min, max, ..] if version >= FIRST_VERSION_WITH_RANGE => {
            (min <= version && version <= max).then_some((version, VersionRange { min, max }))
        }
        // The message is of version 1, which states no range, or too short to state one.
        [version, ..] => Some((version, VersionRange::exactly(version))),
        [] => None,
    }
}

/// Encodes a message in `envelope.version`, which must be in [`VersionRange::SUPPORTED`].
pub fn encode(
    envelope: &Envelope,
    header: &MessageHeader,
    payload: &[u8],
    authenticator: &Authenticator,
) -> Vec<u8> {
    let mut bytes = vec![envelope.version];
    if envelope.version >= FIRST_VERSION_WITH_RANGE {
        bytes.extend([envelope.supported.min, envelope.supported.max]);
        bytes = postcard::to_extend(&envelope.sequence, bytes).expect(ENCODING_TO_MEMORY);
    }
    bytes = postcard::to_extend(header, bytes).expect(ENCODING_TO_MEMORY);
    bytes.extend_from_slice(payload);
    authenticator.sign(&mut bytes);
    bytes
}

/// Decodes a message whose version must be in `supported`. `from` is the sender's address or name, for error messages
/// only. Only the version and the range are read before the authentication code is verified.
pub fn decode<'a>(
    bytes: &'a [u8],
    authenticator: &Authenticator,
    from: &str,
    supported: VersionRange,
) -> Result<Message<'a>, PeerError> {
    let malformed = || PeerError::Malformed { from: from.into() };
    let (version, stated) = peek_version(bytes).ok_or_else(malformed)?;
    if !supported.contains(version) {
        return Err(PeerError::UnsupportedVersion { from: from.into(), stated, supported });
    }
    let message = authenticator.verify(bytes, from)?;
    let (sequence, rest) = if version >= FIRST_VERSION_WITH_RANGE {
        let after_range = message.get(RANGE_PREFIX_BYTES..).ok_or_else(malformed)?;
        postcard::take_from_bytes(after_range).map_err(|_| malformed())?
    } else {
        (0, message.get(1..).ok_or_else(malformed)?)
    };
    let (header, payload) = postcard::take_from_bytes(rest).map_err(|_| malformed())?;
    Ok(Message { envelope: Envelope { version, supported: stated, sequence }, header, payload })
}

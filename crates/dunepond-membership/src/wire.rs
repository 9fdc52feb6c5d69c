//! One form for all messages, datagrams and bodies alike: a byte for the version, from version 2 on the span of versions that the sender
//! speaks, a head, what it carries, and a seal if the fleet has a key. Version and span stand in front, in every version that will ever be,
//! so that they can be read whatever comes after them.

use crate::error::PeerError;
use crate::words::{Id, RequestKind};
use serde::{Deserialize, Serialize};

/// The highest version that this program speaks, and the first whose messages state a span.
pub const VERSION: u8 = 2;
const STATED: u8 = 2;
const LEAST_KEY: usize = 16;
const SEAL: usize = 32;

/// Longest that a head and a seal can be; what is left of a datagram is the membership's.
pub(crate) const LONGEST_HEAD: usize = 256;

/// The versions that a program speaks: all from the least to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Span {
    pub least: u8,
    pub most: u8,
}

impl Span {
    /// This program's own.
    pub const OURS: Span = Span { least: 1, most: VERSION };

    pub const fn only(version: u8) -> Span {
        Span { least: version, most: version }
    }

    /// The highest that both speak.
    pub fn common(self, other: Span) -> Option<u8> {
        let most = self.most.min(other.most);
        (most >= self.least.max(other.least)).then_some(most)
    }

    fn has(self, version: u8) -> bool {
        (self.least..=self.most).contains(&version)
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.least == self.most {
            true => write!(f, "{}", self.most),
            false => write!(f, "{} to {}", self.least, self.most),
        }
    }
}

/// What stands around a message's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    pub version: u8,
    /// What the sender speaks; of version 1, which does not say, that version alone.
    pub speaks: Span,
    /// Grows with each datagram of a sender's life. 0 in version 1, and in what is no datagram.
    pub count: u64,
}

impl Envelope {
    /// As a program of version 1 writes it.
    pub const FIRST: Envelope = Envelope { version: 1, speaks: Span::only(1), count: 0 };
}

/// Version and span of whatever begins like a message.
pub fn peek(bytes: &[u8]) -> Option<(u8, Span)> {
    match *bytes {
        [version, least, most, ..] if version >= STATED => {
            (least <= version && version <= most).then_some((version, Span { least, most }))
        }
        // Nothing that is cut, or makes no sense, has a span of its own.
        [version, ..] => Some((version, Span::only(version))),
        [] => None,
    }
}

/// A kind by its number, which may be one that this program does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Code(pub u32);

impl From<RequestKind> for Code {
    fn from(kind: RequestKind) -> Code {
        Code(RequestKind::ALL.iter().position(|one| *one == kind).unwrap_or(RequestKind::ALL.len()) as u32)
    }
}

impl Code {
    pub fn kind(self) -> Option<RequestKind> {
        RequestKind::ALL.get(self.0 as usize).copied()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    pub from: Id,
    pub to: String,
    /// The pass that the sender gives to `to`, and the one that it had from it; 0 for none.
    pub gives: u64,
    pub echo: u64,
    pub about: About,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum About {
    /// What the membership library says.
    Members,
    Ask {
        id: u64,
        kind: Code,
        within_ms: u32,
    },
    Answer {
        id: u64,
    },
    /// Carries a [`RefusalReason`](crate::Refused); `id` is 0 over UDP.
    Refused {
        id: u64,
    },
    /// Says no more than what stands around it: which versions the sender speaks, and its passes. From version 2 on.
    Greeting,
}

/// The fleet's key, if it has one. All who hold it can seal in any name: it keeps strangers out, not one member from another's name.
#[derive(Clone)]
pub struct Seal(Option<[u8; 32]>);

impl Seal {
    pub fn new(key: Option<&str>) -> Result<Seal, PeerError> {
        match key {
            Some(key) if key.len() < LEAST_KEY => Err(PeerError::Key { has: key.len(), least: LEAST_KEY }),
            Some(key) => Ok(Seal(Some(blake3::derive_key("dunepond peers, messages, 1", key.as_bytes())))),
            None => Ok(Seal(None)),
        }
    }

    pub fn keyed(&self) -> bool {
        self.0.is_some()
    }
}

/// `head` and `load` as one message in a version that is one of [`Span::OURS`].
pub fn frame(envelope: &Envelope, head: &Head, load: &[u8], seal: &Seal) -> Vec<u8> {
    let mut bytes = vec![envelope.version];
    let whole = "a head is plain data and memory grows";
    if envelope.version >= STATED {
        bytes.extend([envelope.speaks.least, envelope.speaks.most]);
        bytes = postcard::to_extend(&envelope.count, bytes).expect(whole);
    }
    bytes = postcard::to_extend(head, bytes).expect(whole);
    bytes.extend_from_slice(load);
    if let Some(key) = &seal.0 {
        let mac = blake3::keyed_hash(key, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
    }
    bytes
}

/// Reads a message that came from `from` (an address or a name, for the error) in one of `ours`. The version is judged first, then the
/// seal; nothing else of what is sealed is looked at before the seal fits.
pub fn unframe<'a>(
    bytes: &'a [u8],
    seal: &Seal,
    from: &str,
    ours: Span,
) -> Result<(Envelope, Head, &'a [u8]), PeerError> {
    let garbled = || PeerError::Garbled { from: from.into() };
    let (version, speaks) = peek(bytes).ok_or_else(garbled)?;
    if !ours.has(version) {
        return Err(PeerError::Version { from: from.into(), theirs: speaks, ours });
    }
    let sealed = match &seal.0 {
        Some(key) => {
            let at = bytes.len().checked_sub(SEAL).ok_or_else(garbled)?;
            let (sealed, said) = bytes.split_at(at);
            // Compares in constant time.
            if blake3::Hash::from_slice(said).map_err(|_| garbled())? != blake3::keyed_hash(key, sealed) {
                return Err(PeerError::Seal { from: from.into() });
            }
            sealed
        }
        None => bytes,
    };
    let (count, rest) = match version >= STATED {
        true => postcard::take_from_bytes(sealed.get(3..).ok_or_else(garbled)?).map_err(|_| garbled())?,
        false => (0, &sealed[1..]),
    };
    let (head, load) = postcard::take_from_bytes(rest).map_err(|_| garbled())?;
    Ok((Envelope { version, speaks, count }, head, load))
}

//! Choice of the protocol version for messages to each peer: the highest version that both brokers support. From
//! version 2 on, a message states the range of versions that its sender supports; a broker that supports only version 1
//! is recognized by its messages and its refusals.
//!
//! The versions of a broker do not change within an incarnation. Messages to a peer whose versions are not known yet
//! are sent in this broker's highest version: a peer that supports it answers in a version that both support; an older
//! peer refuses the message, and its own announcement, which follows within about a second, shows its version.

use super::{Actions, Core};
use crate::codec::{encode, peek_version};
use crate::messages::{Envelope, MessageHeader, MessageType};
use crate::version::{FIRST_VERSION_WITH_RANGE, VersionRange};
use std::collections::BTreeMap;

/// Interval of hellos (datagrams that state this broker's versions) to peers that have only sent messages of version 1,
/// in seconds. Such a peer may support newer versions, but use version 1 because it assumes that this broker supports
/// only version 1.
const HELLO_INTERVAL_SECONDS: f64 = 10.0;
/// Number of peers for which sequence numbers are stored, as a multiple of the limit on members. Above this number, the
/// sequence numbers for peers without a known address are dropped.
const SEQUENCES_PER_MEMBER: usize = 2;

/// The protocol versions that this broker supports, and those that peers stated in refusals.
pub(super) struct VersionState {
    /// The protocol versions that this broker supports.
    pub supported: VersionRange,
    /// Version ranges that configured peers stated in refusals, by the peer's name. A range is stored only for a peer
    /// without an entry in `incarnations`, since the versions in such an entry take precedence.
    assumed: BTreeMap<String, VersionRange>,
    /// Time of the next hellos to peers that have only sent messages of version 1, in seconds on the core's clock.
    next_hello_at: f64,
}

impl VersionState {
    pub fn new(supported: VersionRange, now: f64) -> VersionState {
        VersionState { supported, assumed: BTreeMap::new(), next_hello_at: now }
    }
}

/// The sequence numbers last sent to one peer.
#[derive(Clone, Copy, Default)]
struct Sequences {
    datagrams: u64,
    requests: u64,
}

/// The sequence numbers last sent to each peer.
#[derive(Default)]
pub(super) struct SequenceNumbers {
    by_name: BTreeMap<String, Sequences>,
    /// The highest sequence numbers that were dropped. The numbers for each peer that is added start after them, since
    /// a peer that was dropped before would reject repeated numbers as replays.
    floor: Sequences,
}

impl Core {
    /// Returns the protocol version for messages to `name`.
    pub fn version_for(&self, name: &str) -> u8 {
        let VersionState { supported, assumed, .. } = &self.versions;
        let received = self.incarnations.versions(name).map(|versions| versions.range);
        let known = received.or_else(|| assumed.get(name).copied());
        known.and_then(|range| range.highest_common(*supported)).unwrap_or(supported.max)
    }

    /// Returns the protocol version in which to respond to the encoded message `received`, whose version may be
    /// unsupported: a version that its sender also supports, if there is one.
    pub fn response_version(&self, received: &[u8]) -> u8 {
        let supported = self.versions.supported;
        match peek_version(received) {
            Some((version, _)) if supported.contains(version) => version,
            Some((_, range)) => range.highest_common(supported).unwrap_or(supported.max),
            None => supported.max,
        }
    }

    /// Records that `name` refused the version of a message, and stated that it supports `range`. Returns whether the
    /// message can be sent again in another version that both brokers support.
    pub fn on_version_refused(&mut self, name: &str, range: VersionRange) -> bool {
        let tried = self.version_for(name);
        if self.is_configured(name) && self.incarnations.versions(name).is_none() {
            self.versions.assumed.insert(name.into(), range);
        }
        range.highest_common(self.versions.supported).is_some() && self.version_for(name) != tried
    }

    /// Encodes a message in `version`, with the next sequence number for its receiver.
    pub fn encode(&mut self, version: u8, header: &MessageHeader, payload: &[u8]) -> Vec<u8> {
        let sequence = match header.message_type {
            MessageType::Gossip | MessageType::Hello => {
                let sequences = self.sequences_to(&header.to);
                sequences.datagrams += 1;
                sequences.datagrams
            }
            MessageType::Request { .. } => {
                let sequences = self.sequences_to(&header.to);
                sequences.requests += 1;
                sequences.requests
            }
            MessageType::Response { .. } | MessageType::Refusal { .. } => 0,
        };
        let envelope = Envelope { version, supported: self.versions.supported, sequence };
        encode(&envelope, header, payload, &self.authenticator)
    }

    /// Returns the sequence numbers last used for messages to `name`, and adds an entry if there is none.
    fn sequences_to(&mut self, name: &str) -> &mut Sequences {
        let by_name = &self.sequences.by_name;
        if !by_name.contains_key(name) && by_name.len() > SEQUENCES_PER_MEMBER * self.limits.max_members {
            self.drop_sequences();
        }
        let floor = self.sequences.floor;
        self.sequences.by_name.entry(name.into()).or_insert(floor)
    }

    /// Drops the sequence numbers of peers without a known address. The highest dropped numbers become the floor, after
    /// which the numbers start if such a peer is added again: the peer would reject repeated numbers as replays.
    fn drop_sequences(&mut self) {
        let by_name = std::mem::take(&mut self.sequences.by_name);
        for (name, sequences) in by_name {
            if self.address(&name).is_some() {
                self.sequences.by_name.insert(name, sequences);
            } else {
                let floor = &mut self.sequences.floor;
                floor.datagrams = floor.datagrams.max(sequences.datagrams);
                floor.requests = floor.requests.max(sequences.requests);
            }
        }
    }

    /// Sends hellos to configured peers that have only sent messages of version 1, to state which versions this broker
    /// supports.
    pub(super) fn send_hello_to_older_peers(&mut self, actions: &mut Actions) {
        let max = self.versions.supported.max;
        if self.now < self.versions.next_hello_at || max < FIRST_VERSION_WITH_RANGE {
            return;
        }
        self.versions.next_hello_at = self.now + HELLO_INTERVAL_SECONDS;
        let is_older =
            |name: &&String| self.incarnations.versions(name).is_some_and(|versions| !versions.stated);
        let names: Vec<String> = self.sender_policy.known_peers.keys().filter(is_older).cloned().collect();
        for name in names {
            let header = self.header_for(&name, MessageType::Hello);
            let bytes = self.encode(max, &header, &[]);
            actions.datagrams.push((self.sender_policy.known_peers[&name], bytes));
        }
    }
}

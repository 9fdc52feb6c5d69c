//! Membership of brokers in a fleet, and requests between brokers. Membership uses a gossip protocol with suspicion and
//! incarnations over UDP (the library `foca`), requests use HTTP/1.1 (the library `hyper`); both run on one separate
//! thread. The *caller*, the code that uses this crate, receives events over a bounded channel. No function that it
//! calls waits for a peer, and no peer can make the state of this crate grow without limit.
//!
//! Brokers with the same configuration must keep communicating while some of them are partitioned, slow, stalled or
//! down, and while programs that are not brokers, or that use another protocol version, send to the same port. None of
//! these conditions may delay the event loop that serves queries.
//!
//! [`Core`] implements the membership protocol without input and output: it uses no socket, file, clock or thread.
//! [`start`] runs a [`Core`] on real sockets. Times are in seconds (f64) on a monotonic clock, sizes in bytes.
//! `docs/notes/membership.md` explains the design.
#![warn(missing_docs)]

mod backoff;
mod client;
mod codec;
mod context;
mod core;
mod counters;
mod error;
mod event;
mod event_loop;
mod event_queue;
mod gossip;
mod handle;
mod http;
mod identity;
mod incarnations;
mod messages;
mod options;
mod rate_limit;
mod refusal;
mod replay;
mod request_ids;
mod request_kind;
mod sender_auth;
mod server;
mod shared;
mod sockets;
mod version;

pub use backoff::Backoff;
pub use codec::{Authenticator, decode, encode, peek_version};
pub use core::{Actions, Core, LivenessCheck};
pub use counters::Counters;
pub use error::PeerError;
pub use event::{Event, Responder};
pub use handle::{Peers, start, start_on};
pub use identity::{Peer, PeerId, PeerState};
pub use messages::{Envelope, Message, MessageHeader, MessageType};
pub use options::{Limits, MembershipOptions, Timing};
pub use rate_limit::RateLimiter;
pub use refusal::RefusalReason;
pub use request_kind::{KindCode, RequestKind};
pub use sender_auth::{MAX_NAME_BYTES, SenderPolicy, Transport};
pub use sockets::{BoundSockets, bind};
pub use version::{PROTOCOL_VERSION, VersionRange};

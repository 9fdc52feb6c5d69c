//! Who is there among brokers, and the links between them: membership with suspicion and incarnations over UDP (`foca`), and a
//! channel of requests over HTTP/1.1 (`hyper`), on one thread of its own. What comes is handed on over a bounded channel; no call here
//! waits, and no peer can make anything here grow without bound.
//!
//! [`Core`] is the pure part: it knows no socket, file, clock or thread. [`start`] is the host. Times are seconds (f64), sizes bytes.
//! `docs/notes/membership.md` has the reasons.

mod belief;
mod core;
mod counters;
mod error;
mod hearsay;
mod host;
mod links;
mod lives;
mod rests;
mod serve;
mod terms;
mod wire;
mod words;

pub use belief::{Belief, LONGEST_NAME, Way};
pub use core::{Actions, Core, Sign};
pub use counters::Counters;
pub use error::{PeerError, RefusalReason};
pub use host::{Bound, Peers, bind, start, start_on};
pub use rests::{Gauge, Rests};
pub use wire::{About, Code, Envelope, Head, Seal, Span, VERSION, frame, peek, unframe};
pub use words::{Event, Id, Limits, MembershipOptions, Peer, PeerState, RequestKind, Responder, Timing};

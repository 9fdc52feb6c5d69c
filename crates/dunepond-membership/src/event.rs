//! Events for the caller, the code that uses this crate: requests of peers, outcomes of the caller's requests, and
//! changes of the membership.

use crate::error::PeerError;
use crate::identity::Peer;
use crate::refusal::RefusalReason;
use crate::request_kind::RequestKind;
use tokio::sync::oneshot;

/// Handle with which the caller responds to one request, at most once. If it is dropped without a response, the peer
/// receives [`RefusalReason::NoResponse`].
#[derive(Debug)]
pub struct Responder(pub(crate) oneshot::Sender<Result<Vec<u8>, RefusalReason>>);

/// An event for the caller.
#[derive(Debug)]
pub enum Event {
    /// A request of a verified peer; respond with [`Peers::respond`](crate::Peers::respond).
    Request {
        /// Name of the peer that sent the request.
        from: String,
        /// The kind of request.
        kind: RequestKind,
        /// The body of the request.
        body: Vec<u8>,
        /// Handle with which to respond.
        responder: Responder,
    },
    /// The outcome of a request that [`Peers::request`](crate::Peers::request) accepted.
    Response {
        /// The id of the request.
        id: u64,
        /// Name of the peer to which the request was sent.
        to: String,
        /// The body of the response, or why there is none.
        result: Result<Vec<u8>, PeerError>,
    },
    /// A peer is alive: it joined, it returned under another incarnation or after it was down, or it refuted a
    /// suspicion.
    PeerUp(Peer),
    /// The peer of this name is suspected to be down.
    PeerSuspected(String),
    /// The peer of this name left, or was declared down.
    PeerDown(String),
}

//! Events for the caller: requests of peers, responses to its own requests, and changes of the membership.

use crate::error::PeerError;
use crate::identity::Peer;
use crate::refusal::RefusalReason;
use crate::request_kind::RequestKind;
use tokio::sync::oneshot;

/// The right to respond to one request, once. If it is dropped without a response, the peer receives
/// [`RefusalReason::NoResponse`].
#[derive(Debug)]
pub struct Responder(pub(crate) oneshot::Sender<Result<Vec<u8>, RefusalReason>>);

/// An event for the caller.
#[derive(Debug)]
pub enum Event {
    /// A verified peer sends a request; respond with [`Peers::respond`](crate::Peers::respond).
    Request {
        /// The peer's name.
        from: String,
        /// The kind of request.
        kind: RequestKind,
        /// The body of the request.
        body: Vec<u8>,
        /// Accepts the response.
        responder: Responder,
    },
    /// The one outcome of a request that [`Peers::request`](crate::Peers::request) accepted.
    Response {
        /// The id of the request.
        id: u64,
        /// The peer's name.
        to: String,
        /// The body of the response, or why there is none.
        result: Result<Vec<u8>, PeerError>,
    },
    /// The peer is alive: it is new, it returned, or it refuted a suspicion.
    PeerUp(Peer),
    /// The peer is suspected.
    PeerSuspected(String),
    /// The peer left, or was declared down.
    PeerDown(String),
}

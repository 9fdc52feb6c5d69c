//! Responses and refusals to peers.

use super::Server;
use crate::http::{CONTENT_TYPE, status};
use crate::messages::MessageType;
use crate::refusal::RefusalReason;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// The receiver of a response, as far as it is known from the request.
#[derive(Default)]
pub(super) struct ResponseTarget {
    /// Name of the peer; empty if the request could not be decoded.
    pub name: String,
    /// Id of the request; 0 if it could not be decoded.
    pub request_id: u64,
    /// The protocol version in which to respond; 0 if no message was received.
    pub version: u8,
}

impl Server {
    /// Builds the HTTP response with the result of a request.
    pub(super) fn respond(
        &self,
        target: &ResponseTarget,
        result: Result<Vec<u8>, RefusalReason>,
    ) -> Response<Full<Bytes>> {
        let carries_token = matches!(result, Err(RefusalReason::InvalidToken));
        let id = target.request_id;
        let (message_type, payload, status) = match result {
            Ok(body) => (MessageType::Response { id }, body, StatusCode::OK),
            Err(reason) => {
                let reason = reason.for_version(target.version);
                let payload = postcard::to_stdvec(&reason).unwrap_or_default();
                (MessageType::Refusal { id }, payload, status(&reason))
            }
        };
        let bytes = self.encode(target, message_type, &payload, carries_token);
        let mut response = Response::new(Full::new(Bytes::from(bytes)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
        // The connection is closed after a refusal with a status of 4xx, since the peer may not have been verified, or
        // its body may not have been received.
        if !status.is_success() && !status.is_server_error() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Encodes a response or refusal in the protocol version that was chosen for the peer.
    fn encode(
        &self,
        target: &ResponseTarget,
        message_type: MessageType,
        payload: &[u8],
        carries_token: bool,
    ) -> Vec<u8> {
        let mut core = self.context.core.borrow_mut();
        let mut header = core.header_for(&target.name, message_type);
        header.issued_token = if carries_token { core.token_in_refusal(&target.name) } else { 0 };
        let version = if target.version == 0 { core.supported_versions().max } else { target.version };
        core.encode(version, &header, payload)
    }
}

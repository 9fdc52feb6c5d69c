//! Definitions that are shared by the client and the server for requests over HTTP.

use crate::refusal::RefusalReason;
use hyper::StatusCode;

/// The content type of each request and response, which is part of the wire format.
pub(crate) const CONTENT_TYPE: &str = "application/x-dunepond-peers";
/// Largest size of the HTTP head of a request or response, in bytes; the usual size is some hundred bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest size that the encoding of a message adds to its body, in bytes.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// Returns the HTTP status of a response whose body contains a refusal for this reason.
pub(crate) fn status(reason: &RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::Busy => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::Timeout | RefusalReason::NoResponse => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Declined(_) => StatusCode::INTERNAL_SERVER_ERROR,
        RefusalReason::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnsupportedVersionV1 { .. } | RefusalReason::UnsupportedVersion { .. } => {
            StatusCode::UPGRADE_REQUIRED
        }
        RefusalReason::UnknownKind { .. } => StatusCode::NOT_IMPLEMENTED,
        RefusalReason::UnverifiedSender { .. } | RefusalReason::AuthenticationFailed => StatusCode::FORBIDDEN,
        RefusalReason::StaleIncarnation { .. } | RefusalReason::Replayed => StatusCode::CONFLICT,
        RefusalReason::InvalidToken => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::Malformed => StatusCode::BAD_REQUEST,
        RefusalReason::WrongRecipient { .. } => StatusCode::MISDIRECTED_REQUEST,
        RefusalReason::RateLimited | RefusalReason::TooManyMembers => StatusCode::TOO_MANY_REQUESTS,
    }
}

//! What client and server share of the HTTP channel.

use crate::refusal::RefusalReason;
use hyper::StatusCode;

/// Stated by each request and response. Part of the wire format.
pub(crate) const CONTENT_TYPE: &str = "application/x-dunepond-peers";
/// Heads of requests and responses are some hundred bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 16 << 10;
/// What the encoding of a message adds to a body, at most.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 1024;

/// The status of a response that refuses.
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

//! One call to the discovery agent, and its response.

use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::ConfigError;

use super::list::{Directory, EndpointUpdate, ParsedList};
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::http::{self, HttpError, Message};

/// One call to the agent, on a connection of its own.
pub(super) struct DiscoveryCall {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: RegistrationToken,
    pub(super) input: Option<Buffer>,
    pub(super) message: Option<Message>,
    pub(super) write_queue: WriteQueue,
    /// A request is out; a watch or, unless `is_watch`, one for a complete list.
    pub(super) awaiting_response: bool,
    pub(super) is_watch: bool,
    /// When the agent should have answered, in Unix seconds.
    pub(super) response_due_at: f64,
}

/// What the client of discovery knows of the list, for judging a response.
pub(super) struct ListState {
    /// The version to watch from; `None` before a complete list has come, and after each break.
    pub(super) version: Option<u64>,
    /// The last list had an invalid row.
    pub(super) had_invalid_row: bool,
    pub(super) directory: Directory,
}

/// A complete response.
pub(super) struct Response {
    pub(super) update: EndpointUpdate,
    /// The agent keeps the connection open.
    pub(super) keep_alive: bool,
}

/// Why a response is not used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// Bytes arrived without a request.
    #[error("an answer to no question")]
    Unrequested,
    /// The response is not valid HTTP.
    #[error("{0}")]
    Http(String),
    /// The agent answered with another status than 200.
    #[error("answered {0}")]
    Status(u16),
    /// The list is not valid JSON.
    #[error("list: {0}")]
    Json(String),
    /// The list has an invalid field.
    #[error("{0}")]
    List(String),
    /// Changes do not follow the version that is held.
    #[error("changes up to version {0}, which do not follow what is known")]
    NotContiguous(u64),
}

impl From<HttpError> for ResponseError {
    fn from(e: HttpError) -> Self {
        Self::Http(e.reason)
    }
}

impl From<ConfigError> for ResponseError {
    fn from(ConfigError(why): ConfigError) -> Self {
        Self::List(why)
    }
}

impl DiscoveryCall {
    /// Parses a complete response from the bytes received, if there is one.
    pub(super) fn parse_response(
        &mut self,
        pool: &Pool,
        state: &mut ListState,
    ) -> Result<Option<Response>, ResponseError> {
        let Some(input) = &mut self.input else { return Ok(None) };
        if !self.awaiting_response && !input.is_empty() {
            return Err(ResponseError::Unrequested);
        }
        if self.message.is_none() {
            self.message = http::parse_response(input)?.map(Message::new);
        }
        let Some(message) = &mut self.message else { return Ok(None) };
        // An error's body is not awaited.
        if message.head.status != 200 {
            return Err(ResponseError::Status(message.head.status));
        }
        if !message.read_body(input, pool)? {
            return Ok(None);
        }
        let keep_alive = message.head.keep_alive;
        let list = dunepond_config::parse_json(message.body_bytes()).map_err(ResponseError::Json)?;
        self.message = None;
        let parsed = state.directory.parse_list(&list)?;
        state.accept(parsed).map(|update| Some(Response { update, keep_alive }))
    }
}

impl ListState {
    /// Takes the version of a parsed list, if it follows what is known.
    fn accept(&mut self, parsed: ParsedList) -> Result<EndpointUpdate, ResponseError> {
        let ParsedList { version, update, had_invalid_row } = parsed;
        if !update.complete && self.version.is_none_or(|before| version < before) {
            return Err(ResponseError::NotContiguous(version));
        }
        // A watch does not repeat the change of an invalid row, so the complete list is requested. A complete list may stay
        // invalid: it is requested once more and then accepted without that row.
        let request_again = had_invalid_row && !(update.complete && self.had_invalid_row);
        self.had_invalid_row = had_invalid_row;
        self.version = Some(version).filter(|_| !request_again);
        Ok(update)
    }
}

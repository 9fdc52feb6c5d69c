//! A call to the discovery agent, and the parsing of its response.

use std::net::TcpStream;
use std::rc::Rc;

use calloop::RegistrationToken;
use dunepond_config::ConfigError;

use super::list::{Directory, EndpointUpdate, ParsedList};
use crate::buffers::{Buffer, Pool, WriteQueue};
use crate::http::{HttpError, ResponseReader};

/// A call to the discovery agent, on a connection of its own. The connection is kept for further requests.
pub(super) struct DiscoveryCall {
    pub(super) stream: Rc<TcpStream>,
    pub(super) token: RegistrationToken,
    pub(super) input: Option<Buffer>,
    pub(super) responses: ResponseReader,
    pub(super) write_queue: WriteQueue,
    /// Whether a request has been sent and its response is not complete.
    pub(super) awaiting_response: bool,
    /// Whether the most recent request is a watch; otherwise it is for a complete list.
    pub(super) is_watch: bool,
    /// When the response to the most recent request is due, in Unix seconds.
    pub(super) response_due_at: f64,
}

/// What the discovery client knows of the endpoint list, against which a response is checked.
pub(super) struct ListState {
    /// Version of the endpoint list from which the next watch continues; `None` until a complete list has been
    /// received, and after each interruption.
    pub(super) version: Option<u64>,
    /// Whether the most recent list had an invalid row.
    pub(super) had_invalid_row: bool,
    /// The ids of the nodes and zones that the lists have named.
    pub(super) directory: Directory,
}

/// A complete response of the agent.
pub(super) struct Response {
    pub(super) update: EndpointUpdate,
    /// Whether the agent keeps the connection open.
    pub(super) keep_alive: bool,
}

/// Why a response of the discovery agent cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// Bytes arrived although no request was outstanding.
    #[error("the agent sent data without a request")]
    Unrequested,
    /// The response is not valid HTTP.
    #[error("{0}")]
    Http(String),
    /// The agent answered with a status other than 200.
    #[error("the agent answered with HTTP status {0}, expected 200")]
    Status(u16),
    /// The endpoint list in the response is not valid JSON.
    #[error("list: {0}")]
    Json(String),
    /// The endpoint list in the response has an invalid field.
    #[error("{0}")]
    List(String),
    /// The response holds changes up to a version that is older than the stored list, or no list is stored to which
    /// they could be applied.
    #[error("changes up to version {0} do not follow the endpoint list held")]
    OutdatedChanges(u64),
}

impl From<HttpError> for ResponseError {
    fn from(e: HttpError) -> Self {
        Self::Http(e.reason)
    }
}

impl From<ConfigError> for ResponseError {
    fn from(ConfigError(reason): ConfigError) -> Self {
        Self::List(reason)
    }
}

impl DiscoveryCall {
    /// Parses the response from the bytes received; `None` until it is complete.
    pub(super) fn parse_response(
        &mut self,
        pool: &Pool,
        state: &mut ListState,
    ) -> Result<Option<Response>, ResponseError> {
        let Some(input) = &mut self.input else { return Ok(None) };
        if !self.awaiting_response && !input.is_empty() {
            return Err(ResponseError::Unrequested);
        }
        let Some(message) = self.responses.read_head(input)? else { return Ok(None) };
        // The body of an error response is not read.
        if message.head.status != 200 {
            return Err(ResponseError::Status(message.head.status));
        }
        let Some(message) = self.responses.read(input, pool)? else { return Ok(None) };
        let keep_alive = message.head.keep_alive;
        let list = dunepond_config::parse_json(message.body_bytes()).map_err(ResponseError::Json)?;
        let parsed = state.directory.parse_list(&list)?;
        state.accept(parsed).map(|update| Some(Response { update, keep_alive }))
    }
}

impl ListState {
    /// Accepts a parsed list and its version. Fails if it holds changes that cannot be applied to the stored list.
    fn accept(&mut self, parsed: ParsedList) -> Result<EndpointUpdate, ResponseError> {
        let ParsedList { version, update, had_invalid_row } = parsed;
        if !update.complete && self.version.is_none_or(|known| version < known) {
            return Err(ResponseError::OutdatedChanges(version));
        }
        // A watch would not repeat the change of an invalid row, so the complete list is requested. If a complete list
        // has an invalid row, it is requested once more and then accepted without that row.
        let request_again = had_invalid_row && !(update.complete && self.had_invalid_row);
        self.had_invalid_row = had_invalid_row;
        self.version = Some(version).filter(|_| !request_again);
        Ok(update)
    }
}

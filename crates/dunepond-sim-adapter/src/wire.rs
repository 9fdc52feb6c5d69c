//! The simulator's wire format: its field names and values are mapped to the router's terms here and nowhere else. Times are
//! in milliseconds on the wire and in seconds in the rest of the program.

use std::collections::BTreeMap;

use dunepond_config::{ConfigError, Fields};
use dunepond_routing::{AttemptOutcome, EndpointState, Query, QueryId};
use serde::Deserialize;
use serde_json::{Value, json};

const MS_PER_SECOND: f64 = 1000.0;

/// Kinds of events, as they are written on the wire.
pub mod event {
    pub const REGISTER_LIST: &str = "register";
    pub const START: &str = "init";
    pub const STOP: &str = "shutdown";
    pub const ARRIVAL: &str = "arrival";
    pub const ATTEMPT_ENDED: &str = "answer";
    pub const ENDPOINTS: &str = "directoryUpdate";
    pub const WAKE: &str = "timeoutFired";
    pub const CLIENT_GONE: &str = "clientLeft";
    pub const PROBE_RESULT: &str = "pingResult";
    pub const ATTEMPT_STARTED: &str = "underWay";
    pub const PEER_MESSAGE: &str = "fromPeer";
}

/// Names of fields that occur in several places of the wire format.
mod field {
    pub const KIND: &str = "what";
    pub const BROKER: &str = "who";
    pub const PARTS: &str = "parts";
    pub const TURN: &str = "turn";
    pub const NAME: &str = "xid";
    pub const NODE: &str = "node";
    pub const OUTCOME: &str = "outcome";
    pub const DELAY: &str = "delaySeenMs";
    pub const LIST_NUMBER: &str = "setId";
}

/// Wire name of the outcome of an attempt or a probe that succeeded.
const GOOD: &str = "GOOD";

/// The latest endpoint list registered under each number, shared by all brokers of the process.
pub type EndpointLists = BTreeMap<u64, Vec<EndpointRow>>;

/// The events of one instant for all brokers.
pub struct Batch<'a> {
    /// The instant, in seconds on the simulator's clock.
    pub now: f64,
    /// Identifies the batch; returned unchanged with the orders.
    pub turn: &'a Value,
    /// The events of each broker.
    pub parts: &'a [Value],
}

/// The events of one broker.
pub struct BatchPart<'a> {
    pub broker: &'a str,
    pub events: &'a [Value],
}

/// The settings with which a broker is started.
pub struct Settings<'a> {
    pub seed: u64,
    pub parameters: Fields<'a>,
}

/// A row of a query that arrives: the query itself or one of its parts.
pub struct Arrival<'a> {
    pub name: &'a str,
    pub query: QueryId,
    /// The segment of a part; `None` in the row of the query itself.
    pub segment: Option<usize>,
    /// The weight of a part; in the row of the query itself, the number of parts.
    pub share_or_count: f64,
}

/// An attempt that has ended. Fields other than the outcome are read only if its part is still known.
pub struct AttemptEnd<'a> {
    pub outcome: AttemptOutcome,
    event: Fields<'a>,
}

/// A probe that has ended.
pub struct ProbeResult<'a> {
    pub node: &'a str,
    /// Seconds from the probe to its answer; `None` if the probe failed.
    pub answered_after: Option<f64>,
}

/// A row of an endpoint list.
#[derive(Deserialize, Clone)]
pub struct EndpointRow {
    pub node: String,
    #[serde(default, rename = "cell")]
    pub replica_group: usize,
    #[serde(default, rename = "area")]
    pub zone: usize,
    #[serde(rename = "mode")]
    pub state: String,
    #[serde(default, rename = "readyAtMs")]
    pub started_at_ms: f64,
}

/// The form of the endpoint list in an event.
pub enum ListForm {
    /// The list contains only the rows that have changed.
    Changes,
    /// The list contains all rows.
    Complete,
    /// The poll was refused; there is no list.
    Refused,
}

impl<'a> Batch<'a> {
    pub fn read(batch: &'a Value) -> Result<Self, ConfigError> {
        let batch = Fields::new("batch", batch)?;
        Ok(Self {
            now: batch.number("clockMs")? / MS_PER_SECOND,
            turn: batch.value(field::TURN)?,
            parts: batch.list(field::PARTS)?,
        })
    }
}

impl<'a> BatchPart<'a> {
    pub fn read(part: &'a Value) -> Result<Self, ConfigError> {
        let part = Fields::new("batch part", part)?;
        let broker = part.optional_text(field::BROKER)?.unwrap_or_default();
        Ok(Self { broker, events: part.list("input")? })
    }
}

impl<'a> Settings<'a> {
    pub fn read(init: &Fields<'a>) -> Result<Self, ConfigError> {
        let seed = init.integer("salt")?.cast_unsigned();
        Ok(Self { seed, parameters: Fields::new("init params", init.value("params")?)? })
    }
}

impl<'a> Arrival<'a> {
    pub fn read(event: &Fields<'a>) -> Result<Self, ConfigError> {
        Ok(Self {
            name: name(event)?,
            query: event.count("query")?,
            segment: usize::try_from(event.integer("segmentNo")?).ok(),
            share_or_count: event.number("shareOrCount")?,
        })
    }
}

impl<'a> AttemptEnd<'a> {
    pub fn read(event: &Fields<'a>) -> Result<Self, ConfigError> {
        let outcome = match event.text(field::OUTCOME)? {
            GOOD => AttemptOutcome::Served,
            "BAD" => AttemptOutcome::Error,
            "FULL" => AttemptOutcome::Rejected,
            "LATE" => AttemptOutcome::TimedOut,
            "NOCONN" => AttemptOutcome::ConnectFailed,
            "RST" => AttemptOutcome::ConnectionLost,
            "CXL" => AttemptOutcome::Cancelled,
            "NOP" => AttemptOutcome::NotSent,
            other => {
                return Err(ConfigError(format!(
                    "answer: outcome: unknown value '{other}'; expected GOOD, BAD, FULL, LATE, NOCONN, RST, CXL or NOP"
                )));
            }
        };
        Ok(Self { outcome, event: *event })
    }

    /// Returns the name of the part.
    pub fn name(&self) -> Result<&'a str, ConfigError> {
        name(&self.event)
    }

    /// Returns the number of the attempt, counted from 0 for each part.
    pub fn attempt(&self) -> Result<usize, ConfigError> {
        Ok(self.event.count_or("shot", 0)? as usize)
    }

    /// Returns the name of the node to which the attempt was sent.
    pub fn node(&self) -> Result<&'a str, ConfigError> {
        self.event.text(field::NODE)
    }

    /// Returns the seconds from sending the attempt to its end.
    pub fn elapsed(&self) -> Result<f64, ConfigError> {
        delay(&self.event)
    }
}

impl<'a> ProbeResult<'a> {
    pub fn read(event: &Fields<'a>) -> Result<Self, ConfigError> {
        let node = event.text(field::NODE)?;
        let is_good = event.text(field::OUTCOME)? == GOOD;
        let took = delay(event)?;
        Ok(Self { node, answered_after: is_good.then_some(took) })
    }
}

/// Returns the kind of an event.
pub fn event_kind(event: &Value) -> Result<&str, ConfigError> {
    Fields::new("event", event)?.text(field::KIND)
}

/// Returns the name of the query or part that an event concerns.
pub fn name<'a>(event: &Fields<'a>) -> Result<&'a str, ConfigError> {
    event.text(field::NAME)
}

/// Returns the delay that an event states, in seconds; 0 if it states none.
fn delay(event: &Fields) -> Result<f64, ConfigError> {
    Ok(event.number_or(field::DELAY, 0.0)? / MS_PER_SECOND)
}

/// Reads the row of a query, without its parts. The simulator keeps the bodies, so they are always available for retries
/// (`body_retained`). The wire contains only the names of parts, so no frame takes long to send (`streamed` is `false`).
pub fn read_query(event: &Fields, id: QueryId, query_class_count: usize) -> Result<Query, ConfigError> {
    Ok(Query {
        id,
        class: event.index("cls", query_class_count)?,
        tenant: event.count_or("owner", 0)? as usize,
        expires_in: event.number("expiresInMs")? / MS_PER_SECOND,
        is_retry: event.flag("resent")?,
        body_retained: true,
        streamed: false,
        awaits_prefilter: false,
        audit: false,
        parts: Vec::new(),
    })
}

/// Returns the error for a query that arrived with another number of parts than its row announced.
pub fn part_count_error(announced: usize, received: usize) -> ConfigError {
    ConfigError(format!("arrival: shareOrCount: {announced} parts announced, {received} received"))
}

/// Reads the endpoint list that an event registers, and its number.
pub fn read_list(event: &Fields) -> Result<(u64, Vec<EndpointRow>), ConfigError> {
    let number = event.count(field::LIST_NUMBER)?;
    let rows = event.list("rowsIn")?.iter().map(EndpointRow::deserialize).collect::<Result<_, _>>();
    Ok((number, rows.map_err(|e| event.error("rowsIn", &e.to_string()))?))
}

/// Reads what an event says about the form of the endpoint list: changes, a complete list, or none because the poll was
/// refused.
pub fn list_form(event: &Fields) -> Result<ListForm, ConfigError> {
    match event.text("form")? {
        "changes" => Ok(ListForm::Changes),
        "all" | "remembered" => Ok(ListForm::Complete),
        "refused" => Ok(ListForm::Refused),
        other => Err(ConfigError(format!(
            "directoryUpdate: form: unknown value '{other}'; expected changes, all, remembered or refused"
        ))),
    }
}

/// Returns the registered endpoint list to which an event refers.
pub fn registered_list<'a>(
    event: &Fields,
    lists: &'a EndpointLists,
) -> Result<&'a [EndpointRow], ConfigError> {
    let number = event.count(field::LIST_NUMBER)?;
    match lists.get(&number) {
        Some(rows) => Ok(rows),
        None => Err(ConfigError(format!(
            "directoryUpdate: setId: no list {number} is registered; send 'register' first"
        ))),
    }
}

/// Reads the state of a node in an endpoint list.
pub fn endpoint_state(mode: &str) -> Result<EndpointState, ConfigError> {
    match mode {
        "active" => Ok(EndpointState::Active),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Removed),
        other => Err(ConfigError(format!(
            "register: mode: unknown value '{other}'; expected active, leaving or left"
        ))),
    }
}

/// Writes the orders of one broker.
pub fn broker_orders(broker: &str, orders: Vec<Value>) -> Value {
    json!({"who": broker, "orders": orders})
}

/// Writes the reply to a batch.
pub fn reply(turn: &Value, parts: Vec<Value>) -> Value {
    json!({"turn": turn, "parts": parts})
}

/// Orders, as they are written on the wire.
pub mod order {
    use serde_json::{Value, json};

    use super::MS_PER_SECOND;

    pub fn dispatch(part: &str, node: &str) -> Value {
        json!({"what": "dispatch", "xid": part, "node": node})
    }

    pub fn cancel(part: &str, attempt: usize) -> Value {
        json!({"what": "stopAttempt", "xid": part, "shot": attempt})
    }

    pub fn close_idle(node: &str) -> Value {
        json!({"what": "shutIdle", "node": node})
    }

    pub fn probe(node: &str) -> Value {
        json!({"what": "sample", "node": node})
    }

    pub fn answer(query: &str, is_complete: bool) -> Value {
        json!({"what": "conclude", "xid": query, "on": is_complete})
    }

    pub fn reject_retriable(query: &str, retry_after: f64) -> Value {
        json!({"what": "pushBack", "xid": query, "waitMs": retry_after * MS_PER_SECOND})
    }

    pub fn fail(query: &str) -> Value {
        json!({"what": "endFailed", "xid": query})
    }

    pub fn wake_at(at: f64) -> Value {
        json!({"what": "defer", "cookie": 0, "whenMs": at * MS_PER_SECOND})
    }

    pub fn poll_endpoints() -> Value {
        json!({"what": "observe", "on": true})
    }

    pub fn log(line: &str) -> Value {
        json!({"what": "writeLog", "bodyText": line})
    }
}

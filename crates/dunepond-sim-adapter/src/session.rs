//! One simulated broker: converts its events on the wire to calls of its router.

use dunepond_config::{ConfigError, Fields, deployment};
use dunepond_routing::{AttemptEnded, Endpoint, Part, Query, QueryId, Router};
use serde_json::Value;

use crate::transport::{Named, WireTransport};
use crate::wire::{self, Arrival, EndpointLists, ListForm, event};

/// What the rows that are being received describe: a query with the parts of its first step, or the parts of its second step,
/// which the answer to the first step contained.
struct Incoming {
    id: QueryId,
    /// The query itself; `None` if the rows are the parts of its second step.
    query: Option<AnnouncedQuery>,
    parts: Vec<Part>,
}

/// A query with the number of parts that its row announced.
struct AnnouncedQuery {
    query: Query,
    part_count: usize,
}

/// A broker from its start to its stop, with the query that is being received.
pub struct Session {
    router: Router,
    transport: WireTransport,
    incoming: Option<Incoming>,
    query_class_count: usize,
}

impl Session {
    /// Starts a broker with the settings of an `init` event.
    pub fn start(now: f64, init: &Fields) -> Result<Self, ConfigError> {
        let settings = wire::Settings::read(init)?;
        let deployment = deployment(settings.seed, &settings.parameters)?;
        Ok(Self {
            query_class_count: deployment.query_classes.len(),
            router: Router::new(deployment),
            transport: WireTransport::new(now),
            incoming: None,
        })
    }

    /// Returns the orders that the router has given since the last call of this method.
    pub fn take_orders(&mut self) -> Vec<Value> {
        self.transport.take_orders()
    }

    /// Handles an event of this broker. An event of unknown kind is reported and skipped.
    pub fn handle_event(
        &mut self,
        now: f64,
        kind: &str,
        event: &Fields,
        lists: &EndpointLists,
    ) -> Result<(), ConfigError> {
        self.transport.now = now;
        if kind != event::ARRIVAL {
            self.flush_incoming()?;
        }
        match kind {
            event::ARRIVAL => self.on_arrival(event)?,
            event::ATTEMPT_ENDED => self.on_attempt_ended(event)?,
            event::ENDPOINTS => self.on_endpoints(event, lists)?,
            event::WAKE => self.router.on_wake(&mut self.transport),
            event::CLIENT_GONE => {
                if let Some(Named::Query(id)) = self.transport.named(wire::name(event)?) {
                    self.router.on_client_disconnect(&mut self.transport, id);
                }
            }
            event::PROBE_RESULT => {
                let result = wire::ProbeResult::read(event)?;
                let node = self.transport.node_id(result.node);
                self.router.on_probe_result(&mut self.transport, node, result.answered_after);
            }
            // No decision depends on these kinds of events.
            event::ATTEMPT_STARTED | event::PEER_MESSAGE => {}
            other => eprintln!("dunepond-sim-adapter: {other}: unknown kind of event, skipped"),
        }
        Ok(())
    }

    /// Passes what has been received to the router: a query with the parts of its first step, or the parts of its second step,
    /// which the answer to the first step contained. Called once no more rows of the same step can follow.
    pub fn flush_incoming(&mut self) -> Result<(), ConfigError> {
        let Some(incoming) = self.incoming.take() else { return Ok(()) };
        let Some(announced) = incoming.query else {
            self.router.on_second_step(&mut self.transport, incoming.id, incoming.parts);
            return Ok(());
        };
        if announced.part_count != incoming.parts.len() {
            return Err(wire::part_count_error(announced.part_count, incoming.parts.len()));
        }
        self.router.on_query(&mut self.transport, Query { parts: incoming.parts, ..announced.query });
        Ok(())
    }

    fn on_arrival(&mut self, event: &Fields) -> Result<(), ConfigError> {
        let arrival = Arrival::read(event)?;
        let is_next_query = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.id != arrival.query || arrival.segment.is_none());
        if is_next_query {
            self.flush_incoming()?;
        }
        match arrival.segment {
            None => self.on_query_row(event, &arrival),
            Some(segment) => {
                self.on_part_row(&arrival, segment);
                Ok(())
            }
        }
    }

    fn on_query_row(&mut self, event: &Fields, arrival: &Arrival) -> Result<(), ConfigError> {
        let query = wire::read_query(event, arrival.query, self.query_class_count)?;
        self.transport.add_query(arrival.query, arrival.name.to_string());
        let announced = AnnouncedQuery { query, part_count: arrival.share_or_count as usize };
        self.incoming = Some(Incoming { id: arrival.query, query: Some(announced), parts: Vec::new() });
        Ok(())
    }

    fn on_part_row(&mut self, arrival: &Arrival, segment: usize) {
        if !self.transport.add_part(arrival.query, arrival.name.to_string()) {
            return;
        }
        let part = Part { segment, weight: arrival.share_or_count, required_node: None };
        match &mut self.incoming {
            Some(incoming) => incoming.parts.push(part),
            None => self.incoming = Some(Incoming { id: arrival.query, query: None, parts: vec![part] }),
        }
    }

    fn on_attempt_ended(&mut self, event: &Fields) -> Result<(), ConfigError> {
        let ended = wire::AttemptEnd::read(event)?;
        let Some(Named::Part(query, part)) = self.transport.named(ended.name()?) else { return Ok(()) };
        let ended = AttemptEnded {
            query,
            part,
            attempt: ended.attempt()?,
            node: self.transport.node_id(ended.node()?),
            outcome: ended.outcome,
            elapsed: ended.elapsed()?,
        };
        self.router.on_attempt_ended(&mut self.transport, ended);
        self.transport.on_attempt_ended(query);
        Ok(())
    }

    fn on_endpoints(&mut self, event: &Fields, lists: &EndpointLists) -> Result<(), ConfigError> {
        let is_complete = match wire::list_form(event)? {
            ListForm::Changes => false,
            ListForm::Complete => true,
            ListForm::Refused => {
                self.router.on_list_poll_failed(&mut self.transport);
                return Ok(());
            }
        };
        let rows = wire::registered_list(event, lists)?;
        let mut endpoints = Vec::with_capacity(rows.len());
        for row in rows {
            endpoints.push(Endpoint {
                node: self.transport.node_id(&row.node),
                replica_group: row.replica_group,
                zone: row.zone,
                state: wire::endpoint_state(&row.state)?,
                started_at: row.started_at_ms / 1000.0,
            });
        }
        self.router.update_endpoints(&mut self.transport, is_complete, &endpoints);
        Ok(())
    }
}

//! All brokers that the simulator runs in this process, and the endpoint lists that they share.

use std::collections::BTreeMap;

use dunepond_config::{ConfigError, Fields};
use serde_json::Value;

use crate::session::Session;
use crate::wire::{self, EndpointLists, event};

/// The brokers that have been started, and the endpoint lists that have been registered.
#[derive(Default)]
pub struct Process {
    lists: EndpointLists,
    sessions: BTreeMap<String, Session>,
}

impl Process {
    /// Handles a batch of events and returns the batch of orders to which those events led.
    pub fn handle_batch(&mut self, line: &str) -> Result<Value, ConfigError> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| ConfigError(format!("batch: not JSON: {e}")))?;
        let batch = wire::Batch::read(&batch)?;
        let mut replies = Vec::new();
        for part in batch.parts {
            let part = wire::BatchPart::read(part)?;
            for event in part.events {
                self.handle_event(batch.now, part.broker, event)?;
            }
            if let Some(session) = self.sessions.get_mut(part.broker) {
                session.flush_incoming()?;
                let orders = session.take_orders();
                if !orders.is_empty() {
                    replies.push(wire::broker_orders(part.broker, orders));
                }
            }
        }
        Ok(wire::reply(batch.turn, replies))
    }

    fn handle_event(&mut self, now: f64, broker: &str, event: &Value) -> Result<(), ConfigError> {
        let kind = wire::event_kind(event)?;
        let event = Fields::new(kind, event)?;
        match kind {
            event::REGISTER_LIST => {
                let (number, rows) = wire::read_list(&event)?;
                self.lists.insert(number, rows);
            }
            event::START => {
                self.sessions.insert(broker.to_string(), Session::start(now, &event)?);
            }
            event::STOP => {
                self.sessions.remove(broker);
            }
            _ => match self.sessions.get_mut(broker) {
                Some(session) => session.handle_event(now, kind, &event, &self.lists)?,
                None => {
                    return Err(ConfigError(format!(
                        "{kind}: who: broker '{broker}' has not been started; send 'init' first"
                    )));
                }
            },
        }
        Ok(())
    }
}

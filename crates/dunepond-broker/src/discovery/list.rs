//! Parses endpoint lists, and assigns ids to the nodes and zones that they name.

use std::collections::HashMap;
use std::net::SocketAddr;

use dunepond_config::{ConfigError, Fields};
use dunepond_routing::{Endpoint, EndpointState, NodeId};
use serde_json::Value;
use slab::Slab;
use tracing::{info, warn};

use crate::endpoint::{EndpointInfo, EndpointRow};

/// A complete endpoint list, or only its rows that changed.
pub struct EndpointUpdate {
    /// Whether this is a complete list. If it is, nodes that are not in it are removed.
    pub complete: bool,
    /// The rows, in the list's order.
    pub endpoints: Vec<EndpointRow>,
}

/// An endpoint list that has been parsed.
pub(super) struct ParsedList {
    pub(super) version: u64,
    pub(super) update: EndpointUpdate,
    /// Whether a row was invalid and has been skipped.
    pub(super) had_invalid_row: bool,
}

/// The ids of all nodes and zones that endpoint lists have named.
pub(super) struct Directory {
    node_ids: HashMap<String, NodeId>,
    /// The node ids in use. A new node gets a free id.
    allocated_ids: Slab<()>,
    zones: Vec<String>,
}

impl Directory {
    /// Creates a directory without nodes, with the zones of the settings.
    pub(super) fn new(zones: Vec<String>) -> Self {
        Self { node_ids: HashMap::new(), allocated_ids: Slab::new(), zones }
    }

    /// Returns the name of the zone with this index; empty if there is none.
    pub(super) fn zone_name(&self, zone: usize) -> String {
        self.zones.get(zone).cloned().unwrap_or_default()
    }

    /// Frees the id of a removed node.
    pub(super) fn forget(&mut self, node: NodeId, name: &str) {
        if self.node_ids.remove(name).is_some() {
            self.allocated_ids.remove(node);
        }
    }

    /// Parses an endpoint list. An invalid row is logged and skipped.
    pub(super) fn parse_list(&mut self, list: &Value) -> Result<ParsedList, ConfigError> {
        let list = Fields::new("list", list)?;
        let (version, complete) = (list.count("seq")?, list.flag("whole")?);
        let (mut endpoints, mut had_invalid_row) = (Vec::new(), false);
        for row in list.list("hosts")? {
            match self.parse_row(row) {
                Ok(row) => endpoints.push(row),
                Err(ConfigError(reason)) => {
                    warn!("discovery: endpoint skipped: {reason}");
                    had_invalid_row = true;
                }
            }
        }
        Ok(ParsedList { version, update: EndpointUpdate { complete, endpoints }, had_invalid_row })
    }

    fn parse_row(&mut self, row: &Value) -> Result<EndpointRow, ConfigError> {
        let row = Fields::new("hosts", row)?;
        let name = row.text("host")?;
        let state = match row.text("health")? {
            "ready" => EndpointState::Active,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Removed,
            _ => return Err(row.error("health", "expected ready, draining or gone")),
        };
        let address: Option<SocketAddr> = match row.optional_text("dial")? {
            Some(address) => Some(address.parse().map_err(|_| row.error("dial", "expected ADDRESS:PORT"))?),
            None if state == EndpointState::Removed => None,
            None => return Err(row.error("dial", "missing")),
        };
        let replica_group = row.count("block")? as usize;
        let zone_name = row.optional_text("site")?.unwrap_or_default();
        let started_at = row.number_or("born_ms", 0.0)? / 1000.0;
        let zone = self.zone_index(zone_name);
        let node = self.node_id(name, address);
        let name = name.to_string();
        Ok(EndpointRow {
            endpoint: Endpoint { node, replica_group, zone, state, started_at },
            info: EndpointInfo { name, address, replica_group, started_at, state },
        })
    }

    /// Returns the index of the zone with this name; adds the zone if it is new.
    fn zone_index(&mut self, name: &str) -> usize {
        if let Some(zone) = self.zones.iter().position(|zone| zone == name) {
            return zone;
        }
        self.zones.push(name.to_string());
        self.zones.len() - 1
    }

    /// Returns the id of the node with this name; a new node gets a free id.
    fn node_id(&mut self, name: &str, address: Option<SocketAddr>) -> NodeId {
        if let Some(node) = self.node_ids.get(name) {
            return *node;
        }
        let node = self.allocated_ids.insert(());
        let address = address.map_or("?".to_string(), |address| address.to_string());
        info!("discovery: node {node} is {name} at {address}");
        self.node_ids.insert(name.to_string(), node);
        node
    }
}

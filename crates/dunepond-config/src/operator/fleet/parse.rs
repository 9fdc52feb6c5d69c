//! Reads the `fleet` node, and checks its keys and children against each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use dunepond_consensus::ConsensusConfigError;
use kdl::{KdlDocument, KdlEntry, KdlNode};

use super::{
    BrokerAddress, DEFAULT_FILL_DEADLINE_SECONDS, DEFAULT_MAP, FillConfig, FleetConfig, LinkConfig,
    MapConfig, PartnerConfig, RebalanceConfig,
};
use crate::operator::MIB;
use crate::operator::reader::Reader;

/// Placeholder for the longest query timeout in the settings, which is not known when the operator's file is checked.
const MIN_QUERY_SECONDS: f64 = 1e-6;
const KEYS: [&str; 6] = ["listen", "folder", "lease", "drift", "bound", "longest-timeout"];
const NODES: [&str; 11] =
    ["voter", "peer", "key", "version", "record", "partner", "link", "fills", "moves", "map", "limits"];
const REPEATABLE_NODES: [&str; 4] = ["voter", "peer", "partner", "link"];

/// KDL entries of the consensus parameters. An error that involves several parameters is reported at the position of
/// one of them.
struct ConsensusEntries<'n> {
    lease: Option<&'n KdlEntry>,
    drift: Option<&'n KdlEntry>,
    bound: Option<&'n KdlEntry>,
    longest_timeout: Option<&'n KdlEntry>,
}

impl Reader<'_> {
    /// Reads the `fleet` node; `None` if its address or folder is missing or invalid.
    pub(in crate::operator) fn fleet(&mut self, node: &KdlNode) -> Option<FleetConfig> {
        let at = node.name().span().offset();
        let [listen, folder, lease, drift, bound, longest_timeout] =
            self.properties_beside_children(node, KEYS);
        let listen_address = self.address("fleet: listen", listen, at);
        let folder = self.absolute_folder(node, folder);
        let mut fleet = FleetConfig {
            listen_address: listen_address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
            folder: folder.clone().unwrap_or_default(),
            lease_seconds: self.number_or(lease, 0.1..=300.0, 2.0),
            clock_drift_ratio: self.number_or(drift, 0.0..=0.5, 0.01),
            switch_bound_seconds: self.number_or(bound, 0.1..=3600.0, 8.0),
            longest_query_seconds: longest_timeout.and_then(|entry| self.number(entry, 0.0, 3600.0)),
            voters: Vec::new(),
            peers: Vec::new(),
            key_file: None,
            version_file: None,
            audit_log_file: None,
            partners: Vec::new(),
            links: Vec::new(),
            fills: None,
            rebalancing: None,
            map: None,
            quotas: None,
        };
        self.fleet_children(node, &mut fleet);
        self.check_unique(node, &fleet);
        self.check_consensus(at, &fleet, &ConsensusEntries { lease, drift, bound, longest_timeout });
        (listen_address.is_some() && folder.is_some()).then_some(fleet)
    }

    /// Reads the children of the `fleet` node into `fleet`.
    fn fleet_children(&mut self, node: &KdlNode, fleet: &mut FleetConfig) {
        let mut links = Vec::new();
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in self.children_with_repeats("fleet", children, &NODES, &REPEATABLE_NODES) {
            match child.name().value() {
                "voter" => fleet.voters.extend(self.broker_address(child)),
                "peer" => fleet.peers.extend(self.broker_address(child)),
                "key" => fleet.key_file = self.absolute_path(child),
                "version" => fleet.version_file = self.absolute_path(child),
                "record" => fleet.audit_log_file = self.absolute_path(child),
                "partner" => fleet.partners.extend(self.partner(child)),
                "link" => links.extend(self.link(child).map(|link| (child, link))),
                "fills" => fleet.fills = self.fills(child),
                "limits" => fleet.quotas = self.quotas(child),
                "moves" => fleet.rebalancing = self.rebalancing(child),
                _ => fleet.map = Some(self.map_constraints(child)),
            }
        }
        // Links are checked last, because a link may precede the partners that it names.
        for (child, link) in links {
            self.check_link(child, &link, fleet);
            fleet.links.push(link);
        }
    }

    /// Checks that both ends of a link are partners, and that there is no other link between them in the same
    /// direction.
    fn check_link(&mut self, node: &KdlNode, link: &LinkConfig, fleet: &FleetConfig) {
        let at = node.name().span().offset();
        for end in [&link.from, &link.to] {
            if !fleet.partners.iter().any(|partner| partner.name == *end) {
                self.report(at, format!("link: '{end}' is no partner; add a node 'partner' with this name"));
            }
        }
        if fleet.links.iter().any(|other| other.from == link.from && other.to == link.to) {
            self.report(at, format!("link: from '{}' to '{}' is given twice", link.from, link.to));
        }
    }

    /// Checks the voters and the consensus parameters. An error is reported at the entry of the offending parameter, or
    /// at the offset `at` if the parameter has no entry.
    fn check_consensus(&mut self, at: usize, fleet: &FleetConfig, entries: &ConsensusEntries) {
        let Some(voter) = fleet.voters.first() else {
            let message = "fleet: no voter; add each as a node 'voter \"NAME\" at=\"ADDRESS:PORT\"'";
            return self.report(at, message);
        };
        // The operator's file contains neither the broker's name nor the longest query timeout of the deployment's
        // settings; both are checked at startup.
        if let Err(error) = fleet.consensus_config(&voter.name, MIN_QUERY_SECONDS).check() {
            let entry = match error {
                ConsensusConfigError::Lease { .. } => entries.lease,
                ConsensusConfigError::Drift { .. } => entries.drift,
                ConsensusConfigError::Bound { .. } => entries.bound,
                ConsensusConfigError::LongestTimeout(_) => entries.longest_timeout,
                _ => None,
            };
            let at = entry.map_or(at, |entry| entry.span().offset());
            self.report(at, format!("fleet: {error}: {}", error.help()));
        }
    }

    /// Checks that no broker name, broker address, partner name, zone, tenant, or broker of a partner is given twice in
    /// the `fleet` node.
    fn check_unique(&mut self, node: &KdlNode, fleet: &FleetConfig) {
        let brokers: Vec<_> = fleet.voters.iter().chain(&fleet.peers).collect();
        let partners = &fleet.partners;
        let names = brokers.iter().map(|broker| broker.name.clone()).collect();
        let addresses = brokers.iter().map(|broker| broker.address.to_string()).collect();
        let partner_names = partners.iter().map(|partner| partner.name.clone()).collect();
        let zones = partners.iter().flat_map(|partner| partner.zones.clone()).collect();
        let partner_brokers = partners.iter().flat_map(|partner| partner.brokers.clone()).collect();
        let tenants = partners.iter().flat_map(|partner| partner.tenants.clone()).collect();
        self.check_duplicates(node, "broker", names);
        self.check_duplicates(node, "address", addresses);
        self.check_duplicates(node, "partner", partner_names);
        self.check_duplicates(node, "zone", zones);
        self.check_duplicates(node, "partner's broker", partner_brokers);
        self.check_duplicates(node, "customer", tenants);
    }

    fn check_duplicates(&mut self, node: &KdlNode, what: &str, values: Vec<String>) {
        let mut seen = BTreeSet::new();
        for value in values {
            if !seen.insert(value.clone()) {
                let at = node.name().span().offset();
                self.report(at, format!("fleet: the {what} '{value}' is given twice"));
            }
        }
    }

    /// Reads a `voter` or `peer` node.
    fn broker_address(&mut self, node: &KdlNode) -> Option<BrokerAddress> {
        let (name, [at]) = self.name_and_properties(node, ["at"]);
        let what = format!("{}: at", node.name().value());
        let address = self.address(&what, at, node.name().span().offset());
        Some(BrokerAddress { name: name?, address: address? })
    }

    /// Reads a `partner` node.
    fn partner(&mut self, node: &KdlNode) -> Option<PartnerConfig> {
        let known = ["zones", "customers", "brokers", "metered"];
        let (name, [zones, customers, brokers, metered]) = self.name_and_properties(node, known);
        let metered = self.is_on(metered);
        let zones = self.names(zones);
        let tenants = self.names(customers);
        let brokers = self.names(brokers);
        Some(PartnerConfig { name: name?, zones, tenants, brokers, metered })
    }

    /// Reads names separated by commas; returns an empty list if there is no entry.
    fn names(&mut self, entry: Option<&KdlEntry>) -> Vec<String> {
        let text = entry.and_then(|entry| self.text(entry, "names separated by commas"));
        let text = text.unwrap_or_default();
        text.split(',').map(str::trim).filter(|name| !name.is_empty()).map(str::to_string).collect()
    }

    /// Reads a `link` node.
    fn link(&mut self, node: &KdlNode) -> Option<LinkConfig> {
        let [from, to, bytes] = self.properties(node, ["from", "to", "bytes"]);
        if from.is_none() || to.is_none() || bytes.is_none() {
            let at = node.name().span().offset();
            self.report(at, "link: expected from=, to= and bytes= (per second)");
        }
        let from = from.and_then(|entry| self.text(entry, "a partner's name"));
        let to = to.and_then(|entry| self.text(entry, "a partner's name"));
        let bytes_per_second = bytes.and_then(|entry| self.size(entry, 1024));
        Some(LinkConfig { from: from?, to: to?, bytes_per_second: bytes_per_second? })
    }

    /// Reads the `moves` node.
    fn rebalancing(&mut self, node: &KdlNode) -> Option<RebalanceConfig> {
        let (plan, [at_once, settle, link_bytes]) =
            self.name_and_properties(node, ["at-once", "settle", "link-bytes"]);
        let plan_file = plan.map(PathBuf::from);
        if plan_file.as_ref().is_some_and(|plan| !plan.has_root()) {
            let entry = node.entries().first().map_or(node.name().span(), |entry| entry.span());
            self.report(entry.offset(), "moves: expected the absolute path of a file");
        }
        let max_concurrent_actions = self.count_or(at_once, 1.0..=64.0, 4);
        let settle_seconds = self.number_or(settle, 0.0..=3600.0, 1.0);
        let default_link_bytes_per_second = link_bytes.and_then(|entry| self.size(entry, 1024));
        Some(RebalanceConfig {
            plan_file: plan_file?,
            max_concurrent_actions,
            settle_seconds,
            default_link_bytes_per_second,
        })
    }

    /// Reads the `fills` node.
    fn fills(&mut self, node: &KdlNode) -> Option<FillConfig> {
        let known = ["at", "deadline", "segment", "rate", "at-once", "warm"];
        let [at, deadline, segment, rate, at_once, warm] = self.properties(node, known);
        let fill_started_nodes = self.is_on(warm);
        let address = self.address("fills: at", at, node.name().span().offset());
        let deadline_seconds = self.number_or(deadline, 0.1..=86_400.0, DEFAULT_FILL_DEADLINE_SECONDS);
        let segment_bytes = segment.and_then(|entry| self.size(entry, 1)).unwrap_or(64 * MIB);
        let bytes_per_second = rate.and_then(|entry| self.size(entry, 64 * 1024)).unwrap_or(32 * MIB);
        let max_concurrent_fills = self.count_or(at_once, 1.0..=64.0, 4);
        Some(FillConfig {
            address: address?,
            deadline_seconds,
            segment_bytes,
            bytes_per_second,
            max_concurrent_fills,
            fill_started_nodes,
        })
    }

    /// Reads the `map` node.
    fn map_constraints(&mut self, node: &KdlNode) -> MapConfig {
        let known = ["least-holders", "least-zones", "most-changed"];
        let [holders, zones, changed] = self.properties(node, known);
        MapConfig {
            min_replicas: self.count_or(holders, 1.0..=100.0, DEFAULT_MAP.min_replicas),
            min_zones: self.count_or(zones, 1.0..=100.0, DEFAULT_MAP.min_zones),
            max_changed_ratio: self.number_or(changed, 0.001..=1.0, DEFAULT_MAP.max_changed_ratio),
        }
    }
}

//! Reads the `limits` node: which quotas are divided among the brokers of a fleet by demand.

use kdl::{KdlDocument, KdlNode};

use super::reader::Reader;

/// Which quotas are shared, that is, divided among the brokers of a fleet by demand. A quota that the file doesn't name
/// is not divided by demand: each broker determines by itself how much of the quota it may use.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Ratio of each shared quota that brokers may use without a lease, split evenly among them. The rest of the quota
    /// is allocated by demand.
    pub reserved_ratio: f64,
    /// Interval between two allocations of the shared quotas to the brokers, in seconds.
    pub interval_seconds: f64,
    /// Number of parts per second that one warm node (a node that is past its slow start) accepts from all brokers
    /// together. The limit on the parts that all brokers together send to a node in slow start is proportional to this
    /// number. `None` if that limit is not shared.
    pub slow_start_parts_per_second: Option<f64>,
    /// Whether the brokers share the minimum of the retry budget: the number of retries and hedged requests that are
    /// allowed regardless of the load.
    pub share_retries: bool,
    /// Names of the tenants whose quotas are shared. They are the names in the deployment's settings.
    pub tenants: Vec<String>,
}

impl Reader<'_> {
    /// Reads the `limits` node.
    pub(super) fn quotas(&mut self, node: &KdlNode) -> Option<QuotaConfig> {
        let [floor, every] = self.properties_beside_children(node, ["floor", "every"]);
        let mut quotas = QuotaConfig {
            reserved_ratio: self.number_or(floor, 0.05..=1.0, 0.25),
            interval_seconds: self.number_or(every, 0.1..=60.0, 1.0),
            slow_start_parts_per_second: None,
            share_retries: false,
            tenants: Vec::new(),
        };
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in
            self.children_with_repeats("limits", children, &["cold", "further", "customer"], &["customer"])
        {
            match child.name().value() {
                "cold" => quotas.slow_start_parts_per_second = self.slow_start_rate(child),
                "further" => {
                    let [] = self.properties(child, []);
                    quotas.share_retries = true;
                }
                _ => self.quota_tenant(child, &mut quotas.tenants),
            }
        }
        if children.is_empty() {
            let at = node.name().span().offset();
            self.report(at, "limits: shares nothing; add cold, further or customer nodes to it");
        }
        Some(quotas)
    }

    /// Reads the KDL node `cold`, and returns its `rate`: the parts per second that one warm server (one that is past its
    /// slow start) accepts. A part is the share of a query for one segment.
    fn slow_start_rate(&mut self, node: &KdlNode) -> Option<f64> {
        let [rate] = self.properties(node, ["rate"]);
        if rate.is_none() {
            let at = node.name().span().offset();
            self.report(at, "cold: expected rate=, the parts per second that one warm node accepts");
        }
        rate.and_then(|entry| self.number(entry, 0.01, 1e6))
    }

    /// Reads a `customer` node and adds its tenant to `tenants`.
    fn quota_tenant(&mut self, node: &KdlNode, tenants: &mut Vec<String>) {
        let (name, []) = self.name_and_properties(node, []);
        if let Some(name) = name.as_ref().filter(|name| tenants.contains(name)) {
            let message = format!("limits: the customer '{name}' is given twice");
            self.report(node.name().span().offset(), message);
        }
        tenants.extend(name);
    }
}

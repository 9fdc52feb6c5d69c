//! Quotas that all brokers of a fleet share (`limits`).

use kdl::{KdlDocument, KdlNode};

use super::reader::Reader;

/// Which quotas are shared. Each one that the file does not name is not.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Share of each quota that is split evenly among the brokers without a lease; the rest is allocated by demand.
    pub reserved_ratio: f64,
    /// Seconds between two allocations.
    pub interval_seconds: f64,
    /// Parts a second that one warm node takes from all brokers together; absent, slow start is not shared.
    pub slow_start_parts_per_second: Option<f64>,
    /// The minimum of retries is shared.
    pub share_retries: bool,
    /// Names of the tenants whose quotas are shared, as the settings have them.
    pub tenants: Vec<String>,
}

impl Reader<'_> {
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
            self.fault(at, "limits: shares nothing; name cold, further or customers in it");
        }
        Some(quotas)
    }

    fn slow_start_rate(&mut self, node: &KdlNode) -> Option<f64> {
        let [rate] = self.properties(node, ["rate"]);
        if rate.is_none() {
            let at = node.name().span().offset();
            self.fault(at, "cold: expected rate=, parts a second that one warm node takes");
        }
        rate.and_then(|entry| self.number(entry, 0.01, 1e6))
    }

    fn quota_tenant(&mut self, node: &KdlNode, tenants: &mut Vec<String>) {
        let (name, []) = self.name_and_properties(node, []);
        if let Some(name) = name.as_ref().filter(|name| tenants.contains(name)) {
            let message = format!("limits: the customer '{name}' is given twice");
            self.fault(node.name().span().offset(), message);
        }
        tenants.extend(name);
    }
}

//! Bounds that all brokers share: which ones, and how much of each is nobody's to move.

use kdl::{KdlDocument, KdlNode};

use super::reader::Reader;

/// Off where the file does not name it, and each bound where it is not named in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Share of each whole that is split evenly and kept without a lease; the rest is moved by need.
    pub floor: f64,
    /// Seconds between plans.
    pub every: f64,
    /// Parts a second that one warm node takes, all brokers together.
    pub cold: Option<f64>,
    /// Free further dispatches.
    pub further: bool,
    /// Names of customers, as the settings have them.
    pub customers: Vec<String>,
}

impl Reader<'_> {
    pub(super) fn limits(&mut self, node: &KdlNode) -> Option<Limits> {
        let [floor, every] = self.keys(node, ["floor", "every"]);
        let floor = floor.and_then(|entry| self.number(entry, 0.05, 1.0)).unwrap_or(0.25);
        let every = every.and_then(|entry| self.number(entry, 0.1, 60.0)).unwrap_or(1.0);
        let mut limits = Limits { floor, every, cold: None, further: false, customers: Vec::new() };
        let children = node.children().map_or(&[][..], KdlDocument::nodes);
        for child in self.several("limits", children, &["cold", "further", "customer"], &["customer"]) {
            match child.name().value() {
                "cold" => {
                    let [rate] = self.properties(child, ["rate"]);
                    if rate.is_none() {
                        let at = child.name().span().offset();
                        self.fault(at, "cold: expected rate=, parts a second that one warm node takes");
                    }
                    limits.cold = rate.and_then(|entry| self.number(entry, 0.01, 1e6));
                }
                "further" => {
                    let [] = self.properties(child, []);
                    limits.further = true;
                }
                _ => {
                    let (name, []) = self.named(child, []);
                    if let Some(name) = name.as_ref().filter(|name| limits.customers.contains(name)) {
                        let words = format!("limits: the customer '{name}' is given twice");
                        self.fault(child.name().span().offset(), words);
                    }
                    limits.customers.extend(name);
                }
            }
        }
        if children.is_empty() {
            let at = node.name().span().offset();
            self.fault(at, "limits: shares nothing; name cold, further or customers in it");
        }
        Some(limits)
    }
}

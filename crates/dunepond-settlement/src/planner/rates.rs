//! Computes the rates of the chosen fills.

use std::collections::BTreeMap;

use super::FillPlanner;
use super::round::Round;
use crate::{Fill, max_min_rates};

/// A link or a node whose capacity several fills share.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Resource<'a> {
    Link { from: &'a str, to: &'a str },
    Node(&'a str),
}

/// Capacities of resources in bytes per second.
#[derive(Default)]
struct Resources<'a> {
    /// Indexes of shared resources in `rate_caps`.
    index_of: BTreeMap<Resource<'a>, usize>,
    rate_caps: Vec<f64>,
}

impl<'a> Resources<'a> {
    /// Adds a resource and returns its index.
    fn add(&mut self, rate_cap: f64) -> usize {
        self.rate_caps.push(rate_cap);
        self.rate_caps.len() - 1
    }

    /// Returns the index of a resource, and adds the resource first if it is new.
    fn index(&mut self, resource: Resource<'a>, rate_cap: impl FnOnce() -> f64) -> usize {
        if let Some(index) = self.index_of.get(&resource) {
            return *index;
        }
        let index = self.add(rate_cap());
        self.index_of.insert(resource, index);
        index
    }
}

impl FillPlanner {
    /// Sets the rates of the chosen fills to the max-min fair split of what running fills leave free on links and nodes.
    pub(super) fn set_rates(&self, round: &mut Round) {
        let mut resources = Resources::default();
        let mut flows = Vec::new();
        for fill in &round.chosen {
            let own_cap = resources.add(round.balances.terms().max_fill_rate);
            let link = resources.index(Resource::Link { from: &fill.from, to: &fill.to }, || {
                self.free_link_capacity(fill, round)
            });
            let node = resources.index(Resource::Node(&fill.node), || self.free_node_capacity(fill, round));
            flows.push(vec![own_cap, link, node]);
        }
        let rates = max_min_rates(&flows, &resources.rate_caps);
        for (fill, rate) in round.chosen.iter_mut().zip(rates) {
            fill.rate = rate;
        }
    }

    fn free_link_capacity(&self, fill: &Fill, round: &Round) -> f64 {
        let running = self.running_rate(|other| other.from == fill.from && other.to == fill.to);
        round.links.rate_cap(&fill.from, &fill.to) - running
    }

    fn free_node_capacity(&self, fill: &Fill, round: &Round) -> f64 {
        round.slow_start.rate_cap(&fill.node) - self.running_rate(|other| other.node == fill.node)
    }
}

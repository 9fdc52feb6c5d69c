//! Rates of the chosen fills.

use std::collections::BTreeMap;

use super::FillPlanner;
use super::round::Round;
use crate::{Fill, max_min_rates};

/// A capacity that several fills share.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Resource<'a> {
    Link { from: &'a str, to: &'a str },
    Node(&'a str),
}

/// Capacities in bytes a second, each resource once.
#[derive(Default)]
struct Resources<'a> {
    index_of: BTreeMap<Resource<'a>, usize>,
    rate_caps: Vec<f64>,
}

impl<'a> Resources<'a> {
    /// Adds a resource that one fill alone uses.
    fn add(&mut self, rate_cap: f64) -> usize {
        self.rate_caps.push(rate_cap);
        self.rate_caps.len() - 1
    }

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
    /// Max-min over links and nodes, as far as running fills leave them.
    pub(super) fn set_rates(&self, round: &mut Round) {
        let mut resources = Resources::default();
        let mut flows = Vec::new();
        for fill in &round.chosen {
            let own = resources.add(round.balances.terms().max_fill_rate);
            let link = resources.index(Resource::Link { from: &fill.from, to: &fill.to }, || {
                self.link_rate_left(fill, round)
            });
            let node = resources.index(Resource::Node(&fill.node), || self.node_rate_left(fill, round));
            flows.push(vec![own, link, node]);
        }
        let rates = max_min_rates(&flows, &resources.rate_caps);
        for (fill, rate) in round.chosen.iter_mut().zip(rates) {
            fill.rate = rate;
        }
    }

    fn link_rate_left(&self, fill: &Fill, round: &Round) -> f64 {
        let running = self.running_rate(|other| other.from == fill.from && other.to == fill.to);
        round.links.rate_cap(&fill.from, &fill.to) - running
    }

    fn node_rate_left(&self, fill: &Fill, round: &Round) -> f64 {
        round.slow_start.rate_cap(&fill.node) - self.running_rate(|other| other.node == fill.node)
    }
}

//! The API's door, phases, and what outlasts the process.

use std::net::SocketAddr;
use std::path::PathBuf;

use dunepond_prefilter as phases;
use dunepond_search_api::Limits;
use kdl::{KdlEntry, KdlNode};

use super::reader::Reader;

/// A folder in which what the broker has learned and spent outlasts it.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    pub folder: PathBuf,
    /// Seconds between two snapshots.
    pub every: f64,
}

/// The API's door: where it listens, and what a request may be.
#[derive(Clone, Debug, PartialEq)]
pub struct Search {
    pub listen: SocketAddr,
    pub limits: Limits,
}

impl Reader<'_> {
    pub(super) fn search(&mut self, node: &KdlNode) -> Option<Search> {
        let known = ["listen", "clauses", "depth", "regexp", "text", "searches", "window", "routings"];
        let [listen, clauses, depth, regexp, text, searches, window, routings] = self.properties(node, known);
        let address = listen.and_then(|entry| entry.value().as_string()).and_then(|text| text.parse().ok());
        if address.is_none() {
            let at = listen.map_or(node.name().span().offset(), |entry| entry.span().offset());
            self.fault(at, "search: listen: expected an address:port");
        }
        let mut limits = Limits::default();
        let mut count = |entry: Option<&KdlEntry>, most: f64, into: &mut usize| {
            if let Some(number) = entry.and_then(|entry| self.number(entry, 1.0, most)) {
                *into = number as usize;
            }
        };
        count(clauses, 100_000.0, &mut limits.clauses);
        count(depth, 100.0, &mut limits.depth);
        count(regexp, 10_000.0, &mut limits.regexp);
        count(text, 65_536.0, &mut limits.text);
        count(searches, 10_000.0, &mut limits.searches);
        count(routings, 10_000.0, &mut limits.routings);
        let mut most = limits.window as usize;
        count(window, 10_000.0, &mut most);
        limits.window = most as u64;
        Some(Search { listen: address?, limits })
    }

    pub(super) fn state(&mut self, node: &KdlNode) -> Option<State> {
        let [folder, every] = self.properties(node, ["folder", "every"]);
        let path = self.folder(node, folder);
        let every = every.and_then(|entry| self.number(entry, 0.1, 3600.0)).unwrap_or(1.0);
        Some(State { folder: path?, every })
    }

    pub(super) fn phases(&mut self, node: &KdlNode) -> phases::PrefilterConfig {
        let known = ["least-segments", "share", "fresh", "known", "audits"];
        let [least, share, fresh, known, audits] = self.properties(node, known);
        let mut number = |entry: Option<&KdlEntry>, bounds: (f64, f64), unless: f64| {
            entry.and_then(|entry| self.number(entry, bounds.0, bounds.1)).unwrap_or(unless)
        };
        phases::PrefilterConfig {
            min_segments: number(least, (2.0, 1e6), 8.0) as usize,
            time_ratio: number(share, (0.01, 0.9), 0.25),
            max_age_seconds: number(fresh, (0.0, 60.0), 0.0),
            max_entries: number(known, (1.0, 1e7), 20_000.0) as usize,
            audit_ratio: number(audits, (0.0, 1.0), 0.01),
        }
    }
}

//! Reads the `search` node: the address at which the search API listens, and the limits on its requests.

use std::net::SocketAddr;

use dunepond_search_api::RequestLimits;
use kdl::KdlNode;

use super::reader::Reader;

/// The address at which the search API listens, and the limits on its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct SearchApiConfig {
    /// TCP address at which the search API listens.
    pub listen_address: SocketAddr,
    /// Limits on one request.
    pub limits: RequestLimits,
}

impl Reader<'_> {
    /// Reads the `search` node; `None` if its address is missing or invalid.
    pub(super) fn search_api(&mut self, node: &KdlNode) -> Option<SearchApiConfig> {
        let known = ["listen", "clauses", "depth", "regexp", "text", "searches", "window", "routings"];
        let [listen, clauses, depth, regexp, text, searches, window, routings] = self.properties(node, known);
        let listen_address = self.address("search: listen", listen, node.name().span().offset());
        let mut limits = RequestLimits::default();
        limits.max_clauses = self.count_or(clauses, 1.0..=100_000.0, limits.max_clauses);
        limits.max_depth = self.count_or(depth, 1.0..=100.0, limits.max_depth);
        limits.max_regexp_chars = self.count_or(regexp, 1.0..=10_000.0, limits.max_regexp_chars);
        limits.max_text_chars = self.count_or(text, 1.0..=65_536.0, limits.max_text_chars);
        limits.max_searches = self.count_or(searches, 1.0..=10_000.0, limits.max_searches);
        limits.max_routing_values = self.count_or(routings, 1.0..=10_000.0, limits.max_routing_values);
        limits.max_result_window =
            self.count_or(window, 1.0..=10_000.0, limits.max_result_window as usize) as u64;
        Some(SearchApiConfig { listen_address: listen_address?, limits })
    }
}

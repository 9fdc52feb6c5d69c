//! Applies the endpoint list and the active configuration to the router and to connections.

use super::EventLoop;
use crate::discovery::EndpointUpdate;
use crate::endpoint::EndpointRow;
use crate::upstream::ChangedNode;

impl EventLoop {
    /// Applies the rules, quotas and drained nodes of the active configuration; called before each event is handled.
    pub(super) fn apply_control_plane(&mut self) {
        let Some(control_plane) = &mut self.router_host.control_plane else { return };
        control_plane.record_demand(|seconds| self.router.quota_demand(seconds));
        if let Some(shares) = control_plane.poll_quota_shares() {
            self.router.set_quota_shares(shares);
        }
        let Some(changes) = control_plane.poll_changes() else { return };
        // Every new lease is a change, so that the overload state is updated here before the next lease request sends
        // it.
        control_plane.set_overloaded(self.router.is_overloaded());
        if let Some(rules) = changes.rules {
            self.router.set_rules(&rules);
        }
        if !changes.endpoints.is_empty() {
            self.apply_endpoints(EndpointUpdate { complete: false, endpoints: changes.endpoints });
        }
        self.apply_segment_replicas();
    }

    /// Has the router read each segment only from the replicas that the active configuration's shard map names, which discovery
    /// does not know.
    fn apply_segment_replicas(&mut self) {
        if let Some(control_plane) = &self.router_host.control_plane {
            self.router.set_segment_replicas(control_plane.segment_replicas());
        }
    }

    /// Handles a readiness event of the connection to discovery, and applies the endpoint updates that were received.
    pub(super) fn discovery_ready(&mut self, readable: bool) {
        let now = self.refresh_clock_and_config();
        for update in self.discovery.on_ready(now, readable, &mut self.router_host.timers) {
            if self.configured_endpoints.take().is_some() {
                self.accept_backlog();
            }
            self.on_endpoint_update(update);
        }
        self.process_pending();
    }

    /// Repeats a call to discovery that failed for lack of a file descriptor, after freeing one; otherwise the endpoint
    /// list would go stale.
    pub(super) fn retry_discovery(&mut self) {
        if std::mem::take(&mut self.discovery.out_of_descriptors) && self.router_host.free_descriptor() {
            self.discovery.start_call(self.router_host.now, &mut self.router_host.timers);
        }
    }

    /// Applies an endpoint update. If there is a control plane, it changes the endpoints of the update first.
    pub(super) fn on_endpoint_update(&mut self, mut update: EndpointUpdate) {
        if let Some(control_plane) = &mut self.router_host.control_plane {
            let zone_name = |zone| self.discovery.zone_name(zone);
            update.endpoints = control_plane.on_endpoint_update(
                self.router_host.now,
                update.complete,
                update.endpoints,
                zone_name,
            );
        }
        self.apply_endpoints(update);
        self.apply_segment_replicas();
    }

    /// Applies an endpoint update to the connections, the prefilter and the router. Once the first endpoint list is in
    /// use, saved state is restored as well.
    fn apply_endpoints(&mut self, update: EndpointUpdate) {
        let now = self.router_host.now;
        let mut endpoints = Vec::with_capacity(update.endpoints.len());
        if update.complete {
            let listed_nodes = update.endpoints.iter().map(|row| row.endpoint.node).collect();
            self.router_host.upstream.remove_unlisted(
                self.router_host.now,
                &listed_nodes,
                &mut self.router_host.timers,
            );
        }
        for EndpointRow { endpoint, info } in update.endpoints {
            self.router_host.upstream.update_endpoint(now, endpoint.node, info, &mut self.router_host.timers);
            endpoints.push(endpoint);
        }
        for ChangedNode { node, replaced } in std::mem::take(&mut self.router_host.upstream.changed_nodes) {
            if let Some(prefilter_connections) = &mut self.router_host.prefilter_connections {
                prefilter_connections.close_node(node, &mut self.router_host.timers);
            }
            if let Some(prefilter) = self.prefilter.as_mut().filter(|_| replaced) {
                prefilter.forget(node);
            }
        }
        self.router_host.downstream.has_endpoints = self.router_host.upstream.any_active();
        self.router.update_endpoints(&mut self.router_host, update.complete, &endpoints);
        if let Some(persistence) = &mut self.persistence {
            persistence.restore(now, &mut self.router, &mut self.router_host);
        }
    }
}

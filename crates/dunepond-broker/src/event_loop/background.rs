//! Runs background jobs from the event loop, and logs the counters.

use std::time::Instant;

use dunepond_background::{DroppedJob, FinishedJob, JobCost, JobKind, JobSpec, Outcome, Priority};
use tracing::{debug, info};

use super::EventLoop;
use crate::clock::TimerEvent;
use crate::prefilter::PrefilterHost;

/// Name of the background job that runs prefilter audits.
const AUDIT_JOB: &str = "audit";
/// An audit that has waited longer than this is dropped, as the content of the segments will have changed.
const AUDIT_EXPIRY_SECONDS: f64 = 5.0;

/// The background job for a prefilter audit that is scheduled at `now`.
fn audit_job_spec(now: f64) -> JobSpec {
    JobSpec {
        name: AUDIT_JOB,
        priority: Priority::Idle,
        kind: JobKind::Step,
        cost: JobCost::default(),
        not_before: now,
        deadline: Some(now + AUDIT_EXPIRY_SECONDS),
        retry: None,
    }
}

impl EventLoop {
    /// Records the end of a blocking background job.
    pub(super) fn job_finished(&mut self, finished: FinishedJob) {
        let now = self.refresh_clock_and_config();
        self.background.on_job_finished(now, finished);
        let failed = finished.outcome == Outcome::Failed;
        if let Some(persistence) = &mut self.persistence {
            persistence.on_job_ended(now, finished.id, failed, &mut self.background);
        }
    }

    /// Starts the background jobs that may run now: blocking jobs on the thread pool, step jobs on the event loop
    /// itself. Step jobs run only if `idle`, that is, if the iteration had no events.
    pub(super) fn run_background_jobs(&mut self, idle: bool) {
        let now = self.router_host.now;
        if !self.audit_scheduled && self.prefilter.as_ref().is_some_and(PrefilterHost::has_audits) {
            self.audit_scheduled = true;
            self.background.add(now, audit_job_spec(now));
        }
        while let Some(job) = self.background.next(now, idle) {
            if job.kind == JobKind::Blocking {
                if let (Some(persistence), Some(pool)) = (&mut self.persistence, self.background.pool()) {
                    persistence.run_job(job.id, job.name, now, &mut self.router, &self.router_host, pool);
                }
                continue;
            }
            let started_at = Instant::now();
            let mut outcome = Outcome::Done;
            if let Some(prefilter) = &mut self.prefilter {
                prefilter.start_audit(&mut self.router, &mut self.router_host);
                if prefilter.has_audits() {
                    outcome = Outcome::Yielded;
                }
            }
            self.audit_scheduled = outcome == Outcome::Yielded;
            self.process_pending();
            self.background.on_step_done(now, job.id, outcome, started_at.elapsed().as_secs_f64());
        }
        for DroppedJob { id, name } in self.background.dropped() {
            debug!("background job {name} dropped");
            self.audit_scheduled &= name != AUDIT_JOB;
            if let Some(persistence) = &mut self.persistence {
                persistence.on_job_ended(now, id, false, &mut self.background);
            }
        }
        self.background.schedule_timer(now, &mut self.router_host.timers);
    }

    /// Logs how many malformed messages peers have sent since the start, by the kind of connection.
    fn log_malformed_messages(&self) {
        let prefilter = self.router_host.prefilter_connections.as_ref();
        info!(
            clients = self.router_host.downstream.malformed_messages,
            nodes = self.router_host.upstream.malformed_messages,
            prefilter = prefilter.map_or(0, |connections| connections.malformed_messages),
            discovery = self.discovery.malformed_messages,
            "malformed messages"
        );
    }

    /// Logs what takes memory: queries in flight, responses that clients have not read, and buffers; and how many connections were
    /// closed for it since the start.
    fn log_memory(&self) {
        let pools = &self.router_host.pools;
        info!(
            query_bytes = self.router_host.stored_query_bytes(),
            unread_response_bytes = self.router_host.downstream.unread_bytes(),
            client_buffer_bytes = pools.clients.in_use_bytes(),
            node_buffer_bytes = pools.nodes.in_use_bytes(),
            frame_buffer_bytes = pools.frames.in_use_bytes(),
            buffer_bytes = pools.allocated_bytes(),
            clients = self.router_host.downstream.count(),
            clients_closed_for_memory = self.router_host.downstream.evicted_for_memory,
            slow_readers_closed = self.router_host.downstream.slow_readers_closed,
            nodes_closed_for_memory = self.router_host.upstream.evicted_for_memory,
            "memory counters"
        );
    }

    /// Logs the counters and schedules the next report, if the operator's file sets an interval for them.
    pub(super) fn report_counters(&mut self) {
        let now = self.router_host.now;
        if let Some(interval) = self.operator.counters_interval_seconds {
            self.router_host.timers.schedule(now + interval, TimerEvent::Counters);
            self.turn_times.take_summary().log();
            self.log_malformed_messages();
            self.log_memory();
            let copied = self.router_host.upstream.copied_bytes;
            self.router_host.report_body_counters(copied);
            if let Some(prefilter) = &self.prefilter {
                prefilter.log_counters(now);
            }
            if let Some(control_plane) = &self.router_host.control_plane {
                control_plane.report_counters();
            }
            let job_counters = self.background.report();
            if !job_counters.is_empty() {
                info!(work = job_counters, "background counters");
            }
        }
    }
}

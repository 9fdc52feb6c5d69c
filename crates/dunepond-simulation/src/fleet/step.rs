//! Simulated time: what brokers do at each step, and what messages bring about.

use dunepond_consensus::{ConsensusError, Effects, LeaseReply};

use super::message::{InFlight, Message};
use super::{Fleet, SettlementNotice};
use crate::invariants::BrokerActivity;
use crate::settlements;

/// Rejections of one broker that are retained.
const MAX_RETAINED_REJECTIONS: usize = 1000;

impl Fleet {
    /// Steps until `is_done`, for `max_seconds` at most. Returns whether it is.
    pub fn run_until(&mut self, max_seconds: f64, is_done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + max_seconds;
        while self.now < end {
            if is_done(self) {
                return true;
            }
            self.step();
        }
        is_done(self)
    }

    /// Steps for this time.
    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false);
    }

    /// First what brokers do whose pause is over, before they receive anything; then messages, then time.
    pub fn step(&mut self) {
        self.now += self.turn_seconds;
        for n in 0..self.brokers.len() {
            if self.is_active(n) {
                let clock = self.clock(n);
                self.brokers[n].observe_clock(clock);
            }
        }
        self.check_invariants();
        while let Some(message) = self.in_flight.pop_due(self.now) {
            self.deliver_or_buffer(message);
        }
        for n in 0..self.brokers.len() {
            if self.is_active(n) {
                self.take_turn(n);
            }
        }
        self.check_invariants();
    }

    /// What reaches a paused broker waits in its buffers.
    fn deliver_or_buffer(&mut self, message: InFlight) {
        let paused_until = self.brokers[message.to].paused_until;
        if self.is_running(message.to) && self.now < paused_until {
            self.in_flight.schedule(paused_until, message);
        } else {
            self.deliver(message);
        }
    }

    fn take_turn(&mut self, n: usize) {
        let (clock, cpu_before) = (self.clock(n), self.cpu_now());
        let broker = &mut self.brokers[n];
        let effects = broker.voter.as_mut().map(|voter| voter.tick(clock));
        let is_voter = effects.is_some();
        let mut request = None;
        if !is_voter {
            request = broker.lease_client.as_mut().and_then(|client| client.tick(clock));
        }
        self.add_cpu_time(n, cpu_before);
        if let Some(effects) = effects {
            self.apply_effects(n, effects);
            // The broker may have crashed during its write.
            request = self.brokers[n].lease_client.as_mut().and_then(|client| client.tick(clock));
        }
        if let Some((voter, request)) = request {
            let to = self.index_of(&voter);
            self.send(n, to, Message::LeaseRequest(request));
        }
    }

    fn deliver(&mut self, in_flight: InFlight) {
        let InFlight { size_bytes, from, to, message } = in_flight;
        if !self.is_running(to) {
            return self.refuse_connection(from, to, &message);
        }
        if from != to {
            self.brokers[to].load.messages_received += 1;
            self.brokers[to].load.bytes_received += size_bytes;
        }
        self.extend_trace(&[self.now.to_bits(), from as u64, to as u64, size_bytes]);
        let (clock, cpu_before) = (self.clock(to), self.cpu_now());
        let sender = self.brokers[from].name.clone();
        let voter = self.brokers[to].voter.as_mut();
        let effects = match message {
            Message::Consensus(bytes) => {
                voter.and_then(|voter| match voter.receive(clock, &sender, &bytes) {
                    Ok(effects) => Some(effects),
                    Err(ConsensusError::NotAVoter(_) | ConsensusError::StaleEpoch { .. }) => None,
                    Err(error) => panic!("a message of ours: {error}"),
                })
            }
            Message::LeaseRequest(request) => {
                voter.map(|voter| voter.handle_lease_request(clock, &sender, request))
            }
            Message::LeaseReply(reply) => {
                self.receive_reply(to, clock, &sender, reply);
                None
            }
        };
        self.add_cpu_time(to, cpu_before);
        if let Some(effects) = effects {
            self.apply_effects(to, effects);
        }
    }

    /// The host of a process that is down refuses a request at once.
    fn refuse_connection(&mut self, from: usize, to: usize, message: &Message) {
        let (name, clock) = (self.brokers[to].name.clone(), self.clock(from));
        if let (Message::LeaseRequest(_), Some(client)) = (message, &mut self.brokers[from].lease_client) {
            client.request_failed(clock, &name);
        }
    }

    fn receive_reply(&mut self, n: usize, clock: f64, sender: &str, reply: LeaseReply) {
        let broker = &mut self.brokers[n];
        let Some(client) = &mut broker.lease_client else { return };
        if let Err(rejection) = client.handle_reply(clock, sender, reply)
            && broker.rejections.len() < MAX_RETAINED_REJECTIONS
        {
            broker.rejections.push(rejection);
        }
        broker.persisted_leases = client.persisted_state();
        if let Some(notices) = &mut self.settlement_notices {
            let at = self.now;
            let ids = settlements::take_learned_ids(client).into_iter();
            notices.extend(ids.map(|id| SettlementNotice { at, broker: n, id }));
        }
    }

    pub(super) fn apply_effects(&mut self, n: usize, effects: Effects) {
        if !effects.write_batch.is_empty() {
            if self.brokers[n].tears_next_record {
                // The folder is read without the torn record, and nothing that rests on it was sent.
                self.kill(n);
                return;
            }
            self.write(n, &effects);
        }
        self.brokers[n].log.extend(effects.log_lines);
        for outcome in &effects.outcomes {
            self.extend_trace(&[n as u64, outcome.index, u64::from(outcome.result.is_ok())]);
            self.invariants.on_entry_applied(self.now, &self.brokers[n].name, outcome);
        }
        for (voter, bytes) in effects.messages {
            let to = self.index_of(&voter);
            self.send(n, to, Message::Consensus(bytes));
        }
        for (broker, reply) in effects.replies {
            // The one that asked may have been replaced.
            if let Some(to) = self.index_by_name.get(&broker).copied() {
                self.send(n, to, Message::LeaseReply(reply));
            }
        }
    }

    fn write(&mut self, n: usize, effects: &Effects) {
        let broker = &mut self.brokers[n];
        if effects.write_batch.is_checkpoint() {
            let voter = broker.voter.as_ref().expect("its effects are applied");
            broker.disk = vec![voter.checkpoint().encode()];
        } else {
            broker.disk.push(effects.write_batch.encode());
        }
    }

    /// Each active broker sends a non-idempotent part wherever it may; then all invariants are checked.
    fn check_invariants(&mut self) {
        self.invariants.begin_step(self.now);
        for (n, broker) in self.brokers.iter().enumerate() {
            let Some(client) = broker.lease_client.as_ref().filter(|_| self.now >= broker.paused_until)
            else {
                continue;
            };
            let config = client.active_config();
            // Its lease lasts too long by a clock that went back unnoticed, which the configuration excludes. Under its next lease
            // it is checked again.
            if broker.hidden_clock_jump.is_some_and(|clock| config.lease_started_at() < clock) {
                continue;
            }
            self.invariants.on_broker_acts(&BrokerActivity {
                now: self.now,
                broker: n,
                config: &config,
                clock: broker.clock(self.now),
                segments: &self.watched_segments,
                part_seconds: broker.config.longest_query_seconds / broker.clock_rate,
                switch_bound_seconds: broker.config.switch_bound_seconds,
            });
        }
        self.invariants.end_step(self.now);
    }

    fn cpu_now(&self) -> Option<u64> {
        self.cpu_clock.map(|clock| clock())
    }

    fn add_cpu_time(&mut self, n: usize, before: Option<u64>) {
        if let (Some(after), Some(before)) = (self.cpu_now(), before) {
            self.brokers[n].load.cpu_nanoseconds += after - before;
        }
    }

    fn extend_trace(&mut self, values: &[u64]) {
        for value in values {
            self.trace = (self.trace ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        }
    }
}

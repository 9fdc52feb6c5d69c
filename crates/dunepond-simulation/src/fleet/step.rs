//! Steps of simulated time: turns of the brokers, deliveries of messages and their effects.

use dunepond_consensus::{ConsensusError, Effects, LeaseReply};

use super::message::{InFlight, Message};
use super::{Fleet, SettlementNotice};
use crate::invariants::BrokerActivity;
use crate::settlements;

/// Maximum number of rejections of lease replies that are recorded for each broker.
const MAX_RETAINED_REJECTIONS: usize = 1000;

impl Fleet {
    /// Runs steps until `is_done` returns true, for `max_seconds` at most. Returns whether `is_done` returned true.
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

    /// Runs steps for some seconds of simulated time.
    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(seconds, |_| false);
    }

    /// Advances the time by one step: messages are delivered, and each broker that is neither down nor paused takes its
    /// turn. The invariants are checked at the end. They are also checked at the beginning, because a broker whose
    /// pause has just ended may act before it receives anything.
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

    /// Delivers a message that has arrived. A message to a paused broker is delayed until the pause ends.
    fn deliver_or_buffer(&mut self, message: InFlight) {
        let paused_until = self.brokers[message.to].paused_until;
        if self.is_running(message.to) && self.now < paused_until {
            self.in_flight.schedule(paused_until, message);
        } else {
            self.deliver(message);
        }
    }

    /// Runs the voter and the lease client of a broker at the current reading of the broker's clock.
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
            // There may be no lease client any more: the broker may have crashed during the write of the effects.
            request = self.brokers[n].lease_client.as_mut().and_then(|client| client.tick(clock));
        }
        if let Some((voter, request)) = request {
            let to = self.index_of(&voter);
            self.send(n, to, Message::LeaseRequest(request));
        }
    }

    /// Delivers a message to its receiver and applies the effects that the receiver's voter returns.
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
                    Err(error) => panic!("a voter cannot read a message of another voter: {error}"),
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

    /// Handles a message to a broker that is down. Its machine refuses the connection at once, so if the message is a
    /// lease request, the sender's lease client is notified that it failed.
    fn refuse_connection(&mut self, from: usize, to: usize, message: &Message) {
        let (name, clock) = (self.brokers[to].name.clone(), self.clock(from));
        if let (Message::LeaseRequest(_), Some(client)) = (message, &mut self.brokers[from].lease_client) {
            client.request_failed(clock, &name);
        }
    }

    /// Passes a lease reply to a broker's lease client. Records a rejection of the reply, and settlements that the
    /// broker learns of.
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

    /// Applies the effects that a call of a voter returned: first writes, then messages and replies.
    pub(super) fn apply_effects(&mut self, n: usize, effects: Effects) {
        if !effects.write_batch.is_empty() {
            if self.brokers[n].tears_next_record {
                // The broker crashes during the write. The torn record is ignored when the folder is read, so the
                // messages that depend on it must not be sent.
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
            // The broker that sent the request may have been replaced.
            if let Some(to) = self.index_by_name.get(&broker).copied() {
                self.send(n, to, Message::LeaseReply(reply));
            }
        }
    }

    /// Writes a voter's batch of records to the broker's folder. A checkpoint replaces all earlier records.
    fn write(&mut self, n: usize, effects: &Effects) {
        let broker = &mut self.brokers[n];
        if effects.write_batch.is_checkpoint() {
            let voter = broker.voter.as_ref().expect("the voter whose effects are applied");
            broker.disk = vec![voter.checkpoint().encode()];
        } else {
            broker.disk.push(effects.write_batch.encode());
        }
    }

    /// Checks all invariants. For each watched segment, each broker that is neither down nor paused is assumed to send
    /// a part of a non-idempotent query (the share of the query for one segment) to the segment's owner, if the
    /// broker's configuration allows that.
    fn check_invariants(&mut self) {
        self.invariants.begin_step(self.now);
        for (n, broker) in self.brokers.iter().enumerate() {
            let Some(client) = broker.lease_client.as_ref().filter(|_| self.now >= broker.paused_until)
            else {
                continue;
            };
            let config = client.active_config();
            // An undetected clock jump made this lease last longer than the configuration allows, and the invariants
            // assume that this does not happen. The broker is checked again once it has a lease from after the jump.
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

    /// Processor time that the process has used so far, in nanoseconds; `None` if it is not measured.
    fn cpu_now(&self) -> Option<u64> {
        self.cpu_clock.map(|clock| clock())
    }

    /// Adds the processor time since `before` to a broker's load.
    fn add_cpu_time(&mut self, n: usize, before: Option<u64>) {
        if let (Some(after), Some(before)) = (self.cpu_now(), before) {
            self.brokers[n].load.cpu_nanoseconds += after - before;
        }
    }

    /// Adds values to [`Fleet::trace`], the hash of the run.
    fn extend_trace(&mut self, values: &[u64]) {
        for value in values {
            self.trace = (self.trace ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        }
    }
}

//! Processing of the gossip library's output: timers, datagrams, and changes of its members.

use super::{Actions, Core, MemberRecord, ScheduledTimer};
use crate::event::Event;
use crate::identity::{Peer, PeerState};
use crate::messages::MessageType;
use foca::{Identity, State};
use std::collections::BTreeMap;

impl Core {
    /// Collects timers, datagrams and member changes from the gossip library. Messages to `inline_recipient` are
    /// returned instead of sent as datagrams, because that peer waits for them on a connection.
    pub(super) fn collect_actions(
        &mut self,
        actions: &mut Actions,
        inline_recipient: Option<&str>,
    ) -> Vec<Vec<u8>> {
        self.members_stale = false;
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers_scheduled += 1;
            let (due, order) = (self.now + after.as_secs_f64(), self.timers_scheduled);
            self.timers.push(ScheduledTimer { due, order, timer });
        }
        // The library's notifications are discarded, since they do not include suspicions. Changes are found by
        // comparing the library's members before and after.
        while self.runtime.to_notify().is_some() {}
        let current = self.library_members();
        let inline = self.collect_datagrams(&current, actions, inline_recipient);
        self.report_changes(&current, actions);
        self.members = current;
        self.update_liveness_checks();
        inline
    }

    /// Returns the gossip library's members by name, without this broker.
    fn library_members(&self) -> BTreeMap<String, MemberRecord> {
        let local_name = &self.sender_policy.local_name;
        let others = self.foca.iter_membership_state().filter(|member| member.id().name != *local_name);
        let records = others.map(|member| {
            let state = match member.state() {
                State::Alive => PeerState::Alive,
                State::Suspect => PeerState::Suspected,
                State::Down => PeerState::Down,
            };
            (member.id().addr(), MemberRecord { id: member.id().clone(), state })
        });
        records.collect()
    }

    /// Encodes the gossip library's messages as datagrams, except those to `inline_recipient`, which are returned
    /// unencoded.
    fn collect_datagrams(
        &mut self,
        current: &BTreeMap<String, MemberRecord>,
        actions: &mut Actions,
        inline_recipient: Option<&str>,
    ) -> Vec<Vec<u8>> {
        let mut inline = Vec::new();
        while let Some((to, payload)) = self.runtime.to_send() {
            if inline_recipient == Some(to.name.as_str()) {
                inline.push(payload.to_vec());
                continue;
            }
            // Datagrams are only sent to configured peers and members: otherwise the sender of a gossip message could
            // make this broker send datagrams to any address.
            let configured = self.sender_policy.known_peers.get(&to.name).copied();
            let member = || current.get(&to.name).map(|member| member.id.listen_address);
            let Some(address) = configured.or_else(member) else { continue };
            let header = self.header_for(&to.name, MessageType::Gossip);
            let bytes = self.encode(self.version_for(&to.name), &header, &payload);
            if header.echoed_token == 0 {
                self.keep_for_resend(to.name, &payload);
            }
            actions.datagrams.push((address, bytes));
        }
        inline
    }

    /// Adds an event for each difference between the members last reported and the current ones.
    fn report_changes(&self, current: &BTreeMap<String, MemberRecord>, actions: &mut Actions) {
        for (name, member) in current {
            let before = self.members.get(name);
            let state_before = before.map(|before| before.state);
            match member.state {
                PeerState::Alive => {
                    let unchanged = before
                        .is_some_and(|before| before.id == member.id && before.state == PeerState::Alive);
                    if !unchanged {
                        actions.changes.push(Event::PeerUp(Peer::new(&member.id, member.state)));
                    }
                }
                PeerState::Suspected => {
                    if state_before != Some(PeerState::Suspected) {
                        actions.changes.push(Event::PeerSuspected(name.clone()));
                    }
                }
                PeerState::Down => {
                    if state_before.is_some_and(|state| state != PeerState::Down) {
                        actions.changes.push(Event::PeerDown(name.clone()));
                    }
                }
            }
        }
        for (name, before) in &self.members {
            if before.state != PeerState::Down && !current.contains_key(name) {
                actions.changes.push(Event::PeerDown(name.clone()));
            }
        }
    }
}

//! Bodies of the raw form on their way in: when they may come, when their scan begins, and when they are lost.

use std::rc::Rc;

use dunepond_body_buffer::BodyId;

use super::{Asked, Clients, Phase, Raw};
use crate::body::Body;
use crate::clock::Alarms;
use crate::http::{Head, Message, Refusal};

impl Clients {
    /// A body of the raw form may come in: into this.
    pub fn takes(
        &mut self,
        now: f64,
        id: usize,
        asked: Asked,
        head: Head,
        body: &Rc<Body>,
        alarms: &mut Alarms,
    ) {
        let Some(client) = self.clients.get_mut(id) else { return };
        if head.expects {
            client.out.put(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let until = asked.expires_at;
        let message = Message::into_body(head, body);
        let (body, asked) = (body.clone(), Some(asked));
        client.phase = Phase::Raw(Box::new(Raw { message, body, asked, scan: None, all: false }));
        self.again.push(id);
        self.write(now, id, alarms);
        // It may take over it for as long as it would wait for the answer.
        if self.clients.contains(id) {
            self.set(id, until, alarms);
        }
    }

    /// The scan of a body that is kept, or that passes, may begin.
    pub fn begins(&mut self, id: usize, body: BodyId, alarms: &mut Alarms) -> Option<(Asked, Rc<Body>)> {
        let Some(Phase::Raw(raw)) = self.clients.get_mut(id).map(|c| &mut c.phase) else { return None };
        let asked = raw.asked.take_if(|_| raw.body.id == body)?;
        let body = raw.body.clone();
        if raw.all {
            self.clients[id].phase = Phase::Waiting;
        }
        self.calm(id, alarms);
        Some((asked, body))
    }

    /// A body that was coming in cannot be taken.
    pub fn body_lost(
        &mut self,
        now: f64,
        id: usize,
        body: BodyId,
        why: Refusal,
        wait: f64,
        alarms: &mut Alarms,
    ) {
        let client = self.clients.get(id).map(|c| &c.phase);
        if matches!(client, Some(Phase::Raw(raw)) if raw.body.id == body && raw.scan.is_none()) {
            self.calm(id, alarms);
            self.refuse(now, id, why, wait, alarms);
        }
    }

    /// Who waited for a body to go on may send on, where it has.
    pub fn unstall(&mut self) {
        for id in std::mem::take(&mut self.stalled) {
            match self.clients.get(id).map(|c| &c.phase) {
                Some(Phase::Raw(raw)) if raw.body.is_full() => self.stalled.push(id),
                Some(Phase::Raw(_)) => self.go_on(id),
                _ => {}
            }
        }
    }
}

//! What nodes send back: the ends of dispatches, in frames or as answers of the API.

use std::io;

use dunepond_routing::AttemptOutcome;
use dunepond_search_api::hits::Expected;
use dunepond_search_api::node::{Meaning, meaning};
use tracing::{debug, warn};

use super::{Back, Server, Servers};
use crate::clock::{Alarms, Due};
use crate::connection_end::Ending;
use crate::frames::{self, Said, Word};
use crate::http::{self, Message};

/// Of what cannot be read, the log shows so many bytes.
const SHOWN: usize = 48;

impl Servers {
    pub(super) fn read(&mut self, now: f64, id: usize, alarms: &mut Alarms) {
        self.read_on(now, id, None, alarms);
    }

    /// A connection has broken, as was met in writing: what had come before is read, and then it ends.
    pub(super) fn read_out(&mut self, now: f64, id: usize, broken: Ending, alarms: &mut Alarms) {
        self.read_on(now, id, Some(broken), alarms);
    }

    fn read_on(&mut self, now: f64, id: usize, broken: Option<Ending>, alarms: &mut Alarms) {
        loop {
            let link = &mut self.links[id];
            let input = link.input.get_or_insert_with(|| self.pool.take());
            let ending = match input.read_from(&*link.stream) {
                // An answer of the API that states no length ends so; but a reset that has been told once is told no more.
                Ok(0) if broken.is_none() && link.message.as_mut().is_some_and(Message::closed) => {
                    self.answers(now, id)
                }
                Ok(0) => broken.or(Some(Ending::Closed)),
                Ok(_) if link.api => self.answers(now, id),
                Ok(_) => self.frames(now, id, alarms),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => None,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && broken.is_some() => broken,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if input.is_empty() {
                        link.input = None;
                        // All of an answer has come; an idle connection's alarm stays.
                        alarms.unset(link.alarm.take_if(|key| !self.idle.contains_key(key)));
                    } else if link.carried.is_empty() {
                        // Half of a frame that nobody waits for: what comes next would be taken for its rest.
                        return self.end(now, id, Ending::Garbled, alarms);
                    } else if link.alarm.is_none() {
                        // The rest of a frame may never come: it has as long as a connection to come up.
                        let until = now + self.bounds.connect_timeout;
                        link.alarm = Some(alarms.set(until, Due::Link(id)));
                    }
                    return;
                }
                Err(e) => Some(Ending::of(&e)),
            };
            if let Some(ending) = ending {
                return self.end(now, id, ending, alarms);
            }
        }
    }

    /// Takes an answer of the API out of what has come. What it means for the part is told by `node::meaning`.
    fn answers(&mut self, now: f64, id: usize) -> Option<Ending> {
        let link = &mut self.links[id];
        let host = self.servers[link.node].name();
        let input = link.input.as_mut()?;
        if link.message.is_none() {
            match http::response(input) {
                Ok(head) => link.message = Some(Message::after(head?)),
                Err(why) => {
                    warn!("node {host}: {}", why.why);
                    return Some(Ending::Garbled);
                }
            }
        }
        let whole = link.message.as_mut()?.take(input, &self.pool);
        match whole {
            Ok(false) => return None,
            Ok(true) => {}
            Err(why) => {
                warn!("node {host}: {}", why.why);
                return Some(Ending::Garbled);
            }
        }
        let message = link.message.take()?;
        if !input.is_empty() {
            // Behind the one answer that was owed there is nothing that could be told apart from the next one's.
            return Some(Ending::Garbled);
        }
        let half = link.carried.front().is_some_and(|o| o.to.is_none_or(|to| to > link.out.written()));
        let Some(out) = link.carried.pop_front() else { return Some(Ending::Garbled) };
        let once = self.api.as_ref().is_some_and(|(_, once)| once[out.parcel.table_type]);
        let expected = Expected {
            index: &self.bounds.table_types[out.parcel.table_type],
            // What is asked for in the text whoever asked knows, and holds the value to it.
            most: usize::MAX,
            keys: None,
            untracked: true,
        };
        let (status, keep) = (message.head.status, message.head.keep);
        let (end, value) = match meaning(status, message.text(), (!once).then_some(&expected)) {
            Meaning::Found(_) | Meaning::Updated(_) => {
                (AttemptOutcome::Served, std::str::from_utf8(message.text()).ok().map(str::to_string))
            }
            Meaning::Rejected => (AttemptOutcome::Rejected, None),
            Meaning::Failed(why) => {
                debug!("node {host}: {why}");
                (AttemptOutcome::Error, None)
            }
        };
        // Answered before all of it was there, it may yet be taken for run: only a rejection says that it was not.
        let node = link.node;
        self.back.push_back(out.back(node, end, now, value));
        let link = &mut self.links[id];
        if half || !keep {
            return Some(Ending::CutShort);
        }
        if link.retired {
            return Some(Ending::Unused);
        }
        link.input = None;
        None
    }

    /// Takes the whole frames out of what has come.
    fn frames(&mut self, now: f64, id: usize, alarms: &mut Alarms) -> Option<Ending> {
        loop {
            let link = &mut self.links[id];
            let host = self.servers[link.node].name();
            let held = link.input.as_ref()?.held();
            let spoilt = |why: &str| {
                warn!("node {host}: {why}: {}", held[..held.len().min(SHOWN)].escape_ascii());
                Some(Ending::Garbled)
            };
            let (used, told) = match frames::read(held) {
                Ok(None) => return None,
                Err(why) => return spoilt(why),
                Ok(Some((Said::Complaint(words), _))) => {
                    warn!("node {host}: {}", words.escape_debug());
                    return Some(Ending::Complaint);
                }
                Ok(Some((Said::Words { .. }, _))) => return spoilt("a Q on a connection for parts"),
                Ok(Some((Said::Ended { id, word, value, report }, used))) => {
                    let at = link.carried.iter().position(|o| *o.parcel.id == *id);
                    let late = link.given_up.iter().position(|given_up| **given_up == *id);
                    // Given up, or answered before: its end has been told. Any other may belong to any part here.
                    if at.or(late).is_none() && !link.past.iter().any(|past| **past == *id) {
                        return spoilt("an E for a part that is not out");
                    }
                    if at.is_none() {
                        late.map(|late| link.given_up.swap_remove(late));
                    }
                    let (end, value) = match word {
                        Word::Hit => (AttemptOutcome::Served, Some(value.to_string())),
                        Word::Fault => (AttemptOutcome::Error, None),
                        Word::Overload => (AttemptOutcome::Rejected, None),
                    };
                    (used, at.map(|at| (at, end, value, frames::searched(report))))
                }
            };
            if let Some((at, end, value, searched)) = told
                && let Some(out) = link.take(at)
            {
                // Refused before all of it was there, it never ran; the rest of its frame has nowhere to go.
                let half = out.to.is_none_or(|to| to > link.out.written());
                if half && end != AttemptOutcome::Rejected {
                    link.carried.push_front(out);
                    return spoilt_half(&self.servers[link.node]);
                }
                self.back.push_back(Back { searched, ..out.back(link.node, end, now, value) });
                if half {
                    return Some(Ending::CutShort);
                }
            }
            let link = &mut self.links[id];
            link.input.as_mut()?.consume(used);
            // The next one has its own time.
            alarms.unset(link.alarm.take_if(|key| !self.idle.contains_key(key)));
        }
    }
}

fn spoilt_half(server: &Server) -> Option<Ending> {
    warn!("node {}: an E before its frame was whole", server.name());
    Some(Ending::Garbled)
}

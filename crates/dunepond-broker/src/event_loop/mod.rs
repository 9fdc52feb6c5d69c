//! The broker at work: hands what the loop and the clock bring to the module, one call at a time.

mod background;
mod disconnects;
mod reload;
mod shutdown;
mod startup;

use dunepond_body_buffer::{BodyId, Done};
use dunepond_config::operator::Operator;
use dunepond_routing::{NOTICEABLE_PAUSE_SECONDS, Query, QueryId, Router, Shutdown, ShutdownStage};
use tracing::{info, warn};

use crate::background::Background;
use crate::body_store::Event;
use crate::clock::{Clock, Due};
use crate::config_reload::Rereader;
use crate::control_plane::Fleet;
use crate::discovery::{DiscoveryClient, News};
use crate::downstream::Came;
use crate::iteration::Ready;
use crate::persistence::Keeping;
use crate::prefilter::Asking;
use crate::router::Desk;
pub use startup::{Hooks, serve};

/// All that a turn of the loop works on.
struct World {
    clock: Clock,
    broker: Router,
    desk: Desk,
    discovery: DiscoveryClient,
    /// Two-phase scans; nothing where the operator's file does not ask for them.
    asking: Option<Asking>,
    background: Background,
    /// What outlasts the process; nothing where the operator's file does not ask for it.
    keeping: Option<Keeping>,
    /// An audit waits for its turn.
    audit: bool,
    rereader: Rereader,
    operator: Operator,
    /// The list of the configuration, until discovery speaks or has been silent for too long.
    known: Option<News>,
    /// When this turn of the loop began, and the one before it: what a turn finds came after that.
    this_turn: f64,
    turn_before: f64,
    /// The longest query timeout, or a shorter one that a configuration read since has told.
    longest_timeout: f64,
    shutdown: Option<Shutdown>,
    /// The last stage of it that was taken.
    stage: ShutdownStage,
    over: bool,
}

impl World {
    /// The clock stands still during a call.
    fn tick(&mut self) -> f64 {
        self.desk.now = self.clock.now();
        let apart = (self.this_turn - self.turn_before).max(self.desk.now - self.this_turn);
        self.desk.clients.came_since = (apart > NOTICEABLE_PAUSE_SECONDS).then_some(self.turn_before);
        self.look_at_fleet();
        self.desk.now
    }

    /// The loop has come round with something to do, or to look for signals.
    fn begin_turn(&mut self) {
        self.turn_before = std::mem::replace(&mut self.this_turn, self.clock.now());
        let now = self.tick();
        let apart = now - self.turn_before;
        if apart > NOTICEABLE_PAUSE_SECONDS {
            warn!("stood still for {apart:.3} s");
        }
        self.advance_shutdown();
    }

    /// Each act begins with what is agreed on at that moment.
    fn look_at_fleet(&mut self) {
        if let Some(fleet) = &mut self.desk.fleet {
            fleet.needs(|seconds| self.broker.quota_demand(seconds));
            if let Some(limits) = fleet.limited() {
                self.broker.set_quota_shares(limits);
            }
        }
        let Some(changed) = self.desk.fleet.as_mut().and_then(Fleet::changed) else { return };
        // With each new lease, so that the next question tells it.
        self.desk.fleet.iter().for_each(|fleet| fleet.press(self.broker.is_overloaded()));
        if let Some(rules) = changed.rules {
            self.broker.set_rules(&rules);
        }
        if !changed.rows.is_empty() {
            self.take_rows(News { whole: false, rows: changed.rows });
        }
    }

    /// One of the things that the loop has told of.
    fn turn(&mut self, ready: Ready) {
        match ready {
            Ready::Accept(api) => self.accept(api),
            Ready::Client(id, readable) => self.client_ready(id, readable),
            Ready::Link(id, readable) => self.link_ready(id, readable),
            Ready::Question(id, readable) => self.question_ready(id, readable),
            Ready::Discovery(readable) => self.discovery_ready(readable),
            Ready::Disk(done) => self.disk(done),
            Ready::Work(finished) => self.work_ended(finished),
            Ready::Fleet => {
                self.tick();
                self.settle();
            }
            Ready::Reread => self.told_to_reread(),
            Ready::Configuration(configuration) => self.reread(*configuration),
            Ready::End => self.told_to_end(),
        }
    }

    fn accept(&mut self, api: bool) {
        let now = self.tick();
        self.desk.clients.accept(now, api, &mut self.desk.alarms);
        self.settle();
    }

    /// Nobody was taken in for a while: who waits at the listeners is looked for at once, so that it is known who of those
    /// that come has waited.
    fn take_in_waiting(&mut self) {
        self.desk.clients.resume();
        for api in [false, true] {
            self.desk.clients.accept(self.desk.now, api, &mut self.desk.alarms);
        }
    }

    fn client_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        self.desk.clients.ready(now, id, readable, &mut self.desk.alarms);
        self.desk.clients.again.push(id);
        self.settle();
    }

    fn link_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        for scan in self.desk.servers.unsent(id) {
            self.desk.look_after(scan);
        }
        self.let_go();
        self.desk.servers.ready(now, id, readable, &mut self.desk.alarms);
        self.settle();
    }

    fn question_ready(&mut self, id: usize, readable: bool) {
        let now = self.tick();
        if let Some(questions) = &mut self.desk.questions {
            questions.ready(now, id, readable, &mut self.desk.alarms);
        }
        self.settle();
    }

    fn discovery_ready(&mut self, readable: bool) {
        let now = self.tick();
        for news in self.discovery.ready(now, readable, &mut self.desk.alarms) {
            if self.known.take().is_some() {
                self.take_in_waiting();
            }
            self.listed(news);
        }
        self.settle();
    }

    /// Makes a call to discovery after all that found no descriptor: a list that is not asked for counts as told too.
    fn call_discovery(&mut self) {
        if std::mem::take(&mut self.discovery.short) && self.desk.make_room() {
            self.discovery.call(self.desk.now, &mut self.desk.alarms);
        }
    }

    fn disk(&mut self, done: Done) {
        let now = self.tick();
        if let Some(bodies) = &mut self.desk.bodies {
            bodies.done(now, done);
        }
        self.settle();
    }

    fn listed(&mut self, mut news: News) {
        if let Some(fleet) = &mut self.desk.fleet {
            news.rows = fleet.listed(self.desk.now, news.whole, news.rows, |zone| self.discovery.zone(zone));
        }
        self.take_rows(news);
    }

    fn take_rows(&mut self, news: News) {
        let now = self.desk.now;
        let mut listed = Vec::with_capacity(news.rows.len());
        if news.whole {
            let named = news.rows.iter().map(|row| row.0.node).collect();
            self.desk.servers.listed_anew(self.desk.now, &named, &mut self.desk.alarms);
        }
        for (row, listing) in news.rows {
            self.desk.servers.listed(now, row.node, listing, &mut self.desk.alarms);
            listed.push(row);
        }
        for (node, replaced) in std::mem::take(&mut self.desk.servers.changed) {
            if let Some(questions) = &mut self.desk.questions {
                questions.leave(node, &mut self.desk.alarms);
            }
            if let Some(asking) = self.asking.as_mut().filter(|_| replaced) {
                asking.forget(node);
            }
        }
        self.desk.clients.may_serve = self.desk.servers.any_active();
        self.broker.update_endpoints(&mut self.desk, news.whole, &listed);
        if let Some(keeping) = &mut self.keeping {
            keeping.believe(now, &mut self.broker, &mut self.desk);
        }
    }

    /// Carries on until nothing is left to tell: requests that have been read, orders to be written, and
    /// ends that came while the module was in a call, as its calls never nest.
    fn settle(&mut self) {
        loop {
            let now = self.desk.now;
            self.let_go();
            self.desk.flush();
            self.desk.feed();
            if let Some((node, key)) = self.desk.servers.framed.pop_front() {
                self.broker.on_frame_written(&mut self.desk, node, key);
            } else if let Some(back) = self.desk.servers.back.pop_front() {
                let scan = back.ended.query;
                if let Some(asking) = &mut self.asking {
                    asking.returned(&mut self.broker, &mut self.desk, &back);
                }
                if let Some(ended) = self.desk.book(back) {
                    self.broker.on_attempt_ended(&mut self.desk, ended);
                    self.desk.relax(scan, |scan| self.broker.needs_body(scan));
                    self.desk.release(scan);
                }
            } else if let Some(client) = self.desk.clients.again.pop() {
                match self.desk.clients.next(now, client, &mut self.desk.alarms) {
                    Came::Scan(asked) => {
                        if let Some(scan) = self.desk.take(client, asked) {
                            self.begin(scan);
                        }
                    }
                    Came::Api(request) => {
                        for scan in self.desk.request(client, &request) {
                            self.begin(scan);
                        }
                    }
                    Came::Opens(asked, head) => self.desk.open(client, asked, *head),
                    Came::Left(Some(scan)) => self.client_left(scan),
                    Came::Left(None) | Came::Nothing => {}
                }
            } else if let Some((body, event)) = self.desk.bodies.as_mut().and_then(|b| b.events.pop_front()) {
                self.body(body, event);
            } else if let Some((question, words)) =
                self.desk.questions.as_mut().and_then(|q| q.told.pop_front())
            {
                if let Some(asking) = &mut self.asking {
                    asking.told(&mut self.broker, &mut self.desk, question, words);
                }
            } else if let Some((scan, answered)) = self.desk.concluded.pop() {
                self.asking.as_mut().into_iter().for_each(|asking| asking.over(now, scan, answered));
            } else if let Some((node, host)) = self.desk.servers.forgotten() {
                self.broker.remove_node(node);
                self.desk.fleet.as_mut().into_iter().for_each(|fleet| fleet.forget(node, &host));
                self.asking.as_mut().into_iter().for_each(|asking| asking.forget(node));
                self.discovery.forget(node, &host);
            } else {
                return;
            }
        }
    }

    fn begin(&mut self, mut scan: Query) {
        if !self.desk.admit(&mut scan) {
            return;
        }
        match &mut self.asking {
            Some(asking) => asking.begin(&mut self.broker, &mut self.desk, scan),
            None => self.broker.on_query(&mut self.desk, scan),
        }
    }

    /// All that this turn of the loop has brought has been told.
    fn turn_over(&mut self, calm: bool) {
        if let Some(asking) = &mut self.asking {
            asking.turn_over(&mut self.broker, &mut self.desk);
            self.settle();
        }
        self.work(calm);
    }

    /// What has become of a body.
    fn body(&mut self, body: BodyId, event: Event) {
        let note = match event {
            Event::Kept => None,
            Event::Passes(why) => Some(why),
            Event::Lost(why) => {
                if let Some(scan) = self.desk.lost(body, why) {
                    self.broker.on_body_discarded(&mut self.desk, scan);
                }
                let now = self.desk.now;
                return self.desk.servers.cut_lost(now, &mut self.desk.alarms);
            }
        };
        if let Some((scan, body)) = self.desk.begin(body, note) {
            let (id, mut scan) = (scan.id, scan);
            if self.desk.admit(&mut scan) {
                self.broker.on_query(&mut self.desk, scan);
            }
            body.begin();
            self.desk.relax(id, |scan| self.broker.needs_body(scan));
        }
    }

    /// A scan's time is up.
    fn scan_ends(&mut self, scan: QueryId) {
        if self.desk.scan_ends(scan) {
            self.settle();
            self.desk.overdue(scan);
            self.broker.on_client_disconnect(&mut self.desk, scan);
        }
    }

    /// Does what has come due.
    fn ring(&mut self) {
        let now = self.tick();
        while let Some(due) = self.desk.alarms.take_due(now) {
            match due {
                Due::Wake => self.broker.on_wake(&mut self.desk),
                Due::ScanEnds(scan) => self.scan_ends(scan),
                Due::Question(id) => {
                    if let Some(questions) = &mut self.desk.questions {
                        questions.due(id, &mut self.desk.alarms);
                    }
                }
                Due::Asking => {
                    if let Some(asking) = &mut self.asking {
                        asking.due(&mut self.broker, &mut self.desk);
                    }
                }
                Due::Snapshot => {
                    if let Some(keeping) = &mut self.keeping {
                        keeping.due(now, &mut self.background);
                        self.desk.alarms.set(now + keeping.every(), Due::Snapshot);
                    }
                }
                Due::Work => self.background.rung(),
                Due::Link(id) => self.desk.servers.due(now, id, &mut self.desk.alarms),
                Due::ClientSlow(id) => {
                    // What it has sent may be behind this in the same turn.
                    let time = self.desk.clients.hear_out(id);
                    self.settle();
                    if self.desk.clients.is_still_slow(id, time)
                        && let Some(scan) = self.desk.clients.slow(now, id, &mut self.desk.alarms)
                    {
                        self.client_left(scan);
                    }
                }
                Due::ClientMore(id) => self.desk.clients.go_on(id),
                Due::Discovery => {
                    self.discovery.due(now, &mut self.desk.alarms);
                    self.call_discovery();
                }
                Due::Accept => {
                    self.take_in_waiting();
                    self.make_room_to_end();
                }
                Due::FirstList => {
                    if let Some(known) = self.known.take() {
                        info!("discovery is silent; the configuration's list is in force until it speaks");
                        self.listed(known);
                        self.take_in_waiting();
                    }
                }
                Due::Drain => self.drain(),
                Due::Bodies => self.desk.look_over(),
                Due::Counters => self.report(),
            }
            self.settle();
        }
    }
}

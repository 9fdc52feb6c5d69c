//! Our asks: to each peer so many at a time, over connections that are kept and re-opened by `hyper-util`'s client, each with its
//! deadline, none to a peer that rests.

use crate::core::Sign;
use crate::counters::add;
use crate::error::{PeerError, RefusalReason};
use crate::host::Inside;
use crate::rests::Rests;
use crate::wire::{About, Envelope, Head, Span, unframe};
use crate::words::{Event, RequestKind};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Heads of answers are some hundred bytes.
const HEAD_BYTES: usize = 16 << 10;
/// Our idle connections go before the other side ends them.
const IDLE_SHARE: f64 = 0.5;
/// What frames add to a body, at most.
pub(crate) const FRAME_BYTES: usize = 1024;
pub(crate) const TYPE: &str = "application/x-dunepond-peers";

/// One ask, taken.
pub(crate) struct Order {
    pub id: u64,
    pub to: String,
    pub kind: RequestKind,
    pub body: Vec<u8>,
    pub within: f64,
    pub until: Instant,
}

/// An answer that is believed to be `at`'s, with the room it takes.
pub(crate) struct Whole {
    pub said: Envelope,
    pub head: Head,
    pub load: Vec<u8>,
    pub at: SocketAddr,
    room: OwnedSemaphorePermit,
}

/// Who was asked for a sign of life, and what it gave.
pub(crate) type SignEnd = (String, Option<Whole>);

struct Link {
    out: usize,
    permits: Arc<Semaphore>,
    rests: Rests,
}

pub(crate) struct Links {
    inside: Rc<Inside>,
    client: Client<HttpConnector, Full<Bytes>>,
    links: RefCell<BTreeMap<String, Link>>,
}

impl Links {
    pub fn new(inside: Rc<Inside>) -> Links {
        let pace = &inside.told.timing;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs_f64(pace.connect_timeout_seconds)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs_f64(pace.idle_timeout_seconds * IDLE_SHARE))
            .pool_max_idle_per_host(inside.told.limits.max_connections_per_peer)
            .http1_max_buf_size(HEAD_BYTES)
            .build(connector);
        Links { inside, client, links: RefCell::default() }
    }

    /// Carries the ask out beside all others; its one end comes through the outbox.
    pub fn start(self: &Rc<Self>, order: Order) {
        let links = self.clone();
        tokio::task::spawn_local(async move {
            let asked = order.body.len();
            let late = || PeerError::Late { to: order.to.clone(), within: order.within };
            let until = tokio::time::Instant::from_std(order.until);
            let end = match tokio::time::timeout_at(until, links.queued(&order)).await {
                Ok(end) => end,
                Err(_) => Err(late()),
            };
            let (body, room) = match end {
                Ok((body, room)) => (Ok(body), Some(room)),
                Err(fault) => (Err(fault), None),
            };
            links.inside.common.tally.ended(&body);
            let event = Event::Response { id: order.id, to: order.to, result: body };
            links.inside.outbox.borrow_mut().answer(event, room, asked);
        });
    }

    /// Asks for a sign of life, beside all other asks: neither rests nor connections in use hold it up, and it is one a peer. Its one
    /// end comes through `ends`.
    pub fn sign(self: &Rc<Self>, sign: Sign, ends: mpsc::UnboundedSender<SignEnd>) {
        let links = self.clone();
        let tally = &self.inside.common.tally;
        add(&tally.signs);
        let id = tally.signs.load(Relaxed) | 1 << 63;
        tokio::task::spawn_local(async move {
            let within = Duration::from_secs_f64(sign.within);
            let until = Instant::now() + within;
            let order = Order {
                id,
                to: sign.to,
                kind: RequestKind::LivenessCheck,
                body: sign.body,
                within: sign.within,
                until,
            };
            let end = tokio::time::timeout(within, links.carry(&order)).await;
            let _ = ends.send((order.to, end.ok().and_then(Result::ok)));
        });
    }

    /// Waits for one of the peer's connections to be free.
    async fn queued(&self, order: &Order) -> Result<(Vec<u8>, OwnedSemaphorePermit), PeerError> {
        let most = self.inside.told.limits.max_requests_per_peer;
        let permits = self.with(&order.to, |link| {
            (link.out < most).then(|| {
                link.out += 1;
                link.permits.clone()
            })
        });
        let Some(permits) = permits else {
            return Err(PeerError::Busy { to: order.to.clone(), most });
        };
        let _out = Out { links: self, to: &order.to };
        self.rested(order)?;
        let stopped = |_| PeerError::Stopped;
        let _one = permits.acquire().await.map_err(stopped)?;
        // Those in front may have found that nobody is there.
        self.rested(order)?;
        let end = self.carry(order).await.map(|whole| (whole.load, whole.room));
        let now = self.inside.now();
        self.with(&order.to, |link| match &end {
            Err(PeerError::Unreachable { .. } | PeerError::Broken { .. }) => link.rests.failed(now),
            // Any answer is a sign of life, a refusal too.
            Ok(_) | Err(PeerError::Refused { .. }) => link.rests.worked(),
            Err(_) => {}
        });
        end
    }

    fn rested(&self, order: &Order) -> Result<(), PeerError> {
        let now = self.inside.now();
        match self.with(&order.to, |link| link.rests.left(now)) {
            wait if wait > 0.0 => Err(PeerError::Resting { to: order.to.clone(), wait }),
            _ => Ok(()),
        }
    }

    /// Carries it; once more if it was refused for want of a pass that came to us while it was under way. Who refuses has not acted.
    async fn carry(&self, order: &Order) -> Result<Whole, PeerError> {
        let pass = || self.inside.core.borrow().pass(&order.to);
        let had = pass();
        match self.carry_once(order).await {
            Err(PeerError::Refused {
                why: RefusalReason::UnverifiedSender { .. } | RefusalReason::Pass,
                ..
            }) if pass() != had => self.carry_once(order).await,
            // It was overtaken by too many.
            Err(PeerError::Refused { why: RefusalReason::Old, .. }) => self.carry_once(order).await,
            Err(PeerError::Refused { to, why }) => match self.versions(&to, &why) {
                true => self.carry_once(order).await,
                false => Err(PeerError::Refused { to, why }),
            },
            end => end,
        }
    }

    /// Whether a refusal says which versions are spoken, and one is ours that we did not speak.
    fn versions(&self, to: &str, why: &RefusalReason) -> bool {
        let speaks = match why {
            RefusalReason::Version { ours, .. } => Span::only(*ours),
            RefusalReason::Versions { ours, .. } => *ours,
            _ => return false,
        };
        self.inside.core.borrow_mut().refused_version(to, speaks)
    }

    async fn carry_once(&self, order: &Order) -> Result<Whole, PeerError> {
        let to = || order.to.clone();
        let left = order.until.saturating_duration_since(Instant::now()).as_millis();
        let within_ms = u32::try_from(left).unwrap_or(u32::MAX);
        let (at, seal, speaks, bytes) = {
            let mut core = self.inside.core.borrow_mut();
            let at = core.address(&order.to).ok_or_else(|| PeerError::Unknown { to: to() })?;
            let about = About::Ask { id: order.id, kind: order.kind.into(), within_ms };
            let (head, version) = (core.head(&order.to, about), core.version_to(&order.to));
            if version < order.kind.since() {
                return Err(PeerError::Kind { to: to(), path: order.kind.path(), version });
            }
            let bytes = core.framed(version, &head, &order.body);
            (at, core.seal().clone(), core.speaks(), bytes)
        };
        let request = hyper::Request::post(format!("http://{at}{}", order.kind.path()))
            .header(CONTENT_TYPE, TYPE)
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|_| PeerError::Unknown { to: to() })?;
        let answer = self.client.request(request).await.map_err(|fault| match fault.is_connect() {
            true => PeerError::Unreachable { to: to(), at, why: cause(&fault) },
            false => PeerError::Broken { to: to() },
        })?;
        let most = self.inside.told.limits.max_body_bytes;
        let body = answer.into_body();
        // Every broker states the length; what does not is no broker.
        let size = body.size_hint().exact().ok_or_else(|| PeerError::Garbled { from: to() })?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > most + FRAME_BYTES {
            return Err(PeerError::TooLarge { to: to(), bytes: size, most });
        }
        let room = self.inside.room_for(size).ok_or_else(|| PeerError::Busy { to: to(), most })?;
        let whole = Limited::new(body, most + FRAME_BYTES).collect().await;
        let bytes = whole.map_err(|_| PeerError::Broken { to: to() })?.to_bytes();
        let (said, head, load) = unframe(&bytes, &seal, &order.to, speaks)?;
        match &head.about {
            About::Answer { .. } if head.from.name != order.to => {
                Err(PeerError::Claimed { from: order.to.clone(), name: head.from.name })
            }
            About::Answer { id } if *id == order.id && head.to == self.inside.told.name => {
                let load = load.to_vec();
                Ok(Whole { said, head, load, room, at })
            }
            // A refusal may come from another: the address may be that of the wrong broker.
            About::Refused { id } if *id == order.id || *id == 0 => {
                let why = postcard::from_bytes(load).map_err(|_| PeerError::Garbled { from: to() })?;
                if why == RefusalReason::Pass && head.from.name == order.to {
                    self.inside.core.borrow_mut().pass_came(&said, &head, at);
                }
                Err(PeerError::Refused { to: to(), why })
            }
            _ => Err(PeerError::Garbled { from: to() }),
        }
    }

    fn with<T>(&self, name: &str, act: impl FnOnce(&mut Link) -> T) -> T {
        let mut links = self.links.borrow_mut();
        if !links.contains_key(name) {
            // As many as there are addresses; those of names that have gone for good go when a new one comes.
            let core = self.inside.core.borrow();
            links.retain(|name, link| link.out > 0 || core.address(name).is_some());
            let (bounds, pace) = (&self.inside.told.limits, &self.inside.told.timing);
            let seed = self.inside.told.seed ^ u64::from_le_bytes(first(name));
            let rests = Rests::new(pace.initial_backoff_seconds, pace.max_backoff_seconds, seed);
            let permits = Arc::new(Semaphore::new(bounds.max_connections_per_peer));
            links.insert(name.into(), Link { out: 0, permits, rests });
        }
        act(links.get_mut(name).expect("put in above, if it was not there"))
    }
}

/// Eight bytes that differ between names.
fn first(name: &str) -> [u8; 8] {
    blake3::hash(name.as_bytes()).as_bytes()[..8].try_into().expect("eight of thirty-two")
}

/// The innermost reason: what the system said.
fn cause(fault: &dyn std::error::Error) -> String {
    let mut fault = fault;
    while let Some(inner) = fault.source() {
        fault = inner;
    }
    fault.to_string()
}

/// One ask to a peer that has not ended, however it ends.
struct Out<'a> {
    links: &'a Links,
    to: &'a str,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.links.with(self.to, |link| link.out = link.out.saturating_sub(1));
    }
}

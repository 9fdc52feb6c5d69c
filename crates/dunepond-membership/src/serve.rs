//! Asks of others: connections in, requests judged, handed to the caller, answered.

use crate::counters::add;
use crate::error::{PeerError, RefusalReason};
use crate::host::{Inside, carry_out};
use crate::links::{FRAME_BYTES, TYPE};
use crate::wire::{About, unframe};
use crate::words::{RequestKind, Responder};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio_io_timeout::TimeoutStream;

const HEAD_BYTES: usize = 16 << 10;
/// Rest after an accept that failed for want of descriptors.
const NO_DESCRIPTOR: Duration = Duration::from_millis(50);

/// A connection from another: whether it has brought anything believable, and how it is told to end.
struct Guest {
    proven: Cell<bool>,
    leave: Notify,
}

struct Door {
    inside: Rc<Inside>,
    guests: RefCell<BTreeMap<u64, Rc<Guest>>>,
    /// Asks in the caller's hands, by name.
    asked: RefCell<BTreeMap<String, usize>>,
}

pub(crate) async fn accept(listener: TcpListener, inside: Rc<Inside>) {
    let door = Rc::new(Door { inside, guests: RefCell::default(), asked: RefCell::default() });
    for number in 0.. {
        let (stream, source) = match listener.accept().await {
            Ok(came) => came,
            Err(_) => {
                tokio::time::sleep(NO_DESCRIPTOR).await;
                continue;
            }
        };
        add(&door.inside.common.tally.connections_in);
        if !door.room() {
            add(&door.inside.common.tally.connections_refused);
            continue;
        }
        let guest = Rc::new(Guest { proven: Cell::new(false), leave: Notify::new() });
        door.guests.borrow_mut().insert(number, guest.clone());
        let door = door.clone();
        tokio::task::spawn_local(async move {
            door.host(stream, source, guest).await;
            door.guests.borrow_mut().remove(&number);
        });
    }
}

impl Door {
    /// At the bound, the oldest that has brought nothing believable makes room.
    fn room(&self) -> bool {
        let mut guests = self.guests.borrow_mut();
        if guests.len() < self.inside.told.limits.max_incoming_connections {
            return true;
        }
        let Some(number) = guests.iter().find(|(_, guest)| !guest.proven.get()).map(|(number, _)| *number)
        else {
            return false;
        };
        add(&self.inside.common.tally.connections_refused);
        guests.remove(&number).is_some_and(|guest| {
            guest.leave.notify_one();
            true
        })
    }

    async fn host(self: &Rc<Self>, stream: TcpStream, source: SocketAddr, guest: Rc<Guest>) {
        let pace = &self.inside.told.timing;
        let _ = stream.set_nodelay(true);
        let mut stream = TimeoutStream::new(stream);
        // Who asks and does not read the answer holds it in our memory.
        stream.set_write_timeout(Some(Duration::from_secs_f64(pace.transfer_timeout_seconds)));
        let serve = service_fn(|request| {
            let (door, guest) = (self.clone(), guest.clone());
            async move { Ok::<_, Infallible>(door.request(request, source, &guest).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_secs_f64(pace.idle_timeout_seconds))
            .max_buf_size(HEAD_BYTES)
            .serve_connection(TokioIo::new(Box::pin(stream)), serve);
        let unproven = async {
            tokio::time::sleep(Duration::from_secs_f64(pace.first_request_timeout_seconds)).await;
            if guest.proven.get() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            _ = connection => {}
            () = guest.leave.notified() => {}
            () = unproven => add(&self.inside.common.tally.connections_refused),
        }
    }

    async fn request(
        self: &Rc<Self>,
        request: Request<Incoming>,
        source: SocketAddr,
        guest: &Guest,
    ) -> Response<Full<Bytes>> {
        let mut asker = Asker::default();
        match self.judged(request, source, guest, &mut asker).await {
            Ok(body) => self.reply(&asker, Ok(body)),
            Err(fault) => {
                let tally = &self.inside.common.tally;
                let why = fault.refusal(&self.inside.told.name).unwrap_or(RefusalReason::Dropped);
                match &fault {
                    PeerError::Refused { why: RefusalReason::Busy, .. } | PeerError::Busy { .. } => {
                        add(&tally.asked_busy)
                    }
                    PeerError::Refused { .. } | PeerError::Late { .. } => {}
                    fault => self.inside.disbelieve(fault),
                }
                self.reply(&asker, Err(why))
            }
        }
    }

    async fn judged(
        self: &Rc<Self>,
        request: Request<Incoming>,
        source: SocketAddr,
        guest: &Guest,
        asker: &mut Asker,
    ) -> Result<Vec<u8>, PeerError> {
        let from = source.to_string();
        let garbled = || PeerError::Garbled { from: source.to_string() };
        let (me, bounds) = (&self.inside.told.name, &self.inside.told.limits);
        if request.method() != Method::POST {
            return Err(garbled());
        }
        let path = request.uri().path().to_string();
        let body = request.into_body();
        // The length is stated, so that its room can be had before it is read.
        let size = body.size_hint().exact().ok_or_else(garbled)?;
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > bounds.max_body_bytes + FRAME_BYTES {
            return Err(PeerError::TooLarge { to: me.clone(), bytes: size, most: bounds.max_body_bytes });
        }
        let busy = |most| PeerError::Busy { to: me.clone(), most };
        let _room = self.inside.room_for(size).ok_or_else(|| busy(bounds.max_receive_bytes))?;
        let whole = Limited::new(body, bounds.max_body_bytes + FRAME_BYTES).collect();
        let step = self.inside.told.timing.transfer_timeout_seconds;
        let late = |_| PeerError::Late { to: me.clone(), within: step };
        let bytes = tokio::time::timeout(Duration::from_secs_f64(step), whole)
            .await
            .map_err(late)?
            .map_err(|_| garbled())?
            .to_bytes();

        let (seal, speaks) = {
            let core = self.inside.core.borrow();
            asker.version = core.answer_in(&bytes);
            (core.seal().clone(), core.speaks())
        };
        let (said, head, load) = unframe(&bytes, &seal, &from, speaks)?;
        let About::Ask { id, kind: code, within_ms } = head.about else { return Err(garbled()) };
        if code.kind() != RequestKind::of_path(&path) {
            return Err(garbled());
        }
        (asker.name, asker.id) = (head.from.name.clone(), id);
        self.inside.core.borrow_mut().believes(self.inside.now(), &said, &head, source)?;
        guest.proven.set(true);
        if head.to != *me {
            return Err(PeerError::NotUs { to: head.to });
        }
        // Who is newer may ask what we do not know, and does without.
        let unknown = RefusalReason::Kind { kind: code.0 };
        let kind = code.kind().filter(|kind| kind.since() <= speaks.most);
        let kind = kind.ok_or_else(|| PeerError::Refused { to: me.clone(), why: unknown })?;
        if kind == RequestKind::LivenessCheck {
            let (answer, orders) = self.inside.core.borrow_mut().sign_asked(&head, load)?;
            carry_out(&self.inside, orders);
            add(&self.inside.common.tally.signs_given);
            return Ok(answer);
        }
        let _asked = self.count(&head.from.name).ok_or_else(|| busy(bounds.max_pending_requests))?;
        let (send, answered) = oneshot::channel();
        let refused = |why| PeerError::Refused { to: me.clone(), why };
        let load = load.to_vec();
        drop(bytes);
        self.inside
            .outbox
            .borrow_mut()
            .asked(head.from.name, kind, load, Responder(send))
            .map_err(refused)?;
        add(&self.inside.common.tally.asked);
        let within = (f64::from(within_ms) / 1e3).min(self.inside.told.timing.max_request_timeout_seconds);
        match tokio::time::timeout(Duration::from_secs_f64(within), answered).await {
            Ok(Ok(answer)) => answer.map_err(refused),
            Ok(Err(_)) => Err(refused(RefusalReason::Dropped)),
            Err(_) => Err(PeerError::Late { to: me.clone(), within }),
        }
    }

    /// Takes a place among those asked, if there is one.
    fn count(self: &Rc<Self>, name: &str) -> Option<Asked> {
        let bounds = &self.inside.told.limits;
        let mut asked = self.asked.borrow_mut();
        let all: usize = asked.values().sum();
        let one = asked.get(name).copied().unwrap_or(0);
        (all < bounds.max_pending_requests && one < bounds.max_pending_requests_per_peer).then(|| {
            asked.insert(name.into(), one + 1);
            Asked { door: self.clone(), name: name.into() }
        })
    }

    fn reply(&self, asker: &Asker, answer: Result<Vec<u8>, RefusalReason>) -> Response<Full<Bytes>> {
        let pass = matches!(answer, Err(RefusalReason::Pass));
        let (about, load, status) = match answer {
            Ok(body) => (About::Answer { id: asker.id }, body, StatusCode::OK),
            Err(why) => {
                let why = why.spoken_in(asker.version);
                let load = postcard::to_stdvec(&why).unwrap_or_default();
                (About::Refused { id: asker.id }, load, status(&why))
            }
        };
        let bytes = {
            let mut core = self.inside.core.borrow_mut();
            let (mut head, most) = (core.head(&asker.name, about), core.speaks().most);
            head.gives = if pass { core.gives(&asker.name) } else { 0 };
            core.framed(if asker.version == 0 { most } else { asker.version }, &head, &load)
        };
        let mut response = Response::new(Full::new(Bytes::from(bytes)));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(TYPE));
        // Who is not believed, or whose body was not read, has this connection no longer.
        if !status.is_success() && !status.is_server_error() {
            response.headers_mut().insert(CONNECTION, hyper::header::HeaderValue::from_static("close"));
        }
        response
    }
}

/// Whom the answer names; nobody, as long as the head has not been read.
#[derive(Default)]
struct Asker {
    name: String,
    id: u64,
    /// In which it is answered; 0 as long as nothing has been read.
    version: u8,
}

struct Asked {
    door: Rc<Door>,
    name: String,
}

impl Drop for Asked {
    fn drop(&mut self) {
        let mut asked = self.door.asked.borrow_mut();
        if let Some(count) = asked.get_mut(&self.name) {
            *count -= 1;
            if *count == 0 {
                asked.remove(&self.name);
            }
        }
    }
}

fn status(why: &RefusalReason) -> StatusCode {
    match why {
        RefusalReason::Busy => StatusCode::SERVICE_UNAVAILABLE,
        RefusalReason::Late | RefusalReason::Dropped => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::Declined(_) => StatusCode::INTERNAL_SERVER_ERROR,
        RefusalReason::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::Version { .. } | RefusalReason::Versions { .. } => StatusCode::UPGRADE_REQUIRED,
        RefusalReason::Kind { .. } => StatusCode::NOT_IMPLEMENTED,
        RefusalReason::UnverifiedSender { .. } | RefusalReason::Seal => StatusCode::FORBIDDEN,
        RefusalReason::Stale { .. } | RefusalReason::Old => StatusCode::CONFLICT,
        RefusalReason::Pass => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::Malformed => StatusCode::BAD_REQUEST,
        RefusalReason::NotMe { .. } => StatusCode::MISDIRECTED_REQUEST,
        RefusalReason::Flood | RefusalReason::Full => StatusCode::TOO_MANY_REQUESTS,
    }
}

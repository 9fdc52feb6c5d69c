//! The server for peers' requests. The number of connections is limited, and a connection that delivers no verified
//! request in time is closed.

mod request;
mod response;

use crate::context::Context;
use crate::counters::increment;
use crate::http::MAX_HEAD_BYTES;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_io_timeout::TimeoutStream;

/// Pause after a failed attempt to accept a connection. The process then has no free file descriptors, and another
/// attempt at once would fail too.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// A connection from a peer.
struct Connection {
    /// Whether the connection has delivered a verified request.
    verified: Cell<bool>,
    /// Notified when the connection must close to make room for another one.
    close: Notify,
}

/// The connections from peers, and their pending requests.
pub(crate) struct Server {
    context: Rc<Context>,
    /// Open connections by number, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<Connection>>>,
    /// Number of requests that were passed to the caller (the code that uses this crate) and that it has not answered
    /// yet, by the name of the peer that sent them.
    pending: RefCell<BTreeMap<String, usize>>,
}

/// Accepts connections until the task is aborted.
pub(crate) async fn accept(listener: TcpListener, context: Rc<Context>) {
    let server = Rc::new(Server { context, connections: RefCell::default(), pending: RefCell::default() });
    let counters = &server.context.shared.counters;
    for number in 0.. {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                continue;
            }
        };
        increment(&counters.connections_in);
        if !server.make_room() {
            increment(&counters.connections_refused);
            continue;
        }
        let connection = Rc::new(Connection { verified: Cell::new(false), close: Notify::new() });
        server.connections.borrow_mut().insert(number, connection.clone());
        let server = server.clone();
        tokio::task::spawn_local(async move {
            server.serve(stream, source, connection).await;
            server.connections.borrow_mut().remove(&number);
        });
    }
}

/// Shuts down the write side of a connection that has its last response, and discards what the peer still sends until it closes
/// its side. A peer that is still sending a refused request reads the refusal only afterwards, and a close before that would
/// reset the connection.
async fn linger(stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) -> std::io::Result<()> {
    stream.shutdown().await?;
    tokio::io::copy(stream, &mut tokio::io::sink()).await?;
    Ok(())
}

impl Server {
    /// Returns whether one more connection can be accepted. At the limit, the oldest connection without a verified
    /// request is closed to make room, so that unverified senders cannot use up the room for peers.
    fn make_room(&self) -> bool {
        let mut connections = self.connections.borrow_mut();
        if connections.len() < self.context.options.limits.max_incoming_connections {
            return true;
        }
        let Some(oldest) =
            connections.iter().find(|(_, connection)| !connection.verified.get()).map(|(number, _)| *number)
        else {
            return false;
        };
        increment(&self.context.shared.counters.connections_refused);
        connections.remove(&oldest).is_some_and(|connection| {
            connection.close.notify_one();
            true
        })
    }

    /// Serves requests on a connection until the connection ends, must close to make room, or has delivered no verified
    /// request in time.
    async fn serve(self: &Rc<Self>, stream: TcpStream, source: SocketAddr, connection: Rc<Connection>) {
        let timing = &self.context.options.timing;
        let _ = stream.set_nodelay(true);
        let mut stream = TimeoutStream::new(stream);
        // Without this timeout, a response that the peer does not read would stay in this process's memory.
        stream.set_write_timeout(Some(Duration::from_secs_f64(timing.transfer_timeout_seconds)));
        let service = service_fn(|request| {
            let (server, connection) = (self.clone(), connection.clone());
            async move { Ok::<_, Infallible>(server.handle(request, source, &connection).await) }
        });
        let mut stream = Box::pin(stream);
        let http = async {
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs_f64(timing.idle_timeout_seconds))
                .max_buf_size(MAX_HEAD_BYTES)
                .serve_connection(TokioIo::new(&mut stream), service)
                .await;
            let linger_timeout = Duration::from_secs_f64(timing.transfer_timeout_seconds);
            let _ = tokio::time::timeout(linger_timeout, linger(&mut stream)).await;
        };
        let first_request_timeout = async {
            tokio::time::sleep(Duration::from_secs_f64(timing.first_request_timeout_seconds)).await;
            if connection.verified.get() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            () = http => {}
            () = connection.close.notified() => {}
            () = first_request_timeout => increment(&self.context.shared.counters.connections_refused),
        }
    }
}

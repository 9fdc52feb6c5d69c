//! The sockets of a broker: UDP and TCP on one port.

use crate::error::PeerError;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Number of attempts to find a port that is free for both UDP and TCP.
const MAX_PORTS_TRIED: usize = 32;

/// The bound UDP and TCP sockets of a broker that is not started yet.
pub struct BoundSockets {
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
    address: SocketAddr,
}

impl BoundSockets {
    /// Returns the address to which both sockets are bound, with its final port.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }
}

/// Binds UDP and TCP sockets to one port; port 0 selects one that is free for both.
pub fn bind(listen_address: SocketAddr) -> Result<BoundSockets, PeerError> {
    let attempts = if listen_address.port() == 0 { MAX_PORTS_TRIED } else { 1 };
    let mut reason = String::new();
    for _ in 0..attempts {
        match bind_once(listen_address) {
            Ok(sockets) => return Ok(sockets),
            Err(error) => reason = error.to_string(),
        }
    }
    Err(PeerError::Bind { address: listen_address, reason })
}

fn bind_once(listen_address: SocketAddr) -> std::io::Result<BoundSockets> {
    let tcp = TcpListener::bind(listen_address)?;
    let address = tcp.local_addr()?;
    let udp = UdpSocket::bind(address)?;
    tcp.set_nonblocking(true)?;
    udp.set_nonblocking(true)?;
    Ok(BoundSockets { tcp, udp, address })
}

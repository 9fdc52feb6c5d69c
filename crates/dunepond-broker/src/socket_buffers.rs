//! Bounds what the operating system holds for connections, which counts as the memory of the process.

use std::time::Duration;

use socket2::SockRef;
use tracing::warn;

/// The operating system takes twice the size that is asked for, as it counts its own records.
const SYSTEM_FACTOR: usize = 2;

/// The sizes of the operating system's buffers for a connection; the default is that of the system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketBuffers {
    /// What the system may hold for each direction, in bytes; `None` for what it holds by default.
    bytes_per_direction: Option<usize>,
}

impl SocketBuffers {
    /// Creates the sizes for connections for each direction of which the system may hold this many bytes.
    pub fn new(bytes_per_direction: usize) -> Self {
        Self { bytes_per_direction: Some(bytes_per_direction) }
    }

    /// Sets the sizes for a socket that is not connected yet, or for a listener, whose connections have the same sizes. A system
    /// that does not know such sizes keeps its own.
    pub fn apply<'a>(&self, socket: impl Into<SockRef<'a>>) {
        let Some(bytes) = self.bytes_per_direction else { return };
        let (socket, size) = (socket.into(), bytes / SYSTEM_FACTOR);
        let applied = socket.set_recv_buffer_size(size).and_then(|()| socket.set_send_buffer_size(size));
        if let Err(e) = applied {
            warn!("the sizes of a socket's buffers are not set: {e}");
        }
    }
}

/// Has a connection that is closed next discard what its peer has not read. The system would hold it for as long as the peer
/// stays.
pub fn discard_unsent<'a>(stream: impl Into<SockRef<'a>>) {
    let _ = stream.into().set_linger(Some(Duration::ZERO));
}

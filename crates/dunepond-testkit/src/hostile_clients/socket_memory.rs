//! The memory of a process's TCP sockets in the operating system, which a control group counts as the process's.

use std::collections::BTreeSet;
use std::io;

use netlink_packet_core::{NLM_F_DUMP, NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponse, SocketId, StateFlags};
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::{Socket, SocketAddr};

/// Size of the buffer for one answer of the operating system, which contains many sockets.
const ANSWER_BYTES: usize = 64 * 1024;

/// Asks the operating system what its sockets hold.
pub struct SocketMemory {
    netlink: Socket,
    buffer: Vec<u8>,
}

impl SocketMemory {
    /// Connects to the operating system's diagnosis of sockets.
    ///
    /// # Errors
    /// Returns the system's error if it has no such diagnosis.
    pub fn open() -> io::Result<Self> {
        let mut netlink = Socket::new(NETLINK_SOCK_DIAG)?;
        netlink.bind_auto()?;
        netlink.connect(&SocketAddr::new(0, 0))?;
        Ok(Self { netlink, buffer: vec![0; ANSWER_BYTES] })
    }

    /// Returns the bytes that the system holds for the sockets with these inodes, and for sockets that no process has any more
    /// and whose local port is one of `ports`: they were closed with bytes that the peer has not read.
    ///
    /// # Errors
    /// Returns the system's error.
    pub fn bytes_of(&mut self, inodes: &BTreeSet<u32>, ports: &BTreeSet<u16>) -> io::Result<u64> {
        self.request()?;
        let mut total = 0;
        loop {
            let size = self.netlink.recv(&mut &mut self.buffer[..], 0)?;
            let mut answer = &self.buffer[..size];
            while !answer.is_empty() {
                let message =
                    NetlinkMessage::<SockDiagMessage>::deserialize(answer).map_err(io::Error::other)?;
                match message.payload {
                    NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(socket)) => {
                        let is_orphan = socket.header.inode == 0;
                        let belongs = inodes.contains(&socket.header.inode)
                            || is_orphan && ports.contains(&socket.header.socket_id.source_port);
                        total += if belongs { held_bytes(&socket) } else { 0 };
                    }
                    NetlinkPayload::Done(_) => return Ok(total),
                    NetlinkPayload::Error(error) => return Err(error.to_io()),
                    _ => {}
                }
                answer = &answer[(message.header.length as usize).next_multiple_of(4).min(answer.len())..];
            }
        }
    }

    /// Requests the memory of all TCP sockets over IPv4.
    fn request(&self) -> io::Result<()> {
        let mut header = NetlinkHeader::default();
        header.flags = NLM_F_REQUEST | NLM_F_DUMP;
        let request = InetRequest {
            family: AF_INET,
            protocol: IPPROTO_TCP,
            extensions: ExtensionFlags::SKMEMINFO,
            states: StateFlags::all(),
            socket_id: SocketId::new_v4(),
        };
        let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
        message.finalize();
        let mut bytes = vec![0; message.buffer_len()];
        message.serialize(&mut bytes);
        self.netlink.send(&bytes, 0).map(drop)
    }
}

/// Returns the bytes that the system holds for a socket: received, to be sent, and allocated ahead.
fn held_bytes(socket: &InetResponse) -> u64 {
    let memory = socket.nlas.iter().find_map(|attribute| match attribute {
        Nla::MemInfo(memory) => Some(memory),
        _ => None,
    });
    memory.map_or(0, |memory| {
        u64::from(memory.receive_queue)
            + u64::from(memory.send_queue)
            + u64::from(memory.cache)
            + u64::from(memory.backlog_queue_length)
    })
}

//! Tests of every fault that a simulated link can have, observed at both of its ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::links::{HEALTHY, LinkConditions, Links, PARTITIONED};
use dunepond_testkit::processes::{BrokerProcess, wait_until};

/// Two connected peers: `a` sends, and `b` echoes all stream data and datagrams.
struct EchoPair {
    links: Links,
    /// Socket of `a`.
    local_socket: UdpSocket,
}

/// Binds a listener and a datagram socket to the same port. A port that is free for TCP may be taken for UDP.
fn bind_tcp_and_udp() -> (TcpListener, UdpSocket) {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        match UdpSocket::bind(listener.local_addr().unwrap()) {
            Ok(socket) => return (listener, socket),
            Err(error) => assert_eq!(error.kind(), ErrorKind::AddrInUse),
        }
    }
}

fn echo_pair(seed: u64) -> EchoPair {
    let (listener, echo_socket) = bind_tcp_and_udp();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut stream.try_clone().unwrap(), &mut stream));
        }
    });
    thread::spawn(move || {
        let mut buffer = [0; 2048];
        while let Ok((count, from)) = echo_socket.recv_from(&mut buffer) {
            let _ = echo_socket.send_to(&buffer[..count], from);
        }
    });
    let local_socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    local_socket.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let peers = [("a".to_string(), local_socket.local_addr().unwrap()), ("b".to_string(), address)];
    EchoPair { links: Links::between(&peers, seed).unwrap(), local_socket }
}

impl EchoPair {
    /// Address at which `a` reaches `b`.
    fn remote_address(&self) -> SocketAddr {
        self.links.relay_address("a", "b")
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.remote_address()).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        stream
    }

    /// Sends `count` datagrams, numbered from 0; returns the numbers of the echoes in the order in which they arrive.
    fn send_datagrams(&self, count: u8) -> Vec<u8> {
        for i in 0..count {
            self.local_socket.send_to(&[i], self.remote_address()).unwrap();
        }
        let mut buffer = [0; 16];
        std::iter::from_fn(|| self.local_socket.recv(&mut buffer).ok().map(|_| buffer[0])).collect()
    }
}

/// Sends one byte and waits for its echo.
fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"x")?;
    stream.read_exact(&mut [0])
}

#[test]
fn healthy_link_keeps_order() {
    let pair = echo_pair(1);
    let mut stream = pair.connect();
    let sent: Vec<u8> = (0..200_000u32).map(|i| i as u8).collect();
    let mut received = vec![0; sent.len()];
    let mut writer = stream.try_clone().unwrap();
    let expected = sent.clone();
    thread::spawn(move || writer.write_all(&sent).unwrap());
    stream.read_exact(&mut received).unwrap();
    assert!(received == expected, "the echo differs from what was sent");
    assert_eq!(pair.send_datagrams(50), (0..50).collect::<Vec<_>>());
    assert!(pair.links.delivered_count("a", "b") > 50 && pair.links.delivered_count("b", "a") > 50);
}

#[test]
fn partition_delays_streams_and_drops_datagrams() {
    let pair = echo_pair(2);
    let mut stream = pair.connect();
    echo(&mut stream).unwrap();
    pair.links.partition(&[&["a"], &["b"]]);
    assert!(echo(&mut stream).is_err());
    assert!(pair.send_datagrams(5).is_empty());
    let mut second = pair.connect();
    assert!(echo(&mut second).is_err());
    pair.links.set_all_conditions(&HEALTHY);
    stream.read_exact(&mut [0]).unwrap();
    second.read_exact(&mut [0]).unwrap();
    assert_eq!(pair.send_datagrams(5).len(), 5);
}

#[test]
fn one_way_partition_blocks_one_direction() {
    let pair = echo_pair(3);
    let mut stream = pair.connect();
    echo(&mut stream).unwrap();
    // The relay counts a chunk after writing it, so the client may read the echo before it is counted.
    assert!(wait_until(
        || (pair.links.delivered_count("a", "b"), pair.links.delivered_count("b", "a")) == (1, 1)
    ));
    let before = (pair.links.delivered_count("a", "b"), pair.links.delivered_count("b", "a"));
    pair.links.set_conditions("b", "a", &PARTITIONED);
    assert!(echo(&mut stream).is_err());
    assert!(pair.send_datagrams(3).is_empty());
    assert_eq!(
        (pair.links.delivered_count("a", "b"), pair.links.delivered_count("b", "a")),
        (before.0 + 4, before.1)
    );
}

#[test]
fn half_open_link_discards_input() {
    let pair = echo_pair(4);
    pair.links.set_conditions("a", "b", &LinkConditions { half_open: true, ..HEALTHY });
    assert!(echo(&mut pair.connect()).is_err());
    assert_eq!(pair.links.delivered_count("a", "b"), 0);
}

#[test]
fn reset_breaks_open_connections() {
    let pair = echo_pair(5);
    let mut stream = pair.connect();
    echo(&mut stream).unwrap();
    pair.links.reset_connections("a", "b");
    let is_broken =
        wait_until(|| echo(&mut stream).is_err_and(|error| error.kind() != ErrorKind::WouldBlock));
    assert!(is_broken, "the connection was not reset");
    echo(&mut pair.connect()).unwrap();
}

#[test]
fn delay_applies_both_ways() {
    let pair = echo_pair(6);
    pair.links.set_all_conditions(&LinkConditions { delay_seconds: 0.06, jitter_seconds: 0.01, ..HEALTHY });
    let (mut stream, began) = (pair.connect(), Instant::now());
    echo(&mut stream).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(120));
    let began = Instant::now();
    pair.local_socket.send_to(&[1], pair.remote_address()).unwrap();
    pair.local_socket.recv(&mut [0; 16]).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(120));
}

#[test]
fn rate_limit_delays_bytes() {
    let pair = echo_pair(7);
    pair.links.set_conditions("a", "b", &LinkConditions { bytes_per_second: Some(100_000.0), ..HEALTHY });
    let (mut stream, began) = (pair.connect(), Instant::now());
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(&[7; 30_000]).unwrap();
    stream.read_exact(&mut [0; 30_000]).unwrap();
    assert!(began.elapsed() >= Duration::from_millis(290));
}

/// The same seed produces the same faults, so the datagrams that are lost, duplicated and reordered can be counted exactly.
#[test]
fn datagram_faults_follow_seed() {
    let conditions = LinkConditions { loss_ratio: 0.2, duplicate_ratio: 0.2, reorder_ratio: 0.2, ..HEALTHY };
    let run = |seed| {
        let pair = echo_pair(seed);
        pair.links.set_conditions("a", "b", &conditions);
        let mut received = pair.send_datagrams(100);
        let is_ordered = received.is_sorted();
        received.sort_unstable();
        (received, is_ordered)
    };
    let (first, repeated, other_seed) = (run(8), run(8), run(9));
    assert_eq!(first, repeated);
    assert_ne!(first.0, other_seed.0);
    let (received, is_ordered) = first;
    let mut distinct = received.clone();
    distinct.dedup();
    assert!(!is_ordered, "no datagram was reordered: {received:?}");
    assert!(distinct.len() < 95 && distinct.len() > 60, "unexpected number of losses: {received:?}");
    assert!(received.len() > distinct.len() + 5, "too few duplicates: {received:?}");
}

/// Guards against the loss of the first datagram on a link: the relay's sockets are new at that time, and the async runtime may
/// not yet have registered them as writable.
#[test]
fn first_datagram_is_delivered() {
    let first_is_lost = |seed: &u64| {
        let pair = echo_pair(*seed);
        pair.local_socket.send_to(&[1], pair.remote_address()).unwrap();
        pair.local_socket.recv(&mut [0; 16]).is_err()
    };
    let lost: Vec<u64> = (0..400).filter(first_is_lost).collect();
    assert!(lost.is_empty(), "seeds of links that lost their first datagram: {lost:?}");
}

#[test]
fn process_can_be_suspended_restarted_and_stopped() {
    let (program, folder) =
        (std::path::Path::new("/bin/sh"), dunepond_testkit::stand_ins::scratch_path("none"));
    let mut shell = BrokerProcess::new(program, "sh", "127.0.0.1:9".parse().unwrap(), &folder)
        .arguments(&["-c", "trap 'exit 3' TERM; echo up; while :; do sleep 0.01; done"]);
    shell.start();
    assert!(wait_until(|| shell.log_text().contains("up")));
    shell.suspend();
    shell.resume();
    assert_eq!(shell.terminate(), Some(3));
    assert!(!shell.is_running());
    shell.start();
    let pid = shell.pid();
    drop(shell);
    assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
}

//! A stand-in node that searches its segments and answers the prefilter's probes from bloom filters over them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::corpus::{Corpus, ProbeResult};
use super::{REPLICA_GROUP_COUNT, REPLICAS_PER_SEGMENT, SEGMENT_COUNT};
use crate::frames::{self, ANSWER, PART, PROBE, PROBE_ANSWER, PROTOCOL_ERROR};

/// Number of versions by which the answers of [`ProbeBehavior::FutureVersion`] are ahead of the current version.
const VERSIONS_AHEAD: usize = 5;
/// Offset from the probed segment to the one about which [`ProbeBehavior::OtherSegments`] answers.
const OTHER_SEGMENT_OFFSET: usize = 7;

/// How a node treats the probes of the prefilter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeBehavior {
    /// Answers from the bloom filters of its segments' current versions.
    Honest,
    /// Never answers a probe.
    Hang,
    /// Answers like [`ProbeBehavior::Honest`] after a delay in milliseconds.
    ReplyAfterMillis(u64),
    /// Reports that no segment can match.
    DenyAll,
    /// Reports that every segment may match.
    MatchAll,
    /// Reports for every segment that the result is unknown.
    UnknownAll,
    /// Reports that one segment cannot match, whatever its content, and is honest about the others.
    DenySegment(usize),
    /// Reports the previous version's result under the previous version's number.
    PreviousVersion,
    /// Reports the previous version's result under the current version's number.
    StaleContent,
    /// Reports that no segment can match, under the number of a version that does not exist yet.
    FutureVersion,
    /// Treats the probe's frame type as unknown: reports a protocol error and closes the connection.
    RejectProbe,
    /// Closes the connection without an answer.
    Close,
    /// Answers with a line that is not in the format of a probe answer.
    Malformed,
    /// Reports that segments which the probe did not ask about cannot match.
    OtherSegments,
}

/// Counts of the probes and parts that a node received.
#[derive(Default)]
pub(super) struct Counters {
    probes: AtomicUsize,
    searches: AtomicUsize,
    /// Total size of probes and their answers, in bytes.
    pub probe_bytes: AtomicU64,
    /// By part id, how often the part was searched.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

/// A stand-in node that listens on a loopback address.
#[derive(Clone)]
pub struct Node {
    /// The node's index in the cluster, which determines its replica group.
    pub index: usize,
    address: SocketAddr,
    corpus: Arc<Corpus>,
    behavior: Arc<Mutex<ProbeBehavior>>,
    /// Duration of a search. The lock is held during a search, so that a node runs one at a time.
    search_time: Arc<Mutex<Duration>>,
    /// Whether searches, too, report no match, whatever the segment contains.
    pub reports_no_matches: Arc<Mutex<bool>>,
    pub(super) counters: Arc<Counters>,
}

/// What to do with a connection after a probe.
#[derive(PartialEq)]
enum ConnectionAction {
    KeepOpen,
    Close,
}

impl Node {
    /// Starts a node that searches one part at a time and takes `search_time` for each.
    pub fn start(index: usize, corpus: &Arc<Corpus>, behavior: ProbeBehavior, search_time: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Self {
            index,
            address: listener.local_addr().unwrap(),
            corpus: corpus.clone(),
            behavior: Arc::new(Mutex::new(behavior)),
            search_time: Arc::new(Mutex::new(search_time)),
            reports_no_matches: Arc::default(),
            counters: Arc::default(),
        };
        let shared_node = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared_node.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    /// Handles the frames of one connection until it ends.
    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let frame = frames::read(&mut stream)?;
            let text = frame.text_lossy();
            let Some((line, term)) = text.split_once('\n') else { continue };
            let fields: Vec<_> = line.split(' ').collect();
            match frame.frame_type {
                PART => self.search(&mut stream, fields[0], fields[1].parse().unwrap(), term)?,
                PROBE => {
                    self.counters.probes.fetch_add(1, Ordering::Relaxed);
                    self.counters.probe_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
                    let segments: Vec<usize> =
                        fields[2].split(',').map(|segment| segment.parse().unwrap()).collect();
                    if self.answer_probe(&mut stream, fields[0], &segments, term)? == ConnectionAction::Close
                    {
                        return Ok(());
                    }
                }
                _ => {}
            }
        }
    }

    /// Searches a segment for a term and answers the part.
    fn search(&self, stream: &mut TcpStream, id: &str, segment: usize, term: &str) -> std::io::Result<()> {
        self.counters.searches.fetch_add(1, Ordering::Relaxed);
        *self.counters.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        {
            // The lock is held during the sleep, so that the node runs one search at a time.
            let search_time = self.search_time.lock().unwrap();
            thread::sleep(*search_time);
        }
        let (version, matches) = self.corpus.search(segment, term);
        let found = matches && !*self.reports_no_matches.lock().unwrap();
        let value = if found { term } else { "" };
        let text = format!("{id} hit 1 v={version},n={}\n{value}", u8::from(found));
        stream.write_all(&frames::encode(ANSWER, &text))
    }

    /// Treats a probe as the node's behavior prescribes.
    fn answer_probe(
        &self,
        stream: &mut TcpStream,
        id: &str,
        segments: &[usize],
        term: &str,
    ) -> std::io::Result<ConnectionAction> {
        let behavior = *self.behavior.lock().unwrap();
        match behavior {
            ProbeBehavior::Hang => return Ok(ConnectionAction::KeepOpen),
            ProbeBehavior::ReplyAfterMillis(delay) => thread::sleep(Duration::from_millis(delay)),
            ProbeBehavior::RejectProbe => {
                stream.write_all(&frames::encode(PROTOCOL_ERROR, "an unknown letter"))?;
                return Ok(ConnectionAction::Close);
            }
            ProbeBehavior::Close => return Ok(ConnectionAction::Close),
            ProbeBehavior::Malformed => {
                stream.write_all(&frames::encode(PROBE_ANSWER, &format!("{id}\n1 perhaps 2")))?;
                return Ok(ConnectionAction::KeepOpen);
            }
            _ => {}
        }
        let results = self.corpus.probe(segments, term);
        let lines =
            segments.iter().zip(&results).map(|(segment, result)| probe_line(behavior, *segment, result));
        let text = format!("{id}\n{}", lines.collect::<Vec<_>>().join("\n"));
        self.counters.probe_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
        stream.write_all(&frames::encode(PROBE_ANSWER, &text))?;
        Ok(ConnectionAction::KeepOpen)
    }

    /// Sets how the node treats probes from now on.
    pub fn set_behavior(&self, behavior: ProbeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Returns whether the node has a replica of a segment.
    pub fn holds_segment(&self, segment: usize) -> bool {
        let group = self.index % REPLICA_GROUP_COUNT;
        (0..REPLICAS_PER_SEGMENT).any(|replica| (segment + replica) % REPLICA_GROUP_COUNT == group)
    }

    /// Returns the number of probes received so far.
    pub fn probe_count(&self) -> usize {
        self.counters.probes.load(Ordering::Relaxed)
    }

    /// Returns the number of parts searched so far.
    pub fn search_count(&self) -> usize {
        self.counters.searches.load(Ordering::Relaxed)
    }

    /// Returns the node's entry in the endpoint list of discovery, with this health.
    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": format!("s-{}", self.index), "dial": self.address.to_string(), "site": "a", "class": "m",
            "block": self.index % REPLICA_GROUP_COUNT, "health": health, "share": 1.0, "born_ms": 0})
    }
}

/// Returns the line of a probe answer for one segment: its number, the result and the version of its content.
fn probe_line(behavior: ProbeBehavior, segment: usize, result: &ProbeResult) -> String {
    let result_text = |may_match: bool| if may_match { "may" } else { "no" };
    let (current, previous) = (result_text(result.may_match), result_text(result.previous_may_match));
    let version = result.version;
    match behavior {
        ProbeBehavior::DenyAll => format!("{segment} no {version}"),
        ProbeBehavior::MatchAll => format!("{segment} may {version}"),
        ProbeBehavior::UnknownAll => format!("{segment} unknown {version}"),
        ProbeBehavior::DenySegment(denied) if denied == segment => format!("{segment} no {version}"),
        ProbeBehavior::PreviousVersion => format!("{segment} {previous} {}", result.previous_version),
        ProbeBehavior::StaleContent => format!("{segment} {previous} {version}"),
        ProbeBehavior::FutureVersion => format!("{segment} no {}", version + VERSIONS_AHEAD),
        ProbeBehavior::OtherSegments => {
            format!("{} no {version}", (segment + OTHER_SEGMENT_OFFSET) % SEGMENT_COUNT)
        }
        _ => format!("{segment} {current} {version}"),
    }
}

//! A node that answers probes from the summaries of its segments, and searches them.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::corpus::{Corpus, Probed};
use super::{REPLICA_GROUP_COUNT, REPLICAS_PER_SEGMENT, SEGMENT_COUNT};
use crate::frames::{self, ANSWER, PART, PROBE, PROBE_ANSWER, PROTOCOL_ERROR};

/// How far from the present version [`ProbeBehavior::FutureVersion`] is.
const VERSIONS_AHEAD: usize = 5;
/// How far from the segment that was asked about [`ProbeBehavior::OtherSegments`] is.
const OTHER_SEGMENT_DISTANCE: usize = 7;

/// What a node does with the probes of the prefilter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeBehavior {
    /// Answers by the summaries of its segments.
    Honest,
    /// Answers nothing.
    Stall,
    /// Answers honestly, so many milliseconds late.
    ReplyAfterMillis(u64),
    /// Says of all segments that they cannot match.
    DenyAll,
    /// Says of all segments that they may match.
    MatchAll,
    /// Says of all segments that it does not know.
    UnknownAll,
    /// Denies one segment, whatever it holds.
    DenySegment(usize),
    /// Speaks of the version before, by its number.
    PreviousVersion,
    /// Says what the version before held, and that it is the present one.
    StaleContent,
    /// Denies all, in a version that there is not yet.
    FutureVersion,
    /// Does not know the letter: says so and closes.
    RejectProbe,
    /// Closes the connection.
    Close,
    /// Answers with a line that has no such form.
    Malformed,
    /// Answers about segments that it was not asked about.
    OtherSegments,
}

#[derive(Default)]
pub(super) struct Counters {
    probes: AtomicUsize,
    searches: AtomicUsize,
    /// Bytes of probes and their answers.
    pub probe_bytes: AtomicU64,
    /// How often each part was searched.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

/// A node on loopback.
#[derive(Clone)]
pub struct Node {
    /// Its place among the nodes, which says its replica group.
    pub number: usize,
    address: SocketAddr,
    corpus: Arc<Corpus>,
    behavior: Arc<Mutex<ProbeBehavior>>,
    /// One search at a time, each for so long.
    search_time: Arc<Mutex<Duration>>,
    /// Searches are lied about too: nothing is found.
    pub hides_matches: Arc<Mutex<bool>>,
    pub(super) counters: Arc<Counters>,
}

/// Whether a connection goes on.
#[derive(PartialEq)]
enum Next {
    Continue,
    Close,
}

impl Node {
    /// Starts a node that searches one part at a time, each for so long.
    pub fn start(
        number: usize,
        corpus: &Arc<Corpus>,
        behavior: ProbeBehavior,
        search_time: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Self {
            number,
            address: listener.local_addr().unwrap(),
            corpus: corpus.clone(),
            behavior: Arc::new(Mutex::new(behavior)),
            search_time: Arc::new(Mutex::new(search_time)),
            hides_matches: Arc::default(),
            counters: Arc::default(),
        };
        let shared = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = shared.clone();
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let frame = frames::read(&mut stream)?;
            let text = frame.text_lossy();
            let Some((line, term)) = text.split_once('\n') else { continue };
            let words: Vec<_> = line.split(' ').collect();
            match frame.letter {
                PART => self.search(&mut stream, words[0], words[1].parse().unwrap(), term)?,
                PROBE => {
                    self.counters.probes.fetch_add(1, Ordering::Relaxed);
                    self.counters.probe_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
                    let segments: Vec<usize> =
                        words[2].split(',').map(|segment| segment.parse().unwrap()).collect();
                    if self.answer_probe(&mut stream, words[0], &segments, term)? == Next::Close {
                        return Ok(());
                    }
                }
                _ => {}
            }
        }
    }

    fn search(&self, stream: &mut TcpStream, id: &str, segment: usize, term: &str) -> std::io::Result<()> {
        self.counters.searches.fetch_add(1, Ordering::Relaxed);
        *self.counters.runs.lock().unwrap().entry(id.to_string()).or_default() += 1;
        {
            // Held while it sleeps: one search at a time.
            let search_time = self.search_time.lock().unwrap();
            thread::sleep(*search_time);
        }
        let (version, matches) = self.corpus.search(segment, term);
        let found = matches && !*self.hides_matches.lock().unwrap();
        let value = if found { term } else { "" };
        let text = format!("{id} hit 1 v={version},n={}\n{value}", u8::from(found));
        stream.write_all(&frames::encode(ANSWER, &text))
    }

    fn answer_probe(
        &self,
        stream: &mut TcpStream,
        id: &str,
        segments: &[usize],
        term: &str,
    ) -> std::io::Result<Next> {
        let behavior = *self.behavior.lock().unwrap();
        match behavior {
            ProbeBehavior::Stall => return Ok(Next::Continue),
            ProbeBehavior::ReplyAfterMillis(delay) => thread::sleep(Duration::from_millis(delay)),
            ProbeBehavior::RejectProbe => {
                stream.write_all(&frames::encode(PROTOCOL_ERROR, "an unknown letter"))?;
                return Ok(Next::Close);
            }
            ProbeBehavior::Close => return Ok(Next::Close),
            ProbeBehavior::Malformed => {
                stream.write_all(&frames::encode(PROBE_ANSWER, &format!("{id}\n1 perhaps 2")))?;
                return Ok(Next::Continue);
            }
            _ => {}
        }
        let probed = self.corpus.probe(segments, term);
        let lines =
            segments.iter().zip(&probed).map(|(segment, probed)| probe_line(behavior, *segment, probed));
        let text = format!("{id}\n{}", lines.collect::<Vec<_>>().join("\n"));
        self.counters.probe_bytes.fetch_add(text.len() as u64, Ordering::Relaxed);
        stream.write_all(&frames::encode(PROBE_ANSWER, &text))?;
        Ok(Next::Continue)
    }

    /// Answers probes so from now on.
    pub fn set_behavior(&self, behavior: ProbeBehavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Whether it has a replica of a segment.
    pub fn holds_segment(&self, segment: usize) -> bool {
        let group = self.number % REPLICA_GROUP_COUNT;
        (0..REPLICAS_PER_SEGMENT).any(|replica| (segment + replica) % REPLICA_GROUP_COUNT == group)
    }

    /// Probes that came.
    pub fn probes(&self) -> usize {
        self.counters.probes.load(Ordering::Relaxed)
    }

    /// Parts that were searched.
    pub fn searches(&self) -> usize {
        self.counters.searches.load(Ordering::Relaxed)
    }

    /// Its entry in the list of discovery, with this health.
    pub fn endpoint(&self, health: &str) -> Value {
        json!({"host": format!("s-{}", self.number), "dial": self.address.to_string(), "site": "a", "class": "m",
            "block": self.number % REPLICA_GROUP_COUNT, "health": health, "share": 1.0, "born_ms": 0})
    }
}

/// The line of an answer that speaks of one segment.
fn probe_line(behavior: ProbeBehavior, segment: usize, probed: &Probed) -> String {
    let word = |may_match: bool| if may_match { "may" } else { "no" };
    let (present, previous) = (word(probed.may_match), word(probed.previous_may_match));
    let version = probed.version;
    match behavior {
        ProbeBehavior::DenyAll => format!("{segment} no {version}"),
        ProbeBehavior::MatchAll => format!("{segment} may {version}"),
        ProbeBehavior::UnknownAll => format!("{segment} unknown {version}"),
        ProbeBehavior::DenySegment(denied) if denied == segment => format!("{segment} no {version}"),
        ProbeBehavior::PreviousVersion => format!("{segment} {previous} {}", probed.previous_version),
        ProbeBehavior::StaleContent => format!("{segment} {previous} {version}"),
        ProbeBehavior::FutureVersion => format!("{segment} no {}", version + VERSIONS_AHEAD),
        ProbeBehavior::OtherSegments => {
            format!("{} no {version}", (segment + OTHER_SEGMENT_DISTANCE) % SEGMENT_COUNT)
        }
        _ => format!("{segment} {present} {version}"),
    }
}

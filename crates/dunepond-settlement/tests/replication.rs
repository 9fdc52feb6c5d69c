//! Which counts a peer is sent: all converge, and peers that have everything are sent next to nothing.

use dunepond_settlement::{BrokerPartners, CarriedCounts, CountsMessage, CountsReplication, LocalCounts};
use proptest::prelude::*;
use rstest::rstest;

const BROKERS: usize = 3;

fn name(broker: usize) -> String {
    format!("b{broker}")
}

/// A broker with its folder, as in its host: stored before it sends, and merged before it notes what it received.
struct Broker {
    at: usize,
    counts: LocalCounts,
    replication: CountsReplication,
    folder: LocalCounts,
}

impl Broker {
    fn new(at: usize) -> Broker {
        let counts = LocalCounts::open(None, &name(at), 1).unwrap();
        Broker {
            at,
            folder: counts.clone(),
            counts,
            replication: CountsReplication::new(u64::MAX - at as u64),
        }
    }

    fn send(&mut self, to: usize) -> CountsMessage {
        self.folder = self.counts.clone();
        self.replication.message_for(&name(to), self.counts.counts())
    }

    fn receive(&mut self, from: usize, message: &CountsMessage) {
        self.counts.merge_from_peer(&name(from), &message.counts, &BrokerPartners::default()).unwrap();
        self.replication.handle_message(&name(from), message, self.counts.counts());
    }

    fn restart(&mut self, process: u64, folder_lost: bool) {
        let incarnation = self.counts.incarnation() + 1;
        let folder = (!folder_lost).then(|| self.folder.clone());
        self.counts = LocalCounts::open(folder, &name(self.at), incarnation).unwrap();
        self.replication = CountsReplication::new(process);
    }
}

/// A message and its answer, both delivered.
fn exchange(brokers: &mut [Broker], from: usize, to: usize) -> [CountsMessage; 2] {
    let asked = brokers[from].send(to);
    brokers[to].receive(from, &asked);
    let answer = brokers[to].send(from);
    brokers[from].receive(to, &answer);
    [asked, answer]
}

fn length(message: &CountsMessage) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(36), ..ProptestConfig::with_cases(512) })]

    /// Messages and answers are lost, duplicated, late and in any order, also after either side restarted from its folder, or
    /// with an empty one. Then after three exchanges between any two, partitioned from the third, these two know the same;
    /// and in the end all three, which is all that was ever stored if no folder was lost. The run is too short for the
    /// regular complete messages.
    #[test]
    fn changed_rows_converge(actions in prop::collection::vec((0..8u8, 0..BROKERS, 1..BROKERS, 1..100u64, any::<prop::sample::Index>()), 1..60), first in 0..BROKERS, further in 1..BROKERS) {
        let mut brokers: Vec<Broker> = (0..BROKERS).map(Broker::new).collect();
        let (mut all, mut lost) = (CarriedCounts::new(), false);
        // From, to.
        let mut sent: Vec<(usize, usize, CountsMessage)> = Vec::new();
        for (number, (action, at, further, bytes, any)) in actions.into_iter().enumerate() {
            let to = (at + further) % BROKERS;
            match action {
                0 | 1 => brokers[at].counts.record("north", ["south", "west"][bytes as usize % 2], bytes),
                2 => {
                    let message = brokers[at].send(to);
                    sent.push((at, to, message));
                }
                // Delivered, and answered.
                3 | 4 if !sent.is_empty() => {
                    let (from, to, message) = sent[any.index(sent.len())].clone();
                    brokers[to].receive(from, &message);
                    if action == 3 {
                        let answer = brokers[to].send(from);
                        sent.push((to, from, answer));
                    }
                }
                5 => sent.extend(exchange(&mut brokers, at, to).into_iter().zip([(at, to), (to, at)]).map(|(message, way)| (way.0, way.1, message))),
                6 | 7 => {
                    lost |= action == 7;
                    brokers[at].restart(100 + number as u64, action == 7);
                }
                _ => {}
            }
            brokers.iter().for_each(|broker| all.merge(broker.folder.counts()));
        }
        let second = (first + further) % BROKERS;
        (0..3).for_each(|_| drop(exchange(&mut brokers, first, second)));
        prop_assert_eq!(brokers[first].counts.counts(), brokers[second].counts.counts());
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 0)] {
                exchange(&mut brokers, from, to);
            }
        }
        brokers.iter().for_each(|broker| all.merge(broker.counts.counts()));
        for broker in &brokers {
            let wanted = if lost { brokers[0].counts.counts() } else { &all };
            prop_assert_eq!(broker.counts.counts(), wanted);
        }
    }
}

/// A hundred brokers with thirty pairs each, as `fleet-at-size` has them: bytes of the two messages of one exchange.
#[rstest]
fn idle_fleet_sends_little() {
    let partners: Vec<_> = (0..6).map(|partner| format!("partner{partner}")).collect();
    let mut rows = CarriedCounts::new();
    for broker in 0..100 {
        for (carrier, owed_by) in partners.iter().flat_map(|a| partners.iter().map(move |b| (a, b))) {
            rows.record(&format!("broker{broker:03}"), 1, carrier, owed_by, 1 << 40);
        }
    }
    let mut brokers = [Broker::new(0), Broker::new(1)];
    brokers[0].counts.merge_from_peer("b2", &rows, &BrokerPartners::default()).unwrap();
    let complete = postcard::to_stdvec(brokers[0].counts.counts()).unwrap().len();
    let [first, answer] = exchange(&mut brokers, 0, 1).map(|message| length(&message));
    assert!(first > complete && answer < 100, "{first} of {complete}, answered with {answer}");
    let idle = exchange(&mut brokers, 1, 0).map(|message| length(&message));
    assert!(idle.iter().all(|bytes| *bytes < 100), "{idle:?} of {complete}");
    // One row of the hundred changes: it alone is sent.
    brokers[0].counts.record("partner0", "partner1", 5);
    let one = exchange(&mut brokers, 0, 1).map(|message| length(&message));
    assert!(one[0] < 150 && one[1] < 100, "{one:?}");
    assert_eq!(brokers[0].counts.counts(), brokers[1].counts.counts());
    // Over a long time, with some complete messages.
    let long =
        (0..610).flat_map(|at| exchange(&mut brokers, at % 2, 1 - at % 2)).map(|message| length(&message));
    let mean = long.sum::<usize>() / 1220;
    println!("complete {complete}, idle {idle:?}, one row {one:?}, mean of a message {mean}");
    assert!(mean > idle[0] && mean < 200, "{mean}: complete ones are rare");
}

/// A build that knows only counts, and the present one.
#[rstest]
fn counts_only_peers() {
    let mut brokers = [Broker::new(0), Broker::new(1)];
    brokers[0].counts.record("north", "south", 5);
    for _ in 0..3 {
        let sent_bytes = postcard::to_stdvec(&brokers[0].send(1)).unwrap();
        assert_eq!(&postcard::from_bytes::<CarriedCounts>(&sent_bytes).unwrap(), brokers[0].counts.counts());
        let bare = postcard::to_stdvec(brokers[1].counts.counts()).unwrap();
        assert!(postcard::from_bytes::<CountsMessage>(&bare).is_err());
        brokers[0].receive(1, &CountsMessage::counts_only(postcard::from_bytes(&bare).unwrap()));
    }
}

/// By hand: bytes that a broker sends a second, each to a random one, where so many of a hundred count something between two
/// messages. Compared with complete counts in each message.
#[rstest]
#[ignore = "a measurement, some minutes"]
fn bytes_per_second(#[values(30, 100)] brokers: usize, #[values(0, 5, 100)] busy: u64) {
    let partners: Vec<_> = (0..6).map(|partner| format!("partner{partner}")).collect();
    let mut all: Vec<Broker> = (0..brokers).map(Broker::new).collect();
    let mut seed = 7u64;
    let mut random = |below: usize| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) as usize % below
    };
    let (mut sent_bytes, mut complete) = (0, 0);
    for second in 0..160 {
        for broker in &mut all {
            for pair in 0..36 {
                if second == 0 || (random(100) as u64) < busy {
                    broker.counts.record(&partners[pair / 6], &partners[pair % 6], 1 << 20);
                }
            }
        }
        for at in 0..brokers {
            let to = (at + 1 + random(brokers - 1)) % brokers;
            let messages = exchange(&mut all, at, to);
            // Once all have all rows.
            if second >= 100 {
                sent_bytes += messages.iter().map(length).sum::<usize>();
                complete += 2 * postcard::to_stdvec(all[at].counts.counts()).unwrap().len();
            }
        }
    }
    println!(
        "{brokers} brokers, {busy} %: {} of {} bytes",
        sent_bytes / 60 / brokers,
        complete / 60 / brokers
    );
}

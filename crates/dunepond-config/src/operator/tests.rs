use rstest::rstest;

use dunepond_search_api::Limits;

use super::*;

#[test]
fn a_silent_file_turns_nothing_on() {
    assert_eq!(operator(""), Ok(Operator::default()));
    assert_eq!(operator("// nothing\n"), Ok(Operator::default()));
}

#[test]
fn the_documented_example_is_read_and_says_what_it_says() {
    let text = include_str!("../../../../deploy/dunepond.kdl");
    let read = operator(text).unwrap();
    assert_eq!(read, Operator::default());
    // Each feature stands there behind a slash-dash, which turns it off whole.
    let on = operator(&text.replace("/-", "")).unwrap();
    let bodies = on.bodies.unwrap();
    assert_eq!((bodies.terms.longest, bodies.terms.window), (64 * MIB, MIB / 4));
    assert_eq!(bodies.folder.unwrap().threads, 2);
    assert_eq!(on.search_nodes.len(), 2);
    assert_eq!(on.search.unwrap().limits, Limits::default());
    let state = on.state.unwrap();
    assert_eq!((state.folder.to_str(), state.every), (Some("/var/lib/dunepond/state"), 1.0));
    assert_eq!(on.background, Operator::default().background);
    assert_eq!(on.phases.unwrap().min_segments, 8);
    let fleet = on.fleet.unwrap();
    assert_eq!((fleet.lease, fleet.drift, fleet.bound, fleet.longest_timeout), (2.0, 0.01, 8.0, Some(4.0)));
    assert_eq!((fleet.voters.len(), fleet.peers[0].name.as_str(), fleet.links[0].bytes), (3, "n4", 10 * MIB));
    assert_eq!(fleet.partners[0].customers, ["mill", "harbour"]);
    let (fills, map) = (fleet.fills.clone().unwrap(), fleet.map.clone().unwrap());
    assert_eq!((fills.deadline, fills.segment, fills.rate, fills.at_once), (60.0, 64 * MIB, 32 * MIB, 4));
    assert_eq!((map.least_holders, map.least_zones, map.most_changed), (2, 2, 0.2));
    let limits = fleet.limits.clone().unwrap();
    assert_eq!((limits.floor, limits.every, limits.cold, limits.further), (0.25, 1.0, Some(40.0), true));
    assert_eq!(limits.customers, ["mill"]);
    assert_eq!(fleet.terms("n2", 4.0).check(), Ok(()));
    assert_eq!((on.log_form.as_deref(), on.counters_every), (Some("json"), Some(10.0)));
}

/// A fleet of one voter, with these keys and nodes; the nodes begin in line 3.
fn fleet(keys: &str, nodes: &str) -> String {
    format!("fleet {keys} {{\nvoter \"a\" at=\"127.0.0.1:1\"\n{nodes}\n}}")
}

fn told(keys: &str, nodes: &str) -> String {
    fleet(&format!("listen=\"127.0.0.1:1\" folder=\"/f\" {keys}"), nodes)
}

#[rstest]
#[case::unknown("bodies {\n  memory one=\"1MiB\" al=\"4MiB\"\n}", 2, 21, "'al' is not known")]
#[case::unknown_node("bodis", 1, 1, "'bodis' is not known")]
#[case::twice("log form=\"text\"\nlog form=\"json\"", 2, 1, "given twice")]
#[case::key_twice("bodies { memory one=\"1MiB\" one=\"2MiB\"; }", 1, 28, "given twice")]
#[case::size("bodies {\n  longest \"64 bananas\"\n}", 2, 11, "expected a size")]
#[case::number("counters every=\"soon\"", 1, 10, "expected a number")]
#[case::out_of_range("bodies { share customer=1.5; }", 1, 16, "from 0.01 to 1")]
#[case::folder("bodies { files folder=\"here\"; }", 1, 16, "from the root")]
#[case::no_folder("bodies { files one=\"1MiB\"; }", 1, 10, "folder")]
#[case::cannot_be("bodies { memory one=\"40MiB\" all=\"48MiB\"; }", 1, 1, "over the 18874368 bytes")]
#[case::phases("phases share=1.5", 1, 8, "from 0.01 to 0.9")]
#[case::phases_key("phases { share 0.5; }", 1, 10, "has no children")]
#[case::state("state every=1.0", 1, 1, "state: folder: expected the path")]
#[case::state_every("state folder=\"/a\" every=0", 1, 19, "from 0.1 to 3600")]
#[case::search("search window=10", 1, 1, "search: listen: expected an address:port")]
#[case::search_window("search listen=\"127.0.0.1:0\" window=0", 1, 29, "from 1 to 10000")]
#[case::networks("search-nodes \"10.1.0.0/16\" \"here\"", 1, 28, "expected a network")]
#[case::no_networks("search-nodes", 1, 1, "expected networks behind it")]
#[case::background("background time=2", 1, 12, "from 0.001 to 0.5")]
#[case::not_kdl("bodies {", 1, 8, "not KDL")]
#[case::fleet_listen(&fleet("folder=\"/f\"", ""), 1, 1, "fleet: listen: expected an address:port")]
#[case::fleet_folder(&fleet("listen=\"127.0.0.1:1\"", ""), 1, 1, "folder: expected the path")]
#[case::fleet_key(&told("leese=2.0", ""), 1, 40, "'leese' is not known")]
#[case::fleet_lease(&told("lease=\"long\"", ""), 1, 40, "expected a number from")]
#[case::fleet_bound(&told("lease=4.0 bound=4.0", ""), 1, 50, "raise `bound`")]
#[case::fleet_no_voter("fleet listen=\"127.0.0.1:1\" folder=\"/f\" {\n}", 1, 1, "no voter")]
#[case::fleet_doubled(&told("", "voter \"a\" at=\"127.0.0.1:9\""), 1, 1, "the broker 'a' is given twice")]
#[case::fleet_address(&told("", "peer \"b\" at=\"127.0.0.1:1\""), 1, 1, "the address '127.0.0.1:1' is given twice")]
#[case::fleet_nameless(&told("", "voter at=\"127.0.0.1:9\""), 3, 1, "expected a name behind it")]
#[case::fleet_at(&told("", "peer \"b\" at=\"there\""), 3, 10, "peer: at: expected an address:port")]
#[case::fleet_version(&told("", "version \"version.json\""), 3, 9, "from the root")]
#[case::fleet_link(&told("", "link from=\"x\" to=\"y\" bytes=\"1MiB\""), 3, 1, "'x' is no partner")]
#[case::fleet_link_bytes(&told("", "link from=\"x\" to=\"y\""), 3, 1, "expected from=, to= and bytes=")]
#[case::fleet_zone(&told("", "partner \"x\" zones=\"a\"\npartner \"y\" zones=\"b,a\""), 1, 1, "the zone 'a'")]
#[case::fleet_fills(&told("", "fills deadline=3.0"), 3, 1, "fills: at: expected an address:port")]
#[case::fleet_warm(&told("", "fills at=\"127.0.0.1:9\" warm=\"yes\""), 3, 24, "expected one of \"on\"")]
#[case::fleet_metered(&told("", "partner \"x\" metered=1"), 3, 13, "expected one of \"on\"")]
#[case::fleet_moves(&told("", "moves \"plan.json\""), 3, 7, "moves: expected the path")]
#[case::fleet_moves_none(&told("", "moves at-once=2"), 3, 1, "expected a name behind it")]
#[case::fleet_moves_once(&told("", "moves \"/p\" at-once=0"), 3, 12, "from 1 to 64")]
#[case::fleet_map(&told("", "map most-changed=2.0"), 3, 5, "from 0.001 to 1")]
#[case::limits_nothing(&told("", "limits"), 3, 1, "shares nothing")]
#[case::limits_floor(&told("", "limits floor=0.0 { further; }"), 3, 8, "from 0.05 to 1")]
#[case::limits_every(&told("", "limits every=0 { further; }"), 3, 8, "from 0.1 to 60")]
#[case::limits_key(&told("", "limits flor=0.5 { further; }"), 3, 8, "'flor' is not known")]
#[case::limits_cold(&told("", "limits {\ncold\n}"), 4, 1, "expected rate=")]
#[case::limits_rate(&told("", "limits {\ncold rate=0\n}"), 4, 6, "from 0.01")]
#[case::limits_node(&told("", "limits {\nwarm\n}"), 4, 1, "limits: 'warm' is not known")]
#[case::limits_customer(&told("", "limits {\ncustomer\n}"), 4, 1, "expected a name")]
#[case::limits_twice(&told("", "limits {\ncustomer \"a\"\ncustomer \"a\"\n}"), 5, 1, "'a' is given twice")]
#[case::fleet_node(&told("", "voters \"a\""), 3, 1, "fleet: 'voters' is not known")]
fn a_fault_is_named_with_its_place_and_what_was_expected(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] words: &str,
) {
    let faults = operator(text).unwrap_err();
    assert!(faults[0].words.contains(words), "{faults:?}");
    assert_eq!((faults[0].line, faults[0].column), (line, column), "{faults:?}");
}

#[test]
fn all_faults_are_told_at_once() {
    assert_eq!(operator("bodis\nlog form=\"xml\"\ncounters every=0").unwrap_err().len(), 3);
}

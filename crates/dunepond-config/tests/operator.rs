//! Parsing of the operator's file: defaults, the documented example, and errors with their positions.

use dunepond_config::operator::{OperatorConfig, parse};
use dunepond_search_api::RequestLimits;
use rstest::rstest;

const MIB: u64 = 1024 * 1024;

#[test]
fn empty_file_enables_no_feature() {
    assert_eq!(parse(""), Ok(OperatorConfig::default()));
    assert_eq!(parse("// nothing\n"), Ok(OperatorConfig::default()));
}

#[test]
fn documented_example_matches_defaults() {
    let text = include_str!("../../../deploy/dunepond.kdl");
    let config = parse(text).unwrap();
    assert_eq!(config, OperatorConfig::default());
    // In the example, each feature is commented out with `/-`, KDL's slash-dash. Without it, all features are enabled.
    let enabled = parse(&text.replace("/-", "")).unwrap();
    let bodies = enabled.body_buffer.unwrap();
    assert_eq!((bodies.limits.max_body_bytes, bodies.limits.window_bytes), (64 * MIB, MIB / 4));
    assert_eq!(bodies.spill.unwrap().threads, 2);
    assert_eq!(enabled.search_api_nodes.len(), 2);
    assert_eq!(enabled.search_api.unwrap().limits, RequestLimits::default());
    let state = enabled.recovery.unwrap();
    assert_eq!(
        (state.folder.to_str(), state.snapshot_interval_seconds),
        (Some("/var/lib/dunepond/state"), 1.0)
    );
    assert_eq!(enabled.background, OperatorConfig::default().background);
    assert_eq!(enabled.prefilter.unwrap().min_segments, 8);
    let fleet = enabled.fleet.unwrap();
    assert_eq!(
        (
            fleet.lease_seconds,
            fleet.clock_drift_ratio,
            fleet.switch_bound_seconds,
            fleet.longest_query_seconds
        ),
        (2.0, 0.01, 8.0, Some(4.0))
    );
    assert_eq!(
        (fleet.voters.len(), fleet.peers[0].name.as_str(), fleet.links[0].bytes_per_second),
        (3, "n4", 10 * MIB)
    );
    assert_eq!(fleet.partners[0].tenants, ["mill", "harbour"]);
    let (fills, map) = (fleet.fills.clone().unwrap(), fleet.map.clone().unwrap());
    assert_eq!(
        (fills.deadline_seconds, fills.segment_bytes, fills.bytes_per_second, fills.max_concurrent_fills),
        (60.0, 64 * MIB, 32 * MIB, 4)
    );
    assert_eq!((map.min_replicas, map.min_zones, map.max_changed_ratio), (2, 2, 0.2));
    let quotas = fleet.quotas.clone().unwrap();
    assert_eq!(
        (
            quotas.reserved_ratio,
            quotas.interval_seconds,
            quotas.slow_start_parts_per_second,
            quotas.share_retries
        ),
        (0.25, 1.0, Some(40.0), true)
    );
    assert_eq!(quotas.tenants, ["mill"]);
    assert_eq!(fleet.consensus_config("n2", 4.0).check(), Ok(()));
    assert_eq!(
        (enabled.log_format.as_deref(), enabled.counters_interval_seconds),
        (Some("json"), Some(10.0))
    );
}

/// The text of a `fleet` node with one voter and the given keys and nodes; the given nodes begin on line 3 of the text.
fn fleet(keys: &str, nodes: &str) -> String {
    format!("fleet {keys} {{\nvoter \"a\" at=\"127.0.0.1:1\"\n{nodes}\n}}")
}

/// A `fleet` node with a valid address and folder, one voter, and the given keys and nodes.
fn fleet_with_defaults(keys: &str, nodes: &str) -> String {
    fleet(&format!("listen=\"127.0.0.1:1\" folder=\"/f\" {keys}"), nodes)
}

#[rstest]
#[case::unknown_key("bodies {\n  memory one=\"1MiB\" al=\"4MiB\"\n}", 2, 21, "'al' is not known")]
#[case::unknown_node("bodis", 1, 1, "'bodis' is not known")]
#[case::duplicate_node("log form=\"text\"\nlog form=\"json\"", 2, 1, "given twice")]
#[case::duplicate_key("bodies { memory one=\"1MiB\" one=\"2MiB\"; }", 1, 28, "given twice")]
#[case::invalid_size("bodies {\n  longest \"64 bananas\"\n}", 2, 11, "expected a size")]
#[case::invalid_number("counters every=\"soon\"", 1, 10, "expected a number")]
#[case::number_out_of_range("bodies { share customer=1.5; }", 1, 16, "from 0.01 to 1")]
#[case::relative_folder("bodies { files folder=\"here\"; }", 1, 16, "the absolute path")]
#[case::no_folder("bodies { files one=\"1MiB\"; }", 1, 10, "folder")]
#[case::body_exceeds_share("bodies { memory one=\"40MiB\" all=\"48MiB\"; }", 1, 1, "over the 18874368 bytes")]
#[case::phases_share("phases share=1.5", 1, 8, "from 0.01 to 0.9")]
#[case::phases_with_children("phases { share 0.5; }", 1, 10, "expected no children")]
#[case::state_without_folder("state every=1.0", 1, 1, "state: folder: expected the absolute path")]
#[case::state_every("state folder=\"/a\" every=0", 1, 19, "from 0.1 to 3600")]
#[case::search_without_address("search window=10", 1, 1, "search: listen: expected an address:port")]
#[case::search_window("search listen=\"127.0.0.1:0\" window=0", 1, 29, "from 1 to 10000")]
#[case::invalid_network("search-nodes \"10.1.0.0/16\" \"here\"", 1, 28, "expected a network")]
#[case::no_networks("search-nodes", 1, 1, "expected networks after it")]
#[case::background("background time=2", 1, 12, "from 0.001 to 0.5")]
#[case::not_kdl("bodies {", 1, 8, "not KDL")]
#[case::fleet_listen(&fleet("folder=\"/f\"", ""), 1, 1, "fleet: listen: expected an address:port")]
#[case::fleet_folder(&fleet("listen=\"127.0.0.1:1\"", ""), 1, 1, "folder: expected the absolute path")]
#[case::fleet_unknown_key(&fleet_with_defaults("leese=2.0", ""), 1, 40, "'leese' is not known")]
#[case::fleet_lease(&fleet_with_defaults("lease=\"long\"", ""), 1, 40, "expected a number from")]
#[case::fleet_bound(&fleet_with_defaults("lease=4.0 bound=4.0", ""), 1, 50, "raise `bound`")]
#[case::fleet_no_voter("fleet listen=\"127.0.0.1:1\" folder=\"/f\" {\n}", 1, 1, "no voter")]
#[case::fleet_duplicate_broker(&fleet_with_defaults("", "voter \"a\" at=\"127.0.0.1:9\""), 1, 1, "the broker 'a' is given twice")]
#[case::fleet_duplicate_address(&fleet_with_defaults("", "peer \"b\" at=\"127.0.0.1:1\""), 1, 1, "the address '127.0.0.1:1' is given twice")]
#[case::fleet_voter_without_name(&fleet_with_defaults("", "voter at=\"127.0.0.1:9\""), 3, 1, "expected a name after it")]
#[case::fleet_peer_address(&fleet_with_defaults("", "peer \"b\" at=\"there\""), 3, 10, "peer: at: expected an address:port")]
#[case::fleet_version(&fleet_with_defaults("", "version \"version.json\""), 3, 9, "the absolute path")]
#[case::fleet_link_unknown_partner(&fleet_with_defaults("", "link from=\"x\" to=\"y\" bytes=\"1MiB\""), 3, 1, "'x' is no partner")]
#[case::fleet_link_bytes(&fleet_with_defaults("", "link from=\"x\" to=\"y\""), 3, 1, "expected from=, to= and bytes=")]
#[case::fleet_duplicate_zone(&fleet_with_defaults("", "partner \"x\" zones=\"a\"\npartner \"y\" zones=\"b,a\""), 1, 1, "the zone 'a'")]
#[case::fleet_fills_without_address(&fleet_with_defaults("", "fills deadline=3.0"), 3, 1, "fills: at: expected an address:port")]
#[case::fleet_warm(&fleet_with_defaults("", "fills at=\"127.0.0.1:9\" warm=\"yes\""), 3, 24, "expected one of \"on\"")]
#[case::fleet_metered(&fleet_with_defaults("", "partner \"x\" metered=1"), 3, 13, "expected one of \"on\"")]
#[case::fleet_moves_relative_path(&fleet_with_defaults("", "moves \"plan.json\""), 3, 7, "moves: expected the absolute path")]
#[case::fleet_moves_without_path(&fleet_with_defaults("", "moves at-once=2"), 3, 1, "expected a name after it")]
#[case::fleet_moves_at_once(&fleet_with_defaults("", "moves \"/p\" at-once=0"), 3, 12, "from 1 to 64")]
#[case::fleet_map(&fleet_with_defaults("", "map most-changed=2.0"), 3, 5, "from 0.001 to 1")]
#[case::limits_empty(&fleet_with_defaults("", "limits"), 3, 1, "shares nothing")]
#[case::limits_floor(&fleet_with_defaults("", "limits floor=0.0 { further; }"), 3, 8, "from 0.05 to 1")]
#[case::limits_every(&fleet_with_defaults("", "limits every=0 { further; }"), 3, 8, "from 0.1 to 60")]
#[case::limits_unknown_key(&fleet_with_defaults("", "limits flor=0.5 { further; }"), 3, 8, "'flor' is not known")]
#[case::limits_cold_without_rate(&fleet_with_defaults("", "limits {\ncold\n}"), 4, 1, "expected rate=")]
#[case::limits_rate(&fleet_with_defaults("", "limits {\ncold rate=0\n}"), 4, 6, "from 0.01")]
#[case::limits_unknown_node(&fleet_with_defaults("", "limits {\nwarm\n}"), 4, 1, "limits: 'warm' is not known")]
#[case::limits_customer_without_name(&fleet_with_defaults("", "limits {\ncustomer\n}"), 4, 1, "expected a name")]
#[case::limits_duplicate_customer(&fleet_with_defaults("", "limits {\ncustomer \"a\"\ncustomer \"a\"\n}"), 5, 1, "'a' is given twice")]
#[case::fleet_unknown_node(&fleet_with_defaults("", "voters \"a\""), 3, 1, "fleet: 'voters' is not known")]
fn invalid_file_is_reported_with_place(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] message: &str,
) {
    let errors = parse(text).unwrap_err();
    assert!(errors[0].message.contains(message), "{errors:?}");
    assert_eq!((errors[0].line, errors[0].column), (line, column), "{errors:?}");
}

#[test]
fn all_errors_are_reported() {
    assert_eq!(parse("bodis\nlog form=\"xml\"\ncounters every=0").unwrap_err().len(), 3);
}

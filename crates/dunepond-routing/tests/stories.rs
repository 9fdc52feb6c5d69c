//! One short story for each rule guarded and each failure met.

mod fake;

use dunepond_routing::*;
use fake::*;
use rstest::rstest;

const WHOLE: Final = Final::Answer { whole: true };

#[test]
fn all_parts_go_out_together_and_enough_of_them_answer() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(QUICK, &[0, 1, 2, 3, 4]);
    assert_eq!(town.sent(scan).len(), 5);
    town.end(scan, 0, AttemptOutcome::Served);
    town.end(scan, 3, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), []);
    town.end(scan, 4, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), [WHOLE]);
    assert_eq!(town.host.cancelled, [(scan, 1, 0), (scan, 2, 0)]);
}

#[test]
fn a_part_goes_to_the_holder_with_fewer_of_ours() {
    let mut town = Town::new(Deployment { replicas: 2, ..site() });
    town.host.nodes = vec![None; 6];
    let first = town.scan(FULL, &[0]);
    let second = town.scan(FULL, &[0]);
    assert_ne!(town.sent(first)[0].node, town.sent(second)[0].node);
}

/// Six nodes stand in three zones. With three holders each segment has a near one; with two a third of them
/// have none, and all that a preference does there is to take the choice from ties.
#[rstest]
#[case::each_segment_has_one_near(3, 45..75)]
#[case::some_have_none(2, 30..60)]
fn the_near_one_of_two_alike_is_taken_where_each_segment_has_one(
    #[case] holders: usize,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut town = Town::new(Deployment { replicas: holders, ..site() });
    let one = |town: &mut Town| {
        let scan = town.scan(FULL, &[0]);
        town.run(1.0);
        town.sent(scan)[0].node
    };
    let near = (0..90).filter(|_| one(&mut town) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

/// In sets a segment is held by all nodes of one cell: how many there are is a matter of the list.
#[test]
fn the_near_one_of_a_set_is_taken() {
    let mut town = Town::new(Deployment { replicas: 1, replica_groups: 2, ..site() });
    let one = |town: &mut Town| {
        let scan = town.scan(FULL, &[0]);
        town.run(1.0);
        town.sent(scan)[0].node
    };
    let near = (0..90).filter(|_| one(&mut town) == 0).count();
    assert!((45..75).contains(&near), "{near}");
}

/// The near node has just taken a quarter longer than the others: dear crossings outweigh that, cheap ones do not.
#[rstest]
#[case::cheap(0.01, 0..30)]
#[case::dear(0.06, 45..75)]
fn what_a_crossing_costs_weighs_against_a_slower_node(
    #[case] price: f64,
    #[case] expected: std::ops::Range<usize>,
) {
    let mut town = Town::new(Deployment { cross_zone_cost: Some(price), ..site() });
    [0, 3].iter().for_each(|near| town.host.nodes[*near] = Some((AttemptOutcome::Served, 0.25)));
    let one = |town: &mut Town| {
        let scan = town.scan(FULL, &[0]);
        town.run(1.0);
        town.sent(scan)[0].node
    };
    (0..30).for_each(|_| {
        one(&mut town);
    });
    let near = (0..90).filter(|_| one(&mut town) == 0).count();
    assert!(expected.contains(&near), "{near}");
}

#[test]
fn a_second_step_is_asked_for_and_all_of_it_awaited() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(TWO_STEP, &[0, 1]);
    town.end(scan, 1, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), [WHOLE]);
    town.broker.on_second_step(&mut town.host, scan, parts(&[1, 1]));
    assert_eq!(town.sent(scan).len(), 4);
    town.end(scan, 2, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), [WHOLE]);
    town.end(scan, 3, AttemptOutcome::Served);
    assert_eq!(town.finals(scan), [WHOLE, WHOLE]);
}

/// 56 shares of 0.017857 sum to 0.999992: all of them are the whole answer, and one less is not.
#[rstest]
#[case::down(56, 0.017857)]
#[case::up(7, 0.142858)]
fn a_scan_whose_shares_are_rounded_is_whole_with_all_of_them(#[case] count: usize, #[case] share: f64) {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.rounded(FULL, count, share);
    assert_eq!(town.sent(scan).len(), count);
    for part in 0..count {
        assert_eq!(town.finals(scan), []);
        town.end(scan, part, AttemptOutcome::Served);
    }
    assert_eq!(town.finals(scan), [WHOLE]);
}

/// Brokers that meet a node once in a second come back long after the usual time for which it is left alone.
/// It has answered at once and holds nothing of ours: without a memory of it, it is the lightest of all.
#[test]
fn a_node_that_turns_parts_away_as_full_is_met_less_often_by_a_broker_that_meets_it_seldom() {
    let mut town = Town::new(site());
    town.host.nodes[0] = Some((AttemptOutcome::Rejected, 0.001));
    town.host.nodes[5] = Some((AttemptOutcome::Served, 0.9));
    for _ in 0..60 {
        town.scan(FULL, &[0]);
        town.run(0.5);
        town.scan(FULL, &[3]);
        town.run(0.5);
    }
    let tried = town.to_node(0, 0.0);
    assert!((1..10).contains(&tried), "{tried}");
}

#[rstest]
#[case::allowed(true, 1)]
#[case::forbidden(false, 0)]
fn leftovers_are_cancelled_where_that_is_allowed(#[case] may_cancel: bool, #[case] cancels: usize) {
    let mut town = Town::new(Deployment { may_cancel, ..site() });
    let scan = town.scan(FULL, &[0]);
    town.broker.on_client_disconnect(&mut town.host, scan);
    assert_eq!(town.host.cancelled.len(), cancels);
}

#[rstest]
#[case::worthless_after_its_target(QUICK, 2.1)]
#[case::replayable(FULL, 3.9)]
#[case::non_replayable(FIX, 3.9)]
fn a_scan_that_nobody_answers_is_ended_in_time_and_once(#[case] table_type: usize, #[case] by: f64) {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(table_type, &[0]);
    town.run(8.0);
    assert_eq!(town.finals(scan).len(), 1);
    assert!(town.host.finals[0].0 < 100.0 + by);
}

#[rstest]
#[case::error(AttemptOutcome::Error, 1, Some(Final::Abandon))]
#[case::timed_out(AttemptOutcome::TimedOut, 1, Some(Final::Abandon))]
#[case::dropped(AttemptOutcome::ConnectionLost, 1, Some(Final::Abandon))]
#[case::full(AttemptOutcome::Rejected, 2, None)]
#[case::no_connection(AttemptOutcome::ConnectFailed, 2, None)]
fn a_non_replayable_part_goes_again_only_if_it_never_ran(
    #[case] end: AttemptOutcome,
    #[case] sends: usize,
    #[case] fin: Option<Final>,
) {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(FIX, &[0]);
    town.end(scan, 0, end);
    assert_eq!(town.sent(scan).len(), sends);
    assert_eq!(town.finals(scan).first(), fin.as_ref());
}

#[rstest]
#[case::inside(0.5, 2)]
#[case::outside(1.2, 1)]
fn a_keyed_part_that_may_have_run_goes_again_inside_its_window(#[case] after: f64, #[case] sends: usize) {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(KEYED, &[0]);
    town.run(after);
    town.end(scan, 0, AttemptOutcome::Error);
    assert_eq!(town.sent(scan).len(), sends);
}

#[rstest]
#[case::told(false, vec![row(0, EndpointState::Draining, 0.0), row(1, EndpointState::Removed, 0.0)])]
#[case::missing_from_a_full_list(true, (2..6).map(|n| row(n, EndpointState::Active, 0.0)).collect())]
fn nothing_new_goes_to_a_draining_or_gone_node(#[case] complete: bool, #[case] rows: Vec<Endpoint>) {
    let mut town = Town::new(site());
    town.list(complete, &rows);
    town.traffic(QUICK, 5.0, 0.05);
    assert_eq!(town.to_node(0, 0.0) + town.to_node(1, 0.0), 0);
}

fn most_in_any_span(town: &Town, node: NodeId, span: f64) -> usize {
    let times: Vec<f64> = town.host.sent.iter().filter(|s| s.node == node).map(|s| s.at).collect();
    times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + span).count()).max().unwrap_or(0)
}

#[rstest]
#[case::one_is_cold(1)]
#[case::all_are_cold_and_the_broker_is_new(6)]
fn a_cold_node_gets_its_part_of_the_budget(#[case] cold: usize) {
    let mut town = Town::new(site());
    let rows: Vec<_> = (0..cold).map(|n| row(n, EndpointState::Active, 99.9)).collect();
    town.list(false, &rows);
    town.traffic(FULL, 3.0, 0.06);
    for node in 0..cold {
        // At most 2.5 x 0.36 of the two cores' ten parts a second, split among three brokers.
        assert!(most_in_any_span(&town, node, 1.0) <= 3);
    }
}

#[test]
fn many_brokers_that_hear_of_a_start_do_not_all_begin_at_once() {
    let mut times: Vec<f64> = Vec::new();
    for seed in 0..40 {
        let mut town = Town::new(Deployment { seed, broker_count: 40.0, replicas: 1, ..site() });
        town.traffic(FULL, 6.0, 0.5);
        town.list(false, &[row(0, EndpointState::Active, 104.0)]);
        town.scan(FULL, &[0]);
        town.run(3.5);
        times.extend(town.host.sent.iter().filter(|s| s.node == 0 && s.at > 105.9).map(|s| s.at));
    }
    let most = times.iter().map(|t| times.iter().filter(|u| **u >= *t && **u < t + 1.0).count()).max();
    // 2.5 x 0.49 of the two cores' ten parts a second.
    assert!((1..=12).contains(&most.unwrap_or(0)), "{most:?}");
}

/// Of six brokers one sees a warm node complete some sixteen parts a second, so that eight are its part of what a cold
/// one bears in that time. A scan of many parts asks for several of them at once, and the next comes much later.
#[test]
fn several_parts_at_once_get_what_a_cold_node_was_not_sent_before() {
    let mut town = Town::new(Deployment { broker_count: 6.0, ..site() });
    town.traffic(FULL, 10.0, 0.01);
    let now = town.host.now;
    town.list(false, &[row(0, EndpointState::Active, now)]);
    for turn in 0..150 {
        town.owned(FULL, 1 + turn % 5, 1 + turn % 5);
        town.run(0.01);
    }
    assert_eq!(town.to_node(0, now), 0);
    for _ in 0..8 {
        town.owned(FULL, 0, 0);
    }
    let got = town.to_node(0, now);
    assert!((4..=8).contains(&got), "{got}");
}

/// Six parts come back before a broker's first wake, and no wake comes for a while: neither makes them hundreds a
/// second for one node.
#[test]
fn the_first_completions_do_not_widen_a_cold_nodes_room() {
    let mut town = Town::new(Deployment { broker_count: 40.0, replicas: 1, ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.002)); 6];
    town.scan(FULL, &[0, 1, 2, 3, 4, 5]);
    town.run(1.0);
    let start = town.host.now;
    town.list(false, &[row(0, EndpointState::Active, start)]);
    (0..20).for_each(|_| assert!(town.scan(FULL, &[0]) > 0));
    assert!(town.to_node(0, start) <= 1, "{}", town.to_node(0, start));
}

#[test]
fn waiting_at_warm_nodes_does_not_starve_a_cold_one() {
    let mut town = Town::new(site());
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.9)); 6];
    town.traffic(FULL, 4.0, 0.02);
    let restart = town.host.now;
    town.list(false, &[row(0, EndpointState::Active, restart - 5.0)]);
    town.host.nodes[0] = Some((AttemptOutcome::Served, 0.1));
    town.traffic(FULL, 2.0, 0.02);
    assert!(town.to_node(0, restart) >= 6);
}

#[test]
fn quick_faults_of_dead_nodes_do_not_widen_a_cold_ones_room() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    (1..6).for_each(|node| town.host.nodes[node] = Some((AttemptOutcome::ConnectFailed, 0.002)));
    town.list(false, &[row(0, EndpointState::Active, town.host.now)]);
    let restart = town.host.now;
    town.traffic(FULL, 2.0, 0.01);
    assert!(town.to_node(0, restart) <= 4);
}

#[test]
fn a_list_cut_short_does_not_make_the_work_of_all_that_of_few() {
    let mut town = Town::new(site());
    town.traffic(FULL, 4.0, 0.05);
    let restart = town.host.now;
    let gone: Vec<_> = (1..5).map(|n| row(n, EndpointState::Removed, 0.0)).collect();
    town.list(false, &[vec![row(0, EndpointState::Active, restart)], gone].concat());
    town.host.nodes[5] = None;
    (0..40).for_each(|_| {
        town.scan(FULL, &[0]);
        town.run(0.025);
    });
    assert!((1..=3).contains(&town.to_node(0, restart)));
}

#[test]
fn a_fault_is_no_wait() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    let scan = town.scan(FULL, &[0]);
    (0..3).for_each(|_| town.end(scan, 0, AttemptOutcome::Error));
    let scans: Vec<_> = (0..12).map(|_| town.scan(FULL, &[0])).collect();
    assert!(scans.iter().all(|s| town.finals(*s).is_empty()));
}

#[rstest]
#[case::half_is_enough(2, Final::Answer { whole: false })]
#[case::a_quarter_is_not(1, Final::Throttle { wait: 0.0 })]
fn when_time_runs_out_a_partial_answer_is_marked_so(#[case] come: usize, #[case] expected: Final) {
    let mut town = Town::new(Deployment { max_retry_after: 0.0, ..site() });
    town.host.nodes = vec![None; 6];
    let scan = town.scan(PARTIAL, &[0, 1, 2, 3]);
    (0..come).for_each(|part| town.end(scan, part, AttemptOutcome::Served));
    town.run(5.0);
    assert_eq!(town.finals(scan), [expected]);
}

#[test]
fn a_partial_answer_comes_while_it_still_earns() {
    let mut site = site();
    site.query_classes[PARTIAL].late_value_ratio = 0.0;
    let mut town = Town::new(site);
    town.host.nodes = vec![None; 6];
    let scan = town.scan(PARTIAL, &[0, 1, 2, 3]);
    (0..2).for_each(|part| town.end(scan, part, AttemptOutcome::Served));
    town.run(1.9);
    assert_eq!(town.finals(scan), []);
    town.run(0.099);
    assert_eq!(town.finals(scan), [Final::Answer { whole: false }]);
}

/// Segment 0's holders are dead: three quarters can still come, and half may be answered.
#[test]
fn a_scan_that_can_be_answered_in_part_is_not_turned_away_for_the_rest() {
    let mut town = Town::new(Deployment { replicas: 1, ..site() });
    town.host.nodes[0] = None;
    (0..4).for_each(|_| {
        town.scan(FULL, &[0]);
        town.run(2.0);
    });
    assert!(town.aside(0));
    let scan = town.scan(PARTIAL, &[0, 1, 2, 3]);
    assert!(town.sent(scan).len() >= 3);
}

#[test]
fn further_dispatches_stay_in_the_budget() {
    let budget = RetryBudget { window: 2.0, min_retries: 3.0, ratio: 0.05 };
    let mut town = Town::new(Deployment { retry_budget: Some(budget), ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let scans: Vec<_> = (0..18).map(|seg| town.scan(FULL, &[seg % 6])).collect();
    town.run(1.9);
    assert!(town.host.sent.len() > scans.len());
    assert!(town.host.sent.len() - scans.len() <= 3 + 1);
}

#[test]
fn a_part_is_not_dispatched_beyond_its_cap() {
    let mut town = Town::new(Deployment { max_attempts: 2, ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let scan = town.scan(FULL, &[0]);
    town.run(1.0);
    assert_eq!(town.sent(scan).len(), 2);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

#[test]
fn a_silent_node_is_set_aside_and_its_parts_are_copied() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = None;
    let hang = town.host.now;
    town.traffic(FULL, 2.0, 0.05);
    assert!(town.aside(2));
    // It may be only the connection that is silent.
    assert!(town.host.closed.contains(&2));
    let known = town.host.now;
    town.traffic(FULL, 3.0, 0.05);
    assert!(town.to_node(2, known) <= 10);
    town.run(3.0);
    let late = town.host.finals.iter().filter(|f| f.0 > hang && f.2 != WHOLE).count();
    assert_eq!(late, 0);
}

#[rstest]
#[case::errors(AttemptOutcome::Error)]
#[case::connections(AttemptOutcome::ConnectFailed)]
fn a_node_that_fails_at_once_does_not_draw_more(#[case] end: AttemptOutcome) {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = Some((end, 0.002));
    let start = town.host.now;
    town.traffic(FULL, 4.0, 0.05);
    assert!(town.aside(2));
    assert!(town.to_node(2, start) <= 10);
}

/// However many parts were out on it; spoilt answers come from any node, and each costs its connection.
#[test]
fn a_connection_that_breaks_is_one_fault() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.run(1.0);
    town.host.nodes = vec![Some((AttemptOutcome::ConnectionLost, 0.1)); 6];
    for i in 0..24 {
        town.scan(FULL, &[i % 6]);
    }
    town.run(0.1);
    assert!((0..6).all(|n| !town.aside(n)));
}

#[test]
fn a_node_that_swallows_some_of_its_parts_is_set_aside() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    (0..300).for_each(|turn| {
        let scan = town.scan(FULL, &[2]);
        if turn % 3 == 0 {
            town.hold(scan, 2);
        }
        town.run(0.01);
    });
    assert!(town.host.log.iter().any(|l| l == "node 2 is set aside: it fails what it is given"));
}

#[rstest]
#[case::dropped_unseen_while_idle(3.0, 0.002, true)]
#[case::in_steady_use(0.05, 0.002, false)]
#[case::broken_by_a_crash(3.0, 0.1, false)]
fn idle_connections_that_break_are_no_fault_of_their_nodes(
    #[case] idle: f64,
    #[case] took: f64,
    #[case] told: bool,
) {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.run(idle);
    town.host.nodes = vec![Some((AttemptOutcome::ConnectionLost, took)); 6];
    town.scan(FULL, &[0, 3]);
    town.run(0.5);
    town.run(4.0);
    town.host.closed.clear();
    let scan = town.scan(FIX, &[0]);
    assert_eq!(town.sent(scan).first().is_some_and(|s| town.host.closed == [s.node]), told);
    // What breaks otherwise is a fault, and a holder that was asked twice has two.
    assert!(!told || (0..6).all(|n| !town.aside(n)));
}

/// Some connections break at any time, whatever they did before: most dispatches after as long an idle time go well.
#[test]
fn breaks_among_many_that_go_well_are_no_reason_to_open_anew() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    for turn in 0..40 {
        let end = if turn % 13 == 0 {
            (AttemptOutcome::ConnectionLost, 0.002)
        } else {
            (AttemptOutcome::Served, 0.2)
        };
        town.host.nodes = vec![Some(end); 6];
        town.scan(FIX, &[turn % 6]);
        town.run(1.0);
    }
    assert!(town.host.closed.is_empty(), "{:?}", town.host.closed);
}

#[test]
fn a_node_that_fails_one_table_type_keeps_the_others() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    let start = town.host.now;
    let fails = |town: &mut Town| {
        let scan = town.scan(QUICK, &[2]);
        town.scan(FULL, &[2]);
        let met = town.sent(scan)[0].node == 2;
        if met {
            town.end(scan, 0, AttemptOutcome::Error);
        }
        town.run(0.05);
        usize::from(met)
    };
    let failed: usize = (0..200).map(|_| fails(&mut town)).sum();
    assert!(!town.aside(2));
    assert!(failed < 30 && town.to_node(2, start) > 2 * failed, "{failed}");
}

#[test]
fn one_stray_error_sets_no_node_aside() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    let scan = town.scan(FULL, &[0]);
    town.end(scan, 0, AttemptOutcome::Error);
    town.traffic(FULL, 3.0, 0.05);
    assert!(!town.host.log.iter().any(|l| l.contains("set aside")));
}

#[test]
fn a_node_set_aside_comes_back_by_a_doubling_trickle() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = Some((AttemptOutcome::Error, 0.002));
    town.traffic(FULL, 1.0, 0.05);
    town.host.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    let mended = town.host.now;
    town.traffic(FULL, 0.9, 0.02);
    assert!(town.to_node(2, mended) <= 8);
    town.traffic(FULL, 4.0, 0.02);
    assert!(town.host.log.iter().any(|l| l == "node 2 is back in service"));
}

#[test]
fn time_that_we_stood_still_is_not_the_nodes_silence() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    (0..6).for_each(|seg| _ = town.scan(FULL, &[seg, (seg + 1) % 6]));
    town.host.now += 1.7;
    let first = town.scan(FULL, &[0]);
    assert_eq!(town.finals(first), []);
    town.traffic(FULL, 1.0, 0.05);
    assert!(!town.host.log.iter().any(|l| l.contains("set aside")));
}

#[test]
fn a_slow_node_is_given_less_even_when_counts_are_low() {
    let mut town = Town::new(site());
    town.host.nodes[2] = Some((AttemptOutcome::Served, 0.26));
    town.traffic(FULL, 9.0, 0.3);
    let start = town.host.now;
    town.traffic(FULL, 18.0, 0.3);
    assert!(town.to_node(2, start) * 3 < town.to_node(4, start));
}

#[rstest]
#[case::answered(0.7, 0.8, 12, 9, 0)]
#[case::withdrawn_late(1.9, 1.1, 3, 6, 1)]
fn one_slow_part_is_enough_to_ask_another_holder(
    #[case] took: f64,
    #[case] gap: f64,
    #[case] learns: usize,
    #[case] asks: usize,
    #[case] most: usize,
) {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.1);
    town.host.nodes[2] = Some((AttemptOutcome::Served, took));
    let ask = |town: &mut Town, times: usize| {
        (0..times).for_each(|_| {
            town.scan(FULL, &[2]);
            town.run(gap);
        });
    };
    ask(&mut town, learns);
    let start = town.host.now;
    ask(&mut town, asks);
    assert!(town.to_node(2, start) <= most);
}

/// Sixty nodes, of which every third answers after a time of its own.
fn sixty(site: Deployment) -> Town {
    let mut town = Town::new(Deployment { replica_groups: 60, ..site });
    town.list(true, &(0..60).map(|n| row(n, EndpointState::Active, 0.0)).collect::<Vec<_>>());
    town
}

fn every_third(took: f64) -> Vec<Option<(AttemptOutcome, f64)>> {
    (0..60).map(|n| Some((AttemptOutcome::Served, if n % 3 == 0 { took } else { 0.2 }))).collect()
}

#[test]
fn a_bad_way_to_a_zone_is_told_by_few_of_its_nodes() {
    let mut town = sixty(site());
    let ask = |town: &mut Town, far: f64, segs: std::ops::Range<usize>| {
        town.host.nodes = every_third(far);
        segs.for_each(|seg| {
            town.scan(FULL, &[seg]);
            town.run(0.2);
        });
        town.run(1.0);
    };
    ask(&mut town, 0.2, 0..16);
    ask(&mut town, 1.9, 0..28);
    let start = town.host.now;
    ask(&mut town, 1.9, 30..57);
    let far = town.host.sent.iter().filter(|s| s.at >= start && s.node % 3 == 0).count();
    assert_eq!(far, 0);
}

#[test]
fn what_cannot_be_asked_again_goes_where_health_is_proven() {
    let mut town = Town::new(Deployment { replicas: 2, ..site() });
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[1] = None;
    (0..4).for_each(|_| _ = town.scan(FULL, &[0]));
    town.run(0.3);
    let start = town.host.now;
    (0..6).for_each(|_| _ = town.scan(FIX, &[0]));
    assert_eq!(town.to_node(1, start), 0);
}

#[test]
fn what_cannot_be_asked_again_is_no_trial() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[1] = None;
    town.traffic(FULL, 1.0, 0.05);
    assert!(town.aside(1));
    let start = town.host.now;
    town.traffic(FIX, 4.0, 0.05);
    assert_eq!(town.to_node(1, start), 0);
}

/// Both of a part's dispatches were trials once, at two silent holders, and the sound third was never asked.
#[rstest]
fn a_copy_is_no_trial_while_a_holder_is_in_service(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut town = Town::new(Deployment { seed, ..site() });
    town.traffic(FULL, 3.0, 0.05);
    (town.host.nodes[2], town.host.nodes[3]) = (None, None);
    town.traffic(FULL, 2.0, 0.05);
    assert!(town.aside(2) && town.aside(3));
    for _ in 0..20 {
        town.run(4.0);
        for _ in 0..6 {
            town.scan(FULL, &[4]);
        }
        let scan = town.scan(FULL, &[2]);
        town.run(0.3);
        assert!(town.sent(scan).iter().any(|s| s.node == 4), "{:?}", town.sent(scan));
    }
}

#[test]
fn a_fleet_that_died_altogether_is_found_again() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes = vec![None; 6];
    town.traffic(FULL, 4.0, 0.05);
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.2)); 6];
    town.traffic(FULL, 8.0, 0.05);
    let scan = town.scan(FULL, &[0, 3]);
    town.run(1.0);
    assert_eq!(town.finals(scan), [WHOLE]);
}

#[test]
fn a_new_process_under_an_old_id_is_not_judged_by_its_forerunner() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = Some((AttemptOutcome::ConnectFailed, 0.002));
    town.traffic(FULL, 1.0, 0.02);
    town.host.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    let restart = town.host.now;
    town.list(false, &[row(2, EndpointState::Active, restart - 14.9)]);
    town.traffic(FIX, 0.5, 0.02);
    assert!(town.to_node(2, restart) >= 2);
}

/// With new nodes under new names all day, what is known of those that went would grow without end.
#[test]
fn a_forgotten_nodes_index_is_anothers_that_holds_something_else() {
    let mut town = Town::new(site());
    town.host.nodes[2] = Some((AttemptOutcome::Error, 0.002));
    town.traffic(FULL, 2.0, 0.05);
    assert!(town.aside(2));
    town.list(false, &[row(2, EndpointState::Removed, 0.0)]);
    town.run(1.0);
    town.broker.remove_node(2);
    town.host.nodes[2] = Some((AttemptOutcome::Served, 0.2));
    town.list(false, &[Endpoint { replica_group: 5, ..row(2, EndpointState::Active, 0.0) }]);
    let mut asked = |seg: usize| {
        let scans: Vec<_> = (0..20).map(|_| town.scan(FIX, &[seg])).collect();
        town.run(5.0);
        scans.into_iter().filter(|scan| town.sent(*scan)[0].node == 2).count()
    };
    assert_eq!(asked(2), 0);
    assert!(asked(5) > 0);
}

#[test]
fn a_failed_part_goes_to_another_holder() {
    let mut town = Town::new(site());
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.01)); 6];
    let scans: Vec<_> = (0..6).map(|seg| town.scan(FULL, &[seg])).collect();
    town.run(0.1);
    for scan in scans {
        let sent = town.sent(scan);
        assert!(sent.len() > 1 && sent[1..].iter().all(|s| s.node != sent[0].node));
    }
}

#[test]
fn spare_parts_stand_in_for_second_copies() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = None;
    town.traffic(FULL, 1.0, 0.05);
    town.run(2.0);
    let start = town.host.now;
    let scans: Vec<_> = (0..4).map(|_| town.scan(QUICK, &[0, 1, 2, 3, 4])).collect();
    town.run(0.15);
    assert!(town.to_node(2, start) > 0);
    assert!(scans.iter().all(|s| town.sent(*s).len() == 5));
}

#[test]
fn no_copies_are_made_at_drowning_holders() {
    let mut town = Town::new(site());
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.7)); 6];
    let fill = |town: &mut Town, seconds: f64| {
        (0..(seconds / 0.02) as usize).for_each(|_| {
            town.scan_of(PATIENT, &[0], 0, 30.0, false);
            town.run(0.02);
        });
    };
    fill(&mut town, 3.0);
    let scan = town.scan_of(QUICK, &[0, 3], 0, 3.9, false);
    (0..6).for_each(|node| town.hold(scan, node));
    fill(&mut town, 1.5);
    let copies = town.sent(scan).iter().filter(|s| s.part == 0).count();
    assert_eq!(copies, 1);
}

#[test]
fn a_costly_part_is_copied_in_time_but_not_sooner() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.03);
    let scan = town.scan(FULL, &[0]);
    (0..6).for_each(|node| town.hold(scan, node));
    town.traffic(FULL, 0.6, 0.03);
    assert_eq!(town.sent(scan).len(), 1);
    town.traffic(FULL, 0.4, 0.03);
    assert_eq!(town.sent(scan).len(), 2);
}

/// At ease the part would be copied after 0.8 s.
#[rstest]
#[case::at_ease(0.2, 2)]
#[case::all_take_longer(0.5, 1)]
fn a_late_part_is_copied_only_where_there_is_room(#[case] takes: f64, #[case] sends: usize) {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.03);
    town.host.nodes = vec![Some((AttemptOutcome::Served, takes)); 6];
    town.traffic(PATIENT, 3.0, 0.03);
    let scan = town.scan(FULL, &[0]);
    (0..6).for_each(|node| town.hold(scan, node));
    town.traffic(PATIENT, 0.9, 0.03);
    assert_eq!(town.sent(scan).len(), sends);
}

/// A queue looks like silence: the copy goes only once nearly all would have answered, and then at once.
#[rstest]
fn a_part_at_a_node_set_aside_is_copied_once_nearly_all_would_have_answered(#[values(1, 2, 3)] seed: u64) {
    let mut town = Town::new(Deployment { seed, ..site() });
    town.traffic(FULL, 3.0, 0.05);
    (town.host.nodes[2], town.host.nodes[3]) = (None, None);
    town.traffic(FULL, 2.0, 0.05);
    assert!(town.aside(2) && town.aside(3));
    let mut tried = 0;
    for _ in 0..20 {
        town.run(4.0);
        for _ in 0..6 {
            town.scan(FULL, &[4]);
        }
        let scan = town.scan(FULL, &[2]);
        if town.sent(scan)[0].node != 4 {
            tried += 1;
            town.run(0.15);
            assert_eq!(town.sent(scan).len(), 1);
            town.run(0.1);
            assert_eq!(town.sent(scan).len(), 2);
        }
    }
    assert!(tried > 0);
}

#[test]
fn of_two_holders_that_lost_an_answer_each_the_first_is_asked_again() {
    let mut town = Town::new(Deployment { replicas: 2, ..site() });
    town.host.nodes = vec![None; 6];
    let scan = town.scan(FULL, &[0]);
    (0..2).for_each(|_| {
        town.run(0.1);
        town.end(scan, 0, AttemptOutcome::ConnectionLost);
    });
    let to: Vec<_> = town.sent(scan).iter().map(|s| s.node).collect();
    assert_eq!(to.len(), 3);
    assert_ne!(to[0], to[1]);
}

/// Each is asked again once its refusal is over; with all its dispatches gone the scan is ended at once.
#[test]
fn a_part_that_all_holders_turn_away_as_full_goes_again_and_then_ends_its_scan() {
    let mut town = Town::new(Deployment { replicas: 2, ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Rejected, 0.002)); 6];
    let scan = town.scan(FULL, &[0]);
    town.run(0.2);
    assert_eq!(town.sent(scan).len(), 2);
    town.run(1.0);
    assert_eq!(town.sent(scan).len(), 4);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

#[test]
fn a_node_that_refused_as_full_is_left_alone_for_a_while() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    town.host.nodes[2] = Some((AttemptOutcome::Rejected, 0.001));
    let start = town.host.now;
    town.traffic(FULL, 1.0, 0.02);
    assert!(town.to_node(2, start) <= 6);
}

/// The holders of segment 0 answer all, but after more than half a target time; the others are at ease.
fn drowned() -> Town {
    let mut town = Town::new(site());
    for wait in [0.6, 1.2] {
        (0..3).for_each(|node| town.host.nodes[node] = Some((AttemptOutcome::Served, wait)));
        (0..60).for_each(|_| {
            town.scan_of(PATIENT, &[0], 0, 30.0, false);
            town.scan_of(PATIENT, &[3], 0, 30.0, false);
            town.run(0.05);
        });
    }
    town
}

#[test]
fn scans_of_drowned_holders_are_turned_away_at_no_cost_and_no_others() {
    let mut town = drowned();
    let scans: Vec<_> = (0..24).map(|_| town.scan(FULL, &[0])).collect();
    let away: Vec<_> = scans.into_iter().filter(|s| !town.finals(*s).is_empty()).collect();
    assert!(away.len() >= 8);
    for scan in away {
        assert!(town.sent(scan).is_empty());
        assert!(matches!(town.finals(scan)[..], [Final::Throttle { wait }] if wait > 0.0 && wait <= 2.0));
    }
    let others: Vec<_> = (0..24).map(|_| town.scan(FULL, &[3])).collect();
    assert!(others.iter().all(|s| town.finals(*s).is_empty()));
}

#[test]
fn a_fleet_slow_altogether_presses_even_where_we_hold_little_and_not_for_longer() {
    let mut town = Town::new(site());
    let pace = |town: &mut Town, took: f64, seconds: f64| {
        town.host.nodes = vec![Some((AttemptOutcome::Served, took)); 6];
        town.traffic(PATIENT, seconds, 0.15);
        town.run(2.0);
    };
    [0.2, 0.5, 1.0, 1.8].into_iter().for_each(|took| pace(&mut town, took, 16.0));
    let away = |town: &mut Town| {
        let scans: Vec<_> = (0..12).map(|turn| town.scan(FULL, &[turn % 6])).collect();
        scans.iter().filter(|s| !town.finals(**s).is_empty()).count()
    };
    assert!(away(&mut town) >= 10);
    town.run(200.0);
    assert_eq!(away(&mut town), 0);
}

/// All have taken long and are well again. A broker that sends nothing for fear of a wait hears of nothing either: it
/// turned away all that came, with nothing out, for twice the longest target time of all, here 40 s; and where a zone's
/// samples stand in for a node's, for four times as long.
#[rstest]
#[case::zones(3, 30)]
#[case::one_zone(1, 3)]
fn a_wait_that_nobody_told_of_for_as_long_as_itself_is_asked_after(
    #[case] zones: usize,
    #[case] least: usize,
) {
    let mut town = Town::new(site());
    let rows =
        |standing| (0..6).map(|n| Endpoint { zone: n % zones, ..row(n, standing, 0.0) }).collect::<Vec<_>>();
    town.list(true, &rows(EndpointState::Removed));
    (0..6).for_each(|node| town.broker.remove_node(node));
    town.list(true, &rows(EndpointState::Active));
    town.traffic(PATIENT, 16.0, 0.15);
    town.host.nodes = vec![Some((AttemptOutcome::Served, 3.0)); 6];
    town.traffic(PATIENT, 24.0, 0.15);
    town.run(3.0);
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.2)); 6];
    let (mut last, mut longest, mut served) = (town.host.now, 0.0, 0);
    for turn in 0..100 {
        let scan = town.scan(FULL, &[turn % 6]);
        if town.finals(scan).is_empty() {
            longest = f64::max(longest, town.host.now - last);
            last = town.host.now;
            served += usize::from(turn >= 60);
        }
        town.run(0.25);
    }
    assert!(longest < 4.0, "{longest}");
    assert!(served >= least, "{served}");
}

/// Sixty nodes, each met once in a few seconds; a third of them have become slow.
fn doubtful(gap: f64) -> Town {
    let plain = site();
    let kinds = plain.query_classes[..PARTIAL].to_vec();
    let mut town = sixty(Deployment { query_classes: kinds, may_probe: true, ..plain });
    for (slow, seconds) in [(0.2, 5.0), (0.95, 2.5)] {
        town.host.nodes = every_third(slow);
        (0..(seconds / gap) as usize).for_each(|turn| {
            town.scan(FIX, &[turn * 7 % 60]);
            town.run(gap);
        });
    }
    town.host.probed.clear();
    town
}

#[test]
fn a_part_waits_for_the_first_holder_that_answers_a_probe_where_nothing_else_tells() {
    let mut town = doubtful(0.1);
    let scan = town.scan(FULL, &[10]);
    assert_eq!(town.host.probed, [10, 11, 12]);
    assert!(town.sent(scan).is_empty());
    town.broker.on_probe_result(&mut town.host, 12, Some(0.1));
    assert_eq!(town.sent(scan)[0].node, 12);
}

#[test]
fn a_scan_whose_holders_leave_its_probes_unanswered_is_turned_away() {
    let mut town = doubtful(0.1);
    let scan = town.scan(FULL, &[10, 11, 12, 13]);
    town.broker.on_probe_result(&mut town.host, 10, Some(0.1));
    town.run(1.3);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

/// What the first step has cost would be lost for two parts.
#[test]
fn a_second_step_is_not_turned_away_by_its_probes() {
    let mut town = doubtful(0.1);
    let scan = town.scan(TWO_STEP, &[10, 13]);
    [10, 13].iter().for_each(|node| town.broker.on_probe_result(&mut town.host, *node, Some(0.1)));
    town.end(scan, 0, AttemptOutcome::Served);
    town.broker.on_second_step(&mut town.host, scan, parts(&[10, 13]));
    town.run(1.5);
    assert_eq!(town.finals(scan), [WHOLE, WHOLE]);
    assert_eq!(town.sent(scan).len(), 4);
}

#[rstest]
#[case::a_queue_shows(0.1, true)]
#[case::a_sign_of_life_only(0.004, false)]
fn probes_that_tell_nothing_are_given_up(#[case] took: f64, #[case] goes_on: bool) {
    let mut town = doubtful(0.1);
    (0..10).for_each(|node| town.broker.on_probe_result(&mut town.host, node, Some(took)));
    town.scan(FULL, &[10]);
    assert_eq!(!town.host.probed.is_empty(), goes_on);
}

#[test]
fn a_broker_that_meets_its_holders_often_needs_no_probes() {
    let mut town = doubtful(0.02);
    town.scan(FULL, &[10]);
    assert!(town.host.probed.is_empty());
}

#[test]
fn no_probes_are_made_at_ease() {
    let mut town = Town::new(Deployment { may_probe: true, ..site() });
    town.traffic(FULL, 6.0, 0.05);
    assert!(town.host.probed.is_empty());
}

/// Nodes that collect their garbage are silent for as long as that takes, and neighbours may do so together.
#[test]
fn a_scan_whose_holders_all_paused_a_moment_ago_is_not_turned_away() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    (0..3).for_each(|node| town.host.nodes[node] = None);
    let mut all_aside = || {
        town.traffic(FULL, 0.1, 0.02);
        (0..3).all(|n| town.aside(n))
    };
    assert!((0..12).any(|_| all_aside()));
    (0..3).for_each(|node| town.host.nodes[node] = Some((AttemptOutcome::Served, 0.2)));
    let scans = [FULL, FIX].map(|table_type| town.scan(table_type, &[0]));
    town.traffic(FULL, 2.0, 0.02);
    assert!(scans.iter().all(|scan| town.finals(*scan) == [WHOLE]));
}

#[test]
fn a_dead_node_is_no_overload_but_a_block_with_no_other_is_turned_away() {
    let mut town = Town::new(site());
    town.traffic(FULL, 3.0, 0.05);
    (0..3).for_each(|node| town.host.nodes[node] = None);
    town.traffic(FULL, 3.0, 0.05);
    assert!((0..3).all(|n| town.aside(n)));
    let verdicts = |town: &mut Town, seg: usize| {
        let scans: Vec<_> = (0..12).map(|_| town.scan(FULL, &[seg])).collect();
        scans.iter().filter(|s| !town.finals(**s).is_empty()).count()
    };
    assert_eq!(verdicts(&mut town, 1), 0);
    assert!(verdicts(&mut town, 0) >= 9);
}

#[test]
fn beyond_its_share_a_customer_goes_first() {
    let mut town = Town::new(Deployment { quotas: vec![0.3, 3000.0], ..site() });
    // The wait is just past where turning away begins: within a share most still pass.
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.75)); 6];
    (0..80).for_each(|_| {
        town.scan_of(PATIENT, &[0], 1, 30.0, false);
        town.run(0.05);
    });
    let mut away = |customer: usize| {
        let scans: Vec<_> = (0..20).map(|_| town.scan_of(FULL, &[0], customer, 3.9, false)).collect();
        scans.iter().filter(|s| !town.finals(**s).is_empty()).count()
    };
    assert!(away(1) <= 10);
    assert!(away(0) >= 16);
}

/// The wait that is seen is one and the same; that scans admitted by it came late says that it is longer.
#[rstest]
#[case::most_came_in_time(false, 0..8)]
#[case::most_came_late(true, 8..21)]
fn scans_that_missed_their_target_lately_raise_the_pressure(
    #[case] late: bool,
    #[case] away: std::ops::Range<usize>,
) {
    let mut town = Town::new(site());
    let kind = if late { TWO_STEP } else { PATIENT };
    let first: Vec<_> = (0..12).map(|turn| town.scan_of(kind, &[turn % 6], 0, 30.0, false)).collect();
    town.run(0.5);
    // As where beyond its share a customer goes first: the wait is just past where turning away begins.
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.75)); 6];
    (0..80).for_each(|turn| {
        town.scan_of(PATIENT, &[0], 0, 30.0, false);
        if turn == 62 {
            first.iter().for_each(|scan| town.broker.on_second_step(&mut town.host, *scan, parts(&[0])));
        }
        town.run(0.05);
    });
    let scans: Vec<_> = (0..20).map(|_| town.scan_of(FULL, &[0], 0, 3.9, false)).collect();
    let turned = scans.iter().filter(|s| !town.finals(**s).is_empty()).count();
    assert!(away.contains(&turned), "{turned}");
}

#[test]
fn what_its_client_will_not_wait_for_is_not_sent() {
    let mut town = Town::new(site());
    town.host.nodes = vec![Some((AttemptOutcome::Served, 0.6)); 6];
    town.traffic(FULL, 3.0, 0.1);
    let hasty = town.scan_of(FULL, &[0, 1], 0, 0.4, false);
    assert!(town.sent(hasty).is_empty());
    assert!(matches!(town.finals(hasty)[..], [Final::Throttle { .. }]));
}

#[test]
fn a_further_try_that_can_earn_nothing_any_more_is_turned_away() {
    let mut town = Town::new(site());
    let first = town.scan_of(QUICK, &[0], 0, 4.0, false);
    let again = town.scan_of(QUICK, &[0], 0, 1.5, true);
    assert_eq!(town.finals(first), []);
    assert!(matches!(town.finals(again)[..], [Final::Throttle { .. }]));
}

#[rstest]
#[case::one_step(FULL, false, 0)]
#[case::a_second_step_waits_again(TWO_STEP, false, 1)]
#[case::late_already(FULL, true, 1)]
fn a_light_wait_turns_away_what_it_makes_late(#[case] kind: usize, #[case] late: bool, #[case] away: usize) {
    let mut town = Town::new(Deployment { quotas: vec![0.0, 3000.0], ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Served, if late { 0.75 } else { 0.48 })); 6];
    (0..200).for_each(|_| {
        town.scan_of(PATIENT, &[0], 1, 30.0, false);
        town.run(0.02);
    });
    let customer = if late { 1 } else { 0 };
    town.scan_of(kind, &[3], customer, 5.9, false);
    let scan = town.scan_of(kind, &[0], customer, if late { 3.0 } else { 5.9 }, late);
    assert_eq!(town.finals(scan).len(), away);
}

// ---- texts that cannot be had again

#[test]
fn a_text_that_passes_goes_out_once_and_a_failed_part_ends_its_scan_at_once() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.passing(FULL, &[0, 1]);
    assert_eq!(town.sent(scan).len(), 2);
    town.end(scan, 0, AttemptOutcome::Error);
    assert_eq!(town.sent(scan).len(), 2);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

/// Neither silence nor an overdue part brings a copy, which would have nothing to carry.
#[test]
fn a_text_that_passed_is_copied_to_nobody() {
    let mut town = Town::new(site());
    town.traffic(FULL, 10.0, 0.1);
    town.host.nodes = vec![None; 6];
    let scan = town.passing(FULL, &[0]);
    town.run(3.0);
    assert_eq!(town.sent(scan).len(), 1);
}

#[test]
fn parts_that_can_be_missed_may_fail_of_a_text_that_passes() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.passing(QUICK, &[0, 1, 2, 3, 4]);
    town.end(scan, 0, AttemptOutcome::ConnectFailed);
    town.end(scan, 1, AttemptOutcome::Error);
    assert_eq!(town.finals(scan), []);
    (2..5).for_each(|part| town.end(scan, part, AttemptOutcome::Served));
    assert_eq!(town.finals(scan), [WHOLE]);
}

/// Waiting for a holder would keep its client sending what nobody can be given any more.
#[test]
fn a_text_that_passes_and_finds_no_node_is_given_up_at_once() {
    let mut town = Town::new(site());
    town.list(true, &[row(0, EndpointState::Draining, 0.0)]);
    let scan = town.passing(FULL, &[0]);
    assert_eq!(town.sent(scan).len(), 0);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

#[rstest]
#[case::replayable(FULL, AttemptOutcome::Error, Final::Throttle { wait: 0.0 })]
#[case::may_have_run(FIX, AttemptOutcome::ConnectionLost, Final::Abandon)]
#[case::never_ran(FIX, AttemptOutcome::Rejected, Final::Throttle { wait: 0.0 })]
fn once_a_text_is_gone_what_fails_is_final(
    #[case] kind: usize,
    #[case] end: AttemptOutcome,
    #[case] expected: Final,
) {
    let mut town = Town::new(Deployment { max_retry_after: 0.0, ..site() });
    town.host.nodes = vec![None; 6];
    let scan = town.scan(kind, &[0]);
    town.broker.on_body_discarded(&mut town.host, scan);
    assert_eq!(town.finals(scan), []);
    town.end(scan, 0, end);
    assert_eq!(town.finals(scan), [expected]);
    assert_eq!(town.sent(scan).len(), 1);
}

/// All its holders are full, so that it waits; with its text it has nothing to wait for any more.
#[test]
fn a_scan_with_unsent_parts_ends_with_its_text() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(FIX, &[0]);
    (0..3).for_each(|_| town.end(scan, 0, AttemptOutcome::Rejected));
    assert_eq!((town.sent(scan).len(), town.finals(scan)), (3, vec![]));
    town.broker.on_body_discarded(&mut town.host, scan);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
}

/// A body need not be kept for what can never go again, and must be for what may come back as never run.
#[rstest]
#[case::may_have_run(FIX, AttemptOutcome::Error, false)]
#[case::refused(FIX, AttemptOutcome::Rejected, true)]
#[case::replayable(FULL, AttemptOutcome::Error, true)]
fn a_text_is_needed_as_long_as_some_part_may_go_again(
    #[case] kind: usize,
    #[case] end: AttemptOutcome,
    #[case] needed: bool,
) {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.scan(kind, &[0, 1]);
    assert!(town.broker.needs_body(scan));
    town.end(scan, 1, AttemptOutcome::Served);
    assert!(town.broker.needs_body(scan));
    town.end(scan, 0, end);
    assert_eq!(town.broker.needs_body(scan), needed);
    assert_eq!(town.sent(scan).len(), if needed { 3 } else { 2 });
}

#[test]
fn a_text_is_not_needed_once_its_parts_have_had_all_their_dispatches() {
    let mut town = Town::new(Deployment { max_attempts: 1, ..site() });
    town.host.nodes = vec![None; 6];
    let scan = town.scan(FULL, &[0]);
    assert!(!town.broker.needs_body(scan));
}

/// A client that sends slowly would set aside every node that its body goes to.
#[rstest]
#[case::on_its_way(false)]
#[case::gone_out(true)]
fn a_node_owes_an_answer_only_once_the_frame_has_gone_out(#[case] framed: bool) {
    let mut town = Town::new(Deployment { replicas: 1, ..site() });
    town.traffic(FULL, 10.0, 0.1);
    town.host.nodes[0] = None;
    let scan = town.long(FULL, &[0]);
    town.run(0.5);
    if framed {
        town.broker.on_frame_written(&mut town.host, 0, (scan, 0, 0));
    }
    town.run(2.5);
    assert_eq!(town.aside(0), framed);
}

/// Its nodes are asked first: nothing goes out meanwhile, what is left out never does, and counts for the whole.
#[test]
fn a_scan_that_waits_sends_what_is_not_left_out_and_no_more() {
    let mut town = Town::new(site());
    let scan = town.waiting(FULL, &[0, 1, 2, 3]);
    town.run(0.5);
    assert_eq!((town.sent(scan).len(), town.finals(scan)), (0, vec![]));
    town.broker.on_prefilter_result(&mut town.host, scan, &[0, 2]);
    town.run(1.0);
    let sent: Vec<_> = town.sent(scan).iter().map(|s| s.part).collect();
    assert_eq!((sent, town.finals(scan)), (vec![1, 3], vec![WHOLE]));
}

#[test]
fn a_scan_of_which_all_is_left_out_is_answered_at_once() {
    let mut town = Town::new(site());
    let scan = town.waiting(FULL, &[0, 1]);
    town.broker.on_prefilter_result(&mut town.host, scan, &[0, 1]);
    assert_eq!((town.sent(scan).len(), town.finals(scan)), (0, vec![WHOLE]));
}

/// The word that a part was left out on has fallen while the others were out.
#[test]
fn what_was_left_out_on_a_word_that_fell_is_sent_before_the_answer_is_whole() {
    let mut town = Town::new(site());
    let scan = town.waiting(FULL, &[0, 1]);
    town.broker.on_prefilter_result(&mut town.host, scan, &[0]);
    town.run(0.1);
    town.broker.on_prefilter_revoked(&mut town.host, scan, &[0]);
    town.run(0.15);
    assert_eq!((town.sent(scan).len(), town.finals(scan)), (2, vec![]));
    town.run(1.0);
    assert_eq!(town.finals(scan), [WHOLE]);
}

/// Asking has taken so long that no search would come in time: it is told so then, and nothing goes out.
#[test]
fn a_scan_that_has_waited_too_long_to_be_searched_is_throttled_at_once() {
    let mut town = Town::new(site());
    town.traffic(FULL, 5.0, 0.1);
    let scan = town.waiting(FULL, &[0, 1]);
    town.run(3.8);
    let before = town.host.now;
    town.broker.on_prefilter_result(&mut town.host, scan, &[]);
    assert!(town.sent(scan).is_empty());
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]));
    assert_eq!(town.host.finals.last().unwrap().0, before);
}

/// Half of its parts are enough for an answer that is not whole; one that was left out is none of them.
#[test]
fn what_was_left_out_does_not_count_towards_the_least_share() {
    let mut town = Town::new(site());
    town.host.nodes = vec![None; 6];
    let scan = town.waiting(PARTIAL, &[0, 1, 2, 3]);
    town.broker.on_prefilter_result(&mut town.host, scan, &[0, 1]);
    town.end(scan, 2, AttemptOutcome::Served);
    town.run(4.0);
    assert!(matches!(town.finals(scan)[..], [Final::Throttle { .. }]), "{:?}", town.finals(scan));
}

#[test]
fn an_audit_goes_out_once_and_is_not_tried_again() {
    let mut town = Town::new(site());
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let scan = town.audit(FULL, 0);
    town.run(3.0);
    assert_eq!(town.sent(scan).len(), 1);
    assert_eq!(town.finals(scan).len(), 1);
}

/// Audits must not widen the budget of those that clients wait for.
#[test]
fn audits_earn_no_further_dispatches() {
    let budget = Some(RetryBudget { window: 10.0, min_retries: 0.0, ratio: 1.0 });
    let mut town = Town::new(Deployment { retry_budget: budget, ..site() });
    for _ in 0..20 {
        town.audit(FULL, 0);
    }
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.1)); 6];
    let scan = town.scan(FULL, &[1]);
    town.run(3.0);
    // Its own scan and part allow two more.
    assert_eq!(town.sent(scan).len(), 3);
}

#[test]
fn nothing_that_need_not_be_is_asked_of_cold_nodes_those_set_aside_or_a_pressed_fleet() {
    let mut town = Town::new(site());
    town.traffic(FULL, 10.0, 0.1);
    assert_eq!(town.broker.prefilter_candidates(0).count(), 3);
    assert!(!town.broker.is_overloaded());
    town.host.nodes[0] = None;
    town.traffic(FULL, 4.0, 0.1);
    assert!(town.aside(0));
    let now = town.host.now;
    town.list(false, &[row(1, EndpointState::Active, now - 1.0)]);
    assert_eq!(town.broker.prefilter_candidates(0).collect::<Vec<_>>(), [2]);
    // The cold node's room is there after half a second, whatever the seed; it stays in service longest.
    town.run(0.5);
    town.host.nodes = vec![Some((AttemptOutcome::Served, 1.5)); 6];
    for i in 0..4 {
        town.scan(FULL, &[i, i + 2]);
    }
    town.run(1.0);
    assert!(town.broker.is_overloaded());
}

/// What one process learned, another goes by: the median, and who was set aside, who is due a trial at once.
#[test]
fn a_node_set_aside_before_a_restart_gets_its_trials_after_it_and_no_more() {
    let mut first = Town::new(site());
    first.traffic(FULL, 10.0, 0.1);
    first.host.nodes[0] = None;
    first.traffic(FULL, 4.0, 0.1);
    assert!(first.aside(0));
    let beliefs = first.broker.learned_state(&first.host);
    let sent = |believed: bool| {
        let mut second = Town::new(site());
        second.host.nodes[0] = None;
        if believed {
            second.broker.restore_learned(&mut second.host, &beliefs);
        }
        second.traffic(FULL, 1.0, 0.05);
        second.to_node(0, 0.0)
    };
    // Its trials one after the other, until they are met with silence too.
    assert!(sent(true) <= 3 && sent(true) < sent(false), "{} {}", sent(true), sent(false));
}

#[test]
fn a_node_that_has_mended_meanwhile_is_back_after_its_trials() {
    let mut first = Town::new(site());
    first.traffic(FULL, 10.0, 0.1);
    first.host.nodes[0] = None;
    first.traffic(FULL, 4.0, 0.1);
    let beliefs = first.broker.learned_state(&first.host);
    let mut second = Town::new(site());
    second.broker.restore_learned(&mut second.host, &beliefs);
    assert!(second.broker.learned_state(&second.host).nodes[0].ejected);
    second.traffic(FULL, 6.0, 0.1);
    assert!(!second.broker.learned_state(&second.host).nodes[0].ejected);
}

/// It is not known what an earlier process spent: all of it, for as long as it may stand in a window.
#[test]
fn after_a_crash_nothing_is_sent_further_for_one_window_and_nothing_to_cold_nodes_for_a_span() {
    let budget = Some(RetryBudget { window: 2.0, min_retries: 9.0, ratio: 0.1 });
    let mut town = Town::new(Deployment { retry_budget: budget, ..site() });
    town.host.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    let now = town.host.now;
    town.list(false, &[row(0, EndpointState::Active, now - 1.0)]);
    town.broker.restore_spent(&mut town.host, None);
    let early = town.scan(FULL, &[0]);
    town.run(1.5);
    assert_eq!((town.sent(early).len(), town.to_node(0, 0.0)), (1, 0));
    town.run(1.0);
    let late = town.scan(FULL, &[1]);
    town.run(1.0);
    assert!(town.sent(late).len() > 1);
}

#[test]
fn what_was_spent_before_an_orderly_end_counts_afterwards() {
    let budget = Some(RetryBudget { window: 20.0, min_retries: 3.0, ratio: 0.0 });
    let site = || Deployment { retry_budget: budget.clone(), ..site() };
    let mut first = Town::new(site());
    first.host.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    let scan = first.scan(FULL, &[0]);
    first.run(1.0);
    let spent = first.sent(scan).len() - 1;
    assert!((1..=3).contains(&spent));
    let ledger = first.broker.spent_budgets(&first.host);
    assert_eq!(ledger.retries.len(), spent);
    let mut second = Town::new(site());
    second.host.nodes = vec![Some((AttemptOutcome::Error, 0.05)); 6];
    second.broker.restore_spent(&mut second.host, Some(&ledger));
    let scans: Vec<_> = (0..4).map(|seg| second.scan(FULL, &[seg])).collect();
    second.run(3.0);
    let further: usize = scans.iter().map(|scan| second.sent(*scan).len() - 1).sum();
    assert_eq!(further, 3 - spent);
}

/// A cold node may be sent two parts at any time, by all brokers together: who is alone need not wait for the first.
#[rstest]
fn a_lone_broker_sends_a_new_node_its_first_part_at_once(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut town = Town::new(Deployment { broker_count: 1.0, replicas: 1, seed, ..site() });
    let now = town.host.now;
    town.list(true, &[row(0, EndpointState::Active, now)]);
    let scan = town.scan(FULL, &[0]);
    assert_eq!(town.sent(scan).len(), 1);
}

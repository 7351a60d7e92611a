//! The sans-IO core in a simulated network with virtual time. Whatever is lost, cut off, killed or paused, no process
//! goes back to a lower index or holds documents other than those published, and all processes hold the newest
//! documents soon after the faults end.

mod core_common;

use std::time::Duration;

use config_distribution::parents::{
    FIRST_LINE_TIMEOUT, MAX_BACKOFF, MIN_STALE_GRACE, PARENT_SILENCE_TIMEOUT,
};
use config_distribution::report::{REPORT_EVERY, SILENT_AFTER};
use config_distribution::state::{Refusal, Wanted};
use core_common::network::{Action, Network, ORIGIN, REGIONS, ZONES, balancer, region_relay, zone_relay};
use core_common::{Model, live, ms, scope};

/// Time within which a change must reach all processes that can be reached.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(13);
/// Number of balancers in most tests.
const BALANCERS: usize = 280;
/// Number of services, which the balancers are divided among.
const SERVICES: usize = 10;

/// Random scope: the fleet, a region or a service.
fn random_scope(network: &mut Network) -> String {
    match network.random_below(10) {
        0 | 1 => "fleet".into(),
        2 | 3 => format!("region/r{}", network.random_below(REGIONS)),
        _ => format!("service/s{}", network.random_below(SERVICES)),
    }
}

/// Schedules faults of all kinds and publications at random times in the next 90 s. Returns the time when all faults
/// have ended.
fn schedule_random_faults(network: &mut Network) -> Duration {
    let from = network.now;
    let all = network.nodes.len();
    let length = ms(90_000);
    for _ in 0..60 {
        let at = from + network.random_duration(length);
        let text = random_scope(network);
        if network.random_below(6) == 0 {
            network.withdraw(at, &text);
        } else {
            network.publish(at, &text);
        }
    }
    for _ in 0..60 {
        let at = from + network.random_duration(length);
        let left = from + length - at;
        let node = 1 + network.random_below(all - 1);
        let relay = 1 + network.random_below(REGIONS + 2 * ZONES);
        let fault_duration = network.random_duration(ms(20_000)).min(left);
        match network.random_below(10) {
            0 | 1 => {
                let with_disk = network.random_below(2) == 0;
                network.schedule(at, Action::Kill(relay));
                network.schedule(at + fault_duration, Action::Start { node: relay, with_disk });
            }
            2 => {
                network.schedule(at, Action::Kill(node));
                network.schedule(at + fault_duration, Action::Start { node, with_disk: false });
            }
            3 => network.schedule(at, Action::Pause(relay, fault_duration)),
            4 => {
                let region = network.random_below(REGIONS);
                network.schedule(at, Action::CutRegion(region));
                network.schedule(at + fault_duration, Action::HealRegion(region));
            }
            5 => network.schedule(at, Action::Reset(node)),
            6 => network.schedule(at, Action::DamageUpdate(node)),
            7 => network.schedule(at, Action::RepeatUpdate(node)),
            8 => {
                network.schedule(at, Action::Mute(relay, true));
                network.schedule(at + fault_duration, Action::Mute(relay, false));
            }
            _ => {
                network.schedule(at, Action::Slow(node, fault_duration.min(ms(6000))));
                network.schedule(at + fault_duration, Action::Slow(node, Duration::ZERO));
            }
        }
    }
    let full = network.random_duration(ms(60_000));
    network.schedule(from + full, Action::DiskFull);
    from + length
}

#[test]
fn all_processes_converge_soon_after_random_faults_end() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=24 {
        let mut network = Network::settled(seed, BALANCERS, SERVICES);
        let end = schedule_random_faults(&mut network);
        network.run_until(end);
        let at = network.run_until_converged(end + CONVERGENCE_LIMIT);
        let at = at.unwrap_or_else(|| panic!("seed {seed}: not converged: {:?}", network.lagging()));
        slowest = slowest.max(at - end);
        // No process lags later, either.
        network.run_until(end + ms(40_000));
        assert_eq!(network.lagging(), Vec::<String>::new(), "seed {seed}: processes lag after convergence");
        let sums = network.nodes[ORIGIN].reports.sums(network.now, network.origin.state());
        assert_eq!(sums.children, BALANCERS as u64, "seed {seed}: balancers in the sums of the origin");
        for number in 0..SERVICES {
            assert_eq!(sums.lagging(network.origin.state(), &scope(&format!("service/s{number}"))), 0);
        }
    }
    println!("slowest convergence: {slowest:?} after the end of the faults");
}

/// Documents that a node holds and that are not withdrawn.
fn live_documents(network: &Network, node: usize) -> Model {
    live(&network.nodes[node].state, &Wanted::All)
}

/// Largest number of calls within any interval of this length that starts at a call after `since`.
fn max_calls_within(network: &Network, since: Duration, span: Duration) -> usize {
    let times: Vec<Duration> = network.calls.iter().map(|(at, _, _)| *at).filter(|at| *at >= since).collect();
    let within = |from: &Duration| times.iter().filter(|at| *at >= from && **at < *from + span).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn region_cut_off_for_five_minutes_keeps_its_documents_and_catches_up() {
    for seed in 1..=3 {
        let mut network = Network::settled(seed, BALANCERS, SERVICES);
        let (cut, heal) = (ms(20_000), ms(320_000));
        network.schedule(cut, Action::CutRegion(1));
        for minute in 0..5_u64 {
            let at = cut + ms(60_000 * minute);
            network.publish(at, "fleet");
            network.publish(at + ms(7), "region/r1");
            network.publish(at + ms(20), &format!("service/s{minute}"));
            network.withdraw(at + ms(90), "region/r0");
        }
        // Publishes just before and just after the cut ends.
        for before in [10, 1, 0] {
            network.publish(heal - ms(before), "fleet");
        }
        network.schedule(heal, Action::HealRegion(1));
        for after in [0, 1, 50, 1000] {
            network.publish(heal + ms(after), "region/r1");
            network.publish(heal + ms(after), "service/s3");
        }
        let region: Vec<usize> =
            (0..BALANCERS).map(balancer).filter(|node| network.nodes[*node].region == Some(1)).collect();
        let before: Vec<_> = region.iter().map(|node| live_documents(&network, *node)).collect();
        network.run_until(cut + ms(30_000));
        let lagging = network.lagging();
        let inside =
            |name: &String| network.nodes.iter().any(|node| node.region == Some(1) && node.name == *name);
        assert!(
            !lagging.is_empty() && lagging.iter().all(inside),
            "expected only processes in region 1 to lag, got {lagging:?}"
        );
        network.run_until(heal - ms(1));
        assert!(region.iter().zip(&before).all(|(node, before)| live_documents(&network, *node) == *before));
        // A child whose parents are all stale still tries the others, but at most once per parent in each grace time.
        let max_calls =
            region.iter().map(|node| network.calls_of(*node, cut)).max().expect("the region has balancers");
        let mean = region.iter().map(|node| network.calls_of(*node, cut)).sum::<usize>() as f64
            / region.len() as f64;
        assert!(
            max_calls <= 300 / MIN_STALE_GRACE.as_secs() as usize * 2,
            "a balancer made {max_calls} calls during the cut"
        );
        let at = network
            .run_until_converged(heal + ms(1000) + CONVERGENCE_LIMIT)
            .expect("convergence after the cut");
        println!(
            "seed {seed}: converged {:?} after the cut; calls per balancer: mean {mean:.0}, maximum {max_calls}",
            at - heal
        );
    }
}

#[test]
fn reconnects_of_all_children_are_spread_over_time() {
    let mut network = Network::settled(5, BALANCERS, SERVICES);
    let at = ms(30_000);
    for node in 1..network.nodes.len() {
        network.schedule(at, Action::Reset(node));
    }
    network.publish(at + ms(1), "fleet");
    let delivered = network.delivered.clone();
    network.run_until(at + ms(1000));
    let calls = network.calls.iter().filter(|(when, _, _)| *when >= at).count();
    assert!(
        calls >= network.nodes.len() - 1,
        "expected a call from each node but the origin, got {calls} calls"
    );
    // The calls are spread over 250 ms, so about a tenth falls into 25 ms. Twice as many are accepted.
    assert!(
        max_calls_within(&network, at, ms(25)) <= calls / 5,
        "calls within 25 ms: {}",
        max_calls_within(&network, at, ms(25))
    );
    assert!(network.run_until_converged(at + ms(3000)).is_some(), "not converged: {:?}", network.lagging());
    // No balancer is sent a snapshot again, only the one change: once, or twice from two parents.
    for number in 0..BALANCERS {
        let delivered = network.delivered[&balancer(number)] - delivered[&balancer(number)];
        assert!((1..=2).contains(&delivered), "expected 1 or 2 updates for a balancer, got {delivered}");
    }
    assert_eq!(network.refusals, []);
}

#[test]
fn children_of_killed_relays_reconnect_promptly_and_spread_over_time() {
    let mut network = Network::settled(6, BALANCERS, SERVICES);
    let at = ms(30_000);
    network.schedule(at, Action::Kill(region_relay(0)));
    network.schedule(at, Action::Kill(zone_relay(0, 0)));
    network.schedule(at, Action::Kill(zone_relay(0, 1)));
    network.run_until(at);
    let orphans: Vec<usize> = (0..network.nodes.len())
        .filter(|node| network.nodes[*node].is_running)
        .filter(|node| network.nodes[*node].follows().is_some_and(|parent| !network.nodes[parent].is_running))
        .collect();
    assert!(orphans.len() > 60, "expected more than 60 children of killed relays, got {}", orphans.len());
    network.run_until(at + ms(260));
    assert!(orphans.iter().all(|node| network.calls_of(*node, at) >= 1));
    assert!(max_calls_within(&network, at, ms(25)) <= orphans.len() / 3);
    // The balancers of zone 0 have no parent left and keep their documents. They follow a parent once one runs again.
    let orphan =
        (0..BALANCERS).map(balancer).find(|node| network.nodes[*node].parent_nodes[0] == zone_relay(0, 0));
    let orphan = orphan.expect("zone 0 has balancers");
    let before = network.nodes[orphan].state.clone();
    network.publish(at + ms(1000), "fleet");
    network.run_until(at + ms(60_000));
    assert_eq!(network.nodes[orphan].state, before);
    // Waits have full jitter below MAX_BACKOFF, so a child makes on average two calls in that time.
    assert!(
        network.calls_of(orphan, at) < 200,
        "calls of a balancer without parents: {}",
        network.calls_of(orphan, at)
    );
    network.schedule(at + ms(60_000), Action::Start { node: zone_relay(0, 1), with_disk: false });
    assert!(
        network.run_until_converged(at + ms(60_000) + CONVERGENCE_LIMIT).is_some(),
        "not converged: {:?}",
        network.lagging()
    );
}

#[test]
fn slow_readers_get_sixty_changes_a_minute_merged() {
    let mut network = Network::settled(7, BALANCERS, SERVICES);
    let (slow, fast) = (balancer(0), balancer(ZONES));
    let wanted = network.nodes[slow].wanted.clone();
    assert!(wanted.includes(&scope("service/s0")));
    network.schedule(ms(20_001), Action::Slow(slow, ms(5000)));
    let delivered = network.delivered.clone();
    for second in 0..60 {
        network.publish(ms(21_000 + 1000 * second), "fleet");
    }
    network.run_until(ms(81_000));
    let delivered = |node: usize| network.delivered[&node] - delivered[&node];
    assert_eq!(delivered(fast), 60);
    assert!(delivered(slow) <= 60 / 5 + 1, "updates sent to the slow balancer: {}", delivered(slow));
    assert!(delivered(slow) >= 10, "updates sent to the slow balancer: {}", delivered(slow));
    assert!(
        network.run_until_converged(ms(81_000) + CONVERGENCE_LIMIT).is_some(),
        "not converged: {:?}",
        network.lagging()
    );
    assert_eq!(network.refusals, []);
    assert_eq!(network.calls_of(slow, ms(20_000)), 0, "a slow balancer must not treat its parent as silent");
}

#[test]
fn repeated_update_is_applied_once_and_a_lost_one_is_fetched_again() {
    let mut network = Network::settled(8, BALANCERS, SERVICES);
    let (repeated, skipped) = (balancer(1), balancer(2));
    network.publish(ms(21_000), "fleet");
    network.schedule(ms(22_000), Action::RepeatUpdate(repeated));
    network.schedule(ms(22_000), Action::DropUpdate(skipped));
    network.publish(ms(23_000), "fleet");
    network.run_until(ms(24_000));
    assert_eq!(network.lagging(), [network.nodes[skipped].name.clone()]);
    assert_eq!(network.refusals, []);
    network.publish(ms(25_000), "fleet");
    assert!(network.run_until_converged(ms(26_000)).is_some(), "not converged: {:?}", network.lagging());
    assert!(matches!(network.refusals[..], [(node, Refusal::MissingChanges { .. })] if node == skipped));
}

#[test]
fn overlapping_changes_converge_to_the_same_state() {
    let mut network = Network::settled(9, BALANCERS, SERVICES);
    // The first publication is still on its way to one relay of each zone when the next is published; the other relay
    // of the zone is faster.
    for zone in 0..ZONES {
        network.schedule(ms(20_500), Action::Slow(zone_relay(zone, 0), ms(2500)));
    }
    network.publish(ms(21_000), "fleet");
    network.publish(ms(21_001), "service/s1");
    for number in 0..BALANCERS / 2 {
        network.schedule(ms(21_050), Action::Reset(balancer(number)));
    }
    network.publish(ms(21_060), "fleet");
    assert!(
        network.run_until_converged(ms(21_060) + CONVERGENCE_LIMIT).is_some(),
        "not converged: {:?}",
        network.lagging()
    );
    // Balancers that had the newest index and moved to a parent with a lower one were sent that index and refused it.
    assert!(network.refusals.iter().all(|(_, refusal)| matches!(refusal, Refusal::IndexWentBack { .. })));
    assert!(!network.refusals.is_empty());
}

#[test]
fn damaged_update_is_refused_and_fetched_from_another_parent() {
    let mut network = Network::settled(10, BALANCERS, SERVICES);
    for number in 0..30 {
        network.schedule(ms(20_500), Action::DamageUpdate(balancer(number)));
    }
    network.publish(ms(21_000), "fleet");
    assert!(network.run_until_converged(ms(22_000)).is_some(), "not converged: {:?}", network.lagging());
    assert_eq!(network.refusals.len(), 30);
    assert!(network.refusals.iter().all(|(_, refusal)| matches!(refusal, Refusal::Damaged { .. })));
}

#[test]
fn parent_that_accepts_watches_but_sends_nothing_is_left() {
    let mut network = Network::settled(11, BALANCERS, SERVICES);
    let mute = zone_relay(3, 0);
    network.schedule(ms(21_000), Action::Mute(mute, true));
    network.publish(ms(21_001), "fleet");
    assert!(network.run_until_converged(ms(21_000) + CONVERGENCE_LIMIT).is_some_and(|at| at < ms(28_000)));
    network.run_until(ms(60_000));
    assert!(network.nodes.iter().all(|node| node.follows() != Some(mute)));
}

#[test]
fn stale_parent_is_left_for_an_up_to_date_one() {
    let mut network = Network::settled(12, BALANCERS, SERVICES);
    let stale = region_relay(0);
    let followers =
        |network: &Network| network.nodes.iter().filter(|node| node.follows() == Some(stale)).count();
    assert!(followers(&network) > 10);
    network.schedule(ms(21_000), Action::CutPair(ORIGIN, stale));
    network.publish(ms(21_001), "fleet");
    network.run_until(ms(21_000) + CONVERGENCE_LIMIT);
    // The stale relay has no other parent and lags; all other processes have the change.
    assert_eq!(network.lagging(), [network.nodes[stale].name.clone()]);
    assert_eq!(followers(&network), 0);
    network.schedule(ms(90_000), Action::HealPair(ORIGIN, stale));
    network.run_until(ms(90_000));
    assert!(network.run_until_converged(ms(94_000) + ms(1000)).is_some());
}

#[test]
fn recovered_parent_is_found_while_the_others_stay_stale_or_silent() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=40 {
        let mut network = Network::settled(seed, BALANCERS / 4, 1);
        let (stale, better) = (zone_relay(0, 0), zone_relay(0, 1));
        // Until the end of the test the relay of the region sends nothing and one relay of the zone receives nothing.
        network.schedule(ms(21_000), Action::Mute(region_relay(0), true));
        for relay in [stale, better] {
            network.schedule(ms(21_000), Action::CutPair(relay, region_relay(1)));
        }
        network.publish(ms(22_000), "fleet");
        let heal = ms(60_000) + network.random_duration(ms(10_000));
        network.schedule(heal, Action::HealPair(better, region_relay(1)));
        network.run_until(heal);
        let zone: Vec<usize> = (0..BALANCERS / 4)
            .map(balancer)
            .filter(|node| network.nodes[*node].parent_nodes[0] == stale)
            .collect();
        let newest = network.origin.state().index();
        let lags = |network: &Network| zone.iter().any(|node| network.nodes[*node].state.index() < newest);
        assert!(lags(&network));
        while lags(&network) && network.now < heal + CONVERGENCE_LIMIT {
            network.step();
        }
        slowest = slowest.max(network.now - heal);
    }
    println!("recovered parent found after {slowest:?} at most");
    assert!(slowest < CONVERGENCE_LIMIT, "recovered parent found only after {slowest:?}");
}

#[test]
fn sums_count_each_balancer_once_soon_after_all_change_parents() {
    let mut network = Network::settled(17, BALANCERS, SERVICES);
    let counted = |network: &Network| {
        network.nodes[ORIGIN].reports.sums(network.now, network.origin.state()).children as usize
    };
    network.run_until(ms(30_000));
    assert_eq!(counted(&network), BALANCERS);
    for number in 0..BALANCERS {
        network.schedule(ms(30_000), Action::Reset(balancer(number)));
    }
    network.run_until(ms(30_000) + SILENT_AFTER);
    let count_after_move = counted(&network);
    assert!(
        count_after_move > BALANCERS,
        "expected moved balancers to be counted at both parents for a while, got {count_after_move} of {BALANCERS}"
    );
    // Sums pass two levels of relays on the way to the origin.
    network.run_until(ms(30_500) + SILENT_AFTER + 2 * REPORT_EVERY);
    for _ in 0..60 {
        assert_eq!(counted(&network), BALANCERS);
        let later = network.now + ms(500);
        network.run_until(later);
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = |seed: u64| {
        let mut network = Network::settled(seed, BALANCERS / 4, SERVICES);
        let end = schedule_random_faults(&mut network);
        network.run_until(end + CONVERGENCE_LIMIT);
        let states: Vec<_> = network.nodes.iter().map(|node| node.state.clone()).collect();
        (network.calls, network.refusals, network.delivered, states)
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3).0, run(4).0);
}

#[test]
fn origin_outage_keeps_documents_and_causes_few_reconnects() {
    let mut network = Network::settled(13, BALANCERS, SERVICES);
    network.schedule(ms(21_000), Action::Kill(ORIGIN));
    let before: Vec<_> = (0..network.nodes.len()).map(|node| live_documents(&network, node)).collect();
    network.run_until(ms(621_000));
    assert!((0..network.nodes.len()).all(|node| live_documents(&network, node) == before[node]));
    for number in 0..BALANCERS {
        let calls = network.calls_of(balancer(number), ms(21_000));
        assert!(
            calls <= 600 / MIN_STALE_GRACE.as_secs() as usize * 2,
            "a balancer made {calls} calls during the outage"
        );
    }
    network.schedule(ms(621_000), Action::Start { node: ORIGIN, with_disk: true });
    network.publish(ms(621_100), "fleet");
    assert!(
        network.run_until_converged(ms(621_100) + CONVERGENCE_LIMIT).is_some(),
        "not converged: {:?}",
        network.lagging()
    );
}

#[test]
fn relays_of_the_same_level_do_not_form_a_loop() {
    let mut network = Network::settled(14, 0, 1);
    // Without levels each of these two could follow the other and consider it up to date for ever.
    let first = network.nodes.len();
    let one = network.add("one".into(), Some(0), Some(2), Wanted::All, vec![first + 1, region_relay(0)]);
    let other = network.add("other".into(), Some(0), Some(2), Wanted::All, vec![one, region_relay(0)]);
    let alone = network.add("alone".into(), Some(0), Some(2), Wanted::All, vec![first + 3]);
    let inverted = network.add("upside".into(), Some(0), Some(1), Wanted::All, vec![alone]);
    network.run_until(ms(40_000));
    let follows = |node: usize| network.nodes[node].follows();
    assert_eq!([follows(one), follows(other)], [Some(region_relay(0)); 2]);
    // The two relays that have only each other as parents get no documents, and report growing staleness.
    assert_eq!([network.nodes[alone].state.index(), network.nodes[inverted].state.index()], [0, 0]);
    assert!(network.nodes[alone].parents.stale_s(network.now) >= 15);
}

#[test]
fn all_processes_converge_after_a_restart_without_disks() {
    let mut network = Network::settled(15, BALANCERS, SERVICES);
    for node in 1..network.nodes.len() {
        network.schedule(ms(21_000), Action::Kill(node));
        network.schedule(ms(25_000), Action::Start { node, with_disk: false });
    }
    network.run_until(ms(25_000));
    let at = network.run_until_converged(ms(25_000) + CONVERGENCE_LIMIT);
    println!("convergence after a restart without disks: {:?}", at.map(|at| at - ms(25_000)));
    assert!(at.is_some(), "not converged: {:?}", network.lagging());
}

#[test]
fn balancer_started_in_a_cut_off_region_gets_the_documents_of_the_region() {
    let mut network = Network::settled(16, BALANCERS, SERVICES);
    network.schedule(ms(21_000), Action::CutRegion(2));
    network.publish(ms(22_000), "fleet");
    let node = (0..BALANCERS)
        .map(balancer)
        .find(|node| network.nodes[*node].region == Some(2))
        .expect("region 2 has balancers");
    let before = network.nodes[node].state.clone();
    network.schedule(ms(60_000), Action::Kill(node));
    network.schedule(ms(61_000), Action::Start { node, with_disk: false });
    network.run_until(ms(66_000));
    assert!(before.documents().eq(network.nodes[node].state.documents()));
    network.schedule(ms(90_000), Action::HealRegion(2));
    network.run_until(ms(90_000));
    assert!(
        network.run_until_converged(ms(90_000) + CONVERGENCE_LIMIT).is_some(),
        "not converged: {:?}",
        network.lagging()
    );
}

/// Worst schedule known for a change: the relay of the region falls silent just as the change is published, and the
/// relay of the zone falls silent just before it would pass on the change, which it has from another parent. Returns
/// the times that the change takes to the relay of the zone and to the balancer below it. With `churn`, the watches of
/// the balancer and of both relays of its zone are reset repeatedly before, so that their backoffs have grown.
/// `pause_at` is the time after the publication at which the relay of the zone falls silent, if it does.
fn measure_with_two_silent_levels(
    seed: u64,
    churn: bool,
    pause_at: Option<Duration>,
) -> (Duration, Duration) {
    let mut network = Network::settled(seed, ZONES, 1);
    let victim = balancer(0);
    let relays = [zone_relay(0, 0), zone_relay(0, 1)];
    let mut at = ms(20_000) + network.random_duration(ms(4000));
    if churn {
        // Watches end before they are established, so the backoffs grow to their maximum.
        for _ in 0..6 {
            at += ms(1000) + network.random_duration(ms(900));
            for node in [victim, relays[0], relays[1]] {
                network.schedule(at, Action::Reset(node));
            }
        }
        at += network.random_duration(ms(2000));
    }
    network.schedule(at, Action::Pause(region_relay(0), ms(60_000)));
    network.publish(at + ms(1), "fleet");
    network.run_until(at + ms(30));
    let parent =
        network.nodes[victim].follows().filter(|parent| relays.contains(parent)).unwrap_or(relays[0]);
    if let Some(pause_at) = pause_at {
        network.schedule(at + pause_at, Action::Pause(parent, ms(60_000)));
    }
    let newest = network.origin.state().index();
    assert_eq!(*network.models.last_key_value().expect("documents are published").0, newest);
    let mut delivered = [None; 2];
    while delivered.contains(&None) {
        network.step();
        for (delivered, node) in delivered.iter_mut().zip([parent, victim]) {
            if delivered.is_none() && network.nodes[node].state.index() == newest {
                *delivered = Some(network.now - at);
            }
        }
        if delivered[1].is_some() && pause_at.is_some() || network.now > at + ms(60_000) {
            break;
        }
    }
    (delivered[0].unwrap_or(ms(60_000)), delivered[1].unwrap_or(ms(60_000)))
}

#[test]
fn change_arrives_within_thirteen_seconds_when_both_relay_levels_fall_silent() {
    // The relay of the zone reaches its other parent after a silence time-out and a backoff, and falls silent itself
    // just then. The balancer then has a silence time-out, a backoff before each of its two other parents, and a
    // first-line time-out at the first of them, which sends nothing.
    let delays = 6 * ms(80);
    assert!(
        (PARENT_SILENCE_TIMEOUT + MAX_BACKOFF)
            + (PARENT_SILENCE_TIMEOUT + 2 * MAX_BACKOFF + FIRST_LINE_TIMEOUT)
            + delays
            < CONVERGENCE_LIMIT
    );
    for churn in [false, true] {
        let mut worst = (Duration::ZERO, 0);
        let mut all = Vec::new();
        for seed in 1..=150 {
            let (parent, _) = measure_with_two_silent_levels(seed, churn, None);
            for before in [1, 20, 300, 1000] {
                let pause = parent.saturating_sub(ms(before));
                let (_, took) = measure_with_two_silent_levels(seed, churn, Some(pause));
                worst = worst.max((took, seed));
                all.push(took);
            }
        }
        all.sort();
        println!("churn {churn}: slowest time and its seed {worst:?}, median time {:?}", all[all.len() / 2]);
        assert!(worst.0 < CONVERGENCE_LIMIT, "churn {churn}: slowest time and its seed: {worst:?}");
    }
}

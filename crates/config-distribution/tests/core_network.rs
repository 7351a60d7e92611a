//! The core in a simulated network, in virtual time: whatever is lost, cut, killed or paused, nobody goes back, nobody
//! holds anything else than what was published, and everyone holds the newest soon after the faults end.

mod core_common;

use std::time::Duration;

use config_distribution::parents::{
    FIRST_LINE_TIMEOUT, MAX_BACKOFF, MIN_STALE_GRACE, PARENT_SILENCE_TIMEOUT,
};
use config_distribution::report::{REPORT_EVERY, SILENT_AFTER};
use config_distribution::state::{Refusal, Wanted};
use core_common::network::{Act, Network, ORIGIN, REGIONS, ZONES, balancer, region_relay, zone_relay};
use core_common::{Model, live, ms, scope};

const WITHIN: Duration = Duration::from_secs(13);
const BALANCERS: usize = 280;
const SERVICES: usize = 10;

fn draw_scope(network: &mut Network) -> String {
    match network.pick(10) {
        0 | 1 => "fleet".into(),
        2 | 3 => format!("region/r{}", network.pick(REGIONS)),
        _ => format!("service/s{}", network.pick(SERVICES)),
    }
}

/// Faults of all kinds for a minute and a half, with changes all along; all ends at a time that is told.
fn storm(network: &mut Network) -> Duration {
    let from = network.now;
    let all = network.nodes.len();
    let length = ms(90_000);
    for _ in 0..60 {
        let at = from + network.draw(length);
        let text = draw_scope(network);
        if network.pick(6) == 0 {
            network.withdraw(at, &text);
        } else {
            network.publish(at, &text);
        }
    }
    for _ in 0..60 {
        let at = from + network.draw(length);
        let left = from + length - at;
        let node = 1 + network.pick(all - 1);
        let relay = 1 + network.pick(REGIONS + 2 * ZONES);
        let some = network.draw(ms(20_000)).min(left);
        match network.pick(10) {
            0 | 1 => {
                let disk = network.pick(2) == 0;
                network.act(at, Act::Kill(relay));
                network.act(at + some, Act::Start { node: relay, disk });
            }
            2 => {
                network.act(at, Act::Kill(node));
                network.act(at + some, Act::Start { node, disk: false });
            }
            3 => network.act(at, Act::Pause(relay, some)),
            4 => {
                let region = network.pick(REGIONS);
                network.act(at, Act::Cut(region));
                network.act(at + some, Act::Heal(region));
            }
            5 => network.act(at, Act::Reset(node)),
            6 => network.act(at, Act::Damage(node)),
            7 => network.act(at, Act::Repeat(node)),
            8 => {
                network.act(at, Act::Mute(relay, true));
                network.act(at + some, Act::Mute(relay, false));
            }
            _ => {
                network.act(at, Act::Slow(node, some.min(ms(6000))));
                network.act(at + some, Act::Slow(node, Duration::ZERO));
            }
        }
    }
    let full = network.draw(ms(60_000));
    network.act(from + full, Act::DiskFull);
    from + length
}

#[test]
fn everyone_holds_the_newest_soon_after_a_storm_of_faults() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=24 {
        let mut network = Network::settled(seed, BALANCERS, SERVICES);
        let end = storm(&mut network);
        network.run_until(end);
        let at = network.run_until_converged(end + WITHIN);
        let at = at.unwrap_or_else(|| panic!("seed {seed}: {:?} lag", network.lagging()));
        slowest = slowest.max(at - end);
        // And it stays so.
        network.run_until(end + ms(40_000));
        assert_eq!(network.lagging(), Vec::<String>::new(), "seed {seed}");
        let sums = network.nodes[ORIGIN].reports.sums(network.now, network.origin.state());
        assert_eq!(sums.children, BALANCERS as u64, "seed {seed}");
        for number in 0..SERVICES {
            assert_eq!(sums.lagging(network.origin.state(), &scope(&format!("service/s{number}"))), 0);
        }
    }
    println!("slowest {slowest:?} after the end of the faults");
}

fn held(network: &Network, node: usize) -> Model {
    live(&network.nodes[node].state, &Wanted::All)
}

/// The most calls that fall into any such span.
fn most_within(network: &Network, since: Duration, span: Duration) -> usize {
    let times: Vec<Duration> = network.calls.iter().map(|(at, _, _)| *at).filter(|at| *at >= since).collect();
    let within = |from: &Duration| times.iter().filter(|at| *at >= from && **at < *from + span).count();
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_region_cut_for_five_minutes_holds_what_it_has_and_catches_up() {
    for seed in 1..=3 {
        let mut network = Network::settled(seed, BALANCERS, SERVICES);
        let (cut, heal) = (ms(20_000), ms(320_000));
        network.act(cut, Act::Cut(1));
        for minute in 0..5_u64 {
            let at = cut + ms(60_000 * minute);
            network.publish(at, "fleet");
            network.publish(at + ms(7), "region/r1");
            network.publish(at + ms(20), &format!("service/s{minute}"));
            network.withdraw(at + ms(90), "region/r0");
        }
        // Changes on both sides of the return.
        for before in [10, 1, 0] {
            network.publish(heal - ms(before), "fleet");
        }
        network.act(heal, Act::Heal(1));
        for after in [0, 1, 50, 1000] {
            network.publish(heal + ms(after), "region/r1");
            network.publish(heal + ms(after), "service/s3");
        }
        let region: Vec<usize> =
            (0..BALANCERS).map(balancer).filter(|node| network.nodes[*node].region == Some(1)).collect();
        let before: Vec<_> = region.iter().map(|node| held(&network, *node)).collect();
        network.run_until(cut + ms(30_000));
        let lagging = network.lagging();
        let inside =
            |name: &String| network.nodes.iter().any(|node| node.region == Some(1) && node.name == *name);
        assert!(!lagging.is_empty() && lagging.iter().all(inside), "{lagging:?}");
        network.run_until(heal - ms(1));
        assert!(region.iter().zip(&before).all(|(node, before)| held(&network, *node) == *before));
        // While all its parents are stale a child looks around, and not often: at most once a parent in each hold.
        let most = region.iter().map(|node| network.calls_of(*node, cut)).max().expect("some");
        let mean = region.iter().map(|node| network.calls_of(*node, cut)).sum::<usize>() as f64
            / region.len() as f64;
        assert!(most <= 300 / MIN_STALE_GRACE.as_secs() as usize * 2, "{most} calls in the cut");
        let at = network.run_until_converged(heal + ms(1000) + WITHIN).expect("in force");
        println!(
            "seed {seed}: in force {:?} after the return; {mean:.0} calls a balancer in the cut, {most} at most",
            at - heal
        );
    }
}

#[test]
fn all_children_reconnecting_at_once_are_spread() {
    let mut network = Network::settled(5, BALANCERS, SERVICES);
    let at = ms(30_000);
    for node in 1..network.nodes.len() {
        network.act(at, Act::Reset(node));
    }
    network.publish(at + ms(1), "fleet");
    let told = network.told.clone();
    network.run_until(at + ms(1000));
    let calls = network.calls.iter().filter(|(when, _, _)| *when >= at).count();
    assert!(calls >= network.nodes.len() - 1, "{calls}");
    // Over a quarter of a second, so in 25 ms a tenth; twice that is let pass.
    assert!(most_within(&network, at, ms(25)) <= calls / 5, "{}", most_within(&network, at, ms(25)));
    assert!(network.run_until_converged(at + ms(3000)).is_some(), "{:?}", network.lagging());
    // Nobody was told the whole again: the one change, once, or twice over two parents.
    for number in 0..BALANCERS {
        let told = network.told[&balancer(number)] - told[&balancer(number)];
        assert!((1..=2).contains(&told), "{told}");
    }
    assert_eq!(network.refusals, []);
}

#[test]
fn children_of_a_killed_relay_reconnect_spread_and_at_once() {
    let mut network = Network::settled(6, BALANCERS, SERVICES);
    let at = ms(30_000);
    network.act(at, Act::Kill(region_relay(0)));
    network.act(at, Act::Kill(zone_relay(0, 0)));
    network.act(at, Act::Kill(zone_relay(0, 1)));
    network.run_until(at);
    let orphans: Vec<usize> = (0..network.nodes.len())
        .filter(|node| network.nodes[*node].up)
        .filter(|node| network.nodes[*node].follows().is_some_and(|parent| !network.nodes[parent].up))
        .collect();
    assert!(orphans.len() > 60, "{}", orphans.len());
    network.run_until(at + ms(260));
    assert!(orphans.iter().all(|node| network.calls_of(*node, at) >= 1));
    assert!(most_within(&network, at, ms(25)) <= orphans.len() / 3);
    // Those of zone 0 have no parent left, and keep what they have; once there is one, they follow.
    let orphan = (0..BALANCERS).map(balancer).find(|node| network.nodes[*node].above[0] == zone_relay(0, 0));
    let orphan = orphan.expect("one in zone 0");
    let before = network.nodes[orphan].state.clone();
    network.publish(at + ms(1000), "fleet");
    network.run_until(at + ms(60_000));
    assert_eq!(network.nodes[orphan].state, before);
    // Full jitter up to the most: on average two calls in that time.
    assert!(network.calls_of(orphan, at) < 200, "{}", network.calls_of(orphan, at));
    network.act(at + ms(60_000), Act::Start { node: zone_relay(0, 1), disk: false });
    assert!(network.run_until_converged(at + ms(60_000) + WITHIN).is_some(), "{:?}", network.lagging());
}

#[test]
fn sixty_changes_in_a_minute_reach_slow_readers_merged_to_the_newest() {
    let mut network = Network::settled(7, BALANCERS, SERVICES);
    let (slow, fast) = (balancer(0), balancer(ZONES));
    let wanted = network.nodes[slow].wanted.clone();
    assert!(wanted.has(&scope("service/s0")));
    network.act(ms(20_001), Act::Slow(slow, ms(5000)));
    let told = network.told.clone();
    for second in 0..60 {
        network.publish(ms(21_000 + 1000 * second), "fleet");
    }
    network.run_until(ms(81_000));
    let told = |node: usize| network.told[&node] - told[&node];
    assert_eq!(told(fast), 60);
    assert!(told(slow) <= 60 / 5 + 1, "{}", told(slow));
    assert!(told(slow) >= 10, "{}", told(slow));
    assert!(network.run_until_converged(ms(81_000) + WITHIN).is_some(), "{:?}", network.lagging());
    assert_eq!(network.refusals, []);
    assert_eq!(network.calls_of(slow, ms(20_000)), 0, "being slow is no silence");
}

#[test]
fn a_version_that_comes_twice_is_taken_once_and_one_that_is_skipped_is_asked_for_anew() {
    let mut network = Network::settled(8, BALANCERS, SERVICES);
    let (twice, skips) = (balancer(1), balancer(2));
    network.publish(ms(21_000), "fleet");
    network.act(ms(22_000), Act::Repeat(twice));
    network.act(ms(22_000), Act::Swallow(skips));
    network.publish(ms(23_000), "fleet");
    network.run_until(ms(24_000));
    assert_eq!(network.lagging(), [network.nodes[skips].name.clone()]);
    assert_eq!(network.refusals, []);
    network.publish(ms(25_000), "fleet");
    assert!(network.run_until_converged(ms(26_000)).is_some(), "{:?}", network.lagging());
    assert!(matches!(network.refusals[..], [(node, Refusal::MissingChanges { .. })] if node == skips));
}

#[test]
fn two_changes_that_cross_end_the_same_everywhere() {
    let mut network = Network::settled(9, BALANCERS, SERVICES);
    // One is on its way over a slow connection while the next is published; the other parent is faster.
    for zone in 0..ZONES {
        network.act(ms(20_500), Act::Slow(zone_relay(zone, 0), ms(2500)));
    }
    network.publish(ms(21_000), "fleet");
    network.publish(ms(21_001), "service/s1");
    for number in 0..BALANCERS / 2 {
        network.act(ms(21_050), Act::Reset(balancer(number)));
    }
    network.publish(ms(21_060), "fleet");
    assert!(network.run_until_converged(ms(21_060) + WITHIN).is_some(), "{:?}", network.lagging());
    // Those that had the newest and came to a parent that stood before it were told so, and refused to go back.
    assert!(network.refusals.iter().all(|(_, refusal)| matches!(refusal, Refusal::IndexWentBack { .. })));
    assert!(!network.refusals.is_empty());
}

#[test]
fn a_damaged_document_is_refused_whole_and_had_from_another_parent() {
    let mut network = Network::settled(10, BALANCERS, SERVICES);
    for number in 0..30 {
        network.act(ms(20_500), Act::Damage(balancer(number)));
    }
    network.publish(ms(21_000), "fleet");
    assert!(network.run_until_converged(ms(22_000)).is_some(), "{:?}", network.lagging());
    assert_eq!(network.refusals.len(), 30);
    assert!(network.refusals.iter().all(|(_, refusal)| matches!(refusal, Refusal::Damaged { .. })));
}

#[test]
fn a_parent_that_answers_and_never_speaks_is_left() {
    let mut network = Network::settled(11, BALANCERS, SERVICES);
    let mute = zone_relay(3, 0);
    network.act(ms(21_000), Act::Mute(mute, true));
    network.publish(ms(21_001), "fleet");
    assert!(network.run_until_converged(ms(21_000) + WITHIN).is_some_and(|at| at < ms(28_000)));
    network.run_until(ms(60_000));
    assert!(network.nodes.iter().all(|node| node.follows() != Some(mute)));
}

#[test]
fn a_parent_that_is_merely_stale_is_left_for_a_fresh_one() {
    let mut network = Network::settled(12, BALANCERS, SERVICES);
    let stale = region_relay(0);
    let followers =
        |network: &Network| network.nodes.iter().filter(|node| node.follows() == Some(stale)).count();
    assert!(followers(&network) > 10);
    network.act(ms(21_000), Act::CutPair(ORIGIN, stale));
    network.publish(ms(21_001), "fleet");
    network.run_until(ms(21_000) + WITHIN);
    // It has no other parent itself; all others have the change.
    assert_eq!(network.lagging(), [network.nodes[stale].name.clone()]);
    assert_eq!(followers(&network), 0);
    network.act(ms(90_000), Act::HealPair(ORIGIN, stale));
    network.run_until(ms(90_000));
    assert!(network.run_until_converged(ms(94_000) + ms(1000)).is_some());
}

#[test]
fn a_parent_that_comes_to_be_fresh_is_found_though_the_others_stay_stale_or_dead() {
    let mut slowest = Duration::ZERO;
    for seed in 1..=40 {
        let mut network = Network::settled(seed, BALANCERS / 4, 1);
        let (stale, better) = (zone_relay(0, 0), zone_relay(0, 1));
        // For good: the region's relay says nothing, and one relay of the zone hears nothing.
        network.act(ms(21_000), Act::Mute(region_relay(0), true));
        for relay in [stale, better] {
            network.act(ms(21_000), Act::CutPair(relay, region_relay(1)));
        }
        network.publish(ms(22_000), "fleet");
        let heal = ms(60_000) + network.draw(ms(10_000));
        network.act(heal, Act::HealPair(better, region_relay(1)));
        network.run_until(heal);
        let zone: Vec<usize> =
            (0..BALANCERS / 4).map(balancer).filter(|node| network.nodes[*node].above[0] == stale).collect();
        let newest = network.origin.state().index();
        let lags = |network: &Network| zone.iter().any(|node| network.nodes[*node].state.index() < newest);
        assert!(lags(&network));
        while lags(&network) && network.now < heal + WITHIN {
            network.step();
        }
        slowest = slowest.max(network.now - heal);
    }
    println!("found {slowest:?} after it was fresh");
    assert!(slowest < WITHIN, "{slowest:?}");
}

#[test]
fn sums_count_everyone_once_again_soon_after_all_have_moved() {
    let mut network = Network::settled(17, BALANCERS, SERVICES);
    let counted = |network: &Network| {
        network.nodes[ORIGIN].reports.sums(network.now, network.origin.state()).children as usize
    };
    network.run_until(ms(30_000));
    assert_eq!(counted(&network), BALANCERS);
    for number in 0..BALANCERS {
        network.act(ms(30_000), Act::Reset(balancer(number)));
    }
    network.run_until(ms(30_000) + SILENT_AFTER);
    let twice = counted(&network);
    assert!(twice > BALANCERS, "they are with two parents each for a while: {twice}");
    // Two levels of sums below the origin.
    network.run_until(ms(30_500) + SILENT_AFTER + 2 * REPORT_EVERY);
    for _ in 0..60 {
        assert_eq!(counted(&network), BALANCERS);
        let later = network.now + ms(500);
        network.run_until(later);
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = |seed: u64| {
        let mut network = Network::settled(seed, BALANCERS / 4, SERVICES);
        let end = storm(&mut network);
        network.run_until(end + WITHIN);
        let states: Vec<_> = network.nodes.iter().map(|node| node.state.clone()).collect();
        (network.calls, network.refusals, network.told, states)
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3).0, run(4).0);
}

#[test]
fn while_the_origin_is_down_everything_stays_and_nobody_flaps() {
    let mut network = Network::settled(13, BALANCERS, SERVICES);
    network.act(ms(21_000), Act::Kill(ORIGIN));
    let before: Vec<_> = (0..network.nodes.len()).map(|node| held(&network, node)).collect();
    network.run_until(ms(621_000));
    assert!((0..network.nodes.len()).all(|node| held(&network, node) == before[node]));
    for number in 0..BALANCERS {
        let calls = network.calls_of(balancer(number), ms(21_000));
        assert!(calls <= 600 / MIN_STALE_GRACE.as_secs() as usize * 2, "{calls}");
    }
    network.act(ms(621_000), Act::Start { node: ORIGIN, disk: true });
    network.publish(ms(621_100), "fleet");
    assert!(network.run_until_converged(ms(621_100) + WITHIN).is_some(), "{:?}", network.lagging());
}

#[test]
fn relays_of_one_level_form_no_loop() {
    let mut network = Network::settled(14, 0, 1);
    // Each would follow the other and think it fresh for ever.
    let first = network.nodes.len();
    let one = network.add("one".into(), Some(0), Some(2), Wanted::All, vec![first + 1, region_relay(0)]);
    let other = network.add("other".into(), Some(0), Some(2), Wanted::All, vec![one, region_relay(0)]);
    let alone = network.add("alone".into(), Some(0), Some(2), Wanted::All, vec![first + 3]);
    let upside = network.add("upside".into(), Some(0), Some(1), Wanted::All, vec![alone]);
    network.run_until(ms(40_000));
    let follows = |node: usize| network.nodes[node].follows();
    assert_eq!([follows(one), follows(other)], [Some(region_relay(0)); 2]);
    // Those that only name each other hear nothing, and say so.
    assert_eq!([network.nodes[alone].state.index(), network.nodes[upside].state.index()], [0, 0]);
    assert!(network.nodes[alone].parents.stale_s(network.now) >= 15);
}

#[test]
fn everything_from_cold_comes_up() {
    let mut network = Network::settled(15, BALANCERS, SERVICES);
    for node in 1..network.nodes.len() {
        network.act(ms(21_000), Act::Kill(node));
        network.act(ms(25_000), Act::Start { node, disk: false });
    }
    network.run_until(ms(25_000));
    let at = network.run_until_converged(ms(25_000) + WITHIN);
    println!("from cold: {:?}", at.map(|at| at - ms(25_000)));
    assert!(at.is_some(), "{:?}", network.lagging());
}

#[test]
fn a_balancer_started_while_its_region_is_cut_off_has_what_the_region_has() {
    let mut network = Network::settled(16, BALANCERS, SERVICES);
    network.act(ms(21_000), Act::Cut(2));
    network.publish(ms(22_000), "fleet");
    let node = (0..BALANCERS).map(balancer).find(|node| network.nodes[*node].region == Some(2)).expect("one");
    let before = network.nodes[node].state.clone();
    network.act(ms(60_000), Act::Kill(node));
    network.act(ms(61_000), Act::Start { node, disk: false });
    network.run_until(ms(66_000));
    assert!(before.documents().eq(network.nodes[node].state.documents()));
    network.act(ms(90_000), Act::Heal(2));
    network.run_until(ms(90_000));
    assert!(network.run_until_converged(ms(90_000) + WITHIN).is_some(), "{:?}", network.lagging());
}

/// The worst schedule known: the relay of the region falls silent as a change comes, and the relay of the zone just
/// before it would pass on what it has from elsewhere. Tells how long the change took to the balancer below.
fn two_levels_fall_silent(seed: u64, churn: bool, pause_at: Option<Duration>) -> (Duration, Duration) {
    let mut network = Network::settled(seed, ZONES, 1);
    let victim = balancer(0);
    let relays = [zone_relay(0, 0), zone_relay(0, 1)];
    let mut at = ms(20_000) + network.draw(ms(4000));
    if churn {
        // Watches that never stand: the waits have grown to their most.
        for _ in 0..6 {
            at += ms(1000) + network.draw(ms(900));
            for node in [victim, relays[0], relays[1]] {
                network.act(at, Act::Reset(node));
            }
        }
        at += network.draw(ms(2000));
    }
    network.act(at, Act::Pause(region_relay(0), ms(60_000)));
    network.publish(at + ms(1), "fleet");
    network.run_until(at + ms(30));
    let parent =
        network.nodes[victim].follows().filter(|parent| relays.contains(parent)).unwrap_or(relays[0]);
    if let Some(pause_at) = pause_at {
        network.act(at + pause_at, Act::Pause(parent, ms(60_000)));
    }
    let newest = network.origin.state().index();
    assert_eq!(*network.models.last_key_value().expect("some").0, newest);
    let mut told = [None; 2];
    while told.contains(&None) {
        network.step();
        for (told, node) in told.iter_mut().zip([parent, victim]) {
            if told.is_none() && network.nodes[node].state.index() == newest {
                *told = Some(network.now - at);
            }
        }
        if told[1].is_some() && pause_at.is_some() || network.now > at + ms(60_000) {
            break;
        }
    }
    (told[0].unwrap_or(ms(60_000)), told[1].unwrap_or(ms(60_000)))
}

#[test]
fn a_change_is_in_force_within_thirteen_seconds_though_both_levels_above_fall_silent() {
    // The relay of a zone hears from its other parent after a silence and a wait, and is silent itself just then; the
    // balancer has a silence, and a wait before each of its two others, of which the first says nothing.
    let delays = 6 * ms(80);
    assert!(
        (PARENT_SILENCE_TIMEOUT + MAX_BACKOFF)
            + (PARENT_SILENCE_TIMEOUT + 2 * MAX_BACKOFF + FIRST_LINE_TIMEOUT)
            + delays
            < WITHIN
    );
    for churn in [false, true] {
        let mut worst = (Duration::ZERO, 0);
        let mut all = Vec::new();
        for seed in 1..=150 {
            let (parent, _) = two_levels_fall_silent(seed, churn, None);
            for before in [1, 20, 300, 1000] {
                let pause = parent.saturating_sub(ms(before));
                let (_, took) = two_levels_fall_silent(seed, churn, Some(pause));
                worst = worst.max((took, seed));
                all.push(took);
            }
        }
        all.sort();
        println!("churn {churn}: worst {worst:?}, median {:?}", all[all.len() / 2]);
        assert!(worst.0 < WITHIN, "churn {churn}: {worst:?}");
    }
}

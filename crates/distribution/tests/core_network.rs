//! The core in a simulated network, in virtual time: whatever is lost, cut, killed or paused, nobody goes back, nobody
//! holds anything else than what was published, and everyone holds the newest soon after the faults end.

mod core_common;

use std::time::Duration;

use core_common::{Act, Network, ORIGIN, REGIONS, ZONES, balancer, ms, region_relay, scope, zone_relay};
use fennelhatch_distribution::state::Refusal;

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

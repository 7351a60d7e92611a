//! Unit tests of locality and subsetting.

use std::time::Duration;

use oorandom::Rand64;

use crate::endpoints::endpoint_list::ReadyByZone;
use crate::interface::{Class, Idempotency, Settings};
use crate::routing::locality::Locality;
use crate::routing::subset::Subset;

/// Returns the fraction of 10,000 requests that `locality` keeps in the own zone.
fn local_fraction(locality: &Locality, rng: &mut Rand64) -> f64 {
    (0..10_000).filter(|_| locality.draw_local(rng)).count() as f64 / 10_000.0
}

/// Returns the members of the subset of each replica, for `ready` endpoints that are all in the own zone.
fn subsets(replicas: u32, ready: usize) -> Vec<Vec<usize>> {
    let second = Duration::from_secs(1);
    let class = Class {
        latency_objective: second,
        deadline: second,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let mut settings = Settings::single_zone(vec![class]);
    settings.replicas = replicas;
    let ready = ReadyByZone { local: (0..ready).collect(), remote: Vec::new() };
    let members = |replica_index: u32| {
        settings.replica_index = replica_index;
        let mut subset = Subset::new();
        subset.rebuild(&settings, &ready);
        subset.local.members
    };
    (0..replicas).map(members).collect()
}

#[test]
fn a_slower_own_zone_lowers_the_local_fraction_to_that_of_an_even_spread() {
    let mut rng = Rand64::new(1);
    let mut locality = Locality::default();
    locality.set_initial(1.0);
    for _ in 0..1000 {
        locality.adapt(0.5, 0.4, 0.25, 0.0, &mut rng);
    }
    let fraction = local_fraction(&locality, &mut rng);
    assert!((0.23..0.27).contains(&fraction), "{fraction}");
}

#[test]
fn an_own_zone_that_is_no_slower_raises_the_local_fraction_to_1() {
    let mut rng = Rand64::new(1);
    let mut locality = Locality::default();
    locality.set_initial(0.25);
    for _ in 0..1000 {
        locality.adapt(0.4, 0.4, 0.25, 0.0, &mut rng);
    }
    assert_eq!(local_fraction(&locality, &mut rng), 1.0);
}

#[test]
fn a_cross_zone_cost_keeps_requests_in_a_slightly_slower_zone() {
    let mut rng = Rand64::new(1);
    let mut locality = Locality::default();
    locality.set_initial(1.0);
    for _ in 0..100 {
        locality.adapt(0.5, 0.4, 0.25, 0.2, &mut rng);
    }
    assert_eq!(local_fraction(&locality, &mut rng), 1.0);
}

#[test]
fn before_the_first_list_all_requests_stay_local_and_the_fraction_is_not_set() {
    let mut rng = Rand64::new(1);
    let mut locality = Locality::default();
    locality.adapt(0.5, 0.4, 0.25, 0.0, &mut rng);
    assert!(!locality.is_initialized());
    assert_eq!(local_fraction(&locality, &mut rng), 1.0);
}

#[test]
fn the_subsets_of_all_replicas_cover_each_endpoint_about_evenly() {
    let subsets = subsets(40, 200);
    let covered = |slot: usize| subsets.iter().filter(|members| members.contains(&slot)).count();
    let counts: Vec<usize> = (0..200).map(covered).collect();
    assert!(counts.iter().all(|count| (3..=5).contains(count)), "{counts:?}");
}

#[test]
fn a_subset_has_at_least_eight_members_or_all_endpoints() {
    assert!(subsets(100, 20).iter().all(|members| members.len() == 8));
    assert!(subsets(100, 5).iter().all(|members| members.len() == 5));
}

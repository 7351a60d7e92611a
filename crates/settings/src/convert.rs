//! From the JSON form to the library's terms, section by section. The first value that makes no sense ends it.

use std::time::Duration;

use balancer_policy::Settings;
use balancer_policy::interface::{
    Allowed, Class, DedupScope, DiscoveryMode, Effect, Prices, Rules, Tenant, ZoneId,
};
use rustc_hash::FxHashMap;

use crate::read::{Loaded, Names, SetupError};
use crate::schema::{Caps, Discovery, EffectName, Lane, PriceFigures, Project, RuleFigures, Setup};

pub fn loaded(setup: Setup) -> Result<Loaded, SetupError> {
    let settings = settings(&setup)?;
    let connect_timeout = span("caps.dialTimeoutS", setup.caps.dial_timeout_s)?;
    let names = names(setup);
    Ok(Loaded { settings, names, connect_timeout })
}

fn settings(setup: &Setup) -> Result<Settings, SetupError> {
    Ok(Settings {
        index: setup.me,
        copies: setup.balancers,
        tier: setup.tier,
        zone: own_zone(setup)?,
        zones: setup.zones.len(),
        kinds: setup.kinds.len(),
        classes: setup.lanes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: setup.projects.iter().map(tenant).collect(),
        over_share_worth: setup.over_share_worth,
        discovery: discovery(&setup.discovery),
        passes_deadline: setup.family_info.passes_deadline,
        allowed: allowed(&setup.caps)?,
        rules: rules(&setup.rules)?,
        prices: prices(&setup.prices),
    })
}

fn names(setup: Setup) -> Names {
    Names {
        classes: positions(setup.lanes.into_iter().map(|lane| lane.name)),
        tenants: positions(setup.projects.into_iter().map(|project| project.name)),
        zones: positions(setup.zones),
        kinds: positions(setup.kinds),
        load_fields: setup.load_info.fields,
    }
}

fn own_zone(setup: &Setup) -> Result<ZoneId, SetupError> {
    // Of two zones with one name the last counts, as it does in `Names`.
    let position = setup.zones.iter().rposition(|zone| *zone == setup.zone);
    position.map(ZoneId).ok_or_else(|| wrong("zone", &setup.zone))
}

fn class(lane: &Lane) -> Result<Class, SetupError> {
    let effect = effect(lane)?;
    Ok(Class {
        aim: span("onTimeS", lane.on_time_s)?,
        deadline: span("hardLimitS", lane.hard_limit_s)?,
        late_worth: lane.late_worth,
        effect,
    })
}

fn effect(lane: &Lane) -> Result<Effect, SetupError> {
    Ok(match lane.effect {
        EffectName::Idempotent => Effect::Safe,
        EffectName::AtMostOnce => Effect::Unsafe,
        EffectName::Deduplicated => Effect::Keyed {
            scope: dedup_scope(lane.dedup_scope.as_deref())?,
            window: span("windowS", lane.window_s.unwrap_or(0.0))?,
        },
    })
}

fn dedup_scope(name: Option<&str>) -> Result<DedupScope, SetupError> {
    match name {
        Some("all") => Ok(DedupScope::All),
        Some("zone") => Ok(DedupScope::Zone),
        Some("cell") => Ok(DedupScope::Cell),
        other => Err(wrong("dedupScope", other.unwrap_or("-"))),
    }
}

fn tenant(project: &Project) -> Tenant {
    Tenant { quota: project.quota_per_s }
}

fn discovery(discovery: &Discovery) -> DiscoveryMode {
    match discovery {
        Discovery::Automatic => DiscoveryMode::Push,
        Discovery::Subscribe => DiscoveryMode::Subscribe,
    }
}

fn allowed(caps: &Caps) -> Result<Allowed, SetupError> {
    Ok(Allowed {
        attempts: caps.try_limit,
        second_copies: caps.second_copies,
        cancel: caps.cancel,
        probes: caps.may_probe,
        messages: caps.may_tell,
        keepalive: span("caps.keepaliveS", caps.keepalive_s)?,
        streams: caps.multiplex,
        retry_after: if caps.retry_after {
            Some(span("caps.maxRetryAfterS", caps.max_retry_after_s)?)
        } else {
            None
        },
    })
}

fn rules(figures: &RuleFigures) -> Result<Rules, SetupError> {
    Ok(Rules {
        answer_slack: span("rules.answerSlackS", figures.answer_slack_s)?,
        drain_grace: span("rules.drainGraceS", figures.drain_grace_s)?,
        ask_within: figures.ask_within_s.map(|seconds| span("rules.askWithinS", seconds)).transpose()?,
        cold_share: figures.cold_share,
        cold_time: span("rules.coldS", figures.cold_s)?,
        overload_multiple: figures.fall_multiple,
        overload_window: span("rules.overloadForS", figures.overload_for_s)?,
    })
}

fn prices(figures: &PriceFigures) -> Prices {
    Prices {
        cross_zone: figures.cross_zone,
        waste: figures.waste,
        late_failure: figures.late_fail,
        handshake: figures.handshake,
        probe: figures.probe,
    }
}

fn span(name: &'static str, seconds: f64) -> Result<Duration, SetupError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| wrong(name, &seconds.to_string()))
}

fn wrong(name: &'static str, value: &str) -> SetupError {
    SetupError::Value { name, value: value.to_owned() }
}

fn positions(names: impl IntoIterator<Item = String>) -> FxHashMap<String, usize> {
    names.into_iter().enumerate().map(|(position, name)| (name, position)).collect()
}

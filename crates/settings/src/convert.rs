//! Converts the JSON form of the settings to the policy's types, section by section.
//!
//! In JSON, durations are numbers of seconds and zones are names; the policy uses `Duration` and indexes.
//! The conversion stops at the first value that has no counterpart. It does not check ranges that only
//! matter to the policy, because the policy validates its settings itself.

use std::time::Duration;

use balancer_policy::interface::{
    Class, Costs, DeduplicationScope, DiscoveryMode, Idempotency, Permissions, Rules, Settings, Tenant,
    ZoneId,
};
use rustc_hash::FxHashMap;

use crate::read::{LoadedSettings, NameIndexes, ReadSettingsError};
use crate::schema::{Caps, Discovery, EffectName, Lane, PriceFigures, Project, RuleFigures, Setup};

/// Converts the complete settings object.
pub fn into_loaded(setup: Setup) -> Result<LoadedSettings, ReadSettingsError> {
    let settings = settings(&setup)?;
    let connect_timeout = duration("caps.dialTimeoutS", setup.capabilities.connect_timeout_s)?;
    let names = names(setup);
    Ok(LoadedSettings { settings, names, connect_timeout })
}

fn settings(setup: &Setup) -> Result<Settings, ReadSettingsError> {
    Ok(Settings {
        replica_index: setup.index,
        replicas: setup.replicas,
        tier: setup.tier,
        zone: local_zone(setup)?,
        zones: setup.zones.len(),
        machine_kinds: setup.machine_kinds.len(),
        classes: setup.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: setup.tenants.iter().map(tenant).collect(),
        over_quota_weight: setup.over_quota_weight,
        discovery: discovery_mode(&setup.discovery),
        propagates_deadline: setup.family.propagates_deadline,
        permissions: permissions(&setup.capabilities)?,
        rules: rules(&setup.rules)?,
        costs: costs(&setup.prices),
    })
}

fn names(setup: Setup) -> NameIndexes {
    NameIndexes {
        classes: index_by_name(setup.classes.into_iter().map(|class| class.name)),
        tenants: index_by_name(setup.tenants.into_iter().map(|tenant| tenant.name)),
        zones: index_by_name(setup.zones),
        machine_kinds: index_by_name(setup.machine_kinds),
        load_fields: setup.load_reports.fields,
    }
}

fn local_zone(setup: &Setup) -> Result<ZoneId, ReadSettingsError> {
    // If two zones have the same name, the last one is used, as in `NameIndexes`.
    let position = setup.zones.iter().rposition(|zone| *zone == setup.zone);
    position.map(ZoneId).ok_or_else(|| invalid("zone", &setup.zone))
}

fn class(class: &Lane) -> Result<Class, ReadSettingsError> {
    let idempotency = idempotency(class)?;
    Ok(Class {
        latency_objective: duration("onTimeS", class.latency_objective_s)?,
        deadline: duration("hardLimitS", class.deadline_s)?,
        late_weight: class.late_weight,
        idempotency,
    })
}

fn idempotency(class: &Lane) -> Result<Idempotency, ReadSettingsError> {
    Ok(match class.effect {
        EffectName::Idempotent => Idempotency::Idempotent,
        EffectName::AtMostOnce => Idempotency::NotIdempotent,
        EffectName::Deduplicated => Idempotency::IdempotencyKey {
            scope: deduplication_scope(class.dedup_scope.as_deref())?,
            window: duration("windowS", class.dedup_window_s.unwrap_or(0.0))?,
        },
    })
}

fn deduplication_scope(name: Option<&str>) -> Result<DeduplicationScope, ReadSettingsError> {
    match name {
        Some("all") => Ok(DeduplicationScope::All),
        Some("zone") => Ok(DeduplicationScope::Zone),
        Some("cell") => Ok(DeduplicationScope::Cell),
        other => Err(invalid("dedupScope", other.unwrap_or("-"))),
    }
}

fn tenant(tenant: &Project) -> Tenant {
    Tenant { quota: tenant.quota_per_s }
}

fn discovery_mode(discovery: &Discovery) -> DiscoveryMode {
    match discovery {
        Discovery::Automatic => DiscoveryMode::Push,
        Discovery::Subscribe => DiscoveryMode::Subscribe,
    }
}

fn permissions(capabilities: &Caps) -> Result<Permissions, ReadSettingsError> {
    Ok(Permissions {
        max_attempts: capabilities.max_attempts,
        hedging: capabilities.hedging,
        cancel: capabilities.cancellation,
        health_checks: capabilities.health_checks,
        messages: capabilities.gossip,
        idle_timeout: duration("caps.keepaliveS", capabilities.keepalive_s)?,
        streams_per_connection: capabilities.streams_per_connection,
        max_retry_after: longest_retry_after(capabilities)?,
    })
}

/// Returns the longest Retry-After that clients honour. `None` if clients are sent no Retry-After; the configured
/// maximum is then not validated.
fn longest_retry_after(capabilities: &Caps) -> Result<Option<Duration>, ReadSettingsError> {
    if !capabilities.retry_after {
        return Ok(None);
    }
    duration("caps.maxRetryAfterS", capabilities.max_retry_after_s).map(Some)
}

fn rules(rules: &RuleFigures) -> Result<Rules, ReadSettingsError> {
    Ok(Rules {
        answer_slack: duration("rules.answerSlackS", rules.answer_slack_s)?,
        drain_grace: duration("rules.drainGraceS", rules.drain_grace_s)?,
        poll_interval_max: rules
            .poll_within_s
            .map(|seconds| duration("rules.askWithinS", seconds))
            .transpose()?,
        slow_start_min_fraction: rules.slow_start_fraction,
        slow_start_window: duration("rules.coldS", rules.slow_start_s)?,
        overload_multiple: rules.overload_multiple,
        overload_window: duration("rules.overloadForS", rules.overload_window_s)?,
    })
}

fn costs(prices: &PriceFigures) -> Costs {
    Costs {
        cross_zone: prices.cross_zone,
        wasted_work: prices.wasted_work,
        late_failure: prices.late_failure,
        handshake: prices.handshake,
        health_check: prices.health_check,
    }
}

fn duration(key: &'static str, seconds: f64) -> Result<Duration, ReadSettingsError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid(key, &seconds.to_string()))
}

fn invalid(key: &'static str, value: &str) -> ReadSettingsError {
    ReadSettingsError::Value { name: key, value: value.to_owned() }
}

fn index_by_name(names: impl IntoIterator<Item = String>) -> FxHashMap<String, usize> {
    names.into_iter().enumerate().map(|(position, name)| (name, position)).collect()
}

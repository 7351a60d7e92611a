//! Which classes and tenants may a request name? The names under the settings in force, each with the position by which
//! the decisions know it, which stays the same through every change of the settings.

use std::time::Duration;

use balancer_policy::Settings;
use balancer_policy::interface::{Class, ClassId, Tenant, TenantId};
use balancer_settings::Names;
use rustc_hash::{FxHashMap, FxHashSet};
use thiserror::Error;

/// Classes in all since the start, those that went among them: their positions are never given to others, and a restart
/// forgets them.
const MAX_CLASSES: usize = 2000;
/// Tenants in all since the start, likewise.
const MAX_TENANTS: usize = 20_000;

/// There have been too many names since the start.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "settings: {classes} names of lanes and {tenants} of projects since the start, {MAX_CLASSES} and {MAX_TENANTS} \
     at most: a restart forgets those that went"
)]
pub struct TooManyNames {
    /// Classes since the start, those of the refused settings among them.
    pub classes: usize,
    /// Tenants, likewise.
    pub tenants: usize,
}

/// What clients may ask for under the settings in force, with the positions that the decisions know it by. Positions
/// never change their meaning: what is new comes behind what was known, and what went keeps its place, unnamed.
#[derive(Debug)]
pub struct Offered {
    classes: FxHashMap<String, usize>,
    tenants: FxHashMap<String, usize>,
    /// By position.
    class_names: Vec<String>,
    tenant_names: Vec<String>,
    figures: Vec<Class>,
}

/// A class that requests may name.
#[derive(Debug, Clone, Copy)]
pub struct OfferedClass<'a> {
    /// The position by which the decisions know it.
    pub id: ClassId,
    /// Its figures: objective, deadline, idempotency.
    pub figures: &'a Class,
}

impl Offered {
    /// What the settings of the start offer.
    #[must_use]
    pub fn new(names: &Names, settings: &Settings) -> Self {
        Self {
            class_names: by_position(&names.classes, settings.classes.len()),
            tenant_names: by_position(&names.tenants, settings.tenants.len()),
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            figures: settings.classes.clone(),
        }
    }

    /// What other settings offer, which are put in the order of these. The quota of a tenant that went is 0, so that it
    /// counts to no sum.
    ///
    /// # Errors
    /// There have been too many names since the start.
    pub fn followed_by(&self, names: &Names, settings: &mut Settings) -> Result<Self, TooManyNames> {
        let (class_names, classes) = placed(&self.class_names, &names.classes, settings.classes.len());
        let (tenant_names, tenants) = placed(&self.tenant_names, &names.tenants, settings.tenants.len());
        if class_names.len() > MAX_CLASSES || tenant_names.len() > MAX_TENANTS {
            return Err(TooManyNames { classes: class_names.len(), tenants: tenant_names.len() });
        }
        let new: Vec<Option<usize>> =
            class_names.iter().map(|name| names.classes.get(name).copied()).collect();
        let figures: Vec<Class> = (0..)
            .zip(&new)
            .map(|(place, new): (usize, _)| match new {
                Some(position) => settings.classes[*position].clone(),
                None => self.figures[place].clone(),
            })
            .collect();
        let quota = |name| names.tenants.get(name).map_or(Some(0.0), |&new| settings.tenants[new].quota);
        settings.tenants = tenant_names.iter().map(|name| Tenant { quota: quota(name) }).collect();
        settings.classes.clone_from(&figures);
        Ok(Self { classes, tenants, class_names, tenant_names, figures })
    }

    /// A class by its name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<OfferedClass<'_>> {
        let place = *self.classes.get(name)?;
        Some(OfferedClass { id: ClassId(place), figures: self.figures.get(place)? })
    }

    /// A tenant by its name.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied().map(TenantId)
    }

    /// Whether requests name no tenant.
    #[must_use]
    pub fn has_no_tenants(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The longest time that a client waits.
    #[must_use]
    pub fn longest(&self) -> Duration {
        self.figures.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

fn by_position(names: &FxHashMap<String, usize>, count: usize) -> Vec<String> {
    // A place whose name another one has too has none.
    let mut list = vec![String::new(); count];
    for (name, &position) in names {
        list[position].clone_from(name);
    }
    list
}

/// The names by place, new ones behind those known, and the places of those that are named now.
fn placed(
    known: &[String],
    names: &FxHashMap<String, usize>,
    count: usize,
) -> (Vec<String>, FxHashMap<String, usize>) {
    let before: FxHashSet<&String> = known.iter().collect();
    let new = by_position(names, count).into_iter().filter(|name| !before.contains(name));
    let list: Vec<String> = known.iter().cloned().chain(new).collect();
    let in_force = list.iter().enumerate().filter(|(_, name)| names.contains_key(*name));
    let places = in_force.map(|(place, name)| (name.clone(), place)).collect();
    (list, places)
}

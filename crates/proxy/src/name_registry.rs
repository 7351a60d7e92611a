//! Names of the classes and tenants that requests may use under the settings in force, with the ids by which the policy
//! knows them. A name keeps its id through every change of the settings.

use std::time::Duration;

use balancer_policy::Settings;
use balancer_policy::interface::{Class, ClassId, Tenant, TenantId};
use balancer_settings::NameIndexes;
use rustc_hash::{FxHashMap, FxHashSet};
use thiserror::Error;

/// Maximum number of class names since the start of the process, removed ones included: the id of a removed class is
/// never given to another class. A restart forgets removed classes.
const MAX_CLASSES: usize = 2000;
/// Maximum number of tenant names since the start of the process, removed ones included.
const MAX_TENANTS: usize = 20_000;

/// New settings would raise the number of class or tenant names since the start of the process above its limit. The
/// text is sent to the parent in reports and is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "settings: {classes} names of lanes and {tenants} of projects since the start, {MAX_CLASSES} and {MAX_TENANTS} \
     at most: a restart forgets those that went"
)]
pub struct TooManyNames {
    /// Number of class names since the start of the process, including those of the refused settings.
    pub classes: usize,
    /// Number of tenant names since the start of the process, including those of the refused settings.
    pub tenants: usize,
}

/// Classes and tenants that requests may name under the settings in force, with the ids by which the policy knows them.
/// An id never changes its meaning: new names get the next ids, and a removed class or tenant keeps its id although
/// requests can no longer name it.
#[derive(Debug)]
pub struct NameRegistry {
    /// Ids of the classes that requests may name, by class name.
    classes: FxHashMap<String, usize>,
    /// Ids of the tenants that requests may name, by tenant name.
    tenants: FxHashMap<String, usize>,
    /// Names of all classes since the start of the process, indexed by class id.
    class_names: Vec<String>,
    /// Names of all tenants since the start of the process, indexed by tenant id.
    tenant_names: Vec<String>,
    /// Parameters of all classes since the start of the process, indexed by class id.
    parameters: Vec<Class>,
}

/// A class that requests may name.
#[derive(Debug, Clone, Copy)]
pub struct ClassEntry<'a> {
    /// Id by which the policy knows the class.
    pub id: ClassId,
    /// Parameters of the class, such as latency objective, deadline and idempotency.
    pub parameters: &'a Class,
}

impl NameRegistry {
    /// Takes the names and ids from the settings that the process starts with.
    #[must_use]
    pub fn new(names: &NameIndexes, settings: &Settings) -> Self {
        Self {
            class_names: names_by_position(&names.classes, settings.classes.len()),
            tenant_names: names_by_position(&names.tenants, settings.tenants.len()),
            classes: names.classes.clone(),
            tenants: names.tenants.clone(),
            parameters: settings.classes.clone(),
        }
    }

    /// Returns the names and ids after a change to `settings`, and reorders the classes and tenants of `settings` by
    /// id. Removed ones are kept in `settings`; a removed tenant gets a quota of 0, so that it adds to no sum of
    /// quotas.
    ///
    /// # Errors
    /// There would be too many names since the start of the process; `settings` are unchanged then.
    pub fn updated(&self, names: &NameIndexes, settings: &mut Settings) -> Result<Self, TooManyNames> {
        let (class_names, classes) =
            assign_indices(&self.class_names, &names.classes, settings.classes.len());
        let (tenant_names, tenants) =
            assign_indices(&self.tenant_names, &names.tenants, settings.tenants.len());
        if class_names.len() > MAX_CLASSES || tenant_names.len() > MAX_TENANTS {
            return Err(TooManyNames { classes: class_names.len(), tenants: tenant_names.len() });
        }
        let new: Vec<Option<usize>> =
            class_names.iter().map(|name| names.classes.get(name).copied()).collect();
        let parameters: Vec<Class> = (0..)
            .zip(&new)
            .map(|(index, new): (usize, _)| match new {
                Some(position) => settings.classes[*position].clone(),
                None => self.parameters[index].clone(),
            })
            .collect();
        let quota = |name| names.tenants.get(name).map_or(Some(0.0), |&new| settings.tenants[new].quota);
        settings.tenants = tenant_names.iter().map(|name| Tenant { quota: quota(name) }).collect();
        settings.classes.clone_from(&parameters);
        Ok(Self { classes, tenants, class_names, tenant_names, parameters })
    }

    /// Returns the class of this name, if requests may name it.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<ClassEntry<'_>> {
        let index = *self.classes.get(name)?;
        Some(ClassEntry { id: ClassId(index), parameters: self.parameters.get(index)? })
    }

    /// Returns the id of the tenant of this name, if requests may name it.
    #[must_use]
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied().map(TenantId)
    }

    /// Whether the settings in force have no tenants, so that requests need not name one.
    #[must_use]
    pub fn has_no_tenants(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Longest deadline of any class since the start; zero if there is no class.
    #[must_use]
    pub fn max_deadline(&self) -> Duration {
        self.parameters.iter().map(|class| class.deadline).max().unwrap_or_default()
    }
}

/// Returns the `count` names of the classes or tenants in settings, in the order of their positions there. A name that
/// occurs twice in the settings maps to one position only; the other position gets an empty name.
fn names_by_position(names: &FxHashMap<String, usize>, count: usize) -> Vec<String> {
    let mut list = vec![String::new(); count];
    for (name, &position) in names {
        list[position].clone_from(name);
    }
    list
}

/// Assigns ids to the names of new settings with `count` classes or tenants: names in `known` keep their index there as
/// id, and the others get the next ids. Returns all names by id, and the ids of the names in the new settings.
fn assign_indices(
    known: &[String],
    names: &FxHashMap<String, usize>,
    count: usize,
) -> (Vec<String>, FxHashMap<String, usize>) {
    let before: FxHashSet<&String> = known.iter().collect();
    let new = names_by_position(names, count).into_iter().filter(|name| !before.contains(name));
    let list: Vec<String> = known.iter().cloned().chain(new).collect();
    let in_force = list.iter().enumerate().filter(|(_, name)| names.contains_key(*name));
    let indices = in_force.map(|(index, name)| (name.clone(), index)).collect();
    (list, indices)
}

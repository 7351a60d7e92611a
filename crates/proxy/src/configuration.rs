//! Changes of the settings while the balancer serves: followed from the parents, merged over the file's own settings,
//! checked whole and applied whole. What has a fault is logged and reported up, and the last good stays.

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use balancer_policy::Settings;
use balancer_policy::interface::{Class, ClassId, Tenant, TenantId};
use balancer_settings::Names;
use config_distribution::document::{Document, Scope};
use config_distribution::effective::effective;
use config_distribution::host::client::{self, Client};
use config_distribution::report::{InForce, Refused};
use config_distribution::state::State;
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};
use serde_json::Value;
use tokio::task::spawn_local;

use crate::config::Distribution;
use crate::connection;
use crate::driver::Driver;

/// Classes and tenants in all since the start, those that went among them: their places are never given to others, and
/// a restart forgets them.
const PLACES_MOST: (usize, usize) = (2000, 20_000);
/// Letters of a reason in a report at most; the log has it whole.
const WHY_MOST: usize = 200;

/// What callers may ask for under the settings in force, with the positions that the decisions know it by. Positions
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
    pub fn followed_by(&self, names: &Names, settings: &mut Settings) -> Result<Self, String> {
        let (class_names, classes) = placed(&self.class_names, &names.classes, settings.classes.len());
        let (tenant_names, tenants) = placed(&self.tenant_names, &names.tenants, settings.tenants.len());
        let (most_classes, most_tenants) = PLACES_MOST;
        if class_names.len() > most_classes || tenant_names.len() > most_tenants {
            return Err(format!(
                "settings: {} names of lanes and {} of projects since the start, {most_classes} and {most_tenants} \
                 at most: a restart forgets those that went",
                class_names.len(),
                tenant_names.len()
            ));
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

    /// A class by its name, and its figures.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<(ClassId, &Class)> {
        let place = *self.classes.get(name)?;
        Some((ClassId(place), self.figures.get(place)?))
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
    // A place whose name another has taken has none.
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
    let named = list.iter().enumerate().filter(|(_, name)| names.contains_key(*name));
    let places = named.map(|(place, name)| (name.clone(), place)).collect();
    (list, places)
}

/// Follows the parents for as long as the balancer runs.
pub fn follow(driver: &Rc<Driver>, name: &str, seed: u64, distribution: Distribution) {
    let Distribution { parents, wanted, own_settings } = distribution;
    // Balancers that are given no seed must not all follow the same parent.
    let mut hasher = FxHasher::default();
    (seed, name).hash(&mut hasher);
    let client = Client { name: name.to_owned(), parents, wanted: wanted.to_vec(), seed: hasher.finish() };
    let pool = Rc::clone(driver.pool());
    let mut follower = Follower {
        driver: Rc::clone(driver),
        name: name.into(),
        own_settings,
        wanted,
        in_force: [const { None }; 3],
        refused: [const { None }; 3],
    };
    spawn_local(client::run(
        client,
        move |address| connection::open(address, pool.reserved_permit()),
        move |state, _| follower.take(state),
    ));
}

type Documents = [Option<Document>; 3];

/// What this balancer makes of what it is told.
struct Follower {
    driver: Rc<Driver>,
    name: Box<str>,
    own_settings: Value,
    wanted: [Scope; 3],
    /// The documents that are applied, as they were when they had no fault.
    in_force: Documents,
    /// Those that are not.
    refused: [Option<Refused>; 3],
}

impl Follower {
    /// Takes in the newest documents, and tells what is in force.
    fn take(&mut self, state: &State) -> InForce {
        let newest: Documents = self.wanted.each_ref().map(|scope| state.get(scope).cloned());
        if newest != self.in_force && !self.apply_all(newest.clone()) {
            // Together they make no sense: those that do beside what stands are applied, the others stay as they were.
            for (place, document) in newest.into_iter().enumerate() {
                if document != self.in_force[place] {
                    self.apply_one(place, document, state.index());
                }
            }
        }
        self.driver.configured();
        let version = |document: &Option<Document>| document.as_ref().map_or(0, |document| document.version);
        let versions = self.in_force.iter().map(version);
        let refused = self.refused.iter().flatten().max_by_key(|refused| refused.version);
        InForce {
            who: self.name.clone(),
            versions: self.wanted.iter().cloned().zip(versions).collect(),
            refused: refused.cloned(),
        }
    }

    fn apply_all(&mut self, documents: Documents) -> bool {
        let applied = self.apply(documents).is_ok();
        if applied {
            self.refused = [const { None }; 3];
        }
        applied
    }

    fn apply_one(&mut self, place: usize, document: Option<Document>, index: u64) {
        let version = document.as_ref().map_or(index, |document| document.version);
        let mut documents = self.in_force.clone();
        documents[place] = document;
        let refused = self.apply(documents).err().map(|faults| {
            let why = faults.join("; ");
            let scope = self.wanted[place].clone();
            let refused = Refused { scope, version, why: why.chars().take(WHY_MOST).collect() };
            if self.refused[place].as_ref() != Some(&refused) {
                crate::log(format_args!("{} {version} is not applied: {why}", refused.scope));
            }
            refused
        });
        self.refused[place] = refused;
    }

    /// Applies the settings that these documents make: whole, or not at all.
    fn apply(&mut self, documents: Documents) -> Result<(), Vec<String>> {
        let settings = effective(&self.own_settings, documents.each_ref().map(Option::as_ref))?;
        balancer_settings::check(&settings).map_err(|faults| faults.messages())?;
        let loaded =
            balancer_settings::read(&settings.to_string()).map_err(|error| vec![error.to_string()])?;
        self.driver.reconfigure(loaded).map_err(|fault| vec![fault])?;
        let stands: Vec<String> = documents
            .iter()
            .flatten()
            .map(|document| format!("{} {}", document.scope, document.version))
            .collect();
        crate::log(format_args!("in force over the file's own settings: {}", stands.join(", ")));
        self.in_force = documents;
        Ok(())
    }
}

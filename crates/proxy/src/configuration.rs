//! Changes of the settings while the balancer serves: followed from the parents, merged over the file's own settings,
//! checked whole and applied whole. What has a fault is logged and reported up, and the last good stays.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use config_distribution::document::{Document, Scope};
use config_distribution::effective::effective;
use config_distribution::host::client::{self, Client};
use config_distribution::report::{InForce, Refused};
use config_distribution::state::State;
use rustc_hash::FxHasher;
use serde_json::Value;
use tokio::task::spawn_local;

use crate::config::Distribution;
use crate::connection;
use crate::driver::Driver;

pub use crate::offered::Offered;

/// Letters of a reason in a report at most; the log has it whole.
const WHY_MOST: usize = 200;

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

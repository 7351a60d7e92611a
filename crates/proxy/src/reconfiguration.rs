//! How do settings change while the balancer serves? They are followed from the parents, merged over the file's own
//! settings, checked whole and applied whole to a [`Reconfigurable`]. What has a fault is logged and reported up, and the
//! last good stays.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use balancer_policy::interface::SettingsError;
use balancer_settings::{Faults, Loaded, SetupError};
use config_distribution::document::{Document, Scope};
use config_distribution::effective::effective;
use config_distribution::fault::{self, FormFault};
use config_distribution::host::client::{self, Client};
use config_distribution::report::{InForce, Refused};
use config_distribution::state::State;
use rustc_hash::FxHasher;
use serde_json::Value;
use thiserror::Error;
use tokio::task::spawn_local;

use crate::config::Distribution;
use crate::connection;
use crate::pool::Pool;

pub use crate::offered::{Offered, OfferedClass, TooManyNames};

/// Characters of a reason in a report at most; the log has it whole.
const MAX_REASON_CHARS: usize = 200;

/// What goes over to other settings while it runs.
pub trait Reconfigurable {
    /// Goes over to other settings, whole or not at all.
    ///
    /// # Errors
    /// They are no successor of those before; nothing has changed.
    fn reconfigure(self: &Rc<Self>, loaded: Loaded) -> Result<(), ReconfigureError>;

    /// The distribution of settings has sent its state, and what can be applied of it has been.
    fn configured(&self);
}

/// Why settings that make sense by themselves cannot follow those in force.
#[derive(Debug, Error)]
pub enum ReconfigureError {
    /// They have too many names beside those before.
    #[error(transparent)]
    Names(#[from] TooManyNames),
    /// The decisions cannot work by them.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why documents are not applied.
#[derive(Debug, Error)]
enum ApplyError {
    /// Their form has faults.
    #[error("{}", fault::join(.0))]
    Documents(Vec<FormFault>),
    /// The settings that they make have faults.
    #[error(transparent)]
    Settings(#[from] Faults),
    /// The settings that they make cannot be read.
    #[error(transparent)]
    Read(#[from] SetupError),
    /// The settings that they make cannot follow those in force.
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
}

/// Follows the parents for as long as the balancer runs. Connections to them count against the sockets of `pool`.
pub fn follow(
    target: Rc<impl Reconfigurable + 'static>,
    pool: Rc<Pool>,
    name: &str,
    seed: u64,
    distribution: Distribution,
) {
    let Distribution { parents, wanted, own_settings } = distribution;
    // Balancers that are given no seed must not all follow the same parent.
    let mut hasher = FxHasher::default();
    (seed, name).hash(&mut hasher);
    let client = Client { name: name.to_owned(), parents, wanted: wanted.to_vec(), seed: hasher.finish() };
    let mut follower = Follower {
        target,
        name: name.into(),
        own_settings,
        wanted,
        in_force: [const { None }; 3],
        refused: [const { None }; 3],
    };
    spawn_local(client::run(
        client,
        move |address| connection::open(address, pool.reserved_permit()),
        move |state, _| follower.on_state(state),
    ));
}

type Documents = [Option<Document>; 3];

/// Applies the documents that concern this balancer, and knows which are in force.
struct Follower<T> {
    target: Rc<T>,
    name: Box<str>,
    own_settings: Value,
    wanted: [Scope; 3],
    /// The documents that are applied, as they were when they had no fault.
    in_force: Documents,
    /// Those that are not.
    refused: [Option<Refused>; 3],
}

impl<T: Reconfigurable> Follower<T> {
    /// Applies the newest documents, and reports what is in force.
    fn on_state(&mut self, state: &State) -> InForce {
        let newest: Documents = self.wanted.each_ref().map(|scope| state.get(scope).cloned());
        if newest != self.in_force && !self.apply_all(newest.clone()) {
            // Together they make no sense: those that do beside what stands are applied, the others stay as they were.
            for (place, document) in newest.into_iter().enumerate() {
                if document != self.in_force[place] {
                    self.apply_one(place, document, state.index());
                }
            }
        }
        self.target.configured();
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
        let refused = self.apply(documents).err().map(|error| {
            let why = error.to_string();
            let scope = self.wanted[place].clone();
            let refused = Refused { scope, version, why: why.chars().take(MAX_REASON_CHARS).collect() };
            if self.refused[place].as_ref() != Some(&refused) {
                crate::log(format_args!("{} {version} is not applied: {why}", refused.scope));
            }
            refused
        });
        self.refused[place] = refused;
    }

    /// Applies the settings that these documents make: whole, or not at all.
    fn apply(&mut self, documents: Documents) -> Result<(), ApplyError> {
        let settings = effective(&self.own_settings, documents.each_ref().map(Option::as_ref))
            .map_err(ApplyError::Documents)?;
        balancer_settings::check(&settings)?;
        self.target.reconfigure(balancer_settings::read(&settings.to_string())?)?;
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

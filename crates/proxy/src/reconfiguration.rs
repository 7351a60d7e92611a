//! Changes of the settings while the balancer serves. Documents are followed from the parents, merged over the settings
//! of the configuration file, checked as a whole and applied as a whole to a [`Reconfigurable`]. A document with a
//! fault is logged and reported to the parent, and the last valid one stays in force.

use std::hash::{Hash, Hasher};
use std::rc::Rc;

use balancer_policy::interface::SettingsError;
use balancer_settings::{Faults, LoadedSettings, ReadSettingsError};
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

pub use crate::name_registry::{ClassEntry, NameRegistry, TooManyNames};

/// Maximum length of a reason in a report, in characters; the log has the whole reason.
const MAX_REASON_CHARS: usize = 200;

/// A component whose settings can be replaced while it runs.
pub trait Reconfigurable {
    /// Replaces the settings as a whole, or changes nothing.
    ///
    /// # Errors
    /// The new settings cannot follow those in force; nothing has changed.
    fn reconfigure(self: &Rc<Self>, loaded: LoadedSettings) -> Result<(), ReconfigureError>;

    /// Called each time the distribution of settings has sent its state and all valid documents of it are applied.
    fn settings_received(&self);
}

/// Why settings that are valid by themselves cannot follow those in force.
#[derive(Debug, Error)]
pub enum ReconfigureError {
    /// There would be too many names of classes or tenants, counting those of earlier settings.
    #[error(transparent)]
    Names(#[from] TooManyNames),
    /// The policy does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Why documents could not be applied.
#[derive(Debug, Error)]
enum ApplyError {
    /// A document does not have the form of a settings document.
    #[error("{}", fault::join(.0))]
    Documents(Vec<FormFault>),
    /// The merged settings have faults.
    #[error(transparent)]
    Settings(#[from] Faults),
    /// The merged settings cannot be read.
    #[error(transparent)]
    Read(#[from] ReadSettingsError),
    /// The merged settings cannot follow those in force.
    #[error(transparent)]
    Reconfigure(#[from] ReconfigureError),
}

/// Starts to follow the parents, for as long as the balancer runs. Connections to them count towards the socket limit
/// of `pool`.
pub fn follow(
    target: Rc<impl Reconfigurable + 'static>,
    pool: Rc<Pool>,
    name: &str,
    seed: u64,
    distribution: Distribution,
) {
    let Distribution { parents, scopes, own_settings } = distribution;
    // The name is hashed into the seed so that balancers without a configured seed do not all follow the same parent.
    let mut hasher = FxHasher::default();
    (seed, name).hash(&mut hasher);
    let client = Client { name: name.to_owned(), parents, wanted: scopes.to_vec(), seed: hasher.finish() };
    let mut follower = Follower {
        target,
        name: name.into(),
        own_settings,
        scopes,
        in_force: [const { None }; 3],
        refused: [const { None }; 3],
    };
    spawn_local(client::run(
        client,
        move |address| connection::open(address, pool.reserved_permit()),
        move |state, _| follower.on_state(state),
    ));
}

/// A document, if there is one, for each scope of [`Distribution::scopes`].
type Documents = [Option<Document>; 3];

/// Applies the documents of the scopes that concern this balancer, and keeps which of them are in force.
struct Follower<T> {
    target: Rc<T>,
    name: Box<str>,
    own_settings: Value,
    /// Scopes that concern this balancer, the narrowest last.
    scopes: [Scope; 3],
    /// For each scope, the document in force: the latest one that could be applied.
    in_force: Documents,
    /// For each scope, the latest document, if it could not be applied.
    refused: [Option<Refused>; 3],
}

impl<T: Reconfigurable> Follower<T> {
    /// Applies the newest documents of a state, and returns the report of what is in force.
    fn on_state(&mut self, state: &State) -> InForce {
        let newest: Documents = self.scopes.each_ref().map(|scope| state.get(scope).cloned());
        if newest != self.in_force && !self.apply_all(newest.clone()) {
            // The documents are not valid together. Each that is valid with those in force is applied; for the other
            // scopes the document in force stays.
            for (scope_index, document) in newest.into_iter().enumerate() {
                if document != self.in_force[scope_index] {
                    self.apply_one(scope_index, document, state.index());
                }
            }
        }
        self.target.settings_received();
        let version = |document: &Option<Document>| document.as_ref().map_or(0, |document| document.version);
        let versions = self.in_force.iter().map(version);
        let refused = self.refused.iter().flatten().max_by_key(|refused| refused.version);
        InForce {
            who: self.name.clone(),
            versions: self.scopes.iter().cloned().zip(versions).collect(),
            refused: refused.cloned(),
        }
    }

    /// Applies the documents of all scopes together. Returns whether they are now in force.
    fn apply_all(&mut self, documents: Documents) -> bool {
        let applied = self.apply(documents).is_ok();
        if applied {
            self.refused = [const { None }; 3];
        }
        applied
    }

    /// Applies the document of one scope over those in force, or logs and records why it could not be applied. `index`
    /// is the version to report where the document has been withdrawn.
    fn apply_one(&mut self, scope_index: usize, document: Option<Document>, index: u64) {
        let version = document.as_ref().map_or(index, |document| document.version);
        let mut documents = self.in_force.clone();
        documents[scope_index] = document;
        let refused = self.apply(documents).err().map(|error| {
            let why = error.to_string();
            let scope = self.scopes[scope_index].clone();
            let refused = Refused { scope, version, why: why.chars().take(MAX_REASON_CHARS).collect() };
            if self.refused[scope_index].as_ref() != Some(&refused) {
                crate::log(format_args!(
                    "document {} version {version} was not applied, the previous one stays in force: {why}",
                    refused.scope
                ));
            }
            refused
        });
        self.refused[scope_index] = refused;
    }

    /// Merges these documents over the file's own settings and applies the result as a whole, or changes nothing.
    fn apply(&mut self, documents: Documents) -> Result<(), ApplyError> {
        let settings = effective(&self.own_settings, documents.each_ref().map(Option::as_ref))
            .map_err(ApplyError::Documents)?;
        balancer_settings::check(&settings)?;
        self.target.reconfigure(balancer_settings::read(&settings.to_string())?)?;
        let in_force_versions: Vec<String> = documents
            .iter()
            .flatten()
            .map(|document| format!("{} {}", document.scope, document.version))
            .collect();
        crate::log(format_args!("in force over the file's own settings: {}", in_force_versions.join(", ")));
        self.in_force = documents;
        Ok(())
    }
}

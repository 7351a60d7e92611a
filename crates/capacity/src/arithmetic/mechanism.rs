//! What carries a need. A claim that a mechanism is there holds only while its code is: each of ours is known by a line of
//! its file.

use std::fs;
use std::path::Path;

/// What carries a need: ours, known by what its file says, or the platform's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// A type or function of this repository.
    Ours {
        /// Crate and type.
        what: &'static str,
        /// Its file.
        file: &'static str,
        /// What stands in the file if it is there.
        sign: &'static str,
    },
    /// Not of this repository.
    Platform(&'static str),
}

const fn ours(what: &'static str, file: &'static str, sign: &'static str) -> Mechanism {
    Mechanism::Ours { what, file, sign }
}

pub(super) const DECISIONS: Mechanism =
    ours("`balancer-policy` `Balancer`", "crates/policy/src/balancer.rs", "pub struct Balancer");

pub(super) const LIST_CLIENT: Mechanism =
    ours("`balancer-proxy` `discovery::watch`", "crates/proxy/src/discovery/watch.rs", "pub async fn watch(");

pub(super) const CONFIGURATION_CLIENT: Mechanism = ours(
    "`balancer-proxy` `configuration`, `balancer-policy` `Event::Reconfigured`",
    "crates/proxy/src/reconfiguration.rs",
    "pub fn follow(",
);

pub(super) const ORIGIN: Mechanism = ours(
    "`config-distribution` `Origin`",
    "crates/config-distribution/src/core/origin.rs",
    "pub struct Origin",
);

pub(super) const RELAY: Mechanism = ours(
    "`config-distribution` `RelayHost`",
    "crates/config-distribution/src/host/relay.rs",
    "pub struct RelayHost",
);

pub(super) const PUBLISHER: Mechanism =
    ours("`config-distribution publish`", "crates/config-distribution/src/command.rs", "Publish {");

pub(super) const LIST_SERVICE: Mechanism = Mechanism::Platform("the platform's discovery, none of ours");

impl Mechanism {
    /// Its name, where it is there; `None` where nothing carries the need today.
    #[must_use]
    pub fn carried(self, tree: &Path) -> Option<&'static str> {
        match self {
            Self::Platform(what) => Some(what),
            Self::Ours { what, file, sign } => {
                fs::read_to_string(tree.join(file)).is_ok_and(|text| text.contains(sign)).then_some(what)
            }
        }
    }
}

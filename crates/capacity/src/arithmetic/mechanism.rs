//! Mechanisms that provide for a need. A mechanism of this repository counts as present only while its code is there,
//! which is recognized by a line in its source file.

use std::fs;
use std::path::Path;

/// Mechanism that provides for a need: code of this repository, or a service of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// A type or function of this repository.
    InRepository {
        /// Crate and item, as the page names them.
        what: &'static str,
        /// Path of the source file that defines the item, relative to the root of the checkout.
        file: &'static str,
        /// Text that the source file contains if the item is present.
        marker: &'static str,
    },
    /// A service of the platform outside this repository; the field is its name on the page.
    Platform(&'static str),
}

const fn in_repository(what: &'static str, file: &'static str, marker: &'static str) -> Mechanism {
    Mechanism::InRepository { what, file, marker }
}

pub(super) const DECISIONS: Mechanism =
    in_repository("`balancer-policy` `Balancer`", "crates/policy/src/balancer.rs", "pub struct Balancer");

pub(super) const LIST_CLIENT: Mechanism = in_repository(
    "`balancer-proxy` `discovery::watch`",
    "crates/proxy/src/discovery/watch.rs",
    "pub async fn watch(",
);

pub(super) const CONFIGURATION_CLIENT: Mechanism = in_repository(
    "`balancer-proxy` `configuration`, `balancer-policy` `Event::Reconfigured`",
    "crates/proxy/src/reconfiguration.rs",
    "pub fn follow(",
);

pub(super) const ORIGIN: Mechanism = in_repository(
    "`config-distribution` `Origin`",
    "crates/config-distribution/src/core/origin.rs",
    "pub struct Origin",
);

pub(super) const RELAY: Mechanism = in_repository(
    "`config-distribution` `RelayHost`",
    "crates/config-distribution/src/host/relay.rs",
    "pub struct RelayHost",
);

pub(super) const PUBLISHER: Mechanism =
    in_repository("`config-distribution publish`", "crates/config-distribution/src/command.rs", "Publish {");

pub(super) const LIST_SERVICE: Mechanism = Mechanism::Platform("the platform's discovery, none of ours");

impl Mechanism {
    /// Returns the name of the mechanism if it is present in the checkout `tree`, and `None` if nothing provides for
    /// the need today. Services of the platform always count as present.
    #[must_use]
    pub fn available(self, tree: &Path) -> Option<&'static str> {
        match self {
            Self::Platform(what) => Some(what),
            Self::InRepository { what, file, marker } => {
                fs::read_to_string(tree.join(file)).is_ok_and(|text| text.contains(marker)).then_some(what)
            }
        }
    }
}

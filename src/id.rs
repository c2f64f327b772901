//! Identifiers: one newtype for each kind of entity.
//!
//! An identifier is canonical: [`crate::name`] resolves aliases once, before any decision uses them.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! identifier {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )+};
}

identifier! {
    /// A region, with its own callers, VMs, targets and caches.
    Region,
    /// An availability zone within a region.
    Zone,
    /// A VM that runs `pomelogated`.
    Vm,
    /// A target: one model engine or one instance of a plain service.
    Target,
    /// A customer whose requests the VMs serve.
    Customer,
    /// An organisation whose callers share keys, home regions and a quota on routes.
    Organisation,
    /// A plan, which several customers may share.
    Plan,
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A version of a model's weights.
    Version,
    /// A version of the software that a target runs.
    SoftwareVersion,
    /// A plain service.
    Service,
    /// A request; the same on every VM that handles it.
    Request,
}

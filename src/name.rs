//! Names: three schemes that name the same regions, models and services.

mod scheme;

pub use self::scheme::Scheme;

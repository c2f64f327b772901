use std::fmt;

use crate::id;

/// Why organisations cannot be used together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetError {
    /// The two named organisations have the same key, or one has it twice.
    SharedKey(id::Organisation, id::Organisation),
    /// Two organisations have this name.
    DuplicateName(id::Organisation),
    /// No header can hold this name.
    Name(id::Organisation),
    /// The named organisation has a rate or a burst that is negative or not a number.
    Quota(id::Organisation),
}

impl fmt::Display for SetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SharedKey(one, other) => write!(
                f,
                "organisations `{one}` and `{other}` share a key; give each of them keys of its own"
            ),
            Self::DuplicateName(name) => {
                write!(f, "two organisations have the name `{name}`; rename one of them")
            }
            Self::Name(name) => write!(
                f,
                "no header can hold the name {:?} of an organisation; leave out control characters and outer space",
                name.as_str()
            ),
            Self::Quota(name) => {
                write!(
                    f,
                    "the quota of organisation `{name}` is no number of 0 or more; correct it"
                )
            }
        }
    }
}

impl std::error::Error for SetError {}

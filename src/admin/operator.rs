use subtle::{Choice, ConstantTimeEq};

use crate::list::hash_key;

/// Whether `key` is one of the operators' keys, whose digests are `operators`.
///
/// Compares with every digest, in the same time whichever matches.
///
/// ```
/// use pomelogate::{admin, list};
///
/// let operators = [list::hash_key("first"), list::hash_key("second")];
/// assert!(admin::permits(&operators, "second"));
/// assert!(!admin::permits(&operators, "third"));
/// ```
pub fn permits(operators: &[String], key: &str) -> bool {
    let given = hash_key(key);
    let same = |known: &String| known.as_bytes().ct_eq(given.as_bytes());
    operators.iter().map(same).fold(Choice::from(0), |any, one| any | one).into()
}

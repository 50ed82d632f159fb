//! Operators and the hashes of their tokens.

use derive_more::From;

use crate::id::Name;
use crate::secret::KeyHash;

/// Operators with the hashes of their tokens.
#[derive(Clone, Debug, Default, From)]
pub struct OperatorTokens(Vec<(Name, KeyHash)>);

impl OperatorTokens {
    /// Returns whether no operator has a token.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the operator whose token an `Authorization` header carries.
    ///
    /// Compares all tokens, so that the response time does not reveal which one matches.
    pub fn operator(&self, authorization: &str) -> Option<&Name> {
        let (scheme, token) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") {
            return None;
        }
        let given = KeyHash::of(token.trim().as_bytes());
        let mut found = None;
        for (name, hash) in &self.0 {
            if hash.matches(&given) {
                found = Some(name);
            }
        }
        found
    }
}

//! Cache of the home token of an entry.

use parking_lot::Mutex;
use site::id::Token;
use std::time::{Duration, Instant};

/// Age from which a token is fetched again.
const MAX_TOKEN_AGE: Duration = Duration::from_secs(60);

/// The last token that an entry returned.
#[derive(Debug, Default)]
pub(crate) struct Cache(Mutex<Option<CachedToken>>);

#[derive(Clone, Copy, Debug)]
struct CachedToken {
    token: Token,
    at: Instant,
}

impl Cache {
    pub(crate) fn get(&self) -> Option<Token> {
        let cached = (*self.0.lock())?;
        (cached.at.elapsed() < MAX_TOKEN_AGE).then_some(cached.token)
    }

    pub(crate) fn set(&self, token: Token) {
        *self.0.lock() = Some(CachedToken { token, at: Instant::now() });
    }

    pub(crate) fn clear(&self) {
        *self.0.lock() = None;
    }
}

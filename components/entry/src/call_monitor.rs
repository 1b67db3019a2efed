//! Metrics and logging of calls to the platform.

use crate::Engine;
use std::fmt::Display;

/// Counts the results of one kind of call. Logs above debug level only when results change between
/// success and failure, not at each failure.
#[derive(Debug)]
pub(crate) struct CallMonitor {
    call: &'static str,
    failing: bool,
}

impl CallMonitor {
    /// Creates a monitor for the calls that metrics and logs name `call`.
    pub(crate) fn new(call: &'static str) -> CallMonitor {
        CallMonitor { call, failing: false }
    }

    /// Records a result.
    pub(crate) fn record<T, E: Display>(&mut self, engine: &Engine, result: &Result<T, E>) {
        let call = self.call;
        engine.metrics().record_platform_call(call, result.is_ok());
        match result {
            Ok(_) if self.failing => tracing::info!(call, "calls to the platform succeed again"),
            Err(error) if !self.failing => {
                tracing::warn!(call, %error, "a call to the platform failed; retrying");
            }
            Err(error) => tracing::debug!(call, %error, "a call to the platform failed again"),
            Ok(_) => {}
        }
        self.failing = result.is_err();
    }
}

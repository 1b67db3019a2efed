//! Labels of metrics that name the queue of a job.

use opentelemetry::KeyValue;
use parking_lot::Mutex;
use runs::job::Route;
use std::collections::BTreeSet;

/// Largest number of routes with a label of their own. With 9 groups of jobs, a metric has up to
/// 594 series, of the 2,000 that the exporter keeps by default.
const MAX_ROUTES: usize = 64;

/// Label of jobs without a route.
const NONE: &str = "none";

/// Label of all routes beyond [`MAX_ROUTES`].
const OTHER: &str = "other";

/// The routes that have a label of their own: the first ones that occur.
#[derive(Debug, Default)]
pub(crate) struct RouteLabels {
    known: Mutex<BTreeSet<Route>>,
}

impl RouteLabels {
    /// Returns the label for a job's route.
    pub(crate) fn label(&self, route: Option<&Route>) -> KeyValue {
        KeyValue::new("route", self.value(route))
    }

    fn value(&self, route: Option<&Route>) -> String {
        let Some(route) = route else { return NONE.to_owned() };
        let mut known = self.known.lock();
        if !known.contains(route) {
            if known.len() >= MAX_ROUTES {
                return OTHER.to_owned();
            }
            known.insert(route.clone());
        }
        route.to_string()
    }
}

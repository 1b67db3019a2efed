//! Routes of the HTTP API.

use crate::{Rejection, backend::Overview};
use site::id::SubmissionId;
use trillium::Method;

/// The operation that a request's method and path select.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route<'p> {
    /// Returns the current home token.
    Home,
    /// Runs a single request on the service of this name.
    Request(&'p str),
    /// Submits a job.
    Submit,
    /// Returns the progress of a job.
    Status(SubmissionId),
    /// Waits for the answer to a job.
    Answer(SubmissionId),
    /// Cancels a job.
    Cancel(SubmissionId),
    /// Renders a view for operators.
    Show(Overview),
    /// Starts a drain.
    Drain,
    /// Renders the metrics.
    Metrics,
    /// Liveness probe.
    Live,
    /// Readiness probe.
    Ready,
}

impl<'p> Route<'p> {
    /// Returns the route of `method` and `path`.
    pub fn parse(method: Method, path: &'p str) -> Result<Route<'p>, Rejection> {
        let mut parts = path.strip_prefix('/').unwrap_or(path).splitn(5, '/');
        let parts: [Option<&str>; 5] = std::array::from_fn(|_| parts.next());
        match parts {
            [Some("v1"), Some("requests"), Some(service), None, None] => {
                only(method, Method::Post, "POST", || Ok(Route::Request(service)))
            }
            [Some("v1"), Some("jobs"), None, None, None] => {
                only(method, Method::Post, "POST", || Ok(Route::Submit))
            }
            [Some("v1"), Some("jobs"), Some(id), None, None] => job(method, id),
            [Some("v1"), Some("jobs"), Some(id), Some("answer"), None] => {
                only(method, Method::Get, "GET", || parse_id(id).map(Route::Answer))
            }
            [Some("v1"), Some("home"), None, None, None] => {
                only(method, Method::Get, "GET", || Ok(Route::Home))
            }
            [Some("v1"), Some("admin"), Some("show"), Some(what), None] => {
                let what = what.parse().map_err(|_| Rejection::NoRoute)?;
                only(method, Method::Get, "GET", || Ok(Route::Show(what)))
            }
            [Some("v1"), Some("admin"), Some("drain"), None, None] => {
                only(method, Method::Post, "POST", || Ok(Route::Drain))
            }
            [Some("metrics"), None, None, None, None] => {
                only(method, Method::Get, "GET", || Ok(Route::Metrics))
            }
            [Some("livez"), None, None, None, None] => {
                only(method, Method::Get, "GET", || Ok(Route::Live))
            }
            [Some("readyz"), None, None, None, None] => {
                only(method, Method::Get, "GET", || Ok(Route::Ready))
            }
            _ => Err(Rejection::NoRoute),
        }
    }
}

fn job<'p>(method: Method, id: &str) -> Result<Route<'p>, Rejection> {
    match method {
        Method::Get => parse_id(id).map(Route::Status),
        Method::Delete => parse_id(id).map(Route::Cancel),
        _ => Err(Rejection::Method { allowed: "GET, DELETE" }),
    }
}

fn only<'p>(
    method: Method,
    wanted: Method,
    allowed: &'static str,
    route: impl FnOnce() -> Result<Route<'p>, Rejection>,
) -> Result<Route<'p>, Rejection> {
    if method == wanted { route() } else { Err(Rejection::Method { allowed }) }
}

fn parse_id(text: &str) -> Result<SubmissionId, Rejection> {
    text.parse().map_err(|_| Rejection::MalformedId)
}

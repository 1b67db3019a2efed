//! Routes for operators, probes and metrics.

use super::Api;
use crate::{
    backend::{Overview, Readiness},
    problem::Prior,
    reply::Reply,
};
use serde::Serialize;
use trillium::Conn;

impl Api {
    pub(super) fn home(&self) -> Reply {
        Reply::json(200, &Home { token: self.backend.token().to_string() })
    }

    pub(super) fn show(&self, conn: &Conn, what: Overview) -> Reply {
        match self.operator(conn.request_headers()) {
            Ok(_) => Reply::json(200, &self.backend.overview(what)),
            Err(rejection) => Reply::rejection(&rejection, Prior::None, None),
        }
    }

    pub(super) fn drain(&self, conn: &Conn) -> Reply {
        match self.operator(conn.request_headers()) {
            Ok(operator) => {
                tracing::info!(%operator, "drain requested");
                self.backend.drain();
                Reply::json(202, &Drain { draining: true })
            }
            Err(rejection) => Reply::rejection(&rejection, Prior::None, None),
        }
    }

    pub(super) fn metrics(&self) -> Reply {
        Reply::text(200, self.backend.metrics())
    }

    pub(super) fn ready(&self) -> Reply {
        let readiness = self.backend.readiness();
        let status = match readiness {
            Readiness::Ready => 200,
            Readiness::NoSettings | Readiness::Draining => 503,
        };
        Reply::text(status, format!("{readiness}\n"))
    }
}

/// Body of the response with the current home token.
#[derive(Debug, Serialize)]
struct Home {
    token: String,
}

/// Body of the response to a drain request.
#[derive(Debug, Serialize)]
struct Drain {
    draining: bool,
}

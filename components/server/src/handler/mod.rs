//! HTTP handler of all routes.

mod admin;
mod jobs;
mod query;
mod requests;
mod waiter;

use crate::{
    Backend, Options, Rejection,
    body::{Budget, Limit},
    header,
    key::{Index, Principal},
    problem::Prior,
    reply::Reply,
    route::Route,
    timeout,
};
use parking_lot::RwLock;
use site::{
    id::{FirmId, OperatorId},
    unit::Memory,
};
use std::sync::Arc;
use trillium::{Conn, Handler, Headers};

/// Handles every request of the HTTP API.
pub struct Api {
    backend: Arc<dyn Backend>,
    options: Options,
    /// Index of the settings in force or of older ones; see [`Api::index`].
    index: RwLock<Arc<Index>>,
    budget: Arc<Budget>,
    waiters: waiter::WaiterLimit,
}

impl Api {
    /// Creates a handler that serves requests from `backend`.
    pub fn new(backend: Arc<dyn Backend>, options: Options) -> Api {
        Api {
            backend,
            index: RwLock::default(),
            budget: Budget::new(options.body_memory),
            waiters: waiter::WaiterLimit::new(options.waiters),
            options,
        }
    }

    async fn respond(&self, conn: &mut Conn) -> Reply {
        let path = conn.path().to_owned();
        let route = match Route::parse(conn.method(), &path) {
            Ok(route) => route,
            Err(rejection) => return Reply::rejection(&rejection, Prior::Possible, None),
        };
        match route {
            Route::Request(service) => self.request(conn, service).await,
            Route::Submit => self.submit(conn).await,
            Route::Status(id) => self.status(conn, id).await,
            Route::Answer(id) => self.answer(conn, id).await,
            Route::Cancel(id) => self.cancel(conn, id).await,
            Route::Home => self.home(),
            Route::Show(what) => self.show(conn, what),
            Route::Drain => self.drain(conn),
            Route::Metrics => self.metrics(),
            Route::Live => Reply::text(200, "live\n"),
            Route::Ready => self.ready(),
        }
    }

    /// Returns the index of the settings in force, and rebuilds it if they have changed.
    fn index(&self) -> Arc<Index> {
        let revision = self.backend.revision();
        let index = self.index.read().clone();
        if index.is_for(revision) {
            return index;
        }
        // The site may be newer than `revision`; the next request then rebuilds the index.
        let index = Arc::new(Index::build(&self.backend.site(), revision));
        *self.index.write() = index.clone();
        index
    }

    fn firm(&self, headers: &Headers, index: &Index) -> Result<FirmId, Rejection> {
        match header::bearer(headers).and_then(|key| index.principal(key)) {
            Some(Principal::Firm(firm)) => Ok(firm),
            Some(Principal::Operator(_)) | None => Err(Rejection::Key),
        }
    }

    fn operator(&self, headers: &Headers) -> Result<OperatorId, Rejection> {
        match header::bearer(headers).and_then(|key| self.index().principal(key)) {
            Some(Principal::Operator(operator)) => Ok(operator),
            Some(Principal::Firm(_)) | None => Err(Rejection::Key),
        }
    }

    fn limit(&self, size: Memory) -> Limit {
        Limit { size, time: self.options.receive_limit }
    }
}

#[trillium::async_trait]
impl Handler for Api {
    async fn run(&self, mut conn: Conn) -> Conn {
        if let Some(connection) = timeout::of(&mut conn) {
            connection.start_body();
        }
        let reply = self.respond(&mut conn).await;
        reply.send(conn, self.backend.token())
    }
}

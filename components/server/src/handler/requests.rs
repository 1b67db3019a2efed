//! Route of single requests.

use super::{Api, query};
use crate::{
    Rejection,
    backend::KeyedAnswer,
    body,
    header::{Identifier, Params, prior},
    problem::Prior,
    reply::Reply,
    submit::Context,
    timeout,
};
use site::{
    id::SubmissionId,
    submission::{Answer, Submission},
};
use std::sync::Arc;
use trillium::Conn;

impl Api {
    /// Handles a single request to the service called `service`.
    pub(super) async fn request(&self, conn: &mut Conn, service: &str) -> Reply {
        let prior = prior(conn.request_headers());
        match self.try_request(conn, service).await {
            Ok(reply) => reply,
            Err(rejection) => Reply::rejection(&rejection, prior, None),
        }
    }

    async fn try_request(&self, conn: &mut Conn, service: &str) -> Result<Reply, Rejection> {
        query::none(conn.querystring())?;
        let index = self.index();
        let firm = self.firm(conn.request_headers(), &index)?;
        let params = Params::parse(conn.request_headers())?;
        let site = self.backend.site();
        let context = Context { site: &site, index: &index, firm, token: self.backend.token() };
        let service = context.service(service)?;
        let _permit = self.waiters.acquire()?;
        let body = body::read(conn, self.limit(service.1.body_limit), &self.budget).await?;
        let elapsed = conn.start_time().elapsed();
        let submission = context.single(&params, service, body.bytes, elapsed)?;
        let id = submission.id;
        Ok(match self.wait(conn, &params, submission).await {
            Some(KeyedAnswer { id, answer }) => single_reply(id, &answer),
            None => Reply::rejection(&Rejection::Abandoned, Prior::Possible, Some(id)),
        })
    }

    /// Submits and waits for the answer. Returns `None` if the caller closes the connection.
    pub(super) async fn wait(
        &self,
        conn: &mut Conn,
        params: &Params,
        submission: Submission,
    ) -> Option<KeyedAnswer> {
        if let Some(connection) = timeout::of(conn) {
            connection.start_wait();
        }
        let submission = Arc::new(submission);
        let backend = self.backend.clone();
        let (identifier, first) = (params.identifier.clone(), params.first);
        conn.cancel_on_disconnect(async move {
            match identifier {
                Identifier::Key(key) => backend.submit_keyed(key, first, submission).await,
                Identifier::None | Identifier::Id(_) => {
                    let id = submission.id;
                    KeyedAnswer { id, answer: backend.submit(submission).await }
                }
            }
        })
        .await
    }
}

fn single_reply(id: SubmissionId, answer: &Answer) -> Reply {
    match answer {
        Answer::Complete(outputs) => match outputs.as_slice() {
            [output] => Reply::output(id, output),
            // The key or id identifies a job, so the answer is rendered as a job's.
            outputs => super::jobs::complete(id, outputs),
        },
        Answer::Failed(failure) => Reply::failure(failure, Some(id)),
    }
}

//! Converts requests into submissions.

use crate::{
    Rejection,
    header::{Identifier, Params},
    job::{self, Job},
    key::Index,
};
use bytes::Bytes;
use site::{
    Service, Site,
    id::{CrewId, FirmId, ServiceId, SubmissionId, Token},
    submission::{Kind, Submission, Task},
    unit::{Resources, Span},
};
use std::time::Duration;
use uuid::Uuid;

/// The caller's firm and the settings that a request is checked against.
#[derive(Clone, Copy, Debug)]
pub struct Context<'s> {
    /// The settings in force.
    pub site: &'s Site,
    /// Index of the keys and contracts in `site`.
    pub index: &'s Index,
    /// The firm whose key the request carries.
    pub firm: FirmId,
    /// Home token for identifiers that the entry creates.
    pub token: Token,
}

impl<'s> Context<'s> {
    /// Returns the service called `name` if the firm has a contract for it.
    pub fn service(&self, name: &str) -> Result<(ServiceId, &'s Service), Rejection> {
        let id = ServiceId::of(name);
        let service = self.site.services.get(&id).ok_or(Rejection::UnknownService)?;
        if !self.index.has_contract(self.firm, id) {
            return Err(Rejection::NoContract);
        }
        Ok((id, service))
    }

    /// Creates the submission of a single request.
    pub fn single(
        &self,
        params: &Params,
        (service, terms): (ServiceId, &Service),
        body: Bytes,
        elapsed: Duration,
    ) -> Result<Submission, Rejection> {
        let task = Task {
            body,
            content_type: params.content_type.clone(),
            needs: Resources::default(),
            run_time: Span::ZERO,
        };
        Ok(Submission {
            id: self.id(&params.identifier),
            kind: Kind::Single,
            firm: self.firm,
            crew: self.crew(params.crew.as_deref())?,
            service,
            repeatable: terms.repeatable && params.repeatable,
            deadline: crate::header::remaining(params.deadline.unwrap_or(terms.deadline), elapsed)?,
            tasks: vec![task],
        })
    }

    /// Creates the submission of a job. Values in the job take precedence over those in the
    /// headers; the job is repeatable only if both allow it.
    pub fn job(
        &self,
        params: &Params,
        job: Job<'_>,
        elapsed: Duration,
    ) -> Result<Submission, Rejection> {
        let (service, terms) = self.service(&job.service)?;
        let named = job.deadline.as_deref().map(crate::header::parse_deadline).transpose()?;
        let deadline = named.or(params.deadline).unwrap_or(terms.deadline);
        let crew = job.crew.as_deref().or(params.crew.as_deref());
        let repeatable = job.repeatable.unwrap_or(true) && params.repeatable;
        Ok(Submission {
            id: self.id(&params.identifier),
            kind: Kind::Job,
            firm: self.firm,
            crew: self.crew(crew)?,
            service,
            repeatable: terms.repeatable && repeatable,
            deadline: crate::header::remaining(deadline, elapsed)?,
            tasks: job::parse_tasks(job.tasks, terms.body_limit)?,
        })
    }

    fn crew(&self, name: Option<&str>) -> Result<CrewId, Rejection> {
        let Some(name) = name else {
            return Ok(CrewId::default());
        };
        let firm = self.site.firms.get(&self.firm);
        let known = firm.is_some_and(|firm| firm.crews.iter().any(|crew| crew.name == name));
        if known { Ok(CrewId::of(name)) } else { Err(Rejection::UnknownCrew) }
    }

    fn id(&self, identifier: &Identifier) -> SubmissionId {
        match identifier {
            Identifier::Id(id) => *id,
            Identifier::None | Identifier::Key(_) => {
                SubmissionId { token: self.token, unique: Uuid::new_v4() }
            }
        }
    }
}

/// Combines the identifier in the headers with the id in the job's body.
pub fn job_identifier(
    from_headers: &Identifier,
    job: Option<&str>,
) -> Result<Identifier, Rejection> {
    match (from_headers, job) {
        (identifier, None) => Ok(identifier.clone()),
        (Identifier::None, Some(id)) => {
            id.parse().map(Identifier::Id).map_err(|_| Rejection::MalformedId)
        }
        (Identifier::Id(_) | Identifier::Key(_), Some(_)) => Err(Rejection::AmbiguousId),
    }
}

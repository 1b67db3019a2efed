//! Checks that every reference names an existing object.

use super::draft::Draft;
use crate::{
    report::{Findings, Reason},
    section::Section,
};
use compact_str::CompactString;
use site::service::Place;

/// Maximum number of names that a finding suggests.
const MAX_SUGGESTIONS: usize = 5;

pub(super) fn check(draft: &Draft<'_>, findings: &mut Findings) {
    let mut checker = Checker { draft, findings };
    checker.links();
    checker.executors();
    checker.workers();
    checker.contracts();
}

struct Checker<'a> {
    draft: &'a Draft<'a>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    fn links(&mut self) {
        for (name, link) in &self.draft.links {
            for (i, end) in link.between.iter().enumerate() {
                let field = ["between", &i.to_string()];
                self.resolve(Section::Links, name, &field, Section::DataCentres, end);
            }
        }
    }

    fn executors(&mut self) {
        let section = Section::Executors;
        for (name, executor) in &self.draft.executors {
            let data_centre = &executor.data_centre;
            self.resolve(section, name, &["data-centre"], Section::DataCentres, data_centre);
            self.resolve(section, name, &["service"], Section::Services, &executor.service);
            self.require_executor_service(name, &executor.service);
        }
    }

    fn workers(&mut self) {
        for (name, worker) in &self.draft.workers {
            let data_centre = &worker.data_centre;
            let field = ["data-centre"];
            self.resolve(Section::Workers, name, &field, Section::DataCentres, data_centre);
        }
    }

    fn contracts(&mut self) {
        let section = Section::Contracts;
        for (name, contract) in &self.draft.contracts {
            self.resolve(section, name, &["firm"], Section::Firms, &contract.firm);
            self.resolve(section, name, &["service"], Section::Services, &contract.service);
        }
    }

    fn resolve(
        &mut self,
        section: Section,
        object: &str,
        field: &[&str],
        target: Section,
        name: &CompactString,
    ) {
        if self.draft.has(target, name) {
            return;
        }
        let known = self.draft.names(target).take(MAX_SUGGESTIONS).cloned().collect();
        let reason = Reason::Reference { section: target, name: name.clone(), known };
        let (origin, path) = self.draft.field(section, object, field);
        self.findings.error(origin, path, reason);
    }

    fn require_executor_service(&mut self, executor: &str, name: &CompactString) {
        let service = self.draft.services.get(name);
        if service.is_some_and(|service| service.place == Place::Workers) {
            let (origin, path) = self.draft.field(Section::Executors, executor, &["service"]);
            self.findings.error(origin, path, Reason::WorkerService { service: name.clone() });
        }
    }
}

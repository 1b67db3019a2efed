//! Checks of single values that their types don't enforce.

use super::draft::Draft;
use crate::{
    digest::Digest,
    range,
    report::{Findings, Reason},
    section::Section,
};
use compact_str::CompactString;
use site::unit::{Cores, Memory, Slots, Span, Weight};
use std::net::SocketAddr;

pub(super) fn check(draft: &Draft<'_>, findings: &mut Findings) {
    let mut checker = Checker { draft, findings };
    checker.services();
    checker.executors();
    checker.workers();
    checker.data_centres();
    checker.firms();
    checker.operators();
    checker.contracts();
}

struct Checker<'a> {
    draft: &'a Draft<'a>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    fn services(&mut self) {
        let section = Section::Services;
        for (name, service) in &self.draft.services {
            self.require(service.slots != Slots(0), section, name, &["slots"], Reason::Zero);
            self.require(service.connections != 0, section, name, &["connections"], Reason::Zero);
            self.require(
                service.deadline != Span::ZERO,
                section,
                name,
                &["deadline"],
                Reason::Zero,
            );
            let body = service.body_limit;
            self.require(body != Memory(0), section, name, &["body-limit"], Reason::Zero);
        }
    }

    fn executors(&mut self) {
        let section = Section::Executors;
        for (name, executor) in &self.draft.executors {
            let slots = executor.slots;
            self.require(slots != Some(Slots(0)), section, name, &["slots"], Reason::Zero);
            self.address(section, name, executor.address);
        }
    }

    fn workers(&mut self) {
        let section = Section::Workers;
        for (name, worker) in &self.draft.workers {
            self.require(worker.cores != Cores(0), section, name, &["cores"], Reason::Zero);
            self.require(worker.memory != Memory(0), section, name, &["memory"], Reason::Zero);
            self.name(section, name, "rack", &worker.rack);
            self.address(section, name, worker.address);
        }
    }

    fn data_centres(&mut self) {
        for (name, data_centre) in &self.draft.data_centres {
            self.name(Section::DataCentres, name, "region", &data_centre.region);
        }
    }

    fn firms(&mut self) {
        let section = Section::Firms;
        for (name, firm) in &self.draft.firms {
            self.require(firm.weight != Weight(0), section, name, &["weight"], Reason::Zero);
            self.digests(section, name, &firm.key_digests);
            let labels = self.draft.labels(section, name, "crews");
            for (label, crew) in labels.iter().zip(&firm.crews) {
                let field = ["crews", label, "weight"];
                self.require(crew.weight != Weight(0), section, name, &field, Reason::Zero);
                let reason = Reason::Name { name: crew.name.clone() };
                let valid = range::is_name(&crew.name);
                self.require(valid, section, name, &["crews", label], reason);
            }
        }
    }

    fn operators(&mut self) {
        for (name, operator) in &self.draft.operators {
            self.digests(Section::Operators, name, &operator.key_digests);
        }
    }

    fn contracts(&mut self) {
        for (name, contract) in &self.draft.contracts {
            let valid = contract.quota != Some(Slots(0));
            self.require(valid, Section::Contracts, name, &["quota"], Reason::Zero);
        }
    }

    fn digests(&mut self, section: Section, name: &str, digests: &[CompactString]) {
        let labels = self.draft.labels(section, name, "key-digests");
        for (label, digest) in labels.iter().zip(digests) {
            let valid = digest.parse::<Digest>().is_ok();
            self.require(valid, section, name, &["key-digests", label], Reason::Digest);
        }
    }

    fn address(&mut self, section: Section, name: &str, address: SocketAddr) {
        let valid = address.port() != 0 && !address.ip().is_unspecified();
        self.require(valid, section, name, &["address"], Reason::Unspecified);
    }

    fn name(&mut self, section: Section, object: &str, field: &str, name: &CompactString) {
        let reason = Reason::Name { name: name.clone() };
        self.require(range::is_name(name), section, object, &[field], reason);
    }

    fn require(
        &mut self,
        holds: bool,
        section: Section,
        name: &str,
        field: &[&str],
        reason: Reason,
    ) {
        if !holds {
            let (origin, path) = self.draft.field(section, name, field);
            self.findings.error(origin, path, reason);
        }
    }
}

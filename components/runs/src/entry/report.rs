//! Reports between entries: room, load, lost entries and what else they tell each other.

use super::{Entry, forward::forwarders};
use crate::{
    Action, Message,
    action::Source,
    load::Load,
    message::{Report, Sign},
    options::Supply,
    reports::Recipients,
};
use site::{id::Home, unit::Time};

impl Entry {
    pub(super) fn report(&self, now: Time) -> Report {
        let load = self.load(now);
        let demand = self.jobs.demand(now);
        let data_centre_demand = self.jobs.peers.demand(now, self.me.data_centre, demand);
        Report {
            sign: Sign::default(),
            room: self.keeper.room(now),
            capacity: self.keeper.capacity(),
            load,
            data_centre_load: self.jobs.peers.summary(now, self.me.data_centre, load),
            cordoned: self.keeper.is_all_cordoned(),
            leaving: self.view.is_leaving(),
            idle: self.keeper.keeps_nothing(),
            configuration: self.configuration,
            cordon: self.keeper.cordon().clone(),
            revision: self.view.revision(),
            kinds: Vec::new(),
            lost: self.reported_losses(),
            highest_token: self.keeper.highest_token(),
            demand: Box::new(demand),
            data_centre_demand: Box::new(data_centre_demand),
        }
    }

    fn reported_losses(&self) -> Vec<Home> {
        match self.options.standby {
            true => self.view.losses().to_vec(),
            false => Vec::new(),
        }
    }

    /// The pending and queued work here, and how fast the executors kept here get through it.
    fn load(&self, now: Time) -> Load {
        [self.keeper.load(now), self.jobs.load()].into_iter().sum()
    }

    pub(super) fn send_reports(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.jobs.peers.len() == 0 || !self.reports.may_be_due(now, &self.options) {
            return;
        }
        let report = self.report(now);
        let supply = self.keeper.supply(now);
        let recipients = Recipients {
            by_distance: self.view.by_distance(),
            pending: self.jobs.peers.with_pending().collect(),
            keepers: self.jobs.keepers(),
            forwarders: match supply {
                Supply::Scarce => forwarders(&self.options, &self.jobs.peers, &self.view),
                Supply::Ample => Vec::new(),
            },
        };
        let due = self.reports.take_due(now, &report, supply, &recipients, &self.options);
        out.extend(due.into_iter().map(|to| self.report_to(now, to, &report)));
    }

    /// Handles a peer's report. A peer that begins to have pending tasks gets a report of the room
    /// here at once.
    pub(super) fn handle_report(
        &mut self,
        now: Time,
        from: Home,
        mut report: Report,
        out: &mut Vec<Action>,
    ) {
        self.observe_sign(now, from, report.sign);
        self.view.observe_revision(report.revision);
        let mut changed = self.view.set_leaving(from, report.leaving);
        self.view.record_losses(from, report.lost.clone(), report.highest_token);
        if self.options.standby {
            changed |= self.view.confirm_losses();
        }
        self.view.set_idle(from, report.idle);
        let kinds = std::mem::take(&mut report.kinds);
        // A late message of a disconnected peer would otherwise count until this process ends.
        if !kinds.is_empty() && self.view.connected().any(|peer| peer == from) {
            self.keeper.speeds.hear(from, kinds);
        }
        self.set_cordon(now, report.cordon.clone(), Source::Peer, out);
        let is_cordoned = report.cordoned;
        let gains_work = self.jobs.peers.report(now, from, report);
        if is_cordoned && self.is_cordoned_elsewhere() {
            self.reject_cordoned(now, out);
        }
        if gains_work && !self.keeper.room(now).is_empty() {
            let report = self.report(now);
            out.push(self.report_to(now, from, &report));
        }
        self.view_changed(now, changed, out);
    }

    /// A report to one peer, with a sign of life and the speeds of kinds that it does not know yet.
    pub(super) fn report_to(&mut self, now: Time, to: Home, report: &Report) -> Action {
        let kinds = self.keeper.speeds.take_unsent(to);
        let alive = self.progress.handled_until(now);
        let contact = self.contacts.get_mut(&to);
        let sign = contact.map_or_else(Sign::default, |contact| contact.sign(now, alive));
        Action::Send { to, message: Message::Report(Report { sign, kinds, ..report.clone() }) }
    }

    /// Updates which entries of this data centre are lost, and tells its keepers of new losses:
    /// they take the executors over.
    pub(super) fn update_losses(&mut self, now: Time, out: &mut Vec<Action>) {
        let has_new = self.view.update_losses(now, self.options.standby_silence);
        if !self.options.standby {
            return;
        }
        if has_new {
            let report = self.report(now);
            let near: Vec<_> = self.view.local_keepers().collect();
            out.extend(near.into_iter().map(|to| self.report_to(now, to, &report)));
        }
        let changed = self.view.confirm_losses();
        self.view_changed(now, changed, out);
    }
}

//! Exchanges what the streams of targets look like with the other daemons.
//!
//! Each daemon reports the streams that it has served to the first two daemons that may schedule. These add up the reports of
//! all daemons and answer with the forms that they show. Counts are sent as they are since the start of the daemon, so that
//! a lost report is made up for by the next one, and the next schedulers have everything with the first one.
//!
//! Owns: nothing; these are methods of `Node`. Relies on: [`FleetForms`] for the rule, the driver for the streams of this
//! daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, PeerMessage, PoolId, SourceForm, SourceTally, StreamFormsPush, StreamFormsReport,
    StreamSource, StreamTally, Uptime, VmId,
};
use curlewcleat_sched::FleetForms;

use super::known_changes::KnownChanges;
use super::own_tallies::{OwnTally, KNOWN_INTERVAL};
use super::stored_forms::StoredForms;
use super::Node;
use crate::event::NodeAction;

/// Interval of reports while there is anything to report: a form has to be known at all daemons three seconds after the first
/// streams of its source.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of daemons that are reported to: two, so that one may fail.
const COLLECTORS: usize = 2;
/// Most sources of a report.
const MAX_TALLIES: usize = 64;
/// Interval at which daemons ask for everything again, whatever they know.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which an answer is used: two may be lost.
const ANSWER_TERM: Duration = Duration::from_secs(25);
/// Number of known changes with which everything is asked for; unlike 0 it needs no frame of its own.
const ALL_CHANGES: u64 = u64::MAX;

/// Most forms that are kept.
const MAX_FORMS: usize = 256;

/// An answer of a daemon that adds up the reports.
#[derive(Clone, Debug)]
struct FormsAnswer {
    push: StreamFormsPush,
    received: Uptime,
}

/// The reports of this daemon, and what it does with those of others.
#[derive(Clone, Debug, Default)]
pub(super) struct FormExchange {
    /// What the daemons have reported to this one.
    collected: FleetForms,
    own: BTreeMap<StreamSource, OwnTally>,
    /// The daemons that this one reports to, the preferred one first.
    collectors: Vec<DaemonId>,
    known: KnownChanges,
    answers: BTreeMap<VmId, FormsAnswer>,
    /// The forms in use at this daemon.
    forms: BTreeMap<StreamSource, SourceForm>,
    damaged: BTreeSet<PoolId>,
    /// What the platform keeps.
    pub kept: StoredForms,
    last_report: Option<Uptime>,
    last_refresh: Option<Uptime>,
}

impl FormExchange {
    /// Returns whether enough streams have shown the form of a source to cut streams by it.
    fn knows(&self, source: &StreamSource) -> bool {
        suffices(self.forms.get(source))
    }
}

/// Adds a form. One that enough streams have shown is not replaced by the same one that fewer have shown.
fn learn_form(forms: &mut BTreeMap<StreamSource, SourceForm>, learned: &SourceForm) {
    let known = forms.get(&learned.source);
    if known.is_none_or(|known| known.form != learned.form || !known.suffices_for_cuts) {
        forms.insert(learned.source.clone(), learned.clone());
    }
}

/// Makes room if there are too many forms: those go that no daemon has stated lately.
fn drop_unstated_forms(
    forms: &mut BTreeMap<StreamSource, SourceForm>,
    answers: &[&StreamFormsPush],
) {
    if forms.len() <= MAX_FORMS {
        return;
    }
    let stated = answers.iter().flat_map(|push| push.forms.iter().map(|form| &form.source));
    let stated: BTreeSet<&StreamSource> = stated.collect();
    forms.retain(|source, _| stated.contains(source));
    while forms.len() > MAX_FORMS {
        forms.pop_first();
    }
}

impl FormExchange {
    /// Returns whether any answer states anything that may no longer hold.
    fn has_statements(&self) -> bool {
        let mut pushes = self.answers.values().map(|answer| &answer.push);
        pushes.any(|push| !(push.forms.is_empty() && push.damaged.is_empty()))
    }
}

fn suffices(form: Option<&SourceForm>) -> bool {
    form.is_some_and(|form| form.suffices_for_cuts)
}

impl Node {
    /// Asks the driver for the streams of this daemon when it is time to report them.
    pub(super) fn step_stream_forms(&mut self) {
        let exchange = &self.stream_forms;
        let is_early = exchange.last_report.is_some_and(|last| self.now < last + REPORT_INTERVAL);
        if !self.options.shares_stream_forms || is_early {
            return;
        }
        self.stream_forms.last_report = Some(self.now);
        self.stream_forms.collected.advance(self.now);
        self.review_collectors();
        self.apply_stream_forms();
        if self.stream_forms.collectors.first() == Some(&self.options.me) {
            let known = self.stream_forms.forms.clone();
            self.store_stream_forms(&known);
        }
        self.actions.push(NodeAction::ReadStreamTallies);
    }

    /// Uses stored forms of sources of which none is known.
    pub(super) fn learn_stored_forms(&mut self, stored: &[SourceForm]) {
        let exchange = &mut self.stream_forms;
        let known = exchange.forms.clone();
        for form in stored.iter().filter(|form| !known.contains_key(&form.source)) {
            exchange.forms.insert(form.source.clone(), form.clone());
        }
        if exchange.forms != known {
            self.use_stream_forms();
        }
    }

    /// Reports the streams of this daemon, and asks for the forms that it lacks.
    pub(super) fn stream_tallies_read(&mut self, counted: Vec<(StreamSource, StreamTally)>) {
        let exchange = &mut self.stream_forms;
        for (source, tally) in counted {
            exchange.own.entry(source).or_default().counted = tally;
        }
        let due = self.due_tallies();
        if !due.is_empty() || self.lacks_forms() {
            self.send_stream_forms_report(&due, false);
        }
    }

    /// Asks for the forms that this daemon lacks. While nothing is new the message shares a frame with others.
    pub(super) fn pull_stream_forms(&mut self) {
        if !self.options.shares_stream_forms {
            return;
        }
        let last_refresh = self.stream_forms.last_refresh;
        let is_due = last_refresh.is_none_or(|last| self.now >= last + REFRESH_INTERVAL);
        let is_refresh = is_due && self.stream_forms.has_statements();
        if is_refresh {
            self.stream_forms.last_refresh = Some(self.now);
        }
        self.send_stream_forms_report(&[], is_refresh);
    }

    fn send_stream_forms_report(&mut self, tallies: &[SourceTally], wants_all: bool) {
        for collector in self.stream_forms.collectors.clone() {
            let known = match self.stream_forms.known.of(&collector) {
                known if known > 0 && wants_all => ALL_CHANGES,
                known => known,
            };
            let report = StreamFormsReport { known, tallies: tallies.to_vec() };
            self.post(&collector.vm, PeerMessage::StreamFormsReport(report));
        }
    }

    /// Adds up what a daemon reports, and answers if it lacks a change.
    pub(super) fn stream_forms_reported(&mut self, from: &DaemonId, report: StreamFormsReport) {
        let collected = &mut self.stream_forms.collected;
        collected.record(self.now, from, report.tallies);
        if report.known != collected.changes() {
            let push = collected.known();
            self.post(&from.vm, PeerMessage::StreamFormsPush(push));
        }
    }

    /// Applies the forms that a daemon knows to which this one reports.
    pub(super) fn stream_forms_pushed(&mut self, from: &DaemonId, push: StreamFormsPush) {
        let exchange = &mut self.stream_forms;
        if !exchange.collectors.contains(from) {
            return;
        }
        exchange.known.record(from, push.at);
        exchange.answers.insert(from.vm.clone(), FormsAnswer { push, received: self.now });
        self.apply_stream_forms();
    }

    /// Reports everything to daemons that did not get the reports so far.
    fn review_collectors(&mut self) {
        let collectors: Vec<DaemonId> =
            self.all_pools_order.iter().take(COLLECTORS).cloned().collect();
        let exchange = &mut self.stream_forms;
        if collectors.iter().any(|collector| !exchange.collectors.contains(collector)) {
            exchange.last_refresh = None;
            exchange.own.values_mut().for_each(|own| own.reported = StreamTally::default());
        }
        exchange.collectors = collectors;
        let collectors = &exchange.collectors;
        exchange.answers.retain(|vm, _| collectors.iter().any(|collector| collector.vm == *vm));
    }

    /// Returns whether this daemon has lately served streams of a source whose form is not known.
    fn lacks_forms(&self) -> bool {
        let exchange = &self.stream_forms;
        let is_recent = |own: &OwnTally| self.now < own.reported_at + KNOWN_INTERVAL;
        let lacks = |source: &StreamSource| !exchange.knows(source);
        exchange.own.iter().any(|(source, own)| is_recent(own) && lacks(source))
    }

    /// Returns what has to be reported, those sources first that were reported longest ago.
    fn due_tallies(&mut self) -> Vec<SourceTally> {
        let (now, exchange) = (self.now, &mut self.stream_forms);
        let forms = &exchange.forms;
        let due = exchange.own.iter_mut();
        let due = due.filter(|(source, own)| own.is_due(now, suffices(forms.get(*source))));
        let mut due: Vec<(&StreamSource, &mut OwnTally)> = due.collect();
        due.sort_by_key(|(_, own)| own.reported_at);
        due.truncate(MAX_TALLIES);
        due.into_iter().map(|(source, own)| own.report(now, source)).collect()
    }

    /// Applies what the daemons know that add up the reports, the preferred one last. A form stays until one of them withdraws
    /// it: that one of them does not know it proves nothing.
    fn apply_stream_forms(&mut self) {
        let (now, exchange) = (self.now, &mut self.stream_forms);
        let answers = exchange.collectors.iter().rev();
        let answers = answers.filter_map(|collector| exchange.answers.get(&collector.vm));
        let answers = answers.filter(|answer| now < answer.received + ANSWER_TERM);
        let answers: Vec<&StreamFormsPush> = answers.map(|answer| &answer.push).collect();
        let (mut forms, mut damaged) = (exchange.forms.clone(), BTreeSet::new());
        for push in &answers {
            push.forms.iter().for_each(|form| learn_form(&mut forms, form));
            push.withdrawn.iter().for_each(|source| drop(forms.remove(source)));
            damaged.extend(push.damaged.iter().cloned());
        }
        drop_unstated_forms(&mut forms, &answers);
        if forms == exchange.forms && damaged == exchange.damaged {
            return;
        }
        let withdrawn = exchange.forms.keys().filter(|source| !forms.contains_key(*source));
        for source in withdrawn {
            exchange.own.entry(source.clone()).and_modify(OwnTally::begin_epoch);
            exchange.collected.forget(source);
        }
        (exchange.forms, exchange.damaged) = (forms, damaged);
        self.use_stream_forms();
    }

    fn use_stream_forms(&mut self) {
        let exchange = &mut self.stream_forms;
        let forms: Vec<SourceForm> = exchange.forms.values().cloned().collect();
        exchange.collected.adopt(&forms);
        let damaged = exchange.damaged.iter().cloned().collect();
        self.actions.push(NodeAction::SetStreamForms(forms, damaged));
    }
}

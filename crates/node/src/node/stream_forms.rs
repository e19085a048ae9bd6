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
    StreamSource, StreamTally, StreamTrait, Uptime, VmId,
};
use curlewcleat_sched::FleetForms;

use super::known_changes::KnownChanges;
use super::Node;
use crate::event::NodeAction;

/// Interval of reports while there is anything to report: a form has to be known at all daemons three seconds after the first
/// streams of its source.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which streams are reported of a source whose form is known.
const KNOWN_INTERVAL: Duration = Duration::from_secs(10);
/// Number of daemons that are reported to: two, so that one may fail.
const COLLECTORS: usize = 2;
/// Most sources of a report.
const MAX_TALLIES: usize = 64;
/// Time for which a pool's damage is believed that is not announced again.
const DAMAGE_TERM: Duration = Duration::from_secs(60);

/// Most forms that are kept.
const MAX_FORMS: usize = 256;

/// What this daemon has counted of a source, and what of it was reported.
#[derive(Clone, Debug, Default)]
struct OwnTally {
    counted: StreamTally,
    reported: StreamTally,
    reported_at: Uptime,
}

impl OwnTally {
    /// Returns whether the other daemons need to know what has changed.
    fn is_due(&self, now: Uptime, is_form_known: bool) -> bool {
        let Some(added) = self.counted.since(&self.reported) else { return false };
        let rare = [StreamTrait::Irregular, StreamTrait::Cut, StreamTrait::Damaged];
        let has_rare = rare.into_iter().any(|counted| added.count(counted) > 0);
        let is_late = now >= self.reported_at + KNOWN_INTERVAL;
        has_rare || added.whole() > 0 && (!is_form_known || is_late)
    }
}

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
    last_report: Option<Uptime>,
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
    pub(super) fn stream_tallies_read(&mut self, tallies: Vec<SourceTally>) {
        let exchange = &mut self.stream_forms;
        for SourceTally { source, tally } in tallies {
            exchange.own.entry(source).or_default().counted = tally;
        }
        let due = self.due_tallies();
        if !due.is_empty() || self.lacks_forms() {
            self.send_stream_forms_report(&due);
        }
    }

    /// Asks for the forms that this daemon lacks. While nothing is new the message shares a frame with others.
    pub(super) fn pull_stream_forms(&mut self) {
        if self.options.shares_stream_forms {
            self.send_stream_forms_report(&[]);
        }
    }

    fn send_stream_forms_report(&mut self, tallies: &[SourceTally]) {
        for collector in self.stream_forms.collectors.clone() {
            let known = self.stream_forms.known.of(&collector);
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

    fn due_tallies(&mut self) -> Vec<SourceTally> {
        let (now, exchange) = (self.now, &mut self.stream_forms);
        let forms = &exchange.forms;
        let due = exchange.own.iter_mut();
        let due = due.filter(|(source, own)| own.is_due(now, suffices(forms.get(*source))));
        let due = due.take(MAX_TALLIES).map(|(source, own)| {
            (own.reported, own.reported_at) = (own.counted, now);
            SourceTally { source: source.clone(), tally: own.counted }
        });
        due.collect()
    }

    /// Applies what the daemons know that add up the reports, the preferred one last. A form stays until one of them withdraws
    /// it: that one of them does not know it proves nothing.
    fn apply_stream_forms(&mut self) {
        let (now, exchange) = (self.now, &mut self.stream_forms);
        let answers = exchange.collectors.iter().rev();
        let answers = answers.filter_map(|collector| exchange.answers.get(&collector.vm));
        let (mut forms, mut damaged) = (exchange.forms.clone(), BTreeSet::new());
        for FormsAnswer { push, received } in answers {
            push.forms.iter().for_each(|form| learn_form(&mut forms, form));
            push.withdrawn.iter().for_each(|source| drop(forms.remove(source)));
            let is_recent = now < *received + DAMAGE_TERM;
            damaged.extend(push.damaged.iter().filter(|_| is_recent).cloned());
        }
        while forms.len() > MAX_FORMS {
            forms.pop_first();
        }
        if forms == exchange.forms && damaged == exchange.damaged {
            return;
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

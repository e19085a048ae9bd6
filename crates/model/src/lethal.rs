//! A request under which targets end, over daemons that are cut off, die and begin anew: once three ends are known among
//! those in touch, or to the platform, and all had their time, none of them sends it on; a request that does
//! nothing and was served is refused nowhere.

use std::collections::BTreeSet;
use std::time::Duration;

use curlewcleat_core::{
    InterruptionKind, RequestDigest, RequestIdentity, RequestInterruption, SuspectReport,
    TargetInstance, TargetStart, Uptime,
};
use curlewcleat_sched::{InstancePresence, LethalOptions, LethalRequests, LethalVerdict};

use crate::explore::SpecModel;

/// Daemons of the model.
const DAEMONS: usize = 3;
/// Ends after which the request is not sent on: the users' bound.
const ENDS: usize = 3;
/// Targets that the platform shows, for the rule that asks whether ends are common: more than end here.
const TARGETS: usize = 20;
/// The time, which stands still: what depends on it is tested apart.
const NOW: Uptime = Duration::from_secs(1_000);

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LethalFault {
    /// The protocol as it is.
    None,
    /// Daemons ask nobody for what they do not know.
    NothingAsked,
    /// A daemon that begins serves before it knows anything.
    ServesUnknowing,
    /// Whatever broke off counts as an end.
    BreakTakenForEnd,
    /// A request that was served whole stays suspect.
    ServedStaysSuspect,
    /// A daemon forgets a request that it refuses and has stored.
    StoredForgotten,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct LethalModel {
    /// Fault put in.
    pub fault: LethalFault,
    /// Times that the request is sent to a target.
    pub sends: u8,
    /// Targets that have it at the same time.
    pub copies: usize,
    /// Daemons to which callers come.
    pub entries: usize,
    /// Whether what a daemon tells of an end may be lost.
    pub loses_news: bool,
    /// Cuts of a daemon from all others and the platform.
    pub cuts: u8,
    /// Daemons that die and begin anew.
    pub deaths: u8,
    /// Breaks of the other request, at a target that lives or under the end of one.
    pub bystander_breaks: u8,
    /// Times that the other request comes.
    pub bystander_visits: u8,
}

/// A state: what each daemon knows, and what is true.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LethalState {
    daemons: Vec<LethalRequests>,
    /// Target that has the request of each daemon.
    at_target: [Option<u8>; DAEMONS],
    /// Lives so far.
    instances: u8,
    /// Lives that ended under the request.
    ended: Vec<u8>,
    /// What the platform keeps.
    stored: Option<SuspectReport>,
    cut: Option<usize>,
    /// Whether all daemons had their time since the last end, cut or heal.
    settled: bool,
    sends: u8,
    cuts: u8,
    deaths: u8,
    bystander_breaks: u8,
    bystander_visits: u8,
    /// Whether a daemon in touch sent it after everyone there had time to know of the third end.
    late: bool,
    /// Lives that ended under the other request since it was served whole.
    bystander_ends: u8,
    bystander_refused: bool,
}

fn lethal() -> RequestDigest {
    digest(b"lethal")
}

fn bystander() -> RequestDigest {
    digest(b"other")
}

fn digest(body: &[u8]) -> RequestDigest {
    RequestIdentity { method: "POST", host: "h", path: "/p", caller: "a", body }.digest()
}

fn instance(number: u8) -> TargetInstance {
    TargetInstance { id: "t".to_string(), start: Some(TargetStart(u64::from(number))) }
}

fn closed(number: u8) -> RequestInterruption {
    RequestInterruption { instance: instance(number), kind: InterruptionKind::Closed, begun: false }
}

impl LethalModel {
    fn new_daemon() -> LethalRequests {
        LethalRequests::new(LethalOptions::default())
    }

    fn reaches(state: &LethalState, from: usize, to: usize) -> bool {
        from == to || state.cut != Some(from) && state.cut != Some(to)
    }

    /// What a daemon knows reaches another one, which does not answer.
    fn tell(state: &mut LethalState, from: usize, to: usize) {
        let told = state.daemons[from].changes_since(NOW, 0);
        state.daemons[to].merge(NOW, told);
    }

    fn tell_reached(state: &mut LethalState, from: usize) {
        for to in 0..DAEMONS {
            if from != to && LethalModel::reaches(state, from, to) {
                LethalModel::tell(state, from, to);
            }
        }
    }

    /// A daemon looks at the platform.
    fn review(&self, state: &mut LethalState, index: usize) {
        let ended: Vec<TargetInstance> =
            state.ended.iter().map(|number| instance(*number)).collect();
        let takes_all = self.fault == LethalFault::BreakTakenForEnd;
        let presence = |instance: &TargetInstance| match takes_all || ended.contains(instance) {
            true => InstancePresence::Unlisted,
            false => InstancePresence::Listed,
        };
        state.daemons[index].review(NOW, TARGETS, &presence);
        let unstored: Vec<RequestDigest> =
            state.daemons[index].unstored().copied().filter(|digest| *digest == lethal()).collect();
        for digest in unstored {
            state.daemons[index].record_stored(&digest);
            state.stored = state.daemons[index].report(NOW, &digest);
        }
    }

    /// Ends that daemons in touch know of, or the platform.
    fn known_ends(state: &LethalState) -> usize {
        let in_touch = (0..DAEMONS).filter(|index| state.cut != Some(*index));
        let reports = in_touch.filter_map(|index| state.daemons[index].report(NOW, &lethal()));
        let reports = reports.chain(state.stored.clone());
        let instances =
            reports.flat_map(|report| report.interruptions).map(|seen| seen.interruption.instance);
        instances.collect::<BTreeSet<TargetInstance>>().len()
    }

    fn clear(state: &mut LethalState, index: usize, digest: &RequestDigest) -> bool {
        state.daemons[index].verdict(NOW, digest) == LethalVerdict::Clear
    }

    fn send(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        let copies = next.at_target.iter().flatten().count();
        if next.sends == 0 || next.at_target[index].is_some() || copies >= self.copies {
            return None;
        }
        if !LethalModel::clear(&mut next, index, &lethal()) {
            return None;
        }
        next.sends -= 1;
        next.at_target[index] = Some(next.instances);
        next.instances += 1;
        next.late |=
            next.settled && next.cut != Some(index) && LethalModel::known_ends(&next) >= ENDS;
        Some(next)
    }

    /// The target of a daemon's request ends; `told` says whether the daemon's news reach the others, `beside` whether the
    /// other request was there too, by way of the next daemon.
    fn end(
        &self,
        state: &LethalState,
        index: usize,
        told: bool,
        beside: bool,
    ) -> Option<LethalState> {
        let mut next = state.clone();
        let number = next.at_target[index].take()?;
        if beside {
            next.bystander_breaks = next.bystander_breaks.checked_sub(1)?;
        }
        next.ended.push(number);
        next.settled = false;
        next.daemons[index].record_interruption(NOW, lethal(), closed(number));
        if beside {
            let other = (index + 1) % DAEMONS;
            next.bystander_ends += 1;
            next.daemons[other].record_interruption(NOW, bystander(), closed(number));
        }
        if told {
            LethalModel::tell_reached(&mut next, index);
        }
        Some(next)
    }

    /// The other request breaks off at a target that lives on.
    fn bystander_breaks(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.bystander_breaks = next.bystander_breaks.checked_sub(1)?;
        next.daemons[index].record_interruption(NOW, bystander(), closed(next.instances));
        next.instances += 1;
        Some(next)
    }

    /// The other request comes and is served whole, or is refused though fewer than three targets ended under it.
    fn serve_bystander(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.bystander_visits = next.bystander_visits.checked_sub(1)?;
        if !LethalModel::clear(&mut next, index, &bystander()) {
            let refused = next.daemons[index].refused().any(|refused| *refused == bystander());
            next.bystander_refused = refused && usize::from(next.bystander_ends) < ENDS;
            return Some(next);
        }
        next.bystander_ends = 0;
        if self.fault == LethalFault::ServedStaysSuspect {
            return Some(next);
        }
        next.daemons[index].record_served(NOW, &bystander());
        LethalModel::tell_reached(&mut next, index);
        Some(next)
    }

    /// All daemons that reach each other and the platform have had their time.
    fn contact(&self, state: &LethalState) -> LethalState {
        let mut next = state.clone();
        for _ in 0..2 {
            for index in 0..DAEMONS {
                if next.cut != Some(index) {
                    self.review(&mut next, index);
                }
                for from in 0..DAEMONS {
                    let asks = self.fault != LethalFault::NothingAsked;
                    if asks && from != index && LethalModel::reaches(&next, from, index) {
                        LethalModel::tell(&mut next, from, index);
                    }
                }
            }
        }
        next.settled = true;
        next
    }

    /// A daemon dies and begins anew.
    fn die(&self, state: &LethalState, index: usize) -> Option<LethalState> {
        let mut next = state.clone();
        next.deaths = next.deaths.checked_sub(1)?;
        // The target that had its request ends with no daemon to see it.
        next.ended.extend(next.at_target[index].take());
        next.daemons[index] = LethalModel::new_daemon();
        if self.fault == LethalFault::ServesUnknowing || next.cut == Some(index) {
            return Some(next);
        }
        let kept = next.stored.clone().filter(|_| self.fault != LethalFault::StoredForgotten);
        next.daemons[index].merge(NOW, kept.into_iter().collect());
        for from in 0..DAEMONS {
            if from != index && LethalModel::reaches(&next, from, index) {
                LethalModel::tell(&mut next, from, index);
            }
        }
        Some(next)
    }

    /// All daemons die together and begin anew.
    fn all_die(&self, state: &LethalState) -> Option<LethalState> {
        let mut next = state.clone();
        next.deaths = next.deaths.checked_sub(1)?;
        next.ended.extend(next.at_target.iter().flatten());
        next.at_target = [None; DAEMONS];
        next.cut = None;
        let kept = next.stored.clone().filter(|_| {
            self.fault != LethalFault::StoredForgotten && self.fault != LethalFault::ServesUnknowing
        });
        for daemon in &mut next.daemons {
            *daemon = LethalModel::new_daemon();
            daemon.merge(NOW, kept.clone().into_iter().collect());
        }
        Some(next)
    }

    fn change_cut(&self, state: &LethalState, cut: Option<usize>) -> Option<LethalState> {
        let mut next = state.clone();
        if cut.is_some() {
            next.cuts = next.cuts.checked_sub(1)?;
        }
        next.cut = cut;
        next.settled = false;
        Some(next)
    }
}

impl SpecModel for LethalModel {
    type State = LethalState;

    fn initial(&self) -> LethalState {
        LethalState {
            daemons: vec![LethalModel::new_daemon(); DAEMONS],
            at_target: [None; DAEMONS],
            instances: 0,
            ended: Vec::new(),
            stored: None,
            cut: None,
            settled: true,
            sends: self.sends,
            cuts: self.cuts,
            deaths: self.deaths,
            bystander_breaks: self.bystander_breaks,
            bystander_visits: self.bystander_visits,
            late: false,
            bystander_ends: 0,
            bystander_refused: false,
        }
    }

    fn successors(&self, state: &LethalState) -> Vec<(String, LethalState)> {
        let mut steps = Vec::new();
        let mut step = |name: String, next: Option<LethalState>| {
            steps.extend(next.map(|next| (name, next)));
        };
        for index in 0..self.entries {
            step(format!("daemon {index} sends it"), self.send(state, index));
            for (told, beside) in [(true, false), (false, false), (true, true)] {
                if !told && !self.loses_news {
                    continue;
                }
                let name =
                    format!("its target at {index} ends, told {told}, another there {beside}");
                step(name, self.end(state, index, told, beside));
            }
            step(format!("another breaks off at {index}"), self.bystander_breaks(state, index));
            step(format!("another comes to {index}"), self.serve_bystander(state, index));
        }
        for index in 0..DAEMONS {
            step(format!("daemon {index} dies"), self.die(state, index));
            if state.cut.is_none() {
                step(format!("daemon {index} is cut off"), self.change_cut(state, Some(index)));
            }
        }
        if state.cut.is_some() {
            step("the cut heals".to_string(), self.change_cut(state, None));
        }
        step("all die together".to_string(), self.all_die(state));
        step("time passes".to_string(), Some(self.contact(state)));
        steps
    }

    fn violation(&self, state: &LethalState) -> Option<String> {
        if state.late {
            return Some("it was sent on after everyone had time to know".to_string());
        }
        state.bystander_refused.then(|| "a request that ended nothing was refused".to_string())
    }
}

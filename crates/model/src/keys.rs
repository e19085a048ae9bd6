//! Model of the key holder and of moves of its slot: two VMs, two attempts of one key, a slot table that changes by a
//! hand-over or after the holder has ended, stale views, lost answers and late messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, KeyAnswer, KeyClaim, KeyDecision, KeyHandOver, KeyOutcome, RequestId, Verdict, VmId,
    WallTime,
};
use curlewcleat_keys::{KeyHolder, KeyHolderOptions, KeyTable};

use crate::explore::SpecModel;

/// Time at which the system starts.
const START: WallTime = Duration::from_secs(1_000);
/// Time at which a timed key is created, within the callers' retry window after the start.
const KEY_CREATION: WallTime = Duration::from_secs(1_100);

/// A fault injected into the protocol, which the search must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// No fault.
    None,
    /// A slot is reassigned after a timeout, although its holder may only be paused.
    MoveByTimeOut,
    /// A new holder claims to know the complete history of its keys.
    HistoryClaimed,
    /// A holder continues to grant keys while it hands its slot over.
    GrantsDuringHandOver,
    /// A caller's clock is ahead by more than the allowed skew.
    ClockBeyondSkew,
    /// An attempt whose answer is lost is reported as not run.
    LostAnswerReportedNotRun,
}

/// The specification and its bounds.
#[derive(Clone, Debug)]
pub struct KeyModel {
    /// Injected fault.
    pub fault: KeyFault,
    /// Whether the key contains its creation time (a UUIDv7, created at `KEY_CREATION` by the caller's clock) or is
    /// opaque.
    pub timed_key: bool,
    /// Number of changes of the table.
    pub moves: usize,
    /// Whether holders hand their slots over.
    pub hand_overs: bool,
    /// Number of daemons that stop.
    pub stops: u8,
    /// Number of messages that may be delivered twice.
    pub repeats: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Claim(DaemonId, usize),
    Answer(usize, u8),
    Outcome(DaemonId, usize, u8),
    HandOver(DaemonId, DaemonId, usize),
    Ack(DaemonId, DaemonId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum AttemptPhase {
    Idle,
    Claiming,
    Granted,
    Ended,
}

/// State of the daemons, the table and its versions, the messages, the attempts and the runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyState {
    wall: WallTime,
    daemons: BTreeMap<DaemonId, KeyHolder>,
    started: u64,
    stopped: u8,
    tables: Vec<KeyTable>,
    unlisted: BTreeSet<VmId>,
    network: BTreeSet<Message>,
    hand_overs: Vec<KeyHandOver>,
    decisions: Vec<KeyDecision>,
    repeats: u8,
    attempts: [AttemptPhase; 2],
    runs: u8,
    /// Holders as they were before they began to hand over, from which the variant `GrantsDuringHandOver` continues to
    /// grant keys.
    still_granting: BTreeMap<DaemonId, KeyHolder>,
}

impl KeyModel {
    /// Returns the number of seconds by which the caller's clock is ahead of the VMs' clocks.
    fn clock_lead(&self) -> u64 {
        let skew = KeyHolderOptions::default().clock_skew.as_secs();
        if self.fault == KeyFault::ClockBeyondSkew {
            skew + 1
        } else {
            skew - 1
        }
    }

    fn claim(&self, attempt: usize) -> KeyClaim {
        let created = uuid::Timestamp::from_unix(
            uuid::NoContext,
            KEY_CREATION.as_secs() + self.clock_lead(),
            0,
        );
        let key = if self.timed_key {
            uuid::Uuid::new_v7(created).to_string()
        } else {
            "opaque".to_string()
        };
        // The random part of the key must be the same in every state.
        let key = key.get(..15).map_or(key.clone(), |time| {
            if self.timed_key {
                format!("{time}000-8000-000000000000")
            } else {
                key.clone()
            }
        });
        KeyClaim {
            request: RequestId::from_u128(attempt as u128 + 1),
            account: "a".to_string(),
            key,
            attempt: None,
        }
    }

    fn deliver(&self, state: &KeyState, message: &Message) -> Option<KeyState> {
        let mut next = state.clone();
        match message {
            Message::Claim(to, attempt) => self.deliver_claim(&mut next, to, *attempt)?,
            Message::Answer(attempt, number) => {
                let decision = next.decisions.get(usize::from(*number))?.clone();
                let answer = KeyAnswer { request: self.claim(*attempt).request, decision };
                if next.attempts[*attempt] == AttemptPhase::Claiming {
                    next.attempts[*attempt] = match answer.decision {
                        KeyDecision::First => AttemptPhase::Granted,
                        KeyDecision::Known(_) | KeyDecision::Answer(_) => AttemptPhase::Ended,
                        KeyDecision::NotHolder(_) => AttemptPhase::Claiming,
                    };
                }
            }
            Message::Outcome(to, attempt, verdict) => {
                let verdict =
                    [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran][usize::from(*verdict)];
                let outcome = KeyOutcome { claim: self.claim(*attempt), verdict, answer: None };
                next.daemons.get_mut(to)?.outcome(state.wall, outcome);
            }
            Message::HandOver(from, to, number) => {
                let hand_over = next.hand_overs.get(*number)?.clone();
                if next.daemons.get_mut(to)?.hand_over_received(hand_over) {
                    next.network.insert(Message::Ack(to.clone(), from.clone()));
                }
            }
            Message::Ack(from, to) => next.daemons.get_mut(to)?.hand_over_acknowledged(from, 0),
        }
        Some(next)
    }

    /// Decides on a claim at a key holder and sends the answer. Returns `None` if that daemon no longer runs.
    fn deliver_claim(&self, next: &mut KeyState, to: &DaemonId, attempt: usize) -> Option<()> {
        let claim = self.claim(attempt);
        // The broken holder grants keys as if it were not handing over.
        let granting_holder = next.still_granting.get_mut(to);
        let decision = match granting_holder {
            Some(holder) => holder.claim(next.wall, &claim),
            None => next.daemons.get_mut(to)?.claim(next.wall, &claim),
        };
        let number = intern(&mut next.decisions, decision);
        next.network.insert(Message::Answer(attempt, number));
        Some(())
    }

    /// Returns the possible ends of a granted attempt.
    fn attempt_ends(&self, state: &KeyState, attempt: usize) -> Vec<(String, KeyState)> {
        let mut ends = Vec::new();
        for (verdict, ran, result) in [
            (Some(Verdict::NotRun), false, "does not run"),
            (Some(Verdict::Ran), true, "runs"),
            (Some(Verdict::MayHaveRun), true, "runs and its answer is lost"),
            (None, true, "runs and its entry daemon stops"),
        ] {
            let mut next = state.clone();
            next.attempts[attempt] = AttemptPhase::Ended;
            next.runs += u8::from(ran);
            let verdict = match verdict {
                Some(Verdict::MayHaveRun) if self.fault == KeyFault::LostAnswerReportedNotRun => {
                    Some(Verdict::NotRun)
                }
                verdict => verdict,
            };
            let Some(verdict) = verdict else {
                ends.push((format!("attempt {attempt} {result}"), next));
                continue;
            };
            for to in named_holders(state) {
                let mut reported = next.clone();
                let name =
                    format!("attempt {attempt} {result}, reported to {}/{}", to.vm, to.incarnation);
                reported.network.insert(Message::Outcome(to, attempt, verdict as u8));
                ends.push((name, reported));
            }
        }
        ends
    }

    /// Proposes a table on behalf of a daemon. It takes effect if the daemon's own table is the latest one.
    fn propose(
        &self,
        state: &KeyState,
        by: &DaemonId,
        table: KeyTable,
        reason: &str,
    ) -> Vec<(String, KeyState)> {
        let is_current = state
            .daemons
            .get(by)
            .is_some_and(|holder| holder.version() == state.tables.len() as u64);
        if !is_current || state.tables.len() > self.moves {
            return Vec::new();
        }
        // The daemon that proposed the table learns of it by reading it, as after a lost answer.
        let mut next = state.clone();
        next.tables.push(table);
        vec![(format!("{} moves the slot ({reason})", by.vm), next)]
    }

    /// Returns the steps that change the slot table or the daemons' copies of it.
    fn moves(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for (id, holder) in &state.daemons {
            steps.extend(self.table_proposals(state, id, holder));
            steps.extend(table_reads(state, id, holder));
            if self.hand_overs && holder.slots_held() > 0 {
                steps.push(self.hand_over(state, id, holder));
            }
        }
        steps
    }

    /// Returns the tables that a daemon proposes, after a holder's end and after a hand-over.
    fn table_proposals(
        &self,
        state: &KeyState,
        id: &DaemonId,
        holder: &KeyHolder,
    ) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        let mut unlisted = state.unlisted.clone();
        if self.fault == KeyFault::MoveByTimeOut {
            unlisted.extend(["a", "b"].map(str::to_string));
            unlisted.remove(&id.vm);
        }
        let running = state.daemons.keys();
        let usable: Vec<DaemonId> =
            running.filter(|daemon| !unlisted.contains(&daemon.vm)).cloned().collect();
        if let Some(mut table) = holder.reassign(&unlisted, &usable, state.wall) {
            if self.fault == KeyFault::HistoryClaimed {
                table.slots.iter_mut().for_each(|slot| slot.complete_since_ms = 0);
            }
            steps.extend(self.propose(state, id, table, "its holder has ended"));
        }
        if let Some(table) = holder.table_after_hand_over() {
            steps.extend(self.propose(state, id, table, "handed over"));
        }
        steps
    }

    /// Offers a holder's slot to all other daemons.
    fn hand_over(&self, state: &KeyState, id: &DaemonId, holder: &KeyHolder) -> (String, KeyState) {
        let others: Vec<DaemonId> =
            state.daemons.keys().filter(|daemon| *daemon != id).cloned().collect();
        let mut next = state.clone();
        if self.fault == KeyFault::GrantsDuringHandOver {
            next.still_granting.entry(id.clone()).or_insert_with(|| holder.clone());
        }
        let sends =
            next.daemons.get_mut(id).map(|holder| holder.hand_over(&others)).unwrap_or_default();
        for (to, hand_over) in sends {
            let number = next.hand_overs.iter().position(|known| *known == hand_over);
            let number = number.unwrap_or_else(|| {
                next.hand_overs.push(hand_over);
                next.hand_overs.len() - 1
            });
            next.network.insert(Message::HandOver(id.clone(), to, number));
        }
        (format!("{}/{} hands over", id.vm, id.incarnation), next)
    }

    /// Checks whether an attempt may begin: the second one after the first one, and a timed key after its creation.
    fn may_begin(&self, state: &KeyState, attempt: usize) -> bool {
        let is_next = attempt == 0 || state.attempts[0] != AttemptPhase::Idle;
        is_next && (!self.timed_key || state.wall == KEY_CREATION)
    }

    /// Returns the steps of VMs and the platform: a daemon stops or starts, a VM is no longer listed, time passes.
    fn platform_steps(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for id in state.daemons.keys().filter(|_| state.stopped < self.stops) {
            let mut next = state.clone();
            next.stopped += 1;
            next.daemons.remove(id);
            next.still_granting.remove(id);
            steps.push((format!("{}/{} stops", id.vm, id.incarnation), next));
        }
        for vm in ["a", "b"].map(str::to_string) {
            let running = state.daemons.keys().any(|id| id.vm == vm);
            if running || state.unlisted.contains(&vm) {
                continue;
            }
            let mut removed = state.clone();
            removed.unlisted.insert(vm.clone());
            steps.push((format!("the platform no longer lists {vm}"), removed));
            if state.started < 3 {
                let mut next = state.clone();
                next.started += 1;
                let id = DaemonId { vm: vm.clone(), incarnation: next.started };
                next.daemons.insert(id.clone(), new_holder(id));
                steps.push((format!("{vm} restarts"), next));
            }
        }
        if state.wall == START && self.timed_key {
            let mut next = state.clone();
            next.wall = KEY_CREATION;
            steps.push(("time passes".to_string(), next));
        }
        steps
    }
}

impl SpecModel for KeyModel {
    type State = KeyState;

    fn initial(&self) -> KeyState {
        let a = DaemonId { vm: "a".to_string(), incarnation: 1 };
        let b = DaemonId { vm: "b".to_string(), incarnation: 2 };
        let table = KeyTable::distribute(1, std::slice::from_ref(&a));
        let mut daemons = BTreeMap::new();
        for id in [a, b] {
            let mut holder = new_holder(id.clone());
            holder.apply_table(1, table.clone());
            daemons.insert(id, holder);
        }
        KeyState {
            wall: START,
            daemons,
            started: 2,
            stopped: 0,
            tables: vec![table],
            unlisted: BTreeSet::new(),
            network: BTreeSet::new(),
            hand_overs: Vec::new(),
            decisions: Vec::new(),
            repeats: 0,
            attempts: [AttemptPhase::Idle; 2],
            runs: 0,
            still_granting: BTreeMap::new(),
        }
    }

    fn successors(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for message in &state.network {
            let Some(mut once) = self.deliver(state, message) else { continue };
            let repeated = once.clone();
            once.network.remove(message);
            steps.push((format!("{message:?} arrives"), once));
            if state.repeats < self.repeats {
                let mut repeated = repeated;
                repeated.repeats += 1;
                steps.push((format!("{message:?} arrives and is repeated"), repeated));
            }
        }
        for attempt in 0..2 {
            match state.attempts[attempt] {
                // A timed key isn't used before its creation.
                AttemptPhase::Idle if self.may_begin(state, attempt) => {
                    for to in named_holders(state) {
                        let mut next = state.clone();
                        next.attempts[attempt] = AttemptPhase::Claiming;
                        next.network.insert(Message::Claim(to.clone(), attempt));
                        steps.push((
                            format!("attempt {attempt} claims at {}/{}", to.vm, to.incarnation),
                            next,
                        ));
                    }
                }
                AttemptPhase::Granted => steps.extend(self.attempt_ends(state, attempt)),
                _ => {}
            }
        }
        steps.extend(self.moves(state));
        steps.extend(self.platform_steps(state));
        for (_, next) in &mut steps {
            remove_undeliverable(next);
        }
        steps
    }

    fn violation(&self, state: &KeyState) -> Option<String> {
        (state.runs > 1).then(|| "one key ran twice".to_string())
    }
}

/// Returns the reads of each table that is newer than the daemon's own.
fn table_reads(state: &KeyState, id: &DaemonId, holder: &KeyHolder) -> Vec<(String, KeyState)> {
    let mut steps = Vec::new();
    for (index, table) in state.tables.iter().enumerate() {
        let version = index as u64 + 1;
        if version <= holder.version() {
            continue;
        }
        let mut next = state.clone();
        if let Some(holder) = next.daemons.get_mut(id) {
            holder.apply_table(version, table.clone());
        }
        steps.push((format!("{}/{} reads table {version}", id.vm, id.incarnation), next));
    }
    steps
}

/// Returns every daemon that any table, old or new, names as the holder.
fn named_holders(state: &KeyState) -> Vec<DaemonId> {
    let named: BTreeSet<DaemonId> = state
        .tables
        .iter()
        .filter_map(|table| table.holder(0))
        .map(|slot| slot.holder.clone())
        .collect();
    named.into_iter().collect()
}

/// Removes messages that can no longer have an effect.
fn remove_undeliverable(state: &mut KeyState) {
    let attempts = state.attempts;
    let daemons = &state.daemons;
    state.network.retain(|message| match message {
        Message::Answer(attempt, _) => attempts[*attempt] == AttemptPhase::Claiming,
        Message::Claim(to, _) | Message::Outcome(to, ..) => daemons.contains_key(to),
        Message::HandOver(_, to, _) | Message::Ack(_, to) => daemons.contains_key(to),
    });
}

/// Returns the number of a decision in the list, and appends it if it is new.
fn intern(known: &mut Vec<KeyDecision>, decision: KeyDecision) -> u8 {
    let index = known.iter().position(|other| *other == decision).unwrap_or_else(|| {
        known.push(decision);
        known.len() - 1
    });
    index as u8
}

fn new_holder(id: DaemonId) -> KeyHolder {
    KeyHolder::new(id, KeyHolderOptions::default())
}

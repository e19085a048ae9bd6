//! Key home and its moves: two VMs, two attempts of one key, a table that moves by hand-over or
//! after an end, stale views, lost answers, messages that come late.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, KeyAnswer, KeyClaim, KeyDecision, KeyHandOver, KeyOutcome, RequestId, Verdict, VmId,
    WallTime,
};
use curlewcleat_keys::{KeyHolder, KeyHolderOptions, KeyTable};

use crate::explore::SpecModel;

/// When the system starts, and when the key is minted.
const START: WallTime = Duration::from_secs(1_000);
/// A later time, within the callers' retry window.
const LATER: WallTime = Duration::from_secs(1_100);

/// A fault put into the protocol, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// The protocol as it is.
    None,
    /// A slot moves by a time-out, while its holder may only be paused.
    MoveByTimeOut,
    /// A new holder claims to know the whole history.
    HistoryClaimed,
    /// A holder goes on letting keys run while it hands its slot over.
    GrantsWhilePassing,
    /// A caller's clock is farther ahead than is allowed for.
    ClockBeyondSkew,
    /// A request whose attempt is lost is reported as not run.
    LostToldNotRun,
}

/// The specification with its bounds.
#[derive(Clone, Debug)]
pub struct KeyModel {
    /// Fault put in.
    pub fault: KeyFault,
    /// Whether the key tells when it was minted (UUIDv7, minted at the later time), or is opaque.
    pub minted_later: bool,
    /// Changes of the table.
    pub moves: usize,
    /// Whether holders hand their slots over.
    pub hand_overs: bool,
    /// Daemons that stop.
    pub stops: u8,
    /// Messages that may be delivered twice.
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

/// A state: processes, table, messages, attempts, runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyState {
    wall: WallTime,
    homes: BTreeMap<DaemonId, KeyHolder>,
    started: u64,
    stopped: u8,
    tables: Vec<KeyTable>,
    gone: BTreeSet<VmId>,
    network: BTreeSet<Message>,
    hand_overs: Vec<KeyHandOver>,
    decisions: Vec<KeyDecision>,
    repeats: u8,
    attempts: [AttemptPhase; 2],
    runs: u8,
    /// What holders were before they began to hand over, in the variant that goes on with it.
    careless: BTreeMap<DaemonId, KeyHolder>,
}

impl KeyModel {
    /// Seconds by which the caller's clock is ahead of the VMs'.
    fn ahead(&self) -> u64 {
        let skew = KeyHolderOptions::default().clock_skew.as_secs();
        if self.fault == KeyFault::ClockBeyondSkew {
            skew + 1
        } else {
            skew - 1
        }
    }

    fn claim(&self, attempt: usize) -> KeyClaim {
        let minted = uuid::Timestamp::from_unix(uuid::NoContext, LATER.as_secs() + self.ahead(), 0);
        let key = if self.minted_later {
            uuid::Uuid::new_v7(minted).to_string()
        } else {
            "opaque".to_string()
        };
        // The random part of the key must be the same in every state.
        let key = key.get(..15).map_or(key.clone(), |time| {
            if self.minted_later {
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
                next.homes.get_mut(to)?.outcome(state.wall, outcome);
            }
            Message::HandOver(from, to, number) => {
                let hand_over = next.hand_overs.get(*number)?.clone();
                if next.homes.get_mut(to)?.hand_over_received(hand_over) {
                    next.network.insert(Message::Ack(to.clone(), from.clone()));
                }
            }
            Message::Ack(from, to) => next.homes.get_mut(to)?.hand_over_acknowledged(from, 0),
        }
        Some(next)
    }

    /// A home decides on a claim and answers it; `None` where the home no longer runs.
    fn deliver_claim(&self, next: &mut KeyState, to: &DaemonId, attempt: usize) -> Option<()> {
        let claim = self.claim(attempt);
        // The careless holder lets keys run as if it were not handing over.
        let careless = next.careless.get_mut(to);
        let decision = match careless {
            Some(home) => home.claim(next.wall, &claim),
            None => next.homes.get_mut(to)?.claim(next.wall, &claim),
        };
        let number = intern(&mut next.decisions, decision);
        next.network.insert(Message::Answer(attempt, number));
        Some(())
    }

    /// The attempt ends in each possible way.
    fn ends(&self, state: &KeyState, attempt: usize) -> Vec<(String, KeyState)> {
        let mut ends = Vec::new();
        for (verdict, ran, what) in [
            (Some(Verdict::NotRun), false, "does not run"),
            (Some(Verdict::Ran), true, "runs"),
            (Some(Verdict::MayHaveRun), true, "runs and its answer is lost"),
            (None, true, "runs and its entry stops"),
        ] {
            let mut next = state.clone();
            next.attempts[attempt] = AttemptPhase::Ended;
            next.runs += u8::from(ran);
            let verdict = match verdict {
                Some(Verdict::MayHaveRun) if self.fault == KeyFault::LostToldNotRun => {
                    Some(Verdict::NotRun)
                }
                verdict => verdict,
            };
            let Some(verdict) = verdict else {
                ends.push((format!("attempt {attempt} {what}"), next));
                continue;
            };
            for to in holders(state) {
                let mut told = next.clone();
                let name =
                    format!("attempt {attempt} {what}, told to {}/{}", to.vm, to.incarnation);
                told.network.insert(Message::Outcome(to, attempt, verdict as u8));
                ends.push((name, told));
            }
        }
        ends
    }

    /// A daemon proposes a table; it takes effect if the daemon's table is the latest one.
    fn propose(
        &self,
        state: &KeyState,
        by: &DaemonId,
        table: KeyTable,
        why: &str,
    ) -> Vec<(String, KeyState)> {
        let fits =
            state.homes.get(by).is_some_and(|home| home.version() == state.tables.len() as u64);
        if !fits || state.tables.len() > self.moves {
            return Vec::new();
        }
        // Whoever proposed it learns of it by reading, as after a lost answer.
        let mut next = state.clone();
        next.tables.push(table);
        vec![(format!("{} moves the slot ({why})", by.vm), next)]
    }

    fn moves(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for (id, home) in &state.homes {
            steps.extend(self.table_proposals(state, id, home));
            steps.extend(table_reads(state, id, home));
            if self.hand_overs && home.slots_held() > 0 {
                steps.push(self.hand_over(state, id, home));
            }
        }
        steps
    }

    /// Tables that a daemon proposes: after a holder's end, and after a hand-over.
    fn table_proposals(
        &self,
        state: &KeyState,
        id: &DaemonId,
        home: &KeyHolder,
    ) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        let mut gone = state.gone.clone();
        if self.fault == KeyFault::MoveByTimeOut {
            gone.extend(["a", "b"].map(str::to_string));
            gone.remove(&id.vm);
        }
        let running = state.homes.keys();
        let usable: Vec<DaemonId> =
            running.filter(|daemon| !gone.contains(&daemon.vm)).cloned().collect();
        if let Some(mut table) = home.reassign(&gone, &usable, state.wall) {
            if self.fault == KeyFault::HistoryClaimed {
                table.slots.iter_mut().for_each(|slot| slot.complete_since_ms = 0);
            }
            steps.extend(self.propose(state, id, table, "its holder has ended"));
        }
        if let Some(table) = home.table_after_hand_over() {
            steps.extend(self.propose(state, id, table, "handed over"));
        }
        steps
    }

    /// A holder hands its slot over to the other daemons.
    fn hand_over(&self, state: &KeyState, id: &DaemonId, home: &KeyHolder) -> (String, KeyState) {
        let others: Vec<DaemonId> =
            state.homes.keys().filter(|daemon| *daemon != id).cloned().collect();
        let mut next = state.clone();
        if self.fault == KeyFault::GrantsWhilePassing {
            next.careless.entry(id.clone()).or_insert_with(|| home.clone());
        }
        let sends = next.homes.get_mut(id).map(|home| home.hand_over(&others)).unwrap_or_default();
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

    /// The second attempt comes after the first; a key that tells its time is not used before it.
    fn may_begin(&self, state: &KeyState, attempt: usize) -> bool {
        let in_turn = attempt == 0 || state.attempts[0] != AttemptPhase::Idle;
        in_turn && (!self.minted_later || state.wall == LATER)
    }

    fn platform(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for id in state.homes.keys().filter(|_| state.stopped < self.stops) {
            let mut next = state.clone();
            next.stopped += 1;
            next.homes.remove(id);
            next.careless.remove(id);
            steps.push((format!("{}/{} stops", id.vm, id.incarnation), next));
        }
        for vm in ["a", "b"].map(str::to_string) {
            let running = state.homes.keys().any(|id| id.vm == vm);
            if running || state.gone.contains(&vm) {
                continue;
            }
            let mut gone = state.clone();
            gone.gone.insert(vm.clone());
            steps.push((format!("the platform no longer lists {vm}"), gone));
            if state.started < 3 {
                let mut next = state.clone();
                next.started += 1;
                let id = DaemonId { vm: vm.clone(), incarnation: next.started };
                next.homes.insert(id.clone(), home(id));
                steps.push((format!("{vm} starts again"), next));
            }
        }
        if state.wall == START && self.minted_later {
            let mut next = state.clone();
            next.wall = LATER;
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
        let mut homes = BTreeMap::new();
        for id in [a, b] {
            let mut home = home(id.clone());
            home.apply_table(1, table.clone());
            homes.insert(id, home);
        }
        KeyState {
            wall: START,
            homes,
            started: 2,
            stopped: 0,
            tables: vec![table],
            gone: BTreeSet::new(),
            network: BTreeSet::new(),
            hand_overs: Vec::new(),
            decisions: Vec::new(),
            repeats: 0,
            attempts: [AttemptPhase::Idle; 2],
            runs: 0,
            careless: BTreeMap::new(),
        }
    }

    fn successors(&self, state: &KeyState) -> Vec<(String, KeyState)> {
        let mut steps = Vec::new();
        for message in &state.network {
            let Some(mut once) = self.deliver(state, message) else { continue };
            let twice = once.clone();
            once.network.remove(message);
            steps.push((format!("{message:?} arrives"), once));
            if state.repeats < self.repeats {
                let mut twice = twice;
                twice.repeats += 1;
                steps.push((format!("{message:?} arrives and is repeated"), twice));
            }
        }
        for attempt in 0..2 {
            match state.attempts[attempt] {
                // A key that tells its time is not used before that time.
                AttemptPhase::Idle if self.may_begin(state, attempt) => {
                    for to in holders(state) {
                        let mut next = state.clone();
                        next.attempts[attempt] = AttemptPhase::Claiming;
                        next.network.insert(Message::Claim(to.clone(), attempt));
                        steps.push((
                            format!("attempt {attempt} claims at {}/{}", to.vm, to.incarnation),
                            next,
                        ));
                    }
                }
                AttemptPhase::Granted => steps.extend(self.ends(state, attempt)),
                _ => {}
            }
        }
        steps.extend(self.moves(state));
        steps.extend(self.platform(state));
        for (_, next) in &mut steps {
            forget_undeliverable(next);
        }
        steps
    }

    fn violation(&self, state: &KeyState) -> Option<String> {
        (state.runs > 1).then(|| "one key ran twice".to_string())
    }
}

/// A daemon reads a table that is newer than its own.
fn table_reads(state: &KeyState, id: &DaemonId, home: &KeyHolder) -> Vec<(String, KeyState)> {
    let mut steps = Vec::new();
    for (place, table) in state.tables.iter().enumerate() {
        let version = place as u64 + 1;
        if version <= home.version() {
            continue;
        }
        let mut next = state.clone();
        if let Some(home) = next.homes.get_mut(id) {
            home.apply_table(version, table.clone());
        }
        steps.push((format!("{}/{} reads table {version}", id.vm, id.incarnation), next));
    }
    steps
}

/// Every daemon that some table, old or new, names as the holder.
fn holders(state: &KeyState) -> Vec<DaemonId> {
    let named: BTreeSet<DaemonId> = state
        .tables
        .iter()
        .filter_map(|table| table.holder(0))
        .map(|slot| slot.holder.clone())
        .collect();
    named.into_iter().collect()
}

/// Takes messages away that can have no effect any more.
fn forget_undeliverable(state: &mut KeyState) {
    let attempts = state.attempts;
    let homes = &state.homes;
    state.network.retain(|message| match message {
        Message::Answer(attempt, _) => attempts[*attempt] == AttemptPhase::Claiming,
        Message::Claim(to, _) | Message::Outcome(to, ..) => homes.contains_key(to),
        Message::HandOver(_, to, _) | Message::Ack(_, to) => homes.contains_key(to),
    });
}

fn intern(known: &mut Vec<KeyDecision>, decision: KeyDecision) -> u8 {
    let place = known.iter().position(|other| *other == decision).unwrap_or_else(|| {
        known.push(decision);
        known.len() - 1
    });
    place as u8
}

fn home(id: DaemonId) -> KeyHolder {
    KeyHolder::new(id, KeyHolderOptions::default())
}

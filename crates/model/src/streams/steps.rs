//! The steps of the fleet, of the store and of the stream.

use std::sync::Arc;

use curlewcleat_core::StreamId;

use super::state::{self, DaemonCut, StoredHistory, StreamDaemon, StreamState, START};
use super::{StreamModel, StreamStage, TakeUp, DAEMONS};

/// Seconds by which the answer to a read may be late.
const LATEST_ANSWER: u8 = 1;

type Steps = Vec<(String, StreamState)>;

/// Returns a step that changes a state.
fn step(
    state: &StreamState,
    name: impl Into<String>,
    change: impl FnOnce(&mut StreamState),
) -> (String, StreamState) {
    let mut after = state.clone();
    change(&mut after);
    (name.into(), after)
}

impl StreamState {
    fn is_cut_off(&self, index: usize) -> bool {
        let alone = [DaemonCut::FirstAlone, DaemonCut::SecondAlone];
        self.cut == DaemonCut::Halves || Some(&self.cut) == alone.get(index)
    }

    /// Advances the clock by a second, in which daemons hear each other.
    fn pass_second(&mut self, counts_old_frames: bool) {
        self.now += 1;
        let now = self.now;
        let all_run = self.daemons.iter().all(|daemon| daemon.stalled.is_none());
        for index in 0..DAEMONS {
            let runs = self.daemons[index].stalled.is_none();
            let hears_fleet = runs && !self.is_cut_off(index);
            let hears_half = hears_fleet || (runs && self.cut == DaemonCut::Halves);
            let daemon = &mut self.daemons[index];
            if hears_fleet {
                daemon.fleet_heard = Some(now);
            }
            if hears_half {
                daemon.half_heard = Some(now);
            }
            if index == 1 && all_run && self.cut == DaemonCut::None {
                daemon.other_heard = Some(now);
            }
            daemon.forget_expired(now);
            if runs {
                self.update_lead(index);
                self.update_reach(index, counts_old_frames);
            }
        }
        // What was taken up and has not been answered is refused.
        if let StreamStage::Waiting { at, version, daemon, .. } = self.stream {
            if self.daemons[daemon].stalled.is_none() {
                self.stream = StreamStage::Begun { at, version };
            }
        }
    }

    fn update_lead(&mut self, index: usize) {
        let (now, leads) = (self.now, self.leads(index));
        let since = &mut self.daemons[index].leading_since;
        match leads {
            true => drop(since.get_or_insert(now)),
            false => *since = None,
        }
    }

    /// Ends a standstill. Frames from before it count as if they had just arrived once they are handled.
    fn resume(&mut self, index: usize, handles_frames: bool, counts_old_frames: bool) {
        let now = self.now;
        let daemon = &mut self.daemons[index];
        let Some(since) = daemon.stalled.take() else { return };
        daemon.standstill = Some((now, now - since));
        if handles_frames {
            daemon.fleet_heard = Some(now);
            daemon.half_heard = Some(now);
            daemon.other_heard = (index == 1).then_some(now);
        }
        self.update_lead(index);
        self.update_reach(index, counts_old_frames);
    }

    /// Ends all daemons, which start anew.
    fn kill_all(&mut self) {
        let (now, history) = (self.now, self.head());
        for daemon in &mut self.daemons {
            let (write, seen) = (daemon.write.take(), daemon.targets_seen);
            let started = StreamDaemon::started(now, seen);
            // Whatever it reads from now on, it does not show earlier splits.
            *daemon = StreamDaemon { write, history, ..started };
        }
        self.is_remembered = false;
        if let StreamStage::Waiting { at, version, .. } = self.stream {
            self.stream = StreamStage::Begun { at, version };
        }
    }
}

impl StreamModel {
    pub(super) fn stream(&self) -> StreamId {
        thread_local!(static STREAM: StreamId = state::stream());
        STREAM.with(|stream| *stream)
    }

    /// Steps of the clock, the targets and the cuts, and the end of all daemons.
    pub(super) fn fleet_steps(&self, state: &StreamState) -> Steps {
        let mut next = Vec::new();
        if state.now < START + self.seconds {
            next.push(step(state, "a second passes", |after| {
                after.pass_second(self.counts_old_frames());
            }));
        }
        if state.kills < self.kills {
            next.push(step(state, "all daemons are killed", |after| {
                after.kills += 1;
                after.kill_all();
            }));
        }
        match state.cut {
            DaemonCut::None if state.cuts < self.cuts => {
                for cut in [DaemonCut::FirstAlone, DaemonCut::SecondAlone, DaemonCut::Halves] {
                    next.push(step(state, format!("a cut begins: {cut:?}"), |after| {
                        after.cuts += 1;
                        after.cut = cut;
                    }));
                }
            }
            DaemonCut::None => {}
            _ => next.push(step(state, "the cut ends", |after| after.cut = DaemonCut::None)),
        }
        next
    }

    /// Steps that begin and end a daemon's standstill.
    pub(super) fn standstill_steps(&self, state: &StreamState, index: usize) -> Steps {
        let mut next = Vec::new();
        let daemon = &state.daemons[index];
        match daemon.stalled {
            None if state.standstills < self.standstills => {
                next.push(step(state, format!("daemon {index} stands still"), |after| {
                    after.standstills += 1;
                    after.daemons[index].stalled = Some(after.now);
                }));
            }
            Some(since) if since < state.now => {
                for handles_frames in [false, true] {
                    let name =
                        format!("daemon {index} runs again, handles frames: {handles_frames}");
                    next.push(step(state, name, |after| {
                        after.resume(index, handles_frames, self.counts_old_frames());
                    }));
                }
            }
            _ => {}
        }
        next
    }

    /// Steps by which a daemon learns of targets and reads and writes the splits.
    pub(super) fn split_steps(&self, state: &StreamState, index: usize) -> Steps {
        let mut next = Vec::new();
        let daemon = &state.daemons[index];
        if daemon.targets_seen < state.releases {
            next.push(step(state, format!("daemon {index} learns of the targets"), |after| {
                after.daemons[index].targets_seen += 1;
                after.daemons[index].targets_changed = after.now;
            }));
        }
        next.extend(self.read_steps(state, index));
        let may_write = daemon.write.is_none() && state.head() < usize::from(self.writes);
        if let Some(revised) = self.revised(state, index).filter(|_| may_write) {
            let write = (StoredHistory(Arc::new(revised)), state.now, daemon.history);
            next.push(step(state, format!("daemon {index} writes"), |after| {
                let daemon = &mut after.daemons[index];
                daemon.is_write_out_of_step |= daemon.half_since.is_none();
                daemon.replaced = Some(write.2);
                after.daemons[index].write = Some(write);
                if !self.late_writes {
                    after.apply_write(index);
                }
            }));
        }
        next
    }

    /// Steps in which the answer to a read arrives, which may have been sent earlier.
    fn read_steps(&self, state: &StreamState, index: usize) -> Steps {
        let mut next = Vec::new();
        let daemon = &state.daemons[index];
        let earliest = daemon.started.max(daemon.last_read.unwrap_or_default());
        for sent in earliest.max(state.now.saturating_sub(LATEST_ANSWER))..=state.now {
            for history in state.shown_at(sent) {
                // Later reads show later splits.
                let is_new = daemon.last_read != Some(sent) || daemon.history < history;
                if !is_new || history < daemon.history {
                    continue;
                }
                let name = format!("daemon {index} gets the answer to a read of second {sent}");
                next.push(step(state, name, |after| {
                    after.daemons[index].splits_read(history, sent);
                }));
            }
        }
        next
    }

    /// Steps in which a write reaches the store, or is lost.
    pub(super) fn write_steps(&self, state: &StreamState, index: usize) -> Steps {
        if state.daemons[index].write.is_none() {
            return Vec::new();
        }
        let lost = step(state, format!("the write of daemon {index} is lost"), |after| {
            after.daemons[index].write = None;
        });
        let mut next = vec![lost];
        if state.head() < usize::from(self.writes) {
            let name = format!("the write of daemon {index} reaches the store");
            next.push(step(state, name, |after| after.apply_write(index)));
        }
        next
    }

    /// Steps by which the stream begins, or is taken up, at a daemon.
    pub(super) fn stream_steps(&self, state: &StreamState, index: usize) -> Steps {
        match state.stream {
            StreamStage::NotBegun => {
                let begin = |version| {
                    step(state, format!("the stream begins at daemon {index}"), |after| {
                        after.stream = StreamStage::Begun { at: after.now, version };
                        after.is_remembered = true;
                    })
                };
                self.begin_versions(state, index).into_iter().map(begin).collect()
            }
            StreamStage::Begun { .. } => self.take_up_steps(state, index, state.now),
            StreamStage::Waiting { daemon, taken_up, .. } if daemon == index => {
                self.take_up_steps(state, index, taken_up)
            }
            _ => Vec::new(),
        }
    }

    /// Steps in which the version of the stream is found, or its take-up waits for a daemon that stands still.
    fn take_up_steps(&self, state: &StreamState, index: usize, taken_up: u8) -> Steps {
        let (StreamStage::Begun { at, version } | StreamStage::Waiting { at, version, .. }) =
            state.stream
        else {
            return Vec::new();
        };
        let go_on = |by: TakeUp, found| {
            let name = format!("the stream is taken up at daemon {index}: {by:?}");
            step(state, name, |after| {
                after.stream = StreamStage::WentOn { by, is_same: found == version };
            })
        };
        let mut found = Vec::new();
        if state.is_remembered {
            found.push((TakeUp::Remembered, Some(version)));
        }
        let mut read = state.clone();
        read.daemons[index].history = read.head();
        found.push((TakeUp::ProvedByRead, self.proved(&read, index, at, taken_up)));
        if self.may_prove_unread(state, index, at) {
            found.push((TakeUp::ProvedUnread, self.proved(state, index, at, taken_up)));
        }
        let found = found.into_iter();
        found.filter_map(|(by, version)| version.map(|version| go_on(by, version))).collect()
    }

    /// Step by which the stream is taken up at a daemon that stands still.
    pub(super) fn waiting_steps(&self, state: &StreamState, index: usize) -> Steps {
        let StreamStage::Begun { at, version } = state.stream else { return Vec::new() };
        let name = format!("the stream is taken up at daemon {index}, which stands still");
        let taken_up = state.now;
        vec![step(state, name, |after| {
            after.stream = StreamStage::Waiting { at, version, daemon: index, taken_up };
        })]
    }
}

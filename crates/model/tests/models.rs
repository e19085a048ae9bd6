//! Every promise over every reachable state within the bounds, and the broken variants that the
//! search must catch. Run with `--nocapture` to see the counts and the traces.

#[path = "models/rollouts.rs"]
mod rollouts;

use curlewcleat_model::{
    explore, ConfigFault, ConfigModel, DrainFault, DrainModel, KeyFault, KeyModel, LethalFault,
    LethalModel, LevelFault, LevelModel, LimitFault, LimitModel, RateFault, RateModel,
    RequestFault, RequestModel, SpecModel,
};
use rstest::rstest;

fn holds<M: SpecModel>(name: &str, model: &M) {
    let exploration = explore(model);
    println!("{name}: {exploration}");
    assert!(exploration.broken.is_none(), "{name}: {exploration}");
    // A search that sees next to nothing proves nothing.
    assert!(exploration.states > 100, "{name}: {exploration}");
}

fn caught<M: SpecModel>(name: &str, model: &M, promise: &str, steps: usize) {
    let exploration = explore(model);
    println!("{name}: {exploration}");
    let (broken, trace) = exploration.broken.expect("the broken variant is caught");
    assert_eq!(broken, promise, "{name}");
    assert_eq!(trace.len(), steps, "{name}: {trace:#?}");
}

fn request(fault: RequestFault, key: Option<Option<u32>>) -> RequestModel {
    RequestModel { fault, attempts: 3, steps: 5, key, silences: 0 }
}

/// A request that may run more than once; three targets at most.
fn silent_request(fault: RequestFault) -> RequestModel {
    RequestModel { fault, attempts: 3, steps: 2, key: None, silences: 2 }
}

#[test]
fn silent_target_is_left_for_another_one_and_no_permit_leaks() {
    holds("request, silent", &silent_request(RequestFault::None));
}

#[rstest]
#[case::left_before_another_is_granted(
    RequestFault::SilentTargetLeft,
    "it was given up though its target was at work",
    3
)]
#[case::refusal_ends_it(
    RequestFault::RefusalEndsRequest,
    "it was refused while a target had it",
    3
)]
#[case::kept_permit_lost(RequestFault::KeptPermitLost, "a permit was not given back", 5)]
fn broken_replacement_is_caught(
    #[case] fault: RequestFault,
    #[case] promise: &str,
    #[case] steps: usize,
) {
    caught(&format!("request, {fault:?}"), &silent_request(fault), promise, steps);
}

#[rstest]
#[case::without_key(None)]
#[case::with_key(Some(None))]
#[case::with_first_attempt(Some(Some(1)))]
fn request_is_dispatched_at_most_once_and_verdicts_are_true(#[case] key: Option<Option<u32>>) {
    holds("request", &request(RequestFault::None, key));
}

#[rstest]
#[case::cut_taken_for_not_run(
    RequestFault::CutTakenForNotRun,
    "the caller was told \"not run\" and it ran",
    3
)]
#[case::later_life_taken_for_proof(
    RequestFault::LaterLifeTakenForProof,
    "the caller was told \"not run\" and it ran",
    3
)]
#[case::every_grant_dispatches(RequestFault::EveryGrantDispatches, "one permit was used twice", 2)]
#[case::unanswered_told_not_run(
    RequestFault::UnansweredToldNotRun,
    "the caller was told \"not run\" and it ran",
    2
)]
fn broken_request_is_caught(
    #[case] fault: RequestFault,
    #[case] promise: &str,
    #[case] steps: usize,
) {
    caught(&format!("request, {fault:?}"), &request(fault, None), promise, steps);
}

fn keys(fault: KeyFault, minted_later: bool) -> KeyModel {
    KeyModel { fault, minted_later, moves: 1, hand_overs: false, stops: 1, repeats: 0 }
}

#[rstest]
#[case::opaque_over_ends(KeyModel { moves: 4, stops: 3, repeats: 1, ..keys(KeyFault::None, false) })]
#[case::timed_over_ends(KeyModel { moves: 4, stops: 3, repeats: 1, ..keys(KeyFault::None, true) })]
#[case::opaque_over_hand_over(KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::None, false) })]
#[case::timed_over_hand_over(KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::None, true) })]
#[case::opaque_over_two_hand_overs(KeyModel { moves: 2, stops: 0, hand_overs: true, ..keys(KeyFault::None, false) })]
#[case::opaque_over_hand_over_and_end(KeyModel { hand_overs: true, ..keys(KeyFault::None, false) })]
fn key_runs_at_most_once(#[case] model: KeyModel) {
    holds("keys", &model);
}

#[rstest]
#[case::moved_by_time_out(KeyModel { stops: 0, ..keys(KeyFault::MoveByTimeOut, true) }, 11)]
#[case::history_claimed(keys(KeyFault::HistoryClaimed, false), 12)]
#[case::grants_while_passing(
    KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::GrantsWhilePassing, false) },
    13
)]
#[case::lost_told_not_run(KeyModel { stops: 0, ..keys(KeyFault::LostToldNotRun, false) }, 9)]
#[case::clock_beyond_skew(keys(KeyFault::ClockBeyondSkew, true), 13)]
fn broken_key_home_is_caught(#[case] model: KeyModel, #[case] steps: usize) {
    caught(&format!("keys, {:?}", model.fault), &model, "one key ran twice", steps);
}

fn config(fault: ConfigFault, same_file: bool) -> ConfigModel {
    ConfigModel { fault, same_file, losses: 2, old_reads: 2 }
}

#[rstest]
#[case::two_files(false)]
#[case::same_file(true)]
fn configuration_never_reverts_and_applies_once(#[case] same_file: bool) {
    holds("config", &config(ConfigFault::None, same_file));
}

#[rstest]
#[case::unconditional_write(ConfigFault::UnconditionalWrite, "two applies in one place", 6)]
#[case::takes_old_versions(ConfigFault::TakesOldVersions, "daemon 0 went back", 9)]
#[case::retries_blindly(ConfigFault::RetriesBlindly, "operator 0 was told the wrong end", 4)]
fn broken_configuration_is_caught(
    #[case] fault: ConfigFault,
    #[case] promise: &str,
    #[case] steps: usize,
) {
    caught(&format!("config, {fault:?}"), &config(fault, false), promise, steps);
}

fn levels(fault: LevelFault) -> LevelModel {
    LevelModel { fault, asks: vec![2, 2, 1, 1, 0], losses: 1, steps: 4 }
}

#[test]
fn higher_tier_is_never_shed_before_a_lower_one() {
    holds("levels", &levels(LevelFault::None));
}

#[rstest]
#[case::unguarded(LevelFault::Unguarded, 5)]
#[case::confirmed_by_time_out(LevelFault::ConfirmedByTimeOut, 6)]
fn broken_shedding_is_caught(#[case] fault: LevelFault, #[case] steps: usize) {
    let model = LevelModel { asks: vec![2, 2, 1, 1, 1], ..levels(fault) };
    let promise = "tier 1 was refused for want of capacity while a lower one waited";
    caught(&format!("levels, {fault:?}"), &model, promise, steps);
}

fn drain(fault: DrainFault) -> DrainModel {
    DrainModel { fault, requests: 4, steps: 4 }
}

#[test]
fn planned_stop_cuts_nothing_off_and_leaving_targets_get_nothing() {
    holds("drain", &drain(DrainFault::None));
}

#[rstest]
#[case::ends_by_time_out(DrainFault::EndsByTimeOut, "the stop cut a request off", 4)]
#[case::leaving_ignored(DrainFault::LeavingIgnored, "a leaving target got new work", 2)]
#[case::start_ignored(
    DrainFault::StartIgnored,
    "the places in use are not those of the target's present life",
    2
)]
#[case::late_entry_taken(
    DrainFault::LateEntryTaken,
    "the places in use are not those of the target's present life",
    3
)]
fn broken_drain_is_caught(#[case] fault: DrainFault, #[case] promise: &str, #[case] steps: usize) {
    caught(&format!("drain, {fault:?}"), &drain(fault), promise, steps);
}

fn rates(fault: RateFault) -> RateModel {
    RateModel { fault, cuts: 2, deaths: 1, steps: 7, margin: 0 }
}

#[test]
fn daemons_give_out_no_more_than_the_rate_however_they_are_cut() {
    holds("rates", &rates(RateFault::None));
}

/// Long enough for the burst of a daemon that took over to come back twice.
#[test]
fn burst_that_comes_back_keeps_the_rate_over_several_windows() {
    let model = RateModel { cuts: 1, deaths: 1, steps: 14, ..rates(RateFault::None) };
    holds("rates over several windows", &model);
}

fn reserves(fault: RateFault) -> RateModel {
    RateModel { fault, cuts: 2, deaths: 0, steps: 5, margin: 300 }
}

#[test]
fn deputies_together_spend_no_more_than_one_reserve() {
    holds("reserves", &reserves(RateFault::None));
}

#[test]
fn reserve_that_is_there_at_once_is_caught() {
    let promise = "more was given out in a window than rate and burst";
    caught("reserves, ReserveAtOnce", &reserves(RateFault::ReserveAtOnce), promise, 4);
}

#[rstest]
#[case::saved_burst(RateFault::SavedBurst, 6)]
#[case::whole_rate_alone(RateFault::WholeRateAlone, 5)]
#[case::burst_out_of_turn(RateFault::BurstOutOfTurn, 6)]
fn broken_rates_are_caught(#[case] fault: RateFault, #[case] steps: usize) {
    let promise = "more was given out in a window than rate and burst";
    caught(&format!("rates, {fault:?}"), &rates(fault), promise, steps);
}

/// The request alone, one copy at a time.
const LETHAL: LethalModel = LethalModel {
    fault: LethalFault::None,
    sends: 4,
    copies: 1,
    entries: 3,
    loses_news: true,
    cuts: 0,
    deaths: 0,
    bystander_breaks: 0,
    bystander_visits: 0,
};
const CUT: LethalModel = LethalModel { cuts: 1, entries: 2, ..LETHAL };
const DEATH: LethalModel = LethalModel { deaths: 1, ..LETHAL };
const COPIES: LethalModel = LethalModel { copies: 2, entries: 2, ..LETHAL };
const BYSTANDER: LethalModel = LethalModel {
    bystander_breaks: 3,
    bystander_visits: 2,
    sends: 3,
    entries: 1,
    loses_news: false,
    ..LETHAL
};

#[rstest]
#[case::with_a_cut(CUT)]
#[case::with_a_death(DEATH)]
#[case::with_copies(COPIES)]
#[case::beside_another(BYSTANDER)]
fn lethal_request_is_not_sent_on_and_others_are_served(#[case] model: LethalModel) {
    holds("lethal", &model);
}

#[rstest]
#[case::nothing_asked(LethalFault::NothingAsked, LETHAL, SENT_ON, 8)]
#[case::serves_unknowing(LethalFault::ServesUnknowing, DEATH, SENT_ON, 9)]
#[case::stored_forgotten(LethalFault::StoredForgotten, DEATH, SENT_ON, 9)]
#[case::break_taken_for_end(LethalFault::BreakTakenForEnd, BYSTANDER, REFUSED, 5)]
#[case::served_stays_suspect(LethalFault::ServedStaysSuspect, BYSTANDER, REFUSED, 9)]
fn broken_lethal_is_caught(
    #[case] fault: LethalFault,
    #[case] model: LethalModel,
    #[case] promise: &str,
    #[case] steps: usize,
) {
    caught(&format!("lethal, {fault:?}"), &LethalModel { fault, ..model }, promise, steps);
}

const SENT_ON: &str = "it was sent on after everyone had time to know";
const REFUSED: &str = "a request that ended nothing was refused";

fn limits(fault: LimitFault) -> LimitModel {
    LimitModel { fault, cuts: 1, deaths: 1, steps: 4, lates: 0 }
}

#[rstest]
#[case::cut_and_death(limits(LimitFault::None))]
#[case::cut_that_heals(LimitModel { cuts: 2, deaths: 0, lates: 1, ..limits(LimitFault::None) })]
#[case::deaths(LimitModel { cuts: 0, deaths: 2, lates: 1, ..limits(LimitFault::None) })]
fn daemons_together_send_no_more_than_a_limited_target_takes(#[case] model: LimitModel) {
    holds("limits", &model);
}

#[rstest]
#[case::whole_limit_each(LimitFault::WholeLimitEach, 5)]
#[case::out_of_turn(LimitFault::OutOfTurnGrants, 5)]
#[case::heard_and_kept(LimitFault::HeardAndKept, 6)]
fn broken_limit_is_caught(#[case] fault: LimitFault, #[case] steps: usize) {
    let promise = "more requests reached the target than it takes";
    caught(&format!("limits, {fault:?}"), &limits(fault), promise, steps);
}

//! Checks every invariant in every reachable state within the bounds, and that the search detects each broken variant
//! of the protocol. Run with `--nocapture` to print the number of states and the traces.

#[path = "models/rollouts.rs"]
mod rollouts;
#[path = "models/streams.rs"]
mod streams;

use curlewcleat_model::{
    explore, ConfigFault, ConfigModel, DrainFault, DrainModel, KeyFault, KeyModel, LethalFault,
    LethalModel, LevelFault, LevelModel, LimitFault, LimitModel, RateFault, RateModel,
    RequestFault, RequestModel, SpecModel,
};
use rstest::rstest;

fn assert_holds<M: SpecModel>(name: &str, model: &M) {
    let exploration = explore(model);
    println!("{name}: {exploration}");
    assert!(exploration.violation.is_none(), "{name}: {exploration}");
    // A search that visits only a few states proves nothing.
    assert!(exploration.states > 100, "{name}: {exploration}");
}

fn assert_detected<M: SpecModel>(name: &str, model: &M, invariant: &str, steps: usize) {
    let exploration = explore(model);
    println!("{name}: {exploration}");
    let (violation, trace) = exploration.violation.expect("the broken variant is detected");
    assert_eq!(violation, invariant, "{name}");
    assert_eq!(trace.len(), steps, "{name}: {trace:#?}");
}

fn request(fault: RequestFault, key: Option<Option<u32>>) -> RequestModel {
    RequestModel { fault, attempts: 3, steps: 5, key, unresponsive_count: 0 }
}

/// A request that may run more than once, at three targets at most.
fn repeatable_request(fault: RequestFault) -> RequestModel {
    RequestModel { fault, attempts: 3, steps: 2, key: None, unresponsive_count: 2 }
}

#[test]
fn unresponsive_target_is_replaced_and_all_permits_are_returned() {
    assert_holds("request, silent", &repeatable_request(RequestFault::None));
}

#[rstest]
#[case::left_before_another_is_granted(
    RequestFault::UnresponsiveTargetAbandoned,
    "the request was given up while its target was working",
    3
)]
#[case::refusal_ends_it(
    RequestFault::RefusalEndsRequest,
    "the request was refused while a target had it",
    3
)]
#[case::replaced_permit_lost(RequestFault::ReplacedPermitLost, "a permit was not returned", 5)]
fn broken_replacement_is_detected(
    #[case] fault: RequestFault,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(&format!("request, {fault:?}"), &repeatable_request(fault), invariant, steps);
}

#[rstest]
#[case::without_key(None)]
#[case::with_key(Some(None))]
#[case::with_first_attempt(Some(Some(1)))]
fn request_is_dispatched_at_most_once_and_verdicts_are_true(#[case] key: Option<Option<u32>>) {
    assert_holds("request", &request(RequestFault::None, key));
}

#[rstest]
#[case::closed_taken_for_not_run(
    RequestFault::ClosedTakenForNotRun,
    "the request was reported as not run and it ran",
    3
)]
#[case::later_instance_taken_for_proof(
    RequestFault::LaterInstanceTakenForProof,
    "the request was reported as not run and it ran",
    3
)]
#[case::every_grant_dispatches(RequestFault::EveryGrantDispatches, "one permit was used twice", 2)]
#[case::unanswered_reported_not_run(
    RequestFault::UnansweredReportedNotRun,
    "the request was reported as not run and it ran",
    2
)]
fn broken_request_is_detected(
    #[case] fault: RequestFault,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(&format!("request, {fault:?}"), &request(fault, None), invariant, steps);
}

fn keys(fault: KeyFault, timed_key: bool) -> KeyModel {
    KeyModel { fault, timed_key, moves: 1, hand_overs: false, stops: 1, repeats: 0 }
}

#[rstest]
#[case::opaque_over_ends(KeyModel { moves: 4, stops: 3, repeats: 1, ..keys(KeyFault::None, false) })]
#[case::timed_over_ends(KeyModel { moves: 4, stops: 3, repeats: 1, ..keys(KeyFault::None, true) })]
#[case::opaque_over_hand_over(KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::None, false) })]
#[case::timed_over_hand_over(KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::None, true) })]
#[case::opaque_over_two_hand_overs(KeyModel { moves: 2, stops: 0, hand_overs: true, ..keys(KeyFault::None, false) })]
#[case::opaque_over_hand_over_and_end(KeyModel { hand_overs: true, ..keys(KeyFault::None, false) })]
fn key_runs_at_most_once(#[case] model: KeyModel) {
    assert_holds("keys", &model);
}

#[rstest]
#[case::moved_by_time_out(KeyModel { stops: 0, ..keys(KeyFault::MoveByTimeOut, true) }, 11)]
#[case::history_claimed(keys(KeyFault::HistoryClaimed, false), 12)]
#[case::grants_during_hand_over(
    KeyModel { stops: 0, hand_overs: true, ..keys(KeyFault::GrantsDuringHandOver, false) },
    13
)]
#[case::lost_answer_reported_not_run(KeyModel { stops: 0, ..keys(KeyFault::LostAnswerReportedNotRun, false) }, 9)]
#[case::clock_beyond_skew(keys(KeyFault::ClockBeyondSkew, true), 13)]
fn broken_key_holder_is_detected(#[case] model: KeyModel, #[case] steps: usize) {
    assert_detected(&format!("keys, {:?}", model.fault), &model, "one key ran twice", steps);
}

fn config(fault: ConfigFault, same_file: bool) -> ConfigModel {
    ConfigModel { fault, same_file, losses: 2, old_reads: 2 }
}

#[rstest]
#[case::two_files(false)]
#[case::same_file(true)]
fn configuration_never_reverts_and_applies_once(#[case] same_file: bool) {
    assert_holds("config", &config(ConfigFault::None, same_file));
}

#[rstest]
#[case::unconditional_write(
    ConfigFault::UnconditionalWrite,
    "two applies produced the same generation",
    6
)]
#[case::takes_old_versions(
    ConfigFault::TakesOldVersions,
    "daemon 0 returned to an older generation",
    9
)]
#[case::retries_blindly(ConfigFault::RetriesBlindly, "operator 0 received a false result", 4)]
fn broken_configuration_is_detected(
    #[case] fault: ConfigFault,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(&format!("config, {fault:?}"), &config(fault, false), invariant, steps);
}

fn levels(fault: LevelFault) -> LevelModel {
    LevelModel { fault, tiers: vec![2, 2, 1, 1, 0], losses: 1, steps: 4 }
}

#[test]
fn higher_tier_is_never_shed_before_a_lower_one() {
    assert_holds("levels", &levels(LevelFault::None));
}

#[rstest]
#[case::unguarded(LevelFault::Unguarded, 5)]
#[case::confirmed_by_time_out(LevelFault::ConfirmedByTimeOut, 6)]
fn broken_shedding_is_detected(#[case] fault: LevelFault, #[case] steps: usize) {
    let model = LevelModel { tiers: vec![2, 2, 1, 1, 1], ..levels(fault) };
    let invariant = "tier 1 was refused for lack of capacity while a lower one waited";
    assert_detected(&format!("levels, {fault:?}"), &model, invariant, steps);
}

fn drain(fault: DrainFault) -> DrainModel {
    DrainModel { fault, requests: 4, steps: 4 }
}

#[test]
fn drain_interrupts_no_request_and_leaving_targets_get_none() {
    assert_holds("drain", &drain(DrainFault::None));
}

#[rstest]
#[case::ends_by_time_out(
    DrainFault::EndsByTimeOut,
    "the drain ended with a request in progress",
    4
)]
#[case::leaving_ignored(DrainFault::LeavingIgnored, "a leaving target got new work", 2)]
#[case::start_ignored(
    DrainFault::StartIgnored,
    "the slots in use are not those of the target's current instance",
    2
)]
#[case::late_entry_taken(
    DrainFault::LateEntryTaken,
    "the slots in use are not those of the target's current instance",
    3
)]
fn broken_drain_is_detected(
    #[case] fault: DrainFault,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(&format!("drain, {fault:?}"), &drain(fault), invariant, steps);
}

fn rates(fault: RateFault) -> RateModel {
    RateModel { fault, partition_changes: 2, restarts: 1, steps: 7, margin: 0 }
}

#[test]
fn partitioned_daemons_grant_no_more_than_the_rate() {
    assert_holds("rates", &rates(RateFault::None));
}

/// The burst of a daemon that became leader fills again twice within these steps.
#[test]
fn refilled_burst_keeps_the_rate_over_several_windows() {
    let model =
        RateModel { partition_changes: 1, restarts: 1, steps: 14, ..rates(RateFault::None) };
    assert_holds("rates over several windows", &model);
}

fn reserves(fault: RateFault) -> RateModel {
    RateModel { fault, partition_changes: 2, restarts: 0, steps: 5, margin: 300 }
}

#[test]
fn deputies_together_spend_no_more_than_one_reserve() {
    assert_holds("reserves", &reserves(RateFault::None));
}

#[test]
fn immediate_reserve_is_detected() {
    let invariant = "more was granted in a window than rate and burst";
    assert_detected("reserves, ReserveAtOnce", &reserves(RateFault::ReserveAtOnce), invariant, 4);
}

#[rstest]
#[case::saved_burst(RateFault::SavedBurst, 6)]
#[case::whole_rate_alone(RateFault::WholeRateAlone, 5)]
#[case::non_leader_burst(RateFault::NonLeaderBurst, 6)]
fn broken_rates_are_detected(#[case] fault: RateFault, #[case] steps: usize) {
    let invariant = "more was granted in a window than rate and burst";
    assert_detected(&format!("rates, {fault:?}"), &rates(fault), invariant, steps);
}

/// The request alone, one copy at a time.
const LETHAL: LethalModel = LethalModel {
    fault: LethalFault::None,
    sends: 4,
    copies: 1,
    calling_daemons: 3,
    loses_reports: true,
    partitions: 0,
    restarts: 0,
    bystander_interruptions: 0,
    bystander_arrivals: 0,
};
const PARTITION: LethalModel = LethalModel { partitions: 1, calling_daemons: 2, ..LETHAL };
const RESTART: LethalModel = LethalModel { restarts: 1, ..LETHAL };
const COPIES: LethalModel = LethalModel { copies: 2, calling_daemons: 2, ..LETHAL };
const BYSTANDER: LethalModel = LethalModel {
    bystander_interruptions: 3,
    bystander_arrivals: 2,
    sends: 3,
    calling_daemons: 1,
    loses_reports: false,
    ..LETHAL
};

#[rstest]
#[case::with_a_partition(PARTITION)]
#[case::with_a_restart(RESTART)]
#[case::with_copies(COPIES)]
#[case::beside_another(BYSTANDER)]
fn lethal_request_is_not_sent_again_and_others_are_served(#[case] model: LethalModel) {
    assert_holds("lethal", &model);
}

#[rstest]
#[case::no_reports_requested(LethalFault::NoReportsRequested, LETHAL, SENT_AGAIN, 8)]
#[case::serves_without_reports(LethalFault::ServesWithoutReports, RESTART, SENT_AGAIN, 9)]
#[case::stored_report_ignored(LethalFault::StoredReportIgnored, RESTART, SENT_AGAIN, 9)]
#[case::interruption_taken_for_termination(
    LethalFault::InterruptionTakenForTermination,
    BYSTANDER,
    REFUSED,
    5
)]
#[case::served_stays_suspect(LethalFault::ServedStaysSuspect, BYSTANDER, REFUSED, 9)]
fn broken_lethal_is_detected(
    #[case] fault: LethalFault,
    #[case] model: LethalModel,
    #[case] invariant: &str,
    #[case] steps: usize,
) {
    assert_detected(
        &format!("lethal, {fault:?}"),
        &LethalModel { fault, ..model },
        invariant,
        steps,
    );
}

const SENT_AGAIN: &str =
    "it was sent again after all daemons had time to learn of the third termination";
const REFUSED: &str = "a request that terminated nothing was refused";

fn limits(fault: LimitFault) -> LimitModel {
    LimitModel { fault, partition_changes: 1, restarts: 1, steps: 4, late_uses: 0 }
}

#[rstest]
#[case::partition_and_restart(limits(LimitFault::None))]
#[case::partition_that_ends(LimitModel { partition_changes: 2, restarts: 0, late_uses: 1, ..limits(LimitFault::None) })]
#[case::restarts(LimitModel { partition_changes: 0, restarts: 2, late_uses: 1, ..limits(LimitFault::None) })]
fn daemons_together_send_no_more_than_the_users_allow(#[case] model: LimitModel) {
    assert_holds("limits", &model);
}

#[rstest]
#[case::whole_limit_each(LimitFault::WholeLimitEach, 5)]
#[case::non_leader_grants(LimitFault::NonLeaderGrants, 5)]
#[case::limit_not_reported(LimitFault::LimitNotReported, 6)]
fn broken_limit_is_detected(#[case] fault: LimitFault, #[case] steps: usize) {
    let invariant = "more requests reached the target than the users allow";
    assert_detected(&format!("limits, {fault:?}"), &limits(fault), invariant, steps);
}

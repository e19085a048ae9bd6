//! The most likely cause of each refusal reason.
//!
//! Owns: the texts of the causes. Relies on: the reasons of `curlewcleat_core`. A reason without a cause does
//! not compile.

use curlewcleat_core::RefusalReason;
use curlewcleat_core::RefusalReason::*;

/// Why requests are refused for one reason.
pub struct RefusalCause {
    /// The reason.
    pub reason: RefusalReason,
    /// Section of docs/OPERATIONS.md about it.
    pub section: &'static str,
    /// What most likely happened.
    pub text: &'static str,
}

impl RefusalCause {
    const fn new(reason: RefusalReason, section: &'static str, text: &'static str) -> RefusalCause {
        RefusalCause { reason, section, text }
    }

    /// Returns the cause for the code of a reason; `None` for a reason of another version that is unknown here.
    pub fn of_code(code: &str) -> Option<&'static RefusalCause> {
        REFUSAL_CAUSES.iter().find(|cause| cause.reason.code() == code)
    }
}

const REFUSAL_CAUSES: &[RefusalCause] = &[
    RefusalCause::new(
        Unauthorized,
        "Accounts",
        "the caller's key is not in the configuration in force; it is wrong or was removed",
    ),
    RefusalCause::new(
        NoRule,
        "Configuration",
        "no route has this host and path in the configuration in force",
    ),
    RefusalCause::new(
        BadHeader,
        "Callers",
        "a header that the daemon reads is missing or out of range",
    ),
    RefusalCause::new(BodyTooLarge, "Refusals", "the body is longer than its rule allows"),
    RefusalCause::new(
        BodyIncomplete,
        "Refusals",
        "the caller stopped sending its body before the end",
    ),
    RefusalCause::new(NoConfiguration, "Platform lost", "the daemon has no configuration yet"),
    RefusalCause::new(
        ConfigurationStale,
        "Platform lost",
        "the daemon could not prove that its configuration is the newest: it had lost \
         the platform's store",
    ),
    RefusalCause::new(Draining, "Planned stop", "the daemon was stopping"),
    RefusalCause::new(
        EntryFull,
        "Refused under load",
        "the daemon held as many requests as its settings allow",
    ),
    RefusalCause::new(
        AccountRate,
        "Refused under load",
        "the account had used up its rate limit over all daemons",
    ),
    RefusalCause::new(
        RateUnknown,
        "Refused under load",
        "the daemon that counts the account's rate did not answer, and the reserve of \
         its deputy was used up",
    ),
    RefusalCause::new(
        AccountQueue,
        "Refused under load",
        "too many requests of this account were waiting in this pool",
    ),
    RefusalCause::new(
        QueueFull,
        "Refused under load",
        "the pool was overloaded and its queue full",
    ),
    RefusalCause::new(
        ShedForHigherTier,
        "Refused under load",
        "the pool was overloaded and refused this request in favour of a higher tier",
    ),
    RefusalCause::new(TierShed, "Refused under load", "the pool was overloaded and shed this tier"),
    RefusalCause::new(
        DeadlineUnreachable,
        "Refused under load",
        "the request could not be completed within its deadline",
    ),
    RefusalCause::new(
        WaitTooLong,
        "Refused under load",
        "the pool was overloaded: the wait would have been too long",
    ),
    RefusalCause::new(
        DeadlinePassed,
        "Broken off by a target",
        "the deadline of the request or of its rule passed",
    ),
    RefusalCause::new(
        NoTarget,
        "Broken off by a target",
        "every target was leaving, ejected, resting, or had failed this request",
    ),
    RefusalCause::new(
        KeyInProgress,
        "Refusals",
        "an attempt with the same key was still in progress",
    ),
    RefusalCause::new(
        KeyMayHaveRun,
        "Refusals",
        "an earlier attempt with the same key may have run",
    ),
    RefusalCause::new(
        KeyRan,
        "Refusals",
        "an earlier attempt with the same key ran; its answer is not kept",
    ),
    RefusalCause::new(
        KeyHomeUnreachable,
        "When a daemon dies",
        "the daemon that holds the key did not answer",
    ),
    RefusalCause::new(
        KeyHistoryLost,
        "When a daemon dies",
        "the daemon that held the key terminated, and its history of keys was lost",
    ),
    RefusalCause::new(
        KeyStoreFull,
        "Refusals",
        "the daemon that holds the key has no capacity for new keys",
    ),
    RefusalCause::new(
        KeyExpired,
        "Refusals",
        "the key is older than the time for which keys are kept",
    ),
    RefusalCause::new(
        ConnectFailed,
        "Broken off by a target",
        "every target that was tried failed, or the retry budget was used up",
    ),
    RefusalCause::new(
        TargetNotStarted,
        "Broken off by a target",
        "every target that was tried reported that it did not start the request",
    ),
    RefusalCause::new(
        TargetClosed,
        "Broken off by a target",
        "the target closed the connection while running the request",
    ),
    RefusalCause::new(
        FirstByteTimeout,
        "Broken off by a target",
        "the target did not begin to answer within its time limit",
    ),
    RefusalCause::new(
        RequestSuspect,
        "Requests under which targets end",
        "several targets closed their connections while running this request, and it was \
         not known yet whether they had terminated",
    ),
    RefusalCause::new(
        StreamVersionUnknown,
        "Streams beside several versions",
        "the caller took up a stream, and no daemon knew the version of the target that \
         had begun it",
    ),
    RefusalCause::new(
        RequestLethal,
        "Requests under which targets end",
        "several targets had terminated while running this request, or others that share \
         a part of its prompt",
    ),
    RefusalCause::new(
        RuleClosed,
        "Values that cannot be used",
        "part of the route's configuration cannot be used; config_fault in the log names it",
    ),
    RefusalCause::new(
        AccountClosed,
        "Values that cannot be used",
        "part of the account's configuration cannot be used; config_fault in the log names it",
    ),
    RefusalCause::new(
        TargetProtocol,
        "Broken off by a target",
        "the target's answer could not be parsed",
    ),
];

const _: () =
    assert!(has_one_cause_each(RefusalReason::ALL), "a refusal reason has not exactly one cause");

const fn has_one_cause_each(reasons: &[RefusalReason]) -> bool {
    let mut index = 0;
    while index < reasons.len() {
        if count_causes(reasons[index]) != 1 {
            return false;
        }
        index += 1;
    }
    true
}

const fn count_causes(reason: RefusalReason) -> usize {
    let (mut index, mut count) = (0, 0);
    while index < REFUSAL_CAUSES.len() {
        // `==` of enums cannot be evaluated by the compiler.
        if REFUSAL_CAUSES[index].reason as usize == reason as usize {
            count += 1;
        }
        index += 1;
    }
    count
}

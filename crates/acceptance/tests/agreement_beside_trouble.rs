//! What targets state alike, in pools that have shrunk and where no retries are left.

mod support;

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use curlewcleat_acceptance::fleet_head;
use curlewcleat_standins::fleet::{AnswerFrame, EngineStep, FleetDeployment, FleetEngine};
use curlewcleat_targets::{ConnectionPool, ExchangeOptions};
use futures_util::StreamExt;
use rstest::rstest;
use support::wait_served;

/// Events of a stream.
const EVENTS: u64 = 10;
/// Events before the place where an engine deviates or breaks off.
const FIRST_EVENTS: u64 = 5;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);
/// Streams after which their form is known, and three engines have served some.
const SOUND_STREAMS: usize = 40;
/// Time after which daemons no longer list an engine that is gone.
const LIST_TIME: Duration = Duration::from_secs(1);
/// Streams that deviate.
const OTHER_STREAMS: usize = 12;
/// An event without a number follows on the one with this number.
const UNNUMBERED: EngineStep = EngineStep::PauseUnnumbered(FIRST_EVENTS, Duration::from_millis(20));
const PATH: &str = "/resumed/stream/a";
const PLAIN_PATH: &str = "/plain/stream/a";
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";
/// Bounds under which some streams may be continued.
const FEW_RETRIES: &str = "retry_saved = 8\nretry_ratio = 0";

/// Starts a daemon and engines, and plays sound streams.
async fn start(name: &str, engines: usize, bounds: &str) -> Result<FleetDeployment> {
    let mut fleet = FleetDeployment::start(name).await?;
    fleet.store_config()?;
    for _ in 0..engines {
        fleet.engine("engines", EVENTS, EVENT_INTERVAL).await?;
    }
    fleet.daemons(1, bounds).await?;
    wait_served(&fleet, PATH).await?;
    play_sound(&fleet, "begin").await?;
    Ok(fleet)
}

/// Starts two engines, beside which a third one may have served streams.
async fn start_pool_of_two(name: &str, had_third: bool) -> Result<FleetDeployment> {
    let name = format!("{name}-{had_third}");
    let mut fleet = start(&name, 2 + usize::from(had_third), BOUNDS).await?;
    if had_third {
        assert!(fleet.engines.iter().all(|engine| !engine.runs().is_empty()));
        fleet.terminate_engine(2).await;
        tokio::time::sleep(LIST_TIME).await;
    }
    play_sound(&fleet, "later").await?;
    Ok(fleet)
}

async fn play_sound(fleet: &FleetDeployment, name: &str) -> Result<()> {
    for number in 0..SOUND_STREAMS {
        let attempt = format!("{name}-{number}");
        assert_eq!(stream(fleet, PATH, &attempt).await?, Some(sound(&attempt)));
    }
    Ok(())
}

fn sound(attempt: &str) -> String {
    FleetEngine::expected_stream(attempt, EVENTS)
}

/// Requests a stream; `None` if it is refused or cut.
async fn stream(fleet: &FleetDeployment, path: &str, attempt: &str) -> Result<Option<String>> {
    let entry = &fleet.daemons[0].callers;
    let connection = ConnectionPool::default().connect(entry, Duration::from_secs(2)).await?;
    let options = ExchangeOptions { allow_close_delimited: true, ..ExchangeOptions::default() };
    let (head, body) = (fleet_head(path, attempt)?, Bytes::from_static(b"b"));
    let mut answer = connection.exchange_with(head, body, &options).await?;
    let mut bytes = Vec::new();
    while let Some(part) = answer.body.next().await {
        match part {
            Ok(part) => bytes.extend_from_slice(&part),
            Err(_) => return Ok(None),
        }
    }
    let is_served = answer.head.status == 200;
    Ok(Some(String::from_utf8(bytes)?).filter(|_| is_served))
}

/// Guards against damaged events that reach callers since streams were cut for want of retries, and count as evidence that
/// the form does not hold, although another engine has shown the damage.
#[actix_rt::test]
async fn damaged_streams_that_are_cut_for_want_of_retries_do_not_take_back_the_form() -> Result<()>
{
    let fleet = start("few-retries", 3, FEW_RETRIES).await?;
    let mut wrong = Vec::new();
    let mut cut = 0;
    for number in 0..OTHER_STREAMS {
        let attempt = format!("damaged-{number}");
        fleet.set_attempt_step(&attempt, UNNUMBERED);
        let got = stream(&fleet, PATH, &attempt).await?;
        println!("{number}: {:?}", got.as_ref().map(|text| *text == sound(&attempt)));
        match got {
            None => cut += 1,
            Some(text) if text != sound(&attempt) => wrong.push(number),
            Some(_) => {}
        }
    }
    assert!(wrong.is_empty(), "{cut} cut, wrong: {wrong:?}");
    Ok(())
}

/// Guards against sound streams of a new form that are cut in a pool of two engines since a third one has served it once.
#[rstest]
#[case::two_from_the_start(false)]
#[case::third_is_gone(true)]
#[actix_rt::test]
async fn sound_streams_of_a_new_form_in_a_pool_of_two(#[case] had_third: bool) -> Result<()> {
    let fleet = start_pool_of_two("new-form", had_third).await?;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(UNNUMBERED));
    let mut served = Vec::new();
    for number in 0..OTHER_STREAMS {
        served.push(stream(&fleet, PATH, &format!("other-{number}")).await?.is_some());
    }
    assert!(served.iter().all(|is_served| *is_served), "{served:?}");
    Ok(())
}

/// Guards against sound unframed streams that are cut in a pool of two engines, since a third one that is gone is waited for.
#[rstest]
#[case::two_from_the_start(false)]
#[case::third_is_gone(true)]
#[actix_rt::test]
async fn unframed_stream_in_a_pool_of_two_is_whole_beside_broken_answers(
    #[case] had_third: bool,
) -> Result<()> {
    let fleet = start_pool_of_two("doubted-end", had_third).await?;
    fleet.set_attempt_step("broken", EngineStep::Interrupt(2));
    assert_eq!(stream(&fleet, PLAIN_PATH, "broken").await?, None);
    let unframed = EngineStep::WithoutLength;
    fleet.engines.iter().for_each(|engine| engine.set_default_step(unframed));
    let mut whole = Vec::new();
    for number in 0..OTHER_STREAMS {
        let attempt = format!("early-{number}");
        let length = FleetEngine::expected_stream(&attempt, FIRST_EVENTS).len();
        fleet.set_attempt_step(&attempt, EngineStep::Truncate(AnswerFrame::Close, length));
        whole.push(stream(&fleet, PATH, &attempt).await? == Some(sound(&attempt)));
    }
    assert!(whole.iter().all(|is_whole| *is_whole), "{whole:?}");
    Ok(())
}

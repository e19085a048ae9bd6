//! Streams that end with their connection, taken up by callers that have all of their events.

#[path = "support/played_answer.rs"]
mod played_answer;
mod support;

use anyhow::{ensure, Result};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_engine::UNFRAMED_MARK;
use played_answer::PlayedAnswer;
use rstest::rstest;
use support::event_streams::{EventFleet, EVENTS};

/// Guards against a caller that has all events of a stream, takes it up behind the last one and is refused, since engines
/// that have nothing to add count as terminated by its request.
#[rstest]
#[case::one_daemon("resumed", 0)]
#[case::another_route("split", 1)]
#[actix_rt::test]
async fn unframed_stream_taken_up_behind_its_last_event_ends(
    #[case] route: &str,
    #[case] daemon: usize,
) -> Result<()> {
    let fleet = EventFleet::start(&format!("behind-{route}")).await?;
    let daemon = &fleet.deployment.daemons[daemon];
    wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() }).await?;
    let path = format!("/{route}/stream{UNFRAMED_MARK}/a");
    let mut whole = PlayedAnswer::begin(&daemon.callers, &path, "b0").await?;
    ensure!(whole.read_to_end().await && whole.is_whole_stream(), "{}", whole.text);
    for number in 1..=3 {
        let attempt = format!("b0-{number}");
        let mut rest =
            PlayedAnswer::take_up(&daemon.callers, &path, &attempt, ("b0", EVENTS)).await?;
        let ended = rest.read_to_end().await;
        ensure!(rest.status == 200 && ended, "{attempt}: {} {ended} {}", rest.status, rest.text);
        ensure!(rest.text.is_empty(), "{attempt}: {}", rest.text);
    }
    Ok(())
}

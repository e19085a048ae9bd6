//! Streams beside targets, processes of their own, that write wrong numbers or leave out events.
//!
//! Guards against streams that reach their callers as complete without events, or with events missing or twice.

mod support;

use std::time::Duration;

use anyhow::{ensure, Result};
use curlewcleat_standins::deployment::{get_text, wait_until};
use curlewcleat_standins::fleet::stream_fault::StreamFault;
use rstest::rstest;
use support::event_callers::{EventCallers, StreamCounts};
use support::event_streams::EventFleet;

/// Time during which callers begin streams.
const TIME: Duration = Duration::from_secs(8);
/// Streams in progress at the same time.
const CALLERS: usize = 90;
/// Fewest streams that meet the fault.
const MIN_IRREGULAR: usize = 20;

async fn play(fault: StreamFault) -> Result<StreamCounts> {
    let fleet = EventFleet::start_with_fault(fault.name(), Some(fault)).await?;
    for daemon in &fleet.deployment.daemons {
        wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
            .await?;
    }
    let callers = EventCallers::start(&fleet, 1, CALLERS);
    tokio::time::sleep(TIME).await;
    Ok(callers.close().await)
}

#[rstest]
#[case::digit_more(StreamFault::DigitMore)]
#[case::lower(StreamFault::Lower)]
#[case::repeated_without_end(StreamFault::RepeatedWithoutEnd)]
#[case::ends_after_gap(StreamFault::EndsAfterGap)]
#[actix_rt::test]
async fn streams_stay_whole_and_in_order_beside_a_target_with_wrong_numbers(
    #[case] fault: StreamFault,
) -> Result<()> {
    let counts = play(fault).await?;
    let StreamCounts { whole, cut, refused, taken_up, moved, .. } = &counts;
    println!(
        "{fault:?}: {whole} whole, {cut} cut, {refused} refused, {taken_up} taken up, {moved} moved, {} faults",
        counts.faults.len()
    );
    ensure!(counts.faults.is_empty(), "{} faults: {:#?}", counts.faults.len(), counts.faults);
    // No target is stopped, so that a stream moves or is cut only because of the fault.
    ensure!(*whole > 300 && moved + cut >= MIN_IRREGULAR, "too few streams: {counts:?}");
    Ok(())
}

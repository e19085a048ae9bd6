//! Streams that callers take up after all daemons were killed, so that no daemon remembers the version that began them.
//!
//! Guards against streams that are joined of two versions: the only version that a new daemon has seen need not be the one
//! that served before.

mod support;

use std::time::Duration;

use anyhow::Result;
use curlewcleat_standins::deployment::{get_text, wait_listening, wait_until};
use curlewcleat_standins::fleet::FleetDeployment;
use rstest::rstest;

use support::stream_callers::{
    begin_streams, joined_streams, serves, take_up_all, BrokenStream, TakeUpEnd, EVENTS,
    EVENT_INTERVAL,
};

/// Daemons of a test.
const DAEMONS: usize = 3;
/// Streams that break off at the same time.
const STREAMS: usize = 12;
/// Longer than callers have for a stream, and the time by which clocks of daemons may differ beside it.
const SETTLED_AFTER: Duration = Duration::from_secs(10);
/// Time for which a pool has no targets after the daemons have started.
const EMPTY_FOR: Duration = Duration::from_millis(400);
/// Bounds under which every stream may be continued.
const BOUNDS: &str = "retry_saved = 10000\nretry_ratio = 10";

/// A fleet and the version of each of its engines.
struct StreamFleet {
    fleet: FleetDeployment,
    versions: Vec<&'static str>,
}

impl StreamFleet {
    /// Starts engines of these versions and the daemons, and waits until all of them serve.
    async fn start(name: &str, versions: &[&'static str]) -> Result<StreamFleet> {
        let mut fleet = FleetDeployment::start(name).await?;
        fleet.store_config()?;
        let mut fleet = StreamFleet { fleet, versions: Vec::new() };
        fleet.add_engines(versions).await?;
        fleet.fleet.daemons(DAEMONS, BOUNDS).await?;
        fleet.fleet.wait_for_all_peers().await?;
        fleet.wait_served("warm").await?;
        Ok(fleet)
    }

    async fn add_engines(&mut self, versions: &[&'static str]) -> Result<()> {
        for version in versions {
            self.fleet.engine_with_version("engines", version, EVENTS, EVENT_INTERVAL).await?;
            self.versions.push(version);
        }
        Ok(())
    }

    async fn remove_engines(&mut self, version: &str) {
        for index in 0..self.versions.len() {
            if self.versions[index] == version {
                self.fleet.terminate_engine(index).await;
            }
        }
    }

    async fn wait_served(&self, name: &str) -> Result<()> {
        for daemon in &self.fleet.daemons {
            wait_until("ready", || async { get_text(&daemon.operators, "/readyz").await.is_ok() })
                .await?;
            wait_until("served", || async { serves(&daemon.callers, name).await }).await?;
        }
        Ok(())
    }

    /// Begins streams at all daemons, and kills all of them while the streams are under way.
    async fn break_streams(&mut self, name: &str) -> Result<Vec<BrokenStream>> {
        let names: Vec<String> = (0..STREAMS).map(|number| format!("{name}-{number}")).collect();
        let streams = begin_streams(&self.fleet, &names).await?;
        self.kill_all();
        Ok(streams)
    }

    fn entries(&self) -> Vec<String> {
        self.fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect()
    }

    fn kill_all(&mut self) {
        for daemon in &mut self.fleet.daemons {
            daemon.process.kill();
        }
    }

    async fn start_again(&mut self) -> Result<()> {
        for index in 0..self.fleet.daemons.len() {
            self.fleet.start_killed(index)?;
        }
        for daemon in &self.fleet.daemons {
            wait_listening(&daemon.callers).await?;
        }
        Ok(())
    }

    fn assert_none_joined(&self) {
        let joined = joined_streams(&self.fleet, &self.versions);
        assert!(joined.is_empty(), "{} joined: {joined:?}", joined.len());
    }
}

fn whole(ends: &[TakeUpEnd]) -> usize {
    ends.iter().filter(|end| **end == TakeUpEnd::Whole).count()
}

/// When targets of the new version appear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Replaced {
    WhileDaemonsAreDown,
    AfterDaemonsHaveStarted,
}

/// Guards against the only version that serves being taken for the one that began a stream, and against streams that
/// are admitted without a version before any target is known.
#[rstest]
#[case::while_daemons_are_down("down", Replaced::WhileDaemonsAreDown)]
#[case::after_daemons_have_started("started", Replaced::AfterDaemonsHaveStarted)]
#[actix_rt::test]
async fn stream_is_not_joined_where_its_version_left_while_all_daemons_were_killed(
    #[case] name: &str,
    #[case] replaced: Replaced,
) -> Result<()> {
    let mut fleet = StreamFleet::start(&format!("left-{name}"), &["v1", "v1"]).await?;
    let streams = fleet.break_streams("a").await?;
    fleet.remove_engines("v1").await;
    if replaced == Replaced::WhileDaemonsAreDown {
        fleet.add_engines(&["v2", "v2"]).await?;
    }
    fleet.start_again().await?;
    let entries = fleet.entries();
    let announced = async {
        if replaced == Replaced::AfterDaemonsHaveStarted {
            tokio::time::sleep(EMPTY_FOR).await;
            fleet.add_engines(&["v2", "v2"]).await?;
        }
        anyhow::Ok(())
    };
    let (ends, announced) = tokio::join!(take_up_all(&entries, &streams), announced);
    announced?;
    fleet.assert_none_joined();
    assert_eq!(whole(&ends), 0, "{ends:?}");
    fleet.wait_served("new").await
}

#[actix_rt::test]
async fn stream_goes_on_after_all_daemons_were_killed_where_only_its_version_has_served(
) -> Result<()> {
    let mut fleet = StreamFleet::start("only", &["v1", "v1"]).await?;
    tokio::time::sleep(SETTLED_AFTER).await;
    let streams = fleet.break_streams("a").await?;
    fleet.start_again().await?;
    let ends = take_up_all(&fleet.entries(), &streams).await;
    fleet.assert_none_joined();
    assert!(whole(&ends) * 20 >= STREAMS * 19, "{ends:?}");
    Ok(())
}

/// Guards against streams that nobody continues although targets of their version serve.
#[rstest]
#[case::once(1)]
#[case::three_times(3)]
#[actix_rt::test]
async fn stream_goes_on_at_its_version_after_all_daemons_were_killed_in_a_release(
    #[case] kills: usize,
) -> Result<()> {
    let name = format!("release-{kills}");
    let mut fleet = StreamFleet::start(&name, &["v1", "v1", "v2", "v2"]).await?;
    tokio::time::sleep(SETTLED_AFTER).await;
    for round in 0..kills {
        let streams = fleet.break_streams(&format!("a{round}")).await?;
        fleet.start_again().await?;
        let ends = take_up_all(&fleet.entries(), &streams).await;
        fleet.assert_none_joined();
        assert!(whole(&ends) * 20 >= STREAMS * 19, "round {round}: {ends:?}");
        fleet.wait_served(&format!("served-{round}")).await?;
    }
    Ok(())
}

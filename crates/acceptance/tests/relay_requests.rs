//! Which requests for a connection to a target a daemon serves.
//!
//! Guards against a daemon that connects to targets for anybody, or to anything that a peer names.

mod support;

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use anyhow::Result;
use curlewcleat_core::{DaemonId, TargetEntry};
use curlewcleat_relay::{connect_through_peer, Error, RelayRefusal, RelayRequest};
use curlewcleat_standins::address::{daemon_ip, LOOPBACK};
use curlewcleat_standins::fleet::FleetDeployment;
use rstest::rstest;

use support::wait_served;

const PATH: &str = "/again/a";
const RECORD_TIME: Duration = Duration::from_millis(5);
/// The daemon that is asked, and the one that asks.
const ASKED: usize = 0;
const ASKING: usize = 1;

/// Asks the first daemon for a connection to the only engine.
async fn ask(
    fleet: &FleetDeployment,
    vm: &str,
    source: &str,
    change: impl Fn(&mut RelayRequest),
) -> Result<Option<RelayRefusal>> {
    let mut request = RelayRequest {
        from: DaemonId { vm: vm.to_string(), incarnation: 1 },
        request: None,
        pool: "records".to_string(),
        target: TargetEntry {
            id: fleet.engines[0].id.clone(),
            address: fleet.engine_addresses[0].clone(),
            ..TargetEntry::default()
        },
        time_limit: Duration::from_secs(2),
    };
    change(&mut request);
    let peer = SocketAddr::new(daemon_ip(ASKED).parse()?, fleet.relay_port());
    match connect_through_peer(peer, source.parse::<IpAddr>()?, &request).await {
        Ok(_) => Ok(None),
        Err(Error::Refused(refusal)) => Ok(Some(refusal)),
        Err(error) => Err(error.into()),
    }
}

/// What is changed in a request that would be served.
#[derive(Clone, Copy)]
enum Change {
    Nothing,
    OtherSource,
    OtherVm,
    OtherAddress,
    OtherTarget,
    OtherPool,
}

#[rstest]
#[case::known_peer(Change::Nothing, None)]
#[case::from_another_address(Change::OtherSource, Some(RelayRefusal::UnknownPeer))]
#[case::unknown_vm_at_another_address(Change::OtherVm, Some(RelayRefusal::UnknownPeer))]
#[case::to_another_address(Change::OtherAddress, Some(RelayRefusal::UnknownTarget))]
#[case::to_an_unknown_target(Change::OtherTarget, Some(RelayRefusal::UnknownTarget))]
#[case::in_an_unknown_pool(Change::OtherPool, Some(RelayRefusal::UnknownTarget))]
#[actix_rt::test]
async fn connections_are_made_for_known_peers_to_known_targets_only(
    #[case] change: Change,
    #[case] expected: Option<RelayRefusal>,
) -> Result<()> {
    let mut fleet = FleetDeployment::start("relay-requests").await?;
    fleet.store_config()?;
    fleet.engine("records", 0, RECORD_TIME).await?;
    fleet.daemons(2, "").await?;
    wait_served(&fleet, PATH).await?;
    let source = match change {
        Change::OtherSource | Change::OtherVm => LOOPBACK.to_string(),
        _ => daemon_ip(ASKING),
    };
    let vm = match change {
        Change::OtherVm => "vm-unknown".to_string(),
        _ => format!("vm-{ASKING}"),
    };
    let refusal = ask(&fleet, &vm, &source, |request| match change {
        Change::OtherAddress => request.target.address = fleet.daemons[ASKED].operators.clone(),
        Change::OtherTarget => request.target.id = "i-unknown".to_string(),
        Change::OtherPool => request.pool = "unknown".to_string(),
        _ => {}
    })
    .await?;
    assert_eq!(refusal, expected);
    Ok(())
}

/// A daemon whose planned stop has begun does not begin to serve peers.
#[actix_rt::test]
async fn stopping_daemon_refuses_new_connections() -> Result<()> {
    let mut fleet = FleetDeployment::start("relay-stop").await?;
    fleet.store_config()?;
    fleet.engine("records", 0, RECORD_TIME).await?;
    fleet.daemons(2, "").await?;
    wait_served(&fleet, PATH).await?;
    fleet.daemons[ASKED].process.signal("TERM")?;
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refusal = ask(&fleet, &format!("vm-{ASKING}"), &daemon_ip(ASKING), |_| {}).await?;
    assert_eq!(refusal, Some(RelayRefusal::Draining));
    Ok(())
}

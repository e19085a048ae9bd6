//! Runs one stand-in: `standin platform|engine|service|stream-engine`.

use anyhow::Result;
use clap::Parser;
use curlewcleat_standins::engine::{EngineOptions, EngineStandIn};
use curlewcleat_standins::fleet::stream_engine::{StreamEngine, StreamEngineOptions};
use curlewcleat_standins::http::{serve, serve_until_terminated};
use curlewcleat_standins::platform::{PlatformOptions, PlatformStandIn};
use curlewcleat_standins::service::{ServiceOptions, ServiceStandIn};

/// Small stand-ins of the systems around curlewcleat.
#[derive(Parser)]
enum StandIn {
    /// Objects with versions and a list of VMs.
    Platform(PlatformOptions),
    /// A streaming model engine.
    Engine(EngineOptions),
    /// A plain service.
    Service(ServiceOptions),
    /// An engine of a fleet whose events name what made them.
    StreamEngine(StreamEngineOptions),
}

#[actix_rt::main]
async fn main() -> Result<()> {
    match StandIn::parse() {
        StandIn::Platform(options) => {
            serve(&options.address.clone(), PlatformStandIn::new(options)).await
        }
        StandIn::Engine(options) => {
            serve(&options.address.clone(), EngineStandIn::new(options)).await
        }
        StandIn::Service(options) => {
            serve(&options.address.clone(), ServiceStandIn::new(options)).await
        }
        StandIn::StreamEngine(options) => {
            serve_until_terminated(&options.address.clone(), StreamEngine::new(options)).await
        }
    }
}

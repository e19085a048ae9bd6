//! The routes of a fleet before engines whose events name what made them.

use curlewcleat_platform::format::{Config, Route, Split};
use curlewcleat_standins::fleet::FleetDeployment;

use super::event_streams::{StreamRoute, SERVICES, SLOTS};

/// Returns a route by its name.
pub fn route_mut<'c>(config: &'c mut Config, name: &str) -> &'c mut Route {
    config.routes.iter_mut().find(|route| route.name == name).expect("a route of the test")
}

/// Adds a service, and the routes that the example does not have.
pub fn add_routes(deployment: &mut FleetDeployment) {
    let config = &mut deployment.config;
    let engines = config.services.iter().find(|service| service.name == SERVICES[0]);
    let mut others = engines.expect("the service of the example").clone();
    others.name = SERVICES[1].to_string();
    config.services.push(others);
    for service in &mut config.services {
        service.max_connections = Some(2_000);
        service.engine = service.engine.take().map(|_| serde_json::json!({ "slots": SLOTS }));
    }
    let resumed = route_mut(config, "resumed-stream").clone();
    for (name, prefix) in [
        ("split-stream", StreamRoute::Split.prefix()),
        ("moving-stream", StreamRoute::Moving.prefix()),
        ("toggled-stream", StreamRoute::Toggled.prefix()),
    ] {
        let (name, path_prefix) = (name.to_string(), prefix.to_string());
        config.routes.push(Route { name, path_prefix, ..resumed.clone() });
    }
    // Records of the engines, which may be repeated or not.
    for (name, like) in [("engine-record-once", "once"), ("engine-record-again", "again")] {
        let (name, path_prefix) = (name.to_string(), format!("/{name}/"));
        let backend = Some(SERVICES[0].to_string());
        let like = route_mut(config, like).clone();
        config.routes.push(Route { name, path_prefix, backend, ..like });
    }
    let share = |backend: &str, weight| Split { backend: backend.to_string(), weight };
    route_mut(config, "split-stream").traffic_split =
        vec![share(SERVICES[0], 60.0), share(SERVICES[1], 40.0)];
    for route in &mut config.routes {
        route.timeout_ms = Some(6_000.0);
        route.target_latency_ms = Some(200.0);
        route.max_attempts = Some(5);
    }
}

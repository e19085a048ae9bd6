//! Answers operators, who learn of a configuration that is out of date.
//!
//! Owns: nothing. Relies on: [`ConfigFreshness`] for the age of the configuration.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};

use crate::config_freshness::ConfigFreshness;
use crate::context::DaemonContext;
use crate::operators::serve_operator;

/// Answers an operator. The readiness check fails while requests with a token are refused because of a stale
/// configuration, and while they will be because the newest object at the platform is no configuration.
pub async fn operator_answer(
    context: DaemonContext,
    freshness: Rc<ConfigFreshness>,
    request: Request,
) -> Response<BoxBody> {
    let fresh = freshness.allows(context.bounds().config_age_limit);
    let problem = match (freshness.is_unusable(), fresh) {
        (true, _) => "newest configuration unusable",
        (false, false) => "configuration stale",
        (false, true) => return serve_operator(context, request).await,
    };
    match request.path() {
        "/readyz" => Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new(problem)),
        _ => serve_operator(context, request).await,
    }
}

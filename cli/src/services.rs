//! Calls to plain services.

use borageline_lib::refusal::{Refusal, RefusalCode};
use gotham::helpers::http::Body;
use http::Response;

use crate::{context::SharedContext, reply::CallerRequest};

/// Handles `/v1/services/{service}/{path}`.
pub async fn call(
    _context: SharedContext,
    _call: CallerRequest,
    _body: Body,
) -> Result<Response<Body>, Refusal> {
    Err(Refusal::new(RefusalCode::UnknownService, "not implemented"))
}

//! Routes of plain services: how a path is judged and which headers pass.

use borageline_lib::{
    api::{DEADLINE_HEADER, REQUEST_ID_HEADER},
    fleet::{RouteRule, ServiceRule},
    ids::ServiceName,
    refusal::{Refusal, RefusalCode},
};
use http::{HeaderMap, HeaderName, Method, Uri, header};
use percent_encoding::percent_decode_str;

use crate::callers::malformed;

/// Path of the routes of plain services.
const SERVICES_PATH: &str = "/v1/services/";
/// Headers that hold for one connection only, or that this instance sets.
const DROPPED_HEADERS: &[HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::HOST,
    header::EXPECT,
    // The key is a credential for this fleet, not for the service.
    header::AUTHORIZATION,
];
/// Headers without a constant in the `http` crate. A method override could
/// turn a call of an idempotent route into another call.
const DROPPED_NAMES: &[&str] = &[
    "keep-alive",
    "proxy-connection",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
];

/// Service, path and query of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePath {
    /// Service.
    pub service: ServiceName,
    /// Path at the service, with its leading slash.
    pub path: String,
    /// Path with its query.
    pub target: String,
}

impl ServicePath {
    /// Takes the path of a call apart.
    pub fn parse(uri: &Uri) -> Result<Self, Refusal> {
        let rest = uri.path().strip_prefix(SERVICES_PATH).unwrap_or_default();
        let (service, path) = match rest.find('/') {
            Some(index) => rest.split_at(index),
            None => (rest, "/"),
        };
        let service: ServiceName = service.parse().map_err(|error| {
            let text = format!("the path names no service: {error}");
            Refusal::new(RefusalCode::UnknownService, text)
        })?;
        check_path(path)?;
        let target = match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.into(),
        };
        let path = path.into();
        Ok(Self {
            service,
            path,
            target,
        })
    }

    /// Whether the call may be repeated. A path is judged as it came and
    /// decoded, as the service may do either.
    pub fn is_idempotent(&self, rule: &ServiceRule, method: &Method) -> bool {
        let decoded = decode(&self.path);
        judge(&rule.routes, method, &self.path)
            && judge(&rule.routes, method, &decoded)
    }
}

/// Refuses paths that a service may read as another path.
fn check_path(path: &str) -> Result<(), Refusal> {
    let decoded = decode(path);
    let dots = decoded.split('/').any(|part| part == "." || part == "..");
    let slashes = decoded.matches('/').count() != path.matches('/').count();
    let odd = decoded.contains(['\\', ';', '%'])
        || decoded.chars().any(char::is_control);
    if dots || slashes || odd {
        let text = format!(
            "path {path:?} has a dot segment, an encoded slash or a character \
             out of \\ ; % and the control characters",
        );
        return Err(malformed(text));
    }
    Ok(())
}

fn decode(path: &str) -> String {
    percent_decode_str(path).decode_utf8_lossy().into_owned()
}

/// The longest matching prefix decides; what is not listed, or listed both
/// ways, may not be repeated.
fn judge(routes: &[RouteRule], method: &Method, path: &str) -> bool {
    let matching = || {
        routes.iter().filter(|route| {
            *route.method == *method.as_str()
                && has_prefix(path, &route.path_prefix)
        })
    };
    let longest = matching().map(|route| route.path_prefix.len()).max();
    let mut deciding =
        matching().filter(|route| Some(route.path_prefix.len()) == longest);
    longest.is_some() && deciding.all(|route| route.idempotent)
}

fn has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| {
        rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
    })
}

/// Headers that may pass on to the other side.
pub fn passing_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut passing = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = DROPPED_HEADERS.contains(name)
            || DROPPED_NAMES.contains(&name.as_str())
            || named.iter().any(|dropped| dropped == name.as_str());
        if !dropped {
            passing.append(name.clone(), value.clone());
        }
    }
    passing
}

//! Routes of plain services: parses and checks the path of a call, decides
//! whether its route is idempotent, and selects the headers to forward.

use borageline_lib::{
    api::{DEADLINE_HEADER, REQUEST_ID_HEADER},
    fleet::{RouteRule, ServiceRule},
    ids::ServiceName,
    refusal::{Refusal, RefusalCode},
};
use http::{HeaderMap, HeaderName, Method, Uri, header};
use percent_encoding::percent_decode_str;

use crate::callers::malformed;

/// Path prefix of the routes of plain services.
const SERVICES_PATH: &str = "/v1/services/";
/// Headers that are not forwarded: they apply to one connection only, or this
/// instance sets them itself.
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
    // The key authenticates the caller to this fleet; the service must not
    // see it.
    header::AUTHORIZATION,
];
/// Further headers that are not forwarded, for which the `http` crate has no
/// constant. A method override could turn a call of an idempotent route into a
/// call that is not idempotent.
const DROPPED_HEADER_NAMES: &[&str] = &[
    "keep-alive",
    "proxy-connection",
    "x-http-method",
    "x-http-method-override",
    "x-method-override",
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
];

/// Parsed path of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePath {
    /// Service that is called.
    pub service: ServiceName,
    /// Path within the service, still percent-encoded, with a leading slash.
    pub path: String,
    /// `path` with the query, if there is one.
    pub target: String,
}

impl ServicePath {
    /// Parses `/v1/services/{service}/{path}`.
    ///
    /// Fails if the service's name is invalid, or if the service could
    /// interpret the path as a different one.
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

    /// Whether a call with this method and path may be repeated.
    ///
    /// Both the encoded and the decoded path must be idempotent, since the
    /// service may route by either.
    pub fn is_idempotent(&self, rule: &ServiceRule, method: &Method) -> bool {
        let decoded = decode(&self.path);
        is_listed_idempotent(&rule.routes, method, &self.path)
            && is_listed_idempotent(&rule.routes, method, &decoded)
    }
}

/// Refuses paths that a service could interpret as a different path.
fn check_path(path: &str) -> Result<(), Refusal> {
    let decoded = decode(path);
    let dots = decoded.split('/').any(|part| part == "." || part == "..");
    let slashes = decoded.matches('/').count() != path.matches('/').count();
    let reserved = decoded.contains(['\\', ';', '%'])
        || decoded.chars().any(char::is_control);
    if dots || slashes || reserved {
        let text = format!(
            "path {path:?} has a dot segment, an encoded slash, a control \
             character or one of the characters \\ ; %",
        );
        return Err(malformed(text));
    }
    Ok(())
}

fn decode(path: &str) -> String {
    percent_decode_str(path).decode_utf8_lossy().into_owned()
}

/// Whether the route with the longest matching prefix is idempotent.
///
/// False if no route matches, or if the routes with the longest prefix
/// disagree.
fn is_listed_idempotent(
    routes: &[RouteRule],
    method: &Method,
    path: &str,
) -> bool {
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

/// Selects the headers of a request or response that are forwarded.
pub fn forwardable_headers(headers: &HeaderMap) -> HeaderMap {
    // Headers that the connection header names apply to one connection only.
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let dropped = DROPPED_HEADERS.contains(name)
            || DROPPED_HEADER_NAMES.contains(&name.as_str())
            || connection_headers
                .iter()
                .any(|dropped| dropped == name.as_str());
        if !dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

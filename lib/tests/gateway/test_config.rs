//! Desired state and settings.

use std::{sync::Arc, time::Duration};

use borageline_lib::{
    gateway::{
        gateway_core::GatewayCore,
        gateway_settings::GatewaySettings,
        routing_config::{CallerIdentity, RetrySafety, RouteSpec},
    },
    ids::ServiceName,
    refusal::RefusalCode,
    units::Incarnation,
};
use rstest::rstest;

use crate::fixtures::{SETTINGS, at, config, core, id, route, settings};

fn with_prefix(prefix: &str) -> RouteSpec {
    RouteSpec {
        name: prefix.into(),
        prefix: prefix.into(),
        ..route(RetrySafety::Idempotent, 1)
    }
}

/// Guards against a route that receives requests for a route with a longer
/// prefix, or for a path that only starts with the same letters.
#[rstest]
#[case("/a/b/c", Some("/a/b/"))]
#[case("/a/bc/d", Some("/a/"))]
#[case("/a/", Some("/a/"))]
#[case("/a", None)]
#[case("/ab/", None)]
fn test_config_longest_prefix_wins(
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let config = config(1)
        .with_route(with_prefix("/a/"))
        .with_route(with_prefix("/a/b/"));
    let found = config.find_route("host.example", path);
    assert_eq!(found.as_ref().map(|route| &*route.name), expected);
    assert_eq!(config.find_route("other.example", path), None);
}

/// Guards against a return to an older desired state, as when records arrive
/// late or the topic is read again from a lagging source.
#[test]
fn test_config_never_goes_back() {
    let mut core = core(1);
    assert!(core.apply_config(config(5)));
    assert!(!core.apply_config(config(4)));
    assert!(!core.apply_config(config(5)));
    let version = core.config().map(|config| config.version.get());
    assert_eq!(version, Some(5));
}

/// Guards against an answer that the caller takes as final while the instance
/// has not read its desired state.
#[test]
fn test_config_unknown_is_refused_as_not_ready() {
    let settings = Arc::new(settings());
    let mut core = GatewayCore::new(settings, Incarnation::new(1), 1);
    let refused = core.admit(at(0), "host.example", "/a/", Some("key-a"));
    let code = refused.map_err(|refusal| refusal.code);
    assert_eq!(code, Err(RefusalCode::NotReady));
    assert!(!core.is_ready());
}

/// Guards against a revoked or unknown key that is accepted.
#[rstest]
#[case(Some("key-a"), true)]
#[case(Some("key-b"), false)]
#[case(None, false)]
fn test_config_keys_decide(#[case] key: Option<&str>, #[case] known: bool) {
    let config = config(1);
    let route = route(RetrySafety::Idempotent, 1);
    let identity = config.identify(&route, key);
    assert_eq!(identity != CallerIdentity::Unknown, known);
    let open = RouteSpec {
        anonymous: true,
        ..route
    };
    assert_eq!(config.identify(&open, key), CallerIdentity::Anonymous);
}

/// Guards against a traffic split that does not follow the weights.
#[test]
fn test_config_weights_divide_requests() {
    let mut route = route(RetrySafety::Idempotent, 1);
    let mut other = route.services[0].clone();
    other.service = id("others");
    route.services[0].weight = 90;
    other.weight = 10;
    route.services.push(other);
    let others: ServiceName = id("others");
    let drawn = (0..100)
        .filter(|draw| {
            route.draw_service(f64::from(*draw) / 100.0) == Some(&others)
        })
        .count();
    assert_eq!(drawn, 10);
}

/// Guards against a settings error that does not name the path of the setting.
#[rstest]
#[case(("\"ip\": \"127.0.0.1\"", "\"ip\": \"localhost\""), "ip")]
#[case(("[7000, 7010]", "[7010, 7000]"), "peer_ports")]
#[case(("\"grace_s\": 8", "\"grace_s\": 0"), "bounds.grace_s")]
#[case(("\"memory_mb\": 260", "\"memory_mb\": -1"), "memory_mb")]
fn test_settings_error_names_path(
    #[case] change: (&str, &str),
    #[case] path: &str,
) {
    let text = SETTINGS.replace(change.0, change.1);
    assert_ne!(text, SETTINGS);
    let error = GatewaySettings::parse(&text).expect_err("setting is wrong");
    assert_eq!(error.path, path);
}

/// Guards against settings that are rejected for a key of a newer platform.
#[test]
fn test_settings_ignore_unknown_keys() {
    let text = SETTINGS.replace("\"memory_mb\"", "\"later\": 1, \"memory_mb\"");
    let settings = GatewaySettings::parse(&text).expect("key is ignored");
    assert_eq!(settings, crate::fixtures::settings());
    assert_eq!(settings.bounds.grace(), Duration::from_secs(8));
}

//! Tests of the settings file: errors, defaults, overrides and the schema.

#![expect(
    clippy::unwrap_used,
    reason = "a failed step in a helper fails the test"
)]

use std::{io::Write, time::Duration};

use borageline_lib::{
    core::PolicyName,
    settings::{
        DEFAULT_SETTINGS, InstanceLimits, InstanceSettings, SettingOverride,
        SettingsErrors, load, parse, parse_with, schema,
    },
    units::ByteSize,
};
use proptest::prelude::*;
use rstest::rstest;

/// Required keys only.
const MINIMAL: &str = r#"{
    "instance": "entry-1",
    "failure_domain": "a",
    "caller_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "fleet_secret": "0123456789abcdef",
    "log_service": "127.0.0.1:8090",
    "instance_list": "127.0.0.1:8091"
}"#;

fn flag(text: &str) -> SettingOverride {
    SettingOverride::from_flag(text).unwrap()
}

/// Parses the minimal settings with overrides.
fn parse_changed(flags: &[&str]) -> Result<InstanceSettings, SettingsErrors> {
    let overrides: Vec<_> = flags.iter().map(|text| flag(text)).collect();
    parse_with(MINIMAL, &overrides)
}

/// Guards against an example file that does not parse, or that shows values
/// other than the defaults.
#[test]
fn test_default_file_parses() {
    let settings = parse(DEFAULT_SETTINGS).unwrap();
    assert_eq!(settings.limits, InstanceLimits::default());
    assert_eq!(settings.policy, PolicyName::default());
    let minimal = parse(MINIMAL).unwrap();
    assert_eq!(minimal.limits, InstanceLimits::default());
}

/// Guards against a key that is missing from the example file.
#[test]
fn test_default_file_names_every_key() {
    for setting in schema().settings {
        let name = setting.key.rsplit('.').next().unwrap();
        let quoted = format!("\"{name}\":");
        assert!(DEFAULT_SETTINGS.contains(&quoted), "{quoted}");
    }
}

/// Guards against errors that are reported only after others were fixed.
#[test]
fn test_all_errors_reported_at_once() {
    let text = r#"{
        // Most lines have an error.
        "instance": "entry-1",
        "failure_domain": "a b",
        "caller_address": "127.0.0.1:8080",
        "peer_address": "127.0.0.1:8080",
        "seeds": ["127.0.0.1:8081", "host:1", 7],
        "fleet_secret": "too short",
        "log_service": "127.0.0.1:0",
        "instance_list": "127.0.0.1:8080",
        "polcy": "product",
        "policy": "fastest",
        "limits": {
            "body_bytes": 1.5,
            "header_timeout_ms": 0,
            "stream_buffer_bytes": "256 KiB",
            "address_ttl_ms": 9000,
            "stop_timeout_ms": 4000,
            "default_timeout_ms": 60000,
            "longest_timeout_ms": 50000,
            "connections": -1,
            "connections": 10,
            "colour": "green",
        },
    }"#;
    let errors = parse(text).unwrap_err();
    insta::assert_snapshot!(errors, @r#"
    limits.connections: found a second value; allowed: one value a key
    limits.colour: found an unknown key; allowed: a known key; `borageline config schema` lists them
    polcy: found an unknown key; allowed: a known key; policy is similar
    failure_domain: found "a b"; allowed: 1 to 128 of a-z, A-Z, 0-9 and . _ : / -
    seeds[1]: found "host:1"; allowed: IP:PORT; the port is not zero
    seeds[2]: found 7; allowed: IP:PORT; the port is not zero
    fleet_secret: found a secret of 9 bytes; allowed: text of 16 to 1024 bytes
    log_service: found "127.0.0.1:0"; allowed: IP:PORT; the port is not zero
    policy: found "fastest"; allowed: one of product, round-robin, least-requests
    limits.body_bytes: found 1.5; allowed: 1024 to 1073741824 B
    limits.header_timeout_ms: found 0; allowed: 100 to 60000 ms
    limits.connections: found -1; allowed: 1 to 1000000 connections
    limits.stream_buffer_bytes: found "256 KiB"; allowed: 4096 to 67108864 B
    peer_address: found 127.0.0.1:8080; allowed: another address than caller_address
    instance_list: found 127.0.0.1:8080; allowed: no address of this instance
    limits.default_timeout_ms: found 60000; allowed: at most limits.longest_timeout_ms, which is 50000
    limits.address_ttl_ms: found 9000; allowed: at most limits.stop_timeout_ms, which is 4000
    "#);
}

/// Guards against missing keys that are reported one at a time.
#[test]
fn test_missing_keys_reported_at_once() {
    let errors = parse("{}").unwrap_err();
    insta::assert_snapshot!(errors, @r#"
    instance: found nothing; allowed: 1 to 128 of a-z, A-Z, 0-9 and . _ : / -
    failure_domain: found nothing; allowed: 1 to 128 of a-z, A-Z, 0-9 and . _ : / -
    caller_address: found nothing; allowed: IP:PORT that others can reach; neither IP nor port is zero
    peer_address: found nothing; allowed: IP:PORT that others can reach; neither IP nor port is zero
    fleet_secret: found nothing; allowed: text of 16 to 1024 bytes, here or in fleet_secret_file
    log_service: found nothing; allowed: IP:PORT; the port is not zero
    instance_list: found nothing; allowed: IP:PORT; the port is not zero
    "#);
}

/// Guards against a file that is not a JSON object and is accepted, or is
/// reported without the position of the error.
#[rstest]
#[case::empty("", "(file): found nothing; allowed: an object")]
#[case::list("[]", "(file): found []; allowed: an object")]
#[case::unclosed(
    "{\n  \"instance\": ",
    "line 2, column 15: found Expected value after colon in object property; \
     allowed: JSON with comments"
)]
#[case::loose_key(
    "{ instance: \"a\" }",
    "line 1, column 3: found Expected string for object property; allowed: \
     JSON with comments"
)]
fn test_unreadable_text(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(parse(text).unwrap_err().to_string(), expected);
}

/// Guards against settings that are valid on their own but conflict with each
/// other.
#[rstest]
#[case::body(&["limits.body_bytes_total=4096"], "limits.body_bytes")]
#[case::stream(
    &["limits.stream_buffer_total_bytes=4096"],
    "limits.stream_buffer_bytes"
)]
#[case::connections(
    &["limits.connections=5"],
    "limits.connections_per_address"
)]
#[case::timeout(
    &["limits.longest_timeout_ms=1000"],
    "limits.default_timeout_ms"
)]
#[case::address_ttl(
    &["limits.stop_timeout_ms=1000"],
    "limits.address_ttl_ms"
)]
#[case::listeners(&["peer_address=127.0.0.1:8080"], "peer_address (--set")]
#[case::platform(&["log_service=127.0.0.1:8081"], "log_service (--set")]
#[case::unspecified(&["caller_address=0.0.0.0:80"], "caller_address (--set")]
fn test_contradiction(#[case] flags: &[&str], #[case] path: &str) {
    let errors = parse_changed(flags).unwrap_err().errors;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].path.starts_with(path), "{errors:?}");
}

/// Guards against an instance that uses itself as a seed.
#[test]
fn test_own_address_among_seeds_ignored() {
    let seeds = "seeds=127.0.0.1:8081, 127.0.0.1:9001,127.0.0.1:9001";
    let settings = parse_changed(&[seeds]).unwrap();
    assert_eq!(settings.seeds, ["127.0.0.1:9001".parse().unwrap()]);
}

/// Guards against a wrong precedence of the file, environment variables and
/// flags.
#[test]
fn test_overrides_precedence() {
    let variables = [
        ("BORAGELINE_INSTANCE", "from-variable"),
        ("BORAGELINE_LIMITS_BODY_BYTES", "4096"),
        ("BORAGELINE_LIMITS_ADDRESS_TTL_MS", "200"),
        ("BORAGELINE_SERVICE_PORT", "tcp://10.0.0.1:80"),
    ];
    let pairs = variables.map(|(key, value)| (key.into(), value.into()));
    let mut overrides = SettingOverride::from_variables(pairs);
    overrides.push(flag("limits.address_ttl_ms=300"));
    let settings = parse_with(MINIMAL, &overrides).unwrap();
    assert_eq!(settings.instance.as_str(), "from-variable");
    assert_eq!(settings.limits.body_bytes, ByteSize::new(4_096));
    assert_eq!(settings.limits.address_ttl, Duration::from_millis(300));
}

/// Guards against an error that does not name the override that caused it.
#[test]
fn test_override_error_names_its_source() {
    let pair = ("BORAGELINE_POLICY".into(), "fastest".into());
    let mut overrides = SettingOverride::from_variables([pair]);
    overrides.push(flag("limits.body_bites=7"));
    overrides.push(flag("instance="));
    let errors = parse_with(MINIMAL, &overrides).unwrap_err();
    insta::assert_snapshot!(errors, @r#"
    limits.body_bites (--set limits.body_bites): found an unknown key; allowed: a known key; limits.body_bytes is similar
    instance (--set instance): found ""; allowed: 1 to 128 of a-z, A-Z, 0-9 and . _ : / -
    policy (variable BORAGELINE_POLICY): found "fastest"; allowed: one of product, round-robin, least-requests
    "#);
}

/// Guards against a flag without key or value that is accepted.
#[test]
fn test_flag_without_value() {
    assert!(SettingOverride::from_flag("instance").is_err());
    assert!(SettingOverride::from_flag("=a").is_err());
}

/// Guards against a secret that appears in an error, and against a secret file
/// that is read incorrectly or is not a regular file.
#[test]
fn test_secret_file() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    writeln!(file, "fedcba9876543210").unwrap();
    let path = file.path().display().to_string();
    let set = format!("fleet_secret_file={path}");
    let settings = parse_changed(&[&set]).unwrap();
    assert_eq!(settings.fleet_secret.as_ref(), "fedcba9876543210");
    let both = MINIMAL.replace(
        "\"fleet_secret\"",
        "\"fleet_secret_file\": \"/none\", \"fleet_secret\"",
    );
    let text = parse(&both).unwrap_err().to_string();
    assert_eq!(
        text,
        "fleet_secret_file: found both; allowed: either fleet_secret or \
         fleet_secret_file",
    );
    let text = parse_changed(&["fleet_secret=hush"])
        .unwrap_err()
        .to_string();
    assert!(!text.contains("hush"), "{text}");
    let missing = parse_changed(&["fleet_secret_file=/none"]).unwrap_err();
    assert_eq!(missing.errors.len(), 1, "{missing}");
    let device = parse_changed(&["fleet_secret_file=/dev/zero"]).unwrap_err();
    assert_eq!(device.errors.len(), 1, "{device}");
}

/// Guards against an unreadable file that is treated as empty.
#[test]
fn test_load_missing_file() {
    let errors = load("/nonexistent/settings.jsonc".as_ref()).unwrap_err();
    let text = errors.to_string();
    assert!(
        text.starts_with("/nonexistent/settings.jsonc: found "),
        "{text}"
    );
}

/// Guards against bounds in the schema that differ from those enforced.
#[test]
fn test_schema_bounds_hold() {
    let limits = schema()
        .settings
        .into_iter()
        .filter(|setting| setting.max.is_some());
    for setting in limits {
        let (key, min, max) =
            (setting.key, setting.min.unwrap(), setting.max.unwrap());
        let default = setting.default.unwrap().as_u64().unwrap();
        assert!((min..=max).contains(&default), "{key}");
        let is_rejected = |value: u64| {
            let set = format!("{key}={value}");
            let errors = parse_changed(&[&set]).err().map(|it| it.errors);
            let mut errors = errors.into_iter().flatten();
            errors.any(|error| error.allowed == setting.allowed)
        };
        assert!(!is_rejected(min) && !is_rejected(max), "{key}");
        assert!(is_rejected(min - 1) && is_rejected(max + 1), "{key}");
    }
}

/// Guards against unintended changes of keys, bounds and defaults.
#[test]
fn test_schema_table() {
    insta::assert_snapshot!(schema(), @r#"
    KEY                               TYPE               DEFAULT                           ALLOWED                                                     DESCRIPTION
    instance                          text               (required)                        1 to 128 of a-z, A-Z, 0-9 and . _ : / -                     name of the instance, unique in the fleet
    failure_domain                    text               (required)                        1 to 128 of a-z, A-Z, 0-9 and . _ : / -                     failure domain that the instance runs in
    caller_address                    address            (required)                        IP:PORT that others can reach; neither IP nor port is zero  listener for callers, operators and metrics; told to callers
    peer_address                      address            (required)                        IP:PORT that others can reach; neither IP nor port is zero  listener for other instances; told to them
    seeds                             list of addresses  []                                a list of IP:PORT; the ports are not zero                   peers to ask first; the instance's own address is ignored
    fleet_secret                      text               (required, or fleet_secret_file)  text of 16 to 1024 bytes                                    secret shared by the instances of the fleet
    fleet_secret_file                 text               (none)                            path of a readable file                                     file that holds the secret; space around it is ignored
    log_service                       address            (required)                        IP:PORT; the port is not zero                               log service of the platform
    instance_list                     address            (required)                        IP:PORT; the port is not zero                               instance list of the platform
    weight_store                      address            (none)                            IP:PORT; the port is not zero                               weight store of the platform
    policy                            choice             product                           one of product, round-robin, least-requests                 serving policy; all but product are baselines for measurements
    limits.body_bytes                 whole number       16777216                          1024 to 1073741824 B                                        largest request body
    limits.body_bytes_total           whole number       268435456                         1024 to 68719476736 B                                       bytes held for all request bodies
    limits.header_timeout_ms          whole number       5000                              100 to 60000 ms                                             time for the headers of a request to arrive
    limits.body_timeout_ms            whole number       20000                             100 to 600000 ms                                            time for the body of a request to arrive
    limits.connections_per_address    whole number       2048                              1 to 1000000 connections                                    most connections from one address
    limits.connections                whole number       8192                              1 to 1000000 connections                                    most connections
    limits.stream_buffer_bytes        whole number       262144                            4096 to 67108864 B                                          bytes buffered for one streamed answer
    limits.stream_buffer_total_bytes  whole number       67108864                          4096 to 68719476736 B                                       bytes buffered for all streamed answers
    limits.address_ttl_ms             whole number       5000                              100 to 3600000 ms                                           how long callers may keep the list of addresses
    limits.default_timeout_ms         whole number       60000                             100 to 86400000 ms                                          time for a request whose caller names none
    limits.longest_timeout_ms         whole number       3600000                           100 to 86400000 ms                                          longest time that a caller may ask for
    limits.stop_timeout_ms            whole number       600000                            100 to 86400000 ms                                          longest time from the start of a planned stop to the end of the process
    "#);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a panic on arbitrary text.
    #[test]
    fn test_arbitrary_text_does_not_panic(text in any::<String>()) {
        if let Err(errors) = parse(&text) {
            prop_assert!(!errors.errors.is_empty());
        }
    }

    /// Guards against a panic on nearly valid text.
    #[test]
    fn test_changed_default_does_not_panic(
        start in 0..DEFAULT_SETTINGS.len(),
        length in 0_usize..40,
        insert in "[\\[\\]{}\",:/*0-9a-z.\\\\\n-]{0,12}",
    ) {
        let mut text: Vec<char> = DEFAULT_SETTINGS.chars().collect();
        let end = (start + length).min(text.len());
        text.splice(start.min(end)..end, insert.chars());
        let text: String = text.into_iter().collect();
        if let Err(errors) = parse(&text) {
            prop_assert!(!errors.errors.is_empty());
        }
    }

    /// Guards against a panic on arbitrary values.
    #[test]
    fn test_arbitrary_values_do_not_panic(
        index in 0..schema().settings.len(),
        value in prop_oneof![
            any::<i64>().prop_map(|number| number.to_string()),
            any::<f64>().prop_map(|number| number.to_string()),
            "\\PC{0,30}",
            "\\[[0-9,\"]{0,9}\\]",
        ],
    ) {
        let key = schema().settings[index].key;
        let _ = parse_changed(&[&format!("{key}={value}")]);
    }
}

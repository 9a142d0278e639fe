//! Responses of the platform's services.

use borageline_lib::platform_api::InstanceListing;
use rstest::rstest;

/// A line that another writer could have left in the instance list.
fn odd_line(name: &str) -> String {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    match name {
        "nested" => format!(r#"{{"id":{nested}}}"#),
        "number" => r#"{"id":"e","failure_domain":1e400}"#.into(),
        "port" => r#"{"id":"e","kind":"engine","address":"127.0.0.1:70000",
            "failure_domain":"domain-a"}"#
            .into(),
        "fields" => r#"{"id":"e"}"#.into(),
        _ => "null".into(),
    }
}

/// Guards against one odd line that rejects the whole list, after which the
/// instances stop following it.
#[rstest]
#[case("nested")]
#[case("number")]
#[case("port")]
#[case("fields")]
#[case("null")]
fn test_platform_api_reads_lists_with_odd_lines(#[case] name: &str) {
    let sound = r#"{"id":"engine-1","kind":"engine",
        "address":"127.0.0.1:9000","failure_domain":"domain-a"}"#;
    let odd = odd_line(name);
    let text = format!(r#"{{"instances":[{sound},{odd},{sound}]}}"#);
    let listing: InstanceListing =
        serde_json::from_str(&text).expect("the list can be read");
    let ids: Vec<_> = listing.instances.iter().map(|it| &*it.id).collect();
    assert_eq!(ids, ["engine-1", "engine-1"]);
}

//! Figures of the site `kiivrilogi`, and a desired state like its own.

use std::time::Duration;

pub const ZONES: [&str; 3] = ["tallinn-a", "tallinn-b", "maardu-c"];
pub const PLAIN_SERVICE: &str = "logi-app";
pub const MODEL_SERVICE: &str = "logi-model";
pub const HOST: &str = "logi.example";
pub const KEY: &str = "Token key-a";

/// `contactMs`
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `drainMs`
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// `configApplyMs`
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// `memoryMb` of a machine.
pub const MEMORY_MB: f64 = 260.0;
/// `heartbeatMs`
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Three liveness report intervals of silence.
pub const LAPSE: Duration = Duration::from_millis(3_600);

/// Fields of the settings with the figures of the site.
pub const FIGURES: [(&str, &str); 13] = [
    ("limits.memoryMb", "260"),
    ("limits.fileDescriptors", "4200"),
    ("bounds.graceS", "8"),
    ("bounds.drainMs", "2000"),
    ("bounds.configApplyMs", "2000"),
    ("bounds.ttl_max_s", "5"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetWindowS", "10"),
    ("bounds.budgetSlack", "100"),
    ("bounds.coldOverrun", "1.5"),
    ("bounds.coldSlack", "5"),
    ("bounds.holdMaxMs", "20000"),
    ("heartbeatMs", "1200"),
];

/// A desired state with the kinds of request of the site's sheet.
pub fn desired_state() -> String {
    desired_state_with(7, r#"{"name":"liit","apiKeys":["key-a"],"priority":1}"#)
}

/// A desired state with this version and these tenants.
pub fn desired_state_with(version: u32, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, times: [u32; 3]| {
        let [timeout, target, gap] = times;
        let resumable = kind == "streaming";
        format!(
            concat!(
                r#"{{"name":"r-{}","host":"{}","pathPrefix":"/{}/","#,
                r#""kind":"{}","timeoutMs":{},"targetLatencyMs":{},"#,
                r#""gapTargetMs":{},"priority":1,"service":"{}","#,
                r#""maxAttempts":2,"anonymous":false,"sticky":{},"#,
                r#""resumable":{}}}"#
            ),
            name,
            HOST,
            name,
            kind,
            timeout,
            target,
            gap,
            service,
            resumable,
            resumable,
        )
    };
    let routes = [
        route("query", "streaming", MODEL_SERVICE, [10_000, 300, 250]),
        route("review", "streaming", MODEL_SERVICE, [15_000, 3_000, 1_000]),
        route(
            "retire",
            "non_idempotent",
            PLAIN_SERVICE,
            [1_000, 100, 1_000],
        ),
        route("status", "idempotent", PLAIN_SERVICE, [1_000, 100, 1_000]),
    ];
    let engine = concat!(
        r#"{"slots":16,"kvCapacityTokens":315000,"kvTokenBytes":163840,"#,
        r#""linkMbps":400000.0,"stride":51,"models":[{"name":"m"}],"#,
        r#""step_ms":0.85,"per_seq_ms":0.00425,"context_per_k":0.00285,"#,
        r#""read_per_s":177000.0,"pairs_per_m":0.184,"chunk":2048,"#,
        r#""report_lag_ms":200.0,"usual":{"prompt":11121,"answer":1622},"#,
        r#""hopMs":0.05}"#
    );
    format!(
        concat!(
            r#"{{"version":{},"routes":[{}],"services":[{{"name":"{}","#,
            r#""healthPath":"/health","maxConnections":334,"coldS":3.0,"#,
            r#""coldPerS":36.0,"engine":{}}},{{"name":"{}","#,
            r#""healthPath":"/health","maxConnections":48,"coldS":0.0,"#,
            r#""coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"#,
            r#""maxBodyBytes":4194304,"headerTimeoutMs":3000,"#,
            r#""idleTimeoutMs":15000}},"tenants":[{}]}}"#
        ),
        version,
        routes.join(","),
        MODEL_SERVICE,
        engine,
        PLAIN_SERVICE,
        tenants,
    )
}

/// Time in which one engine prefills a prompt: 177 tokens a ms, and 0.184 ms for
/// each million pairs of a token and an earlier one.
pub fn prefill_time(tokens: f64) -> Duration {
    let millis = tokens / 177.0 + tokens * tokens / 2e6 * 0.184;
    Duration::from_secs_f64(millis / 1e3)
}

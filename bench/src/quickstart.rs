//! A tour of a small fleet: a short and a long prompt, a non-idempotent call
//! and an operator order, each checked.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use borageline_lib::{
    api::{CompletionRequest, PriorityClass, PromptInput},
    fleet::{DrainMode, FleetChange},
};
use http::Method;
use serde_json::Value;
use uuid::Uuid;

use crate::{
    caller::CallerClient,
    fleet::{
        BenchFleet, FleetPlan, MODEL, OPERATOR_KEY, SERVICE, workspace_key,
    },
    workload::prompt_text,
};

/// Tokens of the long prompt.
const LONG_PROMPT: u64 = 1_000_000;
/// Tokens of the short prompt.
const SHORT_PROMPT: u64 = 1_200;

/// Runs the tour; an error says which answer was wrong.
pub async fn run() -> io::Result<()> {
    let mut plan = FleetPlan::new("product");
    // Fifty simulated seconds pass in one, so that the long prompt fits.
    plan.engine_arguments
        .extend(["--time-scale".into(), "50".into()]);
    let started = Instant::now();
    let mut fleet = BenchFleet::start(&plan).await?;
    println!(
        "started 3 instances, 3 engines, 1 service, the log and the list in \
         {:.1} s",
        started.elapsed().as_secs_f64(),
    );
    let tour = QuickTour {
        client: CallerClient::new(),
        fleet: &fleet,
    };
    tour.addresses().await?;
    tour.prompt(SHORT_PROMPT, PriorityClass::Interactive, 0)
        .await?;
    tour.call_once().await?;
    tour.order().await?;
    tour.prompt(LONG_PROMPT, PriorityClass::Batch, 1).await?;
    fleet.stop_instances()?;
    println!("all instances stopped as planned");
    Ok(())
}

struct QuickTour<'a> {
    client: CallerClient,
    fleet: &'a BenchFleet,
}

impl QuickTour<'_> {
    async fn addresses(&self) -> io::Result<()> {
        let address = self.fleet.instances[0].address;
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let answer = self
                .client
                .send(
                    address,
                    Method::GET,
                    "/v1/addresses",
                    "",
                    None,
                    Default::default(),
                )
                .await;
            let (_, body) = answer.map_err(io::Error::other)?;
            let answer: Value = serde_json::from_slice(&body)?;
            let count = answer["addresses"].as_array().map_or(0, Vec::len);
            if count == self.fleet.instances.len() {
                println!("addresses for callers: {answer}");
                return Ok(());
            }
            if Instant::now() > until {
                return fault(format!("addresses: {answer}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn prompt(
        &self,
        tokens: u64,
        class: PriorityClass,
        instance: usize,
    ) -> io::Result<()> {
        let request = CompletionRequest {
            model: MODEL.parse().expect("constant is an id"),
            prompt: PromptInput::Text(prompt_text(tokens, tokens)),
            max_tokens: 48,
            stream: true,
            class: Some(class),
            timeout_ms: Some(20_000),
        };
        let address = self.fleet.instances[instance].address;
        let key = workspace_key(0);
        let record = self.client.complete(address, &key, &request, None).await;
        println!(
            "prompt of {tokens} tokens: {:?}, first part after {:.0} ms, all \
             after {:.0} ms",
            record.outcome,
            record.first_part.unwrap_or_default().as_secs_f64() * 1e3,
            record.total.as_secs_f64() * 1e3,
        );
        if record.answered() {
            Ok(())
        } else {
            fault(format!("prompt of {tokens} tokens: {:?}", record.outcome))
        }
    }

    async fn call_once(&self) -> io::Result<()> {
        let key = Uuid::now_v7().to_string();
        let path = format!("/v1/services/{SERVICE}/issue");
        let mut answers = Vec::new();
        for instance in &self.fleet.instances {
            let answer = self.repeat_call(instance.address, &path, &key).await;
            let (status, body) = answer?;
            println!("call at {}: {status} {body}", instance.name);
            answers.push((status, body));
        }
        if answers.iter().any(|answer| *answer != answers[0]) {
            return fault("repeats got another answer".into());
        }
        let service = self.fleet.services[0].address;
        let counts = self
            .client
            .send(
                service,
                Method::GET,
                "/control/counts",
                "",
                None,
                Default::default(),
            )
            .await;
        let (_, body) = counts.map_err(io::Error::other)?;
        let counts: Value = serde_json::from_slice(&body)?;
        println!("the service ran: {counts}");
        if counts["keys"][&key] != 1 {
            return fault(format!("calls with the key: {counts}"));
        }
        Ok(())
    }

    /// Sends a call, and again while the first one is being recorded.
    async fn repeat_call(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
    ) -> io::Result<(u16, String)> {
        let until = Instant::now() + Duration::from_secs(5);
        loop {
            let answer = self
                .client
                .send(
                    address,
                    Method::POST,
                    path,
                    &workspace_key(0),
                    Some(key),
                    "{}".into(),
                )
                .await;
            let (status, body) = answer.map_err(io::Error::other)?;
            let body = String::from_utf8_lossy(&body).into_owned();
            if !body.contains("key_in_progress") || Instant::now() > until {
                return Ok((status, body));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn order(&self) -> io::Result<()> {
        let domain = self.fleet.instances[0].domain.clone();
        let mode = DrainMode::Finish;
        let close = FleetChange::CloseDomain {
            domain: domain.clone(),
            mode,
        };
        let open = FleetChange::OpenDomain { domain };
        for (id, change) in [("tour-close", close), ("tour-open", open)] {
            let id = id.parse().expect("constant is an id");
            let started = Instant::now();
            let answer = self.fleet.order(1, &id, &change).await;
            let (status, report) = answer.map_err(io::Error::other)?;
            println!(
                "order {id}: {status} {report} after {:.0} ms",
                started.elapsed().as_secs_f64() * 1e3,
            );
            if report["in_force"] != true {
                return fault(format!("order {id}: {report}"));
            }
            self.seen_everywhere(id.as_str()).await?;
        }
        Ok(())
    }

    /// Asks every instance for the outcome of an order.
    async fn seen_everywhere(&self, id: &str) -> io::Result<()> {
        for instance in &self.fleet.instances {
            let path = format!("/v1/orders/{id}");
            let answer = self
                .client
                .send(
                    instance.address,
                    Method::GET,
                    &path,
                    OPERATOR_KEY,
                    None,
                    Default::default(),
                )
                .await;
            let (_, body) = answer.map_err(io::Error::other)?;
            let report: Value = serde_json::from_slice(&body)?;
            if report["accepted"] != true {
                return fault(format!("{}: {report}", instance.name));
            }
        }
        Ok(())
    }
}

fn fault<T>(text: String) -> io::Result<T> {
    let text: Arc<str> = text.into();
    Err(io::Error::other(text.as_ref()))
}

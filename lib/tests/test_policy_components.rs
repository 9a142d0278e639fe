//! Tests of single components of the serving policy: admission queue,
//! cold-start limit, cost model, placement, workspace limits and retry budget.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use borageline_lib::{
    admission::{
        AdmissionQueue, CLASS_QUEUE_MAX, QUEUE_WAIT_MAX, QueuedGrantRequest,
    },
    api::PriorityClass,
    cold_start::ColdStartLimit,
    core::{RequestDescriptor, StreamFailure},
    cost::{CostModel, LengthEstimator},
    engine_api::{CapabilityReport, LoadReport},
    fleet::{FleetState, LimitRule, WorkspaceRule},
    fleet_view::{FleetView, UpstreamEntry, UpstreamTable},
    ids::{DomainId, InstanceId, UpstreamId, WorkspaceId},
    limits::{LimitShares, LoanRequest},
    long_share::{LongPromptRanking, LongPromptShare},
    peer_api::{EngineSummary, GrantRequest},
    placement::{CandidateTable, PlacementRequirements},
    refusal::{RefusalCode, RetryReason},
    retry::{RetryBudget, RetryRule, backoff, retry_rule},
    units::{ByteSize, Incarnation, Timestamp, TokenCount, TokenRate},
};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rstest::rstest;

const START: Timestamp = Timestamp::new(1_000_000);

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test ids are valid")
}

fn at(millis: u64) -> Timestamp {
    START.after(Duration::from_millis(millis))
}

fn capability(engine: &str) -> CapabilityReport {
    CapabilityReport {
        engine: id(engine),
        incarnation: Incarnation::new(1),
        models: vec![id("m")],
        memory: TokenCount::new(100_000),
        slots: 8,
        prefill_rate: TokenRate::new(1000),
        decode_rate: TokenRate::new(100),
        segments: true,
        checks_fencing: true,
        role: None,
        loading: None,
    }
}

fn load(prefill_rate: u64, age_ms: u64) -> LoadReport {
    LoadReport {
        engine: id("e"),
        incarnation: Incarnation::new(1),
        age_ms,
        held: TokenCount::ZERO,
        running: 0,
        queued: 0,
        prefill_backlog: TokenCount::new(u64::MAX),
        prefill_rate: TokenRate::new(prefill_rate),
        decode_rate: TokenRate::new(prefill_rate),
        leaving: false,
    }
}

/// Guards against predictions outside the sane range when load reports contain
/// implausible values.
#[rstest]
#[case::zero(0)]
#[case::tiny(1)]
#[case::huge(u64::MAX)]
fn test_cost_is_bounded_with_implausible_reports(#[case] rate: u64) {
    let mut cost = CostModel::new(&capability("e"));
    for _ in 0..1000 {
        cost.apply_load_report(START, &load(rate, 100));
        cost.observe_first_chunk(Duration::ZERO, Duration::MAX);
        cost.observe_finish(TokenCount::new(1), Duration::MAX);
    }
    let (prefill, decode) = cost.factors();
    assert!((0.25..=8.0).contains(&prefill));
    assert!((0.25..=8.0).contains(&decode));
    let time = cost.prefill_time(TokenCount::new(1000));
    assert!(time <= Duration::from_secs(8));
}

/// Guards against an outdated load report that overrides the owner's ledger.
#[test]
fn test_cost_ignores_outdated_reports() {
    let mut cost = CostModel::new(&capability("e"));
    cost.apply_load_report(START, &load(1, 60_000));
    assert_eq!(cost.factors(), (1.0, 1.0));
    let ledger_backlog = TokenCount::new(5);
    assert_eq!(cost.backlog(START, ledger_backlog), ledger_backlog);
    cost.apply_load_report(START, &load(1000, 0));
    assert_eq!(
        cost.backlog(at(5000), ledger_backlog),
        ledger_backlog,
        "the report has become outdated"
    );
}

/// Guards against estimates below the actual length, and against memory use
/// that grows with the number of workspaces.
#[test]
fn test_length_estimate_is_an_upper_bound() {
    let mut estimator = LengthEstimator::new();
    let workspace: WorkspaceId = id("w");
    let bytes = ByteSize::new(10_000);
    let unknown = estimator.estimate(&workspace, bytes);
    for _ in 0..50 {
        estimator.observe(&workspace, bytes, TokenCount::new(2500));
    }
    let known = estimator.estimate(&workspace, bytes);
    assert!(known < unknown && known.get() >= 2500);
    estimator.observe(&workspace, bytes, TokenCount::new(5000));
    assert!(estimator.estimate(&workspace, bytes).get() >= 5000);
    for number in 0..5000 {
        let workspace = id(&format!("w{number}"));
        estimator.observe(&workspace, bytes, TokenCount::new(2500));
    }
    assert!(estimator.workspace_count() <= 1024);
}

/// Guards against a cold-start limit that rises although the engine was not
/// busy, or that does not fall when the engine is cold again.
#[test]
fn test_cold_start_limit_rises_when_busy_and_falls_at_once() {
    let mut cold = ColdStartLimit::new();
    let memory = TokenCount::new(100_000);
    for _ in 0..100 {
        cold.record_success();
    }
    assert_eq!(
        cold.requests(),
        1,
        "the engine has not been busy for long enough"
    );
    cold.set_busy(START, true);
    cold.set_busy(at(2000), true);
    cold.record_success();
    assert_eq!(cold.requests(), 2);
    assert!(!cold.allows(memory, 2, TokenCount::ZERO, TokenCount::new(1)));
    cold.record_first_chunk(Duration::from_secs(1), Duration::from_secs(5));
    cold.record_first_chunk(Duration::from_secs(1), Duration::from_secs(5));
    assert_eq!(cold.requests(), 1);
}

fn queued(
    class: PriorityClass,
    number: u64,
    deadline: u64,
) -> QueuedGrantRequest {
    let grant_request = GrantRequest {
        sequence: number,
        request: id(&format!("r{number}")),
        engine: id("e"),
        workspace: id("w"),
        model: id("m"),
        class,
        prompt: TokenCount::new(1000),
        output: TokenCount::ZERO,
        prefix: 0,
        time_left: Duration::from_secs(60),
        may_queue: true,
        grouped: false,
    };
    QueuedGrantRequest {
        from: id("a"),
        response_id: number,
        grant_request,
        queued_at: START,
        deadline: at(deadline),
        latest_start: at(deadline),
    }
}

/// Guards against starvation of a class, and against shares that differ from
/// the weights.
#[test]
fn test_admission_shares_by_weight() {
    let mut queue = AdmissionQueue::new();
    let mut number = 0;
    let mut taken = BTreeMap::new();
    for _ in 0..1000 {
        for class in PriorityClass::ALL {
            number += 1;
            queue.push(queued(*class, number, 1_000_000)).ok();
        }
        let next = queue.pop().expect("the queue was just filled");
        *taken.entry(next.grant_request.class).or_insert(0) += 1;
    }
    assert_eq!(taken[&PriorityClass::Interactive], 500);
    assert_eq!(taken[&PriorityClass::Standard], 300);
    assert_eq!(taken[&PriorityClass::Batch], 200);
}

/// Guards against a queue that is unbounded in size or waiting time, and
/// against an order other than by deadline.
#[test]
fn test_admission_is_bounded_and_ordered_by_deadline() {
    let mut queue = AdmissionQueue::new();
    for number in 0..CLASS_QUEUE_MAX as u64 {
        let request = queued(PriorityClass::Batch, number, 60_000 - number);
        queue.push(request).expect("the queue is not full");
    }
    let full = queue.push(queued(PriorityClass::Batch, 999, 1));
    let refusal = full.expect_err("the queue of the class is full");
    assert_eq!(refusal.code, RefusalCode::QueueFull);
    queue
        .push(queued(PriorityClass::Interactive, 1000, 10))
        .ok();
    assert_eq!(queue.expire(at(9)).len(), 0);
    let expired = queue.expire(at(10));
    assert_eq!(expired.len(), 1, "it can no longer meet its deadline");
    let first = queue.pop().expect("the queue is not empty");
    assert_eq!(first.response_id, CLASS_QUEUE_MAX as u64 - 1);
    let expired = queue.expire(START.after(QUEUE_WAIT_MAX));
    assert_eq!(expired.len(), CLASS_QUEUE_MAX - 1);
    assert!(
        expired.iter().all(|(_, refusal)| {
            refusal.retry_after == Some(Duration::ZERO)
        })
    );
}

/// Guards against more retries than the permitted share of first attempts.
#[test]
fn test_retry_budget_is_a_share_of_first_attempts() {
    let mut budget = RetryBudget::new();
    let engine: UpstreamId = id("e");
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request(&engine);
        retries += u32::from(budget.try_spend(&engine));
    }
    assert!((200..=210).contains(&retries), "{retries}");
}

/// Guards against a request that is run again after the caller received chunks,
/// and against an unbounded backoff.
#[rstest]
#[case(StreamFailure::Interrupted, true, RetryRule::Resume)]
#[case(
    StreamFailure::Interrupted,
    false,
    RetryRule::Budgeted(RetryReason::FailedBeforeFirstPart)
)]
#[case(
    StreamFailure::ConnectFailed,
    false,
    RetryRule::Free(RetryReason::ConnectFailed)
)]
fn test_retry_rule(
    #[case] failure: StreamFailure,
    #[case] delivered: bool,
    #[case] rule: RetryRule,
) {
    assert_eq!(retry_rule(failure, delivered), rule);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    assert!(backoff(99, &mut rng) <= Duration::from_secs(2));
}

/// Owned state behind a [`FleetView`].
struct Fleet {
    own: InstanceId,
    domain: DomainId,
    state: FleetState,
    upstreams: UpstreamTable,
    owners: BTreeMap<UpstreamId, InstanceId>,
}

impl Fleet {
    fn new(engines: usize) -> Self {
        let mut upstreams = UpstreamTable::new();
        for number in 0..engines {
            let name = format!("e{number:05}");
            let entry = UpstreamEntry {
                address: "127.0.0.1:1".parse().expect("constant is valid"),
                domain: id(&format!("d{}", number % 3)),
                service: None,
                leaving: number % 7 == 3,
                capability: Some(Arc::new(capability(&name))),
            };
            upstreams.insert(id(&name), entry);
        }
        Self {
            own: id("a"),
            domain: id("d0"),
            state: FleetState::default(),
            upstreams,
            owners: BTreeMap::new(),
        }
    }

    fn with_limit(limit: LimitRule) -> Self {
        let mut fleet = Self::new(0);
        let rule = WorkspaceRule {
            key_digests: BTreeSet::new(),
            enabled: true,
            default_class: PriorityClass::Standard,
            classes: BTreeSet::new(),
            models: None,
            domains: None,
            limits: vec![limit],
        };
        fleet
            .state
            .workspaces
            .insert(id("w"), std::sync::Arc::new(rule));
        fleet
    }

    fn view(&self, live_instances: usize) -> FleetView<'_> {
        FleetView {
            local_instance: &self.own,
            local_domain: &self.domain,
            fleet: &self.state,
            upstreams: &self.upstreams,
            owners: &self.owners,
            live_instances,
            configuration_fresh: true,
            may_act_as_owner: true,
        }
    }
}

fn summary(engine: &UpstreamId, headroom: u64, long: bool) -> EngineSummary {
    EngineSummary {
        engine: engine.clone(),
        headroom: TokenCount::new(headroom),
        free_slots: 4,
        leaving: false,
        wait: Duration::ZERO,
        takes_long: long,
    }
}

/// Guards against candidates that an exhaustive filter rejects, and against an
/// empty choice although the filter accepts some.
#[test]
fn test_placement_agrees_with_exhaustive_filter() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for engines in [1, 3, 10, 16, 17, 60, 300] {
        let fleet = Fleet::new(engines);
        let view = fleet.view(3);
        let mut table = CandidateTable::new();
        for (engine, _) in fleet.upstreams.iter() {
            let long = rng.random_range(0..4) == 0;
            let room = rng.random_range(0..90_000);
            table.apply_summary(START, summary(engine, room, long), &view);
        }
        let domains = BTreeSet::from([id("d0"), id("d1")]);
        let model = id("m");
        for prompt in [100, 50_000] {
            let requirements = PlacementRequirements {
                model: &model,
                prompt: TokenCount::new(prompt),
                tokens: TokenCount::new(prompt),
                prefix: 0,
                domains: Some(&domains),
                tried: &[],
            };
            let usable: Vec<&UpstreamId> = fleet
                .upstreams
                .iter()
                .filter(|(_, entry)| {
                    !entry.leaving && domains.contains(&entry.domain)
                })
                .map(|(engine, _)| engine)
                .collect();
            let matches_length =
                |id: &&&UpstreamId| table.takes_long(id) == (prompt > 16_384);
            let matching = usable.iter().filter(matches_length).count();
            for _ in 0..50 {
                let chosen =
                    table.choose(START, &requirements, &view, &mut rng);
                assert!(chosen.iter().all(|id| usable.contains(&id)));
                assert_eq!(chosen.is_empty(), usable.is_empty());
                let all_match = chosen.iter().all(|id| matches_length(&&id));
                assert!(all_match || matching == 0, "{engines} {chosen:?}");
            }
        }
    }
}

/// Guards against a decision whose cost grows with the number of engines. The
/// number of engines that are sampled is bounded, and with it the number of
/// random words drawn per decision.
#[test]
fn test_placement_samples_a_bounded_number_of_engines() {
    let draws = |engines: usize| {
        let fleet = Fleet::new(engines);
        let view = fleet.view(3);
        let table = CandidateTable::new();
        let model = id("m");
        let requirements = PlacementRequirements {
            model: &model,
            prompt: TokenCount::new(100),
            tokens: TokenCount::new(100),
            prefix: 0,
            domains: None,
            tried: &[],
        };
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        for _ in 0..100 {
            table.choose(START, &requirements, &view, &mut rng);
        }
        rng.get_word_pos() / 100
    };
    assert!(draws(20_000) <= 100, "{}", draws(20_000));
}

/// Guards against a share of engines for long prompts that is empty, covers all
/// engines, or does not follow the demand.
#[test]
fn test_long_prompt_share_follows_demand() {
    let fleet = Fleet::new(30);
    let view = fleet.view(3);
    let model = id("m");
    let mut share = LongPromptShare::new();
    let count = |share: &LongPromptShare| {
        let ranking = LongPromptRanking::new([&model].into_iter(), &view);
        let long = fleet.upstreams.iter().filter(|(engine, entry)| {
            let domain = &entry.domain;
            ranking.takes_long(share, &model, domain, engine, false)
        });
        long.count()
    };
    share.observe(START, &model, TokenCount::new(1000));
    let few = count(&share);
    assert!((3..=6).contains(&few), "{few}");
    share.observe(START, &model, TokenCount::new(900_000));
    let many = count(&share);
    assert!(many > few && many < 28, "{many}");
}

fn descriptor(number: u64) -> RequestDescriptor {
    RequestDescriptor {
        request: id(&format!("r{number}")),
        workspace: id("w"),
        model: id("m"),
        class: PriorityClass::Standard,
        prompt: TokenCount::new(100),
        output: TokenCount::ZERO,
        prefix: 0,
        deadline: at(60_000),
    }
}

fn limit() -> LimitRule {
    LimitRule {
        model: None,
        class: None,
        requests_per_s: None,
        tokens_per_s: None,
        held_tokens: None,
        concurrency: None,
    }
}

/// Admits requests at random instances, drops some loan responses, and returns
/// the maximum number of concurrent requests. The instances are partitioned
/// into `groups`. The busiest instance changes every 30 s, while requests
/// admitted by others are still running.
fn max_concurrency(groups: usize, seed: u64) -> usize {
    let rule = LimitRule {
        concurrency: Some(100),
        ..limit()
    };
    let fleet = Fleet::with_limit(rule);
    let instances = 6;
    let view = fleet.view(instances / groups);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut shares = vec![LimitShares::new(); instances];
    let mut running = Vec::new();
    let mut maximum = 0;
    for number in 0..20_000 {
        let now = at(number * 10);
        running.retain(|(deadline, instance, descriptor, booked)| {
            let ended: bool = *deadline <= now;
            if ended {
                let share: &mut LimitShares = &mut shares[*instance];
                share.release(descriptor, booked);
            }
            !ended
        });
        let busiest = (number / 3000) as usize % instances;
        let instance = if rng.random_range(0..4) > 0 {
            busiest
        } else {
            rng.random_range(0..instances)
        };
        let duration = Duration::from_millis(rng.random_range(100..50_000));
        let descriptor = RequestDescriptor {
            deadline: now.after(duration),
            ..descriptor(number)
        };
        let (result, loan_requests) =
            shares[instance].admit(now, &descriptor, &view);
        if let Ok(booked) = result {
            running.push((descriptor.deadline, instance, descriptor, booked));
        }
        maximum = running.len().max(maximum);
        for loan_request in loan_requests {
            let members = instances / groups;
            let peer =
                instance % groups + groups * rng.random_range(0..members);
            let loan = shares[peer].lend(now, loan_request, &view);
            if peer != instance && rng.random_range(0..4) > 0 {
                shares[instance].apply_loan(now, now, &loan, &view);
            }
        }
    }
    maximum
}

/// Guards against shares that exceed the limit in total (or twice the limit in
/// a fleet partitioned into two groups), and against a busy instance that
/// cannot use the unused shares of others.
#[test]
fn test_limits_overshoot_is_bounded() {
    for seed in 0..5 {
        let connected = max_concurrency(1, seed);
        assert!((60..=100).contains(&connected), "{connected}");
        let partitioned = max_concurrency(2, seed);
        assert!(partitioned > 100 && partitioned <= 200, "{partitioned}");
    }
}

/// Guards against a total rate above the limit, beyond the permitted burst.
#[test]
fn test_limits_bound_the_total_rate_of_instances() {
    let rule = LimitRule {
        requests_per_s: Some(70.0),
        ..limit()
    };
    let fleet = Fleet::with_limit(rule);
    let view = fleet.view(7);
    let mut shares = vec![LimitShares::new(); 7];
    let mut admitted = 0;
    for number in 0..70_000_u64 {
        let now = at(number / 7);
        let share = &mut shares[number as usize % 7];
        let (result, _) = share.admit(now, &descriptor(number), &view);
        admitted += u32::from(result.is_ok());
    }
    assert!((700..=777).contains(&admitted), "{admitted} in 10 s");
}

/// Guards against lending a share that is in use.
#[test]
fn test_limits_lend_only_unused_shares() {
    let rule = LimitRule {
        concurrency: Some(20),
        ..limit()
    };
    let fleet = Fleet::with_limit(rule);
    let view = fleet.view(2);
    let mut share = LimitShares::new();
    for number in 0..8 {
        let (result, _) = share.admit(START, &descriptor(number), &view);
        result.expect("the share is half of the limit, ten requests");
    }
    let loan_request = LoanRequest {
        workspace: id("w"),
        limit: 0,
        fraction: 0.5,
    };
    let lent = share.lend(START, loan_request, &view).fraction;
    assert!((lent - 0.1).abs() < 1e-9, "{lent}");
    let (result, _) = share.admit(START, &descriptor(9), &view);
    let refusal =
        result.expect_err("two of ten were lent and eight are running");
    assert_eq!(refusal.code, RefusalCode::WorkspaceLimit);
}

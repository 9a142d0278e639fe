//! Parser of orders, for this grammar:
//!
//! ```text
//! orders = order { ";" order } [ ";" ]
//! order  = "close" "domain" DOMAIN [ mode ] | "open" "domain" DOMAIN
//!        | "drain" "upstream" UPSTREAM [ mode ]
//!        | "return" "upstream" UPSTREAM
//!        | ( "enable" | "disable" ) "workspace" WORKSPACE
//!        | "limit" "workspace" WORKSPACE [ "model" MODEL ] [ "class" CLASS ]
//!          bound { bound }
//!        | "unlimit" "workspace" WORKSPACE
//!        | "remove" ( "workspace" WORKSPACE | "operator" OPERATOR )
//!        | "set" ( "workspace" WORKSPACE | "service" SERVICE
//!                | "operator" OPERATOR ) "json" OBJECT
//!        | "set" "upstream" UPSTREAM fact { fact }
//! mode   = "finish" | "move" | "fail"
//! bound  = "requests" RATE "/s" | "tokens" RATE "/s" | "held" TOKENS
//!        | "concurrency" COUNT
//! fact   = "fencing" ( "on" | "off" ) | "models" MODEL { "," MODEL }
//!        | "role" ROLE
//! ```

use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;

use super::{
    ORDER_CHANGES_MAX,
    error::QueryError,
    lexer::{Token, TokenKind},
    token_cursor::TokenCursor,
};
use crate::{
    api::PriorityClass,
    fleet::{DrainMode, FleetChange, FleetState, LimitRule, UpstreamRule},
    ids::WorkspaceId,
    units::{LogOffset, TokenCount, TokenRate},
};

/// One change of an order.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedChange {
    /// A change that is independent of the configuration.
    Independent(FleetChange),
    /// A limit of a workspace. Replaces the limit for the same model and class,
    /// or is added to the others.
    Limit(WorkspaceId, LimitRule),
}

/// An order: one or more changes, which are applied atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedOrder {
    /// Changes, in the order of the text; never empty.
    pub changes: Vec<ParsedChange>,
}

impl ParsedOrder {
    /// Converts the order to changes of the configuration.
    ///
    /// `limit` changes one limit of a workspace, but a change in the log holds
    /// all limits of a workspace. An order with limits taken from `fleet` is
    /// therefore returned with the version of `fleet`, on which it is
    /// conditional: a concurrent order then makes it fail, instead of being
    /// overwritten by it.
    pub fn resolve(
        &self,
        fleet: &FleetState,
    ) -> (Vec<FleetChange>, Option<LogOffset>) {
        let mut limits = BTreeMap::<&WorkspaceId, Vec<LimitRule>>::new();
        let mut needs_version = false;
        let mut changes = Vec::new();
        for change in &self.changes {
            match change {
                ParsedChange::Independent(fleet_change) => {
                    track_limits(fleet_change, &mut limits);
                    changes.push(fleet_change.clone());
                }
                ParsedChange::Limit(workspace, limit) => {
                    let current =
                        limits.entry(workspace).or_insert_with(|| {
                            needs_version = true;
                            let rule = fleet.workspaces.get(workspace);
                            rule.map_or_else(Vec::new, |rule| {
                                rule.limits.clone()
                            })
                        });
                    replace_limit(current, limit);
                    changes.push(FleetChange::SetLimits {
                        workspace: workspace.clone(),
                        limits: current.clone(),
                    });
                }
            }
        }
        (changes, needs_version.then_some(fleet.version))
    }
}

/// Records the limits of a workspace after a change, for later changes of the
/// same order.
fn track_limits<'a>(
    change: &'a FleetChange,
    limits: &mut BTreeMap<&'a WorkspaceId, Vec<LimitRule>>,
) {
    match change {
        FleetChange::SetWorkspace { workspace, rule } => {
            limits.insert(workspace, rule.limits.clone());
        }
        FleetChange::SetLimits {
            workspace,
            limits: new,
        } => {
            limits.insert(workspace, new.clone());
        }
        FleetChange::RemoveWorkspace { workspace } => {
            limits.insert(workspace, Vec::new());
        }
        _ => {}
    }
}

/// Replaces the limit for the same model and class, or appends the limit. The
/// other limits keep their positions, by which running requests are counted.
fn replace_limit(limits: &mut Vec<LimitRule>, limit: &LimitRule) {
    let same = |current: &&mut LimitRule| {
        current.model == limit.model && current.class == limit.class
    };
    match limits.iter_mut().find(same) {
        Some(current) => *current = limit.clone(),
        None => limits.push(limit.clone()),
    }
}

/// Parses an order: one or more changes, separated by semicolons.
pub fn parse_order(text: &str) -> Result<ParsedOrder, QueryError> {
    orders(&mut TokenCursor::new(text)?)
}

pub(super) fn orders(
    cursor: &mut TokenCursor<'_>,
) -> Result<ParsedOrder, QueryError> {
    let mut changes = vec![order(cursor)?];
    loop {
        if cursor.take_symbol(";") {
            if cursor.at_end() {
                // Parsed only to record what may follow, for completion.
                let _ = order(cursor);
                break;
            }
            if changes.len() >= ORDER_CHANGES_MAX {
                let message = format!("more than {ORDER_CHANGES_MAX} orders");
                return Err(cursor.error_at(cursor.peek(), message));
            }
            changes.push(order(cursor)?);
        } else if cursor.at_end() {
            break;
        } else {
            return Err(cursor.unexpected_token());
        }
    }
    Ok(ParsedOrder { changes })
}

fn order(cursor: &mut TokenCursor<'_>) -> Result<ParsedChange, QueryError> {
    if cursor.take_keyword("limit") {
        return limit(cursor);
    }
    fleet_change(cursor).map(ParsedChange::Independent)
}

fn fleet_change(
    cursor: &mut TokenCursor<'_>,
) -> Result<FleetChange, QueryError> {
    if cursor.take_keyword("close") {
        cursor.expect_keyword("domain")?;
        let domain = cursor.parse_word("a failure domain")?;
        let mode = drain_mode(cursor);
        return Ok(FleetChange::CloseDomain { domain, mode });
    }
    if cursor.take_keyword("open") {
        cursor.expect_keyword("domain")?;
        let domain = cursor.parse_word("a failure domain")?;
        return Ok(FleetChange::OpenDomain { domain });
    }
    if cursor.take_keyword("drain") {
        cursor.expect_keyword("upstream")?;
        let upstream = cursor.parse_word("an upstream")?;
        let mode = drain_mode(cursor);
        return Ok(FleetChange::DrainUpstream { upstream, mode });
    }
    if cursor.take_keyword("return") {
        cursor.expect_keyword("upstream")?;
        let upstream = cursor.parse_word("an upstream")?;
        return Ok(FleetChange::ReturnUpstream { upstream });
    }
    for (word, enabled) in [("enable", true), ("disable", false)] {
        if cursor.take_keyword(word) {
            let workspace = workspace(cursor)?;
            return Ok(FleetChange::EnableWorkspace { workspace, enabled });
        }
    }
    if cursor.take_keyword("unlimit") {
        let workspace = workspace(cursor)?;
        let limits = Vec::new();
        return Ok(FleetChange::SetLimits { workspace, limits });
    }
    if cursor.take_keyword("remove") {
        return remove(cursor);
    }
    cursor.expect_keyword("set")?;
    set(cursor)
}

fn workspace(cursor: &mut TokenCursor<'_>) -> Result<WorkspaceId, QueryError> {
    cursor.expect_keyword("workspace")?;
    cursor.parse_word("a workspace")
}

/// Parses an optional drain mode. By default running work finishes.
fn drain_mode(cursor: &mut TokenCursor<'_>) -> DrainMode {
    let modes = [
        ("finish", DrainMode::Finish),
        ("move", DrainMode::Move),
        ("fail", DrainMode::Fail),
    ];
    let named = modes
        .into_iter()
        .find(|(word, _)| cursor.take_keyword(word));
    named.map_or(DrainMode::Finish, |(_, mode)| mode)
}

fn remove(cursor: &mut TokenCursor<'_>) -> Result<FleetChange, QueryError> {
    if cursor.take_keyword("workspace") {
        let workspace = cursor.parse_word("a workspace")?;
        return Ok(FleetChange::RemoveWorkspace { workspace });
    }
    cursor.expect_keyword("operator")?;
    let operator = cursor.parse_word("an operator")?;
    Ok(FleetChange::RemoveOperator { operator })
}

fn set(cursor: &mut TokenCursor<'_>) -> Result<FleetChange, QueryError> {
    if cursor.take_keyword("workspace") {
        let workspace = cursor.parse_word("a workspace")?;
        let rule = rule(cursor)?;
        return Ok(FleetChange::SetWorkspace { workspace, rule });
    }
    if cursor.take_keyword("service") {
        let service = cursor.parse_word("a service")?;
        let rule = rule(cursor)?;
        return Ok(FleetChange::SetService { service, rule });
    }
    if cursor.take_keyword("operator") {
        let operator = cursor.parse_word("an operator")?;
        let rule = rule(cursor)?;
        return Ok(FleetChange::SetOperator { operator, rule });
    }
    cursor.expect_keyword("upstream")?;
    let upstream = cursor.parse_word("an upstream")?;
    let rule = upstream_rule(cursor)?;
    Ok(FleetChange::SetUpstream { upstream, rule })
}

fn rule<T: DeserializeOwned>(
    cursor: &mut TokenCursor<'_>,
) -> Result<T, QueryError> {
    cursor.expect_keyword("json")?;
    let token = cursor.peek();
    let TokenKind::Json(json) = token.kind else {
        cursor.note_expected_kind("a JSON object");
        return Err(cursor.unexpected_token());
    };
    let mut decoder = serde_json::Deserializer::from_str(json);
    let rule = serde_path_to_error::deserialize(&mut decoder);
    let rule = rule.map_err(|error| {
        let path = error.path().to_string();
        let error = cursor.json_error(token, json, error.inner());
        let message = match path.as_str() {
            "." => error.message.clone(),
            path => format!("at {path}: {}", error.message).into(),
        };
        QueryError { message, ..error }
    })?;
    cursor.advance();
    Ok(rule)
}

fn upstream_rule(
    cursor: &mut TokenCursor<'_>,
) -> Result<UpstreamRule, QueryError> {
    let mut rule = UpstreamRule::default();
    let mut has_field = false;
    loop {
        let token = cursor.peek();
        let is_repeated = if cursor.take_keyword("fencing") {
            let on = cursor.take_keyword("on");
            if !on {
                cursor.expect_keyword("off")?;
            }
            rule.checks_fencing.replace(on).is_some()
        } else if cursor.take_keyword("models") {
            let mut models = BTreeSet::from([cursor.parse_word("a model")?]);
            while cursor.take_symbol(",") {
                models.insert(cursor.parse_word("a model")?);
            }
            rule.models.replace(models).is_some()
        } else if cursor.take_keyword("role") {
            let (role, _) = cursor.expect_word("a role")?;
            rule.role.replace(role.into()).is_some()
        } else if has_field {
            return Ok(rule);
        } else {
            return Err(cursor.unexpected_token());
        };
        if is_repeated {
            return Err(cursor.error_at(token, "stated twice"));
        }
        has_field = true;
    }
}

fn limit(cursor: &mut TokenCursor<'_>) -> Result<ParsedChange, QueryError> {
    let workspace = workspace(cursor)?;
    let mut limit = LimitRule {
        model: None,
        class: None,
        requests_per_s: None,
        tokens_per_s: None,
        held_tokens: None,
        concurrency: None,
    };
    if cursor.take_keyword("model") {
        limit.model = Some(cursor.parse_word("a model")?);
    }
    if cursor.take_keyword("class") {
        limit.class = Some(class(cursor)?);
    }
    let mut has_field = false;
    loop {
        let token = cursor.peek();
        let is_repeated = if cursor.take_keyword("requests") {
            let rate = rate(cursor)?;
            limit.requests_per_s.replace(rate).is_some()
        } else if cursor.take_keyword("tokens") {
            let (place, rate) = (cursor.peek(), rate(cursor)?);
            if rate.fract() != 0.0 || rate > MAX_EXACT_INTEGER {
                let message = "expected a whole number of tokens a second";
                return Err(cursor.error_at(place, message));
            }
            let rate = TokenRate::new(rate as u64);
            limit.tokens_per_s.replace(rate).is_some()
        } else if cursor.take_keyword("held") {
            let tokens = cursor.parse_word("a number of tokens")?;
            limit.held_tokens.replace(TokenCount::new(tokens)).is_some()
        } else if cursor.take_keyword("concurrency") {
            let count = cursor.parse_word("a number of requests")?;
            limit.concurrency.replace(count).is_some()
        } else if has_field {
            return Ok(ParsedChange::Limit(workspace, limit));
        } else {
            return Err(cursor.unexpected_token());
        };
        if is_repeated {
            return Err(cursor.error_at(token, "stated twice"));
        }
        has_field = true;
    }
}

/// 2^53, the largest integer up to which every integer is exact as `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

fn class(cursor: &mut TokenCursor<'_>) -> Result<PriorityClass, QueryError> {
    for class in PriorityClass::ALL {
        if cursor.take_keyword(class.as_str()) {
            return Ok(*class);
        }
    }
    Err(cursor.unexpected_token())
}

/// Parses a rate per second, such as `5/s`.
fn rate(cursor: &mut TokenCursor<'_>) -> Result<f64, QueryError> {
    const KIND: &str = "a rate such as 5/s";
    let (word, token) = cursor.expect_word(KIND)?;
    let parsed = word.strip_suffix("/s").and_then(parse_rate);
    parsed.ok_or_else(|| rate_error(cursor, token, KIND))
}

fn parse_rate(text: &str) -> Option<f64> {
    let digits = |char: char| char.is_ascii_digit() || char == '.';
    let rate: f64 = text.chars().all(digits).then(|| text.parse().ok())??;
    rate.is_finite().then_some(rate)
}

fn rate_error(
    cursor: &TokenCursor<'_>,
    token: Token<'_>,
    kind: &str,
) -> QueryError {
    cursor.error_at(token, format!("expected {kind}"))
}

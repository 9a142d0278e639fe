//! The grammar of orders in words.
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
    ORDERS_MAX,
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

/// One order of a text.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedOrder {
    /// A change that stands by itself.
    Plain(FleetChange),
    /// A limit that takes the place of the one for the same requests.
    Limit(WorkspaceId, LimitRule),
}

/// The orders of a text, to be made together.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedOrders {
    /// The orders in the order of the text.
    pub changes: Vec<ParsedOrder>,
}

impl ParsedOrders {
    /// Turns the text into changes of a configuration.
    ///
    /// `limit` changes one limit of a workspace, and the change in the log
    /// holds all of them. An order with such a change therefore comes with the
    /// version that it was made for, so that a racing order is noticed rather
    /// than undone.
    pub fn resolve(
        &self,
        fleet: &FleetState,
    ) -> (Vec<FleetChange>, Option<LogOffset>) {
        let mut limits = BTreeMap::<&WorkspaceId, Vec<LimitRule>>::new();
        let mut needs_version = false;
        let mut changes = Vec::new();
        for change in &self.changes {
            match change {
                ParsedOrder::Plain(plain) => {
                    note_limits(plain, &mut limits);
                    changes.push(plain.clone());
                }
                ParsedOrder::Limit(workspace, limit) => {
                    let known = limits.entry(workspace).or_insert_with(|| {
                        needs_version = true;
                        let rule = fleet.workspaces.get(workspace);
                        rule.map_or_else(Vec::new, |rule| rule.limits.clone())
                    });
                    put_limit(known, limit);
                    changes.push(FleetChange::SetLimits {
                        workspace: workspace.clone(),
                        limits: known.clone(),
                    });
                }
            }
        }
        (changes, needs_version.then_some(fleet.version))
    }
}

/// Follows the limits of a workspace through the changes of one text.
fn note_limits<'a>(
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

/// Puts a limit in the place of the one for the same model and class. The
/// others keep their positions, by which running requests are counted.
fn put_limit(limits: &mut Vec<LimitRule>, limit: &LimitRule) {
    let same = |known: &&mut LimitRule| {
        known.model == limit.model && known.class == limit.class
    };
    match limits.iter_mut().find(same) {
        Some(known) => *known = limit.clone(),
        None => limits.push(limit.clone()),
    }
}

/// Parses one or more orders.
pub fn parse_order(text: &str) -> Result<ParsedOrders, QueryError> {
    orders(&mut TokenCursor::new(text)?)
}

pub(super) fn orders(
    reader: &mut TokenCursor<'_>,
) -> Result<ParsedOrders, QueryError> {
    let mut changes = vec![order(reader)?];
    loop {
        if reader.symbol(";") {
            if reader.at_end() {
                // Tries what may follow, for completion alone.
                let _ = order(reader);
                break;
            }
            if changes.len() >= ORDERS_MAX {
                let message = format!("more than {ORDERS_MAX} orders");
                return Err(reader.fault_at(reader.peek(), message));
            }
            changes.push(order(reader)?);
        } else if reader.at_end() {
            break;
        } else {
            return Err(reader.unexpected());
        }
    }
    Ok(ParsedOrders { changes })
}

fn order(reader: &mut TokenCursor<'_>) -> Result<ParsedOrder, QueryError> {
    if reader.keyword("limit") {
        return limit(reader);
    }
    plain(reader).map(ParsedOrder::Plain)
}

fn plain(reader: &mut TokenCursor<'_>) -> Result<FleetChange, QueryError> {
    if reader.keyword("close") {
        reader.need_keyword("domain")?;
        let domain = reader.parsed("a failure domain")?;
        let mode = drain_mode(reader);
        return Ok(FleetChange::CloseDomain { domain, mode });
    }
    if reader.keyword("open") {
        reader.need_keyword("domain")?;
        let domain = reader.parsed("a failure domain")?;
        return Ok(FleetChange::OpenDomain { domain });
    }
    if reader.keyword("drain") {
        reader.need_keyword("upstream")?;
        let upstream = reader.parsed("an upstream")?;
        let mode = drain_mode(reader);
        return Ok(FleetChange::DrainUpstream { upstream, mode });
    }
    if reader.keyword("return") {
        reader.need_keyword("upstream")?;
        let upstream = reader.parsed("an upstream")?;
        return Ok(FleetChange::ReturnUpstream { upstream });
    }
    for (word, enabled) in [("enable", true), ("disable", false)] {
        if reader.keyword(word) {
            let workspace = workspace(reader)?;
            return Ok(FleetChange::EnableWorkspace { workspace, enabled });
        }
    }
    if reader.keyword("unlimit") {
        let workspace = workspace(reader)?;
        let limits = Vec::new();
        return Ok(FleetChange::SetLimits { workspace, limits });
    }
    if reader.keyword("remove") {
        return remove(reader);
    }
    reader.need_keyword("set")?;
    set(reader)
}

fn workspace(reader: &mut TokenCursor<'_>) -> Result<WorkspaceId, QueryError> {
    reader.need_keyword("workspace")?;
    reader.parsed("a workspace")
}

/// Running work finishes unless the order says otherwise.
fn drain_mode(reader: &mut TokenCursor<'_>) -> DrainMode {
    let modes = [
        ("finish", DrainMode::Finish),
        ("move", DrainMode::Move),
        ("fail", DrainMode::Fail),
    ];
    let named = modes.into_iter().find(|(word, _)| reader.keyword(word));
    named.map_or(DrainMode::Finish, |(_, mode)| mode)
}

fn remove(reader: &mut TokenCursor<'_>) -> Result<FleetChange, QueryError> {
    if reader.keyword("workspace") {
        let workspace = reader.parsed("a workspace")?;
        return Ok(FleetChange::RemoveWorkspace { workspace });
    }
    reader.need_keyword("operator")?;
    let operator = reader.parsed("an operator")?;
    Ok(FleetChange::RemoveOperator { operator })
}

fn set(reader: &mut TokenCursor<'_>) -> Result<FleetChange, QueryError> {
    if reader.keyword("workspace") {
        let workspace = reader.parsed("a workspace")?;
        let rule = rule(reader)?;
        return Ok(FleetChange::SetWorkspace { workspace, rule });
    }
    if reader.keyword("service") {
        let service = reader.parsed("a service")?;
        let rule = rule(reader)?;
        return Ok(FleetChange::SetService { service, rule });
    }
    if reader.keyword("operator") {
        let operator = reader.parsed("an operator")?;
        let rule = rule(reader)?;
        return Ok(FleetChange::SetOperator { operator, rule });
    }
    reader.need_keyword("upstream")?;
    let upstream = reader.parsed("an upstream")?;
    let rule = upstream_rule(reader)?;
    Ok(FleetChange::SetUpstream { upstream, rule })
}

fn rule<T: DeserializeOwned>(
    reader: &mut TokenCursor<'_>,
) -> Result<T, QueryError> {
    reader.need_keyword("json")?;
    let token = reader.peek();
    let TokenKind::Json(json) = token.kind else {
        reader.expect_kind("a JSON object");
        return Err(reader.unexpected());
    };
    let mut decoder = serde_json::Deserializer::from_str(json);
    let rule = serde_path_to_error::deserialize(&mut decoder);
    let rule = rule.map_err(|error| {
        let path = error.path().to_string();
        let fault = reader.json_fault(token, json, error.inner());
        let message = match path.as_str() {
            "." => fault.message.clone(),
            path => format!("at {path}: {}", fault.message).into(),
        };
        QueryError { message, ..fault }
    })?;
    reader.advance();
    Ok(rule)
}

fn upstream_rule(
    reader: &mut TokenCursor<'_>,
) -> Result<UpstreamRule, QueryError> {
    let mut rule = UpstreamRule::default();
    let mut stated = false;
    loop {
        let token = reader.peek();
        let repeated = if reader.keyword("fencing") {
            let on = reader.keyword("on");
            if !on {
                reader.need_keyword("off")?;
            }
            rule.checks_fencing.replace(on).is_some()
        } else if reader.keyword("models") {
            let mut models = BTreeSet::from([reader.parsed("a model")?]);
            while reader.symbol(",") {
                models.insert(reader.parsed("a model")?);
            }
            rule.models.replace(models).is_some()
        } else if reader.keyword("role") {
            let (role, _) = reader.word("a role")?;
            rule.role.replace(role.into()).is_some()
        } else if stated {
            return Ok(rule);
        } else {
            return Err(reader.unexpected());
        };
        if repeated {
            return Err(reader.fault_at(token, "stated twice"));
        }
        stated = true;
    }
}

fn limit(reader: &mut TokenCursor<'_>) -> Result<ParsedOrder, QueryError> {
    let workspace = workspace(reader)?;
    let mut limit = LimitRule {
        model: None,
        class: None,
        requests_per_s: None,
        tokens_per_s: None,
        held_tokens: None,
        concurrency: None,
    };
    if reader.keyword("model") {
        limit.model = Some(reader.parsed("a model")?);
    }
    if reader.keyword("class") {
        limit.class = Some(class(reader)?);
    }
    let mut stated = false;
    loop {
        let token = reader.peek();
        let repeated = if reader.keyword("requests") {
            let rate = rate(reader)?;
            limit.requests_per_s.replace(rate).is_some()
        } else if reader.keyword("tokens") {
            let (place, rate) = (reader.peek(), rate(reader)?);
            if rate.fract() != 0.0 || rate > MAX_WHOLE {
                let message = "expected a whole number of tokens a second";
                return Err(reader.fault_at(place, message));
            }
            let rate = TokenRate::new(rate as u64);
            limit.tokens_per_s.replace(rate).is_some()
        } else if reader.keyword("held") {
            let tokens = reader.parsed("a number of tokens")?;
            limit.held_tokens.replace(TokenCount::new(tokens)).is_some()
        } else if reader.keyword("concurrency") {
            let count = reader.parsed("a number of requests")?;
            limit.concurrency.replace(count).is_some()
        } else if stated {
            return Ok(ParsedOrder::Limit(workspace, limit));
        } else {
            return Err(reader.unexpected());
        };
        if repeated {
            return Err(reader.fault_at(token, "stated twice"));
        }
        stated = true;
    }
}

/// Largest whole number up to which floating-point numbers are exact.
const MAX_WHOLE: f64 = 9_007_199_254_740_992.0;

fn class(reader: &mut TokenCursor<'_>) -> Result<PriorityClass, QueryError> {
    for class in PriorityClass::ALL {
        if reader.keyword(class.as_str()) {
            return Ok(*class);
        }
    }
    Err(reader.unexpected())
}

/// A number of something for each second, such as `5/s`.
fn rate(reader: &mut TokenCursor<'_>) -> Result<f64, QueryError> {
    const KIND: &str = "a rate such as 5/s";
    let (word, token) = reader.word(KIND)?;
    let parsed = word.strip_suffix("/s").and_then(parse_rate);
    parsed.ok_or_else(|| expected_rate(reader, token, KIND))
}

fn parse_rate(text: &str) -> Option<f64> {
    let digits = |char: char| char.is_ascii_digit() || char == '.';
    let rate: f64 = text.chars().all(digits).then(|| text.parse().ok())??;
    rate.is_finite().then_some(rate)
}

fn expected_rate(
    reader: &TokenCursor<'_>,
    token: Token<'_>,
    kind: &str,
) -> QueryError {
    reader.fault_at(token, format!("expected {kind}"))
}

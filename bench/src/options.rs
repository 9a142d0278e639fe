//! Options that all measures share.

use std::{
    fmt::{Display, Formatter},
    str::FromStr,
    time::Duration,
};

use bpaf::Bpaf;

use crate::fleet::FleetPlan;

/// Serving policies in the order in which they run.
pub const POLICIES: &[&str] = &["product", "round-robin", "least-requests"];

/// Deployment whose sizes a fleet has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Facturas Andinas Franquicias: 18 engines, 6 instances.
    #[default]
    Facturas,
    /// Eesti Kiivrikontrolli Liit: 21 engines, 7 instances.
    Liit,
}

impl Deployment {
    /// A fleet of this size with warm engines.
    pub fn plan(self, policy: &str) -> FleetPlan {
        let (engines, instances) = match self {
            Self::Facturas => (18, 6),
            Self::Liit => (21, 7),
        };
        FleetPlan {
            domains: 3,
            engines,
            instances,
            services: 3,
            workspaces: 10,
            ..FleetPlan::new(policy)
        }
    }
}

impl Display for Deployment {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Facturas => "facturas",
            Self::Liit => "liit",
        })
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "facturas" => Ok(Self::Facturas),
            "liit" => Ok(Self::Liit),
            other => Err(format!(
                "unknown deployment {other:?}; use facturas or liit"
            )),
        }
    }
}

/// Options that all measures share.
#[derive(Clone, Debug, Bpaf)]
pub struct MeasureOptions {
    /// Seed of the workload.
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Print one JSON object on the last line in place of a table.
    pub json: bool,
    /// Run only this policy: product, round-robin or least-requests.
    #[bpaf(argument("POLICY"), optional, guard(known_policy, POLICY_HINT))]
    pub policy: Option<String>,
    /// Time in which requests arrive, in each run.
    #[bpaf(argument("SECONDS"), optional)]
    pub seconds: Option<f64>,
    /// Deployment whose sizes the fleet has: facturas or liit.
    #[bpaf(argument("DEPLOYMENT"), fallback(Deployment::Facturas))]
    pub deployment: Deployment,
}

const POLICY_HINT: &str =
    "the policy must be product, round-robin or least-requests";

fn known_policy(policy: &Option<String>) -> bool {
    let known = |policy: &String| POLICIES.contains(&policy.as_str());
    policy.as_ref().is_none_or(known)
}

impl MeasureOptions {
    /// Policies to run, the product first.
    pub fn policies(&self) -> Vec<String> {
        match &self.policy {
            Some(policy) => vec![policy.clone()],
            None => POLICIES.iter().map(|name| (*name).into()).collect(),
        }
    }

    /// Time in which requests arrive, or the measure's own.
    pub fn duration(&self, default: Duration) -> Duration {
        self.seconds.map_or(default, |seconds| {
            Duration::from_secs_f64(seconds.max(0.1))
        })
    }
}

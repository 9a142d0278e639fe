//! Tables and columns of the query language.

use ColumnKind::{Flag, List, Number, Text};

/// Kind of the values in a column. Any cell may also be null.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// A number; durations are in seconds unless the name has a unit.
    Number,
    /// A string.
    Text,
    /// A boolean.
    Flag,
    /// A list of strings.
    List,
}

/// Name and kind of a column.
pub type TableColumn = (&'static str, ColumnKind);

/// Columns of the response to `explain`.
pub const EXPLAIN_COLUMNS: &[&str] = &["instance", "at", "step", "detail"];

/// Defines the tables: variant, name, whether instances have rows of their own,
/// and columns.
macro_rules! query_tables {
    ($($(#[$meta:meta])* $name:ident $text:literal $has_instance_rows:literal [
        $($column:literal $kind:ident),* $(,)?
    ],)*) => {
        /// A table that can be queried.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum QueryTable {
            $($(#[$meta])* $name,)*
        }

        impl QueryTable {
            /// All tables.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Name of the table in queries.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Columns, in the order of `select *`.
            pub const fn columns(self) -> &'static [TableColumn] {
                match self {
                    $(Self::$name => &[$(($column, $kind)),*],)*
                }
            }

            /// Whether each instance contributes rows of its own. The other
            /// tables are built from replicated state by the instance that
            /// received the query.
            pub const fn has_instance_rows(self) -> bool {
                match self {
                    $(Self::$name => $has_instance_rows,)*
                }
            }
        }
    };
}

query_tables! {
    /// Requests in flight, from their entry instances.
    Requests "requests" true [
        "id" Text, "workspace" Text, "model" Text, "class" Text,
        "state" Text, "engines" List, "prompt" Number, "output" Number,
        "age" Number, "deadline_left" Number, "instance" Text,
    ],
    /// Reservations in the ledgers of engines, from their owners.
    Reservations "holds" true [
        "engine" Text, "request" Text, "entry" Text, "tokens" Number,
        "state" Text, "age" Number, "instance" Text,
    ],
    /// Queued grant requests by engine and class, from the engines' owners.
    Queues "queues" true [
        "engine" Text, "class" Text, "waiting" Number, "tokens" Number,
        "oldest" Number, "instance" Text,
    ],
    /// Use of workspace limits, and the instance's share of each.
    Limits "limits" true [
        "workspace" Text, "limit" Number, "model" Text, "class" Text,
        "use" Number, "share" Number, "running" Number, "held" Number,
        "instance" Text,
    ],
    /// Engines, with capacity and use from the ledgers of their owners.
    Engines "engines" true [
        "id" Text, "domain" Text, "models" List, "owner" Text,
        "takeover" Text, "memory" Number, "granted" Number, "free" Number,
        "cold_step" Number, "wait" Number, "takes_long" Flag,
        "incarnation" Number, "accepts_work" Flag, "address" Text,
    ],
    /// Instances, as known to the instance that received the query.
    Instances "instances" false [
        "id" Text, "domain" Text, "state" Text, "incarnation" Number,
        "applied" Number, "address" Text, "peer_address" Text,
    ],
    /// Failure domains, with the engines and instances in them.
    Domains "domains" false [
        "id" Text, "state" Text, "mode" Text, "engines" Number,
        "instances" Number,
    ],
    /// Workspaces and their rules, without their keys.
    Workspaces "workspaces" false [
        "id" Text, "enabled" Flag, "default_class" Text, "classes" List,
        "models" List, "domains" List, "limits" Number, "keys" Number,
    ],
    /// Plain services and their routes.
    Services "services" false [
        "id" Text, "timeout_ms" Number, "routes" List, "processes" Number,
    ],
    /// Upstreams: engines and processes of plain services.
    Upstreams "upstreams" false [
        "id" Text, "domain" Text, "service" Text, "address" Text,
        "accepts_work" Flag, "drained" Text, "leaving" Flag,
        "checks_fencing" Flag, "models" List, "role" Text,
    ],
    /// Configuration version and freshness of each instance.
    Configuration "configuration" true [
        "instance" Text, "version" Number, "applied" Number,
        "freshness" Text, "confirmed_age" Number, "readiness" Text,
    ],
    /// Outcomes of the latest operator orders.
    Orders "orders" false [
        "id" Text, "offset" Number, "accepted" Flag, "reason" Text,
    ],
    /// Leases that permit an instance to send orders to an upstream.
    Leases "leases" false [
        "upstream" Text, "holder" Text, "incarnation" Number,
        "token" Number,
    ],
    /// Call streams and their idempotency keys, from the streams' owners.
    Calls "calls" true [
        "stream" Number, "owner" Text, "keys" Number, "in_progress" Number,
        "waiting" Number, "at_head" Flag,
    ],
}

impl QueryTable {
    /// The table with a name, in any case; `None` if there is none.
    pub fn find(name: &str) -> Option<Self> {
        let mut all = Self::ALL.iter();
        all.find(|table| table.name().eq_ignore_ascii_case(name))
            .copied()
    }

    /// Position of the column with a name, in any case; `None` if there is
    /// none.
    pub fn column(self, name: &str) -> Option<usize> {
        let columns = self.columns().iter();
        let mut names = columns.map(|(known, _)| known);
        names.position(|known| known.eq_ignore_ascii_case(name))
    }
}

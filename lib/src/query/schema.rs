//! The tables that can be asked for, and their columns.

use ColumnKind::{Flag, List, Number, Text};

/// Kind of the values of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// A number; times are in seconds.
    Number,
    /// Text.
    Text,
    /// True or false.
    Flag,
    /// A list of texts.
    List,
}

/// Name and kind of a column.
pub type TableColumn = (&'static str, ColumnKind);

/// Columns of the answer to `explain`.
pub const EXPLAIN_COLUMNS: &[&str] = &["instance", "at", "step", "detail"];

macro_rules! query_tables {
    ($($(#[$meta:meta])* $name:ident $text:literal $fleet_wide:literal [
        $($column:literal $kind:ident),* $(,)?
    ],)*) => {
        /// A table that can be asked for.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum QueryTable {
            $($(#[$meta])* $name,)*
        }

        impl QueryTable {
            /// All tables.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Name in the language.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Columns in the order in which they are shown.
            pub const fn columns(self) -> &'static [TableColumn] {
                match self {
                    $(Self::$name => &[$(($column, $kind)),*],)*
                }
            }

            /// Whether each instance holds rows of its own. The others are
            /// answered from what every instance knows.
            pub const fn has_instance_rows(self) -> bool {
                match self {
                    $(Self::$name => $fleet_wide,)*
                }
            }
        }
    };
}

query_tables! {
    /// Requests that have not ended, at their entry instances.
    Requests "requests" true [
        "id" Text, "workspace" Text, "model" Text, "class" Text,
        "state" Text, "engines" List, "prompt" Number, "output" Number,
        "age" Number, "deadline_left" Number, "instance" Text,
    ],
    /// Memory and slots that owners have granted.
    Holds "holds" true [
        "engine" Text, "request" Text, "entry" Text, "tokens" Number,
        "state" Text, "age" Number, "instance" Text,
    ],
    /// Asks that wait for an engine, by class.
    Queues "queues" true [
        "engine" Text, "class" Text, "waiting" Number, "tokens" Number,
        "oldest" Number, "instance" Text,
    ],
    /// Shares in the limits of workspaces that are in use.
    Limits "limits" true [
        "workspace" Text, "limit" Number, "model" Text, "class" Text,
        "use" Number, "share" Number, "running" Number, "held" Number,
        "instance" Text,
    ],
    /// Engines with their owners' accounts.
    Engines "engines" true [
        "id" Text, "domain" Text, "models" List, "owner" Text,
        "takeover" Text, "memory" Number, "granted" Number, "free" Number,
        "cold_step" Number, "wait" Number, "takes_long" Flag,
        "incarnation" Number, "accepts_work" Flag, "address" Text,
    ],
    /// Instances as the asked instance knows them.
    Instances "instances" false [
        "id" Text, "domain" Text, "state" Text, "incarnation" Number,
        "applied" Number, "address" Text, "peer_address" Text,
    ],
    /// Failure domains.
    Domains "domains" false [
        "id" Text, "state" Text, "mode" Text, "engines" Number,
        "instances" Number,
    ],
    /// Workspaces, without their keys.
    Workspaces "workspaces" false [
        "id" Text, "enabled" Flag, "default_class" Text, "classes" List,
        "models" List, "domains" List, "limits" Number, "keys" Number,
    ],
    /// Plain services.
    Services "services" false [
        "id" Text, "timeout_ms" Number, "routes" List, "processes" Number,
    ],
    /// Upstreams: engines and processes of plain services.
    Upstreams "upstreams" false [
        "id" Text, "domain" Text, "service" Text, "address" Text,
        "accepts_work" Flag, "drained" Text, "leaving" Flag,
        "checks_fencing" Flag, "models" List, "role" Text,
    ],
    /// The configuration of each instance.
    Configuration "configuration" true [
        "instance" Text, "version" Number, "applied" Number,
        "freshness" Text, "confirmed_age" Number, "readiness" Text,
    ],
    /// The latest operator orders.
    Orders "orders" false [
        "id" Text, "offset" Number, "accepted" Flag, "reason" Text,
    ],
    /// Leases on giving orders to upstreams.
    Leases "leases" false [
        "upstream" Text, "holder" Text, "incarnation" Number,
        "token" Number,
    ],
    /// Call streams at their owners.
    Calls "calls" true [
        "stream" Number, "owner" Text, "keys" Number, "in_progress" Number,
        "waiting" Number, "at_head" Flag,
    ],
}

impl QueryTable {
    /// The table of a name.
    pub fn find(name: &str) -> Option<Self> {
        let mut all = Self::ALL.iter();
        all.find(|table| table.name().eq_ignore_ascii_case(name))
            .copied()
    }

    /// Position of a column.
    pub fn column(self, name: &str) -> Option<usize> {
        let columns = self.columns().iter();
        let mut names = columns.map(|(known, _)| known);
        names.position(|known| known.eq_ignore_ascii_case(name))
    }
}

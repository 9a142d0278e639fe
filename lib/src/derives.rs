//! Macros that define message types and newtypes.
//!
//! `value_type!` adds the derives shared by messages, log records and settings.
//! `id_type!` defines a validated string newtype and `quantity_type!` an
//! integer newtype; both have `Display`, `FromStr` and serde implementations.

/// Adds the derives shared by messages, log records and settings.
#[macro_export]
macro_rules! value_type {
    ($($item:tt)*) => {
        #[derive(
            Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
}

/// Defines an identifier type. Clones share one `Arc<str>`; parsing and
/// deserializing go through `check_id`.
#[macro_export]
macro_rules! id_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(try_from = "::std::string::String", into = "::std::string::String")]
        pub struct $name(::std::sync::Arc<str>);

        impl $name {
            /// The identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(
                &self,
                formatter: &mut ::std::fmt::Formatter<'_>,
            ) -> ::std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = $crate::ids::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ids::check_id(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ids::IdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().into()
            }
        }
    };
}

/// Defines a `u64` newtype. The unit is appended by `Display` and optional for
/// `FromStr`.
#[macro_export]
macro_rules! quantity_type {
    ($(#[$meta:meta])* $name:ident, $unit:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// The quantity zero.
            pub const ZERO: Self = Self(0);

            /// Creates a quantity from a number of units.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// The number of units.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Sum, saturating at [`u64::MAX`].
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Difference, saturating at zero.
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(
                &self,
                formatter: &mut ::std::fmt::Formatter<'_>,
            ) -> ::std::fmt::Result {
                write!(formatter, concat!("{}", $unit), self.0)
            }
        }

        impl ::std::str::FromStr for $name {
            type Err = ::std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($unit).unwrap_or(text).trim().parse().map(Self)
            }
        }

        impl ::std::ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0 + other.0)
            }
        }

        impl ::std::ops::AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                self.0 += other.0;
            }
        }

        impl ::std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(parts: I) -> Self {
                parts.fold(Self::ZERO, Self::saturating_add)
            }
        }
    };
}

//! Macros that give value types their common derives and text forms.
//!
//! `value_type!` adds the derives that messages and records share. `id_type!`
//! and `quantity_type!` define newtypes with `Display` and `FromStr`.

/// Adds the derives shared by messages, records and settings.
#[macro_export]
macro_rules! value_type {
    ($($item:tt)*) => {
        #[derive(
            Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize,
        )]
        $($item)*
    };
}

/// Defines an identifier held as shared text and checked when it is parsed.
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
            /// Text of the identifier.
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

/// Defines a whole number with a unit.
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

            /// Wraps a plain number.
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Plain number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Sum, held at the largest value.
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Difference, held at zero.
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
